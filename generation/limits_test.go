package generation

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// closingEngine responds to the first request of each connection and closes the
// connection after it has read the second. In this case net/http resends requests
// that it considers idempotent.
type closingEngine struct {
	net.Listener
	mu          sync.Mutex
	openCounts  map[string]int
	reused      int
	headers     []http.Header
	connections sync.WaitGroup
}

func newClosingEngine() *closingEngine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	e := &closingEngine{Listener: listener, openCounts: make(map[string]int)}
	e.connections.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.connections.Go(func() { e.serveConnection(conn) })
		}
	})
	return e
}

func (e *closingEngine) serveConnection(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.Method == http.MethodGet {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		var body engineRequest
		_ = json.NewDecoder(request.Body).Decode(&body)
		e.mu.Lock()
		if strings.HasSuffix(request.URL.Path, "/completions") {
			e.openCounts[body.RequestID]++
			e.headers = append(e.headers, request.Header)
			if !first {
				e.reused++
			}
		}
		e.mu.Unlock()
		if !first {
			return
		}
		chunk := fmt.Sprintf("data: {\"request_id\":%q,\"attempt\":%d,\"position\":%d,\"token\":1,\"text\":\"x\",\"finish_reason\":\"stop\"}\n\n",
			body.RequestID, body.Attempt, len(body.PrefixTokens))
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(chunk), chunk)
	}
}

var _ = Describe("requests of callers", func() {
	var instance *testInstance
	BeforeEach(func() {
		e := newFakeEngine()
		instance = newTestInstance(nil, e)
		DeferCleanup(func() {
			instance.stop()
			e.stop()
		})
	})

	refused := func(response *callerResponse, why reason.Reason, field string) {
		GinkgoHelper()
		Expect(response.err.Reason).To(Equal(why), response.body)
		Expect(response.err.Run).To(Equal(reason.RunNo))
		Expect(response.err.Field).To(Equal(field))
	}

	// Guards against invalid requests that reach an engine.
	DescribeTable("are refused as not run", func(body string, header map[string]string, why reason.Reason, field string) {
		refused(instance.send(body, header), why, field)
	},
		Entry("invalid JSON", `{`, nil, reason.BadRequest, ""),
		Entry("unknown field", `{"model":"m","prompt":"p","max_tokens":1,"n":2}`, nil, reason.BadRequest, ""),
		Entry("data after the JSON object", `{"model":"m","prompt":"p","max_tokens":1}{}`, nil, reason.BadRequest, ""),
		Entry("no prompt", `{"model":"m","max_tokens":1}`, nil, reason.BadRequest, "prompt"),
		Entry("max_tokens above the limit", `{"model":"m","prompt":"p","max_tokens":1001}`, nil, reason.BadRequest, "max_tokens"),
		Entry("no max_tokens", `{"model":"m","prompt":"p"}`, nil, reason.BadRequest, "max_tokens"),
		Entry("temperature above the limit", `{"model":"m","prompt":"p","max_tokens":1,"temperature":3}`, nil, reason.BadRequest, "temperature"),
		Entry("prefix without event ID", `{"model":"m","prompt":"p","max_tokens":1,"prefix_tokens":[1]}`, nil, reason.BadRequest, "prefix_tokens"),
		Entry("body above the limit", `{"model":"m","prompt":"`+strings.Repeat("p", 1<<16)+`","max_tokens":1}`, nil, reason.TooLarge, ""),
		Entry("unknown model", `{"model":"x","prompt":"p","max_tokens":1}`, nil, reason.ModelUnknown, "model"),
		Entry("timeout of 0", streamBody, map[string]string{"Request-Timeout-Ms": "0"}, reason.BadRequest, "Request-Timeout-Ms"),
		Entry("malformed event ID", streamBody, map[string]string{"Last-Event-ID": "v1.x"}, reason.EventIDInvalid, "Last-Event-ID"),
		Entry("unknown credential", streamBody, map[string]string{"Authorization": "Bearer other"}, reason.Unauthenticated, ""),
	)

	// Guards against running content that crashes engines.
	It("are refused when their content crashed engines", func() {
		instance.marks.level.Store(int32(api.IsolationRefused))
		refused(instance.send(streamBody, nil), reason.CrashSuspect, "")
	})

	// Guards against content that keeps waiting for an endpoint, or gets one, after
	// another instance marked it to be refused.
	It("are refused when their content is marked while they wait", func() {
		instance.placer.setEndpoints(nil)
		instance.marks.level.Store(int32(api.IsolationSeparate))
		ended := make(chan *callerResponse, 1)
		go func() { ended <- instance.send(streamBody, nil) }()
		Eventually(instance.runner.activeRequestCount).Should(Equal(1))
		Consistently(ended, "200ms").ShouldNot(Receive())
		instance.marks.level.Store(int32(api.IsolationRefused))
		refused(<-ended, reason.CrashSuspect, "")
	})

	// Guards against accepting or rejecting credentials without a configuration.
	It("are refused before a ticket is active", func() {
		instance.runner.o.Config().Ticket = 0
		refused(instance.send(streamBody, nil), reason.NotReady, "")
	})

	// Guards against requests without a trace for operators.
	It("have a trace under their ID and are not listed as resumed", func() {
		response := instance.send(streamBody, nil)
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodGet, "/", nil)
		request.SetPathValue("id", response.header.Get(generationHeader))
		instance.runner.TraceHandler().ServeHTTP(recorder, request)
		Expect(recorder.Body.String()).To(ContainSubstring(`"finished"`))
		recorder = httptest.NewRecorder()
		instance.runner.ResumedStreamsHandler().ServeHTTP(recorder, request)
		Expect(recorder.Body.String()).To(ContainSubstring(`"resumed":[]`))
	})
})

var _ = Describe("requests to engines", func() {
	// Guards against net/http resending a request after a reused connection was
	// closed, and against an Idempotency-Key header, which makes net/http do so.
	It("are never sent twice by net/http", func() {
		e := newClosingEngine()
		instance := newTestInstance(nil)
		endpoint := api.Endpoint{ID: "e1", Kind: api.KindEngine, Address: e.Addr().String(), Half: "h1", Models: []api.ModelRef{{Model: "m"}}}
		instance.runner.o.Config().Endpoints["e1"] = endpoint
		instance.placer.endpoints = []api.Endpoint{endpoint}
		for i := range 6 {
			response := instance.send(streamBody, map[string]string{"Idempotency-Key": fmt.Sprint("k", i), "Request-Timeout-Ms": "5000"})
			Expect(response.receivedDone).To(BeTrue(), response.body)
		}
		instance.stop()
		e.Close()
		e.connections.Wait()
		Expect(e.reused).To(BeNumerically(">", 0), "no connection was reused")
		for id, count := range e.openCounts {
			Expect(count).To(Equal(1), id)
		}
		for _, header := range e.headers {
			Expect(header).NotTo(HaveKey("Idempotency-Key"))
		}
	})
})

// blockedWriter is a caller that does not read.
type blockedWriter struct{ *httptest.ResponseRecorder }

func (blockedWriter) Write([]byte) (int, error)          { return 0, os.ErrDeadlineExceeded }
func (blockedWriter) SetWriteDeadline(_ time.Time) error { return nil }

var _ = Describe("slow callers", func() {
	// Guards against memory that grows with the unread tokens of a caller, and
	// against a goroutine that waits forever for the caller to read.
	It("are disconnected", func() {
		e := newFakeEngine()
		e.tokenInterval = 10 * time.Millisecond
		instance := newTestInstance(nil, e)
		DeferCleanup(func() {
			instance.stop()
			e.stop()
		})
		request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(streamBody))
		request.Header.Set("Authorization", "Bearer "+testToken)
		instance.runner.Handler().ServeHTTP(blockedWriter{httptest.NewRecorder()}, request)
		Eventually(func() string {
			trace, _ := instance.runner.Trace(instance.runner.traces.ids[0])
			return string(trace.Steps[len(trace.Steps)-1].Reason)
		}).Should(Equal(string(reason.SlowCaller)))
	})

	// Guards against a buffer that grows while a caller does not read.
	It("have a bounded buffer", func() {
		c := newCallerConnection(1, true)
		for range maxUnsentTokens + 5 {
			c.deliver(DeliverToken{HasToken: true})
		}
		batch, _, overflow, _ := c.takeUnsent()
		Expect(batch).To(HaveLen(maxUnsentTokens))
		Expect(overflow).To(BeTrue())
	})
})

// TestKeepAlive guards against callers that close the connection because they
// receive nothing while a continuation waits for an endpoint.
func TestKeepAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		instance := &testInstance{placer: &fakePlacer{activeGrants: make(map[uint64]bool)}, marks: &fakeCrashMarks{}}
		began := time.Now()
		o := testOptions(instance, &api.Config{}, func() time.Duration { return time.Since(began) })
		r, err := New(o)
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { _ = r.Run(ctx); close(ended) }()
		synctest.Wait()
		recorder := httptest.NewRecorder()
		request := &Request{Generation: "g", Stream: true}
		conn := newCallerConnection(1, true)
		done := make(chan struct{})
		go func() {
			newResponseWriter(r, recorder, httptest.NewRequest(http.MethodPost, "/", nil), request, conn).run()
			close(done)
		}()
		time.Sleep(2*keepAliveInterval + time.Millisecond)
		conn.finish(reason.New(reason.DeadlineExceeded, "late"))
		<-done
		cancel()
		<-ended
		g.Expect(strings.Count(recorder.Body.String(), ": waiting\n\n")).To(Equal(2))
		g.Expect(recorder.Body.String()).To(ContainSubstring("event: error\ndata: {"))
	})
}

// TestIdleTimeout guards against timeouts outside their limits, against a
// timeout that ignores an engine's long gaps, and against a first-token timeout
// that does not grow with the prompt and the queue.
func TestIdleTimeout(t *testing.T) {
	g := NewWithT(t)
	var s gapEstimator
	g.Expect(s.tokenTimeout()).To(Equal(maxIdleTimeout))
	for range 1000 {
		s.observe(20 * time.Millisecond)
	}
	g.Expect(s.tokenTimeout()).To(Equal(minIdleTimeout))
	s.observe(300 * time.Millisecond)
	for range 100 {
		s.observe(20 * time.Millisecond)
	}
	g.Expect(s.tokenTimeout()).To(BeNumerically("~", 450*time.Millisecond, 10*time.Millisecond))
	s.observe(5 * time.Second)
	g.Expect(s.tokenTimeout()).To(Equal(maxIdleTimeout))

	c := NewCore(CoreOptions{Recovery: RecoveryEager})
	a := &attempt{newStream: true, endpoint: api.Endpoint{ID: "e"}}
	short := c.attemptIdleTimeout(&generation{request: &Request{Prompt: "p"}}, a)
	long := c.attemptIdleTimeout(&generation{request: &Request{Prompt: strings.Repeat("p", 1<<16)}}, a)
	c.endpointOf(a).openStreams = 20
	queued := c.attemptIdleTimeout(&generation{request: &Request{Prompt: "p"}}, a)
	g.Expect(long).To(BeNumerically(">", short+2*time.Second))
	g.Expect(queued).To(BeNumerically(">", short))
}

// TestPrefixStore guards against stored prefixes that grow without bound, that
// never expire, or that combine parts with a gap between them.
func TestPrefixStore(t *testing.T) {
	g := NewWithT(t)
	store := newPrefixStore()
	store.store(0, &peerpb.Prefix{Generation: "late", From: 5, Tokens: []uint32{1}})
	_, found := store.get("late")
	g.Expect(found).To(BeFalse())
	store.store(0, &peerpb.Prefix{Generation: "a", Tokens: []uint32{1, 2, 3}})
	store.store(time.Second, &peerpb.Prefix{Generation: "a", From: 2, Tokens: []uint32{3, 4}})
	store.store(time.Second, &peerpb.Prefix{Generation: "a", From: 9, Tokens: []uint32{9}})
	tokens, _ := store.get("a")
	g.Expect(tokens).To(Equal([]uint32{1, 2, 3, 4}))
	for i := range 20 {
		store.store(time.Second, &peerpb.Prefix{Generation: fmt.Sprint(i), Tokens: make([]uint32, maxStoredTokens/10)})
	}
	g.Expect(store.tokenCount).To(BeNumerically("<=", maxStoredTokens))
	store.expire(time.Second + prefixTTL)
	g.Expect(store.byID).To(BeEmpty())
	g.Expect(store.tokenCount).To(BeZero())
}

// TestRunLeavesNoGoroutine guards against goroutines that outlive Run.
func TestRunLeavesNoGoroutine(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	first, second := newFakeEngine(), newFakeEngine()
	first.freezeBefore = 5
	instance := newTestInstance(nil, first, second)
	if response := instance.send(streamBody, nil); !response.receivedDone {
		t.Errorf("the response did not end with [DONE]: %s", response.body)
	}
	instance.stop()
	first.stop()
	second.stop()
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	goleak.VerifyNone(t, ignore)
}
