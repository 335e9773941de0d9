package placement

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// pollersPerEngine is how many instances poll one engine in a round on
	// average. It does not grow with the fleet.
	pollersPerEngine = 2
	// pollInterval is the time between the rounds of one engine.
	pollInterval = 500 * time.Millisecond
	// pollsPerSecond bounds the polls of one instance.
	pollsPerSecond = 20
	// cacheInterval is the time between polls for cache events.
	cacheInterval = 2 * time.Second
	// reportLifetime is how long a load report counts.
	reportLifetime = 10 * time.Second
	// reportLag is the lag of a report that does not state its own.
	reportLag = 500 * time.Millisecond
	// clockTolerance bounds how far ahead of the own wall clock the version of
	// a delta may be. A clock far ahead would hide all other reports.
	clockTolerance = 10 * time.Second
	// refreshInterval is when an unchanged load is shared again.
	refreshInterval = 4 * time.Second
	// refreshPerEndpoint lets the interval grow with the number of endpoints,
	// since every load is passed to every instance.
	refreshPerEndpoint = 20 * time.Millisecond
	// loadSends is how often an instance passes a load on. With eight exchanges
	// a second by every instance that has it, six reach nearly all.
	loadSends = 6
	// changeShare is the part of the slots (1/n) that counts as a change.
	changeShare = 10
)

// sharedLoad is the newest known load of an endpoint, own or from a peer.
type sharedLoad struct {
	load PeerLoad
	// sends is how often the entry is still to be passed on.
	sends int
}

// pollBudget bounds polls per second.
type pollBudget struct {
	credit float64
	at     time.Duration
}

func (b *pollBudget) take(now time.Duration) bool {
	b.credit = min(pollsPerSecond, b.credit+pollsPerSecond*(now-b.at).Seconds())
	b.at = now
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// pollDue starts the polls of this instance's share of the engines.
func (c *Core) pollDue(now time.Duration) {
	for _, e := range c.ordered {
		if !e.dispatchable || e.configured.Kind != api.KindEngine || e.health.state != StateAlive {
			continue
		}
		if now >= e.pollAt {
			c.pollLoad(now, e)
		}
		if now >= e.cacheAt {
			c.pollCache(now, e)
		}
	}
}

// pollLoad polls the engine if this round is ours. The share changes with the
// round, so that an engine without a poller gets one soon.
func (c *Core) pollLoad(now time.Duration, e *endpoint) {
	first := e.pollAt == 0
	e.pollAt = now + c.jittered(pollInterval)
	e.pollRound++
	if first || !c.ours(e, e.pollRound) || !c.polls.take(now) {
		return
	}
	c.actions = append(c.actions, PollLoad{Endpoint: e.configured})
}

// pollCache polls for cache events if the engine is in the fixed share of this
// instance; events are only useful in sequence.
func (c *Core) pollCache(now time.Duration, e *endpoint) {
	first := e.cacheAt == 0
	e.cacheAt = now + c.jittered(cacheInterval)
	if first || !c.ours(e, 0) || !c.polls.take(now) {
		return
	}
	c.actions = append(c.actions, PollCacheEvents{Endpoint: e.configured, AfterSequence: e.cacheLast})
}

func (c *Core) jittered(interval time.Duration) time.Duration {
	return time.Duration((0.75 + 0.5*c.random.Float64()) * float64(interval))
}

func (c *Core) ours(e *endpoint, round uint64) bool {
	if c.instances <= pollersPerEngine {
		return true
	}
	score := combine(combine(c.self, e.hash), round)
	return score%uint64(c.instances) < pollersPerEngine
}

func (c *Core) loadReported(now time.Duration, report LoadReported) {
	e, ok := c.endpoints[report.Endpoint]
	if !ok {
		return
	}
	lag := report.Age
	if lag == 0 {
		lag = reportLag
	}
	c.setForeign(now, e, use{report.Running, report.Tokens}, now-lag)
	c.recheck = c.recheck || (e.draining && !report.Draining)
	e.draining = report.Draining
	if !c.changed(now, e, report) {
		return
	}
	c.share(now, e, PeerLoad{Running: report.Running, Tokens: report.Tokens, Dead: e.health.state == StateDead})
}

// changed keeps reports that say nothing new from the peers.
func (c *Core) changed(now time.Duration, e *endpoint, report LoadReported) bool {
	last := e.shared.load
	age := c.wall(now) - last.Version
	if age >= uint64(c.refresh().Milliseconds()) {
		return true
	}
	difference := report.Running - last.Running
	return max(difference, -difference) > e.slots()/changeShare
}

// setForeign takes over the part of a total that was not ours at its time.
func (c *Core) setForeign(now time.Duration, e *endpoint, total use, at time.Duration) {
	own := e.ownAt(at)
	foreign := use{
		running: max(0, total.running-own.running),
		tokens:  max(0, total.tokens-own.tokens),
	}
	if foreign.running < e.foreign.running {
		c.recheck = true
	}
	e.foreign = foreign
	e.reported = now
}

func (c *Core) expireReports(now time.Duration) {
	for _, e := range c.ordered {
		if e.reported != 0 && now-e.reported >= reportLifetime {
			e.reported = 0
			e.foreign = use{}
			e.draining = false
			c.recheck = true
		}
	}
}

// wall returns the wall clock in milliseconds.
func (c *Core) wall(now time.Duration) uint64 {
	return uint64((now + c.options.WallOffset).Milliseconds())
}

// share publishes what this instance observed.
func (c *Core) share(now time.Duration, e *endpoint, load PeerLoad) {
	load.Endpoint = e.id
	load.Instance = c.options.Instance
	load.Version = max(c.wall(now), e.shared.load.Version+1)
	e.shared = sharedLoad{load: load, sends: c.sends(load)}
}

// sends returns how often a changed entry is passed on: a death until every
// instance is certain to have it, about 3 log2 N times, a load a few times.
func (c *Core) sends(load PeerLoad) int {
	if load.Dead {
		return 3 * max(1, bits.Len(uint(c.instances)))
	}
	return loadSends
}

// refresh returns the time between two unchanged loads of one endpoint.
func (c *Core) refresh() time.Duration {
	return max(refreshInterval, time.Duration(len(c.ordered))*refreshPerEndpoint)
}

// newer orders the observations of one endpoint by several instances.
func newer(a, b PeerLoad) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.Instance > b.Instance
}

func (c *Core) mergeLoads(now time.Duration, loads []PeerLoad) {
	for _, load := range loads {
		e, ok := c.endpoints[load.Endpoint]
		if !ok || load.Instance == c.options.Instance {
			continue
		}
		if !newer(load, e.shared.load) && !c.options.faults.acceptOldLoads {
			continue
		}
		if load.Version > c.wall(now)+uint64(clockTolerance.Milliseconds()) {
			continue
		}
		c.mergeLoad(now, e, load)
	}
}

func (c *Core) mergeLoad(now time.Duration, e *endpoint, load PeerLoad) {
	revived := e.shared.load.Dead && !load.Dead
	e.shared = sharedLoad{load: load, sends: c.sends(load)}
	if load.Dead {
		// Another instance's view is a reason to look, not a verdict.
		c.silent(now, e.id)
		return
	}
	if revived && e.health.state != StateAlive {
		e.health.probeAt = min(e.health.probeAt, now+c.jittered(probeBackoff))
	}
	age := time.Duration(0)
	if wall := c.wall(now); wall > load.Version {
		age = time.Duration(wall-load.Version) * time.Millisecond
	}
	if age < reportLifetime && e.health.state == StateAlive {
		c.setForeign(now, e, use{load.Running, load.Tokens}, now-age-reportLag)
	}
}

// CollectLoads returns up to limit changed loads to pass on, deaths first.
func (c *Core) CollectLoads(limit int) []PeerLoad {
	var due []*endpoint
	for _, e := range c.ordered {
		if e.shared.sends > 0 {
			due = append(due, e)
		}
	}
	slices.SortStableFunc(due, func(a, b *endpoint) int {
		if a.shared.load.Dead != b.shared.load.Dead {
			if a.shared.load.Dead {
				return -1
			}
			return 1
		}
		if a.shared.sends != b.shared.sends {
			return b.shared.sends - a.shared.sends
		}
		return cmp.Compare(b.shared.load.Version, a.shared.load.Version)
	})
	due = due[:min(limit, len(due))]
	loads := make([]PeerLoad, 0, len(due))
	for _, e := range due {
		e.shared.sends--
		loads = append(loads, e.shared.load)
	}
	return loads
}
