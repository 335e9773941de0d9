package placement

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// State is the health of an endpoint as this instance sees it.
type State int

// States of an endpoint. Only an alive one gets new work.
const (
	StateAlive State = iota
	StateSuspected
	StateDead
)

func (s State) String() string {
	return [...]string{"alive", "suspected", "dead"}[s]
}

const (
	// probeBackoff doubles with each further failure up to probeBackoffMax.
	probeBackoff    = 250 * time.Millisecond
	probeBackoffMax = 5 * time.Second
	// failureMemory is how long an endpoint has to live for its earlier
	// failures to be forgotten.
	failureMemory = time.Minute
	// refusalPause is the first pause after a refusal; it doubles up to
	// refusalPauseMax.
	refusalPause    = 100 * time.Millisecond
	refusalPauseMax = 2 * time.Second
	// probeLost is when a probe without a result is repeated.
	probeLost = 3 * time.Second
	// probesPerTick bounds the probes that start at once.
	probesPerTick = 16
)

// health is the state of one endpoint and the next step to restore it.
type health struct {
	state    State
	reason   reason.Reason
	failures int
	failedAt time.Duration
	// probeAt is when the next probe is due.
	probeAt time.Duration
	// probe is the running probe, 0 for none.
	probe   uint64
	probeOn time.Duration
}

// observe learns from the end of a grant.
func (c *Core) observe(now time.Duration, g grant, outcome api.Outcome) {
	e := g.endpoint
	switch outcome {
	case api.OutcomeCompleted:
		delete(e.refusals, g.model)
	case api.OutcomeRefused:
		e.pause(now, g.model)
	case api.OutcomeSuspected:
		c.fail(now, e, StateSuspected, reason.EngineSilent)
	case api.OutcomeDied:
		c.fail(now, e, StateDead, reason.EngineClosed)
	}
}

// refusal is a pause for one model: an engine that has not loaded a new version
// yet goes on serving the others.
type refusal struct {
	count int
	until time.Duration
}

func (e *endpoint) pause(now time.Duration, model api.ModelRef) {
	if e.refusals == nil {
		e.refusals = make(map[api.ModelRef]refusal)
	}
	last := e.refusals[model]
	length := min(refusalPause<<min(last.count, 10), refusalPauseMax)
	e.refusals[model] = refusal{count: last.count + 1, until: now + length}
}

func (e *endpoint) refused(now time.Duration, model api.ModelRef) bool {
	return len(e.refusals) > 0 && e.refusals[model].until > now
}

func (c *Core) silent(now time.Duration, id api.EndpointID) {
	if e, ok := c.endpoints[id]; ok {
		c.fail(now, e, StateSuspected, reason.EngineSilent)
	}
}

// fail takes an endpoint out of use until a probe that starts from now on
// succeeds. All streams of an endpoint fail together, so only the first
// failure counts for the backoff.
func (c *Core) fail(now time.Duration, e *endpoint, state State, why reason.Reason) {
	h := &e.health
	if h.state == StateAlive {
		if now-h.failedAt > failureMemory {
			h.failures = 0
		}
		h.failures++
		h.probeAt = now + c.backoff(h.failures)
		c.failed = true
	}
	h.failedAt = now
	if state > h.state {
		h.state = state
		h.reason = why
		c.healthChanged(now, e)
	}
}

// backoff returns the delay before the probe after a number of failures. The
// first probe starts at once: most silent connections belong to live endpoints.
func (c *Core) backoff(failures int) time.Duration {
	if failures <= 1 {
		return 0
	}
	delay := min(probeBackoff<<min(failures-2, 10), probeBackoffMax)
	jitter := 0.75 + 0.5*c.random.Float64()
	return time.Duration(jitter * float64(delay))
}

func (c *Core) healthChanged(now time.Duration, e *endpoint) {
	h := &e.health
	if h.state == StateDead {
		c.hints.drop(e)
		e.foreign = use{}
		e.reported = 0
		e.cacheLast = 0
	}
	dead := h.state == StateDead
	if h.state != StateSuspected && dead != e.shared.load.Dead {
		c.share(now, e, PeerLoad{Running: e.shared.load.Running, Tokens: e.shared.load.Tokens, Dead: dead})
	}
	c.actions = append(c.actions, HealthChanged{Endpoint: e.id, State: h.state, Reason: h.reason})
}

// probeDue starts the probes whose time has come.
func (c *Core) probeDue(now time.Duration) {
	c.failed = false
	started := 0
	for _, e := range c.ordered {
		h := &e.health
		running := h.probe != 0 && now-h.probeOn < probeLost
		if h.state == StateAlive || running || now < h.probeAt {
			continue
		}
		if !e.dispatchable || started >= probesPerTick {
			continue
		}
		started++
		c.probes++
		h.probe = c.probes
		h.probeOn = now
		c.actions = append(c.actions, StartProbe{Endpoint: e.configured, ProbeID: h.probe})
	}
}

func (c *Core) probeEnded(now time.Duration, result ProbeEnded) {
	e, ok := c.endpoints[result.Endpoint]
	if !ok || e.health.probe != result.ProbeID || result.ProbeID == 0 {
		return
	}
	h := &e.health
	h.probe = 0
	switch {
	case !result.Alive:
		h.failures++
		h.failedAt = now
		h.probeAt = now + c.backoff(h.failures)
		if h.state != StateDead {
			h.state = StateDead
			h.reason = reason.EndpointUnreachable
			c.healthChanged(now, e)
		}
	case h.probeOn < h.failedAt:
		// The endpoint failed again after the probe had started.
		h.probeAt = now
	default:
		h.state = StateAlive
		h.reason = ""
		c.recheck = true
		c.healthChanged(now, e)
	}
}
