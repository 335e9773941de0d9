package placement

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// minEstimateObservations is the number of responses before the estimate is
	// used.
	minEstimateObservations = 8
	// estimateRiseWeight and estimateFallWeight are the weights of a response that
	// took more or less time than the estimate. The estimate falls faster than it
	// rises, because a wrongly refused request is worse than a late one.
	estimateRiseWeight = 0.2
	estimateFallWeight = 0.3
)

// serviceTimeEstimate is a moving average of the time from grant to completed
// response, per requested token. It includes the wait in an engine that runs more
// generations than it has slots.
type serviceTimeEstimate struct {
	secondsPerToken float64
	observations    int
}

func (e *serviceTimeEstimate) observe(took time.Duration, tokens int) {
	if tokens <= 0 || took <= 0 {
		return
	}
	sample := took.Seconds() / float64(tokens)
	weight := estimateRiseWeight
	if sample < e.secondsPerToken {
		weight = estimateFallWeight
	}
	if e.observations == 0 {
		weight = 1
	}
	e.secondsPerToken += weight * (sample - e.secondsPerToken)
	e.observations++
}

// expectedServiceTime returns how long the response to a request probably takes, or
// 0 if there is no estimate. Marked content has none because it is requested again
// and again with short deadlines of its own, and continuations have none because
// only a part of their response is left.
func (c *Core) expectedServiceTime(request *api.PlacementRequest) time.Duration {
	if request.Kind != api.KindEngine || request.Recovery || request.Isolation != api.IsolationNone {
		return 0
	}
	e := c.serviceTimes[request.Model]
	if e == nil || e.observations < minEstimateObservations {
		return 0
	}
	return time.Duration(e.secondsPerToken * float64(request.Tokens) * float64(time.Second))
}

// recordServiceTime updates the estimate of the model with a completed response.
func (c *Core) recordServiceTime(now time.Duration, g grant, outcome api.Outcome) {
	if outcome != api.OutcomeCompleted || g.endpoint.config.Kind != api.KindEngine || g.continuation {
		return
	}
	e := c.serviceTimes[g.model]
	if e == nil {
		e = &serviceTimeEstimate{}
		c.serviceTimes[g.model] = e
	}
	e.observe(now-g.grantedAt, g.requestedTokens)
}

// cannotFinishInTime reports whether the response to a waiting request cannot be
// completed before its deadline any more. Starting it would use a slot for a
// response that the caller no longer waits for, and under overload all slots
// would be used for such responses.
func (c *Core) cannotFinishInTime(now time.Duration, w *waitingRequest) bool {
	return w.deadline != 0 && now > w.arrivedAt && now+c.expectedServiceTime(&w.request) >= w.deadline
}
