package enginectl

import (
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// defaultLoadsPerMinute paces weight loads if the options say nothing.
	defaultLoadsPerMinute = 6
	// observeInterval is how often an engine in its desired state is asked. 840
	// engines cost 84 calls a second on the holder.
	observeInterval = 10 * time.Second
	// convergeInterval is how often another engine is asked.
	convergeInterval = 2 * time.Second
	// observationLife is how long a report counts as a replica.
	observationLife = 30 * time.Second
	// repeatAfter is the time after which a command that the engine's reports do
	// not show is sent again. A weight load outlasts its call.
	repeatAfter = time.Minute
	// maxUnderWay bounds the calls to engines at the same time.
	maxUnderWay = 32
	// loadBurst is how many weight loads may start at once.
	loadBurst = 4
)

// engine is what the holder knows of one engine.
type engine struct {
	endpoint  api.Endpoint
	known     bool // models and role were reported during this tenure
	models    []api.ModelRef
	role      string
	seenAt    time.Duration
	askAt     time.Duration
	busy      bool // a call is under way
	commandAt time.Duration
	sent      map[sentKey]time.Duration
}

// sentKey identifies a command that need not be repeated yet.
type sentKey struct {
	kind  CommandKind
	model api.ModelRef
	role  string
}

func (e *engine) has(m api.ModelRef) bool { return slices.Contains(e.models, m) }

// reconcile asks engines that are due and sends what is missing.
func (c *Core) reconcile(config *api.Config) {
	underWay := c.follow(config)
	for _, id := range c.sortedEngines() {
		e := c.engines[id]
		if underWay >= maxUnderWay {
			return
		}
		if e.busy {
			continue
		}
		if e.known && c.command(config, e) {
			underWay++
			continue
		}
		if c.now >= e.askAt {
			e.busy = true
			underWay++
			c.do(Observe{Endpoint: e.endpoint})
		}
	}
}

// follow brings the list of engines in line with the configuration. An engine
// that a pending ticket gives away gets no more commands.
func (c *Core) follow(config *api.Config) (underWay int) {
	for id, endpoint := range config.Endpoints {
		if endpoint.Kind != api.KindEngine || !config.MayDispatch(id, c.options.Half) {
			continue
		}
		e := c.engines[id]
		if e == nil {
			e = &engine{sent: make(map[sentKey]time.Duration)}
			c.engines[id] = e
		}
		if e.endpoint.Address != endpoint.Address {
			e.known = false
		}
		e.endpoint = endpoint
	}
	for id, e := range c.engines {
		if e.busy {
			underWay++
		}
		if !config.MayDispatch(id, c.options.Half) {
			delete(c.engines, id)
		}
	}
	return underWay
}

func (c *Core) sortedEngines() []api.EndpointID {
	ids := make([]api.EndpointID, 0, len(c.engines))
	for id := range c.engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// command sends at most one command to the engine.
func (c *Core) command(config *api.Config, e *engine) bool {
	for _, m := range e.endpoint.Models {
		if !e.has(m) && c.due(e, sentKey{kind: KindLoad, model: m}) && c.takeLoad() {
			c.send(e, sentKey{kind: KindLoad, model: m})
			return true
		}
	}
	for _, m := range e.models {
		if !e.endpoint.Serves(m) && c.mayUnload(config, e, m) && c.due(e, sentKey{kind: KindUnload, model: m}) {
			c.send(e, sentKey{kind: KindUnload, model: m})
			return true
		}
	}
	role := sentKey{kind: KindRole, role: e.endpoint.Role}
	if e.endpoint.Role != "" && e.role != e.endpoint.Role && c.due(e, role) {
		c.send(e, role)
		return true
	}
	return false
}

func (c *Core) due(e *engine, k sentKey) bool {
	at, ok := e.sent[k]
	return !ok || c.now-at >= repeatAfter
}

func (c *Core) send(e *engine, k sentKey) {
	_, fence := c.MaySendCommands()
	e.busy = true
	e.sent[k] = c.now
	e.commandAt = c.now
	notAfter := c.expiresAt - CommandTimeout
	if c.options.ignoreExpiry {
		notAfter = 1 << 62
	}
	c.do(Command{Endpoint: e.endpoint, Kind: k.kind, Model: k.model, Role: k.role, Fence: fence, NotAfter: notAfter})
}

// mayUnload reports whether the model is no longer served by the configuration
// or another engine that keeps it has it loaded.
func (c *Core) mayUnload(config *api.Config, e *engine, m api.ModelRef) bool {
	if c.options.unloadLast {
		return true
	}
	served := false
	for id, endpoint := range config.Endpoints {
		if endpoint.Kind != api.KindEngine || !endpoint.Serves(m) {
			continue
		}
		served = true
		other := c.engines[id]
		if other != nil && other != e && other.known && other.has(m) && c.now-other.seenAt <= observationLife {
			return true
		}
	}
	return !served
}

// refillTokens adds weight loads for the time that passed.
func (c *Core) refillTokens() {
	perSecond := float64(c.options.LoadsPerMinute) / 60
	c.tokens = min(c.tokens+perSecond*(c.now-c.refill).Seconds(), loadBurst)
	c.refill = c.now
}

func (c *Core) takeLoad() bool {
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

func (c *Core) observed(o Observed) {
	e := c.engines[o.Endpoint]
	if e == nil {
		return
	}
	e.busy = false
	e.askAt = c.now + convergeInterval
	if o.Failed || o.AsOf < e.commandAt {
		return
	}
	e.known = true
	e.models, e.role, e.seenAt = o.Models, o.Role, o.AsOf
	e.forgetShown()
	if e.converged() {
		e.askAt = c.now + observeInterval
	}
}

// forgetShown drops the notes of commands whose effect the report shows.
func (e *engine) forgetShown() {
	for k := range e.sent {
		done := k.kind == KindLoad && e.has(k.model) || k.kind == KindUnload && !e.has(k.model) ||
			k.kind == KindRole && e.role == k.role
		if done {
			delete(e.sent, k)
		}
	}
}

func (e *engine) converged() bool {
	for _, m := range e.endpoint.Models {
		if !e.has(m) {
			return false
		}
	}
	return e.known && len(e.models) == len(e.endpoint.Models) && (e.endpoint.Role == "" || e.role == e.endpoint.Role)
}

// commanded handles the end of a command. The engine is asked before it gets
// another one.
func (c *Core) commanded(r CommandFinished) {
	if e := c.engines[r.Endpoint]; e != nil {
		e.busy = false
		e.known = false
		e.askAt = c.now
		if r.Result == CommandSkipped {
			clear(e.sent)
		}
	}
	if r.Result == CommandStaleFence && r.Fence == c.lease.Fence {
		c.giveUp()
	}
}
