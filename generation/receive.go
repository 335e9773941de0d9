package generation

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// finishSuperseded means that a newer connection reattached to the engine's
	// stream.
	finishSuperseded = "superseded"
	// finishLength means that the response has reached max_tokens.
	finishLength = "length"
	// finishStop means that the model ended the response.
	finishStop = "stop"
)

// onChunkReceived checks a chunk against the request ID, number and position of
// the attempt on whose connection it arrived, and delivers it.
func (c *Core) onChunkReceived(now time.Duration, ev ChunkReceived) {
	g := c.byID[ev.Generation]
	if g == nil {
		c.emit(RecordStep{Generation: ev.Generation, Step: "dropped", Reason: reason.ChunkLate, Attempt: ev.Attempt})
		return
	}
	a := g.attemptByNumber(ev.Attempt)
	if a == nil || a.placing {
		c.emit(RecordStep{Generation: ev.Generation, Step: "dropped", Reason: reason.ChunkLate, Attempt: ev.Attempt})
		return
	}
	if why := c.rejectionReason(g, a, ev.Chunk); why != "" {
		c.onChunkRejected(now, g, a, why)
		return
	}
	a.badChunks = 0
	if ev.Chunk.FinishReason == finishSuperseded {
		c.finishGeneration(now, g, c.generationError(g, reason.Superseded, "a newer connection serves this request"))
		return
	}
	if !ev.Chunk.HasToken && ev.Chunk.FinishReason != finishStop && ev.Chunk.FinishReason != finishLength {
		// The engine aborted the stream, for example with "cancelled".
		c.failAttempt(now, g, a, api.OutcomeCancelled, reason.EngineClosed, false)
		return
	}
	c.recordActivity(now, a)
	c.acceptChunk(now, g, a, ev.Chunk)
}

// rejectionReason returns why a chunk must not be delivered, or "".
func (c *Core) rejectionReason(g *generation, a *attempt, chunk Chunk) reason.Reason {
	if c.o.mutation == skipIdentityCheck {
		chunk.RequestID, chunk.Attempt = engineRequestID(g.request.Generation, a.stream), a.number
	}
	if c.o.mutation == skipPositionCheck {
		chunk.Position = a.nextPosition
	}
	switch {
	case chunk.Malformed || (!chunk.HasToken && chunk.FinishReason == ""):
		return reason.ChunkMalformed
	case chunk.RequestID != engineRequestID(g.request.Generation, a.stream) || chunk.Attempt > a.number:
		return reason.ChunkForeign
	case chunk.Attempt < a.number:
		return reason.ChunkLate
	case chunk.FinishReason == finishSuperseded:
		return "" // it has no position
	case chunk.Position < a.nextPosition:
		return reason.ChunkRepeated
	case chunk.Position > a.nextPosition:
		return reason.ChunkSkipped
	}
	return ""
}

// onChunkRejected drops a chunk. A gap in the positions fails the attempt at
// once, since the missing tokens will not arrive any more. Chunks of another
// request and malformed chunks fail it when maxBadChunks arrive in a row.
func (c *Core) onChunkRejected(now time.Duration, g *generation, a *attempt, why reason.Reason) {
	c.recordStep(g, a, "dropped", why)
	switch why {
	case reason.ChunkSkipped:
		c.failAttempt(now, g, a, api.OutcomeCancelled, why, true)
	case reason.ChunkForeign, reason.ChunkMalformed:
		a.badChunks++
		if a.badChunks >= maxBadChunks {
			c.failAttempt(now, g, a, api.OutcomeCancelled, why, true)
		}
	}
}

// recordActivity updates the gap estimate of the engine with a valid chunk and
// clears the suspicion of the engine.
func (c *Core) recordActivity(now time.Duration, a *attempt) {
	s := c.endpointOf(a)
	if a.receivedChunk {
		s.observe(now - a.lastActivityAt)
	}
	a.receivedChunk = true
	a.lastActivityAt = now
	s.suspected = false
}

// acceptChunk delivers a valid chunk of an attempt, or verifies it if the caller
// already has its position.
func (c *Core) acceptChunk(now time.Duration, g *generation, a *attempt, chunk Chunk) {
	g.producedOutput = true
	if a.verifying {
		c.verifyChunk(now, g, a, chunk)
		return
	}
	if a.nextPosition != g.nextPosition && c.o.mutation != keepHedgeLosers {
		// Another attempt delivered this position and was selected.
		c.endAttempt(g, a, api.OutcomeCancelled, true)
		return
	}
	c.selectAttempt(now, g, a)
	if chunk.HasToken {
		c.appendToken(g, a, chunk)
	}
	finish := chunk.FinishReason
	if finish == "" && g.nextPosition >= g.request.MaxTokens {
		finish = finishLength
	}
	g.lastSource = tokenSource{attempt: a.number, endpoint: a.endpoint.ID, stream: a.stream}
	id := c.eventID(g, g.nextPosition-1, g.prefixHash)
	c.emit(DeliverToken{Conn: g.conn, EventID: id, Text: chunk.Text, Token: chunk.Token, HasToken: chunk.HasToken, FinishReason: finish})
	if finish != "" {
		c.completeResponse(now, g, a, chunk.FinishReason == "", finish)
	}
}

// eventID returns the event ID of a position. It names the latest stream for
// earlier positions too, since that stream was opened with their tokens as prefix.
func (c *Core) eventID(g *generation, position int, hash uint64) EventID {
	return EventID{
		Generation: g.request.Generation, Attempt: g.lastSource.attempt, Position: position, Endpoint: g.lastSource.endpoint,
		Instance: c.o.Instance, Hash: hash, Nonce: g.request.Nonce, Stream: g.lastSource.stream,
	}
}

// selectAttempt makes the first of the hedged attempts to deliver the only one: it
// cancels all others, resets the failure counters, and ends the interruption.
func (c *Core) selectAttempt(now time.Duration, g *generation, a *attempt) {
	if a.suspected {
		a.suspected = false
		g.falseSuspicions++
	}
	if len(g.attempts) > 1 && c.o.mutation != keepHedgeLosers {
		for _, other := range append([]*attempt(nil), g.attempts...) {
			if other != a {
				c.recordStep(g, other, "ended", reason.HedgeLost)
				c.endAttempt(g, other, api.OutcomeCancelled, true)
			}
		}
	}
	c.dequeue(g)
	if g.interruptedAt != 0 {
		c.emit(RecordResume{Generation: g.request.Generation, Latency: now - g.interruptedAt, Recomputed: g.recomputedTokens})
		c.recordStep(g, a, "resumed", "")
		g.interruptedAt = 0
	}
	g.recomputedTokens = 0
	g.attemptsWithoutToken, g.failedPlacements, g.rateLimitRecorded = 0, 0, false
	g.lastFailedEndpoint, g.lastAttemptNotStarted = "", false
	a.reattaches = 0
}

func (c *Core) appendToken(g *generation, a *attempt, chunk Chunk) {
	g.prefixHash = extendHash(g.prefixHash, chunk.Token)
	g.nextPosition++
	g.tokens = append(g.tokens, chunk.Token)
	g.texts = append(g.texts, chunk.Text)
	a.nextPosition, a.prefixHash = g.nextPosition, g.prefixHash
	a.unreportedTokens++
	if a.unreportedTokens >= progressBatchTokens {
		c.reportProgress(a)
	}
}

// verifyChunk handles a chunk of an attempt that regenerates tokens that the
// caller already has. A mismatch restarts a response that is not streamed and
// ends a streamed one with an error.
func (c *Core) verifyChunk(now time.Duration, g *generation, a *attempt, chunk Chunk) {
	g.recomputedTokens++
	if chunk.HasToken {
		a.prefixHash = extendHash(a.prefixHash, chunk.Token)
		a.verifyTokens = append(a.verifyTokens, chunk.Token)
		a.nextPosition++
	}
	matches := c.finishVerification(g, a)
	if matches && chunk.FinishReason == "" {
		return
	}
	if matches && !a.verifying {
		// The caller has all tokens of the response, but not its end.
		c.selectAttempt(now, g, a)
		c.emit(DeliverToken{Conn: g.conn, FinishReason: chunk.FinishReason})
		c.completeResponse(now, g, a, false, chunk.FinishReason)
		return
	}
	if !g.request.Stream {
		c.restartResponse(g)
		c.failAttempt(now, g, a, api.OutcomeCancelled, reason.PrefixMismatch, true)
		return
	}
	c.finishGeneration(now, g, c.generationError(g, reason.PrefixMismatch, "the regenerated text differs from what was delivered"))
}

// completeResponse ends a generation whose response is complete. With cancel the
// engine is told to stop, which is needed if it did not end the stream itself.
func (c *Core) completeResponse(now time.Duration, g *generation, a *attempt, cancel bool, finish string) {
	c.endAttempt(g, a, api.OutcomeCompleted, cancel)
	c.finishGeneration(now, g, nil)
	if retained := c.retained[g.request.Generation]; retained != nil {
		retained.finishReason = finish
	}
}
