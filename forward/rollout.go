package forward

import (
	"slices"
	"strconv"
	"time"

	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/rollout"
)

// restrictVersions restricts a request that is not a continuation to the versions that the
// rollout of its service allows. The first of them is preferred; after a failure it is one
// that has not failed the request.
func (h *Handler) restrictVersions(request *balance.Request, req *request) {
	if h.o.Rollouts == nil {
		return
	}
	request.Versions = h.o.Rollouts.Allowed(request.Service, req.info.ID)
	if len(request.Versions) == 0 {
		return
	}
	request.HeldBack = h.o.Rollouts.Excluded(request.Service)
	request.PreferVersions = request.Versions[:1]
	for i, version := range request.Versions {
		if !slices.Contains(req.failedVersions, version) {
			request.PreferVersions = request.Versions[i : i+1]
			break
		}
	}
}

// maxUnreachableOfVersion is the number of engines in a row that accept no connection after
// which a stream leaves its version, if new requests go to another one. It leaves half of
// maxFailovers for that one.
const maxUnreachableOfVersion = maxFailovers / 2

// restrictVersions restricts the next attempt of a stream: to the version on which it
// began, as long as one of its engines takes the stream, and otherwise to the allowed
// ones.
func (s *stream) restrictVersions(request *balance.Request) {
	rollouts := s.h.o.Rollouts
	if rollouts == nil || !s.began {
		return
	}
	allowed := request.Versions // as for a new request
	continued := rollouts.Continue(request.Service, s.version)
	if continued == nil || allowed == nil {
		request.Versions, request.PreferVersions, request.HeldBack = nil, nil, nil
		return
	}
	switch {
	case !slices.Contains(continued, s.version):
	case s.unreachable >= maxUnreachableOfVersion && allowed[0] != s.version:
		// The engines of the version have stopped but are still registered.
		request.PreferVersions = allowed[:1]
	default:
		request.PreferVersions = []string{s.version}
		request.HeldBack = nil
	}
	request.Versions = slices.Concat(continued, allowed)
}

// resumeVersion takes the version of the first engine that holds the KV cache of a stream
// that the caller resumes for the version on which it began.
func (s *stream) resumeVersion() {
	if s.h.o.Rollouts == nil || len(s.req.holders) == 0 {
		return
	}
	if holder, ok := s.h.o.Balance.Endpoint(s.req.holders[0]); ok {
		s.recordVersion(holder)
	}
}

// backupRequest describes the backup of the stream to the balancer: an engine keeps the
// KV cache of its own version only.
func (s *stream) backupRequest(primary registry.Endpoint) balance.Request {
	request := s.h.balanceRequest(s.req)
	if request.Versions != nil {
		request.Versions, request.PreferVersions = []string{primary.Version}, nil
	}
	return request
}

// mayContinueAt reports whether the stream may continue at an endpoint by its version.
func (s *stream) mayContinueAt(endpoint registry.Endpoint) bool {
	request := s.balanceRequest()
	return request.Versions == nil || slices.Contains(request.Versions, endpoint.Version)
}

// recordVersion records on which version the stream runs.
func (s *stream) recordVersion(endpoint registry.Endpoint) {
	s.began, s.version = true, endpoint.Version
}

// recordFailedVersion records that an attempt on a version failed.
func (req *request) recordFailedVersion(version string) {
	if !slices.Contains(req.failedVersions, version) {
		req.failedVersions = append(req.failedVersions, version)
	}
}

// countedAttempt is an attempt that is counted for the rollout of its service. A nil
// pointer counts nothing.
type countedAttempt struct {
	rollouts rollout.Selector
	service  string
	route    string
	endpoint registry.Endpoint
	id       string
	target   time.Duration // for the first event, or the whole response
	gap      time.Duration // target for the time between two events; 0 is none
	clock    func() time.Duration

	sentAt  time.Duration
	late    bool // the request had used half of its time before
	started bool
	lateGap bool
	lastAt  time.Duration // of the last event
}

// countAttempt records that an attempt starts.
func (h *Handler) countAttempt(req *request, endpoint registry.Endpoint) *countedAttempt {
	if h.o.Rollouts == nil {
		return nil
	}
	a := &countedAttempt{
		rollouts: h.o.Rollouts, service: req.service.Name, route: req.route.Name, endpoint: endpoint,
		id:     strconv.FormatInt(h.countedAttempts.Add(1), 36),
		target: req.route.TargetLatency, gap: req.route.TargetEventGap, clock: h.o.Clock, sentAt: h.o.Clock(),
	}
	a.late = req.deadline > 0 && a.sentAt-req.received > (req.deadline-req.received)/2
	a.record(rollout.Outcome{Kind: rollout.OutcomeSent, Target: a.target})
	return a
}

func (a *countedAttempt) record(o rollout.Outcome) {
	o.Request, o.Endpoint, o.Incarnation = a.id, a.endpoint.ID, a.endpoint.Incarnation
	a.rollouts.Record(a.service, a.route, a.endpoint.Version, o)
}

// event records an event of a stream that carried progress.
func (a *countedAttempt) event(now time.Duration) {
	if a == nil {
		return
	}
	if !a.started {
		a.started = true
		a.record(rollout.Outcome{Kind: rollout.OutcomeStarted})
	} else {
		a.checkGap(now)
	}
	a.lastAt = now
}

// checkGap records a late gap, at most once for an attempt.
func (a *countedAttempt) checkGap(now time.Duration) {
	if a.started && !a.lateGap && a.gap > 0 && now-a.lastAt > a.gap {
		a.lateGap = true
		a.record(rollout.Outcome{Kind: rollout.OutcomeLateGap})
	}
}

// end records how the attempt ended. why is nil if the endpoint responded.
func (a *countedAttempt) end(outcome balance.Outcome, why *reason.Error) {
	if a == nil {
		return
	}
	now := a.clock()
	kind := outcomeKind(outcome, why)
	if why != nil && why.Reason == reason.DeadlineExceeded && a.late {
		kind = rollout.OutcomeAbandoned
	}
	if outcome != balance.Completed {
		a.checkGap(now)
	}
	if kind == rollout.OutcomeAbandoned && !a.started && float64(now-a.sentAt) >= float64(a.target)*hedgeShare {
		// The response of a slow version is overtaken by that of a hedged attempt, or its
		// caller leaves. It would have taken at least this long.
		a.record(rollout.Outcome{Kind: rollout.OutcomeStarted})
	}
	a.record(rollout.Outcome{Kind: kind})
}

// outcomeKind returns what the end of an attempt says about the version of its endpoint.
func outcomeKind(outcome balance.Outcome, why *reason.Error) rollout.OutcomeKind {
	cause := reason.Reason("")
	if why != nil {
		cause = why.Reason
	}
	switch {
	case cause == reason.EndpointUnreachable:
		return rollout.OutcomeAbandoned // another endpoint has the address
	case cause == reason.DeadlineExceeded:
		return rollout.OutcomeFailed
	case outcome == balance.Completed:
		return rollout.OutcomeCompleted
	case outcome == balance.Refused:
		return rollout.OutcomeRefused
	case outcome == balance.Failed, cause == reason.ChunkForeign, cause == reason.ChunkSkipped:
		return rollout.OutcomeFailed
	case outcome == balance.Cancelled:
		return rollout.OutcomeAbandoned
	}
	// The connection failed, or the endpoint was silent: it may have crashed.
	return rollout.OutcomeBroken
}
