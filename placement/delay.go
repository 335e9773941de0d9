package placement

import (
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// arrivalInterval and arrivalDecay set the memory of the requests per model
	// to about five seconds.
	arrivalInterval = time.Second
	arrivalDecay    = 0.8
	// forgottenArrivals is the count below which a model is forgotten.
	forgottenArrivals = 0.05
	// affectedShare is the part of the requests that have to be delayed for the
	// delay to count as the instance's. One overloaded model of several, or a
	// single request that waits for a particular engine, is no reason to shed
	// the requests for all models.
	affectedShare = 0.5
)

// arrivals counts recent requests by model.
type arrivals struct {
	counts  map[api.ModelRef]float64
	total   float64
	decayAt time.Duration
}

func newArrivals() arrivals { return arrivals{counts: make(map[api.ModelRef]float64)} }

func (a *arrivals) add(model api.ModelRef) {
	a.counts[model]++
	a.total++
}

func (a *arrivals) decay(now time.Duration) {
	if now < a.decayAt {
		return
	}
	a.decayAt = now + arrivalInterval
	a.total = 0
	for model, count := range a.counts {
		count *= arrivalDecay
		if count < forgottenArrivals {
			delete(a.counts, model)
			continue
		}
		a.counts[model] = count
		a.total += count
	}
}

// QueueDelay returns the queueing delay of the priority: the wait of the first
// request for a model, at least as long for half of all recent requests.
func (c *Core) QueueDelay(now time.Duration, priority api.Priority) time.Duration {
	first := c.firstWaits(now, priority)
	if len(first) == 0 {
		return 0
	}
	models := make([]api.ModelRef, 0, len(first))
	for model := range first {
		models = append(models, model)
	}
	slices.SortFunc(models, func(a, b api.ModelRef) int { return int(first[b] - first[a]) })
	affected := 0.0
	for _, model := range models {
		affected += c.arrivals.counts[model]
		if affected >= affectedShare*c.arrivals.total {
			return first[model]
		}
	}
	return 0
}

// firstWaits returns the wait of the first new request for each model that is
// not bound to a particular endpoint.
func (c *Core) firstWaits(now time.Duration, priority api.Priority) map[api.ModelRef]time.Duration {
	var first map[api.ModelRef]time.Duration
	for _, w := range c.queues[2*int(priority)+1] {
		if w.gone || w.request.Isolation != api.IsolationNone {
			continue
		}
		if _, known := first[w.request.Model]; known {
			continue
		}
		if first == nil {
			first = make(map[api.ModelRef]time.Duration)
		}
		first[w.request.Model] = now - w.since
	}
	return first
}
