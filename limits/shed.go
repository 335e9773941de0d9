package limits

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// interactiveDelayTarget is the queueing delay that shedding aims at for
	// interactive requests, whose first token is due within 1.8 s. Under overload
	// the 95th percentile of the delay is far above the target: at four times the
	// capacity it is 1.4 s with this target and 2.7 s with 400 ms.
	interactiveDelayTarget = 100 * time.Millisecond
	// draftDelayTarget is the same for drafts, which are less urgent.
	draftDelayTarget = 4 * time.Second
	// adjustInterval is the time between adjustments of the admitted shares.
	adjustInterval = 100 * time.Millisecond
	// maxInteractiveDecrease and maxDraftDecrease bound the relative decrease of
	// the admitted share in one adjustment; admitIncrease is the step up.
	maxInteractiveDecrease = 0.08
	maxDraftDecrease       = 0.3
	admitIncrease          = 0.01
	// idleStepsToDouble is the number of consecutive adjustments without any
	// waiting after which the step up is twice as large, so that the admitted
	// share recovers within seconds after an outage.
	idleStepsToDouble = 5
	// shedInteractiveBelow is the admitted share of drafts below which interactive
	// requests are shed too; recoverDraftsAbove is the admitted share of
	// interactive requests above which more drafts are admitted again.
	shedInteractiveBelow = 0.1
	recoverDraftsAbove   = 0.95
	// minAdmitShare is the lowest admitted share. The queueing delay can only be
	// measured on requests that wait.
	minAdmitShare = 0.02
)

// admissionController adapts the admitted share of one class of requests to its
// queueing delay.
type admissionController struct {
	admitShare float64
	credit     float64 // requests; one is admitted for each whole one
	queueDelay time.Duration
	// idleSteps counts the consecutive adjustments at which no request waited.
	idleSteps int
}

// adjust lowers the admitted share in proportion to the excess of the delay (see
// relativeExcess). It raises the share slowly while the delay is below the target,
// by the full step if it is below half of it, and faster the longer no request has
// waited, which is an excess of -1.
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

// admitNext reports whether to admit the next request. It spreads the refusals
// evenly.
func (c *admissionController) admitNext() bool {
	c.credit += c.admitShare
	if c.credit < 1 {
		return false
	}
	c.credit--
	return true
}

// loadShedder refuses requests before they are queued when the queueing delay
// shows that the endpoints cannot serve all of them.
type loadShedder struct {
	interactive admissionController
	draft       admissionController
	adjustedAt  time.Duration
}

func newLoadShedder() loadShedder {
	return loadShedder{interactive: admissionController{admitShare: 1}, draft: admissionController{admitShare: 1}}
}

// relativeExcess returns how far the delay is above the target, relative to the
// target; it is -1 without any delay.
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
	// Drafts are shed as soon as interactive requests wait for too long;
	// interactive requests are shed only once hardly any draft is admitted.
	interactive := relativeExcess(e.Interactive, interactiveDelayTarget)
	draft := max(interactive, relativeExcess(e.Draft, draftDelayTarget))
	if draft > 0 || s.interactive.admitShare >= recoverDraftsAbove {
		s.draft.adjust(draft, maxDraftDecrease)
	}
	if interactive <= 0 || s.draft.admitShare <= shedInteractiveBelow {
		s.interactive.adjust(interactive, maxInteractiveDecrease)
	}
}

// shouldRefuse reports whether to shed a request, and counts the request towards
// the admitted share. Lookups and orders are never shed: people wait for them and
// they cost little.
func (s *loadShedder) shouldRefuse(now time.Duration, request api.AdmissionRequest, m mutations) bool {
	class := &s.interactive
	switch {
	case request.Priority <= api.PriorityOrder:
		return false
	case (request.Priority == api.PriorityDraft) != m.shedInteractiveFirst:
		class = &s.draft
	}
	if request.Deadline != 0 && class.queueDelay > 0 && now+class.queueDelay >= request.Deadline {
		// The request would exceed its deadline in the queue.
		return true
	}
	return !class.admitNext()
}

func (s *loadShedder) retryAfter() time.Duration {
	return max(time.Second, min(s.interactive.queueDelay, maxRetryAfter))
}
