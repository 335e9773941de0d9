package forward

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// expectedStreamDuration is the estimated time to prefill a prompt and
	// generate 130 events.
	expectedStreamDuration = 6 * time.Second
	// plainDurationFactor times the target latency is the longest time that a plain
	// request is expected to take.
	plainDurationFactor = 10
	// shutdownRetryAfter is the Retry-After advice of an instance that shuts
	// down; callers retry at another instance.
	shutdownRetryAfter = 50 * time.Millisecond
)

// stopRefusal returns a refusal if this instance stops before the response to a request
// that is passed on now, otherwise nil. It has to be asked again after each wait, for the
// body or for an endpoint, during which a stop may begin or end.
func (h *Handler) stopRefusal(req *request) *reason.Error {
	stopping, timeLeft := h.o.Stopping()
	if !stopping || timeLeft >= h.expectedDuration(req) {
		return nil
	}
	return reason.New(reason.ShuttingDown, "the instance stops before the answer").WithRetryAfter(shutdownRetryAfter)
}

// expectedDuration returns how long a request takes at most from now, as far as is known.
// A plain one is ended at its deadline.
func (h *Handler) expectedDuration(req *request) time.Duration {
	if req.route.Stream {
		return expectedStreamDuration
	}
	expected, remaining := plainDurationFactor*req.route.TargetLatency, h.remainingTime(req)
	if expected == 0 || remaining > 0 && remaining < expected {
		return remaining
	}
	return expected
}

// startRefusal returns a refusal for an attempt that is about to start, as stopRefusal and
// attemptRefusal.
func (h *Handler) startRefusal(req *request) *reason.Error {
	if refusal := h.stopRefusal(req); refusal != nil {
		return refusal
	}
	return h.attemptRefusal(req)
}
