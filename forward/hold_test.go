package forward_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/forward"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/upstream"
)

const (
	// stalledCallers is how many callers read nothing at the same time.
	stalledCallers = 300
	// steadyInterval is the interval between the events of a stream whose caller reads.
	steadyInterval = 20 * time.Millisecond
	// maxSteadyGap is the longest gap that such a stream may have beside stalled callers, the one
	// that still counts as on time (docs/demands.md).
	maxSteadyGap = 700 * time.Millisecond
	eventBytes   = 1 << 10
	bodyBytes    = 200 << 10
)

// slowFixture is a handler that bounds slow readers, with listeners as the gateway has them.
type slowFixture struct {
	*fixture
	scope   tally.TestScope
	address string
	onEvent func()       // called after each event that the endpoint has sent; nil is none
	sent    atomic.Int64 // bytes of events and bodies that endpoints wrote
	asked   atomic.Int64 // requests to endpoints
}

func newSlowFixture(memoryBytes int64) *slowFixture {
	s := &slowFixture{scope: tally.NewTestScope("", nil)}
	synced := make(chan struct{})
	close(synced)
	s.fixture = newFixtureWithOptions(synced, func(_ *fixture, o *forward.Options) {
		o.RetryBudget = forward.NewRetryBudget(forward.RetryBudgetOptions{Ratio: 1, Baseline: 100, Window: 10 * time.Second})
		o.Pool = upstream.New(upstream.Options{Clock: bootclock.Now, SocketBufferBytes: forward.SocketBufferBytes})
		o.MemoryBytes = func() int64 { return memoryBytes }
		o.BoundSlowReaders = true
		o.Scope = s.scope
	})
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return upstream.SetSocketBuffers(raw, forward.SocketBufferBytes)
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := httptest.NewUnstartedServer(s.handler)
	_ = server.Listener.Close()
	server.Listener = listener
	server.Config.ConnContext = forward.ConnContext
	server.Start()
	DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
	s.address = listener.Addr().String()
	s.server = server
	routes := []routing.Route{
		{Name: "plain", Prefix: "/plain/", MaxAttempts: 1},
		{Name: "stream", Prefix: "/stream/", Stream: true, MaxAttempts: 3, RetryPolicy: routing.RetryFromLastEvent, TargetEventGap: 400 * time.Millisecond, TargetLatency: time.Second},
	}
	for i := range routes {
		routes[i].Host, routes[i].Services = "service.example", []routing.WeightedService{{Service: "s", Weight: 1}}
	}
	routes = append(routes, routing.Route{
		Name: "unread", Host: "service.example", Prefix: "/unread/", MaxAttempts: 1,
		Services: []routing.WeightedService{{Service: "unread", Weight: 1}},
	})
	s.table.Apply(routing.New(1, routes, []routing.Service{{Name: "s"}, {Name: "unread"}}, []routing.Account{{ID: "acme", Keys: []string{"key"}}}, routing.Limits{}))
	engine := httptest.NewUnstartedServer(http.HandlerFunc(s.serveEndpoint))
	engine.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateNew {
			_ = conn.(*net.TCPConn).SetWriteBuffer(16 << 10)
		}
	}
	engine.Start()
	DeferCleanup(func() { engine.CloseClientConnections(); engine.Close() })
	s.balance.Apply(registry.Change{Kind: registry.Added, Endpoint: registry.Endpoint{
		ID: "e", Incarnation: 1, Service: "s", Address: engine.Listener.Addr().String(), Domain: "d0", Slots: 10000,
	}})
	return s
}

// serveEndpoint sends a body, events without a pause, or events at an interval.
func (s *slowFixture) serveEndpoint(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.asked.Add(1)
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set(headerSigned, "e")
	if strings.HasPrefix(r.URL.Path, "/plain/") {
		n, _ := w.Write(make([]byte, bodyBytes))
		s.sent.Add(int64(n))
		return
	}
	last, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
	size := eventBytes
	if r.URL.Path == "/stream/large" {
		size = 48 << 10
	}
	count := 1000
	if n, ok := strings.CutPrefix(r.URL.Path, "/stream/finite"); ok {
		count, _ = strconv.Atoi(n)
	}
	for id := last + 1; r.Context().Err() == nil && id <= last+count; id++ {
		n, err := fmt.Fprintf(w, "id: %d\ndata: %0*d\n\n", id, size, id)
		s.sent.Add(int64(n))
		if s.onEvent != nil {
			s.onEvent()
		}
		if err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		if r.URL.Path == "/stream/steady" {
			time.Sleep(steadyInterval)
		}
	}
}

func paddedEvent(id int) string {
	return fmt.Sprintf("id: %d\ndata: %0*d\n\n", id, eventBytes, id)
}

// stalledCall sends the start of a request from a socket with a small buffer and reads nothing.
func (s *slowFixture) stalledCall(start string) *net.TCPConn {
	GinkgoHelper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error { return upstream.SetSocketBuffers(raw, 4<<10) }}
	conn, err := dialer.Dial("tcp", s.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	_, err = io.WriteString(conn, start)
	Expect(err).NotTo(HaveOccurred())
	return conn.(*net.TCPConn)
}

func requestHead(method, path, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: service.example\r\n%s: attempt-1\r\n%s: key\r\n%s: 20000\r\n%s\r\n",
		method, path, headerID, headerKey, headerTimeout, more)
}

// steadyReader reads a stream until the context ends and records the longest gap between events.
func (s *slowFixture) steadyReader(ctx context.Context, wait *sync.WaitGroup, longest *atomic.Int64) {
	GinkgoHelper()
	response, err := s.call(ctx, http.MethodGet, "/stream/steady", nil, http.Header{headerTimeout: {"60000"}})
	Expect(err).NotTo(HaveOccurred())
	wait.Go(func() {
		defer func() { _ = response.Body.Close() }()
		lines, last := bufio.NewReader(response.Body), time.Now()
		for {
			line, err := lines.ReadString('\n')
			if err != nil {
				return
			}
			if strings.HasPrefix(line, "id:") {
				gap := int64(time.Since(last))
				for old := longest.Load(); gap > old && !longest.CompareAndSwap(old, gap); old = longest.Load() {
				}
				last = time.Now()
			}
		}
	})
}

// beside runs steady streams beside the actions and expects that they are not delayed.
func (s *slowFixture) beside(actions func()) {
	GinkgoHelper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wait sync.WaitGroup
	var longest atomic.Int64
	for range 20 {
		s.steadyReader(ctx, &wait, &longest)
	}
	time.Sleep(200 * time.Millisecond)
	actions()
	cancel()
	wait.Wait()
	AddReportEntry("longest gap of a steady stream", time.Duration(longest.Load()).String())
	Expect(time.Duration(longest.Load())).To(BeNumerically("<", maxSteadyGap))
}

func (s *slowFixture) refused(why reason.Reason) int64 {
	for _, counter := range s.scope.Snapshot().Counters() {
		if counter.Name() == "refused" && counter.Tags()["reason"] == string(why) {
			return counter.Value()
		}
	}
	return 0
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}

// cutEvents reads what a stalled caller was sent and returns the number of events. It expects whole
// events without a gap, and no end of the response.
func cutEvents(conn *net.TCPConn, first int) int {
	GinkgoHelper()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	return countCut(conn, first)
}

func countCut(sent io.Reader, first int) int {
	GinkgoHelper()
	response, err := http.ReadResponse(bufio.NewReader(sent), nil)
	Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(response.Body)
	Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	count := 0
	for event := paddedEvent(first); len(body) > 0; event = paddedEvent(first + count) {
		Expect(bytes.HasPrefix(body, []byte(event))).To(BeTrue(), "event %d of a stalled caller", first+count)
		body = body[len(event):]
		count++
	}
	return count
}

var _ = Describe("Callers that read nothing", Serial, func() {
	const memoryBytes = 184 << 20

	// Guards against memory that grows with the number of stalled streams, against streams that are
	// delayed by them, and against a stalled stream that cannot be resumed.
	It("of streams hold a bounded amount, and their streams end after a whole event", func() {
		s := newSlowFixture(memoryBytes)
		s.beside(func() {
			before, askedBefore := heapBytes(), s.asked.Load()
			var callers []*net.TCPConn
			for range stalledCallers {
				callers = append(callers, s.stalledCall(requestHead("GET", "/stream/flood", "")))
			}
			Eventually(s.asked.Load, "10s").Should(Equal(askedBefore + stalledCallers))
			time.Sleep(500 * time.Millisecond)
			_, _, events := s.handler.HeldBytes()
			grown := (heapBytes() - before) / stalledCallers
			AddReportEntry("bytes held for events", events)
			AddReportEntry("heap and stacks for each stalled stream, with its caller and engine", grown)
			Expect(events).To(BeNumerically("<=", stalledCallers*64<<10))
			Expect(events).To(BeNumerically(">", 0))
			Expect(grown).To(BeNumerically("<", 400<<10))
			// What was sent beside what is held fits into the buffers of the sockets.
			Expect(s.sent.Load()).To(BeNumerically("<", stalledCallers*1000*eventBytes/2))
			Eventually(func() int64 { return s.refused(reason.SlowCaller) }, "10s").Should(BeEquivalentTo(stalledCallers))
			Eventually(func() int64 { _, _, events := s.handler.HeldBytes(); return events }, "2s").Should(BeNumerically("<", 100<<10))
			for i, caller := range callers {
				if i%10 != 0 {
					continue
				}
				count := cutEvents(caller, 1)
				Expect(count).To(BeNumerically(">", 0))
				if i == 0 {
					resumed := s.stalledCall(requestHead("GET", "/stream/flood", headerLastEvent+": "+strconv.Itoa(count)+"\r\n"))
					time.Sleep(4 * time.Second)
					Expect(cutEvents(resumed, count+1)).To(BeNumerically(">", 0))
				}
			}
			Expect(s.asked.Load()).To(Equal(askedBefore+stalledCallers+1), "stalled streams were sent to other engines")
		})
	})

	// Guards against an engine that cuts off the response to a caller that reads too little (the engine
	// may send nothing for 3 s), and against streams that end although their engine can send.
	DescribeTable("of streams but a part at a time are cut off if that blocks their engine", func(pieceBytes int, cut bool) {
		s := newSlowFixture(memoryBytes)
		var last, longest atomic.Int64 // time of the engine's last write, longest pause
		s.onEvent = func() {
			now := time.Now().UnixNano()
			if before := last.Swap(now); before > 0 && now-before > longest.Load() {
				longest.Store(now - before)
			}
		}
		conn := s.stalledCall(requestHead("GET", "/stream/flood", ""))
		all, piece := bytes.Buffer{}, make([]byte, pieceBytes)
		for began := time.Now(); s.refused(reason.SlowCaller) == 0 && time.Since(began) < 8*time.Second; time.Sleep(200 * time.Millisecond) {
			n, err := io.ReadAtLeast(conn, piece, pieceBytes/2)
			Expect(err).NotTo(HaveOccurred())
			all.Write(piece[:n])
		}
		longest.Store(max(longest.Load(), time.Now().UnixNano()-last.Load()))
		AddReportEntry("longest pause of the engine", time.Duration(longest.Load()).String())
		Expect(time.Duration(longest.Load())).To(BeNumerically("<", 4*time.Second))
		Expect(s.asked.Load()).To(BeEquivalentTo(1))
		Expect(s.refused(reason.SlowCaller) > 0).To(Equal(cut))
		if cut {
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			Expect(countCut(io.MultiReader(&all, conn), 1)).To(BeNumerically(">", 0))
		}
	},
		Entry("5 KB/s", 1<<10, true),
		Entry("100 KB/s", 20<<10, false),
	)

	// Guards against a stream that ends although its engine has sent all of it and its caller reads.
	DescribeTable("that read steadily are not cut once their engine has finished", func(events int) {
		s := newSlowFixture(memoryBytes)
		conn := s.stalledCall(requestHead("GET", fmt.Sprint("/stream/finite", events), ""))
		piece := make([]byte, 1<<10)
		received, began := 0, time.Now()
		for s.refused(reason.SlowCaller) == 0 && received < events*eventBytes {
			n, err := io.ReadAtLeast(conn, piece, 1)
			Expect(err).NotTo(HaveOccurred(), "after %v", time.Since(began))
			received += n
			time.Sleep(100 * time.Millisecond)
		}
		AddReportEntry("engine wrote", fmt.Sprint(s.sent.Load(), " of ", events*1042, "; caller read ", received, " in ", time.Since(began)))
		Expect(s.refused(reason.SlowCaller)).To(BeZero())
	}, Entry("60 events", 60), Entry("90 events", 90))

	// Guards against stalled streams that together take the memory of all others.
	It("of streams leave room for others when there is little memory", func() {
		s := newSlowFixture(16 << 20) // 0.8 MB for events
		s.beside(func() {
			for range stalledCallers {
				s.stalledCall(requestHead("GET", "/stream/flood", ""))
			}
			for range 30 {
				_, _, events := s.handler.HeldBytes()
				Expect(events).To(BeNumerically("<=", 16<<20/20+(stalledCallers+20)*4<<10))
				time.Sleep(50 * time.Millisecond)
			}
		})
	})

	// Guards against stalled streams with large events that take the memory of all others.
	It("of streams with large events make room for others", func() {
		s := newSlowFixture(16 << 20) // 0.8 MB for events
		s.beside(func() {
			began := time.Now()
			for range 100 {
				s.stalledCall(requestHead("GET", "/stream/large", ""))
			}
			for time.Since(began) < 2500*time.Millisecond {
				_, _, events := s.handler.HeldBytes()
				Expect(events).To(BeNumerically("<=", 16<<20/20+20*4<<10))
				time.Sleep(50 * time.Millisecond)
			}
			Expect(s.refused(reason.SlowCaller)).To(BeNumerically(">", 0))
		})
	})

	// Guards against response bodies that fill the memory, and against a plain response that looks
	// complete to a caller that reads it too late.
	It("of plain bodies hold a bounded amount and delay no stream", func() {
		const limit = 64 << 20
		s := newSlowFixture(limit)
		s.beside(func() {
			var callers []*net.TCPConn
			for range stalledCallers {
				callers = append(callers, s.stalledCall(requestHead("GET", "/plain/x", "")))
			}
			most := int64(0)
			for range 60 {
				_, plain, _ := s.handler.HeldBytes()
				most = max(most, plain)
				time.Sleep(50 * time.Millisecond)
			}
			AddReportEntry("most bytes held for plain bodies", most)
			Expect(most).To(BeNumerically("<=", limit/10))
			Expect(most).To(BeNumerically(">", limit/20))
			Eventually(func() int64 { _, plain, _ := s.handler.HeldBytes(); return plain }, "40s").Should(BeZero())
			_ = callers[0].SetReadDeadline(time.Now().Add(5 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(callers[0]), nil)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadAll(response.Body)
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			Expect(s.refused(reason.SlowCaller)).To(BeNumerically(">", 0))
		})
	})

	// Guards against a body that is cut because its caller is slow but reads.
	It("for less than the bound, again and again, get the whole body", func() {
		s := newSlowFixture(memoryBytes)
		conn := s.stalledCall(requestHead("GET", "/plain/x", ""))
		received, piece := 0, make([]byte, 20<<10)
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		for received < bodyBytes {
			time.Sleep(300 * time.Millisecond)
			n, err := io.ReadAtLeast(conn, piece, 1)
			Expect(err).NotTo(HaveOccurred())
			received += n
		}
		Expect(s.refused(reason.SlowCaller)).To(BeZero())
	})
})

var _ = Describe("Engines that do not read", Serial, func() {
	// Guards against uploads that are held until the deadlines of their requests.
	It("their uploads are given up, and delay no stream", func() {
		s := newSlowFixture(184 << 20)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		s.beside(func() {
			s.balance.Apply(registry.Change{Kind: registry.Added, Endpoint: registry.Endpoint{
				ID: "f", Incarnation: 1, Service: "unread", Address: listener.Addr().String(), Domain: "d0", Slots: 10000,
			}})
			body := make([]byte, bodyBytes)
			var wait sync.WaitGroup
			var failed atomic.Int64
			for range 150 {
				time.Sleep(5 * time.Millisecond) // a burst would delay streams by its work
				wait.Go(func() {
					response, err := s.call(context.Background(), http.MethodPost, "/unread/x", bytes.NewReader(body), http.Header{headerTimeout: {"30000"}})
					if err == nil && response.StatusCode == http.StatusBadGateway {
						failed.Add(1)
					}
				})
			}
			wait.Wait()
			Expect(failed.Load()).To(BeEquivalentTo(150))
			uploads, _, _ := s.handler.HeldBytes()
			Expect(uploads).To(BeZero())
		})
	})
})

var _ = Describe("Callers whose uploads stall", Serial, func() {
	// Guards against declared bodies that hold the memory until the deadlines of their requests.
	It("are refused after the bound and delay no stream", func() {
		s := newSlowFixture(64 << 20)
		s.beside(func() {
			for range stalledCallers {
				s.stalledCall(requestHead("POST", "/plain/x", "Content-Length: "+strconv.Itoa(bodyBytes)+"\r\n") + "part")
			}
			uploads, _, _ := s.handler.HeldBytes()
			Expect(uploads).To(BeNumerically("<=", 16<<20))
			Expect(uploads).To(BeNumerically(">", 8<<20))
			Eventually(func() int64 { uploads, _, _ := s.handler.HeldBytes(); return uploads }, "5s").Should(BeZero())
			Expect(s.refused(reason.SlowCaller)).To(BeNumerically(">", 0))
		})
	})
})
