// Package suspect marks content that was running on engines when they died,
// and says how far such content has to be kept from other content.
package suspect

import (
	"bytes"
	"sort"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

const (
	// domainWindow is the time within which deaths of several endpoints of one
	// failure domain count as a failure of the domain.
	domainWindow = time.Second
	// rerunTime is the least time that a content needs to be placed again and
	// to crash another engine.
	rerunTime = 100 * time.Millisecond
	// decayInterval is after how long without a death one mark is forgotten,
	// so that a refused content gets another chance.
	decayInterval = 30 * time.Minute
	// settleTime is how long a third mark waits for the marks of the peers
	// before the content is refused. Exchanges take place every second.
	settleTime = 2500 * time.Millisecond
	// sameDeath is the difference between the times of two marks that may come
	// from one death, seen by two instances.
	sameDeath = 300 * time.Millisecond
	// maxMarks bounds the table. 16 failures a day with some 30 streams each
	// stay far below it.
	maxMarks = 16384
	// gossipSends is how often a changed mark is handed to peers: about
	// 2 log2 of 330 instances, each of which passes it on.
	gossipSends = 16

	marksApart   = 1
	marksAlone   = 2
	marksRefused = 3
	// persistFrom is the number of marks from which the store keeps them.
	persistFrom = 2
)

// Died is an event: the death of an endpoint with the content it was running.
type Died struct {
	Endpoint api.EndpointID
	Domain   api.FailureDomain
	Running  []api.Digest
}

// Completed is an event: content that an engine survived.
type Completed struct{ Digest api.Digest }

// Merged is an event: marks from a peer or from the store.
type Merged struct{ Marks []*peerpb.CrashMark }

// Tick is an event that lets time pass.
type Tick struct{}

// Event is an input of the core.
type Event interface{ event() }

func (Died) event()      {}
func (Completed) event() {}
func (Merged) event()    {}
func (Tick) event()      {}

// Persist is an action: write or, if the mark is cleared, delete a mark in the
// store.
type Persist struct {
	Digest  api.Digest
	Deaths  uint32
	Version uint64
	Cleared bool
	Age     time.Duration
}

// Action is an output of the core.
type Action interface{ action() }

func (Persist) action() {}

// Options configures a Core.
type Options struct {
	// variant switches off one rule; only tests of the rules set it.
	variant variant
}

type variant string

const (
	ignoreDomainRule variant = "ignoreDomainRule"
	ignoreVersions   variant = "ignoreVersions"
	neverClear       variant = "neverClear"
	neverDoubt       variant = "neverDoubt"
)

// mark is the suspicion on one content.
type mark struct {
	deaths  uint32
	version uint64
	cleared bool
	at      time.Duration // of the last change of deaths
	sends   int
	// doubt is the number of marks at which another content was marked by the
	// same death; the content is refused only above it.
	doubt     uint32
	persisted bool
}

// death is kept for domainWindow, so that it can be taken back.
type death struct {
	at       time.Duration
	endpoint api.EndpointID
	domain   api.FailureDomain
	running  map[api.Digest]bool
	// withdrawn says that the death counts as part of a domain failure.
	withdrawn bool
}

// Core holds the marks. It is not safe for concurrent use.
type Core struct {
	o       Options
	marks   map[api.Digest]*mark
	recent  []*death
	actions []Action
}

// NewCore returns a core without marks.
func NewCore(o Options) *Core { return &Core{o: o, marks: make(map[api.Digest]*mark)} }

// Step handles one event. The actions are valid until the next Step.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.actions = c.actions[:0]
	switch ev := ev.(type) {
	case Died:
		c.onDied(now, ev)
	case Completed:
		c.onCompleted(now, ev.Digest)
	case Merged:
		for _, m := range ev.Marks {
			c.merge(now, m)
		}
	case Tick:
		c.expire(now)
	}
	return c.actions
}

// Level returns the isolation that the content needs.
func (c *Core) Level(now time.Duration, digest api.Digest) api.Isolation {
	m := c.marks[digest]
	if m == nil {
		return api.IsolationNone
	}
	switch deaths := m.current(now); {
	case deaths >= marksRefused && m.doubt < m.deaths && now-m.at >= settleTime:
		return api.IsolationRefused
	case deaths >= marksAlone:
		return api.IsolationAlone
	case deaths == marksApart:
		return api.IsolationApart
	default:
		return api.IsolationNone
	}
}

// Len returns the number of contents with marks, tombstones included.
func (c *Core) Len() int { return len(c.marks) }

// current returns the marks that have not decayed.
func (m *mark) current(now time.Duration) uint32 {
	decayed := uint32(max(now-m.at, 0) / decayInterval)
	if m.cleared || decayed >= m.deaths {
		return 0
	}
	return m.deaths - decayed
}

func (c *Core) onDied(now time.Duration, ev Died) {
	c.forgetDeaths(now)
	d := &death{at: now, endpoint: ev.Endpoint, domain: ev.Domain, running: make(map[api.Digest]bool)}
	for _, digest := range ev.Running {
		d.running[digest] = true
	}
	var same []*death
	for _, earlier := range c.recent {
		if earlier.domain != d.domain {
			continue
		}
		if earlier.endpoint == d.endpoint {
			// A second report of one death marks only what is new in it.
			c.add(now, earlier, d.running)
			return
		}
		same = append(same, earlier)
	}
	c.recent = append(c.recent, d)
	if len(same) == 0 || c.o.variant == ignoreDomainRule {
		c.markAll(now, d.running)
		return
	}
	c.onDomainFailure(now, same, d)
}

func (c *Core) add(now time.Duration, d *death, running map[api.Digest]bool) {
	added := make(map[api.Digest]bool)
	for digest := range running {
		if !d.running[digest] {
			d.running[digest] = true
			added[digest] = true
		}
	}
	if !d.withdrawn {
		c.markAll(now, added)
	}
}

// onDomainFailure takes back the marks of the deaths before and adds none,
// except to content that ran on more than one of the dead endpoints: a poison
// request that is continued within the domain looks like a domain failure.
func (c *Core) onDomainFailure(now time.Duration, earlier []*death, d *death) {
	for _, e := range earlier {
		for _, digest := range sorted(e.running) {
			if !e.withdrawn && !d.running[digest] {
				c.unmark(now, digest)
			}
		}
		e.withdrawn = true
	}
	d.withdrawn = true
	for _, digest := range sorted(d.running) {
		if ranBefore(earlier, digest) && c.ranAgain(now, d, digest) {
			c.markOne(now, digest)
		}
	}
}

func ranBefore(earlier []*death, digest api.Digest) bool {
	for _, e := range earlier {
		if e.running[digest] {
			return true
		}
	}
	return false
}

// ranAgain reports whether the content was probably placed again after its
// last mark, as opposed to running on several endpoints at once. In a domain
// failure a popular content can reach two marks this way, but three only if it
// ran alone.
func (c *Core) ranAgain(now time.Duration, d *death, digest api.Digest) bool {
	m := c.marks[digest]
	if m.none(now) {
		return true
	}
	if now-m.at < rerunTime {
		return false
	}
	return m.current(now) < marksAlone || len(d.running) == 1
}

func (m *mark) none(now time.Duration) bool { return m == nil || m.current(now) == 0 }

func (c *Core) forgetDeaths(now time.Duration) {
	kept := c.recent[:0]
	for _, d := range c.recent {
		if now-d.at <= domainWindow {
			kept = append(kept, d)
		}
	}
	clear(c.recent[len(kept):])
	c.recent = kept
}

func (c *Core) markAll(now time.Duration, running map[api.Digest]bool) {
	for _, digest := range sorted(running) {
		c.markOne(now, digest)
	}
}

func (c *Core) markOne(now time.Duration, digest api.Digest) {
	m := c.entry(digest)
	deaths := m.current(now) + 1
	c.set(now, digest, m, deaths, false)
}

func (c *Core) unmark(now time.Duration, digest api.Digest) {
	m := c.marks[digest]
	if m.none(now) {
		return
	}
	deaths := m.current(now) - 1
	c.set(now, digest, m, deaths, deaths == 0)
}

func (c *Core) onCompleted(now time.Duration, digest api.Digest) {
	m := c.marks[digest]
	if m == nil || m.cleared || c.o.variant == neverClear {
		return
	}
	c.set(now, digest, m, 0, true)
}

// set changes a mark under a new version and has it persisted where the store
// has or needs it.
func (c *Core) set(now time.Duration, digest api.Digest, m *mark, deaths uint32, cleared bool) {
	m.deaths, m.cleared, m.at = deaths, cleared, now
	m.version++
	m.sends = gossipSends
	c.compare(digest, m)
	if deaths >= persistFrom || m.persisted {
		m.persisted = deaths >= persistFrom
		c.persist(now, digest, m)
	}
}

// compare puts two contents in doubt that were marked by the same death. Two
// instances can have placed a poison request and an innocent one on one engine
// without knowing of each other; they run again on different engines.
func (c *Core) compare(digest api.Digest, m *mark) {
	if m.deaths < marksRefused || c.o.variant == neverDoubt {
		return
	}
	for other, o := range c.marks {
		if other != digest && o.deaths >= marksRefused && (o.at-m.at).Abs() <= sameDeath {
			o.doubt = max(o.doubt, o.deaths)
			m.doubt = max(m.doubt, m.deaths)
		}
	}
}

func (c *Core) persist(now time.Duration, digest api.Digest, m *mark) {
	c.actions = append(c.actions, Persist{
		Digest: digest, Deaths: m.deaths, Version: m.version,
		Cleared: m.deaths < persistFrom, Age: now - m.at,
	})
}

func (c *Core) entry(digest api.Digest) *mark {
	m := c.marks[digest]
	if m == nil {
		if len(c.marks) >= maxMarks {
			c.evict()
		}
		m = &mark{}
		c.marks[digest] = m
	}
	return m
}

// evict drops the mark with the fewest deaths, the oldest of these.
func (c *Core) evict() {
	var victim api.Digest
	var worst *mark
	for digest, m := range c.marks {
		older := worst == nil || m.deaths < worst.deaths ||
			m.deaths == worst.deaths && (m.at < worst.at || m.at == worst.at && bytes.Compare(digest[:], victim[:]) < 0)
		if older {
			victim, worst = digest, m
		}
	}
	delete(c.marks, victim)
}

// expire drops marks and tombstones that have decayed. The store's copy of a
// decayed mark is deleted.
func (c *Core) expire(now time.Duration) {
	c.forgetDeaths(now)
	var gone []api.Digest
	for digest, m := range c.marks {
		if m.current(now) == 0 && now-m.at >= decayInterval {
			gone = append(gone, digest)
		}
	}
	sort.Slice(gone, func(i, j int) bool { return bytes.Compare(gone[i][:], gone[j][:]) < 0 })
	for _, digest := range gone {
		m := c.marks[digest]
		if m.persisted {
			m.deaths, m.cleared = 0, true
			c.persist(now, digest, m)
		}
		delete(c.marks, digest)
	}
}

func sorted(set map[api.Digest]bool) []api.Digest {
	list := make([]api.Digest, 0, len(set))
	for digest := range set {
		list = append(list, digest)
	}
	sort.Slice(list, func(i, j int) bool { return bytes.Compare(list[i][:], list[j][:]) < 0 })
	return list
}
