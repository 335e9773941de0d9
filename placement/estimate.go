package placement

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// estimateSamples answers are seen before the estimate is used.
	estimateSamples = 8
	// estimateRise and estimateFall are the weights of an answer that took more
	// or less time than the estimate. The estimate falls faster than it rises,
	// because a request that is refused wrongly is worse than a late one.
	estimateRise = 0.2
	estimateFall = 0.3
)

// estimate is the time that an answer takes, for each token that its request
// allows. It contains the wait in an engine that runs more than its slots.
type estimate struct {
	perToken float64 // seconds
	samples  int
}

func (e *estimate) observe(took time.Duration, tokens int) {
	if tokens <= 0 || took <= 0 {
		return
	}
	sample := took.Seconds() / float64(tokens)
	weight := estimateRise
	if sample < e.perToken {
		weight = estimateFall
	}
	if e.samples == 0 {
		weight = 1
	}
	e.perToken += weight * (sample - e.perToken)
	e.samples++
}

// answerTime returns how long the answer to a request probably takes, or 0 if
// that is not known. Isolated content asks again and again with short deadlines
// of its own, and continuations have only a part of the answer left.
func (c *Core) answerTime(request *api.PlacementRequest) time.Duration {
	if request.Kind != api.KindEngine || request.Recovery || request.Isolation != api.IsolationNone {
		return 0
	}
	e := c.estimates[request.Model]
	if e == nil || e.samples < estimateSamples {
		return 0
	}
	return time.Duration(e.perToken * float64(request.Tokens) * float64(time.Second))
}

// observeAnswer learns from an answer that was completed.
func (c *Core) observeAnswer(now time.Duration, g grant, outcome api.Outcome) {
	if outcome != api.OutcomeCompleted || g.endpoint.configured.Kind != api.KindEngine || g.recovery {
		return
	}
	e := c.estimates[g.model]
	if e == nil {
		e = &estimate{}
		c.estimates[g.model] = e
	}
	e.observe(now-g.since, g.asked)
}

// hopelessWait reports whether a waiting request can no longer be answered
// before its deadline. Starting it would spend a slot on an answer that nobody
// waits for, and under overload all slots would go to such answers.
func (c *Core) hopelessWait(now time.Duration, w *waiter) bool {
	return w.deadline != 0 && now > w.since && now+c.answerTime(&w.request) >= w.deadline
}
