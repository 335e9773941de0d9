package enginectl

import (
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// defaultLoadsPerMinute is the rate of weight loads if CoreOptions sets none.
	defaultLoadsPerMinute = 6
	// observeInterval is the time between two observations of an engine in its
	// desired state. 840 engines cost the holder 84 calls a second.
	observeInterval = 10 * time.Second
	// convergingObserveInterval is the time between two observations of an engine
	// that is not in its desired state.
	convergingObserveInterval = 2 * time.Second
	// observationTTL is the age up to which a report proves that an engine has a
	// replica of a model.
	observationTTL = 30 * time.Second
	// commandResendDelay is the time after which a command is sent again if the
	// engine's reports do not show its effect. It is long because a weight load
	// continues after its call.
	commandResendDelay = time.Minute
	// maxConcurrentCalls limits the concurrent calls to engines.
	maxConcurrentCalls = 32
	// maxLoadBurst is the number of weight loads that may start at once.
	maxLoadBurst = 4
)

// engine is the holder's state of one engine.
type engine struct {
	endpoint      api.Endpoint
	reported      bool // models and role are known from a report since the last command and during this lease
	models        []api.ModelRef
	role          string
	reportedAt    time.Duration
	observeAt     time.Duration
	callActive    bool // a call is in flight
	lastCommandAt time.Duration
	commandSentAt map[commandEffect]time.Duration // commands without a confirming report
}

// commandEffect identifies a command by its effect on an engine.
type commandEffect struct {
	kind  CommandKind
	model api.ModelRef
	role  string
}

func (e *engine) hasModel(m api.ModelRef) bool { return slices.Contains(e.models, m) }

// reconcile observes the engines that are due and sends the next command to each
// engine that is not in its desired state.
func (c *Core) reconcile(config *api.Config) {
	activeCalls := c.updateEngines(config)
	for _, id := range c.sortedEngines() {
		e := c.engines[id]
		if activeCalls >= maxConcurrentCalls {
			return
		}
		if e.callActive {
			continue
		}
		if e.reported && c.sendNextCommand(config, e) {
			activeCalls++
			continue
		}
		if c.now >= e.observeAt {
			e.callActive = true
			activeCalls++
			c.emit(Observe{Endpoint: e.endpoint})
		}
	}
}

// updateEngines updates the engines from the configuration and returns the number
// of calls in flight. An engine that a pending ticket removes or moves to another
// half gets no more commands.
func (c *Core) updateEngines(config *api.Config) (activeCalls int) {
	for id, endpoint := range config.Endpoints {
		if endpoint.Kind != api.KindEngine || !config.MayDispatch(id, c.options.Half) {
			continue
		}
		e := c.engines[id]
		if e == nil {
			e = &engine{commandSentAt: make(map[commandEffect]time.Duration)}
			c.engines[id] = e
		}
		if e.endpoint.Address != endpoint.Address {
			e.reported = false
		}
		e.endpoint = endpoint
	}
	for id, e := range c.engines {
		if e.callActive {
			activeCalls++
		}
		if !config.MayDispatch(id, c.options.Half) {
			delete(c.engines, id)
		}
	}
	return activeCalls
}

func (c *Core) sortedEngines() []api.EndpointID {
	ids := make([]api.EndpointID, 0, len(c.engines))
	for id := range c.engines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// sendNextCommand sends at most one command to the engine and reports whether it
// did.
func (c *Core) sendNextCommand(config *api.Config, e *engine) bool {
	for _, m := range e.endpoint.Models {
		if !e.hasModel(m) && c.mayBeSent(e, commandEffect{kind: KindLoad, model: m}) && c.takeLoadToken() {
			c.sendCommand(e, commandEffect{kind: KindLoad, model: m})
			return true
		}
	}
	for _, m := range e.models {
		if !e.endpoint.Serves(m) && c.mayUnload(config, e, m) && c.mayBeSent(e, commandEffect{kind: KindUnload, model: m}) {
			c.sendCommand(e, commandEffect{kind: KindUnload, model: m})
			return true
		}
	}
	setRole := commandEffect{kind: KindRole, role: e.endpoint.Role}
	if e.endpoint.Role != "" && e.role != e.endpoint.Role && c.mayBeSent(e, setRole) {
		c.sendCommand(e, setRole)
		return true
	}
	return false
}

// mayBeSent reports whether the command was not sent yet, or long enough ago to
// send it again.
func (c *Core) mayBeSent(e *engine, effect commandEffect) bool {
	sentAt, ok := e.commandSentAt[effect]
	return !ok || c.now-sentAt >= commandResendDelay
}

func (c *Core) sendCommand(e *engine, k commandEffect) {
	_, fence := c.MaySendCommands()
	e.callActive = true
	e.commandSentAt[k] = c.now
	e.lastCommandAt = c.now
	notAfter := c.expiresAt - CommandTimeout
	if c.options.ignoreExpiry {
		notAfter = 1 << 62
	}
	c.emit(Command{Endpoint: e.endpoint, Kind: k.kind, Model: k.model, Role: k.role, Fence: fence, NotAfter: notAfter})
}

// mayUnload reports whether no engine serves the model according to the
// configuration, or another engine that is to serve it has loaded it.
func (c *Core) mayUnload(config *api.Config, e *engine, m api.ModelRef) bool {
	if c.options.unloadLast {
		return true
	}
	stillServed := false
	for id, endpoint := range config.Endpoints {
		if endpoint.Kind != api.KindEngine || !endpoint.Serves(m) {
			continue
		}
		stillServed = true
		other := c.engines[id]
		if other != nil && other != e && other.reported && other.hasModel(m) && c.now-other.reportedAt <= observationTTL {
			return true
		}
	}
	return !stillServed
}

// refillLoadTokens adds tokens for the time since the last refill.
func (c *Core) refillLoadTokens() {
	perSecond := float64(c.options.LoadsPerMinute) / 60
	c.loadTokens = min(c.loadTokens+perSecond*(c.now-c.refilledAt).Seconds(), maxLoadBurst)
	c.refilledAt = c.now
}

func (c *Core) takeLoadToken() bool {
	if c.loadTokens < 1 {
		return false
	}
	c.loadTokens--
	return true
}

func (c *Core) handleObserved(o Observed) {
	e := c.engines[o.Endpoint]
	if e == nil {
		return
	}
	e.callActive = false
	e.observeAt = c.now + convergingObserveInterval
	if o.Failed || o.AsOf < e.lastCommandAt {
		return
	}
	e.reported = true
	e.models, e.role, e.reportedAt = o.Models, o.Role, o.AsOf
	e.forgetConfirmedCommands()
	if e.converged() {
		e.observeAt = c.now + observeInterval
	}
}

// forgetConfirmedCommands removes the sent commands whose effect the report
// shows.
func (e *engine) forgetConfirmedCommands() {
	for effect := range e.commandSentAt {
		confirmed := effect.kind == KindLoad && e.hasModel(effect.model) || effect.kind == KindUnload && !e.hasModel(effect.model) ||
			effect.kind == KindRole && e.role == effect.role
		if confirmed {
			delete(e.commandSentAt, effect)
		}
	}
}

func (e *engine) converged() bool {
	for _, m := range e.endpoint.Models {
		if !e.hasModel(m) {
			return false
		}
	}
	return e.reported && len(e.models) == len(e.endpoint.Models) && (e.endpoint.Role == "" || e.role == e.endpoint.Role)
}

// handleCommandFinished processes the result of a command. The engine is observed
// before it gets another one.
func (c *Core) handleCommandFinished(r CommandFinished) {
	if e := c.engines[r.Endpoint]; e != nil {
		e.callActive = false
		e.reported = false
		e.observeAt = c.now
		if r.Result == CommandSkipped {
			clear(e.commandSentAt)
		}
	}
	if r.Result == CommandStaleFence && r.Fence == c.lease.Fence {
		c.relinquishLease()
	}
}
