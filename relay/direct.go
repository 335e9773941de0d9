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
	// retryShare is the part of the time to activate a configuration that passes between
	// two such reads at the other instances, at least storeBackoff. Each call to the store
	// has its price, but nobody else may reach the store when it is back.
	retryShare = 0.6
)

// errStoreBackoff means that neither another instance responds nor the store did at the
// last try.
var errStoreBackoff = errors.New("the store did not respond and is not asked again yet")

// directBackoff decides when an instance reads the store itself after that has failed. It
// is safe for concurrent use.
type directBackoff struct {
	retryInterval time.Duration // at an instance that the others don't read through
	mu            sync.Mutex
	failed        bool          // the last read failed
	failedAt      time.Duration // boot clock time of the last failure
}

// newDirectBackoff returns the backoff for a time within which a configuration has to
// become active; 0 is unknown.
func newDirectBackoff(activation time.Duration) *directBackoff {
	return &directBackoff{retryInterval: max(storeBackoff, time.Duration(float64(activation)*retryShare))}
}

func (b *directBackoff) recordResponse() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed = false
}

func (b *directBackoff) recordFailure(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed, b.failedAt = true, now
}

// preferHelpers reports whether other instances are asked before the store.
func (b *directBackoff) preferHelpers(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failed && now-b.failedAt < storeBackoff
}

// delay returns the time until the store may be read, 0 if it may be now. reader says
// that other instances read through this one, or that it has nothing to serve requests
// with.
func (b *directBackoff) delay(now time.Duration, reader bool) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.failed {
		return 0
	}
	interval := b.retryInterval
	if reader {
		interval = readerRetryInterval
	}
	return max(0, interval-(now-b.failedAt))
}
