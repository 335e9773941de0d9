package placement

import (
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// The counts of requests per model are multiplied by arrivalDecay every
	// arrivalInterval, so that they cover about the last five seconds.
	arrivalInterval = time.Second
	arrivalDecay    = 0.8
	// minArrivals is the count below which a model is removed.
	minArrivals = 0.05
	// affectedShare is the share of recent requests whose models have to be
	// delayed before a queueing delay is reported. The delay makes the instance
	// shed requests for all models, so neither one overloaded model of several
	// nor a single request that waits for a particular engine may raise it.
	affectedShare = 0.5
)

// arrivals holds exponentially decaying counts of requests per model.
type arrivals struct {
	counts      map[api.ModelRef]float64
	total       float64
	nextDecayAt time.Duration
}

func newArrivals() arrivals { return arrivals{counts: make(map[api.ModelRef]float64)} }

func (a *arrivals) add(model api.ModelRef) {
	a.counts[model]++
	a.total++
}

func (a *arrivals) decay(now time.Duration) {
	if now < a.nextDecayAt {
		return
	}
	a.nextDecayAt = now + arrivalInterval
	a.total = 0
	for model, count := range a.counts {
		count *= arrivalDecay
		if count < minArrivals {
			delete(a.counts, model)
			continue
		}
		a.counts[model] = count
		a.total += count
	}
}

// QueueDelay returns the queueing delay of the priority: the longest wait that
// models with at least half of all recent requests have reached. The wait of a
// model is that of its first waiting request.
func (c *Core) QueueDelay(now time.Duration, priority api.Priority) time.Duration {
	waitByModel := c.oldestWaitByModel(now, priority)
	if len(waitByModel) == 0 {
		return 0
	}
	models := make([]api.ModelRef, 0, len(waitByModel))
	for model := range waitByModel {
		models = append(models, model)
	}
	slices.SortFunc(models, func(a, b api.ModelRef) int { return int(waitByModel[b] - waitByModel[a]) })
	affected := 0.0
	for _, model := range models {
		affected += c.arrivals.counts[model]
		if affected >= affectedShare*c.arrivals.total {
			return waitByModel[model]
		}
	}
	return 0
}

// oldestWaitByModel returns, per model, how long the first waiting request has
// waited that is neither a continuation nor marked content.
func (c *Core) oldestWaitByModel(now time.Duration, priority api.Priority) map[api.ModelRef]time.Duration {
	var waitByModel map[api.ModelRef]time.Duration
	// The index is that of waitingRequest.queue for new requests.
	for _, w := range c.queues[2*int(priority)+1] {
		if w.removed || w.request.Isolation != api.IsolationNone {
			continue
		}
		if _, known := waitByModel[w.request.Model]; known {
			continue
		}
		if waitByModel == nil {
			waitByModel = make(map[api.ModelRef]time.Duration)
		}
		waitByModel[w.request.Model] = now - w.arrivedAt
	}
	return waitByModel
}
