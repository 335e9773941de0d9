package forward

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/internal/wait"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// maxCandidates is the number of engines whose load is queried before a
	// generation is placed. Two are far better than one, and each further
	// engine improves the choice less.
	maxCandidates = 3
	// maxLoadRounds bounds the rounds of load queries while all queried engines
	// are too busy.
	maxLoadRounds = 3
	// maxQueueDelayShare is the share of the target latency that the queued
	// prompts of an engine may take. More prompts will arrive there before the
	// first event.
	maxQueueDelayShare = 0.6
	// overloadRetryShare is the share of the target latency after which a
	// caller that was refused because of overload should retry; a response can
	// still be on time then.
	overloadRetryShare = 0.45
	// maxEngineWait bounds how long a stream whose response has started waits
	// for an engine while all are down; crashed engines are back after a second
	// or more.
	maxEngineWait = 2500 * time.Millisecond
	// engineRetryInterval is the interval between two placement attempts during
	// that wait.
	engineRetryInterval = 60 * time.Millisecond
)

// placeAttempt returns the lease of the next attempt and whether it continues
// from a backup.
func (s *stream) placeAttempt() (*balance.Lease, bool, *reason.Error) {
	if lease := s.reservedLease; lease != nil {
		s.reservedLease = nil
		s.releaseBackup()
		return lease, false, nil
	}
	if backup := s.backup; backup != nil {
		s.backup = nil
		if s.h.o.Balance.IsAvailable(backup.Endpoint) && s.mayContinueAt(backup.Endpoint) {
			s.h.o.Balance.PromoteBackup(backup)
			if s.h.acquirePermit(s.ctx, backup) {
				return backup, true, nil
			}
		}
		s.h.o.Balance.Release(backup, balance.Cancelled)
	}
	if s.waitsForAdmission() {
		lease, err := s.admit()
		return lease, false, err
	}
	until := s.h.o.Clock() + maxEngineWait
	for {
		request := s.balanceRequest()
		for range maxLoadRounds {
			if request.Probed = s.refreshLoads(request); s.h.o.Balance.HasCapacity(request) {
				break
			}
		}
		lease, err := s.h.chooseEndpoint(s.ctx, request)
		if err == nil {
			return lease, false, nil
		}
		if err.Reason == reason.AttemptsExhausted && len(s.req.tried) > 0 {
			// Engines that failed earlier may have restarted.
			s.req.tried = nil
			continue
		}
		if s.h.o.Clock() >= until || s.ctx.Err() != nil || !s.headerWritten {
			if s.mayHaveRun {
				err = err.WithRun(reason.RunUnknown)
			}
			return nil, false, err.WithRetryAfter(s.retryAfter(err))
		}
		wait.For(s.ctx, engineRetryInterval)
	}
}

// balanceRequest describes the stream to the balancer. A first attempt whose
// response would start late is refused before it takes engine time from others.
// A stream that has already started, that the admission queue has placed before, or
// that the caller resumes, is not refused for that reason.
func (s *stream) balanceRequest() balance.Request {
	request := s.h.balanceRequest(s.req)
	s.restrictVersions(&request)
	if s.req.attempts == 0 && s.admittedAt == 0 && s.req.info.LastEventID == "" {
		request.MaxFirstEventDelay = time.Duration(float64(s.req.route.TargetLatency) * maxQueueDelayShare)
	}
	return request
}

// retryAfter returns the Retry-After advice for a refused stream.
func (s *stream) retryAfter(err *reason.Error) time.Duration {
	switch err.Reason {
	case reason.Overloaded:
		return time.Duration(float64(s.req.route.TargetLatency) * overloadRetryShare)
	case reason.EndpointRate, reason.EndpointBusy:
		return err.RetryAfter
	}
	return retryAfter(s.req.info.Timeout)
}

// refreshLoads queries the load of the best candidate for the request, and of the
// next ones unless it is nearly idle. It returns those that were queried. If an
// engine does not respond, its load is estimated from this instance's own requests.
// Engines that hold the prompt's KV cache are not queried, since the query would
// only delay the next event.
func (s *stream) refreshLoads(request balance.Request) []api.EndpointID {
	if s.h.o.LoadProber == nil || request.Tokens == 0 || len(request.Prefer) > 0 {
		return nil
	}
	engines := s.h.o.Balance.Candidates(request, maxCandidates)
	if len(engines) == 0 {
		return nil
	}
	s.h.o.LoadProber.Refresh(s.ctx, engines[:1])
	if s.h.o.Balance.IsNearlyIdle(request, engines[0]) {
		engines = engines[:1]
	}
	s.h.o.LoadProber.Refresh(s.ctx, engines[1:])
	var ids []api.EndpointID
	for _, engine := range engines {
		ids = append(ids, engine.ID)
	}
	return ids
}
