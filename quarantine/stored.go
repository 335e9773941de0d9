package quarantine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

const (
	// maxStored and maxStoredPerAccount bound the entries in the store, in all and for the
	// requests of one client account.
	maxStored           = 64
	maxStoredPerAccount = 8
	// maxClockAhead is how far the time of a stored crash may be ahead of this instance's
	// clock. Clocks of hosts differ by seconds.
	maxClockAhead = time.Minute
)

// Error is the class of the errors of this package.
var Error = errs.Class("quarantine")

// StoredCrash is a crash of a stored refusal.
type StoredCrash struct {
	Crash  uint64 // hash of the engine's ID and incarnation
	Domain uint64 // hash of its failure domain
	Parts  []Part
	UnixMS int64
	Rerun  bool
}

// StoredRefusal is a refusal in the platform's store. It contains hashes only.
type StoredRefusal struct {
	Part    Part
	Account uint64 // hash of the client account
	Crashes []StoredCrash
	// Revision is that of the object in the store; 0 if it is new.
	Revision uint64
}

// RefusalStore keeps refusals beyond the end of all instances.
type RefusalStore interface {
	// ListRefusals returns all refusals that can be decoded, and how many cannot.
	ListRefusals(ctx context.Context) (refusals []StoredRefusal, unreadable int, err error)
	// WriteRefusal creates the object of a refusal with revision 0, and replaces that of
	// one with another revision. It fails if the object has another revision.
	WriteRefusal(ctx context.Context, refusal StoredRefusal) error
	// DeleteRefusal removes the object of a part, if there is one.
	DeleteRefusal(ctx context.Context, part Part) error
}

// toStored returns the refusal with absolute times.
func (r Refusal) toStored(now time.Time) StoredRefusal {
	stored := StoredRefusal{Part: r.Part, Account: r.Account}
	for _, crash := range r.Crashes {
		stored.Crashes = append(stored.Crashes, StoredCrash{
			Crash: crash.Crash, Domain: crash.Domain, Parts: crash.Parts, UnixMS: now.Add(-crash.Age).UnixMilli(), Rerun: crash.Rerun,
		})
	}
	return stored
}

// check returns an error if the refusal is not one that TakeRefusals can have returned
// before now.
func (r StoredRefusal) check(now time.Time) error {
	if r.Part == 0 || len(r.Crashes) < minCrashes || len(r.Crashes) > maxLastingCrashes {
		return Error.New("stored refusal of part %x has %d crashes", r.Part, len(r.Crashes))
	}
	for _, crash := range r.Crashes {
		if len(crash.Parts) > maxPartsPerCrash || !slices.Contains(crash.Parts, r.Part) {
			return Error.New("stored refusal of part %x has a crash without the part, or one with too many parts", r.Part)
		}
		if time.UnixMilli(crash.UnixMS).After(now.Add(maxClockAhead)) {
			return Error.New("stored refusal of part %x has a crash in the future", r.Part)
		}
	}
	return nil
}

// records returns the crashes with their ages.
func (r StoredRefusal) records(now time.Time) []CrashRecord {
	var records []CrashRecord
	for _, crash := range r.Crashes {
		age := max(now.Sub(time.UnixMilli(crash.UnixMS)), 0)
		records = append(records, CrashRecord{Crash: crash.Crash, Domain: crash.Domain, Parts: crash.Parts, Age: age, Rerun: crash.Rerun})
	}
	return records
}

// lastCrash returns the time of the last crash in Unix milliseconds.
func (r StoredRefusal) lastCrash() int64 {
	last := int64(0)
	for _, crash := range r.Crashes {
		last = max(last, crash.UnixMS)
	}
	return last
}

// expired reports whether too few of the crashes still count.
func (r StoredRefusal) expired(now time.Time) bool {
	counting := 0
	for _, crash := range r.Crashes {
		if now.Sub(time.UnixMilli(crash.UnixMS)) < recordLifetime {
			counting++
		}
	}
	return counting < minCrashes
}

// writePlan says what has to be called to store a refusal.
type writePlan struct {
	// remove are entries that have expired or make room.
	remove []StoredRefusal
	// revision is that of the entry to replace; 0 creates one.
	revision uint64
	// stored is true if an entry of the part is recent enough.
	stored bool
}

// planWrite decides how to store a refusal beside the existing ones. An account with
// maxStoredPerAccount entries loses its oldest; of maxStored entries the account with the
// most does.
func planWrite(now time.Time, existing []StoredRefusal, added StoredRefusal) writePlan {
	var plan writePlan
	var kept []StoredRefusal
	for _, r := range existing {
		switch {
		case r.Part == added.Part:
			plan.revision = r.Revision
			plan.stored = r.lastCrash() > added.lastCrash()-renewalInterval.Milliseconds()
		case r.expired(now):
			plan.remove = append(plan.remove, r)
		default:
			kept = append(kept, r)
		}
	}
	if plan.stored || plan.revision != 0 {
		return plan
	}
	byAccount := make(map[uint64]int)
	for _, r := range kept {
		byAccount[r.Account]++
	}
	switch {
	case byAccount[added.Account] >= maxStoredPerAccount:
		plan.remove = append(plan.remove, oldestOf(kept, added.Account))
	case len(kept) >= maxStored:
		plan.remove = append(plan.remove, oldestOf(kept, largestAccount(byAccount)))
	}
	return plan
}

// largestAccount returns the account with the most entries.
func largestAccount(byAccount map[uint64]int) uint64 {
	largest, found := uint64(0), false
	for account, count := range byAccount {
		if !found || count > byAccount[largest] || count == byAccount[largest] && account < largest {
			largest, found = account, true
		}
	}
	return largest
}

// oldestOf returns the entry of the account whose last crash is the oldest. There has to be
// one.
func oldestOf(entries []StoredRefusal, account uint64) StoredRefusal {
	entries = slices.DeleteFunc(slices.Clone(entries), func(r StoredRefusal) bool { return r.Account != account })
	return slices.MinFunc(entries, func(a, b StoredRefusal) int {
		return cmp.Or(cmp.Compare(a.lastCrash(), b.lastCrash()), cmp.Compare(a.Part, b.Part))
	})
}
