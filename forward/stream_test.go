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
	var f *fixture

	BeforeEach(func() {
		f = newFixture()
		f.applyTable(nil)
	})

	// Guards against buffering events until the response is complete.
	It("is forwarded event by event", func() {
		release := make(chan struct{})
		f.startEndpoint("a", streamEvents(1, func(rw http.ResponseWriter, r *http.Request) {
			<-release
			_, _ = io.WriteString(rw, "id: 2\ndata: 2\n\n")
		}))
		response, err := f.call(context.Background(), http.MethodPost, "/stream/x", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		first := make([]byte, len(streamText(1)))
		_, err = io.ReadFull(response.Body, first)
		Expect(err).NotTo(HaveOccurred())
		close(release)
		rest, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(first) + string(rest)).To(Equal(streamText(2)))
	})

	// Guards against an account with a high priority that waits behind others
	// at an engine, and against ranks that engines do not support.
	DescribeTable("is ranked by the account's priority, or else by the route's",
		func(key, rank string) {
			f.startEndpoint("a", streamEvents(1, endStream))
			response, err := f.call(context.Background(), http.MethodPost, "/stream/x", nil, http.Header{headerKey: {key}})
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			Expect(f.received()[0].header.Get(headerRank)).To(Equal(rank))
		},
		Entry("for an account without a priority", "key", "3"),
		Entry("for an account with the highest priority", "urgent", "1"),
		Entry("for an account with a low priority", "patient", "10"),
	)

	// An engine that needs 300 ms to a first event has five prompts to prefill,
	// and the latency target is one second. Guards against a caller that waits
	// for a response which is known to be late, and against refusing one that
	// has started.
	It("is refused at once if it would start late, unless its caller resumes it", func() {
		engine := f.startEndpoint("a", func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(300 * time.Millisecond)
			streamEvents(3, endStream)(rw, r)
		})
		code, _, _ := f.get("/stream/x")
		Expect(code).To(Equal(http.StatusOK))
		f.balance.UpdateLoad(engine, balance.Load{Running: 5, Prefilling: 5})
		code, _, header := f.get("/stream/x")
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		Expect(header.Get("Test-Reason")).To(Equal("overloaded"))
		Expect(f.received()).To(HaveLen(1))
		response, err := f.call(context.Background(), http.MethodPost, "/stream/x", nil, http.Header{headerLastEvent: {"1"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	})

	// startEndpointsFailingFirst starts three endpoints that use the given
	// handler for the first request and serve complete streams for all others.
	startEndpointsFailingFirst := func(first http.HandlerFunc) {
		var asked atomic.Bool
		for _, name := range []string{"a", "b", "c"} {
			f.startEndpoint(name, func(rw http.ResponseWriter, r *http.Request) {
				if asked.CompareAndSwap(false, true) {
					first(rw, r)
					return
				}
				streamEvents(length, endStream)(rw, r)
			})
		}
	}

	// Guards against a missing, duplicate or mixed event after the loss of an
	// engine, and against repeating the prefill although there is a backup.
	DescribeTable("continues at the engine with the backup",
		func(end http.HandlerFunc) {
			startEndpointsFailingFirst(streamEvents(10, end))
			code, body, header := f.get("/stream/x")
			Expect(code).To(Equal(http.StatusOK))
			Expect(body).To(Equal(streamText(length)))
			received := f.received()
			Expect(received).To(HaveLen(2))
			Expect(header.Get(headerSigned)).To(Equal(received[0].endpoint))
			Expect(received[1].header.Get(headerLastEvent)).To(Equal("10"))
			Expect(received[1].header.Get(headerCopy)).To(Equal(received[0].header.Get(headerBackup) + "/attempt-1"))
			Expect(received[1].header.Get(headerBackup)).NotTo(Equal(received[0].header.Get(headerBackup)))
		},
		Entry("after a reset", cutConnection("")),
		Entry("after a connection that broke within an event", cutConnection("5\r\nid: 1")),
		Entry("after a connection that ended without the final chunk", cutConnection("")),
		Entry("after a stall", http.HandlerFunc(hang)),
	)

	// Guards against an engine that keeps generating for a stream that another one continues.
	It("cancels the old attempt when it continues at another engine", func() {
		startEndpointsFailingFirst(streamEvents(10, hang))
		_, body, _ := f.get("/stream/x")
		Expect(body).To(Equal(streamText(length)))
		Eventually(f.cancelledEndpoints, "400ms").Should(ContainElement(f.received()[0].endpoint))
	})

	// Guards against asking for a backup that cannot exist yet.
	It("starts over after an interruption before the first event", func() {
		startEndpointsFailingFirst(cutConnection(""))
		code, body, _ := f.get("/stream/x")
		Expect(code).To(Equal(http.StatusOK))
		Expect(body).To(Equal(streamText(length)))
		Expect(f.received()[1].header).NotTo(HaveKey(headerCopy))
	})

	It("prefills the prompt again when the engine with the backup refuses", func() {
		var asked atomic.Int32
		for _, name := range []string{"a", "b", "c", "d"} {
			f.startEndpoint(name, func(rw http.ResponseWriter, r *http.Request) {
				switch asked.Add(1) {
				case 1:
					streamEvents(10, cutConnection(""))(rw, r)
				case 2:
					respondStatus(http.StatusServiceUnavailable, headerNotExecuted)(rw, r)
				default:
					streamEvents(length, endStream)(rw, r)
				}
			})
		}
		_, body, _ := f.get("/stream/x")
		Expect(body).To(Equal(streamText(length)))
		Expect(f.received()[2].header).NotTo(HaveKey(headerCopy))
		Expect(f.received()[2].header.Get(headerLastEvent)).To(Equal("10"))
	})

	// Guards against a write deadline of the last event that cuts the end of the response.
	It("is complete although its end comes long after its last event", func() {
		f.startEndpoint("a", streamEvents(length, func(http.ResponseWriter, *http.Request) {
			time.Sleep(5200 * time.Millisecond)
		}))
		response, err := f.call(context.Background(), http.MethodPost, "/stream/x", nil, http.Header{headerTimeout: {"9000"}})
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal(streamText(length)))
	})

	// Guards against two attempts of a stream that must not be retried, and
	// against a truncated response that looks complete.
	It("is visibly aborted if it must not be continued", func() {
		f.applyTable(func(r *routing.Route) { r.RetryPolicy = routing.RetryNever })
		f.startEndpoint("a", streamEvents(10, cutConnection("")))
		f.startEndpoint("b", streamEvents(10, cutConnection("")))
		response, err := f.call(context.Background(), http.MethodPost, "/stream/x", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(response.Body)
		Expect(err).To(Equal(io.ErrUnexpectedEOF))
		Expect(f.received()).To(HaveLen(1))
	})

	// Guards against duplicate events when a caller resumes a stream.
	It("continues after the caller's last event", func() {
		f.startEndpoint("a", streamEvents(length, endStream))
		response, err := f.call(context.Background(), http.MethodPost, "/stream/x", nil, http.Header{headerLastEvent: {"20"}})
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(streamText(20) + string(body)).To(Equal(streamText(length)))
	})

	// Guards against generating for a caller that has disconnected.
	It("is cancelled at the engine when the caller disconnects, even while no events are sent", func() {
		f.startEndpoint("a", streamEvents(1, hang))
		ctx, cancel := context.WithCancel(context.Background())
		response, err := f.call(ctx, http.MethodPost, "/stream/x", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.ReadFull(response.Body, make([]byte, 1))
		cancel()
		Eventually(f.cancelledEndpoints, "500ms").Should(ContainElement("a"))
		Eventually(f.handler.ActiveRequests).Should(BeZero())
	})

	// Guards against a stream that the end of the process cuts.
	It("is refused by an instance that stops before it could be complete", func() {
		f.stopping = true
		f.startEndpoint("a", streamEvents(length, endStream))
		code, _, header := f.get("/stream/x")
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		Expect(header.Get("Test-Reason")).To(Equal("shutting_down"))
		Expect(f.received()).To(BeEmpty())
	})

	// Guards against a request that crashes one engine after the other. The
	// caller sends it again with another attempt ID.
	It("is refused once its content has crashed three engines", func() {
		for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
			var server *httptest.Server
			server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				f.mu.Lock()
				f.requests = append(f.requests, receivedRequest{endpoint: name})
				f.mu.Unlock()
				_ = server.Listener.Close()
				cutConnection("")(rw, r)
			}))
			DeferCleanup(server.CloseClientConnections)
			f.addEndpoint(name, server.Listener.Addr().String())
		}
		for range 6 {
			_, _, _ = f.get("/stream/x")
			time.Sleep(20 * time.Millisecond)
		}
		// Crashes are detected in the background, so further requests may pass.
		Expect(len(f.received())).To(BeNumerically("<=", 5))
		_, _, header := f.get("/stream/x")
		Expect(header.Get("Test-Reason")).To(Equal("crash_suspect"))
	})

	// Guards against a caller that waits for its deadline while all engines are
	// down.
	It("is refused at once when no engine is available", func() {
		began := time.Now()
		code, _, _ := f.get("/stream/x")
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
	})
})
