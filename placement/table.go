package placement

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// defaultServiceSlots applies to a service that is configured without
	// slots, since slots describe generations.
	defaultServiceSlots = 64
	// sampleInterval and sampleCount keep two seconds of own use, so that a
	// lagging report is compared with the own use at its time.
	sampleInterval = 500 * time.Millisecond
	sampleCount    = 4
)

// endpoint is the state of one endpoint.
type endpoint struct {
	id         api.EndpointID
	hash       uint64
	configured api.Endpoint
	// dispatchable says that the configuration allows new work of our half.
	dispatchable bool
	remote       bool
	// admits holds the account lists that all have to contain the account.
	admits [][]api.AccountID

	running     int
	outstanding int
	// marked counts running contents under suspicion.
	marked int
	// exclusive is the grant that runs alone, heldFor the request that waits
	// until it can.
	exclusive uint64
	heldFor   uint64

	recoveryWindow time.Duration
	recoveries     int
	// refusals has the models that the endpoint refused last.
	refusals map[api.ModelRef]refusal

	health   health
	foreign  use
	reported time.Duration // when foreign was set; 0 is never
	samples  [sampleCount]sample
	draining bool
	shared   sharedLoad

	pollAt    time.Duration
	pollRound uint64
	cacheAt   time.Duration
	cacheLast uint64
	// hintEpoch grows when the hints about the endpoint become invalid.
	hintEpoch uint32
	// pass marks the endpoint as usable in the current choice.
	pass uint64
}

// use is a number of running generations and the tokens they still cost.
type use struct {
	running int
	tokens  int
}

// sample is the own use at a time.
type sample struct {
	at time.Duration
	use
}

// load is the score by outstanding work: all that is ours and the part of the
// last report that is not.
func (e *endpoint) load() int { return e.outstanding + e.foreign.tokens }

func (e *endpoint) slots() int {
	if e.configured.Slots <= 0 && e.configured.Kind == api.KindService {
		return defaultServiceSlots
	}
	return e.configured.Slots
}

// ownAt returns the own use at a time, or the oldest known one.
func (e *endpoint) ownAt(at time.Duration) use {
	best := sample{at: -1, use: use{e.running, e.outstanding}}
	oldest := best
	for _, s := range e.samples {
		if s.at == 0 {
			continue
		}
		if s.at <= at && s.at > best.at {
			best = s
		}
		if oldest.at < 0 || s.at < oldest.at {
			oldest = s
		}
	}
	if best.at < 0 {
		return oldest.use
	}
	return best.use
}

// candidates are the endpoints of our half that serve one model.
type candidates struct {
	endpoints []*endpoint
	// restricted says that some of them are not for all accounts.
	restricted bool
}

func (c *candidates) add(e *endpoint) {
	c.endpoints = append(c.endpoints, e)
	c.restricted = c.restricted || len(e.admits) > 0
}

// configure rebuilds the index over the endpoint table.
func (c *Core) configure(config *api.Config) {
	c.config = config
	c.byModel = make(map[api.ModelRef]*candidates)
	c.services = candidates{}
	for _, e := range c.endpoints {
		e.dispatchable = false
		e.heldFor = 0
		clear(e.refusals)
	}
	if config != nil {
		for _, id := range sortedIDs(config) {
			c.index(id)
		}
	}
	for id, e := range c.endpoints {
		if !configured(config, id) && e.running == 0 {
			c.hints.drop(e)
			delete(c.endpoints, id)
		}
	}
	c.order()
}

// order lists the endpoint table by identifier, so that everything that walks
// it is repeatable.
func (c *Core) order() {
	c.ordered = c.ordered[:0]
	for _, e := range c.endpoints {
		c.ordered = append(c.ordered, e)
	}
	slices.SortFunc(c.ordered, func(a, b *endpoint) int { return strings.Compare(string(a.id), string(b.id)) })
}

// sortedIDs makes the order of candidates, and with it every choice, depend on
// the configuration and the seed only.
func sortedIDs(config *api.Config) []api.EndpointID {
	ids := make([]api.EndpointID, 0, len(config.Endpoints))
	for id := range config.Endpoints {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *Core) index(id api.EndpointID) {
	configured := c.config.Endpoints[id]
	e := c.state(id)
	if e.configured.Address != configured.Address {
		e.health = health{}
	}
	e.configured = configured
	e.remote = configured.Region != c.options.Place.Region
	e.dispatchable = c.mayDispatch(id)
	e.admits = c.accountLists(id)
	if !e.dispatchable {
		return
	}
	if configured.Kind == api.KindService {
		c.services.add(e)
		return
	}
	for _, model := range configured.Models {
		if !c.servesUnderPending(id, model) {
			continue
		}
		list, ok := c.byModel[model]
		if !ok {
			list = &candidates{}
			c.byModel[model] = list
		}
		list.add(e)
	}
}

func (c *Core) mayDispatch(id api.EndpointID) bool {
	if c.options.faults.ignorePending {
		return c.config.Endpoints[id].Half == c.options.Half
	}
	return c.config.MayDispatch(id, c.options.Half)
}

// accountLists returns the lists that restrict the endpoint, of the
// configuration in force and of the pending tickets.
func (c *Core) accountLists(id api.EndpointID) [][]api.AccountID {
	var lists [][]api.AccountID
	if accounts := c.config.Endpoints[id].Accounts; len(accounts) > 0 {
		lists = append(lists, accounts)
	}
	for _, pending := range c.config.Pending {
		next := pending.Endpoints[id]
		if next != nil && len(next.Accounts) > 0 {
			lists = append(lists, next.Accounts)
		}
	}
	return lists
}

func (c *Core) servesUnderPending(id api.EndpointID, model api.ModelRef) bool {
	for _, pending := range c.config.Pending {
		next, touched := pending.Endpoints[id]
		if touched && (next == nil || !next.Serves(model)) {
			return c.options.faults.ignorePending
		}
	}
	return true
}

func (c *Core) state(id api.EndpointID) *endpoint {
	e, ok := c.endpoints[id]
	if !ok {
		e = &endpoint{id: id, hash: xxhash.Sum64String(string(id))}
		c.endpoints[id] = e
	}
	return e
}

// mayUse reports whether the configuration in force and the pending tickets
// allow the request on the endpoint. A service has no model.
func mayUse(config *api.Config, id api.EndpointID, half api.Half, request *api.PlacementRequest) bool {
	if request.Kind != api.KindService {
		return config.MayServe(id, half, request.Account, request.Model)
	}
	if !config.MayDispatch(id, half) || !config.Endpoints[id].Admits(request.Account) {
		return false
	}
	for _, pending := range config.Pending {
		next := pending.Endpoints[id]
		if next != nil && !next.Admits(request.Account) {
			return false
		}
	}
	return true
}

// sample records the own use of all endpoints.
func (c *Core) sample(now time.Duration) {
	if now < c.sampleAt {
		return
	}
	c.sampleAt = now + sampleInterval
	slot := c.sampleNext % sampleCount
	c.sampleNext++
	for _, e := range c.ordered {
		e.samples[slot] = sample{at: now, use: use{e.running, e.outstanding}}
	}
}

// combine hashes two numbers into one.
func combine(a, b uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], a)
	binary.LittleEndian.PutUint64(buffer[8:], b)
	return xxhash.Sum64(buffer[:])
}

func configured(config *api.Config, id api.EndpointID) bool {
	if config == nil {
		return false
	}
	_, ok := config.Endpoints[id]
	return ok
}
