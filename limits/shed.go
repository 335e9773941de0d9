package limits

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// interactiveDelayTarget is the queueing delay that shedding aims at for
	// interactive work; the first token is due within 1.8 s. Under overload the
	// 95th percentile of the waits is far above the target: with 400 ms it was
	// 2.7 s at four times the capacity, with 100 ms it is 1.4 s.
	interactiveDelayTarget = 100 * time.Millisecond
	// draftDelayTarget is the same for drafts, which can wait.
	draftDelayTarget = 4 * time.Second
	// adjustInterval is the time between adjustments.
	adjustInterval = 100 * time.Millisecond
	// maxInteractiveDecrease and draftDecrease bound one adjustment downwards,
	// increase is the step up.
	maxInteractiveDecrease = 0.08
	maxDraftDecrease       = 0.3
	admitIncrease          = 0.01
	// idleStepsToDouble is after how many adjustments without any waiting the step up is
	// twice as large, so that the end of an outage is noticed within seconds.
	idleStepsToDouble = 5
	// shedInteractiveBelow is the admitted part of drafts below which interactive work is
	// shed too, interactiveBack the part of interactive work above which drafts
	// are admitted again.
	shedInteractiveBelow = 0.1
	recoverDraftsAbove   = 0.95
	// minAdmitShare keeps some requests coming in, since the delay is only known
	// from those that wait.
	minAdmitShare = 0.02
)

// admissionController adapts the admitted part of one class to its queueing delay.
type admissionController struct {
	admitShare float64
	credit     float64
	queueDelay time.Duration
	// idleSteps counts the adjustments in a row at which nothing waited.
	idleSteps int
}

// adjust lowers the admitted part in proportion to the excess delay and raises
// it slowly when there is little, and faster the longer nothing waits.
func (c *admissionController) adjust(excess, maxDecrease float64) {
	if excess > -1 {
		c.idleSteps = 0
	}
	if excess <= 0 {
		step := admitIncrease * (1 + float64(c.idleSteps)/idleStepsToDouble)
		c.idleSteps++
		c.admitShare = min(1, c.admitShare+step*min(1, -excess*2))
		return
	}
	c.admitShare = max(minAdmitShare, c.admitShare*(1-maxDecrease*min(1, excess)))
}

// admitNext spreads the refusals evenly over the requests.
func (c *admissionController) admitNext() bool {
	c.credit += c.admitShare
	if c.credit < 1 {
		return false
	}
	c.credit--
	return true
}

// loadShedder refuses requests before they queue when the queueing delay shows
// that the endpoints cannot serve them all.
type loadShedder struct {
	interactive admissionController
	draft       admissionController
	adjustedAt  time.Duration
}

func newLoadShedder() loadShedder {
	return loadShedder{interactive: admissionController{admitShare: 1}, draft: admissionController{admitShare: 1}}
}

// relativeExcess is the delay above the target relative to the target.
func relativeExcess(delay, target time.Duration) float64 {
	return float64(delay-target) / float64(target)
}

func (s *loadShedder) update(now time.Duration, e QueueDelayMeasured) {
	s.interactive.queueDelay = e.Interactive
	s.draft.queueDelay = e.Draft
	if now-s.adjustedAt < adjustInterval {
		return
	}
	s.adjustedAt = now
	// Drafts give way as soon as interactive work has to wait; interactive work
	// is shed only once hardly any draft is admitted.
	interactive := relativeExcess(e.Interactive, interactiveDelayTarget)
	draft := max(interactive, relativeExcess(e.Draft, draftDelayTarget))
	if draft > 0 || s.interactive.admitShare >= recoverDraftsAbove {
		s.draft.adjust(draft, maxDraftDecrease)
	}
	if interactive <= 0 || s.draft.admitShare <= shedInteractiveBelow {
		s.interactive.adjust(interactive, maxInteractiveDecrease)
	}
}

// shouldRefuse decides on one request. Lookups and orders are never shed: people
// wait for them and they cost little.
func (s *loadShedder) shouldRefuse(now time.Duration, request api.AdmissionRequest, f mutations) bool {
	class := &s.interactive
	switch {
	case request.Priority <= api.PriorityOrder:
		return false
	case (request.Priority == api.PriorityDraft) != f.shedInteractiveFirst:
		class = &s.draft
	}
	if request.Deadline != 0 && class.queueDelay > 0 && now+class.queueDelay >= request.Deadline {
		// It would expire in the queue.
		return true
	}
	return !class.admitNext()
}

func (s *loadShedder) retryAfter() time.Duration {
	return max(time.Second, min(s.interactive.queueDelay, maxRetryAfter))
}
