package relay

import (
	"errors"
	"sync"
	"time"
)

const (
	// storeBackoff is how long other instances are asked before the store after
	// a read of the store has failed.
	storeBackoff = 1500 * time.Millisecond
	// readerRetryInterval is the time between two reads of a store that fails, at an
	// instance that the others read through. They have it back when that one has.
	readerRetryInterval = 300 * time.Millisecond
	// minRetryInterval and maxRetryInterval bound it at the other instances, where it
	// doubles with each failure: each call to the store has its price.
	minRetryInterval = storeBackoff
	maxRetryInterval = 4 * storeBackoff
)

// errStoreBackoff means that neither another instance responds nor the store did at the
// last try.
var errStoreBackoff = errors.New("the store did not respond and is not asked again yet")

// directBackoff decides when an instance reads the store itself after that has failed. It
// is safe for concurrent use.
type directBackoff struct {
	mu       sync.Mutex
	failedAt time.Duration // last failure; 0 is none since the last response
	failures int           // since the last response
}

func (b *directBackoff) recordResponse() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failedAt, b.failures = 0, 0
}

func (b *directBackoff) recordFailure(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failedAt = now
	b.failures++
}

// preferHelpers reports whether other instances are asked before the store.
func (b *directBackoff) preferHelpers(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures > 0 && now-b.failedAt < storeBackoff
}

// allow reports whether the store may be read. reader says that other instances read
// through this one, or that it has nothing to serve requests with.
func (b *directBackoff) allow(now time.Duration, reader bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures == 0 {
		return true
	}
	interval := readerRetryInterval
	if !reader {
		interval = min(maxRetryInterval, minRetryInterval<<min(b.failures-1, 8))
	}
	return now-b.failedAt >= interval
}
