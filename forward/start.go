package forward

import (
	"context"
	"time"
)

const (
	// syncWaitShare is the share of the caller's timeout that a request waits
	// for an instance that has just started. It is small because the caller's
	// latency target is far below its timeout and another instance may be
	// ready.
	syncWaitShare = 0.125
	// maxSyncWait bounds that wait. Callers abandon an instance that has not
	// read their request within a second.
	maxSyncWait = 600 * time.Millisecond
)

// awaitSync delays a request until the instance has a configuration and
// endpoints, at most for syncWait. After the loss of all instances, callers
// reconnect before the store has been read, which takes about ten milliseconds.
// A refusal would cost them one of their few attempts and the delay before the
// next one.
func (h *Handler) awaitSync(ctx context.Context, info RequestInfo) {
	if h.o.Synced == nil || isClosed(h.o.Synced) {
		return
	}
	start := h.o.Clock()
	timer := time.NewTimer(syncWait(info.Timeout))
	defer timer.Stop()
	synced := false
	select {
	case <-h.o.Synced:
		synced = true
	case <-timer.C:
	case <-ctx.Done():
	}
	h.o.Log.Info("request waited for configuration and endpoints", "request", info.ID, "known", synced, "waited_ms", (h.o.Clock() - start).Milliseconds())
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// syncWait returns how long a request waits for the instance to synchronize.
func syncWait(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return maxSyncWait
	}
	return min(maxSyncWait, time.Duration(float64(timeout)*syncWaitShare))
}
