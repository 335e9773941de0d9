package store

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Default call rates of all instances together. The platform's store allows several
// hundred writes and about two thousand reads a second to all its clients; these
// rates are lower, so that a wrong count of instances does no harm.
const (
	DefaultFleetWritesPerSecond = 300.0
	DefaultFleetReadsPerSecond  = 1500.0
)

const (
	// defaultFleetSize is the number of instances that is assumed until the
	// platform's list of instances is read.
	defaultFleetSize = 16
	// minWritesPerSecond and minReadsPerSecond are the lowest rates of an instance,
	// however large the fleet is: they are enough for a lease renewal, a heartbeat
	// and a watch.
	minWritesPerSecond = 0.5
	minReadsPerSecond  = 2.0
	// burstSeconds is the burst of an instance in seconds of its rate. minBurst is the
	// smallest burst in calls, for low rates.
	burstSeconds = 2.0
	minBurst     = 10
	// maxRateLimitWait bounds how long a call waits for the rate limit.
	maxRateLimitWait = 250 * time.Millisecond
)

type lowPriorityKey struct{}

// WithLowPriority returns a context for calls that can be made later. They are refused
// with ErrRateLimited while less than half of the instance's burst is left.
func WithLowPriority(ctx context.Context) context.Context {
	return context.WithValue(ctx, lowPriorityKey{}, true)
}

// rateLimits limits the instance to its share of the fleet's call rates.
type rateLimits struct {
	fleetWritesPerSecond float64
	fleetReadsPerSecond  float64
	writes               *rate.Limiter
	reads                *rate.Limiter

	mu        sync.Mutex
	fleetSize int
}

func newRateLimits(fleetWritesPerSecond, fleetReadsPerSecond float64, fleetSize int) *rateLimits {
	if fleetWritesPerSecond <= 0 {
		fleetWritesPerSecond = DefaultFleetWritesPerSecond
	}
	if fleetReadsPerSecond <= 0 {
		fleetReadsPerSecond = DefaultFleetReadsPerSecond
	}
	if fleetSize <= 0 {
		fleetSize = defaultFleetSize
	}
	b := &rateLimits{fleetWritesPerSecond: fleetWritesPerSecond, fleetReadsPerSecond: fleetReadsPerSecond, fleetSize: fleetSize}
	b.writes = newLimiter(perInstance(fleetWritesPerSecond, fleetSize, minWritesPerSecond))
	b.reads = newLimiter(perInstance(fleetReadsPerSecond, fleetSize, minReadsPerSecond))
	return b
}

// perInstance returns the call rate of one instance.
func perInstance(fleetRate float64, fleetSize int, minRate float64) float64 {
	return max(fleetRate/float64(fleetSize), minRate)
}

func burst(perSecond float64) int {
	return max(int(perSecond*burstSeconds), minBurst)
}

// newLimiter returns a limiter that starts with its full burst.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))
}

// setFleetSize divides the rates among the instances of the platform's list.
func (b *rateLimits) setFleetSize(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if size <= 0 || size == b.fleetSize {
		return
	}
	b.fleetSize = size
	setRate(b.writes, perInstance(b.fleetWritesPerSecond, size, minWritesPerSecond))
	setRate(b.reads, perInstance(b.fleetReadsPerSecond, size, minReadsPerSecond))
}

func setRate(l *rate.Limiter, perSecond float64) {
	l.SetLimit(rate.Limit(perSecond))
	l.SetBurst(burst(perSecond))
}

// wait waits until the rate limit allows one call, at most maxRateLimitWait. An error
// means that the call must not be sent.
func (b *rateLimits) wait(ctx context.Context, write bool) error {
	limiter := b.reads
	if write {
		limiter = b.writes
	}
	lowPriority, _ := ctx.Value(lowPriorityKey{}).(bool)
	if lowPriority && limiter.Tokens() < float64(limiter.Burst())/2 {
		return fmt.Errorf("%w: low-priority call refused: less than half of the burst is left", ErrRateLimited)
	}
	ctx, cancel := context.WithTimeout(ctx, maxRateLimitWait)
	defer cancel()
	if err := limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: above the instance's share of the store's call rate", ErrRateLimited)
	}
	return nil
}
