package forward

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

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
