package generation

import (
	"sort"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// enqueueContinuation enqueues a continuation that may start as soon as the rate
// limit allows it.
func (c *Core) enqueueContinuation(now time.Duration, g *generation) {
	if g.queued {
		return
	}
	g.queued = true
	g.retryAt = now
	c.recoveryQueue = append(c.recoveryQueue, g)
	c.queueDue = true
}

// enqueueWithBackoff enqueues a continuation after a delay that grows with the
// number of failed attempts and placements. The first one has no delay, and one
// that is already queued keeps its time.
func (c *Core) enqueueWithBackoff(now time.Duration, g *generation) {
	wasQueued := g.queued
	c.enqueueContinuation(now, g)
	if wasQueued {
		return
	}
	if g.attemptsWithoutToken > 1 || g.failedPlacements > 0 {
		g.retryAt = now + min(initialBackoff<<min(g.attemptsWithoutToken+g.failedPlacements, maxBackoffDoublings), maxBackoff)
	}
}

// releaseAwaitingProbe releases the continuations that wait for the probe of the
// endpoint.
func (c *Core) releaseAwaitingProbe(endpoint api.EndpointID) {
	for _, g := range c.recoveryQueue {
		if g.awaitedProbeOf == endpoint {
			g.awaitedProbeOf = ""
			c.queueDue = true
		}
	}
}

func (c *Core) dequeue(g *generation) {
	if !g.queued {
		return
	}
	g.queued, g.awaitedProbeOf = false, ""
	kept := c.recoveryQueue[:0]
	for _, other := range c.recoveryQueue {
		if other != g {
			kept = append(kept, other)
		}
	}
	c.recoveryQueue = kept
}

// startContinuations starts the queued continuations in order of priority and
// time of interruption, as far as the rate limit allows. It does nothing between
// ticks unless the queue changed, so that a long queue does not delay the tokens
// of other responses.
func (c *Core) startContinuations(now time.Duration) {
	if !c.queueDue || len(c.recoveryQueue) == 0 {
		return
	}
	c.queueDue = false
	sort.SliceStable(c.recoveryQueue, func(i, j int) bool {
		a, b := c.recoveryQueue[i], c.recoveryQueue[j]
		if a.request.Priority != b.request.Priority && c.o.mutation != ignorePriority {
			return a.request.Priority < b.request.Priority
		}
		return a.interruptedAt < b.interruptedAt
	})
	for _, g := range append([]*generation(nil), c.recoveryQueue...) {
		if g.retryAt > now || g.awaitedProbeOf != "" && g.awaitProbeUntil > now {
			continue
		}
		if !c.recoveryLimiter.AllowN(time.Unix(0, int64(now)), 1) {
			c.recordRateLimited(g)
			return
		}
		c.dequeue(g)
		c.continueGeneration(now, g)
	}
}

func (c *Core) recordRateLimited(g *generation) {
	if !g.rateLimitRecorded {
		g.rateLimitRecorded = true
		c.recordStep(g, nil, "paced", reason.RecoveryPaced)
	}
}

// continueGeneration fetches the prefix from the peers if it is not known, then
// places a new attempt. The first continuation of an interrupted stream does not
// count against the retry budget; later ones and retries of a refused request do.
func (c *Core) continueGeneration(now time.Duration, g *generation) {
	if g.firstKnown > 0 && g.prefixFetch == prefixNotFetched {
		g.prefixFetch = prefixFetching
		c.recordStep(g, nil, "asking peers", "")
		c.emit(FetchPrefix{Generation: g.request.Generation})
		return
	}
	if g.firstKnown > 0 && g.prefixFetch == prefixFetching {
		return
	}
	c.placeAttempt(now, g, g.attemptsWithoutToken > 1 || g.lastAttemptNotStarted)
}

func (c *Core) onPrefixFetched(now time.Duration, ev PrefixFetched) {
	g := c.byID[ev.Generation]
	if g == nil || g.prefixFetch != prefixFetching {
		return
	}
	g.prefixFetch = prefixFetched
	g.peerTokens = ev.Tokens
	step := "prefix from peer"
	if len(g.peerTokens) == 0 {
		step = "no prefix from peers"
	}
	c.recordStep(g, nil, step, "")
	c.enqueueContinuation(now, g)
}
