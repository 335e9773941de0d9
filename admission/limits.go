package admission

import "time"

const (
	// relaxedSlackShare is the slack, as a share of the target latency, down to which a
	// request gets the base limits; at pressedSlackShare it gets the upper ones. A request
	// should not be held for longer than an eighth of its target, and prefilling takes a
	// tenth of a less urgent target.
	relaxedSlackShare = 0.90
	pressedSlackShare = 0.80
	// baseMemoryShare and upperMemoryShare are the shares of an engine's memory that
	// generations fill at the base and at the upper limit. The rest is for backups.
	baseMemoryShare  = 0.5
	upperMemoryShare = 0.75
	// basePrefills and upperPrefills are the limits of the prefills at one engine.
	basePrefills  = 1
	upperPrefills = 2
)

// Limits are the numbers of generations and prefills, with the new one, up to which an
// engine takes a request.
type Limits struct{ Generations, Prefills int }

// Limits returns the limits of a request at an engine with the memory, 0 if unknown. They
// rise as the slack falls. So the requests of all instances get engines in the order of
// their urgency, although the instances know nothing of each other's queues. A request of
// the first rank gets the upper limits at once.
func (c *Core) Limits(now time.Duration, r Request, capacityTokens int) Limits {
	pressure := c.pressure(now, r)
	limits := Limits{Prefills: basePrefills}
	if pressure >= 0.5 {
		limits.Prefills = upperPrefills
	}
	if capacityTokens > 0 && r.Tokens > 0 {
		share := baseMemoryShare + pressure*(upperMemoryShare-baseMemoryShare)
		limits.Generations = max(1, int(share*float64(capacityTokens)/float64(r.Tokens)+0.5))
	}
	return limits
}

// pressure is 0 for a request with much slack and 1 for one that has to be placed soon.
func (c *Core) pressure(now time.Duration, r Request) float64 {
	if r.Rank <= 0 {
		return 1
	}
	slack := float64(c.slack(now, r)) / float64(r.target())
	return min(1, max(0, (relaxedSlackShare-slack)/(relaxedSlackShare-pressedSlackShare)))
}

// slack returns the time left until the request has to be placed to be on time.
func (c *Core) slack(now time.Duration, r Request) time.Duration {
	return r.Arrived + r.target() - now - c.firstEvent
}

// maxPressure returns the highest pressure of the waiting requests that can be on time.
func (c *Core) maxPressure(now time.Duration) Request {
	var pressed Request
	highest := -1.0
	for _, r := range c.byID {
		if p := c.pressure(now, r); p > highest && c.slack(now, r) >= 0 {
			pressed, highest = r, p
		}
	}
	return pressed
}
