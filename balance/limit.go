package balance

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// minRateLimitWait is the least Retry-After advice when all endpoints limit their
// requests.
const minRateLimitWait = 100 * time.Millisecond

// rateLimit is what is known of the limit that an endpoint sets for all instances
// together. Package ratelimit enforces the limit.
type rateLimit struct {
	limited      bool
	blockedUntil time.Duration // no permit will be granted until then
}

// blocks reports whether the endpoint must not be chosen for the request.
func (l rateLimit) blocks(now time.Duration, request Request) bool {
	return now < l.blockedUntil || (l.limited && request.OnlyUnlimited)
}

// SetLimited records whether an endpoint limits the requests of all instances.
func (c *Core) SetLimited(id api.EndpointID, incarnation int64, limited bool) {
	if e, ok := c.endpoints[id]; ok && e.Incarnation == incarnation {
		e.rateLimit = rateLimit{limited: limited}
	}
}

// Withdraw ends a lease for which no permit was granted: nothing was sent, so there
// is no outcome. The endpoint is not chosen for the given time.
func (c *Core) Withdraw(now time.Duration, l *Lease, wait time.Duration) {
	if !c.endLease(now, l) {
		return
	}
	l.endpoint.trialRunning = false
	if wait > 0 {
		l.endpoint.rateLimit = rateLimit{limited: true, blockedUntil: now + wait}
	}
}

// Defer records that an endpoint has rejected a request and wants none from this
// instance for a time.
func (c *Core) Defer(now time.Duration, id api.EndpointID, incarnation int64, wait time.Duration) {
	if e, ok := c.endpoints[id]; ok && e.Incarnation == incarnation {
		e.deferredUntil = max(e.deferredUntil, now+wait)
	}
}

// blocks reports whether the endpoint must not be chosen for the request, because of
// its rate limit or a deferral.
func (e *endpoint) blocks(now time.Duration, request Request) bool {
	return now < e.deferredUntil || e.rateLimit.blocks(now, request)
}

// blockedError returns the refusal of a request for which only endpoints are left that
// give no permit or have deferred it. It advises to return when the first of them takes
// requests.
func (c *Core) blockedError(now time.Duration, request Request) *reason.Error {
	wait := time.Duration(0)
	limited := false
	for _, e := range c.byService[request.Service] {
		deferred := now < e.deferredUntil
		if e.Draining || !e.admits(request) || !e.rateLimit.limited && !deferred {
			continue
		}
		limited = limited || !deferred
		if left := max(e.rateLimit.blockedUntil, e.deferredUntil) - now; wait == 0 || left < wait {
			wait = max(left, minRateLimitWait)
		}
	}
	if limited {
		return reason.New(reason.EndpointRate, "all endpoints with capacity limit their requests").WithRetryAfter(wait)
	}
	return reason.New(reason.EndpointBusy, "all endpoints with capacity have asked for a pause").WithRetryAfter(wait)
}
