package admission

import "time"

const (
	// A request gets the base limits while its slack, as a share of its target latency, is
	// above relaxedSlackShare, the raised ones at raisedSlackShare and the upper ones at
	// pressedSlackShare. It should not be held for longer than an eighth of its target, so
	// the limits rise soon. They rise further until the slack is small, so that the oldest
	// requests of all instances find room first.
	relaxedSlackShare = 0.82
	raisedSlackShare  = 0.68
	pressedSlackShare = 0.30
	// minGenerations is the least limit of generations. An engine whose load is unknown
	// counts as having one.
	minGenerations = 2
	// prefillSlackShare is the slack from which on a request may be the second prefill of an
	// engine.
	prefillSlackShare = 0.53
	// Shares of an engine's memory that generations fill at the base, raised and upper
	// limit. The rest is for backups.
	baseMemoryShare   = 0.5
	raisedMemoryShare = 0.65
	upperMemoryShare  = 0.80
	urgentMemoryShare = 0.90
	// basePrefills and upperPrefills are the limits of the prefills at one engine, up to
	// and above the raised limit.
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
	limits := Limits{Prefills: basePrefills}
	share := c.memoryShare(now, r)
	if r.Rank <= 0 || c.slackShare(now, r) <= prefillSlackShare {
		limits.Prefills = upperPrefills
	}
	if capacityTokens > 0 && c.tokens > 0 {
		limits.Generations = max(minGenerations, int(share*float64(capacityTokens)/c.tokens+0.5))
	}
	return limits
}

// memoryShare returns the share of an engine's memory that generations may fill with the
// request.
func (c *Core) memoryShare(now time.Duration, r Request) float64 {
	if r.Rank <= 0 {
		return urgentMemoryShare
	}
	slack := c.slackShare(now, r)
	raised := min(1, max(0, (relaxedSlackShare-slack)/(relaxedSlackShare-raisedSlackShare)))
	pressed := min(1, max(0, (raisedSlackShare-slack)/(raisedSlackShare-pressedSlackShare)))
	return baseMemoryShare + raised*(raisedMemoryShare-baseMemoryShare) + pressed*(upperMemoryShare-raisedMemoryShare)
}

// Overdue reports whether a request has waited for more than a quarter of the slack that it
// had when it arrived.
func (c *Core) Overdue(now time.Duration, r Request) bool {
	return now-r.Received >= max(0, c.slack(r.Received, r))/4
}

// slackShare returns the slack as a share of the target latency.
func (c *Core) slackShare(now time.Duration, r Request) float64 {
	return float64(c.slack(now, r)) / float64(r.target())
}

// slack returns the time left until the request has to be placed to be on time.
func (c *Core) slack(now time.Duration, r Request) time.Duration {
	return r.Arrived + r.target() - now - c.firstEvent
}

// QueueLimits returns the limits for the request whose turn it is: those of the most
// pressed request that waits and can be on time, at least its own. A request that may use
// the room of an engine must not wait for another one that has more slack.
func (c *Core) QueueLimits(now time.Duration, next Request, capacityTokens int) Limits {
	pressed := next
	for _, r := range c.byID {
		if c.slack(now, r) >= 0 && c.memoryShare(now, r) > c.memoryShare(now, pressed) {
			pressed = r
		}
	}
	return c.Limits(now, pressed, capacityTokens)
}
