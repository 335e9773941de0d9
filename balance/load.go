package balance

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/registry"
)

// Load is the load of an engine.
type Load struct {
	Running    int // generations, including those that wait
	Prefilling int // generations whose prefill is running or waiting
	Tokens     int // memory in use that cannot be evicted, in tokens
}

// load returns the load of the endpoint as far as it is known, and whether it
// includes a load report of the endpoint.
func (e *endpoint) load(now time.Duration) (_ Load, reported bool) {
	own := Load{Running: e.running, Prefilling: e.prefilling, Tokens: e.tokens}
	if now-e.reportedAt >= loadReportTTL {
		return own, false
	}
	return Load{
		Running:    own.Running + e.otherLoad.Running,
		Prefilling: own.Prefilling + e.otherLoad.Prefilling,
		Tokens:     own.Tokens + e.otherLoad.Tokens,
	}, true
}

// UpdateLoad records the load that an engine reports. It subtracts the requests
// of this instance, which are counted as they change.
func (c *Core) UpdateLoad(now time.Duration, reported registry.Endpoint, load Load) {
	e, ok := c.endpoints[reported.ID]
	if !ok || e.Incarnation != reported.Incarnation {
		return
	}
	e.reportedAt = now
	c.recordZoneReport(now, e, load)
	if capacity := c.kvCapacity[e.Service]; capacity > 0 {
		c.memoryUse[e.Service] += memoryUseWeight * (float64(load.Tokens)/float64(capacity) - c.memoryUse[e.Service])
	}
	c.reportedAt[e.Service] = now
	c.running[e.Service] += loadWeight * (float64(load.Running) - c.running[e.Service])
	c.prefilling[e.Service] += loadWeight * (float64(load.Prefilling) - c.prefilling[e.Service])
	own := e.ownLoadInReport(now)
	e.otherLoad = Load{
		Running:    max(0, load.Running-own.Running),
		Prefilling: max(0, load.Prefilling-own.Prefilling),
		Tokens:     max(0, load.Tokens-own.Tokens),
	}
}

// HasOtherPrompts reports whether the endpoint of a lease prefills other prompts than the
// lease's, or prompts wait there. It returns true if the endpoint's load is unknown.
func (c *Core) HasOtherPrompts(now time.Duration, l *Lease) bool {
	load, reported := l.endpoint.load(now)
	if l.prefilling {
		load.Prefilling--
	}
	return !reported || load.Prefilling > 0
}
