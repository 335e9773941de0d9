package quarantine

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// fieldOverheadBytes is what a record takes in a message in addition to its own
// size: a tag and a length of up to two bytes.
const fieldOverheadBytes = 3

// Collect returns new records for another instance, at most maxBytes, the least often
// sent first, and counts them as sent.
func (c *Core) Collect(now time.Duration, maxBytes int) *peerpb.Deltas {
	parts, crashes := c.unsentParts(), c.unsentCrashes()
	deltas := &peerpb.Deltas{}
	for len(parts) > 0 || len(crashes) > 0 {
		if len(crashes) == 0 || len(parts) > 0 && c.served[parts[0]].sendsLeft > crashes[0].sendsLeft {
			s := c.served[parts[0]]
			message := servedToProto(now, parts[0], s)
			parts = parts[1:]
			if takeBytes(&maxBytes, message) {
				s.sendsLeft--
				deltas.ServedParts = append(deltas.ServedParts, message)
			}
			continue
		}
		r := crashes[0]
		message := crashToProto(now, r)
		crashes = crashes[1:]
		if takeBytes(&maxBytes, message) {
			r.sendsLeft--
			deltas.PromptCrashes = append(deltas.PromptCrashes, message)
		}
	}
	return deltas
}

// takeBytes reports whether the record fits into the bytes that are left, and takes
// them if so.
func takeBytes(left *int, message proto.Message) bool {
	size := proto.Size(message) + fieldOverheadBytes
	if size > *left {
		return false
	}
	*left -= size
	return true
}

// unsentParts returns the served parts to send, the least often sent first.
func (c *Core) unsentParts() []Part {
	var parts []Part
	for part := range c.byPart {
		if s := c.served[part]; s != nil && s.sendsLeft > 0 {
			parts = append(parts, part)
		}
	}
	slices.SortFunc(parts, func(a, b Part) int {
		return cmp.Or(cmp.Compare(c.served[b].sendsLeft, c.served[a].sendsLeft), cmp.Compare(a, b))
	})
	return parts
}

// unsentCrashes returns the crashes to send, the least often sent first.
func (c *Core) unsentCrashes() []*crashRecord {
	var list []*crashRecord
	for _, r := range c.records {
		if r.sendsLeft > 0 {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *crashRecord) int {
		return cmp.Or(cmp.Compare(b.sendsLeft, a.sendsLeft), cmp.Compare(a.crash, b.crash), cmp.Compare(partsHash(a.parts), partsHash(b.parts)))
	})
	return list
}

// Snapshot returns all crashes, and which of their parts were served, for an
// instance that has just started.
func (c *Core) Snapshot(now time.Duration) *peerpb.Deltas {
	deltas := &peerpb.Deltas{}
	for _, r := range c.records {
		deltas.PromptCrashes = append(deltas.PromptCrashes, crashToProto(now, r))
	}
	for part := range c.byPart {
		if s := c.served[part]; s != nil {
			deltas.ServedParts = append(deltas.ServedParts, servedToProto(now, part, s))
		}
	}
	return deltas
}

func crashToProto(now time.Duration, r *crashRecord) *peerpb.PromptCrash {
	message := &peerpb.PromptCrash{Crash: r.crash, FailureDomain: r.domain, AgeMs: ageMS(now, r.at)}
	for _, part := range r.parts {
		message.Parts = append(message.Parts, uint64(part))
	}
	return message
}

func servedToProto(now time.Duration, part Part, s *served) *peerpb.ServedPart {
	return &peerpb.ServedPart{Part: uint64(part), AgeMs: ageMS(now, s.at)}
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
		record := CrashRecord{Crash: message.GetCrash(), Domain: message.GetFailureDomain(), Age: milliseconds(message.GetAgeMs())}
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
	return received
}

func milliseconds(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }
