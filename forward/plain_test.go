package forward_test

import (
	"context"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/routing"
)

var _ = Describe("Handler", func() {
	var w *world

	BeforeEach(func() {
		w = newWorld()
		w.serve(nil)
	})

	// Guards against changed bytes and added headers on the way to an endpoint.
	It("passes the request on unchanged", func() {
		w.endpoint("a", answer("done"))
		response, err := w.call(context.Background(), http.MethodPut, "/order/%41?x=1&y=%20", strings.NewReader("body"), http.Header{
			"X-Other": {"kept"}, "Connection": {"X-Hop"}, "X-Hop": {"dropped"}, headerEndpoint: {"forged"}, "User-Agent": nil,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		got := w.seen()[0]
		Expect(got.method).To(Equal(http.MethodPut))
		Expect(got.uri).To(Equal("/order/%41?x=1&y=%20"))
		Expect(got.body).To(Equal("body"))
		Expect(got.header.Get("X-Other")).To(Equal("kept"))
		Expect(got.header.Get(headerEndpoint)).To(Equal("a"))
		Expect(got.header.Get(headerAccount)).To(Equal("acme"))
		for _, name := range []string{"X-Hop", headerKey, "Accept-Encoding"} {
			Expect(got.header).NotTo(HaveKey(name))
		}
	})

	DescribeTable("refuses what the configuration does not allow",
		func(path, key string, want int) {
			w.endpoint("a", answer("done"))
			response, err := w.call(context.Background(), http.MethodGet, path, nil, http.Header{headerKey: {key}})
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(want))
			Expect(w.seen()).To(BeEmpty())
		},
		Entry("no route", "/none/x", "key", http.StatusNotFound),
		Entry("unknown key", "/order/x", "other", http.StatusUnauthorized),
	)

	It("answers 503 without a configuration, not 401 or 404", func() {
		empty := newWorld()
		code, _, _ := empty.get("/order/x")
		Expect(code).To(Equal(http.StatusServiceUnavailable))
	})

	// Guards against an order that is booked twice, by us or by net/http, which
	// resends requests without a body on a reused connection that breaks.
	It("sends what may not be repeated once, whatever its method", func() {
		for _, name := range []string{"a", "b"} {
			calls := 0
			w.endpoint(name, func(rw http.ResponseWriter, r *http.Request) {
				calls++
				if calls == 1 {
					answer("done")(rw, r)
					return
				}
				cut("")(rw, r)
			})
		}
		codes := make(map[int]int)
		for range 6 {
			code, _, _ := w.get("/order/x")
			codes[code]++
		}
		Expect(codes[http.StatusOK]).To(Equal(2))
		Expect(codes[http.StatusBadGateway]).To(Equal(4))
		Expect(w.seen()).To(HaveLen(6))
	})

	It("repeats an idempotent request after a failure", func() {
		for _, name := range []string{"a", "b", "c"} {
			w.endpoint(name, func(rw http.ResponseWriter, r *http.Request) {
				if len(w.seen()) < 3 {
					status(http.StatusInternalServerError)(rw, r)
					return
				}
				answer("done")(rw, r)
			})
		}
		code, body, _ := w.get("/lookup/x")
		Expect(code).To(Equal(http.StatusOK))
		Expect(body).To(Equal("done"))
		Expect(w.seen()).To(HaveLen(3))
	})

	It("passes the endpoint's failure on once the attempts are used up", func() {
		for _, name := range []string{"a", "b", "c", "d"} {
			w.endpoint(name, status(http.StatusInternalServerError))
		}
		code, _, header := w.get("/lookup/x")
		Expect(code).To(Equal(http.StatusInternalServerError))
		Expect(header.Get(headerSigned)).To(Equal("yes"))
		Expect(w.seen()).To(HaveLen(3))
	})

	It("sends a refused order to another endpoint, and says so when all refuse", func() {
		w.endpoint("a", status(http.StatusServiceUnavailable, headerNotExecuted))
		w.endpoint("b", status(http.StatusServiceUnavailable, headerNotExecuted))
		code, _, header := w.get("/order/x")
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		Expect(header.Get(headerSigned)).To(BeEmpty())
		Expect(w.seen()).To(HaveLen(2))
		w.endpoint("c", answer("done"))
		Eventually(func() int { code, _, _ := w.get("/order/x"); return code }).Should(Equal(http.StatusOK))
	})

	It("sends an order to one endpoint only if the route says so", func() {
		w.serve(func(r *routing.Route) { r.MaxAttempts = 1 })
		w.endpoint("a", status(http.StatusServiceUnavailable, headerNotExecuted))
		w.endpoint("b", status(http.StatusServiceUnavailable, headerNotExecuted))
		code, _, _ := w.get("/order/x")
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		Expect(w.seen()).To(HaveLen(1))
	})

	// Guards against an order that fails because an endpoint is down: nothing was
	// sent, so it may go elsewhere.
	It("goes to another endpoint when no connection is made", func() {
		w.add("down", "127.0.0.1:1")
		w.endpoint("a", answer("done"))
		for range 4 {
			code, _, _ := w.get("/order/x")
			Expect(code).To(Equal(http.StatusOK))
		}
	})

	DescribeTable("never passes on an answer that is not the request's own and whole",
		func(serve http.HandlerFunc) {
			w.endpoint("a", serve)
			code, _, _ := w.get("/order/x")
			Expect(code).To(Equal(http.StatusBadGateway))
		},
		Entry("another request's", func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set(headerID, "attempt-0")
			answer("other")(rw, r)
		}),
		Entry("cut", cut("HTTP/1.1 200 OK\r\n"+headerSigned+": 1\r\nContent-Length: 10\r\n\r\nhalf")),
		Entry("reset without a length", cut("HTTP/1.1 200 OK\r\n"+headerSigned+": 1\r\nConnection: close\r\n\r\nhalf")),
		Entry("not HTTP", cut("what is this\r\n\r\n")),
		Entry("unsigned", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) }),
	)

	// Guards against a caller that waits for an endpoint that never answers.
	It("ends at the deadline with a status that promises nothing", func() {
		w.endpoint("a", hang)
		began := time.Now()
		response, err := w.call(context.Background(), http.MethodGet, "/order/x", nil, http.Header{headerPatience: {"300"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(time.Since(began)).To(BeNumerically("~", 300*time.Millisecond, 150*time.Millisecond))
	})

	It("hands on the time that is left", func() {
		w.endpoint("a", answer("done"))
		w.serve(func(r *routing.Route) { r.Timeout = time.Second })
		_, _, _ = w.get("/order/x")
		remaining := w.seen()[0].header.Get(headerRemaining)
		Expect(len(remaining)).To(BeNumerically("<=", 4))
		Expect(remaining).To(MatchRegexp(`^(1000|9\d\d)$`))
	})

	// Load: one of two endpoints hangs. Guards against lookups that wait for it.
	It("asks a second endpoint when an idempotent request takes long", func() {
		w.endpoint("a", func(rw http.ResponseWriter, r *http.Request) {
			if len(w.seen()) == 1 {
				hang(rw, r)
				return
			}
			answer("done")(rw, r)
		})
		w.endpoint("b", func(rw http.ResponseWriter, r *http.Request) {
			if len(w.seen()) == 1 {
				hang(rw, r)
				return
			}
			answer("done")(rw, r)
		})
		began := time.Now()
		code, _, _ := w.get("/lookup/x")
		Expect(code).To(Equal(http.StatusOK))
		Expect(time.Since(began)).To(BeNumerically("<", 400*time.Millisecond))
		Eventually(w.endedAt).Should(HaveLen(1))
	})

	// Guards against work for a caller that has left.
	It("ends the work when the caller leaves", func() {
		w.endpoint("a", hang)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			defer GinkgoRecover()
			Eventually(w.seen).Should(HaveLen(1))
			cancel()
		}()
		_, err := w.call(ctx, http.MethodGet, "/order/x", nil, nil)
		Expect(err).To(HaveOccurred())
		Eventually(w.endedAt, "500ms").Should(ContainElement("a"))
		Eventually(w.handler.ActiveRequests).Should(BeZero())
	})
})
