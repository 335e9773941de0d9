package rollout

import (
	"math"
	"time"
)

// Times of a rollout relative to its duration.
const (
	// canaryTime is the time for which the canary phase lasts at least. Versions that
	// fail rarely, or that become bad late, are found at a small share or exceed the
	// exposure bound.
	canaryTime = 0.55
	// minStepTime is the time for which each share of the ramp is granted at least.
	minStepTime = 0.1
	// rampTime is when the steps of the ramp end.
	rampTime = 0.75
	// drainTime is when the old version is given up although requests run on it. The
	// rest is for the write of the status.
	drainTime = 0.92
	// fewResponsesTime is when a version with few responses is completed. What remains
	// exposes less than the exposure share.
	fewResponsesTime = 0.94
	// lastStepTime is when a version that is still suspected is reverted. It leaves the
	// time of the last steps.
	lastStepTime = 0.85
)

const (
	// goodResponses and goodRouteResponses are the numbers of responses of the new
	// version, in total and on each route, from which it can be judged good.
	goodResponses      = 30
	goodRouteResponses = 5
	// goodLatencies is the number of responses whose latency was counted.
	goodLatencies = 10
	// minRouteShare is the share of the requests of a route from which it has to have
	// goodRouteResponses. Others have too few requests to wait for them.
	minRouteShare = 0.05
	// canaryGrowthTime is the time from a report until the grant that follows from it
	// has reached all instances.
	canaryGrowthTime = 2 * ReportInterval
	// settleTime is the time after a change of the share until all instances have it
	// and have reported what runs since. Grants of other coordinators have then expired.
	settleTime = GrantLifetime + 2*ReportInterval
)

// rampShares are the shares of the ramp phase.
var rampShares = []float64{0.25, 0.5, 1}

// decide moves to the next phase or reverts.
func (r *rollout) decide(now time.Duration) []Action {
	if f, bad := r.verdict(); bad {
		return r.revert(f)
	}
	passed := r.passed(now)
	suspicion := r.judge.worst()
	if passed < lastStepTime {
		r.suspected = suspicion.score >= suspected
	} else {
		r.suspected = suspicion.score >= probable
	}
	switch {
	case r.suspected && passed >= lastStepTime && r.status.Phase != PhaseDrained:
		return r.revert(suspicion)
	case passed >= fewResponsesTime && r.answers():
		return r.finish(now, passed)
	case r.suspected && (passed < drainTime || r.status.Phase != PhaseDrained):
		return nil
	}
	switch r.status.Phase {
	case PhaseCanary:
		return r.leaveCanary(now, passed)
	case PhaseRamp:
		return r.ramp(now, passed)
	case PhaseDrained:
		return r.finish(now, passed)
	}
	return nil
}

// passed is the part of the duration that has passed.
func (r *rollout) passed(now time.Duration) float64 {
	if r.order.Duration <= 0 {
		return 1
	}
	return float64(now-r.startedAt) / float64(r.order.Duration)
}

// verdict returns the finding that reverts the version.
func (r *rollout) verdict() (finding, bool) {
	if f, bad := r.judge.manyFailures(); bad {
		return f, true
	}
	f := r.judge.worst()
	return f, f.score >= convicted
}

func (r *rollout) revert(f finding) []Action {
	r.status.State, r.status.Phase, r.status.Share = StateReverted, "", 0
	return []Action{r.decided(f.reason, f)}
}

// enter moves to a phase and share.
func (r *rollout) enter(now time.Duration, phase Phase, share float64, reason Reason) []Action {
	r.status.Phase, r.status.Share = phase, share
	r.status.GoodUntilUnixMS = r.unixMS(now)
	r.steppedAt = now
	return []Action{r.decided(reason, finding{})}
}

func (r *rollout) leaveCanary(now time.Duration, passed float64) []Action {
	switch {
	case r.engines[r.order.To] == 0 || passed < canaryTime || !r.responsesSuffice():
		return nil
	case passed >= rampTime:
		return r.enter(now, PhaseDrained, 1, ReasonGood)
	}
	return r.enter(now, PhaseRamp, rampShares[0], ReasonGood)
}

// responsesSuffice reports whether the new version has enough responses to be judged.
func (r *rollout) responsesSuffice() bool {
	all := r.latest.byRoute[allRoutes]
	waiting := grown(all.new.Sent, all.new.Responses+all.new.Crashed)
	if all.new.Responses < goodResponses || all.new.begun() < goodLatencies+waiting || !cleared(all) {
		return false
	}
	sent := float64(all.new.Sent + all.old.Sent)
	for route, p := range r.latest.byRoute {
		if route != allRoutes && p.new.Responses < goodRouteResponses && float64(p.new.Sent+p.old.Sent) >= minRouteShare*sent {
			return false
		}
	}
	return true
}

// answers reports whether the new version responds to what it gets.
func (r *rollout) answers() bool {
	all := r.latest.byRoute[allRoutes].new
	return all.Responses > 0 || all.Sent < minResponses
}

func (r *rollout) ramp(now time.Duration, passed float64) []Action {
	stepTime := time.Duration(minStepTime * float64(r.order.Duration))
	if passed < rampTime && now-r.steppedAt < stepTime {
		return nil
	}
	for _, share := range rampShares {
		if share > r.status.Share {
			if passed >= rampTime {
				share = 1
			}
			return r.enter(now, PhaseRamp, share, ReasonGood)
		}
	}
	return r.enter(now, PhaseDrained, 1, ReasonGood)
}

// finish completes the rollout once the old version has drained or the time has nearly
// passed.
func (r *rollout) finish(now time.Duration, passed float64) []Action {
	if r.engines[r.order.To] == 0 {
		return nil
	}
	reason := ReasonTimeLimit
	if passed < drainTime {
		if now-r.steppedAt < settleTime || r.latest.running > 0 || r.reports.lost(now) {
			return nil
		}
		reason = ReasonDrained
	} else if r.status.Phase == PhaseCanary {
		reason = ReasonFewResponses
		r.unconfirmed = true
	}
	r.status.State, r.status.Phase, r.status.Share = StateComplete, PhaseDrained, 1
	r.status.GoodUntilUnixMS = r.unixMS(now)
	return []Action{r.decided(reason, finding{})}
}

// share is the share that is granted.
func (r *rollout) share() float64 {
	stored := r.order.Status
	switch {
	case r.status.State == StateReverted:
		return 0
	case stored.State == StateComplete:
		return 1
	}
	if r.unconfirmed || r.suspected && r.status.State == StateRunning {
		return min(r.status.Share, canaryPart*r.options.ExposeShare)
	}
	return r.status.Share
}

// grant returns the grant for an instance. A completed rollout is granted as running
// with all requests until the store has its status, since another coordinator may have
// reverted it there.
func (r *rollout) grant() Grant {
	if !r.ordered {
		return Grant{Service: r.service, ValidFor: r.options.grantLifetime()}
	}
	g := Grant{
		Service: r.service, To: r.order.To, Phase: r.status.Phase, Share: r.share(),
		State: r.status.State, ValidFor: r.options.grantLifetime(),
	}
	if g.State == StateComplete && r.order.Status.State != StateComplete {
		g.State = StateRunning
	}
	// Afterwards all endpoints are used: when the share grows in steps, a part of them
	// would for a while have more load than the old ones, and be slower.
	if g.State == StateRunning && g.Phase == PhaseCanary {
		g.CanaryEngines = r.canaryEngines(g.Share)
	}
	return g
}

// canaryEngines is the number of endpoints of the new version for which each has at
// least the load of one of the old version; 0 is all. A version that is only bad under
// load shows it there.
func (r *rollout) canaryEngines(share float64) int {
	old, all := 0, r.engines[r.order.To]
	for version, n := range r.engines {
		if version != r.order.To {
			old += n
		}
	}
	if old == 0 || share >= 1 {
		return 0
	}
	n := math.Floor(share / (1 - share) * float64(old))
	// Streams take some seconds to accumulate on the new endpoints. Until then fewer
	// endpoints have the load of an old one, with what arrives before the next grant.
	if load := float64(r.latest.running) / float64(old); load > 0 {
		arriving := r.seen.perSecond * share * canaryGrowthTime.Seconds()
		n = min(n, math.Ceil((float64(max(0, r.latest.runningNew))+arriving)/load))
	}
	if n = max(n, 1); int(n) >= all {
		return 0
	}
	return int(n)
}
