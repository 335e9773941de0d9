// Package quarantine finds prompt parts that crash engines and refuses requests that
// contain them. A request that crashes each engine cannot be recognised by its
// content if no two such requests are alike. Their common part can: engines crash
// while requests with it wait for their first event, and none of them is served.
// Instances exchange the crashes and the parts that were served.
package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// minCrashes is the number of crashes from which a part is refused.
	minCrashes = 3
	// domainFailureWindow is the time within which crashes of one failure domain
	// count once, since the domain may have failed as a whole.
	domainFailureWindow = time.Second
	// servedConfirmation is how long a part that was served before is still
	// considered harmless while crashes with it are reported. Reports of other
	// instances that served it arrive within this time.
	servedConfirmation = 3 * time.Second
	// recordLifetime is how long a crash or a served part is remembered. After it,
	// a request with a refused part is tried again.
	recordLifetime = 30 * time.Minute
	// sameCrashTolerance is the largest difference between the times of two reports
	// of one crash that is not corrected. Ages in messages do not include the delay of
	// the network.
	sameCrashTolerance = 100 * time.Millisecond
	// maxCrashRecords and maxServedParts bound the memory.
	maxCrashRecords = 512
	maxServedParts  = 16384
	// maxPartsPerCrash bounds the parts of one crash, so that it fits into a message.
	// Later parts are kept, since fewer requests share them.
	maxPartsPerCrash = 16
	// gossipSends is the number of times that an instance sends a new record, about
	// 2 log2 of 330 instances, each of which passes it on.
	gossipSends = 16
)

// Part identifies a part of a prompt. It is a hash of the part's identifier.
type Part uint64

// PartOf returns the part with the identifier.
func PartOf(id string) Part { return Part(xxhash.Sum64String(id)) }

// EngineCrashed reports the crash of an engine.
type EngineCrashed struct {
	Endpoint    api.EndpointID
	Incarnation int64
	Domain      api.FailureDomain
	// Waiting are the prompts of the requests that waited for their first event,
	// as the parts that each may share with other requests.
	Waiting [][]Part
}

// PartsServed reports a request for which an engine generated events.
type PartsServed struct{ Parts []Part }

// RecordsReceived contains the records of another instance.
type RecordsReceived struct {
	Crashes []CrashRecord
	Served  []ServedRecord
}

// Tick removes old records.
type Tick struct{}

// Event is an input of the core.
type Event interface{ event() }

func (EngineCrashed) event()   {}
func (PartsServed) event()     {}
func (RecordsReceived) event() {}
func (Tick) event()            {}

// CrashRecord is the crash of an engine as one request saw it that was waiting for
// its first event.
type CrashRecord struct {
	Crash  uint64 // hash of the engine's ID and incarnation
	Domain uint64 // hash of its failure domain
	Parts  []Part
	Age    time.Duration
}

// ServedRecord is a part with which an engine generated events.
type ServedRecord struct {
	Part Part
	Age  time.Duration
}

// crashRecord is a CrashRecord with the local time of the crash.
type crashRecord struct {
	crash     uint64
	domain    uint64
	parts     []Part
	at        time.Duration
	sendsLeft int
}

// recordKey identifies a record at all instances.
type recordKey struct {
	crash uint64
	parts uint64 // hash of the parts
}

// served is when a part was last served.
type served struct {
	at        time.Duration
	sendsLeft int
}

// Core holds the records and decides which requests are refused. It has no I/O and
// no clock, and is not safe for concurrent use.
type Core struct {
	records map[recordKey]*crashRecord
	byPart  map[Part][]*crashRecord // by time
	byCrash map[uint64][]*crashRecord
	served  map[Part]*served
}

// NewCore returns a core without records.
func NewCore() *Core {
	return &Core{
		records: make(map[recordKey]*crashRecord),
		byPart:  make(map[Part][]*crashRecord),
		byCrash: make(map[uint64][]*crashRecord),
		served:  make(map[Part]*served),
	}
}

// Step handles one event. It reports whether other instances should learn of a
// change at once.
func (c *Core) Step(now time.Duration, ev Event) (urgent bool) {
	switch ev := ev.(type) {
	case EngineCrashed:
		return c.engineCrashed(now, ev)
	case PartsServed:
		return c.partsServed(now, ev.Parts)
	case RecordsReceived:
		return c.recordsReceived(now, ev)
	case Tick:
		c.removeOld(now)
	}
	return false
}

// Refused returns the parts for which a request with the given parts is refused; nil
// if it is not. Besides a part that crashed engines, they are those that were in all
// the requests with it and were never served: any of them may be the cause.
func (c *Core) Refused(now time.Duration, parts []Part) []Part {
	for _, part := range parts {
		if len(c.byPart[part]) < minCrashes || c.isHarmless(now, part) {
			continue
		}
		crashes := c.unexplainedCrashes(now, part)
		if countIncidents(crashes) < minCrashes {
			continue
		}
		if causes := c.commonParts(now, crashes); containsAll(parts, causes) {
			return causes
		}
	}
	return nil
}

// isHarmless reports whether engines generated events with the part, and no crashes
// since then say otherwise.
func (c *Core) isHarmless(now time.Duration, part Part) bool {
	if c.served[part] == nil {
		return false
	}
	crashes := c.crashesSinceServed(part)
	return countIncidents(crashes) < minCrashes || now-crashes[0].at < servedConfirmation
}

// crashesSinceServed returns the crashes with the part since it was last served, the
// oldest first.
func (c *Core) crashesSinceServed(part Part) []*crashRecord {
	list := c.byPart[part]
	last := c.served[part]
	if last == nil {
		return list
	}
	first, _ := slices.BinarySearchFunc(list, last.at, func(r *crashRecord, at time.Duration) int {
		if r.at > at {
			return 1
		}
		return -1
	})
	return list[first:]
}

// unexplainedCrashes returns the crashes with the part since it was served, without
// those at which another prompt waited that has a part with as many crashes or more.
func (c *Core) unexplainedCrashes(now time.Duration, part Part) []*crashRecord {
	all := c.crashesSinceServed(part)
	own := countCrashes(all)
	var unexplained []*crashRecord
	for _, r := range all {
		if !c.explained(now, r, part, own) {
			unexplained = append(unexplained, r)
		}
	}
	return unexplained
}

// explained reports whether another prompt at the crash of r, without the part, has a
// part with at least the given number of crashes.
func (c *Core) explained(now time.Duration, r *crashRecord, part Part, crashes int) bool {
	for _, other := range c.byCrash[r.crash] {
		if other == r || slices.Contains(other.parts, part) {
			continue
		}
		for _, candidate := range other.parts {
			if !c.isHarmless(now, candidate) && countCrashes(c.crashesSinceServed(candidate)) >= crashes {
				return true
			}
		}
	}
	return false
}

// countCrashes counts the engines that crashed.
func countCrashes(crashes []*crashRecord) int {
	seen := make(map[uint64]bool)
	for _, r := range crashes {
		seen[r.crash] = true
	}
	return len(seen)
}

// countIncidents counts crashes, each engine's once however many requests saw it, and
// those of one failure domain within domainFailureWindow once. The crashes are ordered
// by time.
func countIncidents(crashes []*crashRecord) int {
	incidents := 0
	seen := make(map[uint64]bool)
	counted := make(map[uint64]time.Duration)
	for _, r := range crashes {
		if seen[r.crash] {
			continue
		}
		seen[r.crash] = true
		if at, ok := counted[r.domain]; ok && r.at-at <= domainFailureWindow {
			continue
		}
		counted[r.domain] = r.at
		incidents++
	}
	return incidents
}

// commonParts returns the parts that are in all the crashes, without harmless ones.
func (c *Core) commonParts(now time.Duration, crashes []*crashRecord) []Part {
	var common []Part
	for _, part := range crashes[0].parts {
		inAll := !slices.ContainsFunc(crashes, func(r *crashRecord) bool { return !slices.Contains(r.parts, part) })
		if inAll && !c.isHarmless(now, part) {
			common = append(common, part)
		}
	}
	return common
}

func containsAll(parts, wanted []Part) bool {
	return !slices.ContainsFunc(wanted, func(p Part) bool { return !slices.Contains(parts, p) })
}

func (c *Core) engineCrashed(now time.Duration, ev EngineCrashed) (urgent bool) {
	for _, parts := range ev.Waiting {
		parts = parts[max(0, len(parts)-maxPartsPerCrash):]
		record := CrashRecord{Crash: crashHash(ev.Endpoint, ev.Incarnation), Domain: xxhash.Sum64String(string(ev.Domain)), Parts: parts}
		urgent = c.addRecord(now, record) || urgent
	}
	return urgent
}

// addRecord adds a crash unless it is too old or has no parts. Of two reports of one
// crash the earlier time holds. It reports whether something changed.
func (c *Core) addRecord(now time.Duration, record CrashRecord) bool {
	if len(record.Parts) == 0 || record.Age >= recordLifetime {
		return false
	}
	at := now - record.Age
	key := recordKey{crash: record.Crash, parts: partsHash(record.Parts)}
	if known := c.records[key]; known != nil {
		if at >= known.at-sameCrashTolerance {
			return false
		}
		c.removeRecord(key)
	}
	if len(c.records) >= maxCrashRecords {
		c.removeOldestRecord()
	}
	added := &crashRecord{crash: record.Crash, domain: record.Domain, parts: slices.Clone(record.Parts), at: at, sendsLeft: gossipSends}
	c.records[key] = added
	c.byCrash[added.crash] = append(c.byCrash[added.crash], added)
	for _, part := range added.parts {
		c.insert(part, added)
		if last := c.served[part]; last != nil {
			last.sendsLeft = gossipSends
		}
	}
	return true
}

// insert keeps the crashes of a part in the order of time.
func (c *Core) insert(part Part, r *crashRecord) {
	list := c.byPart[part]
	if slices.Contains(list, r) {
		return
	}
	i, _ := slices.BinarySearchFunc(list, r.at, func(other *crashRecord, at time.Duration) int {
		if other.at > at {
			return 1
		}
		return -1
	})
	c.byPart[part] = slices.Insert(list, i, r)
}

// partsServed records that the parts were served. Other instances learn it only if
// there are crashes with a part.
func (c *Core) partsServed(now time.Duration, parts []Part) (urgent bool) {
	for _, part := range parts {
		urgent = c.recordServed(now, part) || urgent
	}
	return urgent
}

// recordServed records that a part was served. It reports whether there were crashes
// with the part before.
func (c *Core) recordServed(at time.Duration, part Part) (urgent bool) {
	hadCrashes := len(c.crashesSinceServed(part)) > 0
	last := c.served[part]
	if last == nil {
		if len(c.served) >= maxServedParts {
			c.removeOldestServed()
		}
		last = &served{at: at}
		c.served[part] = last
	} else if at <= last.at {
		return false
	}
	last.at = at
	if hadCrashes {
		last.sendsLeft = gossipSends
	}
	return hadCrashes
}

func (c *Core) recordsReceived(now time.Duration, ev RecordsReceived) (urgent bool) {
	for _, record := range ev.Served {
		if record.Age < recordLifetime {
			urgent = c.recordServed(now-record.Age, record.Part) || urgent
		}
	}
	for _, record := range ev.Crashes {
		urgent = c.addRecord(now, record) || urgent
	}
	return urgent
}

func (c *Core) removeOld(now time.Duration) {
	for key, r := range c.records {
		if now-r.at >= recordLifetime {
			c.removeRecord(key)
		}
	}
	for part, s := range c.served {
		if now-s.at >= recordLifetime {
			delete(c.served, part)
		}
	}
}

func (c *Core) removeRecord(key recordKey) {
	removed := c.records[key]
	delete(c.records, key)
	c.byCrash[removed.crash] = slices.DeleteFunc(c.byCrash[removed.crash], func(r *crashRecord) bool { return r == removed })
	if len(c.byCrash[removed.crash]) == 0 {
		delete(c.byCrash, removed.crash)
	}
	for _, part := range removed.parts {
		c.byPart[part] = slices.DeleteFunc(c.byPart[part], func(r *crashRecord) bool { return r == removed })
		if len(c.byPart[part]) == 0 {
			delete(c.byPart, part)
		}
	}
}

func (c *Core) removeOldestRecord() {
	var oldest recordKey
	var found *crashRecord
	for key, r := range c.records {
		if found == nil || r.at < found.at || r.at == found.at && key.less(oldest) {
			oldest, found = key, r
		}
	}
	c.removeRecord(oldest)
}

func (k recordKey) less(other recordKey) bool {
	return k.crash < other.crash || k.crash == other.crash && k.parts < other.parts
}

// removeOldestServed forgets the part that was not served for the longest time.
func (c *Core) removeOldestServed() {
	var oldest Part
	var found *served
	for part, s := range c.served {
		if found == nil || s.at < found.at || s.at == found.at && part < oldest {
			oldest, found = part, s
		}
	}
	delete(c.served, oldest)
}
