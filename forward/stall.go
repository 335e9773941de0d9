package forward

import (
	"context"
	"time"

	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/routing"
)

// handleStall performs the action that is due for a silent engine, sets the
// timer to the next check if there is one, and reports whether the attempt is abandoned. Only
// routes that retry from the last event fail over, and only once the engine
// that continues the response is reserved: the open connection of a silent
// engine may still deliver the rest.
func (s *stream) handleStall(r *streamAttempt, timer *time.Timer) bool {
	if s.req.route.RetryPolicy != routing.RetryFromLastEvent {
		if r.eventsReceived == 0 {
			timer.Reset(prefillProbeInterval) // for refusedWhileWaiting
		}
		return false
	}
	now := s.h.o.Clock()
	decision, at := r.stall.nextAction(now)
	timer.Reset(max(time.Millisecond, at-now))
	if !s.failoverDue(r, decision, now) {
		return false
	}
	if r.handlePendingFirst() {
		timer.Reset(pendingMessagesDelay)
		return false
	}
	reserved, limit := s.reserveFailover(r)
	switch {
	case limit != "":
		s.recordPostponement(r, limit)
	case !reserved:
		timer.Reset(pendingMessagesDelay)
	}
	return reserved
}

// pendingMessagesDelay is the time in which the messages that an attempt has
// buffered are handled before it is checked again.
const pendingMessagesDelay = 20 * time.Millisecond

// handlePendingFirst reports whether the engine has sent something that has to
// be handled before the attempt is judged: the queries of a failover check take
// up to probeTimeout. It does so once for each stall, because an engine may send
// bytes without progress for ever.
func (r *streamAttempt) handlePendingFirst() bool {
	if r.stall.pendingHandled || len(r.messages) == 0 {
		return false
	}
	r.stall.pendingHandled = true
	return true
}

// failoverDue performs the action and reports whether the stream should fail
// over.
func (s *stream) failoverDue(r *streamAttempt, decision stallAction, now time.Duration) bool {
	switch decision {
	case actionFailOver:
		return !s.extendPrefillWait(r, now)
	case actionProbe:
		return !s.probeConnection(r)
	}
	return false
}

// extendPrefillWait reports whether an engine that has not sent its first event
// still has the request because it is busy with other prompts, and if so
// restarts the wait for the first event. A failover would repeat the prefill at
// an engine that is just as busy. An engine that has the request and no other
// prompt hangs.
func (s *stream) extendPrefillWait(r *streamAttempt, now time.Duration) bool {
	if r.stall.prefilled || s.h.o.LoadProber == nil || !s.h.o.LoadProber.HasRequest(s.ctx, r.lease.Endpoint, s.req.info.ID) {
		return false
	}
	s.h.o.LoadProber.Refresh(s.ctx, []registry.Endpoint{r.lease.Endpoint})
	if !s.h.o.Balance.HasOtherPrompts(r.lease) {
		s.req.log.Info("engine hangs with the request", "endpoint", r.lease.Endpoint.ID,
			"age_ms", (now - s.req.received).Milliseconds())
		return false
	}
	r.stall.silentSince = now
	s.req.log.Info("engine still has the request; waiting for its first event", "endpoint", r.lease.Endpoint.ID,
		"age_ms", (now - s.req.received).Milliseconds())
	return true
}

// probeConnection reports whether the engine accepts a new connection, which the
// pool keeps. If not, it marks the endpoint suspect. It returns true if the
// request has ended.
func (s *stream) probeConnection(r *streamAttempt) bool {
	ctx, cancel := context.WithTimeout(s.ctx, probeTimeout)
	defer cancel()
	conn, err := s.h.connect(ctx, r.lease.Endpoint, true)
	if err == nil {
		s.h.o.Pool.PutUnused(conn)
		return true
	}
	if s.ctx.Err() != nil {
		return true
	}
	s.h.o.Balance.MarkSuspect(r.lease)
	s.req.log.Info("engine accepts no connections", "endpoint", r.lease.Endpoint.ID, "error", err)
	return false
}
