package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// leaveZoneCost is the cost of an engine outside the zone that the overflow decision
	// gives for a request. It is the cost of one prefill, so that a request goes elsewhere
	// only if that saves it the wait for one other prompt, which is a second.
	leaveZoneCost = prefillCost
	// leaveRegionCost is added in another region.
	leaveRegionCost = prefillCost
	// lowUtilization and highUtilization are the utilizations of the zone between which these
	// costs fall to those without zone overflow. In a simulation of six zones with ten engines
	// each that were full and loaded unevenly, 5% of the requests that preferred their zone were
	// late instead of 1%, since a request has fewer engines to choose from.
	lowUtilization  = 0.4
	highUtilization = 0.9
	// returnCost is the cost of an engine of the own zone for a request that the decision sends
	// away. It exceeds most differences of the session affinity, which would else keep a fifth
	// of these requests.
	returnCost = leaveZoneCost / 2
	// leaveZonePlainCost and leaveRegionPlainCost are the same for a plain service: 30 ms of
	// response time, and 45 ms.
	leaveZonePlainCost   = 0.5
	leaveRegionPlainCost = 0.75
	// zoneLoadTime is the time constant of the averages of a zone's reported load.
	zoneLoadTime = 1500 * time.Millisecond
	// zoneLoadTTL is how long these averages are used without a new report.
	zoneLoadTTL = 3 * time.Second
	// memoryForGenerations is the part of an engine's memory that counts as places. The other
	// half is for the backups, each of which takes as much memory as its generation.
	memoryForGenerations = 0.5
	// durationWeight is the weight of one response in the average duration of a service's
	// requests.
	durationWeight = 0.05
)

// zoneOverflow is what the balancer knows for and of the decision which requests leave the
// zone.
type zoneOverflow struct {
	// shares are the shares of this zone's requests that go to other zones, by service.
	shares map[string][]zoneShare
	// stay is the part of the cost of leaving the zone that applies, by service. It falls as the
	// zone fills; 1 if it is not known.
	stay       map[string]float64
	zones      map[domainKey]*zoneAverage
	durations  map[string]float64 // average duration of a request in nanoseconds, by service
	tokens     map[string]float64 // average engine memory of a request, by service
	responseMS map[string]float64 // average response time of a plain service
	draws      uint64             // requests without a session that were placed
}

type zoneShare struct {
	zone  api.FailureDomain
	share float64
}

// zoneAverage is the observed load of a service in one zone.
type zoneAverage struct {
	running    float64 // average of what the engines report
	reportedAt time.Duration
	delay      float64 // average time until the first event or the response, in nanoseconds
	delayAt    time.Duration
}

func newZoneOverflow() zoneOverflow {
	return zoneOverflow{
		shares: make(map[string][]zoneShare), stay: make(map[string]float64), zones: make(map[domainKey]*zoneAverage),
		durations: make(map[string]float64), tokens: make(map[string]float64), responseMS: make(map[string]float64),
	}
}

// ZoneLoad is the load of a service in one zone as this instance knows it.
type ZoneLoad struct {
	Service string
	Zone    api.FailureDomain
	// Places is the number of requests for which the endpoints that are ready have room, less
	// at slow ones.
	Places int
	// OwnRunning is the number of requests of this instance.
	OwnRunning int
	// Running is the number of requests of all instances by the reports of the endpoints;
	// Reported is false if there are none.
	Running  float64
	Reported bool
	// ReportsLoad says that the endpoints of the service are engines, which report their load.
	ReportsLoad bool
	// Delay is the average time until the first event or the response; 0 is unknown.
	Delay time.Duration
	// Duration is the average time of a request of the service at its endpoint; 0 is unknown.
	Duration time.Duration
}

// SetZoneShares sets the shares of this zone's requests for a service that go to other zones,
// and the utilization of this zone.
func (c *Core) SetZoneShares(service string, shares map[api.FailureDomain]float64, utilization float64) {
	c.zoneOverflow.stay[service] = min(max((highUtilization-utilization)/(highUtilization-lowUtilization), 0), 1)
	list := make([]zoneShare, 0, len(shares))
	for _, zone := range slices.Sorted(maps.Keys(shares)) {
		list = append(list, zoneShare{zone, shares[zone]})
	}
	c.zoneOverflow.shares[service] = list
}

// ZoneLoads returns the load of each service in each zone with endpoints, ordered by service
// and zone.
func (c *Core) ZoneLoads(now time.Duration) []ZoneLoad {
	var list []ZoneLoad
	for _, service := range slices.Sorted(maps.Keys(c.byService)) {
		zones := make(map[api.FailureDomain]*ZoneLoad)
		places := make(map[api.FailureDomain]float64)
		ready := make(map[api.FailureDomain]int)
		for _, e := range c.byService[service] {
			z := zones[e.Domain]
			if z == nil {
				z = &ZoneLoad{
					Service: service, Zone: e.Domain, ReportsLoad: c.kvCapacity[service] > 0,
					Duration: time.Duration(c.zoneOverflow.durations[service]),
				}
				zones[e.Domain] = z
			}
			z.OwnRunning += e.running
			if !e.Draining && !c.isSuspect(now, e) && now >= e.deferredUntil {
				places[e.Domain] += c.places(now, e)
				ready[e.Domain]++
			}
		}
		for zone, z := range zones {
			z.Places = int(math.Round(places[zone]))
			if known := c.zoneOverflow.zones[domainKey{service, zone}]; known != nil {
				if known.reportedAt > 0 && now-known.reportedAt < zoneLoadTTL {
					z.Running, z.Reported = known.running*float64(ready[zone]), true
				}
				if known.delayAt > 0 && now-known.delayAt < zoneLoadTTL {
					z.Delay = time.Duration(known.delay)
				}
			}
			list = append(list, *z)
		}
	}
	slices.SortFunc(list, func(a, b ZoneLoad) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})
	return list
}

// places returns for how many requests an endpoint has room. A slow endpoint serves fewer in
// the same time.
func (c *Core) places(now time.Duration, e *endpoint) float64 {
	places := float64(e.Slots)
	if capacity, tokens := float64(c.kvCapacity[e.Service]), c.zoneOverflow.tokens[e.Service]; capacity > 0 && tokens > 0 {
		places = min(places, capacity/tokens*memoryForGenerations)
	}
	return places / max(1, e.speed.decodeFactor(now)) * (1 - c.currentErrorRate(now, e))
}

// isSuspect reports whether an endpoint or its zone is suspect.
func (c *Core) isSuspect(now time.Duration, e *endpoint) bool {
	until := c.domainSuspectUntil[domainKey{e.Service, e.Domain}]
	return now < e.suspectUntil || e.trialRunning || now < until && e.lastResponseAt < until-domainSuspicionTime
}

// zoneCost is the cost of the path to an endpoint's zone for a request.
func (c *Core) zoneCost(e *endpoint, request Request) float64 {
	if !c.options.ZoneOverflow {
		return c.localityCost(e.Domain)
	}
	drawn := c.drawZone(request)
	switch {
	case c.failedIn(e.Domain, request):
		// The zone may have crashed, so that it isn't preferred.
	case e.Domain == drawn:
		return 0
	case e.Domain == c.options.Place.FailureDomain:
		return otherDomainCost + c.zoneOverflow.stay[e.Service]*(returnCost-otherDomainCost)
	}
	zone, region := leaveZoneCost, leaveRegionCost
	if request.Tokens == 0 {
		zone, region = leaveZonePlainCost, leaveRegionPlainCost
	}
	stay, known := c.zoneOverflow.stay[e.Service]
	if !known {
		stay = 1
	}
	if e.Domain == c.options.Place.FailureDomain || c.options.Regions[e.Domain] == c.options.Place.Region {
		return otherDomainCost + stay*(zone-otherDomainCost)
	}
	return otherDomainCost + otherRegionCost + stay*(zone+region-otherDomainCost-otherRegionCost)
}

// failedIn reports whether an endpoint of a zone has failed the request and is suspect.
func (c *Core) failedIn(zone api.FailureDomain, request Request) bool {
	for _, id := range request.Exclude {
		if tried, ok := c.endpoints[id]; ok && tried.Domain == zone && tried.consecutiveFailures > 0 {
			return true
		}
	}
	return false
}

// drawZone returns the zone that a request goes to by the shares. All requests of a session
// go to the same zone, as its engines keep the KV cache of the earlier prompts.
func (c *Core) drawZone(request Request) api.FailureDomain {
	shares := c.zoneOverflow.shares[request.Service]
	if len(shares) == 0 {
		return c.options.Place.FailureDomain
	}
	var position float64
	if request.Session != "" {
		position = float64(mix(request.sessionHash)) / math.MaxUint64
	} else {
		_, position = math.Modf(float64(c.zoneOverflow.draws) / math.Phi)
	}
	for _, s := range shares {
		if position < s.share {
			return s.zone
		}
		position -= s.share
	}
	return c.options.Place.FailureDomain
}

// mix returns a hash of the session that does not depend on the one that chooses the engine.
func mix(session uint64) uint64 {
	var key [9]byte
	for i := range 8 {
		key[i] = byte(session >> (8 * i))
	}
	key[8] = 'z'
	return xxhash.Sum64(key[:])
}

func (c *Core) zoneAverage(e *endpoint) *zoneAverage {
	key := domainKey{e.Service, e.Domain}
	known := c.zoneOverflow.zones[key]
	if known == nil {
		known = &zoneAverage{}
		c.zoneOverflow.zones[key] = known
	}
	return known
}

// recordZoneReport adds the load that an engine reports to the average of its zone.
func (c *Core) recordZoneReport(now time.Duration, e *endpoint, load Load) {
	if !c.options.ZoneOverflow {
		return
	}
	known := c.zoneAverage(e)
	keep := 0.0
	if known.reportedAt > 0 {
		// Several reports arrive at the same time, so a report has some weight even then.
		keep = min(0.9, math.Exp(-float64(now-known.reportedAt)/float64(zoneLoadTime)))
	}
	known.running = keep*known.running + (1-keep)*float64(load.Running)
	known.reportedAt = now
}

func (c *Core) recordZoneDelay(now time.Duration, e *endpoint, delay time.Duration) {
	known := c.zoneAverage(e)
	keep := 0.0
	if known.delayAt > 0 {
		keep = min(0.9, math.Exp(-float64(now-known.delayAt)/float64(zoneLoadTime)))
	}
	known.delay = keep*known.delay + (1-keep)*float64(delay)
	known.delayAt = now
}

// recordCompletion records how long a request took.
func (c *Core) recordCompletion(now time.Duration, l *Lease) {
	if !c.options.ZoneOverflow {
		return
	}
	took, service := float64(now-l.started), l.endpoint.Service
	if average, ok := c.zoneOverflow.durations[service]; ok {
		c.zoneOverflow.durations[service] = average + durationWeight*(took-average)
	} else {
		c.zoneOverflow.durations[service] = took
	}
	if l.tokens > 0 {
		return
	}
	c.recordZoneDelay(now, l.endpoint, now-l.started)
	c.zoneOverflow.responseMS[service] = c.zoneOverflow.durations[service] / float64(time.Millisecond)
}

// recordPlacement records the memory that a request needs.
func (c *Core) recordPlacement(request Request) {
	if !c.options.ZoneOverflow {
		return
	}
	if request.Session == "" {
		c.zoneOverflow.draws++
	}
	if request.Tokens == 0 {
		return
	}
	if average, ok := c.zoneOverflow.tokens[request.Service]; ok {
		c.zoneOverflow.tokens[request.Service] = average + durationWeight*(float64(request.Tokens)-average)
	} else {
		c.zoneOverflow.tokens[request.Service] = float64(request.Tokens)
	}
}
