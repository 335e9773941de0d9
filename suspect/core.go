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
	// domainFailureWindow is the time within which deaths of several endpoints of one
	// failure domain count as a failure of the domain.
	domainFailureWindow = time.Second
	// minRerunTime is the least time that a content needs to be placed again and
	// to crash another engine.
	minRerunTime = 100 * time.Millisecond
	// decayInterval is after how long without a death one mark is forgotten,
	// so that a refused content gets another chance.
	decayInterval = 30 * time.Minute
	// refusalDelay is how long a third mark waits for the marks of the peers
	// before the content is refused. Exchanges take place every second.
	refusalDelay = 2500 * time.Millisecond
	// sameCrashWindow is the difference between the times of two marks that may come
	// from one death, seen by two instances.
	sameCrashWindow = 300 * time.Millisecond
	// maxMarks bounds the table. 16 failures a day with some 30 streams each
	// stay far below it.
	maxMarks = 16384
	// gossipSends is how often a changed mark is handed to peers: about
	// 2 log2 of 330 instances, each of which passes it on.
	gossipSends = 16

	crashesForApart   = 1
	crashesForAlone   = 2
	crashesForRefusal = 3
	// persistThreshold is the number of marks from which the store keeps them.
	persistThreshold = 2
)

// EndpointCrashed is an event: the death of an endpoint with the content it was running.
type EndpointCrashed struct {
	Endpoint api.EndpointID
	Domain   api.FailureDomain
	Running  []api.Digest
}

// ContentCompleted is an event: content that an engine survived.
type ContentCompleted struct{ Digest api.Digest }

// MarksReceived is an event: marks from a peer or from the store.
type MarksReceived struct{ Marks []*peerpb.CrashMark }

// Tick is an event that lets time pass.
type Tick struct{}

// Event is an input of the core.
type Event interface{ event() }

func (EndpointCrashed) event()  {}
func (ContentCompleted) event() {}
func (MarksReceived) event()    {}
func (Tick) event()             {}

// PersistMark is an action: write or, if the mark is cleared, delete a mark in the
// store.
type PersistMark struct {
	Digest  api.Digest
	Crashes uint32
	Version uint64
	Cleared bool
	Age     time.Duration
}

// Action is an output of the core.
type Action interface{ action() }

func (PersistMark) action() {}

// Options configures a Core.
type Options struct {
	// mutation switches off one rule; only tests of the rules set it.
	mutation mutation
}

type mutation string

const (
	ignoreDomainRule mutation = "ignoreDomainRule"
	ignoreVersions   mutation = "ignoreVersions"
	neverClear       mutation = "neverClear"
	neverDoubt       mutation = "neverDoubt"
)

// mark is the suspicion on one content.
type mark struct {
	crashes   uint32
	version   uint64
	cleared   bool
	changedAt time.Duration // of the last change of deaths
	sendsLeft int
	// sharedCrashes is the number of marks at which another content was marked by the
	// same death; the content is refused only above it.
	sharedCrashes uint32
	persisted     bool
}

// crash is kept for domainWindow, so that it can be taken back.
type crash struct {
	at       time.Duration
	endpoint api.EndpointID
	domain   api.FailureDomain
	running  map[api.Digest]bool
	// retracted says that the death counts as part of a domain failure.
	retracted bool
}

// Core holds the marks. It is not safe for concurrent use.
type Core struct {
	options       Options
	marks         map[api.Digest]*mark
	recentCrashes []*crash
	actions       []Action
}

// NewCore returns a core without marks.
func NewCore(o Options) *Core { return &Core{options: o, marks: make(map[api.Digest]*mark)} }

// Step handles one event. The actions are valid until the next Step.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.actions = c.actions[:0]
	switch ev := ev.(type) {
	case EndpointCrashed:
		c.onEndpointCrashed(now, ev)
	case ContentCompleted:
		c.onContentCompleted(now, ev.Digest)
	case MarksReceived:
		for _, m := range ev.Marks {
			c.merge(now, m)
		}
	case Tick:
		c.expire(now)
	}
	return c.actions
}

// IsolationLevel returns the isolation that the content needs.
func (c *Core) IsolationLevel(now time.Duration, digest api.Digest) api.Isolation {
	m := c.marks[digest]
	if m == nil {
		return api.IsolationNone
	}
	switch deaths := m.currentCrashes(now); {
	case deaths >= crashesForRefusal && m.sharedCrashes < m.crashes && now-m.changedAt >= refusalDelay:
		return api.IsolationRefused
	case deaths >= crashesForAlone:
		return api.IsolationAlone
	case deaths == crashesForApart:
		return api.IsolationApart
	default:
		return api.IsolationNone
	}
}

// Len returns the number of contents with marks, tombstones included.
func (c *Core) Len() int { return len(c.marks) }

// currentCrashes returns the marks that have not decayed.
func (m *mark) currentCrashes(now time.Duration) uint32 {
	decayed := uint32(max(now-m.changedAt, 0) / decayInterval)
	if m.cleared || decayed >= m.crashes {
		return 0
	}
	return m.crashes - decayed
}

func (c *Core) onEndpointCrashed(now time.Duration, ev EndpointCrashed) {
	c.forgetCrashes(now)
	d := &crash{at: now, endpoint: ev.Endpoint, domain: ev.Domain, running: make(map[api.Digest]bool)}
	for _, digest := range ev.Running {
		d.running[digest] = true
	}
	var same []*crash
	for _, earlier := range c.recentCrashes {
		if earlier.domain != d.domain {
			continue
		}
		if earlier.endpoint == d.endpoint {
			// A second report of one death marks only what is new in it.
			c.addRunning(now, earlier, d.running)
			return
		}
		same = append(same, earlier)
	}
	c.recentCrashes = append(c.recentCrashes, d)
	if len(same) == 0 || c.options.mutation == ignoreDomainRule {
		c.addMarks(now, d.running)
		return
	}
	c.onDomainFailure(now, same, d)
}

func (c *Core) addRunning(now time.Duration, d *crash, running map[api.Digest]bool) {
	added := make(map[api.Digest]bool)
	for digest := range running {
		if !d.running[digest] {
			d.running[digest] = true
			added[digest] = true
		}
	}
	if !d.retracted {
		c.addMarks(now, added)
	}
}

// onDomainFailure takes back the marks of the deaths before and adds none,
// except to content that ran on more than one of the dead endpoints: a poison
// request that is continued within the domain looks like a domain failure.
func (c *Core) onDomainFailure(now time.Duration, earlier []*crash, d *crash) {
	for _, e := range earlier {
		for _, digest := range sortedDigests(e.running) {
			if !e.retracted && !d.running[digest] {
				c.removeMark(now, digest)
			}
		}
		e.retracted = true
	}
	d.retracted = true
	for _, digest := range sortedDigests(d.running) {
		if ranBefore(earlier, digest) && c.probablyReran(now, d, digest) {
			c.addMark(now, digest)
		}
	}
}

func ranBefore(earlier []*crash, digest api.Digest) bool {
	for _, e := range earlier {
		if e.running[digest] {
			return true
		}
	}
	return false
}

// probablyReran reports whether the content was probably placed again after its
// last mark, as opposed to running on several endpoints at once. In a domain
// failure a popular content can reach two marks this way, but three only if it
// ran alone.
func (c *Core) probablyReran(now time.Duration, d *crash, digest api.Digest) bool {
	m := c.marks[digest]
	if m.isClear(now) {
		return true
	}
	if now-m.changedAt < minRerunTime {
		return false
	}
	return m.currentCrashes(now) < crashesForAlone || len(d.running) == 1
}

func (m *mark) isClear(now time.Duration) bool { return m == nil || m.currentCrashes(now) == 0 }

func (c *Core) forgetCrashes(now time.Duration) {
	kept := c.recentCrashes[:0]
	for _, d := range c.recentCrashes {
		if now-d.at <= domainFailureWindow {
			kept = append(kept, d)
		}
	}
	clear(c.recentCrashes[len(kept):])
	c.recentCrashes = kept
}

func (c *Core) addMarks(now time.Duration, running map[api.Digest]bool) {
	for _, digest := range sortedDigests(running) {
		c.addMark(now, digest)
	}
}

func (c *Core) addMark(now time.Duration, digest api.Digest) {
	m := c.getOrCreate(digest)
	deaths := m.currentCrashes(now) + 1
	c.setMark(now, digest, m, deaths, false)
}

func (c *Core) removeMark(now time.Duration, digest api.Digest) {
	m := c.marks[digest]
	if m.isClear(now) {
		return
	}
	deaths := m.currentCrashes(now) - 1
	c.setMark(now, digest, m, deaths, deaths == 0)
}

func (c *Core) onContentCompleted(now time.Duration, digest api.Digest) {
	m := c.marks[digest]
	if m == nil || m.cleared || c.options.mutation == neverClear {
		return
	}
	c.setMark(now, digest, m, 0, true)
}

// setMark changes a mark under a new version and has it persisted where the store
// has or needs it.
func (c *Core) setMark(now time.Duration, digest api.Digest, m *mark, deaths uint32, cleared bool) {
	m.crashes, m.cleared, m.changedAt = deaths, cleared, now
	m.version++
	m.sendsLeft = gossipSends
	c.detectSharedCrash(digest, m)
	if deaths >= persistThreshold || m.persisted {
		m.persisted = deaths >= persistThreshold
		c.persist(now, digest, m)
	}
}

// detectSharedCrash puts two contents in doubt that were marked by the same death. Two
// instances can have placed a poison request and an innocent one on one engine
// without knowing of each other; they run again on different engines.
func (c *Core) detectSharedCrash(digest api.Digest, m *mark) {
	if m.crashes < crashesForRefusal || c.options.mutation == neverDoubt {
		return
	}
	for other, o := range c.marks {
		if other != digest && o.crashes >= crashesForRefusal && (o.changedAt-m.changedAt).Abs() <= sameCrashWindow {
			o.sharedCrashes = max(o.sharedCrashes, o.crashes)
			m.sharedCrashes = max(m.sharedCrashes, m.crashes)
		}
	}
}

func (c *Core) persist(now time.Duration, digest api.Digest, m *mark) {
	c.actions = append(c.actions, PersistMark{
		Digest: digest, Crashes: m.crashes, Version: m.version,
		Cleared: m.crashes < persistThreshold, Age: now - m.changedAt,
	})
}

func (c *Core) getOrCreate(digest api.Digest) *mark {
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
		older := worst == nil || m.crashes < worst.crashes ||
			m.crashes == worst.crashes && (m.changedAt < worst.changedAt || m.changedAt == worst.changedAt && bytes.Compare(digest[:], victim[:]) < 0)
		if older {
			victim, worst = digest, m
		}
	}
	delete(c.marks, victim)
}

// expire drops marks and tombstones that have decayed. The store's copy of a
// decayed mark is deleted.
func (c *Core) expire(now time.Duration) {
	c.forgetCrashes(now)
	var gone []api.Digest
	for digest, m := range c.marks {
		if m.currentCrashes(now) == 0 && now-m.changedAt >= decayInterval {
			gone = append(gone, digest)
		}
	}
	sort.Slice(gone, func(i, j int) bool { return bytes.Compare(gone[i][:], gone[j][:]) < 0 })
	for _, digest := range gone {
		m := c.marks[digest]
		if m.persisted {
			m.crashes, m.cleared = 0, true
			c.persist(now, digest, m)
		}
		delete(c.marks, digest)
	}
}

func sortedDigests(set map[api.Digest]bool) []api.Digest {
	list := make([]api.Digest, 0, len(set))
	for digest := range set {
		list = append(list, digest)
	}
	sort.Slice(list, func(i, j int) bool { return bytes.Compare(list[i][:], list[j][:]) < 0 })
	return list
}
