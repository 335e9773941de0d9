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
	// burstSeconds is the burst of an instance, as the time in which its rate
	// restores it. minBurst is the smallest burst in calls, for low rates.
	burstSeconds = 2.0
	minBurst     = 10
	// maxBudgetWait bounds how long a call waits for the rate limit.
	maxBudgetWait = 250 * time.Millisecond
)

type lowPriorityKey struct{}

// WithLowPriority returns a context whose calls can wait. They are refused while
// less than half of the instance's burst is left.
func WithLowPriority(ctx context.Context) context.Context {
	return context.WithValue(ctx, lowPriorityKey{}, true)
}

// rateBudget limits the instance to its share of the call rates of the fleet.
type rateBudget struct {
	fleetWritesPerSecond float64
	fleetReadsPerSecond  float64
	writes               *rate.Limiter
	reads                *rate.Limiter

	mu        sync.Mutex
	fleetSize int
}

func newRateBudget(fleetWrites, fleetReads float64, size int) *rateBudget {
	if fleetWrites <= 0 {
		fleetWrites = DefaultFleetWritesPerSecond
	}
	if fleetReads <= 0 {
		fleetReads = DefaultFleetReadsPerSecond
	}
	if size <= 0 {
		size = defaultFleetSize
	}
	b := &rateBudget{fleetWritesPerSecond: fleetWrites, fleetReadsPerSecond: fleetReads, fleetSize: size}
	b.writes = newLimiter(perInstance(fleetWrites, size, minWritesPerSecond))
	b.reads = newLimiter(perInstance(fleetReads, size, minReadsPerSecond))
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
func (b *rateBudget) setFleetSize(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if size <= 0 || size == b.fleetSize {
		return
	}
	b.fleetSize = size
	setLimiter(b.writes, perInstance(b.fleetWritesPerSecond, size, minWritesPerSecond))
	setLimiter(b.reads, perInstance(b.fleetReadsPerSecond, size, minReadsPerSecond))
}

func setLimiter(l *rate.Limiter, perSecond float64) {
	l.SetLimit(rate.Limit(perSecond))
	l.SetBurst(burst(perSecond))
}

// wait waits until the rate limit allows one call. An error means that the call must
// not be sent.
func (b *rateBudget) wait(ctx context.Context, write bool) error {
	limiter := b.reads
	if write {
		limiter = b.writes
	}
	lowPriority, _ := ctx.Value(lowPriorityKey{}).(bool)
	if lowPriority && limiter.Tokens() < float64(limiter.Burst())/2 {
		return fmt.Errorf("%w: less than half of the instance's burst is left for a low-priority call", ErrRateLimited)
	}
	ctx, cancel := context.WithTimeout(ctx, maxBudgetWait)
	defer cancel()
	if err := limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: above the instance's share of the store's call rate", ErrRateLimited)
	}
	return nil
}
