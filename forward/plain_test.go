package forward_test

import (
	"context"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/forward"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/routing"
)

var _ = Describe("Handler", func() {
	var f *fixture

	BeforeEach(func() {
		f = newFixture()
		f.applyTable(nil)
	})

	// Guards against changed bytes and added header fields on the way to an
	// endpoint.
	It("forwards the request unchanged", func() {
		f.startEndpoint("a", respond("done"))
		response, err := f.call(context.Background(), http.MethodPut, "/order/%41?x=1&y=%20", strings.NewReader("body"), http.Header{
			"X-Other": {"kept"}, "Connection": {"X-Hop"}, "X-Hop": {"dropped"}, headerEndpoint: {"forged"}, "User-Agent": nil,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		got := f.received()[0]
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

	DescribeTable("refuses requests that the configuration does not allow",
		func(path, key string, want int) {
			f.startEndpoint("a", respond("done"))
			response, err := f.call(context.Background(), http.MethodGet, path, nil, http.Header{headerKey: {key}})
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(want))
			Expect(f.received()).To(BeEmpty())
		},
		Entry("without a route", "/none/x", "key", http.StatusNotFound),
		Entry("with an unknown key", "/order/x", "other", http.StatusUnauthorized),
	)

	// Guards against a caller that takes a route or key that was added for one that does not
	// exist, because the instance has lost the store.
	DescribeTable("tells callers to come back if a newer configuration may allow their request",
		func(path, key string) {
			stale := newFixtureWithOptions(f.synced, func(_ *fixture, o *forward.Options) {
				o.TableStale = func() bool { return true }
				o.RetryBudget = forward.NewRetryBudget(forward.RetryBudgetOptions{Ratio: 1, Baseline: 100, Window: 10 * time.Second})
			})
			stale.applyTable(nil)
			stale.startEndpoint("a", respond("done"))
			response, err := stale.call(context.Background(), http.MethodGet, path, nil, http.Header{headerKey: {key}})
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(response.Header.Get("Test-Reason")).To(Equal(string(reason.StaleTable)))
			Expect(response.Header.Get("Test-Retry-After")).NotTo(Equal("0s"))
			Expect(stale.received()).To(BeEmpty())
			code, _, _ := stale.get("/order/x")
			Expect(code).To(Equal(http.StatusOK))
		},
		Entry("on another route", "/none/x", "key"),
		Entry("with another key", "/order/x", "other"),
	)

	It("responds 503 without a configuration, not 401 or 404", func() {
		empty := newFixture()
		code, _, _ := empty.get("/order/x")
		Expect(code).To(Equal(http.StatusServiceUnavailable))
	})

	// Guards against an order that is booked twice, by the handler or by
	// net/http, which resends requests without a body if a reused connection
	// breaks.
	It("sends a request that must not be retried only once, whatever its method", func() {
		for _, name := range []string{"a", "b"} {
			calls := 0
			f.startEndpoint(name, func(rw http.ResponseWriter, r *http.Request) {
				calls++
				if calls == 1 {
					respond("done")(rw, r)
					return
				}
				cutConnection("")(rw, r)
			})
		}
		codes := make(map[int]int)
		for range 6 {
			code, _, _ := f.get("/order/x")
			codes[code]++
		}
		Expect(codes[http.StatusOK]).To(Equal(2))
		Expect(codes[http.StatusBadGateway]).To(Equal(4))
		Expect(f.received()).To(HaveLen(6))
	})

	// Guards against a failure that the caller sees although another endpoint works.
	It("retries an idempotent request after a failure", func() {
		for _, name := range []string{"a", "b", "c"} {
			f.startEndpoint(name, func(rw http.ResponseWriter, r *http.Request) {
				if len(f.received()) < 3 {
					respondStatus(http.StatusInternalServerError)(rw, r)
					return
				}
				respond("done")(rw, r)
			})
		}
		code, body, _ := f.get("/lookup/x")
		Expect(code).To(Equal(http.StatusOK))
		Expect(body).To(Equal("done"))
		Expect(f.received()).To(HaveLen(3))
	})

	// Guards against more attempts than the route allows.
	It("forwards the endpoint's failure once the attempts are exhausted", func() {
		for _, name := range []string{"a", "b", "c", "d"} {
			f.startEndpoint(name, respondStatus(http.StatusInternalServerError))
		}
		code, _, header := f.get("/lookup/x")
		Expect(code).To(Equal(http.StatusInternalServerError))
		Expect(header.Get(headerSigned)).To(Equal("yes"))
		Expect(f.received()).To(HaveLen(3))
	})

	// Guards against an order that fails because one endpoint is overloaded.
	It("sends a refused order to another endpoint, and refuses it when all endpoints do", func() {
		f.startEndpoint("a", respondStatus(http.StatusServiceUnavailable, headerNotExecuted))
		f.startEndpoint("b", respondStatus(http.StatusServiceUnavailable, headerNotExecuted))
		code, _, header := f.get("/order/x")
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		Expect(header.Get(headerSigned)).To(BeEmpty())
		Expect(f.received()).To(HaveLen(2))
		f.startEndpoint("c", respond("done"))
		Eventually(func() int { code, _, _ := f.get("/order/x"); return code }).Should(Equal(http.StatusOK))
	})

	It("does not resend a refused order if the route allows one attempt", func() {
		f.applyTable(func(r *routing.Route) { r.MaxAttempts = 1 })
		f.startEndpoint("a", respondStatus(http.StatusServiceUnavailable, headerNotExecuted))
		f.startEndpoint("b", respondStatus(http.StatusServiceUnavailable, headerNotExecuted))
		code, _, _ := f.get("/order/x")
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		Expect(f.received()).To(HaveLen(1))
	})

	// Guards against an order that fails because an endpoint is down: nothing
	// was sent, so it may go to another endpoint.
	It("uses another endpoint when no connection is established", func() {
		f.addEndpoint("down", "127.0.0.1:1")
		f.startEndpoint("a", respond("done"))
		for range 4 {
			code, _, _ := f.get("/order/x")
			Expect(code).To(Equal(http.StatusOK))
		}
	})

	DescribeTable("never forwards a response that is incomplete or not the request's own",
		func(serve http.HandlerFunc) {
			f.startEndpoint("a", serve)
			code, _, _ := f.get("/order/x")
			Expect(code).To(Equal(http.StatusBadGateway))
		},
		Entry("of another request", func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set(headerID, "attempt-0")
			respond("other")(rw, r)
		}),
		Entry("truncated", cutConnection("HTTP/1.1 200 OK\r\n"+headerSigned+": 1\r\nContent-Length: 10\r\n\r\nhalf")),
		Entry("reset, without a Content-Length", cutConnection("HTTP/1.1 200 OK\r\n"+headerSigned+": 1\r\nConnection: close\r\n\r\nhalf")),
		Entry("not HTTP", cutConnection("what is this\r\n\r\n")),
		Entry("unsigned", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) }),
	)

	// Guards against a caller that waits for an endpoint that never responds.
	It("responds at the deadline with a status that leaves open whether the request ran", func() {
		f.startEndpoint("a", hang)
		began := time.Now()
		response, err := f.call(context.Background(), http.MethodGet, "/order/x", nil, http.Header{headerTimeout: {"300"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(time.Since(began)).To(BeNumerically("~", 300*time.Millisecond, 150*time.Millisecond))
	})

	// Guards against endpoints that work on requests past the deadline.
	It("forwards the remaining time", func() {
		f.startEndpoint("a", respond("done"))
		f.applyTable(func(r *routing.Route) { r.Timeout = time.Second })
		_, _, _ = f.get("/order/x")
		remaining := f.received()[0].header.Get(headerRemaining)
		Expect(len(remaining)).To(BeNumerically("<=", 4))
		Expect(remaining).To(MatchRegexp(`^(1000|9\d\d)$`))
	})

	// One of two endpoints hangs. Guards against lookups that wait for it.
	It("sends a slow idempotent request to a second endpoint", func() {
		f.startEndpoint("a", func(rw http.ResponseWriter, r *http.Request) {
			if len(f.received()) == 1 {
				hang(rw, r)
				return
			}
			respond("done")(rw, r)
		})
		f.startEndpoint("b", func(rw http.ResponseWriter, r *http.Request) {
			if len(f.received()) == 1 {
				hang(rw, r)
				return
			}
			respond("done")(rw, r)
		})
		began := time.Now()
		code, _, _ := f.get("/lookup/x")
		Expect(code).To(Equal(http.StatusOK))
		Expect(time.Since(began)).To(BeNumerically("<", 400*time.Millisecond))
		Eventually(f.cancelledEndpoints).Should(HaveLen(1))
	})

	// Guards against work for a caller that has disconnected.
	It("cancels the request at the endpoint when the caller disconnects", func() {
		f.startEndpoint("a", hang)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			defer GinkgoRecover()
			Eventually(f.received).Should(HaveLen(1))
			cancel()
		}()
		_, err := f.call(ctx, http.MethodGet, "/order/x", nil, nil)
		Expect(err).To(HaveOccurred())
		Eventually(f.cancelledEndpoints, "500ms").Should(ContainElement("a"))
		Eventually(f.handler.ActiveRequests).Should(BeZero())
	})
})
