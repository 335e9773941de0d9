package admission

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/registry"
)

const (
	// queriesPerSecond and maxQueryBurst bound the load queries of an instance for waiting
	// requests. Queries and new connections are priced, and the more instances look at an
	// engine within the age of a report, the more of them send a request there.
	queriesPerSecond = 4
	maxQueryBurst    = 6
	// queriesPerArrival is added for each request that arrives.
	queriesPerArrival = 2
	// minArrivalQueries is the number of queries that a request which has just arrived may
	// always make: of an engine for the generation and one for its backup.
	minArrivalQueries = 2
	// freedTTL is how long an engine at which a generation of this instance ended is
	// tried before others. Other instances may place a request there meanwhile.
	freedTTL = 400 * time.Millisecond
	// maxFreed bounds the engines that are remembered as freed.
	maxFreed = 8
)

// QueryBudget bounds the load queries of an instance. The zero value is full at the time
// 0. It is not safe for concurrent use.
type QueryBudget struct {
	used float64 // queries that have not been made up for
	at   time.Duration
}

// Available returns how many queries may be made now.
func (b *QueryBudget) Available(now time.Duration) int {
	b.used = max(0, b.used-queriesPerSecond*(now-b.at).Seconds())
	b.at = now
	return max(0, int(maxQueryBurst-b.used))
}

// Earn adds the queries of a request that has arrived. Without them an instance with many
// requests would hold them although engines have room.
func (b *QueryBudget) Earn() { b.used = max(0, b.used-queriesPerArrival) }

// Spend records queries that were made.
func (b *QueryBudget) Spend(queries int) { b.used += float64(queries) }

// freedEngine is an engine at which a generation of this instance has ended.
type freedEngine struct {
	endpoint registry.Endpoint
	at       time.Duration
}

// RecordFreed records that a generation of this instance has ended at an engine, which
// therefore probably has room.
func (c *Core) RecordFreed(now time.Duration, endpoint registry.Endpoint) {
	if len(c.byID) == 0 {
		return
	}
	if len(c.freed) == maxFreed {
		c.freed = c.freed[1:]
	}
	c.freed = append(c.freed, freedEngine{endpoint, now})
}

// TakeFreed returns the engines that were freed since the last call, except those that
// other instances have probably used.
func (c *Core) TakeFreed(now time.Duration) []registry.Endpoint {
	var endpoints []registry.Endpoint
	for _, f := range c.freed {
		if now-f.at < freedTTL {
			endpoints = append(endpoints, f.endpoint)
		}
	}
	c.freed = nil
	return endpoints
}
