package placement

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// State is the health of an endpoint as observed by this instance.
type State int

// States of an endpoint. Only an endpoint in StateAlive gets new work.
const (
	StateAlive State = iota
	// StateSuspected is set after missing data, a failed poll, or a peer's report
	// that the endpoint is dead.
	StateSuspected
	// StateDead is set after a closed connection or a failed probe.
	StateDead
)

func (s State) String() string {
	return [...]string{"alive", "suspected", "dead"}[s]
}

const (
	// minProbeBackoff is the delay of the second probe; it doubles with each
	// further failure up to maxProbeBackoff.
	minProbeBackoff = 250 * time.Millisecond
	maxProbeBackoff = 5 * time.Second
	// failureCountTTL is the time without a failure after which the failure count
	// starts at 0 again.
	failureCountTTL = time.Minute
	// minRefusalPause is the pause of a model on an endpoint after the first
	// refusal; it doubles with each further one up to maxRefusalPause.
	minRefusalPause = 100 * time.Millisecond
	maxRefusalPause = 2 * time.Second
	// probeResultTimeout is the time after which a probe without a result is
	// retried.
	probeResultTimeout = 3 * time.Second
	// maxProbesPerStep limits the probes started by one step.
	maxProbesPerStep = 16
)

// health is the state of one endpoint, with its failures and probes.
type health struct {
	state         State
	reason        reason.Reason
	failures      int
	lastFailureAt time.Duration

	nextProbeAt time.Duration
	// runningProbe is the identifier of the probe without a result, 0 for none.
	runningProbe   uint64
	probeStartedAt time.Duration
}

// recordOutcome updates the health and the refusals of the endpoint with the
// outcome of a grant.
func (c *Core) recordOutcome(now time.Duration, g grant, outcome api.Outcome) {
	e := g.endpoint
	switch outcome {
	case api.OutcomeCompleted:
		delete(e.modelPauses, g.model)
	case api.OutcomeRefused:
		e.pauseModel(now, g.model)
	case api.OutcomeSuspected:
		c.markFailed(now, e, StateSuspected, reason.EngineSilent)
	case api.OutcomeCrashed:
		c.markFailed(now, e, StateDead, reason.EngineClosed)
	}
}

// modelPause stops new work for one model on an endpoint after refusals. Other
// models are not affected: an engine that hasn't loaded a new version yet still
// serves the others.
type modelPause struct {
	refusals int
	until    time.Duration
}

func (e *endpoint) pauseModel(now time.Duration, model api.ModelRef) {
	if e.modelPauses == nil {
		e.modelPauses = make(map[api.ModelRef]modelPause)
	}
	last := e.modelPauses[model]
	length := min(minRefusalPause<<min(last.refusals, 10), maxRefusalPause)
	e.modelPauses[model] = modelPause{refusals: last.refusals + 1, until: now + length}
}

func (e *endpoint) isModelPaused(now time.Duration, model api.ModelRef) bool {
	return len(e.modelPauses) > 0 && e.modelPauses[model].until > now
}

func (c *Core) markSuspect(now time.Duration, id api.EndpointID) {
	if e, ok := c.endpoints[id]; ok {
		c.markFailed(now, e, StateSuspected, reason.EngineSilent)
	}
}

// markFailed stops new work on an endpoint until a probe that starts from now on
// succeeds. All streams of an endpoint fail together, so only the first failure
// counts for the backoff.
func (c *Core) markFailed(now time.Duration, e *endpoint, state State, cause reason.Reason) {
	h := &e.health
	if h.state == StateAlive {
		if now-h.lastFailureAt > failureCountTTL {
			h.failures = 0
		}
		h.failures++
		h.nextProbeAt = now + c.probeDelay(h.failures)
		c.probeMayBeDue = true
	}
	h.lastFailureAt = now
	if state > h.state {
		h.state = state
		h.reason = cause
		c.applyStateChange(now, e)
	}
}

// probeDelay returns the delay of the next probe after the given number of
// failures. The first probe starts immediately, because most connections without
// data belong to endpoints that are alive.
func (c *Core) probeDelay(failures int) time.Duration {
	if failures <= 1 {
		return 0
	}
	delay := min(minProbeBackoff<<min(failures-2, 10), maxProbeBackoff)
	jitter := 0.75 + 0.5*c.random.Float64()
	return time.Duration(jitter * float64(delay))
}

// applyStateChange handles a changed state: it discards the load of other instances
// and the cache hints of a dead endpoint, publishes the load if the endpoint became
// dead or alive, and reports the state to the runner.
func (c *Core) applyStateChange(now time.Duration, e *endpoint) {
	h := &e.health
	if h.state == StateDead {
		c.hints.invalidateHolder(e)
		e.foreignUsage = usage{}
		e.foreignUsageAt = 0
		e.lastCacheSequence = 0
	}
	dead := h.state == StateDead
	if h.state != StateSuspected && dead != e.publishedLoad.load.Dead {
		c.publishLoad(now, e, PeerLoad{Running: e.publishedLoad.load.Running, OutstandingTokens: e.publishedLoad.load.OutstandingTokens, Dead: dead})
	}
	c.actions = append(c.actions, HealthChanged{Endpoint: e.id, State: h.state, Reason: h.reason})
}

// startDueProbes starts the probes that are due, at most maxProbesPerStep.
func (c *Core) startDueProbes(now time.Duration) {
	c.probeMayBeDue = false
	started := 0
	for _, e := range c.sortedEndpoints {
		h := &e.health
		running := h.runningProbe != 0 && now-h.probeStartedAt < probeResultTimeout
		if h.state == StateAlive || running || now < h.nextProbeAt {
			continue
		}
		if !e.dispatchable || started >= maxProbesPerStep {
			continue
		}
		started++
		c.lastProbeID++
		h.runningProbe = c.lastProbeID
		h.probeStartedAt = now
		c.actions = append(c.actions, StartProbe{Endpoint: e.config, ProbeID: h.runningProbe})
	}
}

func (c *Core) handleProbeEnded(now time.Duration, result ProbeEnded) {
	e, ok := c.endpoints[result.Endpoint]
	if !ok || e.health.runningProbe != result.ProbeID || result.ProbeID == 0 {
		return
	}
	h := &e.health
	h.runningProbe = 0
	switch {
	case !result.Alive:
		h.failures++
		h.lastFailureAt = now
		h.nextProbeAt = now + c.probeDelay(h.failures)
		if h.state != StateDead {
			h.state = StateDead
			h.reason = reason.EndpointUnreachable
			c.applyStateChange(now, e)
		}
	case h.probeStartedAt < h.lastFailureAt:
		// The endpoint failed again after the start of the probe.
		h.nextProbeAt = now
	default:
		h.state = StateAlive
		h.reason = ""
		c.placeWaitingDue = true
		c.applyStateChange(now, e)
	}
}
