package balance

import "time"

// RecordResponse notes a sign of life of the endpoint of a lease.
func (c *Core) RecordResponse(now time.Duration, l *Lease) {
	e := l.endpoint
	e.heardAt = now
	e.failures = 0
	e.suspectUntil = 0
	e.probing = false
	if l.prefill {
		l.prefill = false
		e.prefilling--
		c.noteRead(now, l)
	}
}

// Release ends a lease.
func (c *Core) Release(now time.Duration, l *Lease, outcome Outcome) {
	if l.released {
		return
	}
	l.released = true
	e := l.endpoint
	e.tokens -= l.tokens
	if l.prefill {
		e.prefilling--
	}
	if l.copy {
		e.copies--
		return
	}
	e.running--
	c.observe(now, e, l, outcome)
}

func (c *Core) observe(now time.Duration, e *endpoint, l *Lease, outcome Outcome) {
	switch outcome {
	case Completed:
		e.failures, e.suspectUntil, e.probing = 0, 0, false
		e.heardAt = now
		e.errorShare *= 1 - outcomeWeight
		e.latency += outcomeWeight * (float64((now - l.started).Milliseconds()) - e.latency)
	case Failed, Refused:
		e.heardAt = now
		e.failures, e.probing = 0, false
		if outcome == Refused {
			e.refusedUntil = now + firstSuspicion/2
		}
		e.errorShare += outcomeWeight * (1 - e.errorShare)
	case Interrupted, TimedOut, Unreachable:
		e.errorShare += outcomeWeight * (1 - e.errorShare)
		if l.tokens > 0 || outcome == Unreachable {
			c.suspect(now, e)
		}
	case Cancelled:
		e.probing = false
		if elapsed := float64((now - l.started).Milliseconds()); l.tokens == 0 && elapsed > e.latency {
			e.latency += outcomeWeight * (elapsed - e.latency)
		}
	}
}

// MarkSuspect notes that the endpoint of a lease does not take new connections.
func (c *Core) MarkSuspect(now time.Duration, l *Lease) { c.suspect(now, l.endpoint) }

func (c *Core) suspect(now time.Duration, e *endpoint) {
	if now-e.failedAt < firstSuspicion/4 && e.failures > 0 {
		return // several requests saw the same failure
	}
	e.probing = false
	if c.o.OnSuspect != nil {
		c.o.OnSuspect(e.Endpoint)
	}
	e.failures++
	e.failedAt = now
	e.suspectUntil = now + min(longestSuspicion, firstSuspicion<<min(e.failures-1, 8))
	deaths := 0
	for _, other := range c.byService[e.Service] {
		if other.Domain == e.Domain && other.failures > 0 && now-other.failedAt <= domainWindow {
			deaths++
		}
	}
	if deaths >= domainDeaths {
		c.domainUntil[domainKey{e.Service, e.Domain}] = now + domainSuspicion
	}
}
