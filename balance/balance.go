// Package balance chooses the endpoint for each request, and the engine that
// keeps the backup of a running generation. It uses the requests that its own
// instance has placed, the recent response times and failures of each endpoint,
// the load that engines report, and which endpoints are suspected to be down.
// Core has no I/O and no clock.
package balance

import (
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
	// Versions lists the versions of the endpoints that may be chosen; nil means no
	// restriction.
	Versions []string
	// PreferVersions lists those of Versions that are chosen as long as an endpoint of
	// them takes the request; nil means no preference.
	PreferVersions []string
	// HeldBack are the endpoints of Versions that are not in use yet.
	HeldBack map[api.EndpointID]bool
	// OnlyUnlimited leaves out endpoints that limit the requests of all instances.
	OnlyUnlimited bool
	// MaxFirstEventDelay bounds the expected time until the first event; 0 means
	// no bound. Engines with a longer expected delay are not chosen.
	MaxFirstEventDelay time.Duration
	// MaxGenerations and MaxPrefills bound the generations and the prefills of the
	// engine, including this one; 0 means no bound. If either is set, only endpoints in
	// Probed are chosen, unless it is empty.
	MaxGenerations, MaxPrefills int

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
	deferredUntil       time.Duration // the endpoint takes no requests of this instance until then
	speed               speed

	// otherLoad is the part of the last load report that other instances cause.
	otherLoad  Load
	reportedAt time.Duration
	// recentChanges are those of the own load that reports may not show yet.
	recentChanges []loadChange
}

// CoreOptions configures a Core.
type CoreOptions struct {
	Instance api.InstanceID
	Place    api.Place
	Regions  map[api.FailureDomain]api.Region
	// Versioned says that a session's generations stay on one version of the endpoints.
	Versioned bool
	// OnSuspect is called when an endpoint fails and is put or kept under
	// suspicion. It must not block.
	OnSuspect func(registry.Endpoint)
	// LoadControl says that new generations are bounded by MaxGenerations, so that the
	// engines have memory for backups.
	LoadControl bool
	// ZoneOverflow makes the shares of SetZoneShares decide which requests leave the zone, and
	// the measured speed of the endpoints count. Without it, each zone has a fixed cost.
	ZoneOverflow bool
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
	// generationTokens is the moving average of the memory of a generation, by service.
	generationTokens map[string]float64
	// running and prefilling are the numbers of generations and prefills of an engine, by
	// service, as moving averages of load reports. Each prefill ends with a new backup at
	// some engine.
	running, prefilling map[string]float64
	reportedAt          map[string]time.Duration // time of the last load report, by service
	// prefillTime is the duration of one prefill, by service, as a moving average
	// in nanoseconds.
	prefillTime map[string]float64
	// speeds is the average speed of the endpoints, by service.
	speeds       map[string]*serviceSpeed
	zoneOverflow zoneOverflow
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
		generationTokens:   make(map[string]float64),
		running:            make(map[string]float64),
		prefilling:         make(map[string]float64),
		reportedAt:         make(map[string]time.Duration),
		prefillTime:        make(map[string]float64),
		speeds:             make(map[string]*serviceSpeed),
		zoneOverflow:       newZoneOverflow(),
	}
}

// SetRegions sets the region of each failure domain.
func (c *Core) SetRegions(regions map[api.FailureDomain]api.Region) { c.options.Regions = regions }

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
		if ok && known.Same(change.Endpoint) {
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

// Choose returns a lease of the endpoint with the lowest cost for the request.
func (c *Core) Choose(now time.Duration, request Request) (*Lease, *reason.Error) {
	best, bestCost := (*endpoint)(nil), math.Inf(1)
	draining, excluded, limited, tooSlow, otherVersion := 0, 0, 0, 0, 0
	request = c.resolveVersions(now, request)
	request.sessionHash = xxhash.Sum64String(request.Session)
	for _, e := range c.byService[request.Service] {
		switch {
		case !e.admits(request):
			otherVersion++
			continue
		case e.Draining:
			draining++
			continue
		case slices.Contains(request.Exclude, e.ID):
			excluded++
			continue
		case e.blocks(now, request):
			limited++
			continue
		case c.exceedsMaxDelay(now, e, request):
			tooSlow++
			continue
		case c.exceedsRoom(now, e, request) || c.exceedsCapacity(now, e, request) || (request.Probed != nil && !slices.Contains(request.Probed, e.ID)):
			continue
		}
		if cost := c.cost(now, e, request); cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil && request.bounded() && draining+excluded+limited < len(c.byService[request.Service]) {
		return nil, reason.New(reason.NoSlot, "all endpoints of the service have as many generations as the request allows")
	}
	if best == nil && request.Probed != nil {
		request.Probed = nil
		return c.Choose(now, request)
	}
	if best == nil && limited > 0 {
		return nil, c.blockedError(now, request)
	}
	if best == nil && tooSlow > 0 {
		return nil, reason.New(reason.Overloaded, "prompts wait at all engines")
	}
	if best == nil {
		return nil, refusalError(len(c.byService[request.Service]), otherVersion, draining, excluded)
	}
	return c.grantLease(now, best, request), nil
}

// refusalError returns the refusal of a request that no endpoint takes.
func refusalError(total, otherVersion, draining, excluded int) *reason.Error {
	switch {
	case total == 0:
		return reason.New(reason.NoEndpoint, "no endpoint of the service is registered")
	case otherVersion == total:
		return reason.New(reason.NoEndpoint, "no endpoint of an allowed version is registered")
	case draining+otherVersion == total:
		return reason.New(reason.EndpointLeaving, "all endpoints of the service are leaving")
	case draining+excluded+otherVersion == total:
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
	return e.running+e.backups >= e.Slots || (capacity > 0 && c.knownTokens(now, e)+request.Tokens > capacity)
}

// IsAvailable reports whether the same endpoint is registered, takes requests of this
// instance and is not suspect.
func (c *Core) IsAvailable(now time.Duration, e registry.Endpoint) bool {
	known, ok := c.endpoints[e.ID]
	return ok && known.Same(e) && now >= known.suspectUntil && now >= known.deferredUntil
}
