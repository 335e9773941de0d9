package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// maxCandidates is the number of records from which Collect fills a message. It is far
// more than fit, since some may be too large for what is left of the message.
const maxCandidates = 32

// Collect returns new records for another instance, at most maxBytes, and counts them
// as sent: first the trials, then the crashes with parts that were in several, then the
// least often sent.
func (c *Core) Collect(now time.Duration, maxBytes int) *peerpb.Deltas {
	deltas := &peerpb.Deltas{}
	left := peer.ByteBudget(maxBytes)
	for part, tried := range c.unsentTried {
		message := triedToProto(now, part, tried)
		if left.Take(message) {
			countSent(c.unsentTried, part, tried)
			deltas.TriedParts = append(deltas.TriedParts, message)
		}
	}
	for _, u := range c.firstUnsent(now) {
		if u.record != nil {
			message := crashToProto(now, u.record)
			if left.Take(message) {
				c.countRecordSent(u.record)
				deltas.PromptCrashes = append(deltas.PromptCrashes, message)
			}
			continue
		}
		message := servedToProto(now, u.part, u.served)
		if left.Take(message) {
			countSent(c.unsentServed, u.part, u.served)
			deltas.ServedParts = append(deltas.ServedParts, message)
		}
	}
	return deltas
}

// unsent is a crash or a served part that other instances have to be sent.
type unsent struct {
	record    *crashRecord // nil: the served part
	part      Part
	served    *partRecord
	recurs    int // 1 if the crash has a part that was in another crash too
	sendsLeft int
}

func (u unsent) key() recordKey {
	if u.record != nil {
		return u.record.key
	}
	return recordKey{parts: uint64(u.part)}
}

func (u unsent) compare(other unsent) int {
	return cmp.Or(cmp.Compare(other.recurs, u.recurs), cmp.Compare(other.sendsLeft, u.sendsLeft), u.key().compare(other.key()))
}

// firstUnsent returns the first maxCandidates of what is left to send, in the order of
// Collect.
func (c *Core) firstUnsent(now time.Duration) []unsent {
	var first []unsent
	for _, r := range c.unsentRecords {
		u := unsent{record: r, sendsLeft: r.sendsLeft}
		if c.recurs(now, r) {
			u.recurs = 1
		}
		first = insertUnsent(first, u)
	}
	for part, s := range c.unsentServed {
		first = insertUnsent(first, unsent{part: part, served: s, sendsLeft: s.sendsLeft})
	}
	return first
}

// insertUnsent inserts into an ordered list and drops what exceeds maxCandidates.
func insertUnsent(list []unsent, u unsent) []unsent {
	if len(list) == maxCandidates && u.compare(list[maxCandidates-1]) > 0 {
		return list
	}
	i, _ := slices.BinarySearchFunc(list, u, unsent.compare)
	list = slices.Insert(list, i, u)
	return list[:min(len(list), maxCandidates)]
}

func (c *Core) countRecordSent(r *crashRecord) {
	if r.sendsLeft--; r.sendsLeft <= 0 {
		delete(c.unsentRecords, r.key)
	}
}

func countSent(unsent map[Part]*partRecord, part Part, sent *partRecord) {
	if sent.sendsLeft--; sent.sendsLeft <= 0 {
		delete(unsent, part)
	}
}

// Snapshot returns the crashes of parts that were in several, and which of their parts
// were served, for an instance that has just started, and the trials.
func (c *Core) Snapshot(now time.Duration) *peerpb.Deltas {
	deltas := &peerpb.Deltas{}
	sent := make(map[Part]bool)
	for _, r := range c.records {
		if r.expired(now) || !c.recurs(now, r) {
			continue
		}
		deltas.PromptCrashes = append(deltas.PromptCrashes, crashToProto(now, r))
		for _, part := range r.parts {
			if s := c.served[part]; s != nil && !sent[part] {
				sent[part] = true
				deltas.ServedParts = append(deltas.ServedParts, servedToProto(now, part, s))
			}
		}
	}
	for part, tried := range c.tried {
		deltas.TriedParts = append(deltas.TriedParts, triedToProto(now, part, tried))
	}
	return deltas
}

func crashToProto(now time.Duration, r *crashRecord) *peerpb.PromptCrash {
	message := &peerpb.PromptCrash{Crash: r.crash, FailureDomain: r.domain, AgeMs: ageMS(now, r.at), Unconfirmed: r.unconfirmed, Rerun: r.rerun}
	for _, part := range r.parts {
		message.Parts = append(message.Parts, uint64(part))
	}
	return message
}

func servedToProto(now time.Duration, part Part, s *partRecord) *peerpb.ServedPart {
	return &peerpb.ServedPart{Part: uint64(part), AgeMs: ageMS(now, s.at)}
}

func triedToProto(now time.Duration, part Part, tried *partRecord) *peerpb.TriedPart {
	return &peerpb.TriedPart{Part: uint64(part), AgeMs: ageMS(now, tried.at)}
}

func ageMS(now, at time.Duration) uint64 { return uint64(max(now-at, 0).Milliseconds()) }

// recordsFromProto decodes what another instance sent. It drops records with too
// many parts or an age beyond recordLifetime.
func recordsFromProto(deltas *peerpb.Deltas) RecordsReceived {
	var received RecordsReceived
	maxAgeMS := uint64(recordLifetime.Milliseconds())
	for _, message := range deltas.GetPromptCrashes() {
		if message.GetAgeMs() >= maxAgeMS || len(message.GetParts()) > maxPartsPerCrash {
			continue
		}
		record := CrashRecord{
			Crash: message.GetCrash(), Domain: message.GetFailureDomain(), Age: milliseconds(message.GetAgeMs()),
			Unconfirmed: message.GetUnconfirmed(), Rerun: message.GetRerun(),
		}
		for _, part := range message.GetParts() {
			record.Parts = append(record.Parts, Part(part))
		}
		received.Crashes = append(received.Crashes, record)
	}
	for _, message := range deltas.GetServedParts() {
		if message.GetAgeMs() < maxAgeMS {
			received.Served = append(received.Served, ServedRecord{Part: Part(message.GetPart()), Age: milliseconds(message.GetAgeMs())})
		}
	}
	for _, message := range deltas.GetTriedParts() {
		if message.GetAgeMs() < uint64(repeatedTrialInterval.Milliseconds()) {
			received.Tried = append(received.Tried, TriedRecord{Part: Part(message.GetPart()), Age: milliseconds(message.GetAgeMs())})
		}
	}
	return received
}

func milliseconds(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }
