package balance

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/registry"
)

// Lease counts one request or backup at an endpoint until it is released. Every
// lease is released once.
type Lease struct {
	Endpoint     registry.Endpoint
	endpoint     *endpoint
	tokens       int
	started      time.Duration
	lastEventAt  time.Duration
	prefilling   bool
	promptCached bool // the endpoint holds the prompt's KV cache
	backup       bool
	released     bool
	// Suspected says that the endpoint was chosen although it is suspected to be
	// down.
	Suspected bool
	// Load is the load of the endpoint as it was known when the lease was
	// granted, without the lease itself.
	Load Load
	// LoadReported says that Load includes a load report of the endpoint;
	// ReportAge is the age of that report.
	LoadReported bool
	ReportAge    time.Duration
}

// grantLease adds the request to the load of the endpoint and returns its lease.
func (c *Core) grantLease(now time.Duration, e *endpoint, request Request) *Lease {
	l := &Lease{Endpoint: e.Endpoint, endpoint: e, tokens: request.Tokens, started: now, promptCached: slices.Contains(request.Prefer, e.ID)}
	l.Suspected = now < e.suspectUntil
	l.Load, l.LoadReported = e.load(now)
	if l.LoadReported {
		l.ReportAge = now - e.reportedAt
	}
	if e.consecutiveFailures > 0 {
		e.trialRunning = true
	}
	c.recordPlacement(request)
	e.running++
	e.tokens += request.Tokens
	if request.Tokens > 0 {
		c.recordGeneration(request)
		l.prefilling = true
		e.prefilling++
		c.recordChange(now, e, Load{Running: 1, Prefilling: 1, Tokens: request.Tokens})
	}
	return l
}

// ChooseBackup returns a lease of the engine that keeps the backup of a
// generation which runs on the primary. It returns nil if no engine outside the
// primary's failure domain has capacity or if the engines' memory is short.
func (c *Core) ChooseBackup(now time.Duration, request Request, primary registry.Endpoint) *Lease {
	if c.memoryUse[request.Service] > c.backupUseBound() {
		return nil
	}
	best, bestCost := (*endpoint)(nil), math.Inf(1)
	var possible []*endpoint
	request = c.resolveVersions(now, request)
	request.sessionHash = xxhash.Sum64String(request.Session)
	for _, e := range c.byService[request.Service] {
		if e.Draining || !e.admits(request) || e.blocks(now, request) || e.Domain == primary.Domain || e.ID == primary.ID || slices.Contains(request.Exclude, e.ID) {
			continue
		}
		cost := c.cost(now, e, request)
		if cost >= domainSuspectCost {
			continue
		}
		if c.options.LoadControl {
			possible = append(possible, e)
			continue
		}
		if !c.exceedsCapacity(now, e, request) && cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if c.options.LoadControl {
		best = c.chooseBoundedBackup(now, possible, request)
	}
	if best == nil {
		return nil
	}
	best.backups++
	best.tokens += request.Tokens
	c.recordChange(now, best, Load{Tokens: request.Tokens})
	return &Lease{Endpoint: best.Endpoint, endpoint: best, tokens: request.Tokens, started: now, backup: true}
}

// PromoteBackup turns the lease of a backup into the lease of the running
// generation.
func (c *Core) PromoteBackup(now time.Duration, l *Lease) {
	if l.released || !l.backup {
		return
	}
	l.backup = false
	l.started = now
	l.endpoint.backups--
	l.endpoint.running++
	c.recordChange(now, l.endpoint, Load{Running: 1})
}

// end removes the lease from the load of its endpoint. It returns false if the lease
// has ended before.
func (l *Lease) end() bool {
	if l.released {
		return false
	}
	l.released = true
	l.endpoint.tokens -= l.tokens
	if l.prefilling {
		l.endpoint.prefilling--
	}
	if l.backup {
		l.endpoint.backups--
		return true
	}
	l.endpoint.running--
	return true
}
