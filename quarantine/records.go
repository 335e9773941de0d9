package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sameCrashTolerance is the largest difference between the times of two reports
	// of one crash that is not corrected. Ages in messages do not include the delay of
	// the network.
	sameCrashTolerance = 100 * time.Millisecond
	// maxCrashRecords and maxServedParts bound the memory. An engine runs up to 64
	// requests, and each becomes a record.
	maxCrashRecords = 4096
	maxServedParts  = 16384
	// evictionShare is the share of the records that is removed when there are
	// maxCrashRecords, so that the records are not sorted for each new one.
	evictionShare = 0.25
	// maxPartsPerCrash bounds the parts of one crash, so that it fits into a message.
	// Later parts are kept, since fewer requests share them.
	maxPartsPerCrash = 16
	// gossipSends is the number of times that an instance sends a new record, about
	// 2 log2 of 330 instances, each of which passes it on.
	gossipSends = 16
)

// CrashRecord is the crash of an engine as one request saw it that the engine ran.
type CrashRecord struct {
	Crash       uint64 // hash of the engine's ID and incarnation
	Domain      uint64 // hash of its failure domain
	Parts       []Part
	Age         time.Duration
	Unconfirmed bool // the engine only stopped responding
	Rerun       bool // the request was sent there after an earlier attempt of it broke off
}

// ServedRecord is a part that engines served.
type ServedRecord struct {
	Part Part
	Age  time.Duration
}

// TriedRecord is a part with which an instance began a trial.
type TriedRecord struct {
	Part Part
	Age  time.Duration
}

// crashRecord is a CrashRecord with the local time of the crash.
type crashRecord struct {
	key         recordKey
	crash       uint64
	domain      uint64
	parts       []Part
	at          time.Duration
	unconfirmed bool
	rerun       bool
	own         bool // reported by this instance
	sendsLeft   int
}

// expired reports whether the record no longer counts.
func (r *crashRecord) expired(now time.Duration) bool {
	if r.unconfirmed {
		return now-r.at >= unconfirmedLifetime
	}
	return now-r.at >= recordLifetime
}

// recordKey identifies a record at all instances.
type recordKey struct {
	crash uint64
	parts uint64 // hash of the parts
}

func (k recordKey) compare(other recordKey) int {
	return cmp.Or(cmp.Compare(k.crash, other.crash), cmp.Compare(k.parts, other.parts))
}

// partRecord is when a part was last served or tried.
type partRecord struct {
	at        time.Duration
	sendsLeft int
}

// addRecord adds a crash unless it is too old or has no parts. Of two reports of one
// crash a confirmed one replaces an unconfirmed one, otherwise the earlier time holds.
// It reports whether other instances should learn of it at once: if it shows a prompt
// that waited, or a part that was in another crash. own says that this instance reports it.
func (c *Core) addRecord(now time.Duration, record CrashRecord, own bool) (urgent bool) {
	key := recordKey{crash: record.Crash, parts: partsHash(record.Parts)}
	added := &crashRecord{
		key: key, crash: record.Crash, domain: record.Domain, parts: slices.Clone(record.Parts), at: now - record.Age,
		unconfirmed: record.Unconfirmed, rerun: record.Rerun, own: own, sendsLeft: gossipSends,
	}
	if len(record.Parts) == 0 || added.expired(now) {
		return false
	}
	if known := c.records[key]; known != nil {
		if !added.replaces(known) {
			return false
		}
		added.at = min(added.at, known.at)
		added.own = added.own || known.own
		c.removeRecord(key)
	}
	if len(c.records) >= maxCrashRecords {
		c.evictRecords(now)
	}
	c.records[key] = added
	c.unsentRecords[key] = added
	if added.unconfirmed {
		c.unconfirmedCount++
	}
	c.byCrash[added.crash] = append(c.byCrash[added.crash], added)
	for _, part := range added.parts {
		c.insert(part, added)
		if len(c.byPart[part]) >= minCrashes {
			c.suspects[part] = true
		}
		if last := c.served[part]; last != nil {
			c.sendServed(part, last)
		}
	}
	return len(added.parts) > 1 || c.recurs(now, added)
}

// replaces reports whether a report of a crash replaces a known one.
func (r *crashRecord) replaces(known *crashRecord) bool {
	if r.unconfirmed != known.unconfirmed {
		return known.unconfirmed
	}
	return r.at < known.at-sameCrashTolerance
}

// insert keeps the crashes of a part in the order of time.
func (c *Core) insert(part Part, r *crashRecord) {
	list := c.byPart[part]
	if slices.Contains(list, r) {
		return
	}
	i, _ := slices.BinarySearchFunc(list, r.at, afterTime)
	c.byPart[part] = slices.Insert(list, i, r)
}

// recordServed records that a part was served. It reports whether there were crashes
// with the part since it was last served.
func (c *Core) recordServed(at time.Duration, part Part) (hadCrashes bool) {
	last := c.served[part]
	if last != nil && at <= last.at {
		return false
	}
	if crashes := c.byPart[part]; len(crashes) > 0 {
		hadCrashes = last == nil || crashes[len(crashes)-1].at > last.at
	}
	if last == nil {
		if len(c.served) >= maxServedParts {
			c.removeOldestServed()
		}
		last = &partRecord{}
		c.served[part] = last
	}
	last.at = at
	delete(c.taken, part) // crashes from now on are others
	if hadCrashes {
		c.sendServed(part, last)
	}
	return hadCrashes
}

// sendServed makes the next messages tell other instances that a part was served.
func (c *Core) sendServed(part Part, s *partRecord) {
	s.sendsLeft = gossipSends
	c.unsentServed[part] = s
}

func (c *Core) removeOld(now time.Duration) {
	for key, r := range c.records {
		if r.expired(now) {
			c.removeRecord(key)
		}
	}
	for part, s := range c.served {
		if now-s.at >= recordLifetime {
			c.removeServed(part)
		}
	}
	for part, tried := range c.tried {
		if now-tried.at >= repeatedTrialInterval {
			delete(c.tried, part)
			delete(c.unsentTried, part)
		}
	}
}

func (c *Core) removeRecord(key recordKey) {
	removed := c.records[key]
	delete(c.records, key)
	delete(c.unsentRecords, key)
	if removed.unconfirmed {
		c.unconfirmedCount--
	}
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

// evictRecords removes the oldest records, those of parts that were in other crashes
// last.
func (c *Core) evictRecords(now time.Duration) {
	type candidate struct {
		key    recordKey
		at     time.Duration
		recurs int
	}
	candidates := make([]candidate, 0, len(c.records))
	for key, r := range c.records {
		evicted := candidate{key: key, at: r.at}
		if c.recurs(now, r) {
			evicted.recurs = 1
		}
		candidates = append(candidates, evicted)
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.recurs, b.recurs), cmp.Compare(a.at, b.at), a.key.compare(b.key))
	})
	for _, evicted := range candidates[:int(evictionShare*maxCrashRecords)] {
		c.removeRecord(evicted.key)
	}
}

func (c *Core) removeServed(part Part) {
	delete(c.served, part)
	delete(c.unsentServed, part)
}

// removeOldestServed forgets the part that was not served for the longest time.
func (c *Core) removeOldestServed() {
	var oldest Part
	var found *partRecord
	for part, s := range c.served {
		if found == nil || s.at < found.at || s.at == found.at && part < oldest {
			oldest, found = part, s
		}
	}
	c.removeServed(oldest)
}
