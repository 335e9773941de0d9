package forward

import (
	"context"
	"time"
)

const (
	// startShare is the part of the caller's patience that a request waits for an
	// instance that has just started. It is short, since the caller's target is
	// far below its patience and another instance may be ready.
	startShare = 0.125
	// longestStart bounds that wait. Callers leave an instance that has not read
	// their request after a second.
	longestStart = 600 * time.Millisecond
)

// awaitStart holds a request until the instance knows a configuration and
// endpoints. After the loss of all instances callers are back before the store
// has been read, which takes some ten milliseconds. A refusal costs them one of
// their few attempts and the pause before the next one.
func (h *Handler) awaitStart(ctx context.Context, call RequestInfo) {
	if h.o.Synced == nil || closed(h.o.Synced) {
		return
	}
	began := h.o.Clock()
	timer := time.NewTimer(startWait(call.Timeout))
	defer timer.Stop()
	known := false
	select {
	case <-h.o.Synced:
		known = true
	case <-timer.C:
	case <-ctx.Done():
	}
	h.o.Log.Info("waited for the start", "request", call.ID, "known", known, "waited_ms", (h.o.Clock() - began).Milliseconds())
}

func closed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// startWait is how long a request waits for the instance's start.
func startWait(patience time.Duration) time.Duration {
	if patience <= 0 {
		return longestStart
	}
	return min(longestStart, time.Duration(float64(patience)*startShare))
}
