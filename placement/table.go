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
	// defaultServiceSlots is used for services configured without slots, since the
	// setting is meant for the concurrent generations of engines.
	defaultServiceSlots = 64
	// The samples cover two seconds of this instance's usage, so that a load
	// report can be compared with the usage at the time of the report.
	usageSampleInterval = 500 * time.Millisecond
	usageSampleCount    = 4
)

// endpoint is an entry of the endpoint table.
type endpoint struct {
	id     api.EndpointID
	idHash uint64
	config api.Endpoint
	// dispatchable is set if the configuration allows new work of this half.
	dispatchable bool
	crossRegion  bool
	// accountLists restrict the client accounts: each list has to contain the
	// account of a request.
	accountLists [][]api.AccountID

	activeGrants      int
	outstandingTokens int
	// markedGrants is the number of grants for content with crash marks.
	markedGrants int
	// isolatedGrant is the grant for isolated content on the endpoint, and
	// reservedFor the waiting request for isolated content that the endpoint is
	// reserved for; 0 is none.
	isolatedGrant uint64
	reservedFor   uint64

	continuationWindowStart time.Duration
	windowContinuations     int
	// modelPauses maps models to the pause after the endpoint refused them.
	modelPauses map[api.ModelRef]modelPause

	health         health
	foreignUsage   usage
	foreignUsageAt time.Duration // when foreignUsage was set; 0 is never
	usageSamples   [usageSampleCount]usageSample
	draining       bool
	publishedLoad  publishedLoad

	nextLoadPollAt    time.Duration
	loadPollRound     uint64
	nextCachePollAt   time.Duration
	lastCacheSequence uint64
	// hintEpoch is incremented to invalidate all hints about the endpoint.
	hintEpoch uint32
	// lastUsableSelection is the last Core.selectionID for which the endpoint was
	// usable.
	lastUsableSelection uint64
}

// usage is a number of running generations and their outstanding tokens.
type usage struct {
	running int
	tokens  int
}

// usageSample is the usage by this instance at one point in time.
type usageSample struct {
	at time.Duration
	usage
}

// loadTokens returns the outstanding tokens on the endpoint, by this instance and,
// according to the last report, by others.
func (e *endpoint) loadTokens() int { return e.outstandingTokens + e.foreignUsage.tokens }

func (e *endpoint) slots() int {
	if e.config.Slots <= 0 && e.config.Kind == api.KindService {
		return defaultServiceSlots
	}
	return e.config.Slots
}

// ownUsageAt returns the usage by this instance at the given time, according to the
// last sample before it or else the oldest one. Without samples it returns the
// current usage. In the local variables, at -1 stands for no sample.
func (e *endpoint) ownUsageAt(at time.Duration) usage {
	best := usageSample{at: -1, usage: usage{e.activeGrants, e.outstandingTokens}}
	oldest := best
	for _, s := range e.usageSamples {
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
		return oldest.usage
	}
	return best.usage
}

// candidates are the endpoints of this half that serve one model, or all services
// of this half.
type candidates struct {
	endpoints []*endpoint
	// accountRestricted is set if some endpoints are restricted to certain client
	// accounts.
	accountRestricted bool
}

func (c *candidates) add(e *endpoint) {
	c.endpoints = append(c.endpoints, e)
	c.accountRestricted = c.accountRestricted || len(e.accountLists) > 0
}

// applyConfig updates the endpoint table and rebuilds its index by model.
func (c *Core) applyConfig(config *api.Config) {
	c.config = config
	c.enginesByModel = make(map[api.ModelRef]*candidates)
	c.services = candidates{}
	for _, e := range c.endpoints {
		e.dispatchable = false
		e.reservedFor = 0
		clear(e.modelPauses)
	}
	if config != nil {
		for _, id := range sortedIDs(config) {
			c.updateEndpoint(id)
		}
	}
	for id, e := range c.endpoints {
		if !isConfigured(config, id) && e.activeGrants == 0 {
			c.hints.invalidateHolder(e)
			delete(c.endpoints, id)
		}
	}
	c.rebuildSortedEndpoints()
}

// rebuildSortedEndpoints lists the endpoints ordered by identifier, so that
// iterations over them are deterministic.
func (c *Core) rebuildSortedEndpoints() {
	c.sortedEndpoints = c.sortedEndpoints[:0]
	for _, e := range c.endpoints {
		c.sortedEndpoints = append(c.sortedEndpoints, e)
	}
	slices.SortFunc(c.sortedEndpoints, func(a, b *endpoint) int { return strings.Compare(string(a.id), string(b.id)) })
}

// sortedIDs returns the configured endpoints in a fixed order, so that the order
// of candidates and every choice depend only on the configuration and the seed.
func sortedIDs(config *api.Config) []api.EndpointID {
	ids := make([]api.EndpointID, 0, len(config.Endpoints))
	for id := range config.Endpoints {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// updateEndpoint updates the entry of a configured endpoint and adds it to the
// candidates. A new address resets its health.
func (c *Core) updateEndpoint(id api.EndpointID) {
	configured := c.config.Endpoints[id]
	e := c.getOrCreateEndpoint(id)
	if e.config.Address != configured.Address {
		e.health = health{}
	}
	e.config = configured
	e.crossRegion = configured.Region != c.options.Place.Region
	e.dispatchable = c.mayDispatch(id)
	e.accountLists = c.accountLists(id)
	if !e.dispatchable {
		return
	}
	if configured.Kind == api.KindService {
		c.services.add(e)
		return
	}
	for _, model := range configured.Models {
		if !c.servesInPendingTickets(id, model) {
			continue
		}
		list, ok := c.enginesByModel[model]
		if !ok {
			list = &candidates{}
			c.enginesByModel[model] = list
		}
		list.add(e)
	}
}

func (c *Core) mayDispatch(id api.EndpointID) bool {
	if c.options.mutations.ignorePendingTickets {
		return c.config.Endpoints[id].Half == c.options.Half
	}
	return c.config.MayDispatch(id, c.options.Half)
}

// accountLists returns the account lists that restrict the endpoint in the active
// configuration and in pending tickets.
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

// servesInPendingTickets reports whether every pending ticket leaves the model on
// the endpoint.
func (c *Core) servesInPendingTickets(id api.EndpointID, model api.ModelRef) bool {
	for _, pending := range c.config.Pending {
		next, changed := pending.Endpoints[id]
		if changed && (next == nil || !next.Serves(model)) {
			return c.options.mutations.ignorePendingTickets
		}
	}
	return true
}

// getOrCreateEndpoint returns the entry of the endpoint, which it creates if needed.
func (c *Core) getOrCreateEndpoint(id api.EndpointID) *endpoint {
	e, ok := c.endpoints[id]
	if !ok {
		e = &endpoint{id: id, idHash: xxhash.Sum64String(string(id))}
		c.endpoints[id] = e
	}
	return e
}

// isPermitted reports whether the active configuration and the pending tickets
// allow the request on the endpoint. A service has no model.
func isPermitted(config *api.Config, id api.EndpointID, half api.Half, request *api.PlacementRequest) bool {
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

// sampleUsage records the usage of all endpoints by this instance.
func (c *Core) sampleUsage(now time.Duration) {
	if now < c.nextSampleAt {
		return
	}
	c.nextSampleAt = now + usageSampleInterval
	index := c.sampleIndex % usageSampleCount
	c.sampleIndex++
	for _, e := range c.sortedEndpoints {
		e.usageSamples[index] = usageSample{at: now, usage: usage{e.activeGrants, e.outstandingTokens}}
	}
}

// hashPair hashes two numbers into one.
func hashPair(a, b uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], a)
	binary.LittleEndian.PutUint64(buffer[8:], b)
	return xxhash.Sum64(buffer[:])
}

func isConfigured(config *api.Config, id api.EndpointID) bool {
	if config == nil {
		return false
	}
	_, ok := config.Endpoints[id]
	return ok
}
