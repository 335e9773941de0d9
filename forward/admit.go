package forward

import (
	"context"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/admission"
	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

// maxAdmissionCandidates is the number of engines among which one for the generation and
// one for its backup are queried first.
const maxAdmissionCandidates = 6

// maxUnofferedShare is the share of the target latency after which a request for which no
// engine is available goes to one that is suspected to be down, as it would without the
// queue.
const maxUnofferedShare = 0.125

// waitsForAdmission reports whether the next attempt waits in the admission queue while all
// engines are full. A stream that has started, that the caller resumes or that fails over
// is placed at once.
func (s *stream) waitsForAdmission() bool {
	return s.h.o.Admission != nil && s.req.service.Engine != nil && s.req.attempts == 0 && s.failovers == 0 &&
		!s.mayHaveRun && !s.headerWritten && s.req.info.LastEventID == ""
}

// admit returns the lease of the first attempt once an engine has room for it.
func (s *stream) admit() (*balance.Lease, *reason.Error) {
	h, began := s.h, s.h.o.Clock()
	request := admission.Request{
		ID: s.req.info.ID, Account: s.req.account, Content: uint64(s.req.identity.Content), Rank: s.req.priority,
		Received: s.req.received, Target: s.req.route.TargetLatency, Deadline: s.req.deadline,
		Tokens: max(1, s.req.info.TotalTokens()),
	}
	if capacity := s.req.service.Engine.KVCapacity; capacity > 0 && request.Tokens > capacity {
		return nil, reason.New(reason.Overloaded, "the generation needs more memory than an engine has")
	}
	var lease *balance.Lease
	placed, err := h.o.Admission.Admit(s.ctx, s.req.service.Name, request, s.req.service.Engine.KVCapacity,
		func(ctx context.Context, trial admission.Trial) (result admission.Result) {
			lease, result = s.tryAdmit(ctx, trial)
			return result
		})
	now := h.o.Clock()
	switch {
	case err != nil:
		if err.RetryAfter == 0 {
			err = err.WithRetryAfter(s.retryAfter(err))
		}
		return nil, err
	case !placed:
		return nil, s.contextError()
	}
	s.admittedAt = now
	s.req.log.Info("request admitted", "endpoint", lease.Endpoint.ID, "wait_ms", (now - began).Milliseconds(),
		"slack_ms", (s.req.received + s.req.route.TargetLatency - now).Milliseconds(), "engine_runs", lease.Load.Running)
	return lease, nil
}

// tryAdmit attempts to place the first attempt within the limits of a trial.
func (s *stream) tryAdmit(ctx context.Context, trial admission.Trial) (*balance.Lease, admission.Result) {
	request := s.balanceRequest()
	request.MaxFirstEventDelay = 0 // the limits bound it
	request.MaxGenerations, request.MaxPrefills = trial.Limits.Generations, trial.Limits.Prefills
	queries := 0
	if s.h.o.LoadProber != nil && len(request.Prefer) == 0 {
		var anyEngine bool
		request.Probed, queries, anyEngine = s.queryForAdmission(ctx, request, trial)
		if len(request.Probed) == 0 && (anyEngine || !s.unofferedTooLong(trial)) {
			request.Probed = []api.EndpointID{} // none is chosen
		}
		if trial.Overdue && !s.h.o.Balance.HasReports(request.Service) {
			request.MaxGenerations, request.MaxPrefills = 0, 0
		}
	}
	lease, err := s.h.chooseEndpoint(ctx, request)
	switch {
	case err == nil:
		return lease, admission.Result{Placed: true, Queries: queries}
	case err.Reason == reason.NoSlot || err.Reason == reason.Overloaded:
		return nil, admission.Result{Queries: queries}
	}
	return nil, admission.Result{Err: err, Queries: queries}
}

// unofferedTooLong reports whether the request has waited so long that a suspect engine is
// better than none.
func (s *stream) unofferedTooLong(trial admission.Trial) bool {
	return trial.Waited >= shareOf(s.req.route.TargetLatency, maxUnofferedShare, defaultTargetLatency)
}

// queryForAdmission queries the load of engines that may have room, first those at which a
// generation of this instance has just ended, and returns the engines to choose from, the
// number of queries, and whether there was any engine to query. An engine with a recent
// report needs no query.
func (s *stream) queryForAdmission(ctx context.Context, request balance.Request, trial admission.Trial) (known []api.EndpointID, queries int, anyEngine bool) {
	known = s.h.o.Balance.WithRoom(request)
	engines := slices.Clone(trial.Freed)
	for _, candidate := range s.h.o.Balance.Candidates(request, maxAdmissionCandidates) {
		if !slices.ContainsFunc(engines, func(e registry.Endpoint) bool { return e.ID == candidate.ID }) {
			engines = append(engines, candidate)
		}
	}
	putBackupSecond(engines)
	anyEngine = len(engines) > 0
	for len(engines) > 0 && queries < trial.MaxQueries {
		// The first usually has room, and the second is for the backup.
		count := min(len(engines), max(1, trial.MaxQueries-queries), 2)
		s.h.o.LoadProber.Refresh(ctx, engines[:count])
		queries += count
		for _, engine := range engines[:count] {
			known = append(known, engine.ID)
		}
		if s.h.o.Balance.IsNearlyIdle(request, engines[0]) {
			break
		}
		engines = engines[count:]
		if s.foundRoom(request, known, queries) {
			break
		}
	}
	return known, queries, anyEngine
}

// foundRoom reports whether one of the engines has room and no prompt to prefill, or has
// room after several queries. An urgent request goes on while it has queries left.
func (s *stream) foundRoom(request balance.Request, known []api.EndpointID, queries int) bool {
	withoutPrefill := request
	withoutPrefill.Probed, withoutPrefill.MaxPrefills = known, 1
	if s.h.o.Balance.HasCapacity(withoutPrefill) {
		return true
	}
	request.Probed = known
	return queries > maxCandidates && s.req.priority > 0 && s.h.o.Balance.HasCapacity(request)
}

// putBackupSecond moves the first engine of another failure domain than the first one's to
// the second place.
func putBackupSecond(engines []registry.Endpoint) {
	for i := 2; i < len(engines) && engines[1].Domain == engines[0].Domain; i++ {
		engines[1], engines[i] = engines[i], engines[1]
	}
}

// recordAdmittedEvent records the time to the first event of a stream from the queue.
func (s *stream) recordAdmittedEvent(r *streamAttempt, now time.Duration) {
	if s.admittedAt > 0 && r.eventsReceived == 1 && s.failovers == 0 {
		s.h.o.Admission.RecordFirstEvent(s.req.service.Name, now-s.admittedAt)
	}
}

// recordFreedEngine records the end of an attempt, whose engine has room for another one.
func (s *stream) recordFreedEngine(r *streamAttempt, end attemptResult) {
	if s.h.o.Admission == nil || s.req.service.Engine == nil || end.interruption != nil {
		return
	}
	duration := time.Duration(0)
	if end.complete && s.admittedAt > 0 {
		duration = s.h.o.Clock() - s.admittedAt
	}
	s.h.o.Admission.RecordEnd(s.req.service.Name, r.lease.Endpoint, duration)
}
