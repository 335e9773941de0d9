package generation

import (
	"sort"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// enqueue asks for a continuation at once, within the pace.
func (c *Core) enqueue(now time.Duration, g *generation) {
	if g.queued {
		return
	}
	g.queued = true
	g.readyAt = now
	c.queue = append(c.queue, g)
	c.due = true
}

// requeue asks for a continuation after a wait that grows with the number of
// fruitless attempts. The first one does not wait.
func (c *Core) requeue(now time.Duration, g *generation) {
	wasQueued := g.queued
	c.enqueue(now, g)
	if wasQueued {
		return
	}
	if g.fruitless > 1 || g.retryWaits > 0 {
		g.readyAt = now + min(firstBackoff<<min(g.fruitless+g.retryWaits, 6), maxBackoff)
	}
}

// verdict lets the continuations go that wait for the endpoint's probe.
func (c *Core) verdict(endpoint api.EndpointID) {
	for _, g := range c.queue {
		if g.awaits == endpoint {
			g.awaits = ""
			c.due = true
		}
	}
}

func (c *Core) unqueue(g *generation) {
	if !g.queued {
		return
	}
	g.queued, g.awaits = false, ""
	kept := c.queue[:0]
	for _, other := range c.queue {
		if other != g {
			kept = append(kept, other)
		}
	}
	c.queue = kept
}

// pump starts continuations in order of priority and time of loss, as far as
// the pace allows. It does nothing between ticks unless something changed, so
// that a long queue does not slow down the tokens of other answers.
func (c *Core) pump(now time.Duration) {
	if !c.due || len(c.queue) == 0 {
		return
	}
	c.due = false
	sort.SliceStable(c.queue, func(i, j int) bool {
		a, b := c.queue[i], c.queue[j]
		if a.request.Priority != b.request.Priority && c.o.variant != ignorePriority {
			return a.request.Priority < b.request.Priority
		}
		return a.lostAt < b.lostAt
	})
	for _, g := range append([]*generation(nil), c.queue...) {
		if g.readyAt > now || g.awaits != "" && g.awaitUntil > now {
			continue
		}
		if !c.pace.AllowN(time.Unix(0, int64(now)), 1) {
			c.notePaced(g)
			return
		}
		c.unqueue(g)
		c.continueAnswer(now, g)
	}
}

func (c *Core) notePaced(g *generation) {
	if !g.paced {
		g.paced = true
		c.note(g, nil, "paced", reason.RecoveryPaced)
	}
}

// continueAnswer asks the peers for the prefix where it is not known, then
// places a new attempt. Only the first continuation of a stream that broke is
// free of the retry budget; sending a refused request again is not.
func (c *Core) continueAnswer(now time.Duration, g *generation) {
	if g.base > 0 && g.prefix == prefixUnasked {
		g.prefix = prefixFetching
		c.note(g, nil, "asking peers", "")
		c.do(FetchPrefix{Generation: g.request.Generation})
		return
	}
	if g.base > 0 && g.prefix == prefixFetching {
		return
	}
	c.place(now, g, g.fruitless > 1 || g.notStarted)
}

func (c *Core) onPrefixFetched(now time.Duration, ev PrefixFetched) {
	g := c.live[ev.Generation]
	if g == nil || g.prefix != prefixFetching {
		return
	}
	g.prefix = prefixFetched
	g.held = ev.Tokens
	step := "prefix from peer"
	if len(g.held) == 0 {
		step = "no prefix from peers"
	}
	c.note(g, nil, step, "")
	c.enqueue(now, g)
}
