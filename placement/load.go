package placement

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer"
)

const (
	// pollersPerEngine is the average number of instances that poll an engine in
	// one interval, whatever the size of the fleet.
	pollersPerEngine = 2
	// loadPollInterval is the average time between two polls for load reports.
	loadPollInterval = 500 * time.Millisecond
	// maxPollsPerSecond limits the polls of one instance.
	maxPollsPerSecond = 20
	// cachePollInterval is the average time between two polls for cache events.
	cachePollInterval = 2 * time.Second
	// loadReportTTL is the time after which a load report is discarded.
	loadReportTTL = 10 * time.Second
	// defaultReportAge is the assumed age of a report that doesn't state its age.
	defaultReportAge = 500 * time.Millisecond
	// maxClockSkew limits how far the version of a peer's load may be ahead of the
	// local wall clock. A clock that is far ahead would suppress all other
	// reports.
	maxClockSkew = 10 * time.Second
	// minLoadRefreshInterval is the shortest time after which an unchanged load is
	// published again.
	minLoadRefreshInterval = 4 * time.Second
	// loadRefreshPerEndpoint makes the interval grow with the number of endpoints,
	// since every load is sent to every instance.
	loadRefreshPerEndpoint = 20 * time.Millisecond
	// loadSendCount is how many times an instance sends a changed load. Every
	// instance makes eight exchanges per second; if each one that has received the
	// load sends it six times, it reaches nearly all instances.
	loadSendCount = 6
	// A load is published if its running generations differ from those of the last
	// published load by more than 1/loadChangeDivisor of the slots.
	loadChangeDivisor = 10
	// deadSendFactor determines how many times the load of a dead endpoint is sent.
	deadSendFactor = 3
)

// publishedLoad is the newest load of an endpoint, observed by this instance or
// received from a peer.
type publishedLoad struct {
	load PeerLoad
	// remainingSends is how many times the load is still to be sent to peers.
	remainingSends int
}

// pollBudget is a token bucket that limits the polls per second.
type pollBudget struct {
	availablePolls float64
	refilledAt     time.Duration
}

// tryTakePoll takes a poll from the budget, or returns false if it is used up.
func (b *pollBudget) tryTakePoll(now time.Duration) bool {
	b.availablePolls = min(maxPollsPerSecond, b.availablePolls+maxPollsPerSecond*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	if b.availablePolls < 1 {
		return false
	}
	b.availablePolls--
	return true
}

// startDuePolls starts the due polls of the engines assigned to this instance.
func (c *Core) startDuePolls(now time.Duration) {
	for _, e := range c.sortedEndpoints {
		if !e.dispatchable || e.config.Kind != api.KindEngine || e.health.state != StateAlive {
			continue
		}
		if now >= e.nextLoadPollAt {
			c.pollLoad(now, e)
		}
		if now >= e.nextCachePollAt {
			c.pollCacheEvents(now, e)
		}
	}
}

// pollLoad polls the engine for its load if it is assigned to this instance in
// this round. The assignment changes with the round, so that an engine without a
// poller gets one soon. The first call only sets the time of the next one, which is
// different for each engine.
func (c *Core) pollLoad(now time.Duration, e *endpoint) {
	first := e.nextLoadPollAt == 0
	e.nextLoadPollAt = now + c.withJitter(loadPollInterval)
	e.loadPollRound++
	if first || !c.isAssignedPoller(e, e.loadPollRound) || !c.pollBudget.tryTakePoll(now) {
		return
	}
	c.actions = append(c.actions, PollLoad{Endpoint: e.config})
}

// pollCacheEvents polls the engine for cache events if it is assigned to this
// instance. This assignment is fixed, because events are only useful in sequence.
// The first call only sets the time of the next one, which is different for each
// engine.
func (c *Core) pollCacheEvents(now time.Duration, e *endpoint) {
	first := e.nextCachePollAt == 0
	e.nextCachePollAt = now + c.withJitter(cachePollInterval)
	if first || !c.isAssignedPoller(e, 0) || !c.pollBudget.tryTakePoll(now) {
		return
	}
	c.actions = append(c.actions, PollCacheEvents{Endpoint: e.config, AfterSequence: e.lastCacheSequence})
}

// withJitter returns the interval changed randomly by up to 25%.
func (c *Core) withJitter(interval time.Duration) time.Duration {
	return time.Duration((0.75 + 0.5*c.random.Float64()) * float64(interval))
}

// isAssignedPoller reports whether this instance polls the endpoint in the round.
// The hash assigns an endpoint to pollersPerEngine instances on average. Round 0 is
// the fixed assignment for cache events.
func (c *Core) isAssignedPoller(e *endpoint, round uint64) bool {
	if c.instanceCount <= pollersPerEngine {
		return true
	}
	score := hashPair(hashPair(c.instanceHash, e.idHash), round)
	return score%uint64(c.instanceCount) < pollersPerEngine
}

func (c *Core) handleLoadReport(now time.Duration, report LoadReported) {
	e, ok := c.endpoints[report.Endpoint]
	if !ok {
		return
	}
	age := report.Age
	if age == 0 {
		age = defaultReportAge
	}
	c.setForeignUsage(now, e, usage{report.Running, report.OutstandingTokens}, now-age)
	c.placeWaitingDue = c.placeWaitingDue || (e.draining && !report.Draining)
	e.draining = report.Draining
	if !c.shouldPublishLoad(now, e, report) {
		return
	}
	c.publishLoad(now, e, PeerLoad{Running: report.Running, OutstandingTokens: report.OutstandingTokens, Dead: e.health.state == StateDead})
}

// shouldPublishLoad reports whether the load differs enough from the last published
// one, or whether that one is due for a refresh.
func (c *Core) shouldPublishLoad(now time.Duration, e *endpoint, report LoadReported) bool {
	last := e.publishedLoad.load
	// The age of a version ahead of the wall clock wraps around and counts as due.
	ageMillis := c.wallMillis(now) - last.Version
	if ageMillis >= uint64(c.loadRefreshInterval().Milliseconds()) {
		return true
	}
	difference := report.Running - last.Running
	return max(difference, -difference) > e.slots()/loadChangeDivisor
}

// setForeignUsage sets the usage by other instances: the reported usage less that
// of this instance at the time of the report.
func (c *Core) setForeignUsage(now time.Duration, e *endpoint, reported usage, reportedAt time.Duration) {
	ownUsage := e.ownUsageAt(reportedAt)
	foreignUsage := usage{
		running: max(0, reported.running-ownUsage.running),
		tokens:  max(0, reported.tokens-ownUsage.tokens),
	}
	if foreignUsage.running < e.foreignUsage.running {
		c.placeWaitingDue = true
	}
	e.foreignUsage = foreignUsage
	e.foreignUsageAt = now
}

func (c *Core) expireLoadReports(now time.Duration) {
	for _, e := range c.sortedEndpoints {
		if e.foreignUsageAt != 0 && now-e.foreignUsageAt >= loadReportTTL {
			e.foreignUsageAt = 0
			e.foreignUsage = usage{}
			e.draining = false
			c.placeWaitingDue = true
		}
	}
}

// wallMillis returns the wall clock in milliseconds since the Unix epoch.
func (c *Core) wallMillis(now time.Duration) uint64 {
	return uint64((now + c.options.WallOffset).Milliseconds())
}

// publishLoad queues a load observed by this instance for sending to the peers.
func (c *Core) publishLoad(now time.Duration, e *endpoint, load PeerLoad) {
	load.Endpoint = e.id
	load.Instance = c.options.Instance
	load.Version = max(c.wallMillis(now), e.publishedLoad.load.Version+1)
	e.publishedLoad = publishedLoad{load: load, remainingSends: c.sendCount(load)}
}

// sendCount returns how many times a changed load is sent. That of a dead endpoint
// is sent about 3 log2 N times, so that it is certain to reach all N instances, any
// other load loadSendCount times.
func (c *Core) sendCount(load PeerLoad) int {
	if load.Dead {
		return deadSendFactor * max(1, bits.Len(uint(c.instanceCount)))
	}
	return loadSendCount
}

// loadRefreshInterval returns the time after which an unchanged load of an
// endpoint is published again.
func (c *Core) loadRefreshInterval() time.Duration {
	return max(minLoadRefreshInterval, time.Duration(len(c.sortedEndpoints))*loadRefreshPerEndpoint)
}

// isNewer reports whether a is newer than b. It orders the observations of one
// endpoint by several instances.
func isNewer(a, b PeerLoad) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.Instance > b.Instance
}

func (c *Core) mergePeerLoads(now time.Duration, loads []PeerLoad) {
	for _, load := range loads {
		e, ok := c.endpoints[load.Endpoint]
		if !ok || load.Instance == c.options.Instance {
			continue
		}
		if !isNewer(load, e.publishedLoad.load) && !c.options.mutations.acceptStaleLoads {
			continue
		}
		if load.Version > c.wallMillis(now)+uint64(maxClockSkew.Milliseconds()) {
			continue
		}
		c.mergePeerLoad(now, e, load)
	}
}

func (c *Core) mergePeerLoad(now time.Duration, e *endpoint, load PeerLoad) {
	recovered := e.publishedLoad.load.Dead && !load.Dead
	e.publishedLoad = publishedLoad{load: load, remainingSends: c.sendCount(load)}
	if load.Dead {
		// The observation of another instance only triggers a probe: an endpoint
		// that this instance cannot reach may be reachable from here.
		c.markSuspect(now, e.id)
		return
	}
	if recovered && e.health.state != StateAlive {
		e.health.nextProbeAt = min(e.health.nextProbeAt, now+c.withJitter(minProbeBackoff))
	}
	age := time.Duration(0)
	if wall := c.wallMillis(now); wall > load.Version {
		age = time.Duration(wall-load.Version) * time.Millisecond
	}
	if age < loadReportTTL && e.health.state == StateAlive {
		// The peer's observation was itself a report of unknown age.
		c.setForeignUsage(now, e, usage{load.Running, load.OutstandingTokens}, now-age-defaultReportAge)
	}
}

// CollectLoads returns changed loads to send to a peer, at most maxBytes, dead
// endpoints first.
func (c *Core) CollectLoads(maxBytes int) []PeerLoad {
	var due []*endpoint
	for _, e := range c.sortedEndpoints {
		if e.publishedLoad.remainingSends > 0 {
			due = append(due, e)
		}
	}
	slices.SortStableFunc(due, func(a, b *endpoint) int {
		if a.publishedLoad.load.Dead != b.publishedLoad.load.Dead {
			if a.publishedLoad.load.Dead {
				return -1
			}
			return 1
		}
		if a.publishedLoad.remainingSends != b.publishedLoad.remainingSends {
			return b.publishedLoad.remainingSends - a.publishedLoad.remainingSends
		}
		return cmp.Compare(b.publishedLoad.load.Version, a.publishedLoad.load.Version)
	})
	var loads []PeerLoad
	left := peer.ByteBudget(maxBytes)
	for _, e := range due {
		if !left.Take(encodeLoad(e.publishedLoad.load)) {
			continue
		}
		e.publishedLoad.remainingSends--
		loads = append(loads, e.publishedLoad.load)
	}
	return loads
}
