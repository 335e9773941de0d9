package store

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Rates that the platform's store grants to all its clients together. The
// store allows several hundred writes and about two thousand reads a second;
// the fleet plans with less, so that a wrong count of instances is harmless.
const (
	DefaultFleetWritesPerSecond = 300.0
	DefaultFleetReadsPerSecond  = 1500.0
)

const (
	// defaultFleetSize is assumed until the platform's list is read.
	defaultFleetSize = 16
	// minWrites and minReads are an instance's least share a second: a lease
	// renewal, a heartbeat and a watch have to pass in the largest fleet.
	minWrites = 0.5
	minReads  = 2.0
	// burstSeconds is how many seconds of its share an instance may use at
	// once; minBurst keeps small shares usable.
	burstSeconds = 2.0
	minBurst     = 10
	// maxBudgetWait bounds how long a call waits for its share.
	maxBudgetWait = 250 * time.Millisecond
)

type backgroundKey struct{}

// WithLowPriority marks the calls made with the context as work that can wait. They
// get no part of the second half of the instance's burst.
func WithLowPriority(ctx context.Context) context.Context {
	return context.WithValue(ctx, backgroundKey{}, true)
}

// budget is the instance's share of the store's rates.
type budget struct {
	fleetWrites float64
	fleetReads  float64
	writes      *rate.Limiter
	reads       *rate.Limiter

	mu   sync.Mutex
	size int
}

func newBudget(fleetWrites, fleetReads float64, size int) *budget {
	if fleetWrites <= 0 {
		fleetWrites = DefaultFleetWritesPerSecond
	}
	if fleetReads <= 0 {
		fleetReads = DefaultFleetReadsPerSecond
	}
	if size <= 0 {
		size = defaultFleetSize
	}
	b := &budget{fleetWrites: fleetWrites, fleetReads: fleetReads, size: size}
	b.writes = newShare(share(fleetWrites, size, minWrites))
	b.reads = newShare(share(fleetReads, size, minReads))
	return b
}

func share(fleet float64, size int, least float64) float64 {
	return max(fleet/float64(size), least)
}

func burst(perSecond float64) int {
	return max(int(perSecond*burstSeconds), minBurst)
}

// newShare returns a limiter that starts with its whole burst.
func newShare(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))
}

// resize divides the rates among the instances of the platform's list.
func (b *budget) resize(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if size <= 0 || size == b.size {
		return
	}
	b.size = size
	setShare(b.writes, share(b.fleetWrites, size, minWrites))
	setShare(b.reads, share(b.fleetReads, size, minReads))
}

func setShare(l *rate.Limiter, perSecond float64) {
	l.SetLimit(rate.Limit(perSecond))
	l.SetBurst(burst(perSecond))
}

// take waits for the share of one call. A refused call has no effect.
func (b *budget) take(ctx context.Context, write bool) error {
	limiter := b.reads
	if write {
		limiter = b.writes
	}
	background, _ := ctx.Value(backgroundKey{}).(bool)
	if background && limiter.Tokens() < float64(limiter.Burst())/2 {
		return fmt.Errorf("%w: background call beyond the instance's share", ErrRateLimited)
	}
	ctx, cancel := context.WithTimeout(ctx, maxBudgetWait)
	defer cancel()
	if err := limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: beyond the instance's share", ErrRateLimited)
	}
	return nil
}
