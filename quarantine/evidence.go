package quarantine

import (
	"slices"
	"time"
)

// isHarmless reports whether engines served the part, and no crashes since then say
// otherwise.
func (c *Core) isHarmless(now time.Duration, part Part) bool {
	if c.served[part] == nil {
		return false
	}
	crashes := c.crashesSinceServed(now, part)
	return countIncidents(crashes, domainFailureWindow) < minCrashes || now-crashes[0].at < servedConfirmation
}

// crashesSinceServed returns the crashes with the part since it was last served, the
// oldest first, without unconfirmed ones that are too old.
func (c *Core) crashesSinceServed(now time.Duration, part Part) []*crashRecord {
	list := c.byPart[part]
	if last := c.served[part]; last != nil {
		first, _ := slices.BinarySearchFunc(list, last.at, afterTime)
		list = list[first:]
	}
	if c.unconfirmedCount == 0 {
		return list // Tick removes the others when they expire
	}
	return slices.DeleteFunc(slices.Clone(list), func(r *crashRecord) bool { return r.expired(now) })
}

// afterTime orders a record after a time if it is later, otherwise before it.
func afterTime(r *crashRecord, at time.Duration) int {
	if r.at > at {
		return 1
	}
	return -1
}

// unexplainedCrashes returns the crashes with the part since it was served, without
// those at which another request ran that has a part with at least the given number of
// crashes.
func (c *Core) unexplainedCrashes(now time.Duration, part Part, crashes int) []*crashRecord {
	all := c.crashesSinceServed(now, part)
	explained := make(map[uint64]bool)
	var unexplained []*crashRecord
	for _, r := range all {
		if _, known := explained[r.crash]; !known {
			explained[r.crash] = c.explained(now, r.crash, part, crashes)
		}
		if !explained[r.crash] {
			unexplained = append(unexplained, r)
		}
	}
	return unexplained
}

// explained reports whether another request at the crash, without the part, has a part
// with at least the given number of crashes. Those within explanationDelay do not count:
// other instances may know that the part was in them too.
func (c *Core) explained(now time.Duration, crash uint64, part Part, crashes int) bool {
	for _, other := range c.byCrash[crash] {
		if slices.Contains(other.parts, part) {
			continue
		}
		for _, candidate := range other.parts {
			// The length is an upper bound of the count, which takes longer.
			if len(c.byPart[candidate]) < crashes || c.isHarmless(now, candidate) {
				continue
			}
			since := c.crashesSinceServed(now, candidate)
			settled, _ := slices.BinarySearchFunc(since, now-explanationDelay, afterTime)
			if countCrashes(since[:settled]) >= crashes {
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
// those of one failure domain within the window once. The crashes are ordered by time.
func countIncidents(crashes []*crashRecord, window time.Duration) int {
	return countIncidentsExcept(crashes, window, func(*crashRecord) bool { return false })
}

// countContentIncidents counts the crashes with content. One that the content caused when
// it was sent again counts, unless the failure domain failed at that moment.
func (c *Core) countContentIncidents(crashes []*crashRecord) int {
	return countIncidentsExcept(crashes, rerunWindow, func(r *crashRecord) bool { return r.rerun && !c.domainFailed(r, crashes) })
}

// countIncidentsExcept is countIncidents, but counts those crashes for which alone returns
// true by themselves.
func countIncidentsExcept(crashes []*crashRecord, window time.Duration, alone func(*crashRecord) bool) int {
	incidents := 0
	seen := make(map[uint64]bool)
	counted := make(map[uint64]time.Duration)
	for _, r := range crashes {
		if seen[r.crash] {
			continue
		}
		seen[r.crash] = true
		if at, ok := counted[r.domain]; ok && r.at-at <= window && !alone(r) {
			continue
		}
		counted[r.domain] = r.at
		incidents++
	}
	return incidents
}

// domainFailed reports whether another engine of the failure domain, which is not among
// the crashes, crashed at the same moment.
func (c *Core) domainFailed(r *crashRecord, crashes []*crashRecord) bool {
	for _, other := range c.records {
		if other.domain != r.domain || (other.at-r.at).Abs() > rerunWindow {
			continue
		}
		if !slices.ContainsFunc(crashes, func(known *crashRecord) bool { return known.crash == other.crash }) {
			return true
		}
	}
	return false
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

// recurs reports whether a part of the record was in another crash too and was not
// served since. Such records are sent first and kept longest.
func (c *Core) recurs(now time.Duration, r *crashRecord) bool {
	return slices.ContainsFunc(r.parts, func(part Part) bool {
		if len(c.byPart[part]) < 2 {
			return false
		}
		return slices.ContainsFunc(c.crashesSinceServed(now, part), func(other *crashRecord) bool { return other.crash != r.crash })
	})
}
