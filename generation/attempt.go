package generation

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// chunkBytes is about the size of one engine event on the wire.
	chunkBytes = 160
	// promptTokenBytes is about how much text one token stands for.
	promptTokenBytes = 4
)

// place asks for an endpoint for a new attempt.
func (c *Core) place(now time.Duration, g *generation, retry bool) {
	a := c.newAttempt(now, g)
	a.placing = true
	a.retry = retry
	r := g.request
	remaining := max(r.MaxTokens-g.next, 0)
	request := api.PlacementRequest{
		Generation:   r.Generation,
		Kind:         api.KindEngine,
		Model:        r.Model,
		Account:      r.Account,
		Priority:     r.Priority,
		PrefixBlocks: r.Blocks,
		Tokens:       remaining + len(r.Prompt)/promptTokenBytes + g.next,
		Bytes:        len(r.Prompt) + promptTokenBytes*g.next + chunkBytes*remaining,
		Recovery:     g.lostAt != 0,
	}
	request.Exclude = c.excluded(g)
	request.SameRegionOnly = c.o.Recovery == RecoverySparing && g.lostAt != 0 && g.retryWaits == 0
	deadline := r.Deadline
	if request.SameRegionOnly {
		// Placement queues a request that finds no free slot; after this time
		// another region is better than a longer wait.
		deadline = min(deadline, now+regionPatience)
	}
	c.do(Place{Generation: r.Generation, Attempt: a.number, Digest: r.Digest, Request: request, Retry: retry, Deadline: deadline})
}

// excluded lists the endpoints that a new attempt has to avoid: those of the
// other attempts and the one that was lost last.
func (c *Core) excluded(g *generation) []api.EndpointID {
	var list []api.EndpointID
	for _, a := range g.attempts {
		if !a.placing {
			list = append(list, a.endpoint.ID)
		}
	}
	// The endpoint that was lost last is allowed again when there is no other.
	if g.lastLost != "" && g.retryWaits == 0 {
		list = append(list, g.lastLost)
	}
	return list
}

func (c *Core) onPlaced(now time.Duration, ev Placed) {
	g := c.live[ev.Generation]
	var a *attempt
	if g != nil {
		a = g.find(ev.Attempt)
	}
	if a == nil || !a.placing {
		c.do(Release{Grant: ev.Grant.ID, Outcome: api.OutcomeCancelled})
		return
	}
	a.placing = false
	a.stream = streamName(g.request.Salt, a.number)
	a.opened = true
	a.grant = ev.Grant.ID
	a.endpoint = ev.Grant.Endpoint
	a.lastAt = now
	prefix := c.prefixFor(g, a)
	s := c.endpointOf(a)
	s.running++
	g.sent++
	g.recomputed += len(prefix)
	c.note(g, a, "opened", "")
	fresh := s.suspect || g.lostAt != 0
	c.do(Open{
		Generation: ev.Generation, Attempt: a.number, EngineID: engineID(ev.Generation, a.stream),
		Request: g.request, Endpoint: a.endpoint, Prefix: prefix, Fresh: fresh,
	})
}

// prefixFor sets where the attempt starts and returns the prefix to send. An
// attempt that starts before the position that is due regenerates and checks
// the part between.
func (c *Core) prefixFor(g *generation, a *attempt) []uint32 {
	known := g.base == 0
	switch {
	case c.o.Baseline == BaselineStartOver && g.next > 0 && !g.request.Stream:
		c.restart(g)
		return nil
	case c.o.Baseline == BaselineStartOver && g.next > 0:
		a.verify = true
		return nil
	case c.o.variant == restartStreamed && g.next > 0:
		a.next, a.hash = g.next, g.hash
		return nil
	case known:
		a.next, a.hash = g.next, g.hash
		return g.tokens
	}
	a.verify = true
	held := g.held[:min(len(g.held), g.next)]
	if len(held) == g.next && hashTokens(held) != g.hash {
		held = nil // the peer holds another answer
	}
	a.tokens = append([]uint32(nil), held...)
	a.next, a.hash = len(held), hashTokens(held)
	c.settle(g, a)
	return a.tokens
}

// settle ends the verification of an attempt that has reached the position
// that is due. It reports false if the attempt does not lead there.
func (c *Core) settle(g *generation, a *attempt) bool {
	if !a.verify || a.next < g.next {
		return true
	}
	a.verify = false
	if a.hash != g.hash && c.o.variant != skipPrefixCheck {
		return false
	}
	if g.base > 0 {
		g.texts = append(make([]string, g.base), g.texts...)
		g.base, g.tokens = 0, a.tokens
	}
	return true
}

// restart drops what was generated of an answer that is not streamed; the
// caller has not seen any of it.
func (c *Core) restart(g *generation) {
	c.note(g, nil, "restarted", "")
	g.recomputed += g.next
	g.tokens, g.texts = nil, nil
	g.base, g.textFrom, g.next, g.hash = 0, 0, 0, 0
	c.do(Restarted{Conn: g.conn})
}

func (c *Core) onPlaceFailed(now time.Duration, ev PlaceFailed) {
	g := c.live[ev.Generation]
	if g == nil {
		return
	}
	a := g.find(ev.Attempt)
	if a == nil || !a.placing {
		return
	}
	c.endAttempt(g, a, api.OutcomeCancelled, false)
	c.note(g, a, "not placed", ev.Err.Reason)
	if c.isFinal(g, ev.Err.Reason) {
		c.finish(now, g, ev.Err.WithRun(c.runStatus(g)))
		return
	}
	g.retryWaits++
	if g.retryWaits == 1 {
		c.enqueue(now, g) // any region, any endpoint
		return
	}
	c.requeue(now, g)
}

// isFinal reports whether a failed placement ends the answer. An answer that
// has started waits for an endpoint until its deadline.
func (c *Core) isFinal(g *generation, why reason.Reason) bool {
	if why == reason.CrashSuspect || why == reason.ModelUnknown {
		return true
	}
	started := g.sent > 0 || g.ran
	return !started && (g.lostAt == 0 || why == reason.RetryBudget)
}

// startReattach sends the request for an engine's existing stream.
func (c *Core) startReattach(g *generation, a *attempt, from int, hash uint64) {
	a.next, a.hash = from, hash
	c.endpointOf(a).running++
	g.sent++
	c.note(g, a, "reattached", "")
	c.do(Reattach{
		Generation: g.request.Generation, Attempt: a.number, EngineID: engineID(g.request.Generation, a.stream),
		Endpoint: a.endpoint, From: from,
	})
}

// reattach replaces the connection of an attempt by a new one to the same
// stream. The grant stays.
func (c *Core) reattach(now time.Duration, g *generation, old *attempt) {
	a := c.newAttempt(now, g)
	a.endpoint = old.endpoint
	a.stream = old.stream
	a.grant, old.grant = old.grant, 0
	a.unreported, old.unreported = old.unreported, 0
	a.verify, a.tokens = old.verify, old.tokens
	a.reattaches = old.reattaches + 1
	c.endAttempt(g, old, api.OutcomeCancelled, false)
	c.startReattach(g, a, old.next, old.hash)
}

func (c *Core) onClosed(now time.Duration, ev Closed) {
	g := c.live[ev.Generation]
	if g == nil {
		return
	}
	a := g.find(ev.Attempt)
	if a == nil || a.placing {
		return
	}
	switch ev.Kind {
	case ClosedMidway:
		c.onClosedMidway(now, g, a)
	case ClosedConnect:
		g.sent--
		c.suspect(a)
		c.lose(now, g, a, api.OutcomeDied, reason.ConnectFailed, false)
	case ClosedRefused:
		g.sent--
		c.lose(now, g, a, api.OutcomeRefused, reason.EngineRefused, false)
	case ClosedUnknown:
		g.sent--
		c.lose(now, g, a, api.OutcomeCancelled, reason.NotFound, false)
	case ClosedRejected:
		c.lose(now, g, a, api.OutcomeRefused, reason.EngineRefused, false)
	}
}

// onClosedMidway probes the engine, since only a refused connection proves
// its death, and recovers the stream at once.
func (c *Core) onClosedMidway(now time.Duration, g *generation, a *attempt) {
	c.suspect(a)
	if c.o.Baseline == BaselineFixedTimeout && !a.suspected {
		a.suspected = true // the baseline acts when its timeout is over
		return
	}
	c.probe(a)
	if c.o.Recovery == RecoverySparing && c.o.Baseline == "" && a.reattaches < maxReattaches && a.gotChunk {
		if g.lostAt == 0 {
			g.lostAt = now
		}
		c.note(g, a, "closed", reason.EngineClosed)
		c.rememberLost(now, g, a)
		c.reattach(now, g, a)
		return
	}
	c.lose(now, g, a, api.OutcomeDied, reason.EngineClosed, false)
}

func (c *Core) rememberLost(now time.Duration, g *generation, a *attempt) {
	s := c.endpointOf(a)
	for len(s.lost) > 0 && now-s.lost[0].at > incidentWindow {
		s.lost = s.lost[1:]
	}
	s.lost = append(s.lost, lostContent{at: now, digest: g.request.Digest})
}

// lose ends an attempt and looks for a continuation if no other attempt can
// deliver.
func (c *Core) lose(now time.Duration, g *generation, a *attempt, outcome api.Outcome, why reason.Reason, cancel bool) {
	c.note(g, a, "lost", why)
	if why == reason.EngineClosed && outcome == api.OutcomeDied {
		c.rememberLost(now, g, a)
	}
	if g.lostAt == 0 {
		g.lostAt = now
	}
	g.lastLost = a.endpoint.ID
	g.notStarted = outcome == api.OutcomeRefused || why == reason.ConnectFailed
	c.endAttempt(g, a, outcome, cancel)
	if g.healthy(nil) {
		return
	}
	g.fruitless++
	if g.fruitless >= maxFruitless {
		c.finish(now, g, c.failure(g, reason.AttemptsExhausted, "no attempt could continue the answer"))
		return
	}
	c.requeue(now, g)
	if s := c.endpointOf(a); s.probing && c.o.Baseline == "" && why != reason.EngineSilent {
		g.awaits = a.endpoint.ID
		g.awaitUntil = now + verdictWait
	}
}
