package forward_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/routing"
)

var _ = Describe("A stream", func() {
	const length = 30
	var w *world

	BeforeEach(func() {
		w = newWorld()
		w.serve(nil)
	})

	It("is passed on event by event", func() {
		release := make(chan struct{})
		w.endpoint("a", events(1, func(rw http.ResponseWriter, r *http.Request) {
			<-release
			_, _ = io.WriteString(rw, "id: 2\ndata: 2\n\n")
		}))
		response, err := w.call(context.Background(), http.MethodPost, "/stream/x", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		first := make([]byte, len(wholeStream(1)))
		_, err = io.ReadFull(response.Body, first)
		Expect(err).NotTo(HaveOccurred())
		close(release)
		rest, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(first) + string(rest)).To(Equal(wholeStream(2)))
	})

	// Guards against an urgent account that waits behind others at an engine, and
	// against ranks that engines do not know.
	DescribeTable("is ranked by the account's priority, else by the route's",
		func(key, rank string) {
			w.endpoint("a", events(1, complete))
			response, err := w.call(context.Background(), http.MethodPost, "/stream/x", nil, http.Header{headerKey: {key}})
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			Expect(w.seen()[0].header.Get(headerRank)).To(Equal(rank))
		},
		Entry("an account without a priority", "key", "3"),
		Entry("an urgent account", "urgent", "1"),
		Entry("an account that waits", "patient", "10"),
	)

	// Load: an engine that takes 300 ms to a first event has five prompts to read,
	// and the target is a second. Guards against a caller that waits for an answer
	// which is known to be late, and against refusing one that has begun.
	It("is refused at once if it would begin late, unless its caller continues it", func() {
		engine := w.endpoint("a", func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(300 * time.Millisecond)
			events(3, complete)(rw, r)
		})
		code, _, _ := w.get("/stream/x")
		Expect(code).To(Equal(http.StatusOK))
		w.balance.UpdateLoad(engine, balance.Load{Running: 5, Prefilling: 5})
		code, _, header := w.get("/stream/x")
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		Expect(header.Get("Test-Reason")).To(Equal("overloaded"))
		Expect(w.seen()).To(HaveLen(1))
		response, err := w.call(context.Background(), http.MethodPost, "/stream/x", nil, http.Header{headerLastEvent: {"1"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	})

	// fails serves part of a stream at the first engine that is asked, and whole
	// streams at all others.
	fails := func(first http.HandlerFunc) {
		var asked atomic.Bool
		for _, name := range []string{"a", "b", "c"} {
			w.endpoint(name, func(rw http.ResponseWriter, r *http.Request) {
				if asked.CompareAndSwap(false, true) {
					first(rw, r)
					return
				}
				events(length, complete)(rw, r)
			})
		}
	}

	// Guards against a missing, repeated or mixed event after the loss of an
	// engine, and against reading the prompt again although there is a copy.
	DescribeTable("goes on at the engine with the copy",
		func(end http.HandlerFunc) {
			fails(events(10, end))
			code, body, header := w.get("/stream/x")
			Expect(code).To(Equal(http.StatusOK))
			Expect(body).To(Equal(wholeStream(length)))
			seen := w.seen()
			Expect(seen).To(HaveLen(2))
			Expect(header.Get(headerSigned)).To(Equal(seen[0].endpoint))
			Expect(seen[1].header.Get(headerLastEvent)).To(Equal("10"))
			Expect(seen[1].header.Get(headerCopy)).To(Equal(seen[0].header.Get(headerBackup) + "/attempt-1"))
			Expect(seen[1].header.Get(headerBackup)).NotTo(Equal(seen[0].header.Get(headerBackup)))
		},
		Entry("after a reset", cut("")),
		Entry("after a cut within an event", cut("5\r\nid: 1")),
		Entry("after an end without its end mark", cut("")),
		Entry("after silence", http.HandlerFunc(hang)),
	)

	It("ends the old run when it goes on elsewhere", func() {
		fails(events(10, hang))
		_, body, _ := w.get("/stream/x")
		Expect(body).To(Equal(wholeStream(length)))
		Eventually(w.endedAt, "400ms").Should(ContainElement(w.seen()[0].endpoint))
	})

	// Guards against asking for a copy that cannot exist yet.
	It("starts anew after a loss before the first event", func() {
		fails(cut(""))
		code, body, _ := w.get("/stream/x")
		Expect(code).To(Equal(http.StatusOK))
		Expect(body).To(Equal(wholeStream(length)))
		Expect(w.seen()[1].header).NotTo(HaveKey(headerCopy))
	})

	It("reads the prompt again when the copy is refused", func() {
		var asked atomic.Int32
		for _, name := range []string{"a", "b", "c", "d"} {
			w.endpoint(name, func(rw http.ResponseWriter, r *http.Request) {
				switch asked.Add(1) {
				case 1:
					events(10, cut(""))(rw, r)
				case 2:
					status(http.StatusServiceUnavailable, headerNotExecuted)(rw, r)
				default:
					events(length, complete)(rw, r)
				}
			})
		}
		_, body, _ := w.get("/stream/x")
		Expect(body).To(Equal(wholeStream(length)))
		Expect(w.seen()[2].header).NotTo(HaveKey(headerCopy))
		Expect(w.seen()[2].header.Get(headerLastEvent)).To(Equal("10"))
	})

	// Guards against two runs of a stream that may not be repeated, and against
	// an answer that looks complete although it was cut.
	It("is cut visibly if it may not be continued", func() {
		w.serve(func(r *routing.Route) { r.RetryPolicy = routing.RetryNever })
		w.endpoint("a", events(10, cut("")))
		w.endpoint("b", events(10, cut("")))
		response, err := w.call(context.Background(), http.MethodPost, "/stream/x", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(response.Body)
		Expect(err).To(Equal(io.ErrUnexpectedEOF))
		Expect(w.seen()).To(HaveLen(1))
	})

	It("goes on from the caller's last event", func() {
		w.endpoint("a", events(length, complete))
		response, err := w.call(context.Background(), http.MethodPost, "/stream/x", nil, http.Header{headerLastEvent: {"20"}})
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(wholeStream(20) + string(body)).To(Equal(wholeStream(length)))
	})

	It("ends at the engine when the caller leaves, also while nothing flows", func() {
		w.endpoint("a", events(1, hang))
		ctx, cancel := context.WithCancel(context.Background())
		response, err := w.call(ctx, http.MethodPost, "/stream/x", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.ReadFull(response.Body, make([]byte, 1))
		cancel()
		Eventually(w.endedAt, "500ms").Should(ContainElement("a"))
		Eventually(w.handler.ActiveRequests).Should(BeZero())
	})

	It("is refused by an instance that stops before it could be whole", func() {
		w.stopping = true
		w.endpoint("a", events(length, complete))
		code, _, header := w.get("/stream/x")
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		Expect(header.Get("Test-Reason")).To(Equal("shutting_down"))
		Expect(w.seen()).To(BeEmpty())
	})

	// Guards against a request that crashes one engine after the other: it comes
	// again with another attempt id.
	It("is refused once its content has crashed three engines", func() {
		for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
			var server *httptest.Server
			server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				w.mu.Lock()
				w.arrivals = append(w.arrivals, arrival{endpoint: name})
				w.mu.Unlock()
				_ = server.Listener.Close()
				cut("")(rw, r)
			}))
			DeferCleanup(server.CloseClientConnections)
			w.add(name, server.Listener.Addr().String())
		}
		for range 6 {
			_, _, _ = w.get("/stream/x")
			time.Sleep(20 * time.Millisecond)
		}
		Expect(len(w.seen())).To(BeNumerically("<=", 5))
		_, _, header := w.get("/stream/x")
		Expect(header.Get("Test-Reason")).To(Equal("crash_suspect"))
	})

	// Guards against a caller that waits for its deadline while all engines are
	// down.
	It("is refused at once when no engine takes it", func() {
		began := time.Now()
		code, _, _ := w.get("/stream/x")
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
	})
})
