// Package quarantine finds what crashes engines, and refuses requests that contain it:
// the whole content of a request that comes again, or a part of the prompt that
// requests share which are otherwise not alike. Each crash is recorded with the
// requests that the engine ran. Content or a part that was in several crashes, and
// that no engine has served since, is refused. Instances exchange the crashes and what
// was served.
package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// minCrashes is the number of crashes from which content or a part is refused.
	minCrashes = 3
	// domainFailureWindow is the time within which crashes of one failure domain
	// count once for a part, since the domain may have failed as a whole.
	domainFailureWindow = time.Second
	// rerunWindow replaces domainFailureWindow for content. Two engines that crashed
	// with the same content further apart ran it one after the other.
	rerunWindow = 100 * time.Millisecond
	// servedConfirmation is how long a part that was served before is still
	// considered harmless while crashes with it are reported. Reports of other
	// instances that served it arrive within this time.
	servedConfirmation = 3 * time.Second
	// explanationDelay is the time from a crash until all instances have exchanged what
	// they ran on the engine.
	explanationDelay = time.Second
	// recordLifetime is how long a crash or a served part is remembered. After it,
	// a request with a refused part is tried again.
	recordLifetime = 30 * time.Minute
	// unconfirmedLifetime is the same for the crash of an engine that only stopped
	// responding. Its registration ends within this time if it has crashed.
	unconfirmedLifetime = 6 * time.Second
)

// Part identifies a part of a prompt, or the whole content of a request. It is a hash.
type Part uint64

// PartOf returns the part of a prompt with the identifier.
func PartOf(id string) Part { return Part(xxhash.Sum64String(id)) }

// ContentOf returns the part that stands for the whole content of a request.
func ContentOf(digest api.Digest) Part { return Part(xxhash.Sum64(digest[:])) }

// Request is what identifies a request: what it may crash engines with.
type Request struct {
	// Content stands for the whole content; 0 is unknown.
	Content Part
	// Shared are the parts of the prompt that other requests may have too.
	Shared []Part
	// Rerun says of a request that an engine ran that it was sent there after an earlier
	// attempt of it broke off.
	Rerun bool
	// Account stands for the client account that sent the request, see AccountOf.
	Account uint64
}

// parts returns all parts, the content last.
func (r Request) parts() []Part {
	if r.Content == 0 {
		return r.Shared
	}
	return append(slices.Clone(r.Shared), r.Content)
}

// EngineCrashed reports the crash of an engine.
type EngineCrashed struct {
	Endpoint    api.EndpointID
	Incarnation int64
	Domain      api.FailureDomain
	// Running are the requests that the engine ran. Those for which it had generated
	// events have no shared parts here.
	Running []Request
	// Unconfirmed says that the engine stopped responding and may not have crashed.
	Unconfirmed bool
}

// PartsServed reports parts of a prompt for which an engine generated events.
type PartsServed struct{ Parts []Part }

// RequestCompleted reports a request that an engine ran to its end.
type RequestCompleted struct{ Request Request }

// RecordsReceived contains the records of another instance.
type RecordsReceived struct {
	Crashes []CrashRecord
	Served  []ServedRecord
	Tried   []TriedRecord
}

// Tick removes old records.
type Tick struct{}

// Event is an input of the core.
type Event interface{ event() }

func (EngineCrashed) event()    {}
func (PartsServed) event()      {}
func (RequestCompleted) event() {}
func (RecordsReceived) event()  {}
func (Tick) event()             {}

// Core holds the records and decides which requests are refused. It has no I/O and
// no clock, and is not safe for concurrent use.
type Core struct {
	records map[recordKey]*crashRecord
	byPart  map[Part][]*crashRecord // by time
	byCrash map[uint64][]*crashRecord
	served  map[Part]*partRecord
	tried   map[Part]*partRecord // see StartTrial
	// suspects are parts that were in minCrashes crashes, among them all that are refused.
	suspects map[Part]bool
	// reported are the requests in crashes that this instance has reported, by part, and
	// taken the times of the last crashes that TakeRefusals has returned.
	reported map[Part]Request
	taken    map[Part]time.Duration
	// unconfirmedCount is the number of unconfirmed records.
	unconfirmedCount int
	// unsentRecords, unsentServed and unsentTried are what other instances have not
	// been sent often enough.
	unsentRecords map[recordKey]*crashRecord
	unsentServed  map[Part]*partRecord
	unsentTried   map[Part]*partRecord
}

// NewCore returns a core without records.
func NewCore() *Core {
	return &Core{
		records:       make(map[recordKey]*crashRecord),
		byPart:        make(map[Part][]*crashRecord),
		byCrash:       make(map[uint64][]*crashRecord),
		served:        make(map[Part]*partRecord),
		tried:         make(map[Part]*partRecord),
		suspects:      make(map[Part]bool),
		reported:      make(map[Part]Request),
		taken:         make(map[Part]time.Duration),
		unsentRecords: make(map[recordKey]*crashRecord),
		unsentServed:  make(map[Part]*partRecord),
		unsentTried:   make(map[Part]*partRecord),
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
	case RequestCompleted:
		return c.requestCompleted(now, ev.Request)
	case RecordsReceived:
		return c.recordsReceived(now, ev)
	case Tick:
		c.removeOld(now)
		c.forgetReported()
	}
	return false
}

func (c *Core) engineCrashed(now time.Duration, ev EngineCrashed) (urgent bool) {
	for _, request := range ev.Running {
		parts := request.parts()
		parts = parts[max(0, len(parts)-maxPartsPerCrash):]
		record := CrashRecord{
			Crash: crashHash(ev.Endpoint, ev.Incarnation), Domain: xxhash.Sum64String(string(ev.Domain)),
			Parts: parts, Unconfirmed: ev.Unconfirmed, Rerun: request.Rerun,
		}
		urgent = c.addRecord(now, record, true) || urgent
		c.rememberReported(request)
	}
	return urgent
}

// partsServed records that the parts were served. Other instances learn it only if
// there are crashes with a part.
func (c *Core) partsServed(now time.Duration, parts []Part) (urgent bool) {
	for _, part := range parts {
		urgent = c.recordServed(now, part) || urgent
	}
	return urgent
}

// requestCompleted records that a request was served. Its content is recorded only
// after a crash with it: most contents come once.
func (c *Core) requestCompleted(now time.Duration, r Request) (urgent bool) {
	urgent = c.partsServed(now, r.Shared)
	if len(c.byPart[r.Content]) > 0 {
		urgent = c.recordServed(now, r.Content) && c.inSeveralCrashes(r.Content) || urgent
	}
	return urgent
}

func (c *Core) recordsReceived(now time.Duration, ev RecordsReceived) (urgent bool) {
	for _, record := range ev.Served {
		if record.Age < recordLifetime {
			urgent = c.recordServed(now-record.Age, record.Part) && c.inSeveralCrashes(record.Part) || urgent
		}
	}
	for _, record := range ev.Crashes {
		urgent = c.addRecord(now, record, false) || urgent
	}
	for _, record := range ev.Tried {
		urgent = c.recordTried(now-record.Age, record.Part) || urgent
	}
	return urgent
}

func (c *Core) inSeveralCrashes(part Part) bool { return len(c.byPart[part]) > 1 }
