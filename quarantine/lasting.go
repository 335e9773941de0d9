package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// maxLastingCrashes bounds the crashes that are kept of a refused part.
	maxLastingCrashes = 8
	// renewalInterval is the time between crashes after which a refused part that goes on
	// crashing engines is reported again.
	renewalInterval = 5 * time.Minute
)

// AccountOf returns the hash that stands for a client account.
func AccountOf(account api.AccountID) uint64 { return xxhash.Sum64String(string(account)) }

// Refusal is a part that is refused, with the crashes that show why. It outlasts the
// instances if it is stored.
type Refusal struct {
	Part Part
	// Account stands for the client account whose request was in the last crash.
	Account uint64
	Crashes []CrashRecord
}

// TakeRefusals returns the parts that are refused since the last call. Of all instances
// with the same records only the one that has reported the last crash returns a part.
func (c *Core) TakeRefusals(now time.Duration) []Refusal {
	var refusals []Refusal
	for part := range c.suspects {
		crashes := c.lastingCrashes(now, part)
		if len(crashes) < minCrashes {
			delete(c.suspects, part)
			continue
		}
		request, reported := c.reported[part]
		if !reported {
			continue
		}
		last := crashes[len(crashes)-1]
		taken, ok := c.taken[part]
		if !last.own || ok && last.at < taken+renewalInterval || !c.refuses(now, request, part) {
			continue
		}
		c.taken[part] = last.at
		refusals = append(refusals, newRefusal(now, part, request.Account, crashes))
	}
	slices.SortFunc(refusals, func(a, b Refusal) int { return cmp.Compare(a.Part, b.Part) })
	return refusals
}

// lastingCrashes returns the last crashes with the part since it was served, one for each
// engine, without unconfirmed ones.
func (c *Core) lastingCrashes(now time.Duration, part Part) []*crashRecord {
	seen := make(map[uint64]bool)
	var crashes []*crashRecord
	for _, r := range c.crashesSinceServed(now, part) {
		if !r.unconfirmed && !seen[r.crash] {
			seen[r.crash] = true
			crashes = append(crashes, r)
		}
	}
	return crashes[max(0, len(crashes)-maxLastingCrashes):]
}

// refuses reports whether requests like the given one are refused for the part.
func (c *Core) refuses(now time.Duration, request Request, part Part) bool {
	count := countPartIncidents
	if part == request.Content {
		count = c.countContentIncidents
	}
	return c.assessPart(now, request, part, count).State == StateRefused
}

func newRefusal(now time.Duration, part Part, account uint64, crashes []*crashRecord) Refusal {
	refusal := Refusal{Part: part, Account: account}
	for _, r := range crashes {
		refusal.Crashes = append(refusal.Crashes, CrashRecord{
			Crash: r.crash, Domain: r.domain, Parts: slices.Clone(r.parts), Age: now - r.at, Rerun: r.rerun,
		})
	}
	return refusal
}

// IsCleared reports whether the part was served since the last crash with it, or all of
// them are forgotten.
func (c *Core) IsCleared(now time.Duration, part Part) bool {
	return len(c.crashesSinceServed(now, part)) == 0
}

// rememberReported keeps the request of a crash that this instance has reported.
func (c *Core) rememberReported(request Request) {
	for _, part := range request.parts() {
		c.reported[part] = request
	}
}

// forgetReported removes parts whose crashes are all forgotten, and suspects with few left.
func (c *Core) forgetReported() {
	maps.DeleteFunc(c.suspects, func(part Part, _ bool) bool { return len(c.byPart[part]) < minCrashes })
	for part := range c.reported {
		if len(c.byPart[part]) == 0 {
			delete(c.reported, part)
			delete(c.taken, part)
		}
	}
}
