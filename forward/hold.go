package forward

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/upstream"
)

const (
	// plainMemoryFraction and eventMemoryFraction are the parts of the process's memory for the
	// bodies of plain responses and for events in flight. They are apart, so that plain
	// responses to slow callers delay no stream.
	plainMemoryFraction = 0.10
	eventMemoryFraction = 0.05
	// maxHeldEventBytes bounds the events that wait for the caller of one stream: one event of
	// the largest size.
	maxHeldEventBytes = maxEventBytes
	// alwaysHeldBytes is what a stream that holds nothing may hold in any case, so that streams
	// with events of the usual size never wait for memory. 1000 streams take 4 MB in this way.
	alwaysHeldBytes = 4 << 10
	// heldShare bounds what one stream holds to this part of the memory that is free.
	heldShare = 8
	// slowCallerTimeout is how long a caller may read nothing although data waits for it. An
	// engine cuts off a response that stays unread for some seconds.
	slowCallerTimeout = 3 * time.Second
	// sendQueueBytes is how much the kernel may hold for a caller when a further event is
	// written. With SocketBufferBytes the kernel then takes an event of the largest size whole.
	sendQueueBytes = 16 << 10
	// minEvictStall is how long a caller must have read nothing before its stream is ended for
	// want of memory. A lost packet is sent again after 200 ms.
	minEvictStall = 500 * time.Millisecond
	// minEvictInterval is the time in which an evicted stream releases its memory. Without it all
	// streams that wait for memory would each evict one.
	minEvictInterval = 20 * time.Millisecond
	// minCallerPoll and maxCallerPoll bound the interval between two looks at the send queue of
	// a caller that is not written to.
	minCallerPoll = 5 * time.Millisecond
	maxCallerPoll = 100 * time.Millisecond
	// plainWaitShare is the part of a request's remaining time that it waits for memory.
	plainWaitShare = 0.5
	// firstPlainBytes is reserved before a plain request is sent. Bodies have about 1 KB.
	firstPlainBytes = 4 << 10
)

// SocketBufferBytes is the size of the kernel's buffers of a connection to a caller or an
// endpoint if slow readers are bounded.
const SocketBufferBytes = 64 << 10

// MinMemoryBytes returns the memory from which on the parts of the memory hold the largest
// body of a request and of a response, and the events of a stream.
func MinMemoryBytes() int64 {
	return int64(max(defaultMaxBodyBytes/bodyMemoryFraction, maxResponseBytes/plainMemoryFraction, maxHeldEventBytes/eventMemoryFraction))
}

// LargestBodyBytes returns the largest request body that an instance with the memory can hold.
func LargestBodyBytes(memoryBytes int64) int64 {
	return int64(float64(memoryBytes) * bodyMemoryFraction)
}

// BoundedMemoryFraction is the part of the process's memory that requests and responses in
// progress may take together.
const BoundedMemoryFraction = bodyMemoryFraction + plainMemoryFraction + eventMemoryFraction

// slowReaders bounds what is held for callers that read slowly; nil bounds nothing.
type slowReaders struct {
	plain, events *responseMemory
	evictions     tally.Counter
}

func newSlowReaders(o Options) *slowReaders {
	if !o.BoundSlowReaders {
		return nil
	}
	part := func(fraction float64) func() int64 {
		return func() int64 {
			if o.MemoryBytes == nil {
				return 0
			}
			return int64(float64(o.MemoryBytes()) * fraction)
		}
	}
	return &slowReaders{
		plain:     newResponseMemory(part(plainMemoryFraction), o.Scope.Counter("body_memory_waits")),
		events:    newResponseMemory(part(eventMemoryFraction), o.Scope.Counter("event_memory_waits")),
		evictions: o.Scope.Counter("streams_evicted"),
	}
}

// responseMemory bounds the memory of responses in flight. It is safe for concurrent use.
type responseMemory struct {
	limit   func() int64 // bytes; 0 is none
	waits   tally.Counter
	mu      sync.Mutex
	used    int64
	waiting []*holding     // for memory, in the order in which they came
	stalled []*stalledRead // callers that do not read
	evicted time.Time      // when the last stream was evicted
}

func newResponseMemory(limit func() int64, waits tally.Counter) *responseMemory {
	return &responseMemory{limit: limit, waits: waits}
}

// holding is what is held for one response; nil counts nothing. Its memory is released when
// it is closed.
type holding struct {
	memory *responseMemory
	max    int64 // bytes at a time, except for a single larger piece; 0 is no bound
	wake   chan struct{}
	held   int64
	wants  int64 // bytes that it waits for, while it is in memory.waiting
	closed bool
}

func (m *responseMemory) open(maxBytes int64) *holding {
	return &holding{memory: m, max: maxBytes, wake: make(chan struct{}, 1)}
}

// tryReserve takes n bytes. If the total has no room, full is true.
func (h *holding) tryReserve(n int64) (ok, full bool) {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := m.limit()
	switch {
	case h.closed || h.held > 0 && h.held+n > h.allowed(limit):
		return false, false
	case limit > 0 && m.used+n > limit && !(h.max > 0 && h.held == 0 && n <= alwaysHeldBytes):
		h.wants = n
		if !slices.Contains(m.waiting, h) {
			m.waiting = append(m.waiting, h)
		}
		return false, true
	}
	h.held += n
	m.used += n
	return true, false
}

// allowed returns the bound of the holding while others use the memory. Many that hold as much
// as they may leave room for the first bytes of others.
func (h *holding) allowed(limit int64) int64 {
	switch {
	case h.max == 0:
		return math.MaxInt64
	case limit == 0:
		return h.max
	}
	return min(h.max, (limit-h.memory.used)/heldShare)
}

// reserve takes n bytes as soon as there is room. While the total has none, it calls makeRoom
// from time to time. It returns false if the context ends before.
func (h *holding) reserve(ctx context.Context, n int64, makeRoom func()) bool {
	if h == nil {
		return true
	}
	for first := true; ; first = false {
		ok, full := h.tryReserve(n)
		if ok {
			return true
		}
		if full && first {
			h.memory.waits.Inc(1)
		}
		retry := make(<-chan time.Time)
		if full {
			makeRoom()
			retry = time.After(maxCallerPoll)
		}
		select {
		case <-h.wake:
		case <-retry:
		case <-ctx.Done():
			return false
		}
	}
}

func (h *holding) release(n int64) {
	if h == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.releaseLocked(n)
}

func (h *holding) releaseLocked(n int64) {
	n = min(n, h.held)
	h.held -= n
	h.memory.used -= n
	h.signal()
	// Wakes only those that now have room. Small events of other streams release memory many
	// times a second, and hundreds may wait.
	m := h.memory
	free := m.limit() - m.used
	for len(m.waiting) > 0 && m.waiting[0].wants <= free {
		free -= m.waiting[0].wants
		m.waiting[0].signal()
		m.waiting = m.waiting[1:]
	}
}

func (h *holding) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// close releases all; nothing can be reserved afterwards.
func (h *holding) close() {
	if h == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.closed = true
	h.memory.waiting = slices.DeleteFunc(h.memory.waiting, func(w *holding) bool { return w == h })
	h.releaseLocked(h.held)
}

// stalledRead is a stream that cannot be written, because its caller does not read.
type stalledRead struct {
	since   time.Time
	evicted chan struct{}
}

// evictLongestStalled ends the stream whose caller has read nothing for the longest time.
func (s *slowReaders) evictLongestStalled() {
	m := s.events
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.stalled) == 0 {
		return
	}
	longest := slices.MinFunc(m.stalled, func(a, b *stalledRead) int { return cmp.Compare(a.since.UnixNano(), b.since.UnixNano()) })
	if time.Since(longest.since) < minEvictStall || time.Since(m.evicted) < minEvictInterval {
		return
	}
	m.evicted = time.Now()
	m.removeStalledLocked(longest)
	close(longest.evicted)
	s.evictions.Inc(1)
}

func (m *responseMemory) addStalled(r *stalledRead) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stalled = append(m.stalled, r)
}

func (m *responseMemory) removeStalled(r *stalledRead) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeStalledLocked(r)
}

func (m *responseMemory) removeStalledLocked(r *stalledRead) {
	m.stalled = slices.DeleteFunc(m.stalled, func(other *stalledRead) bool { return other == r })
}

// errSlowCaller means that a caller did not read what waits for it.
var errSlowCaller = errors.New("the caller does not read")

// isSlowCaller reports whether a write to a caller failed because it does not read.
func isSlowCaller(err error) bool {
	return errors.Is(err, errSlowCaller) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}

// connContextKey is the context key of the connection of a caller.
type connContextKey struct{}

// ConnContext makes the connection of a caller known to the handler (http.Server.ConnContext).
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// sendQueue returns the bytes that the kernel holds for the caller; false if it is unknown.
func sendQueue(inbound *http.Request) (int, bool) {
	conn, ok := inbound.Context().Value(connContextKey{}).(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, false
	}
	var queued int
	var queryErr error
	err = raw.Control(func(fd uintptr) { queued, queryErr = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return queued, err == nil && queryErr == nil
}

// engineProgress tells whether an engine can send while its stream waits for the caller. The kernels
// on both sides let a blocked writer go on only after a good part of a buffer was read, so that an
// engine may send nothing for seconds although its caller reads a little.
type engineProgress struct {
	conn     atomic.Pointer[upstream.Conn] // nil before it is connected
	received uint64
	since    time.Time // when received was taken
	checked  time.Time // last call of blocked
}

// minBlockedBytes is what waits at least to be read from an engine that can send no more. With a
// smaller receive buffer in use the engine may also have sent everything.
const minBlockedBytes = SocketBufferBytes / 2

// blocked reports whether the engine's response has been unread for slowCallerTimeout, while less
// arrived of it than a buffer holds.
func (p *engineProgress) blocked(now time.Time) bool {
	conn := p.conn.Load()
	if conn == nil {
		return false
	}
	received, unread, known := conn.Received()
	keptUp := now.Sub(p.checked) > maxBehindGap
	p.checked = now
	if !known || unread < minBlockedBytes || keptUp || received >= p.received+SocketBufferBytes {
		p.received, p.since = received, now
		return false
	}
	return now.Sub(p.since) >= slowCallerTimeout
}

// maxBehindGap is how long a stream that is behind its engine may go on without waiting for its
// caller: the kernel takes several events at a time.
const maxBehindGap = 500 * time.Millisecond

// awaitCaller waits until the kernel takes n bytes for the caller at once, so that an event is
// written whole or not at all. It returns errSlowCaller if the caller reads nothing for
// slowCallerTimeout, or if the engine, which is nil for a plain body, can send nothing for as long,
// or if a stream has to make room for others.
func (s *slowReaders) awaitCaller(ctx context.Context, inbound *http.Request, n int, engine *engineProgress) error {
	if s == nil {
		return nil
	}
	var stalled *stalledRead
	last, progress := -1, time.Now()
	for poll := minCallerPoll; ; poll = min(2*poll, maxCallerPoll) {
		queued, known := sendQueue(inbound)
		if !known || queued == 0 || queued+n <= sendQueueBytes {
			if stalled != nil {
				s.events.removeStalled(stalled)
			}
			return nil
		}
		if last < 0 || queued < last {
			progress = time.Now()
			if stalled != nil {
				s.events.removeStalled(stalled)
			}
			stalled = &stalledRead{since: progress, evicted: make(chan struct{})}
			if engine != nil {
				s.events.addStalled(stalled)
			}
		}
		last = queued
		if time.Since(progress) >= slowCallerTimeout || engine != nil && engine.blocked(time.Now()) {
			s.events.removeStalled(stalled)
			return errSlowCaller
		}
		select {
		case <-time.After(poll):
		case <-stalled.evicted:
			return errSlowCaller
		case <-ctx.Done():
			s.events.removeStalled(stalled)
			return ctx.Err()
		}
	}
}

// evictForRoom ends a stream whose caller does not read, if there is one.
func (h *Handler) evictForRoom() { h.slow.evictLongestStalled() }

// writeTimeout returns the bound of one write to a caller that does not read.
func (h *Handler) writeTimeout() time.Duration {
	if h.slow != nil {
		return slowCallerTimeout
	}
	return writeTimeout
}

// openEvents returns the holding for the events of an attempt.
func (s *slowReaders) openEvents() *holding {
	if s == nil {
		return nil
	}
	return s.events.open(maxHeldEventBytes)
}

// failureBytes returns the memory for the body of an engine's failure.
func failureBytes(response *http.Response) int64 {
	if response.ContentLength < 0 {
		return maxResponseBytes
	}
	return min(response.ContentLength, maxResponseBytes)
}

// openPlain returns the holding for the body of a plain response.
func (s *slowReaders) openPlain() *holding {
	if s == nil {
		return nil
	}
	return s.plain.open(0)
}

// reservePlain takes n bytes for the body of a response. It waits for half of the request's
// remaining time.
func (h *Handler) reservePlain(ctx context.Context, req *request, held *holding, n int64) *reason.Error {
	if held == nil {
		return nil
	}
	wait := defaultBodyTimeout
	if req.deadline != 0 {
		wait = time.Duration(float64(h.remainingTime(req)) * plainWaitShare)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if held.reserve(ctx, n, func() {}) {
		return nil
	}
	return reason.New(reason.Overloaded, "the responses to other requests take the memory").WithRetryAfter(busyRetryAfter)
}

// readHeldBody reads the whole body of a response into memory that is reserved before.
func (h *Handler) readHeldBody(ctx context.Context, req *request, held *holding, response *http.Response) ([]byte, error) {
	if held == nil {
		return readBody(response)
	}
	size := int64(firstPlainBytes)
	if response.ContentLength > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	if response.ContentLength >= 0 {
		size = response.ContentLength + 1 // the last byte lets the end be read
	}
	reserved := int64(firstPlainBytes)
	var body []byte
	for {
		if size > reserved {
			if refusal := h.reservePlain(ctx, req, held, size-reserved); refusal != nil {
				return nil, refusal
			}
			reserved = size
		}
		body = append(make([]byte, 0, size), body...)
		for len(body) < cap(body) {
			n, err := response.Body.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			switch {
			case errors.Is(err, io.EOF):
				return body, nil
			case err != nil:
				return nil, err
			}
		}
		if len(body) > maxResponseBytes {
			return nil, errResponseTooLarge
		}
		size = min(2*size, maxResponseBytes+1)
	}
}

// writeBody writes the body of a plain response. If slow readers are bounded, the caller has to
// go on reading and to have read it by the request's deadline, but gets slowCallerTimeout.
func (h *Handler) writeBody(w http.ResponseWriter, req *request, body []byte) error {
	if h.slow == nil {
		_, err := w.Write(body)
		return err
	}
	wait := defaultBodyTimeout
	if req.deadline != 0 {
		wait = max(slowCallerTimeout, h.remainingTime(req))
	}
	ctx, cancel := context.WithTimeout(req.inbound.Context(), wait)
	defer cancel()
	controller := http.NewResponseController(w)
	for piece := range slices.Chunk(body, sendQueueBytes) {
		if err := h.slow.awaitCaller(ctx, req.inbound, len(piece), nil); err != nil {
			return err
		}
		_ = controller.SetWriteDeadline(time.Now().Add(slowCallerTimeout))
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	_ = controller.SetWriteDeadline(time.Now().Add(slowCallerTimeout)) // net/http writes the rest
	return nil
}

// limitStalledUpload lets the caller's body arrive without pauses of slowCallerTimeout if slow
// readers are bounded: a declared body takes memory from the start.
func (h *Handler) limitStalledUpload(w http.ResponseWriter, req *request, timeout time.Duration) {
	if h.slow == nil {
		return
	}
	end, controller := time.Now().Add(timeout), http.NewResponseController(w)
	req.memory.beforeRead = func() {
		next := time.Now().Add(slowCallerTimeout)
		if next.After(end) {
			next = end
		}
		_ = controller.SetReadDeadline(next)
	}
}

// uploadTimeoutError returns the refusal of a request whose body did not arrive in time.
func (h *Handler) uploadTimeoutError(req *request) *reason.Error {
	if h.slow != nil && (req.deadline == 0 || h.o.Clock() < req.deadline) {
		return reason.New(reason.SlowCaller, "the body does not arrive")
	}
	return reason.New(reason.DeadlineExceeded, "the body did not arrive before the deadline")
}

// abortSlowPlain closes the connection of a caller that does not read the body of its response.
func (h *Handler) abortSlowPlain(req *request) {
	h.refusals.Inc(reason.SlowCaller)
	req.log.Warn("response aborted", "reason", reason.SlowCaller, "message", errSlowCaller.Error(),
		"attempts", req.attempts, "age_ms", (h.o.Clock() - req.received).Milliseconds())
	panic(http.ErrAbortHandler)
}
