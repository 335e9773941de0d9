package limits

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// interactiveTarget is the queueing delay that shedding aims at for
	// interactive work; the first token is due within 1.8 s. Under overload the
	// 95th percentile of the waits is far above the target: with 400 ms it was
	// 2.7 s at four times the capacity, with 100 ms it is 1.4 s.
	interactiveTarget = 100 * time.Millisecond
	// draftTarget is the same for drafts, which can wait.
	draftTarget = 4 * time.Second
	// controlInterval is the time between adjustments.
	controlInterval = 100 * time.Millisecond
	// interactiveDecrease and draftDecrease bound one adjustment downwards,
	// increase is the step up.
	interactiveDecrease = 0.08
	draftDecrease       = 0.3
	increase            = 0.01
	// calmSteps is after how many adjustments without any waiting the step up is
	// twice as large, so that the end of an outage is noticed within seconds.
	calmSteps = 5
	// draftsGone is the admitted part of drafts below which interactive work is
	// shed too, interactiveBack the part of interactive work above which drafts
	// are admitted again.
	draftsGone      = 0.1
	interactiveBack = 0.95
	// leastAdmit keeps some requests coming in, since the delay is only known
	// from those that wait.
	leastAdmit = 0.02
)

// controller adapts the admitted part of one class to its queueing delay.
type controller struct {
	admit  float64
	credit float64
	delay  time.Duration
	// calm counts the adjustments in a row at which nothing waited.
	calm int
}

// adjust lowers the admitted part in proportion to the excess delay and raises
// it slowly when there is little, and faster the longer nothing waits.
func (c *controller) adjust(excess, maxDecrease float64) {
	if excess > -1 {
		c.calm = 0
	}
	if excess <= 0 {
		step := increase * (1 + float64(c.calm)/calmSteps)
		c.calm++
		c.admit = min(1, c.admit+step*min(1, -excess*2))
		return
	}
	c.admit = max(leastAdmit, c.admit*(1-maxDecrease*min(1, excess)))
}

// pass spreads the refusals evenly over the requests.
func (c *controller) pass() bool {
	c.credit += c.admit
	if c.credit < 1 {
		return false
	}
	c.credit--
	return true
}

// shedder refuses requests before they queue when the queueing delay shows
// that the endpoints cannot serve them all.
type shedder struct {
	interactive controller
	draft       controller
	adjustedAt  time.Duration
}

func newShedder() shedder {
	return shedder{interactive: controller{admit: 1}, draft: controller{admit: 1}}
}

// excess is the delay above the target relative to the target.
func excess(delay, target time.Duration) float64 {
	return float64(delay-target) / float64(target)
}

func (s *shedder) observe(now time.Duration, e QueueDelayMeasured) {
	s.interactive.delay = e.Interactive
	s.draft.delay = e.Draft
	if now-s.adjustedAt < controlInterval {
		return
	}
	s.adjustedAt = now
	// Drafts give way as soon as interactive work has to wait; interactive work
	// is shed only once hardly any draft is admitted.
	interactive := excess(e.Interactive, interactiveTarget)
	draft := max(interactive, excess(e.Draft, draftTarget))
	if draft > 0 || s.interactive.admit >= interactiveBack {
		s.draft.adjust(draft, draftDecrease)
	}
	if interactive <= 0 || s.draft.admit <= draftsGone {
		s.interactive.adjust(interactive, interactiveDecrease)
	}
}

// refuses decides on one request. Lookups and orders are never shed: people
// wait for them and they cost little.
func (s *shedder) refuses(now time.Duration, request api.AdmissionRequest, f faults) bool {
	class := &s.interactive
	switch {
	case request.Priority <= api.PriorityOrder:
		return false
	case (request.Priority == api.PriorityDraft) != f.shedHighFirst:
		class = &s.draft
	}
	if request.Deadline != 0 && class.delay > 0 && now+class.delay >= request.Deadline {
		// It would expire in the queue.
		return true
	}
	return !class.pass()
}

func (s *shedder) retryAfter() time.Duration {
	return max(time.Second, min(s.interactive.delay, maxRetryAfter))
}
