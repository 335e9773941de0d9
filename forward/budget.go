package forward

import (
	"sync"
	"time"
)

// budgetSteps is the number of parts that the window is counted in.
const budgetSteps = 10

// RetryBudgetOptions configures a Budget.
type RetryBudgetOptions struct {
	// Ratio is the part of the requests of a window that may be repeated.
	Ratio float64
	// Baseline is the number of repetitions of a window that are free of it, for
	// all instances together.
	Baseline float64
	Window   time.Duration
	// InstanceCount returns the number of instances that share the baseline; nil
	// is one.
	InstanceCount func() int
}

// RetryBudget bounds the repetitions of requests to each service over a sliding
// window, so that failures do not multiply the load. Each instance holds a
// share of the fleet's budget in proportion to the requests that it sees.
type RetryBudget struct {
	o        RetryBudgetOptions
	mu       sync.Mutex
	services map[string]*usage
}

// usage counts requests and repetitions of one service in parts of the window.
type usage struct {
	step     int64
	requests [budgetSteps]float64
	repeats  [budgetSteps]float64
}

// NewRetryBudget returns a budget without usage.
func NewRetryBudget(o RetryBudgetOptions) *RetryBudget {
	return &RetryBudget{o: o, services: make(map[string]*usage)}
}

// AddRequest counts a request.
func (b *RetryBudget) AddRequest(now time.Duration, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.at(now, service)
	u.requests[u.step%budgetSteps]++
}

// TryRetry asks for a repetition and counts it if it is allowed.
func (b *RetryBudget) TryRetry(now time.Duration, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.at(now, service)
	if sum(u.repeats)+1 > b.o.Ratio*sum(u.requests)+b.baseline() {
		return false
	}
	u.repeats[u.step%budgetSteps]++
	return true
}

// baseline is this instance's part, at least one repetition.
func (b *RetryBudget) baseline() float64 {
	if b.o.InstanceCount == nil {
		return b.o.Baseline
	}
	return max(1, b.o.Baseline/float64(max(1, b.o.InstanceCount())))
}

func (b *RetryBudget) at(now time.Duration, service string) *usage {
	step := int64(now / (b.o.Window / budgetSteps))
	u, ok := b.services[service]
	if !ok {
		u = &usage{step: step}
		b.services[service] = u
	}
	for u.step < step {
		if step-u.step > budgetSteps {
			*u = usage{step: step}
			break
		}
		u.step++
		u.requests[u.step%budgetSteps] = 0
		u.repeats[u.step%budgetSteps] = 0
	}
	return u
}

func sum(parts [budgetSteps]float64) float64 {
	total := 0.0
	for _, part := range parts {
		total += part
	}
	return total
}
