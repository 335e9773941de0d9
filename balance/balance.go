// Package balance chooses the endpoint for each request, and the engine that
// keeps the backup of a running generation. It uses the requests that its own
// instance has placed, the recent response times and failures of each endpoint,
// the load that engines report, and which endpoints are suspected to be down.
// Core has no I/O and no clock.
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
	// minSuspicionTime and maxSuspicionTime bound how long an endpoint is avoided
	// after a connection failed, or after a generation was interrupted or timed
	// out. The time doubles with each consecutive failure. A crashed engine needs
	// a second or more to restart.
	minSuspicionTime = 400 * time.Millisecond
	maxSuspicionTime = 3 * time.Second
	// domainFailureWindow is the time within which failures of several endpoints
	// of one failure domain make the rest of the domain suspect.
	domainFailureWindow = 700 * time.Millisecond
	// domainFailureThreshold is the number of failed endpoints of one service and
	// failure domain that counts as a failure of the whole domain.
	domainFailureThreshold = 2
	// domainSuspicionTime is how long the other endpoints of a failed domain are
	// avoided.
	domainSuspicionTime = time.Second
	// loadReportTTL is how long an engine's load report is used. The prefill of a
	// prompt takes about a second, so older reports are wrong.
	loadReportTTL = 600 * time.Millisecond
	// outcomeWeight is the weight of one outcome in the moving averages of the
	// error rate and the latency.
	outcomeWeight = 0.1
	// memoryUseWeight is the weight of one load report in the moving average of
	// memory use. An instance gets several reports a second while it places
	// generations.
	memoryUseWeight = 0.1
	// maxMemoryUseForBackup is the average share of the engines' memory in use
	// above which no backups are made. A backup takes as much memory as its
	// generation. When memory is short, new prompts wait until other generations
	// end, which delays more callers than the next crash would.
	maxMemoryUseForBackup = 0.5
)

// Costs that decide between endpoints; the endpoint with the lowest sum is
// chosen. The unit is one running generation, or one running request for a
// plain service. Candidates and ChooseBackup leave out endpoints whose cost
// reaches domainSuspectCost: suspect ones, those in a suspect failure domain, and
// heavily loaded ones.
const (
	prefillCost       = 2.5  // per prefill, which delays all tokens of the engine
	otherDomainCost   = 0.25 // endpoint in another failure domain
	otherRegionCost   = 0.75 // added in another region; its link is narrow and billed
	maxAffinityCost   = 3.0  // multiplied by affinityDistance
	backupCost        = 0.15 // per backup of another engine's generation
	coldStartCost     = 1.0  // endpoint that is still slow after its start
	errorRateCost     = 12.0 // multiplied by the error rate, 0 to 1
	suspectCost       = 1000.0
	domainSuspectCost = 100.0
	cachedPromptGain  = 20.0 // subtracted if the engine holds the prompt's KV cache
)

// Request describes the request or generation that an endpoint is chosen for.
type Request struct {
	Service string
	// Tokens is the engine memory that a generation needs, in tokens; 0 for a
	// plain request.
	Tokens int
	// Session is the identifier of the last part of the prompt's prefix, which
	// later requests of the session have too; "" is unknown. Generations of one
	// session prefer the same engines at every instance, because these keep the KV
	// cache of the earlier prompts.
	Session string
	// Prefer lists endpoints that hold the prompt's KV cache. One of them is
	// chosen if it has capacity.
	Prefer []api.EndpointID
	// Probed lists the endpoints whose load was probed for this request. One of
	// them is chosen if any has capacity; an endpoint that was not probed may
	// look idle only because its load is unknown.
	Probed []api.EndpointID
	// Exclude lists endpoints that were tried before.
	Exclude []api.EndpointID
	// OnlyUnlimited leaves out endpoints that limit the requests of all instances.
	OnlyUnlimited bool
	// MaxFirstEventDelay bounds the expected time until the first event; 0 means
	// no bound. Engines with a longer expected delay are not chosen.
	MaxFirstEventDelay time.Duration

	sessionHash uint64 // hash of Session
}

// Outcome says how a request at an endpoint ended.
type Outcome int

// Outcomes of a request.
const (
	// Completed means that the response was complete.
	Completed Outcome = iota
	// Cancelled means that this instance ended the request. It does not count as a
	// failure; a plain request that had already run for longer than the average
	// raises the average latency.
	Cancelled
	// Refused means that the endpoint refused the request before it ran.
	Refused
	// Failed means that the endpoint responded with a failure.
	Failed
	// Interrupted means that the response was cut short or belonged to another
	// request.
	Interrupted
	// Unreachable means that the connection failed.
	Unreachable
	// TimedOut means that there was no response in time.
	TimedOut
)

// endpoint is the state of one endpoint.
type endpoint struct {
	registry.Endpoint
	idHash     uint64
	running    int
	prefilling int
	tokens     int // memory of running generations and of backups
	backups    int

	consecutiveFailures int
	suspectUntil        time.Duration
	trialRunning        bool // a request tests the endpoint after a failure; others avoid it until that ends
	lastFailureAt       time.Duration
	lastResponseAt      time.Duration
	errorRate           float64       // moving average of failed requests, 0 to 1
	latencyMS           float64       // moving average of the response time of a plain service
	refusedUntil        time.Duration // the endpoint is avoided until then after a refusal
	rateLimit           rateLimit

	// otherLoad is the part of the last load report that other instances cause.
	otherLoad  Load
	reportedAt time.Duration
}

// Load is the load of an engine.
type Load struct {
	Running    int // generations, including those that wait
	Prefilling int // generations whose prefill is running or waiting
	Tokens     int // memory in use that cannot be evicted, in tokens
}

// CoreOptions configures a Core.
type CoreOptions struct {
	Instance api.InstanceID
	Place    api.Place
	Regions  map[api.FailureDomain]api.Region
	// OnSuspect is called when an endpoint fails and is put or kept under
	// suspicion. It must not block.
	OnSuspect func(registry.Endpoint)
}

// Core chooses endpoints, and keeps the load and the health of each. It is not
// safe for concurrent use.
type Core struct {
	options   CoreOptions
	endpoints map[api.EndpointID]*endpoint
	byService map[string][]*endpoint
	// domainSuspectUntil is when the suspicion of a service's failure domain ends.
	domainSuspectUntil map[domainKey]time.Duration
	kvCapacity         map[string]int // tokens of one engine, by service
	// memoryUse is the share of the engines' memory in use, by service, as a
	// moving average of load reports.
	memoryUse map[string]float64
	// prefillTime is the duration of one prefill, by service, as a moving average
	// in nanoseconds.
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
		kvCapacity:         make(map[string]int),
		memoryUse:          make(map[string]float64),
		prefillTime:        make(map[string]float64),
	}
}

// SetKVCapacity sets the KV cache memory of each engine of a service, in tokens.
func (c *Core) SetKVCapacity(service string, tokens int) { c.kvCapacity[service] = tokens }

// Apply adds, updates or removes the endpoint of a registry change.
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

// affinityDistance returns a value from 0, for the engine that the session
// prefers most, to 1. It depends only on the session and the engine, so all
// instances agree, and it spreads sessions evenly although each instance knows
// only the requests that it placed itself.
func (e *endpoint) affinityDistance(session uint64) float64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], session)
	binary.LittleEndian.PutUint64(key[8:], e.idHash)
	return float64(xxhash.Sum64(key[:])) / math.MaxUint64
}

// Choose returns a lease of the endpoint with the lowest cost for the request.
func (c *Core) Choose(now time.Duration, request Request) (*Lease, *reason.Error) {
	best, bestCost := (*endpoint)(nil), math.Inf(1)
	draining, excluded, limited, tooSlow := 0, 0, 0, 0
	request.sessionHash = xxhash.Sum64String(request.Session)
	for _, e := range c.byService[request.Service] {
		switch {
		case e.Draining:
			draining++
			continue
		case slices.Contains(request.Exclude, e.ID):
			excluded++
			continue
		case e.rateLimit.blocks(now, request):
			limited++
			continue
		case c.exceedsMaxDelay(now, e, request):
			tooSlow++
			continue
		case c.exceedsCapacity(now, e, request) || (request.Probed != nil && !slices.Contains(request.Probed, e.ID)):
			continue
		}
		if cost := c.cost(now, e, request); cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil && request.Probed != nil {
		request.Probed = nil
		return c.Choose(now, request)
	}
	if best == nil && limited > 0 {
		return nil, c.rateLimitError(now, request.Service)
	}
	if best == nil && tooSlow > 0 {
		return nil, reason.New(reason.Overloaded, "prompts wait at all engines")
	}
	if best == nil {
		return nil, c.refusalError(request, draining, excluded)
	}
	return c.grantLease(now, best, request), nil
}

func (c *Core) refusalError(request Request, draining, excluded int) *reason.Error {
	total := len(c.byService[request.Service])
	switch {
	case total == 0:
		return reason.New(reason.NoEndpoint, "no endpoint of the service is registered")
	case draining == total:
		return reason.New(reason.EndpointLeaving, "all endpoints of the service are leaving")
	case draining+excluded == total:
		return reason.New(reason.AttemptsExhausted, "all endpoints of the service were tried")
	}
	return reason.New(reason.NoSlot, "all endpoints of the service are full")
}

// exceedsCapacity reports whether a generation does not fit into the slots or the
// memory of the endpoint. Slots count the requests and backups of this instance;
// memory also counts the load that the engine reports.
func (c *Core) exceedsCapacity(now time.Duration, e *endpoint, request Request) bool {
	if request.Tokens == 0 {
		return false
	}
	capacity := c.kvCapacity[request.Service]
	load, _ := e.load(now)
	return e.running+e.backups >= e.Slots || (capacity > 0 && load.Tokens+request.Tokens > capacity)
}

func (c *Core) cost(now time.Duration, e *endpoint, request Request) float64 {
	cost := c.localityCost(e.Domain) + errorRateCost*e.errorRate
	if slices.Contains(request.Prefer, e.ID) {
		cost -= cachedPromptGain
	}
	load, _ := e.load(now)
	cost += float64(load.Running) + prefillCost*float64(load.Prefilling)
	if request.Tokens > 0 {
		cost += backupCost*float64(e.backups) + maxAffinityCost*e.affinityDistance(request.sessionHash)
	} else {
		cost += e.latencyMS / latencyPerRequestCostMS
	}
	if e.ColdRemaining > 0 {
		cost += coldStartCost
	}
	if now < e.refusedUntil {
		cost += domainSuspectCost / 2 // avoided, but better than a suspect domain
	}
	if now < e.suspectUntil || e.trialRunning {
		cost += suspectCost
		// An endpoint that has responded since its domain became suspect is exempt.
	} else if now < c.domainSuspectUntil[domainKey{e.Service, e.Domain}] && e.lastResponseAt < c.domainSuspectUntil[domainKey{e.Service, e.Domain}]-domainSuspicionTime {
		cost += domainSuspectCost
	}
	return cost
}

// latencyPerRequestCostMS is the average latency in milliseconds that costs as
// much as one running request.
const latencyPerRequestCostMS = 60.0

func (c *Core) localityCost(domain api.FailureDomain) float64 {
	switch {
	case domain == c.options.Place.FailureDomain:
		return 0
	case c.options.Regions[domain] == c.options.Place.Region:
		return otherDomainCost
	}
	return otherDomainCost + otherRegionCost
}

// Lease counts one request or backup at an endpoint until it is released. Every
// lease is released once.
type Lease struct {
	Endpoint     registry.Endpoint
	endpoint     *endpoint
	tokens       int
	started      time.Duration
	prefilling   bool
	promptCached bool // the endpoint holds the prompt's KV cache
	backup       bool
	released     bool
	// Suspected says that the endpoint was chosen although it is suspected to be
	// down.
	Suspected bool
	// Load is the load of the endpoint as it was known when the lease was
	// granted, without the lease itself.
	Load Load
	// LoadReported says that Load includes a load report of the endpoint;
	// ReportAge is the age of that report.
	LoadReported bool
	ReportAge    time.Duration
}

// grantLease adds the request to the load of the endpoint and returns its lease.
func (c *Core) grantLease(now time.Duration, e *endpoint, request Request) *Lease {
	l := &Lease{Endpoint: e.Endpoint, endpoint: e, tokens: request.Tokens, started: now, promptCached: slices.Contains(request.Prefer, e.ID)}
	l.Suspected = now < e.suspectUntil
	l.Load, l.LoadReported = e.load(now)
	if l.LoadReported {
		l.ReportAge = now - e.reportedAt
	}
	if e.consecutiveFailures > 0 {
		e.trialRunning = true
	}
	e.running++
	e.tokens += request.Tokens
	if request.Tokens > 0 {
		l.prefilling = true
		e.prefilling++
	}
	return l
}

// load returns the load of the endpoint as far as it is known, and whether it
// includes a load report of the endpoint.
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

// ChooseBackup returns a lease of the engine that keeps the backup of a
// generation which runs on the primary. It returns nil if no engine outside the
// primary's failure domain has capacity or if the engines' memory is short.
func (c *Core) ChooseBackup(now time.Duration, request Request, primary registry.Endpoint) *Lease {
	if c.memoryUse[request.Service] > maxMemoryUseForBackup {
		return nil
	}
	best, bestCost := (*endpoint)(nil), math.Inf(1)
	request.sessionHash = xxhash.Sum64String(request.Session)
	for _, e := range c.byService[request.Service] {
		if e.Draining || e.rateLimit.blocks(now, request) || e.Domain == primary.Domain || e.ID == primary.ID || slices.Contains(request.Exclude, e.ID) {
			continue
		}
		cost := c.cost(now, e, request)
		if cost >= domainSuspectCost || c.exceedsCapacity(now, e, request) {
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
	best.tokens += request.Tokens
	return &Lease{Endpoint: best.Endpoint, endpoint: best, tokens: request.Tokens, started: now, backup: true}
}

// PromoteBackup turns the lease of a backup into the lease of the running
// generation.
func (c *Core) PromoteBackup(now time.Duration, l *Lease) {
	if l.released || !l.backup {
		return
	}
	l.backup = false
	l.started = now
	l.endpoint.backups--
	l.endpoint.running++
}

// Candidates returns the endpoints with the lowest cost for the request, at most
// limit and none that is suspect.
func (c *Core) Candidates(now time.Duration, request Request, limit int) []registry.Endpoint {
	type candidate struct {
		endpoint registry.Endpoint
		cost     float64
	}
	request.sessionHash = xxhash.Sum64String(request.Session)
	var list []candidate
	for _, e := range c.byService[request.Service] {
		if e.Draining || e.rateLimit.blocks(now, request) || slices.Contains(request.Exclude, e.ID) || c.exceedsCapacity(now, e, request) || c.exceedsMaxDelay(now, e, request) {
			continue
		}
		if cost := c.cost(now, e, request); cost < domainSuspectCost {
			list = append(list, candidate{e.Endpoint, cost})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	endpoints := make([]registry.Endpoint, 0, limit)
	for _, chosen := range list[:min(limit, len(list))] {
		endpoints = append(endpoints, chosen.endpoint)
	}
	return endpoints
}

// UpdateLoad records the load that an engine reports. It subtracts the requests
// of this instance, which are counted as they change.
func (c *Core) UpdateLoad(now time.Duration, reported registry.Endpoint, load Load) {
	e, ok := c.endpoints[reported.ID]
	if !ok || e.Incarnation != reported.Incarnation {
		return
	}
	e.reportedAt = now
	if capacity := c.kvCapacity[e.Service]; capacity > 0 {
		c.memoryUse[e.Service] += memoryUseWeight * (float64(load.Tokens)/float64(capacity) - c.memoryUse[e.Service])
	}
	e.otherLoad = Load{
		Running:    max(0, load.Running-e.running),
		Prefilling: max(0, load.Prefilling-e.prefilling),
		Tokens:     max(0, load.Tokens-e.tokens),
	}
}

// AvailableEndpoints returns the endpoints of a service that are neither
// draining nor suspect.
func (c *Core) AvailableEndpoints(now time.Duration, service string) []registry.Endpoint {
	var list []registry.Endpoint
	for _, e := range c.byService[service] {
		if !e.Draining && now >= e.suspectUntil {
			list = append(list, e.Endpoint)
		}
	}
	return list
}

// IsAvailable reports whether the endpoint is registered with the same
// incarnation and address and is not suspect.
func (c *Core) IsAvailable(now time.Duration, e registry.Endpoint) bool {
	known, ok := c.endpoints[e.ID]
	return ok && known.Incarnation == e.Incarnation && known.Address == e.Address && now >= known.suspectUntil
}
