package balance

import "time"

// RecordResponse records that the endpoint of a lease has sent a response or an
// event, which ends any suspicion.
func (c *Core) RecordResponse(now time.Duration, l *Lease) {
	e := l.endpoint
	e.lastResponseAt = now
	e.consecutiveFailures = 0
	e.suspectUntil = 0
	e.trialRunning = false
	c.recordSpeed(now, l, l.prefilling)
	if l.prefilling {
		l.prefilling = false
		e.prefilling--
		c.recordChange(now, e, Load{Prefilling: -1})
		c.recordPrefillTime(now, l)
	}
}

// Release ends a lease and records the outcome of its request. Further releases
// of the lease have no effect.
func (c *Core) Release(now time.Duration, l *Lease, outcome Outcome) {
	if c.endLease(now, l) && !l.backup {
		c.recordOutcome(now, l.endpoint, l, outcome)
	}
}

func (c *Core) recordOutcome(now time.Duration, e *endpoint, l *Lease, outcome Outcome) {
	c.ageErrorRate(now, e)
	switch outcome {
	case Completed:
		c.recordCompletion(now, l)
		e.consecutiveFailures, e.suspectUntil, e.trialRunning = 0, 0, false
		e.lastResponseAt = now
		e.errorRate *= 1 - outcomeWeight
		e.latencyMS += outcomeWeight * (float64((now - l.started).Milliseconds()) - e.latencyMS)
	case Failed, Refused:
		// A response, even a failure, shows that the endpoint is up.
		e.lastResponseAt = now
		e.consecutiveFailures, e.trialRunning = 0, false
		if outcome == Refused {
			e.refusedUntil = now + minSuspicionTime/2
		}
		e.errorRate += outcomeWeight * (1 - e.errorRate)
	case Interrupted, TimedOut, Unreachable:
		e.errorRate += outcomeWeight * (1 - e.errorRate)
		// A plain request that was interrupted or timed out only raises the error
		// rate.
		if l.tokens > 0 || outcome == Unreachable {
			c.suspectEndpoint(now, e)
		}
	case Cancelled:
		e.trialRunning = false
		if elapsed := float64((now - l.started).Milliseconds()); l.tokens == 0 && elapsed > e.latencyMS {
			e.latencyMS += outcomeWeight * (elapsed - e.latencyMS)
		}
	}
}

// MarkSuspect puts the endpoint of a lease under suspicion because it accepts no
// connections.
func (c *Core) MarkSuspect(now time.Duration, l *Lease) { c.suspectEndpoint(now, l.endpoint) }

// suspectEndpoint records a failure of an endpoint and puts it under suspicion,
// and its failure domain too if several endpoints of it failed.
func (c *Core) suspectEndpoint(now time.Duration, e *endpoint) {
	if now-e.lastFailureAt < minSuspicionTime/4 && e.consecutiveFailures > 0 {
		return // another request has reported the same failure
	}
	e.trialRunning = false
	if c.options.OnSuspect != nil {
		c.options.OnSuspect(e.Endpoint)
	}
	e.consecutiveFailures++
	e.lastFailureAt = now
	// The shift is bounded to 8 doublings.
	e.suspectUntil = now + min(maxSuspicionTime, minSuspicionTime<<min(e.consecutiveFailures-1, 8))
	failed := 0
	for _, other := range c.byService[e.Service] {
		if other.Domain == e.Domain && other.consecutiveFailures > 0 && now-other.lastFailureAt <= domainFailureWindow {
			failed++
		}
	}
	if failed >= domainFailureThreshold {
		c.domainSuspectUntil[domainKey{e.Service, e.Domain}] = now + domainSuspicionTime
	}
}
