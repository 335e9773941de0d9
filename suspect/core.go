// Package suspect finds poison requests: requests whose content crashes the
// engines that run it. For the content of each request it counts the engine
// crashes during which it was running, and returns how far it has to be isolated
// from other content. Instances exchange the counts as crash marks.
package suspect

import (
	"bytes"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

const (
	// domainFailureWindow is the time within which crashes of several endpoints of
	// one failure domain count as a failure of the domain.
	domainFailureWindow = time.Second
	// minRerunTime is the shortest time in which content can be placed again and
	// crash another engine.
	minRerunTime = 100 * time.Millisecond
	// decayInterval is the time without a crash after which a crash count decreases
	// by one, so that refused content is tried again.
	decayInterval = 30 * time.Minute
	// refusalDelay is the time after the third crash before the content is refused.
	// Instances exchange marks every second, so the marks of the peers have arrived
	// by then.
	refusalDelay = 2500 * time.Millisecond
	// sameCrashWindow is the largest difference between the times at which two
	// instances record the same crash.
	sameCrashWindow = 300 * time.Millisecond
	// maxMarks bounds the number of marks. 16 crashes a day with some 30 streams
	// each stay far below it.
	maxMarks = 16384
	// gossipSends is the number of times an instance sends a changed mark: about
	// 2 log2 of 330 instances, each of which passes it on.
	gossipSends = 16

	// Crash counts from which content gets an isolation level.
	crashesForApart   = 1
	crashesForAlone   = 2
	crashesForRefusal = 3
	// persistThreshold is the crash count from which a mark is kept in the store.
	persistThreshold = 2
)

// EndpointCrashed reports the crash of an endpoint and the content that it was
// running.
type EndpointCrashed struct {
	Endpoint api.EndpointID
	Domain   api.FailureDomain
	Running  []api.Digest
}

// ContentCompleted reports content that an engine ran to its end.
type ContentCompleted struct{ Digest api.Digest }

// MarksReceived carries marks from a peer or from the store.
type MarksReceived struct{ Marks []*peerpb.CrashMark }

// Tick lets the core remove expired marks.
type Tick struct{}

// Event is an input of the core.
type Event interface{ event() }

func (EndpointCrashed) event()  {}
func (ContentCompleted) event() {}
func (MarksReceived) event()    {}
func (Tick) event()             {}

// PersistMark asks to write a mark to the store, or to delete it there.
type PersistMark struct {
	Digest  api.Digest
	Crashes uint32
	Version uint64
	Delete  bool
	Age     time.Duration
}

// Action is an output of the core.
type Action interface{ action() }

func (PersistMark) action() {}

// CoreOptions configures a Core.
type CoreOptions struct {
	// mutation breaks one rule on purpose; only tests set it.
	mutation mutation
}

// mutation names a rule broken on purpose, which a property test has to detect.
type mutation string

const (
	ignoreDomainRule    mutation = "ignoreDomainRule"
	ignoreVersions      mutation = "ignoreVersions"
	neverClear          mutation = "neverClear"
	ignoreSharedCrashes mutation = "neverDoubt"
)

// mark is the crash mark of the content with one digest.
type mark struct {
	crashes   uint32
	version   uint64
	cleared   bool
	changedAt time.Duration // last change of crashes or cleared
	// refusableSince is when crashes last reached crashesForRefusal.
	refusableSince time.Duration
	sendsLeft      int
	// sharedCrashes is the highest crash count that the content reached by the same
	// crash as the content of another request. The content is refused only above
	// it, since the other request may be the cause.
	sharedCrashes uint32
	// lastEndpoint is a hash of the endpoint of the last crash; 0 is unknown.
	lastEndpoint uint64
	persisted    bool // the store has the mark or is about to get it
}

// crash is an endpoint crash. It is kept for domainFailureWindow, so that it can
// be retracted.
type crash struct {
	at       time.Duration
	endpoint api.EndpointID
	domain   api.FailureDomain
	running  map[api.Digest]bool
	// retracted says that the crash counts as part of a domain failure and not for
	// its content.
	retracted bool
}

// Core holds the marks. It has no I/O and no clock, and is not safe for concurrent
// use.
type Core struct {
	options       CoreOptions
	marks         map[api.Digest]*mark
	recentCrashes []*crash
	actions       []Action
}

// NewCore returns a core without marks.
func NewCore(o CoreOptions) *Core { return &Core{options: o, marks: make(map[api.Digest]*mark)} }

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
			c.mergeMark(now, m)
		}
	case Tick:
		c.expireMarks(now)
	}
	return c.actions
}

// IsolationLevel returns the isolation that the content needs.
func (c *Core) IsolationLevel(now time.Duration, digest api.Digest) api.Isolation {
	m := c.marks[digest]
	if m == nil {
		return api.IsolationNone
	}
	switch crashes := m.currentCrashes(now); {
	case crashes >= crashesForRefusal && m.sharedCrashes < m.crashes && now-m.refusableSince >= refusalDelay:
		return api.IsolationRefused
	case crashes >= crashesForAlone:
		return api.IsolationExclusive
	case crashes == crashesForApart:
		return api.IsolationSeparate
	default:
		return api.IsolationNone
	}
}

// Len returns the number of marks, including tombstones of cleared marks.
func (c *Core) Len() int { return len(c.marks) }

// currentCrashes returns the crash count less what has decayed.
func (m *mark) currentCrashes(now time.Duration) uint32 {
	decayed := uint32(max(now-m.changedAt, 0) / decayInterval)
	if m.cleared || decayed >= m.crashes {
		return 0
	}
	return m.crashes - decayed
}

func (c *Core) onEndpointCrashed(now time.Duration, ev EndpointCrashed) {
	c.dropOldCrashes(now)
	cr := &crash{at: now, endpoint: ev.Endpoint, domain: ev.Domain, running: make(map[api.Digest]bool)}
	for _, digest := range ev.Running {
		cr.running[digest] = true
	}
	var sameDomain []*crash
	for _, earlier := range c.recentCrashes {
		if earlier.domain != cr.domain {
			continue
		}
		if earlier.endpoint == cr.endpoint {
			// A second report of the same crash counts only for content that the
			// first one did not list.
			c.addRunning(now, earlier, cr.running)
			return
		}
		sameDomain = append(sameDomain, earlier)
	}
	c.recentCrashes = append(c.recentCrashes, cr)
	if len(sameDomain) == 0 || c.options.mutation == ignoreDomainRule {
		c.addCrashes(now, cr.endpoint, cr.running)
		return
	}
	c.onDomainFailure(now, sameDomain, cr)
}

func (c *Core) addRunning(now time.Duration, cr *crash, running map[api.Digest]bool) {
	added := make(map[api.Digest]bool)
	for digest := range running {
		if !cr.running[digest] {
			cr.running[digest] = true
			added[digest] = true
		}
	}
	if !cr.retracted {
		c.addCrashes(now, cr.endpoint, added)
	}
}

// onDomainFailure retracts the earlier crashes of the domain and does not count
// the new one, except for content that ran on more than one of the crashed
// endpoints: a poison request that is continued within the domain looks like a
// domain failure.
func (c *Core) onDomainFailure(now time.Duration, earlier []*crash, cr *crash) {
	for _, e := range earlier {
		for _, digest := range sortedDigests(e.running) {
			if !e.retracted && !cr.running[digest] {
				c.retractCrash(now, digest)
			}
		}
		e.retracted = true
	}
	cr.retracted = true
	for _, digest := range sortedDigests(cr.running) {
		if ranBefore(earlier, digest) && c.probablyReran(now, cr, digest) {
			c.addCrash(now, cr.endpoint, digest)
		}
	}
}

// ranBefore reports whether the content was running in one of the earlier crashes.
func ranBefore(earlier []*crash, digest api.Digest) bool {
	for _, e := range earlier {
		if e.running[digest] {
			return true
		}
	}
	return false
}

// probablyReran reports whether the content was probably placed again after its
// last crash, as opposed to running on several endpoints at once. Content that
// runs on many endpoints of a failing domain gets at most crashesForAlone, unless
// it was the only content on a crashed endpoint.
func (c *Core) probablyReran(now time.Duration, cr *crash, digest api.Digest) bool {
	m := c.marks[digest]
	if m.isClear(now) {
		return true
	}
	if now-m.changedAt < minRerunTime {
		return false
	}
	return m.currentCrashes(now) < crashesForAlone || len(cr.running) == 1
}

func (m *mark) isClear(now time.Duration) bool { return m == nil || m.currentCrashes(now) == 0 }

func (c *Core) dropOldCrashes(now time.Duration) {
	kept := c.recentCrashes[:0]
	for _, cr := range c.recentCrashes {
		if now-cr.at <= domainFailureWindow {
			kept = append(kept, cr)
		}
	}
	clear(c.recentCrashes[len(kept):])
	c.recentCrashes = kept
}

func (c *Core) addCrashes(now time.Duration, endpoint api.EndpointID, running map[api.Digest]bool) {
	for _, digest := range sortedDigests(running) {
		c.addCrash(now, endpoint, digest)
	}
}

// addCrash adds one crash to the content's mark.
func (c *Core) addCrash(now time.Duration, endpoint api.EndpointID, digest api.Digest) {
	m := c.getOrCreateMark(digest)
	m.lastEndpoint = xxhash.Sum64String(string(endpoint))
	crashes := m.currentCrashes(now) + 1
	c.updateMark(now, digest, m, crashes, false)
}

// retractCrash takes one crash off the content's mark.
func (c *Core) retractCrash(now time.Duration, digest api.Digest) {
	m := c.marks[digest]
	if m.isClear(now) {
		return
	}
	crashes := m.currentCrashes(now) - 1
	c.updateMark(now, digest, m, crashes, crashes == 0)
}

func (c *Core) onContentCompleted(now time.Duration, digest api.Digest) {
	m := c.marks[digest]
	if m == nil || m.cleared || c.options.mutation == neverClear {
		return
	}
	c.updateMark(now, digest, m, 0, true)
}

// updateMark changes a mark and increments its version. It persists the mark if
// the store has it or has to keep it.
func (c *Core) updateMark(now time.Duration, digest api.Digest, m *mark, crashes uint32, cleared bool) {
	m.set(now, crashes, cleared)
	m.version++
	m.sendsLeft = gossipSends
	c.detectSharedCrash(digest, m)
	if crashes >= persistThreshold || m.persisted {
		m.persisted = crashes >= persistThreshold
		c.persistMark(now, digest, m)
	}
}

// detectSharedCrash records that the content of two requests may have reached its
// counts by the same crash. Two instances can place a poison request and a
// harmless one on the same engine without knowing of each other. Both then run
// again, on different engines.
func (c *Core) detectSharedCrash(digest api.Digest, m *mark) {
	if m.crashes < crashesForRefusal || c.options.mutation == ignoreSharedCrashes {
		return
	}
	for other, o := range c.marks {
		if other != digest && o.crashes >= crashesForRefusal && mayBeEqual(o.lastEndpoint, m.lastEndpoint) && (o.changedAt-m.changedAt).Abs() <= sameCrashWindow {
			o.sharedCrashes = max(o.sharedCrashes, o.crashes)
			m.sharedCrashes = max(m.sharedCrashes, m.crashes)
		}
	}
}

// mayBeEqual reports whether two hashes of endpoints are equal or one is unknown.
func mayBeEqual(a, b uint64) bool { return a == b || a == 0 || b == 0 }

// set changes the count of a mark at a time.
func (m *mark) set(at time.Duration, crashes uint32, cleared bool) {
	if m.cleared || m.crashes < crashesForRefusal {
		m.refusableSince = at
	}
	m.crashes, m.cleared, m.changedAt = crashes, cleared, at
}

func (c *Core) persistMark(now time.Duration, digest api.Digest, m *mark) {
	c.actions = append(c.actions, PersistMark{
		Digest: digest, Crashes: m.crashes, Version: m.version,
		Delete: m.crashes < persistThreshold, Age: now - m.changedAt,
	})
}

func (c *Core) getOrCreateMark(digest api.Digest) *mark {
	m := c.marks[digest]
	if m == nil {
		if len(c.marks) >= maxMarks {
			c.evictMark()
		}
		m = &mark{}
		c.marks[digest] = m
	}
	return m
}

// evictMark removes the mark with the fewest crashes, the oldest of these.
func (c *Core) evictMark() {
	var evicted api.Digest
	var least *mark
	for digest, m := range c.marks {
		evictFirst := least == nil || m.crashes < least.crashes ||
			m.crashes == least.crashes && (m.changedAt < least.changedAt || m.changedAt == least.changedAt && bytes.Compare(digest[:], evicted[:]) < 0)
		if evictFirst {
			evicted, least = digest, m
		}
	}
	delete(c.marks, evicted)
}

// expireMarks removes marks and tombstones that have decayed. Marks that are in
// the store are deleted there too.
func (c *Core) expireMarks(now time.Duration) {
	c.dropOldCrashes(now)
	var expired []api.Digest
	for digest, m := range c.marks {
		if m.currentCrashes(now) == 0 && now-m.changedAt >= decayInterval {
			expired = append(expired, digest)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return bytes.Compare(expired[i][:], expired[j][:]) < 0 })
	for _, digest := range expired {
		m := c.marks[digest]
		if m.persisted {
			m.crashes, m.cleared = 0, true
			c.persistMark(now, digest, m)
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
