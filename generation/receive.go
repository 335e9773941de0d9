package generation

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// finishSuperseded is an engine's notice that a newer connection has the stream.
	finishSuperseded = "superseded"
	// finishLength is the end of an answer at max_tokens.
	finishLength = "length"
	// finishStop is the end of an answer by the model's choice.
	finishStop = "stop"
)

// onReceived checks a chunk against the identity of the attempt whose
// connection it came on, and delivers it.
func (c *Core) onReceived(now time.Duration, ev Received) {
	g := c.live[ev.Generation]
	if g == nil {
		c.do(Note{Generation: ev.Generation, Step: "dropped", Reason: reason.ChunkLate, Attempt: ev.Attempt})
		return
	}
	a := g.find(ev.Attempt)
	if a == nil || a.placing {
		c.do(Note{Generation: ev.Generation, Step: "dropped", Reason: reason.ChunkLate, Attempt: ev.Attempt})
		return
	}
	if why := c.reject(g, a, ev.Chunk); why != "" {
		c.onRejected(now, g, a, why)
		return
	}
	a.bad = 0
	if ev.Chunk.Finish == finishSuperseded {
		c.finish(now, g, c.failure(g, reason.Superseded, "a newer connection serves this request"))
		return
	}
	if !ev.Chunk.HasToken && ev.Chunk.Finish != finishStop && ev.Chunk.Finish != finishLength {
		// The engine gave the stream up, for example "cancelled".
		c.lose(now, g, a, api.OutcomeCancelled, reason.EngineClosed, false)
		return
	}
	c.alive(now, a)
	c.accept(now, g, a, ev.Chunk)
}

// reject returns why a chunk must not be used, or "".
func (c *Core) reject(g *generation, a *attempt, chunk Chunk) reason.Reason {
	if c.o.variant == skipIdentityCheck {
		chunk.RequestID, chunk.Attempt = engineID(g.request.Generation, a.stream), a.number
	}
	if c.o.variant == skipPositionCheck {
		chunk.Position = a.next
	}
	switch {
	case chunk.Malformed || (!chunk.HasToken && chunk.Finish == ""):
		return reason.ChunkMalformed
	case chunk.RequestID != engineID(g.request.Generation, a.stream) || chunk.Attempt > a.number:
		return reason.ChunkForeign
	case chunk.Attempt < a.number:
		return reason.ChunkLate
	case chunk.Finish == finishSuperseded:
		return ""
	case chunk.Position < a.next:
		return reason.ChunkRepeated
	case chunk.Position > a.next:
		return reason.ChunkSkipped
	}
	return ""
}

// onRejected drops a chunk. A gap ends the attempt at once, since the tokens
// before it do not come any more; foreign and malformed chunks end it when
// they repeat.
func (c *Core) onRejected(now time.Duration, g *generation, a *attempt, why reason.Reason) {
	c.note(g, a, "dropped", why)
	switch why {
	case reason.ChunkSkipped:
		c.lose(now, g, a, api.OutcomeCancelled, why, true)
	case reason.ChunkForeign, reason.ChunkMalformed:
		a.bad++
		if a.bad >= maxBadChunks {
			c.lose(now, g, a, api.OutcomeCancelled, why, true)
		}
	}
}

// alive records a valid chunk as a sign of life.
func (c *Core) alive(now time.Duration, a *attempt) {
	s := c.endpointOf(a)
	if a.gotChunk {
		s.add(now - a.lastAt)
	}
	a.gotChunk = true
	a.lastAt = now
	s.suspect = false
}

// accept uses a checked chunk of an attempt.
func (c *Core) accept(now time.Duration, g *generation, a *attempt, chunk Chunk) {
	g.ran = true
	if a.verify {
		c.verify(now, g, a, chunk)
		return
	}
	if a.next != g.next && c.o.variant != keepHedgeLosers {
		// Another attempt delivered this position; only the winner goes on.
		c.endAttempt(g, a, api.OutcomeCancelled, true)
		return
	}
	c.win(now, g, a)
	if chunk.HasToken {
		c.advance(g, a, chunk)
	}
	finish := chunk.Finish
	if finish == "" && g.next >= g.request.MaxTokens {
		finish = finishLength
	}
	g.last = location{attempt: a.number, endpoint: a.endpoint.ID, stream: a.stream}
	id := c.eventID(g, g.next-1, g.hash)
	c.do(Deliver{Conn: g.conn, ID: id, Text: chunk.Text, Token: chunk.Token, HasToken: chunk.HasToken, Finish: finish})
	if finish != "" {
		c.complete(now, g, a, chunk.Finish == "", finish)
	}
}

// eventID names the latest stream also for earlier positions, since that
// stream was opened with them.
func (c *Core) eventID(g *generation, position int, hash uint64) EventID {
	return EventID{
		Generation: g.request.Generation, Attempt: g.last.attempt, Position: position, Endpoint: g.last.endpoint,
		Instance: c.o.Instance, Hash: hash, Nonce: g.request.Nonce, Stream: g.last.stream,
	}
}

// win makes the attempt the only one and closes an open loss.
func (c *Core) win(now time.Duration, g *generation, a *attempt) {
	if a.suspected {
		a.suspected = false
		g.patience++
	}
	if len(g.attempts) > 1 && c.o.variant != keepHedgeLosers {
		for _, other := range append([]*attempt(nil), g.attempts...) {
			if other != a {
				c.note(g, other, "ended", reason.HedgeLost)
				c.endAttempt(g, other, api.OutcomeCancelled, true)
			}
		}
	}
	c.unqueue(g)
	if g.lostAt != 0 {
		c.do(Resumed{Generation: g.request.Generation, Latency: now - g.lostAt, Recomputed: g.recomputed})
		c.note(g, a, "resumed", "")
		g.lostAt = 0
	}
	g.recomputed = 0
	g.fruitless, g.retryWaits, g.paced = 0, 0, false
	g.lastLost, g.notStarted = "", false
	a.reattaches = 0
}

// advance appends one token.
func (c *Core) advance(g *generation, a *attempt, chunk Chunk) {
	g.hash = extendHash(g.hash, chunk.Token)
	g.next++
	g.tokens = append(g.tokens, chunk.Token)
	g.texts = append(g.texts, chunk.Text)
	a.next, a.hash = g.next, g.hash
	a.unreported++
	if a.unreported >= progressBatch {
		c.reportProgress(a)
	}
}

// verify follows an attempt that regenerates what the caller already has.
func (c *Core) verify(now time.Duration, g *generation, a *attempt, chunk Chunk) {
	g.recomputed++
	if chunk.HasToken {
		a.hash = extendHash(a.hash, chunk.Token)
		a.tokens = append(a.tokens, chunk.Token)
		a.next++
	}
	matches := c.settle(g, a)
	if matches && chunk.Finish == "" {
		return
	}
	if matches && !a.verify {
		// The caller has the whole answer already and lacks only its end.
		c.win(now, g, a)
		c.do(Deliver{Conn: g.conn, Finish: chunk.Finish})
		c.complete(now, g, a, false, chunk.Finish)
		return
	}
	if !g.request.Stream {
		c.restart(g)
		c.lose(now, g, a, api.OutcomeCancelled, reason.PrefixMismatch, true)
		return
	}
	c.finish(now, g, c.failure(g, reason.PrefixMismatch, "the regenerated text differs from what was delivered"))
}

// complete ends a generation whose answer is whole. The engine is told to stop
// if the end is ours.
func (c *Core) complete(now time.Duration, g *generation, a *attempt, cancel bool, finish string) {
	c.endAttempt(g, a, api.OutcomeCompleted, cancel)
	c.finish(now, g, nil)
	if e := c.ended[g.request.Generation]; e != nil {
		e.finish = finish
	}
}
