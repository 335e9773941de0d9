// Package backoff remembers which remote addresses are not asked for a while after
// a failure.
package backoff

import (
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/bootclock"
)

// Set holds the addresses in backoff. It is safe for concurrent use.
type Set struct {
	clock bootclock.Func
	mu    sync.Mutex
	until map[string]time.Duration // end of the backoff, by address
}

// NewSet returns a set without addresses.
func NewSet(clock bootclock.Func) *Set {
	return &Set{clock: clock, until: make(map[string]time.Duration)}
}

// Start begins or prolongs the backoff of an address.
func (s *Set) Start(address string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until[address] = s.clock() + d
}

// Contains reports whether the address is in backoff.
func (s *Set) Contains(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[address]
	if ok && s.clock() >= until {
		delete(s.until, address)
		return false
	}
	return ok
}
