package forward

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/routing"
)

// maxFailovers bounds the failovers of one response, including those to engines
// that were down.
const maxFailovers = 8

// tryFailover counts a failover and returns nil if the response may continue at
// another engine, else the final error.
func (s *stream) tryFailover() *reason.Error {
	if s.ctx.Err() != nil {
		return s.contextError()
	}
	if !s.reserved {
		limit := s.failoverLimit(s.interruption, s.h.o.RetryBudget.TryRetry)
		if limit == reason.CrashSuspect || limit == reason.RetryBudget {
			s.h.refusals.Inc(limit)
		}
		if limit != "" {
			return s.interruption
		}
	}
	s.reserved = false
	s.failovers++
	s.h.retries.Inc(s.interruption.Reason)
	return nil
}

// failoverLimit returns the reason why no other engine may continue the
// response after the interruption, or "" if one may. It asks allowRetry last.
// The retry budget counts only requests that reach engines, so a failover after
// a failed connection is not counted there.
func (s *stream) failoverLimit(interruption *reason.Error, allowRetry func(now time.Duration, service string) bool) reason.Reason {
	switch {
	case interruption.Run != reason.RunNo && s.req.route.RetryPolicy == routing.RetryNever:
		return interruption.Reason
	case s.h.crashRefusal(s.req) != nil:
		return reason.CrashSuspect
	case s.req.attempts >= s.req.route.MaxAttempts || s.failovers >= maxFailovers:
		return reason.AttemptsExhausted
	case interruption.Reason != reason.ConnectFailed && !allowRetry(s.h.o.Clock(), s.req.service.Name):
		return reason.RetryBudget
	}
	return ""
}

// reserveFailover reserves the engine that continues the response of a silent
// engine and counts the failover in the retry budget. It returns false and
// reserves and counts nothing if the engine has sent something meanwhile, or,
// with the reason, if the response cannot continue elsewhere now.
func (s *stream) reserveFailover(r *streamAttempt) (bool, reason.Reason) {
	budget := s.h.o.RetryBudget
	if limit := s.failoverLimit(engineSilentError(), budget.CanRetry); limit != "" {
		return false, limit
	}
	if !s.backupUsable(r) {
		lease, err := s.reserveLease(r)
		if err != nil {
			return false, err.Reason
		}
		s.reservedLease = lease
	}
	if r.handlePendingFirst() {
		s.releaseReserved()
		return false, ""
	}
	if !budget.TryRetry(s.h.o.Clock(), s.req.service.Name) {
		s.releaseReserved()
		return false, reason.RetryBudget
	}
	s.reserved = true
	return true, ""
}

// backupUsable reports whether the attempt can continue from its backup. An
// engine replicates a request to its backup only once it generates.
func (s *stream) backupUsable(r *streamAttempt) bool {
	return s.backup != nil && r.eventsReceived > 0 && s.h.o.Balance.IsAvailable(s.backup.Endpoint) && s.mayContinueAt(s.backup.Endpoint)
}

// reserveLease returns a lease of an engine other than the attempt's that is
// not suspect and has capacity. Engines that failed earlier are considered only
// if there is no other.
func (s *stream) reserveLease(r *streamAttempt) (*balance.Lease, *reason.Error) {
	current := r.lease.Endpoint.ID
	request := s.balanceRequest()
	request.Exclude = append([]api.EndpointID{current}, s.req.tried...)
	if len(s.h.o.Balance.Candidates(request, 1)) == 0 {
		request.Exclude = []api.EndpointID{current}
	}
	if len(s.h.o.Balance.Candidates(request, 1)) == 0 {
		return nil, reason.New(reason.NoSlot, "no other engine has capacity")
	}
	request.Probed = s.refreshLoads(request)
	if !s.h.o.Balance.HasCapacity(request) {
		return nil, reason.New(reason.NoSlot, "no other engine has capacity")
	}
	return s.h.chooseEndpoint(s.ctx, request)
}

func (s *stream) releaseReserved() {
	if s.reservedLease != nil {
		s.h.o.Balance.Release(s.reservedLease, balance.Cancelled)
		s.reservedLease = nil
	}
}

// recordPostponement records that a silent engine is kept because the response
// cannot continue elsewhere, once for each stall.
func (s *stream) recordPostponement(r *streamAttempt, limit reason.Reason) {
	now := s.h.o.Clock()
	if !r.stall.postponeFailover(now) {
		return
	}
	s.h.postponed.Inc(limit)
	s.req.log.Info("failover postponed", "reason", limit, "endpoint", r.lease.Endpoint.ID,
		"silent_ms", (now - r.stall.silentSince).Milliseconds())
}
