package enginectl

import (
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// defaultWeightLoadsPerMinute is the rate of weight loads if CoreOptions sets
	// none.
	defaultWeightLoadsPerMinute = 6
	// reportInterval is the time between two fetches of the report of an engine in
	// its desired state. 840 engines cost the holder 84 calls a second.
	reportInterval = 10 * time.Second
	// convergingReportInterval is the same for an engine that is not in its desired
	// state.
	convergingReportInterval = 2 * time.Second
	// reportTTL is the age up to which a report proves that an engine has a replica
	// of a model.
	reportTTL = 30 * time.Second
	// commandResendDelay is the time after which a command is sent again if the
	// engine's reports do not show its effect. It is long because a weight load
	// continues after its call.
	commandResendDelay = time.Minute
	// maxConcurrentCalls limits the concurrent calls to engines.
	maxConcurrentCalls = 32
	// maxWeightLoadBurst is the number of weight loads that may start at once.
	maxWeightLoadBurst = 4
	// noDeadline is a NotAfter that is never reached.
	noDeadline = 1 << 62
)

// engine is the holder's state of one engine.
type engine struct {
	endpoint      api.Endpoint
	reported      bool // models and role are known from a report since the last command and during this lease
	models        []api.ModelRef
	role          string
	reportedAt    time.Duration
	nextFetchAt   time.Duration
	callActive    bool // a call is in flight
	lastCommandAt time.Duration
	commandSentAt map[commandID]time.Duration // commands without a confirming report
}

// commandID identifies a command to one engine by its effect.
type commandID struct {
	kind  CommandKind
	model api.ModelRef
	role  string
}

func (e *engine) hasModel(m api.ModelRef) bool { return slices.Contains(e.models, m) }

// reconcile fetches the reports that are due, and sends the next command to
// engines whose report differs from the desired state, with at most
// maxConcurrentCalls calls in flight.
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
		if c.now >= e.nextFetchAt {
			e.callActive = true
			activeCalls++
			c.emit(FetchReport{Endpoint: e.endpoint})
		}
	}
}

// updateEngines updates the engines from the configuration and returns the number
// of calls in flight, including those to engines that it removes. An engine that a
// pending ticket removes or moves to another half gets no more commands.
func (c *Core) updateEngines(config *api.Config) (activeCalls int) {
	for id, endpoint := range config.Endpoints {
		if endpoint.Kind != api.KindEngine || !config.MayDispatch(id, c.options.Half) {
			continue
		}
		e := c.engines[id]
		if e == nil {
			e = &engine{commandSentAt: make(map[commandID]time.Duration)}
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
		if !e.hasModel(m) && c.sendIsDue(e, commandID{kind: KindLoad, model: m}) && c.takeWeightLoadToken() {
			c.sendCommand(e, commandID{kind: KindLoad, model: m})
			return true
		}
	}
	for _, m := range e.models {
		if !e.endpoint.Serves(m) && c.mayUnload(config, e, m) && c.sendIsDue(e, commandID{kind: KindUnload, model: m}) {
			c.sendCommand(e, commandID{kind: KindUnload, model: m})
			return true
		}
	}
	setRole := commandID{kind: KindRole, role: e.endpoint.Role}
	if e.endpoint.Role != "" && e.role != e.endpoint.Role && c.sendIsDue(e, setRole) {
		c.sendCommand(e, setRole)
		return true
	}
	return false
}

// sendIsDue reports whether the command was not sent yet, or long enough ago to
// send it again.
func (c *Core) sendIsDue(e *engine, id commandID) bool {
	sentAt, ok := e.commandSentAt[id]
	return !ok || c.now-sentAt >= commandResendDelay
}

func (c *Core) sendCommand(e *engine, id commandID) {
	_, fence := c.MaySendCommands()
	e.callActive = true
	e.commandSentAt[id] = c.now
	e.lastCommandAt = c.now
	notAfter := c.expiresAt - CommandTimeout
	if c.options.ignoreExpiry {
		notAfter = noDeadline
	}
	c.emit(Command{Endpoint: e.endpoint, Kind: id.kind, Model: id.model, Role: id.role, Fence: fence, NotAfter: notAfter})
}

// mayUnload reports whether the engine may unload the model: no engine is
// configured to serve it, or another engine that is configured to serve it has
// reported it within reportTTL.
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
		if other != nil && other != e && other.reported && other.hasModel(m) && c.now-other.reportedAt <= reportTTL {
			return true
		}
	}
	return !stillServed
}

// refillWeightLoadTokens adds tokens for the time since the last refill.
func (c *Core) refillWeightLoadTokens() {
	perSecond := float64(c.options.WeightLoadsPerMinute) / 60
	c.weightLoadTokens = min(c.weightLoadTokens+perSecond*(c.now-c.weightLoadTokensRefilledAt).Seconds(), maxWeightLoadBurst)
	c.weightLoadTokensRefilledAt = c.now
}

func (c *Core) takeWeightLoadToken() bool {
	if c.weightLoadTokens < 1 {
		return false
	}
	c.weightLoadTokens--
	return true
}

func (c *Core) handleReportFetched(o ReportFetched) {
	e := c.engines[o.Endpoint]
	if e == nil {
		return
	}
	e.callActive = false
	e.nextFetchAt = c.now + convergingReportInterval
	if o.Failed || o.AsOf < e.lastCommandAt {
		return
	}
	e.reported = true
	e.models, e.role, e.reportedAt = o.Models, o.Role, o.AsOf
	e.removeConfirmedCommands()
	if e.converged() {
		e.nextFetchAt = c.now + reportInterval
	}
}

// removeConfirmedCommands removes the sent commands whose effect the report shows.
func (e *engine) removeConfirmedCommands() {
	for id := range e.commandSentAt {
		confirmed := id.kind == KindLoad && e.hasModel(id.model) || id.kind == KindUnload && !e.hasModel(id.model) ||
			id.kind == KindRole && e.role == id.role
		if confirmed {
			delete(e.commandSentAt, id)
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

// handleCommandFinished processes the result of a command. The engine's report is
// fetched before the engine gets another command. If the command was not sent,
// the commands of the engine need not wait for commandResendDelay.
func (c *Core) handleCommandFinished(r CommandFinished) {
	if e := c.engines[r.Endpoint]; e != nil {
		e.callActive = false
		e.reported = false
		e.nextFetchAt = c.now
		if r.Result == CommandNotSent {
			clear(e.commandSentAt)
		}
	}
	if r.Result == CommandStaleFence && r.Fence == c.lease.Fence {
		c.relinquishLease()
	}
}
