// Package ratelimit keeps the requests that all instances together send to an
// endpoint within the rate that the endpoint names in its responses. One instance
// grants the permits of an endpoint: the first of the live instances in an order
// that depends on the endpoint. Every attempt at a limited endpoint takes a permit,
// first attempts, retries and hedged ones alike, so the limit holds however many
// instances there are and however callers are spread over them.
//
// Core decides; it has no I/O and no clock. Limiter asks other instances.
package ratelimit

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// minRate replaces lower rates, in requests per second. Only a response shows
	// that a limit has ended, so an endpoint that takes nothing is still tried.
	minRate = 0.05
	// maxRate bounds the rates that are treated as limits, in requests per second.
	maxRate = 1e6
	// endedLifetime is how long the end of a limit is remembered, so that older
	// messages of other instances do not bring the limit back.
	endedLifetime = 30 * time.Second
	// maxLimits bounds the limits that are kept.
	maxLimits = 4096
)

// Endpoint identifies one incarnation of an endpoint.
type Endpoint struct {
	ID          api.EndpointID
	Incarnation int64
}

// Limit is what is known about the rate limit of an endpoint.
type Limit struct {
	Endpoint Endpoint
	// PerSecond is the rate in requests per second, for all instances together.
	PerSecond float64
	// Ended is true if the endpoint no longer names a limit.
	Ended bool
	// At is when the response arrived that says so, by this instance's boot clock.
	At time.Duration
}

// Decision is the response to a request for a permit.
type Decision struct {
	Granted bool
	// Wait is the time after which to ask again if the permit was not granted.
	Wait time.Duration
}

// limit is a Limit with the number of messages that still have to carry it.
type limit struct {
	Limit
	sendsLeft int
}

// Core keeps the limits and grants the permits. It is not safe for concurrent use.
type Core struct {
	limits  map[Endpoint]*limit
	buckets map[Endpoint]*bucket // of all endpoints with a limit
}

// NewCore returns a core without limits.
func NewCore() *Core {
	return &Core{limits: make(map[Endpoint]*limit), buckets: make(map[Endpoint]*bucket)}
}

// Record applies what a response or another instance says about a limit unless
// something newer is known. It reports whether the limit began, changed or ended.
func (c *Core) Record(next Limit) bool {
	next.PerSecond = min(max(next.PerSecond, minRate), maxRate)
	known, ok := c.limits[next.Endpoint]
	switch {
	case !ok && (next.Ended || len(c.limits) >= maxLimits):
		return false
	case !ok:
		c.limits[next.Endpoint] = &limit{Limit: next, sendsLeft: sendCount}
		c.buckets[next.Endpoint] = newBucket(next.At)
		return true
	case next.At < known.At:
		return false
	}
	changed := known.Ended != next.Ended || (!next.Ended && known.PerSecond != next.PerSecond)
	if known.Ended && !next.Ended {
		c.buckets[next.Endpoint] = newBucket(next.At)
	}
	known.Limit = next
	if changed {
		known.sendsLeft = sendCount
	}
	return changed
}

// Limit returns the limit of an endpoint, and false if it has none.
func (c *Core) Limit(e Endpoint) (Limit, bool) {
	known, ok := c.limits[e]
	if !ok || known.Ended {
		return Limit{}, false
	}
	return known.Limit, true
}

// Known returns what is known about the limit of an endpoint, which may have
// ended, and false if nothing is known.
func (c *Core) Known(e Endpoint) (Limit, bool) {
	known, ok := c.limits[e]
	if !ok {
		return Limit{}, false
	}
	return known.Limit, true
}

// Forget removes an endpoint that is gone.
func (c *Core) Forget(e Endpoint) {
	delete(c.limits, e)
	delete(c.buckets, e)
}

// Expire removes ends of limits that are old, and buckets without a limit.
func (c *Core) Expire(now time.Duration) {
	for e, known := range c.limits {
		if known.Ended && now-known.At > endedLifetime {
			delete(c.limits, e)
		}
	}
	for e := range c.buckets {
		if _, limited := c.Limit(e); !limited {
			delete(c.buckets, e)
		}
	}
}

// Grant decides about one request to an endpoint. share is the part of the limit
// that this instance grants, 1 or less. An endpoint without a limit takes any
// request.
func (c *Core) Grant(now time.Duration, e Endpoint, share float64) Decision {
	known, limited := c.Limit(e)
	if !limited {
		return Decision{Granted: true}
	}
	return c.buckets[e].take(now, known.PerSecond*share)
}
