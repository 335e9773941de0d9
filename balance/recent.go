package balance

import (
	"slices"
	"time"
)

// reportLag is how old a load report is when it arrives: engines compute it only every few
// hundred milliseconds.
const reportLag = 200 * time.Millisecond

// loadChange is a change of the load that this instance causes at an endpoint.
type loadChange struct {
	at    time.Duration
	delta Load
}

// recordChange records a change that reports do not show yet. Without load control the
// reports are taken as current.
func (c *Core) recordChange(now time.Duration, e *endpoint, delta Load) {
	if !c.options.LoadControl {
		return
	}
	e.recentChanges = slices.DeleteFunc(e.recentChanges, func(change loadChange) bool { return now-change.at >= reportLag })
	e.recentChanges = append(e.recentChanges, loadChange{now, delta})
}

// ownLoadInReport returns the load of this instance that a report which has just arrived
// includes. Without the changes since, an engine at which a generation has ended would
// look full, and one that has just got another would look emptier than it is.
func (e *endpoint) ownLoadInReport(now time.Duration) Load {
	own := Load{Running: e.running, Prefilling: e.prefilling, Tokens: e.tokens}
	for _, change := range e.recentChanges {
		if now-change.at < reportLag {
			own.Running -= change.delta.Running
			own.Prefilling -= change.delta.Prefilling
			own.Tokens -= change.delta.Tokens
		}
	}
	return own
}

// endLease ends a lease like Lease.end and records the change.
func (c *Core) endLease(now time.Duration, l *Lease) bool {
	delta := Load{Tokens: -l.tokens}
	if !l.backup {
		delta.Running = -1
	}
	if l.prefilling {
		delta.Prefilling = -1
	}
	if !l.end() {
		return false
	}
	c.recordChange(now, l.endpoint, delta)
	return true
}
