package forward

import (
	"sync"
	"time"
)

const (
	// budgetBuckets is the number of buckets that the window is divided into.
	budgetBuckets = 10
	// defaultBudgetWindow applies if no window is set.
	defaultBudgetWindow = 10 * time.Second
)

// RetryBudgetOptions configures a RetryBudget.
type RetryBudgetOptions struct {
	// Ratio is the number of retries allowed per request, over the window.
	Ratio float64
	// Baseline is the number of retries per window that are allowed in
	// addition, for all instances together.
	Baseline float64
	Window   time.Duration // 0: defaultBudgetWindow
	// InstanceCount returns the number of instances that share the baseline;
	// nil is one.
	InstanceCount func() int
}

// RetryBudget bounds the retries to each service over a sliding window, so that
// failures do not multiply the load. Each instance allows retries in proportion
// to the requests that it receives, plus an equal share of the baseline.
type RetryBudget struct {
	o        RetryBudgetOptions
	mu       sync.Mutex
	services map[string]*serviceUsage
}

// serviceUsage counts requests and retries of one service per bucket.
type serviceUsage struct {
	bucket   int64 // index of the newest bucket, counted since boot
	requests [budgetBuckets]float64
	retries  [budgetBuckets]float64
}

// NewRetryBudget returns a budget without usage.
func NewRetryBudget(o RetryBudgetOptions) *RetryBudget {
	o.Window = budgetWindow(o.Window)
	return &RetryBudget{o: o, services: make(map[string]*serviceUsage)}
}

func budgetWindow(window time.Duration) time.Duration {
	if window <= 0 {
		return defaultBudgetWindow
	}
	return window
}

// SetLimits replaces the limits of the budget. The usage is kept unless the window
// changes.
func (b *RetryBudget) SetLimits(ratio, baseline float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	window = budgetWindow(window)
	if window != b.o.Window {
		clear(b.services)
	}
	b.o.Ratio, b.o.Baseline, b.o.Window = ratio, baseline, window
}

// AddRequest counts a request to the service.
func (b *RetryBudget) AddRequest(now time.Duration, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.advance(now, service)
	u.requests[u.bucket%budgetBuckets]++
}

// TryRetry reports whether a retry is allowed, and counts it if so.
func (b *RetryBudget) TryRetry(now time.Duration, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.advance(now, service)
	if !b.allows(u) {
		return false
	}
	u.retries[u.bucket%budgetBuckets]++
	return true
}

// CanRetry reports whether a retry is allowed, without counting it.
func (b *RetryBudget) CanRetry(now time.Duration, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.advance(now, service))
}

// allows reports whether the usage leaves room for one more retry.
func (b *RetryBudget) allows(u *serviceUsage) bool {
	return sum(u.retries)+1 <= b.o.Ratio*sum(u.requests)+b.baselineShare()
}

// baselineShare is this instance's share of the baseline. If instances share
// it, each has at least one retry.
func (b *RetryBudget) baselineShare() float64 {
	if b.o.InstanceCount == nil {
		return b.o.Baseline
	}
	return max(1, b.o.Baseline/float64(max(1, b.o.InstanceCount())))
}

// advance moves the window of a service to now, clears the expired buckets and
// returns the usage.
func (b *RetryBudget) advance(now time.Duration, service string) *serviceUsage {
	bucket := int64(now / (b.o.Window / budgetBuckets))
	u, ok := b.services[service]
	if !ok {
		u = &serviceUsage{bucket: bucket}
		b.services[service] = u
	}
	for u.bucket < bucket {
		if bucket-u.bucket > budgetBuckets {
			*u = serviceUsage{bucket: bucket}
			break
		}
		u.bucket++
		u.requests[u.bucket%budgetBuckets] = 0
		u.retries[u.bucket%budgetBuckets] = 0
	}
	return u
}

func sum(buckets [budgetBuckets]float64) float64 {
	total := 0.0
	for _, count := range buckets {
		total += count
	}
	return total
}
