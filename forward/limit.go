package forward

import (
	"context"
	"time"

	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

// maxPermitRequests is the number of limited endpoints for which one attempt asks
// for a permit before it turns to endpoints without a limit.
const maxPermitRequests = 6

// Permits keeps the requests of all instances within the limits that endpoints
// name.
type Permits interface {
	// Acquire takes the permit for one request to the endpoint. It returns 0 if the
	// request may be sent, otherwise the time after which to ask again.
	Acquire(ctx context.Context, endpoint registry.Endpoint) time.Duration
	// RecordLimit records the limit that a response has named, in requests per
	// second.
	RecordLimit(endpoint registry.Endpoint, perSecond float64)
	// RecordNoLimit records that a response has named no limit.
	RecordNoLimit(endpoint registry.Endpoint)
}

// chooseEndpoint returns the lease of an endpoint that takes the request now.
func (h *Handler) chooseEndpoint(ctx context.Context, request balance.Request) (*balance.Lease, *reason.Error) {
	for range maxPermitRequests {
		if ctx.Err() != nil {
			break
		}
		lease, err := h.o.Balance.Choose(request)
		if err != nil || h.acquirePermit(ctx, lease) {
			return lease, err
		}
	}
	request.OnlyUnlimited = true
	return h.o.Balance.Choose(request)
}

// acquirePermit takes the permit for the attempt of a lease. Without one it ends
// the lease and returns false.
func (h *Handler) acquirePermit(ctx context.Context, lease *balance.Lease) bool {
	if h.o.Permits == nil {
		return true
	}
	wait := h.o.Permits.Acquire(ctx, lease.Endpoint)
	if wait == 0 {
		return true
	}
	if ctx.Err() != nil {
		wait = 0 // the request has ended, which says nothing about the limit
	}
	h.o.Balance.Withdraw(lease, wait)
	return false
}

// observeResponse records what a response says of its endpoint. A response to another
// request, or of another endpoint, says nothing.
func (h *Handler) observeResponse(req *request, endpoint registry.Endpoint, info ResponseInfo) {
	if info.Misdirected || info.ID != "" && info.ID != req.info.ID {
		return
	}
	h.recordLimit(req, endpoint, info)
	if info.RetryAfterErr != nil {
		req.log.Warn("unreadable pause of an endpoint", "endpoint", endpoint.ID, "error", info.RetryAfterErr)
	}
	if info.RetryAfter > 0 {
		req.log.Info("endpoint asked for a pause", "endpoint", endpoint.ID, "pause_ms", info.RetryAfter.Milliseconds())
		h.o.Balance.Defer(endpoint, info.RetryAfter)
	}
	if info.Leaving && !endpoint.Draining && h.o.OnLeaving != nil {
		h.o.OnLeaving(endpoint)
	}
}

// recordLimit records what a response says about the limit of its endpoint. Only a
// response to a request that ran shows the end of a limit.
func (h *Handler) recordLimit(req *request, endpoint registry.Endpoint, info ResponseInfo) {
	switch {
	case h.o.Permits == nil:
	case info.RateLimitErr != nil:
		req.log.Warn("unreadable limit of an endpoint", "endpoint", endpoint.ID, "error", info.RateLimitErr)
	case info.RateLimit.Named:
		h.o.Permits.RecordLimit(endpoint, info.RateLimit.PerSecond)
	case info.Signed:
		h.o.Permits.RecordNoLimit(endpoint)
	}
}
