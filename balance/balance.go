// Package balance chooses the endpoint of a request and the engine that keeps
// the copy of a running generation. It knows the work of its own instance, how
// each endpoint has answered lately, and which endpoints are suspected of being
// down. Core has no I/O and no clock.
package balance

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

const (
	// minSuspicionTime and longestSuspicion bound how long an endpoint gets no
	// new work after it failed to connect or broke off; the time doubles with
	// each failure in a row. An engine that crashes is back after a second or
	// more.
	minSuspicionTime = 400 * time.Millisecond
	maxSuspicionTime = 3 * time.Second
	// domainFailureWindow is the time within which failures of several endpoints of
	// one failure domain put the rest of the domain under suspicion.
	domainFailureWindow = 700 * time.Millisecond
	// domainFailureThreshold endpoints of one service and domain are taken for a failure
	// of the whole domain.
	domainFailureThreshold = 2
	// domainSuspicionTime is how long the other endpoints of the domain are then
	// avoided.
	domainSuspicionTime = time.Second
	// loadReportTTL is how long the report of an engine counts; prompts are read
	// within about a second.
	loadReportTTL = 600 * time.Millisecond
	// outcomeWeight is the weight of one outcome in the moving averages.
	outcomeWeight = 0.1
	// memoryUseWeight is the weight of one report in the average use of memory; an
	// instance gets several reports a second while it places generations.
	memoryUseWeight = 0.1
	// maxMemoryUseForBackup is the average use of the engines' memory above which no copies are
	// asked for. A copy takes as much as its run; when memory is short, new
	// prompts wait for the end of runs elsewhere, which costs more callers their
	// time than the next crash.
	maxMemoryUseForBackup = 0.5
)

// Costs that decide between endpoints. The unit is one running generation, or
// for a plain service one request.
const (
	prefillCost       = 2.5  // a prompt that is being read delays all tokens
	otherDomainCost   = 0.25 // another failure domain
	otherRegionCost   = 0.75 // another region; its link is narrow and billed
	maxAffinityCost   = 3.0  // at most; see affinity
	backupCost        = 0.15 // a copy kept for another engine's generation
	coldStartCost     = 1.0
	errorRateCost     = 12.0 // for a share of failures of 1
	suspectCost       = 1000.0
	domainSuspectCost = 100.0
	cachedPromptGain  = 20.0 // for a prompt that is not read again
)

// Request is what an endpoint is chosen for.
type Request struct {
	Service string
	// Tokens is the memory that a generation needs; 0 for a plain request.
	Tokens int
	// Session is what a generation shares with others of its caller. Work of
	// one session prefers the same engines at every instance, since they keep
	// what they have read. "" is none.
	Session string
	// Prefer lists endpoints that hold the prompt. One of them is chosen if it
	// can take the work.
	Prefer []api.EndpointID
	// Probed lists the endpoints whose load is known. One of them is chosen if any
	// can take the work: the others only look idle.
	Probed []api.EndpointID
	// Exclude lists endpoints that were tried.
	Exclude []api.EndpointID
	// MaxFirstEventDelay is how long the first event may take; 0 is any time. Engines
	// whose prompts would make it longer are not chosen.
	MaxFirstEventDelay time.Duration

	sessionHash uint64 // hash of Session
}

// Outcome says how the work at an endpoint ended.
type Outcome int

// Outcomes.
const (
	// Completed is a complete answer.
	Completed Outcome = iota
	// Cancelled is an end by our own choice; it says nothing of the endpoint.
	Cancelled
	// Refused is a refusal before the request ran.
	Refused
	// Failed is an answer that reports a failure of the endpoint.
	Failed
	// Interrupted is an answer that broke off or belonged to another request.
	Interrupted
	// Unreachable is a failure to connect.
	Unreachable
	// TimedOut is the lack of an answer.
	TimedOut
)

// endpoint is the state of one endpoint.
type endpoint struct {
	registry.Endpoint
	idHash     uint64
	running    int
	prefilling int
	tokens     int // of running generations and of copies
	backups    int

	consecutiveFailures int // in a row
	suspectUntil        time.Duration
	probing             bool // one request tests a suspected endpoint
	lastFailureAt       time.Duration
	lastResponseAt      time.Duration
	errorRate           float64
	latencyMS           float64 // milliseconds, moving average
	refusedUntil        time.Duration

	// otherLoad is the part of the last report that is not this instance's work.
	otherLoad  Load
	reportedAt time.Duration
}

// Load is the work of an engine.
type Load struct {
	Running    int // with those that wait
	Prefilling int // runs whose prompt is being read or waits
	Tokens     int // memory in use that cannot yield
}

// CoreOptions configures a Core.
type CoreOptions struct {
	Instance api.InstanceID
	Place    api.Place
	Regions  map[api.FailureDomain]api.Region
	// OnSuspect is told of endpoints that take no connections. It must not
	// block.
	OnSuspect func(registry.Endpoint)
}

// Core holds the endpoints. It is not safe for concurrent use.
type Core struct {
	options   CoreOptions
	endpoints map[api.EndpointID]*endpoint
	byService map[string][]*endpoint
	// domainSuspectUntil is when the suspicion against a domain of a service ends.
	domainSuspectUntil map[domainKey]time.Duration
	engineCapacity     map[string]int // tokens of an engine, by service
	// memoryUse is the share of the engines' memory that is in use, by service, as
	// a moving average of reports.
	memoryUse map[string]float64
	// prefillTime is how long a prompt takes at an engine, by service, as a moving
	// average in nanoseconds.
	prefillTime map[string]float64
}

type domainKey struct {
	service string
	domain  api.FailureDomain
}

// NewCore returns a core without endpoints.
func NewCore(o CoreOptions) *Core {
	return &Core{
		options:            o,
		endpoints:          make(map[api.EndpointID]*endpoint),
		byService:          make(map[string][]*endpoint),
		domainSuspectUntil: make(map[domainKey]time.Duration),
		engineCapacity:     make(map[string]int),
		memoryUse:          make(map[string]float64),
		prefillTime:        make(map[string]float64),
	}
}

// SetCapacity sets the memory of the engines of a service in tokens.
func (c *Core) SetCapacity(service string, tokens int) { c.engineCapacity[service] = tokens }

// Apply takes over a change of the registry.
func (c *Core) Apply(change registry.Change) {
	known, ok := c.endpoints[change.Endpoint.ID]
	switch change.Kind {
	case registry.Gone:
		if ok && known.Incarnation == change.Endpoint.Incarnation {
			delete(c.endpoints, change.Endpoint.ID)
			c.removeFromService(known)
		}
	default:
		if ok && known.Incarnation == change.Endpoint.Incarnation && known.Address == change.Endpoint.Address {
			known.Endpoint = change.Endpoint
			return
		}
		if ok {
			c.removeFromService(known)
		}
		added := &endpoint{Endpoint: change.Endpoint, idHash: xxhash.Sum64String(string(change.Endpoint.ID))}
		c.endpoints[added.ID] = added
		c.byService[added.Service] = append(c.byService[added.Service], added)
	}
}

func (c *Core) removeFromService(gone *endpoint) {
	c.byService[gone.Service] = slices.DeleteFunc(c.byService[gone.Service], func(e *endpoint) bool { return e == gone })
}

// affinityDistance is from 0, for the engine that the session prefers, to 1. It depends
// on the session and the engine alone, so all instances agree, and it spreads
// sessions evenly although each instance knows only its own work.
func (e *endpoint) affinityDistance(session uint64) float64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], session)
	binary.LittleEndian.PutUint64(key[8:], e.idHash)
	return float64(xxhash.Sum64(key[:])) / math.MaxUint64
}

// Choose returns the endpoint for the work and counts the work there.
func (c *Core) Choose(now time.Duration, work Request) (*Lease, *reason.Error) {
	best, bestCost := (*endpoint)(nil), math.Inf(1)
	leaving, excluded, late := 0, 0, 0
	work.sessionHash = xxhash.Sum64String(work.Session)
	for _, e := range c.byService[work.Service] {
		switch {
		case e.Draining:
			leaving++
			continue
		case slices.Contains(work.Exclude, e.ID):
			excluded++
			continue
		case c.exceedsMaxDelay(now, e, work):
			late++
			continue
		case c.exceedsCapacity(now, e, work) || (work.Probed != nil && !slices.Contains(work.Probed, e.ID)):
			continue
		}
		if cost := c.cost(now, e, work); cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil && work.Probed != nil {
		work.Probed = nil
		return c.Choose(now, work)
	}
	if best == nil && late > 0 {
		return nil, reason.New(reason.Overloaded, "prompts wait at all engines")
	}
	if best == nil {
		return nil, c.refusalError(work, leaving, excluded)
	}
	return c.newLease(now, best, work), nil
}

func (c *Core) refusalError(work Request, leaving, excluded int) *reason.Error {
	total := len(c.byService[work.Service])
	switch {
	case total == 0:
		return reason.New(reason.NoEndpoint, "no endpoint of the service is registered")
	case leaving == total:
		return reason.New(reason.EndpointLeaving, "all endpoints of the service are leaving")
	case leaving+excluded == total:
		return reason.New(reason.AttemptsExhausted, "all endpoints of the service were tried")
	}
	return reason.New(reason.NoSlot, "all endpoints of the service are full")
}

// exceedsCapacity reports whether the endpoint cannot take the work because of what this
// instance has placed there and what the engine has reported.
func (c *Core) exceedsCapacity(now time.Duration, e *endpoint, work Request) bool {
	if work.Tokens == 0 {
		return false
	}
	capacity := c.engineCapacity[work.Service]
	load, _ := e.load(now)
	return e.running+e.backups >= e.Slots || (capacity > 0 && load.Tokens+work.Tokens > capacity)
}

func (c *Core) cost(now time.Duration, e *endpoint, work Request) float64 {
	cost := c.localityCost(e.Domain) + errorRateCost*e.errorRate
	if slices.Contains(work.Prefer, e.ID) {
		cost -= cachedPromptGain
	}
	load, _ := e.load(now)
	cost += float64(load.Running) + prefillCost*float64(load.Prefilling)
	if work.Tokens > 0 {
		cost += backupCost*float64(e.backups) + maxAffinityCost*e.affinityDistance(work.sessionHash)
	} else {
		cost += e.latencyMS / latencyCostUnitMS
	}
	if e.ColdRemaining > 0 {
		cost += coldStartCost
	}
	if now < e.refusedUntil {
		cost += domainSuspectCost / 2
	}
	if now < e.suspectUntil || e.probing {
		cost += suspectCost
	} else if now < c.domainSuspectUntil[domainKey{e.Service, e.Domain}] && e.lastResponseAt < c.domainSuspectUntil[domainKey{e.Service, e.Domain}]-domainSuspicionTime {
		cost += domainSuspectCost
	}
	return cost
}

// latencyCostUnitMS is the average latency in milliseconds that costs as much as
// one request that is running.
const latencyCostUnitMS = 60.0

func (c *Core) localityCost(domain api.FailureDomain) float64 {
	switch {
	case domain == c.options.Place.FailureDomain:
		return 0
	case c.options.Regions[domain] == c.options.Place.Region:
		return otherDomainCost
	}
	return otherDomainCost + otherRegionCost
}

// Lease is a place at an endpoint. Every lease is released once.
type Lease struct {
	Endpoint     registry.Endpoint
	endpoint     *endpoint
	tokens       int
	started      time.Duration
	prefilling   bool
	promptCached bool // the endpoint holds the prompt
	backup       bool
	released     bool
	// Suspected says that the endpoint was chosen although it is suspected of
	// being down.
	Suspected bool
	// Load is the work at the endpoint as it was known when the lease was given,
	// without the lease's own.
	Load Load
	// LoadReported says that Load counts a report of the endpoint, ReportAge how old
	// that is.
	LoadReported bool
	ReportAge    time.Duration
}

func (c *Core) newLease(now time.Duration, e *endpoint, work Request) *Lease {
	l := &Lease{Endpoint: e.Endpoint, endpoint: e, tokens: work.Tokens, started: now, promptCached: slices.Contains(work.Prefer, e.ID)}
	l.Suspected = now < e.suspectUntil
	l.Load, l.LoadReported = e.load(now)
	if l.LoadReported {
		l.ReportAge = now - e.reportedAt
	}
	if e.consecutiveFailures > 0 {
		e.probing = true
	}
	e.running++
	e.tokens += work.Tokens
	if work.Tokens > 0 {
		l.prefilling = true
		e.prefilling++
	}
	return l
}

// load returns the work at the endpoint as it is known, and whether it counts a
// report of the endpoint.
func (e *endpoint) load(now time.Duration) (_ Load, reported bool) {
	own := Load{Running: e.running, Prefilling: e.prefilling, Tokens: e.tokens}
	if now-e.reportedAt >= loadReportTTL {
		return own, false
	}
	return Load{
		Running:    own.Running + e.otherLoad.Running,
		Prefilling: own.Prefilling + e.otherLoad.Prefilling,
		Tokens:     own.Tokens + e.otherLoad.Tokens,
	}, true
}

// ChooseBackup returns the engine that keeps the copy of a generation which runs
// on the primary, or nil if no engine outside the primary's failure domain has
// room or the engines' memory is short.
func (c *Core) ChooseBackup(now time.Duration, work Request, primary registry.Endpoint) *Lease {
	if c.memoryUse[work.Service] > maxMemoryUseForBackup {
		return nil
	}
	best, bestCost := (*endpoint)(nil), math.Inf(1)
	work.sessionHash = xxhash.Sum64String(work.Session)
	for _, e := range c.byService[work.Service] {
		if e.Draining || e.Domain == primary.Domain || e.ID == primary.ID || slices.Contains(work.Exclude, e.ID) {
			continue
		}
		cost := c.cost(now, e, work)
		if cost >= domainSuspectCost || c.exceedsCapacity(now, e, work) {
			continue
		}
		if cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return nil
	}
	best.backups++
	best.tokens += work.Tokens
	return &Lease{Endpoint: best.Endpoint, endpoint: best, tokens: work.Tokens, started: now, backup: true}
}

// PromoteBackup turns the lease of a copy into the lease of the running generation.
func (c *Core) PromoteBackup(now time.Duration, l *Lease) {
	if l.released || !l.backup {
		return
	}
	l.backup = false
	l.started = now
	l.endpoint.backups--
	l.endpoint.running++
}

// Candidates returns the endpoints that come first for the work.
func (c *Core) Candidates(now time.Duration, work Request, most int) []registry.Endpoint {
	type candidate struct {
		endpoint registry.Endpoint
		cost     float64
	}
	work.sessionHash = xxhash.Sum64String(work.Session)
	var list []candidate
	for _, e := range c.byService[work.Service] {
		if e.Draining || slices.Contains(work.Exclude, e.ID) || c.exceedsCapacity(now, e, work) || c.exceedsMaxDelay(now, e, work) {
			continue
		}
		if cost := c.cost(now, e, work); cost < domainSuspectCost {
			list = append(list, candidate{e.Endpoint, cost})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	endpoints := make([]registry.Endpoint, 0, most)
	for _, one := range list[:min(most, len(list))] {
		endpoints = append(endpoints, one.endpoint)
	}
	return endpoints
}

// UpdateLoad takes over the load that an engine reports. The own work here is
// taken off, since it is counted as it is now.
func (c *Core) UpdateLoad(now time.Duration, reported registry.Endpoint, load Load) {
	e, ok := c.endpoints[reported.ID]
	if !ok || e.Incarnation != reported.Incarnation {
		return
	}
	e.reportedAt = now
	if capacity := c.engineCapacity[e.Service]; capacity > 0 {
		c.memoryUse[e.Service] += memoryUseWeight * (float64(load.Tokens)/float64(capacity) - c.memoryUse[e.Service])
	}
	e.otherLoad = Load{
		Running:    max(0, load.Running-e.running),
		Prefilling: max(0, load.Prefilling-e.prefilling),
		Tokens:     max(0, load.Tokens-e.tokens),
	}
}

// AvailableEndpoints returns the endpoints of a service that take new work.
func (c *Core) AvailableEndpoints(now time.Duration, service string) []registry.Endpoint {
	var list []registry.Endpoint
	for _, e := range c.byService[service] {
		if !e.Draining && now >= e.suspectUntil {
			list = append(list, e.Endpoint)
		}
	}
	return list
}

// IsAvailable reports whether an endpoint is registered in the same lifetime and not
// suspected.
func (c *Core) IsAvailable(now time.Duration, e registry.Endpoint) bool {
	known, ok := c.endpoints[e.ID]
	return ok && known.Incarnation == e.Incarnation && known.Address == e.Address && now >= known.suspectUntil
}
