package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

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
