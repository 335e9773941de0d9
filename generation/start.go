package generation

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/reason"
)

// onCallerConnected serves a new caller connection: it attaches it to the live
// generation of the same ID, or starts a generation after the tokens of a
// retained response, if there is one.
func (c *Core) onCallerConnected(now time.Duration, ev CallerConnected) {
	r := ev.Request
	from, hash := 0, uint64(0)
	if r.LastEventID != nil {
		from, hash = r.LastEventID.Position+1, r.LastEventID.Hash
	}
	if r.CallerPrefix != nil && !c.prefixMatches(r.CallerPrefix, from, hash) {
		c.refuseConnection(ev, reason.New(reason.PrefixMismatch, "prefix_tokens do not match the Last-Event-ID").WithRun(reason.RunUnknown))
		return
	}
	if g := c.byID[r.Generation]; g != nil {
		if c.attachConnection(now, g, ev, from, hash) {
			return
		}
		c.finishGeneration(now, g, c.generationError(g, reason.Superseded, "a newer connection serves this request"))
	}
	g := &generation{
		request: r, conn: ev.Conn, firstKnown: from, nextPosition: from, prefixHash: hash,
		firstText: from, replayFrom: from, checkpointedUntil: from,
	}
	c.initAttemptNumber(g)
	if c.restoreRetained(now, g) {
		return
	}
	if from >= r.MaxTokens {
		// The caller has all tokens of the response, but not its end.
		c.emit(DeliverToken{Conn: ev.Conn, FinishReason: finishLength})
		c.emit(FinishResponse{Conn: ev.Conn, Generation: r.Generation})
		return
	}
	if r.CallerPrefix != nil && g.firstKnown > 0 {
		g.firstKnown, g.tokens = 0, append([]uint32(nil), r.CallerPrefix...)
		g.texts = make([]string, len(g.tokens))
	}
	g.producedOutput = g.nextPosition > 0
	c.byID[r.Generation] = g
	c.byConn[ev.Conn] = g
	c.generations = append(c.generations, g)
	c.recordStep(g, nil, "started", "")
	c.startFirstAttempt(now, g)
}

func (c *Core) prefixMatches(prefix []uint32, from int, hash uint64) bool {
	if c.o.mutation == skipPrefixCheck {
		return len(prefix) == from
	}
	return len(prefix) == from && hashTokens(prefix) == hash
}

func (c *Core) refuseConnection(ev CallerConnected, err *reason.Error) {
	c.emit(RecordStep{Generation: ev.Request.Generation, Step: "refused", Reason: err.Reason})
	c.emit(FinishResponse{Conn: ev.Conn, Generation: ev.Request.Generation, Err: err})
}

// initAttemptNumber makes the attempt numbers of this connection higher than
// those of the connection that the event ID comes from.
func (c *Core) initAttemptNumber(g *generation) {
	if g.request.LastEventID != nil {
		g.lastAttemptNumber = c.nextEpochBase(g, g.request.LastEventID.Attempt)
	}
}

// nextEpochBase returns the attempt number before the first one of the epoch after
// the epoch of the given attempt.
func (c *Core) nextEpochBase(g *generation, attempt uint64) uint64 {
	epoch := attempt>>attemptEpochBits + 1
	salt := uint64(g.request.ConnectionSalt) % (1 << epochSaltBits)
	return epoch<<attemptEpochBits | salt<<(attemptEpochBits-epochSaltBits)
}

// startFirstAttempt starts the first attempt of a connection. To resume, it
// reattaches to the stream that the event ID names, or enqueues a continuation if
// that is not possible.
func (c *Core) startFirstAttempt(now time.Duration, g *generation) {
	r := g.request
	if r.LastEventID == nil {
		c.placeAttempt(now, g, false)
		return
	}
	g.interruptedAt = now
	if r.LastEventID.Instance != c.o.Instance {
		c.emit(NotifyTakeover{Instance: r.LastEventID.Instance, Generation: r.Generation, Attempt: g.lastAttemptNumber})
	}
	// After a replay the next token follows the retained ones, which may be of
	// another stream than the event ID names.
	streamHasNextPosition := g.nextPosition == r.LastEventID.Position+1 || g.lastSource.stream == r.LastEventID.Stream
	if r.ResumeEndpoint == nil || !streamHasNextPosition || c.o.Baseline != "" {
		c.enqueueContinuation(now, g)
		return
	}
	a := c.newAttempt(now, g)
	a.endpoint = *r.ResumeEndpoint
	a.stream = r.LastEventID.Stream
	c.startReattach(g, a, g.nextPosition, g.prefixHash)
}

// attachConnection moves a live generation to a newer connection of its caller
// and replays the tokens that the caller does not have. It reports false if the
// known tokens do not cover or do not match what the caller has.
func (c *Core) attachConnection(now time.Duration, g *generation, ev CallerConnected, from int, hash uint64) bool {
	if c.o.mutation == ignoreNewerConnection {
		c.byConn[ev.Conn] = g
		return true
	}
	if from < g.firstText || from > g.nextPosition || ev.Request.Stream != g.request.Stream {
		return false
	}
	if known, ok := prefixHashAt(g.firstKnown, g.tokens, from); from > 0 && (!ok || known != hash) {
		return false
	}
	c.recordStep(g, nil, "superseded", reason.Superseded)
	superseded := c.generationError(g, reason.Superseded, "a newer connection serves this request")
	c.emit(FinishResponse{Conn: g.conn, Generation: g.request.Generation, Err: superseded})
	delete(c.byConn, g.conn)
	g.conn = ev.Conn
	g.replayFrom = from
	g.request.Deadline = ev.Request.Deadline
	c.byConn[ev.Conn] = g
	c.replayTokens(g)
	return true
}

// replayTokens delivers the known tokens that the caller does not have.
func (c *Core) replayTokens(g *generation) {
	var hash uint64
	for position, token := range g.tokens {
		hash = extendHash(hash, token)
		if position < g.replayFrom {
			continue
		}
		c.emit(DeliverToken{Conn: g.conn, EventID: c.eventID(g, position, hash), Text: g.texts[position], Token: token, HasToken: true})
	}
}

// restoreRetained replays the tokens of a retained response, if there is one that
// matches, and sets the generation to continue after them. If they are the
// complete response, it ends the response and reports true.
func (c *Core) restoreRetained(now time.Duration, g *generation) bool {
	response := c.retained[g.request.Generation]
	if response == nil || g.nextPosition < response.firstText {
		return false
	}
	known, ok := prefixHashAt(response.firstKnown, response.tokens, g.nextPosition)
	if !ok || known != g.prefixHash {
		return false
	}
	count := len(response.tokens)
	g.firstKnown, g.firstText, g.lastSource = 0, response.firstText, response.lastSource
	g.tokens, g.texts = response.tokens[:count:count], response.texts[:count:count]
	g.nextPosition, g.prefixHash = count, hashTokens(g.tokens)
	c.replayTokens(g)
	if !response.complete {
		g.lastAttemptNumber = max(g.lastAttemptNumber, c.nextEpochBase(g, response.lastSource.attempt))
		return false
	}
	c.emit(DeliverToken{Conn: g.conn, FinishReason: response.finishReason})
	c.recordStep(g, nil, "replayed", "")
	c.emit(FinishResponse{Conn: g.conn, Generation: g.request.Generation})
	return true
}

// onCallerDisconnected ends the generation of a caller connection that ended.
func (c *Core) onCallerDisconnected(now time.Duration, ev CallerDisconnected) {
	g := c.byConn[ev.Conn]
	// g.conn differs only with the mutation ignoreNewerConnection.
	if g == nil || g.conn != ev.Conn {
		delete(c.byConn, ev.Conn)
		return
	}
	c.finishGeneration(now, g, c.generationError(g, ev.Reason, "the caller's connection ended"))
}

// onGenerationTakenOver ends a generation that another instance serves under a
// higher attempt number.
func (c *Core) onGenerationTakenOver(now time.Duration, ev GenerationTakenOver) {
	g := c.byID[ev.Generation]
	if g == nil || ev.Attempt <= g.lastAttemptNumber {
		return
	}
	c.finishGeneration(now, g, c.generationError(g, reason.Superseded, "a newer connection serves this request"))
}
