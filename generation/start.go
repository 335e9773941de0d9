package generation

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/reason"
)

// onStart serves a new caller connection: from the live generation of the same
// id, from an ended one, or by a new generation.
func (c *Core) onStart(now time.Duration, ev Start) {
	r := ev.Request
	from, hash := 0, uint64(0)
	if r.Resume != nil {
		from, hash = r.Resume.Position+1, r.Resume.Hash
	}
	if r.Prefix != nil && !c.prefixMatches(r.Prefix, from, hash) {
		c.refuse(ev, reason.New(reason.PrefixMismatch, "prefix_tokens do not match the Last-Event-ID").WithRun(reason.RunUnknown))
		return
	}
	if g := c.live[r.Generation]; g != nil {
		if c.join(now, g, ev, from, hash) {
			return
		}
		c.finish(now, g, c.failure(g, reason.Superseded, "a newer connection serves this request"))
	}
	g := &generation{request: r, conn: ev.Conn, base: from, next: from, textFrom: from, replayFrom: from, hash: hash, checkpointed: from}
	c.firstAttemptNumber(g)
	if c.fromEnded(now, g) {
		return
	}
	if from >= r.MaxTokens {
		// The caller has every token and lacks only the end.
		c.do(Deliver{Conn: ev.Conn, Finish: finishLength})
		c.do(Finish{Conn: ev.Conn, Generation: r.Generation})
		return
	}
	if r.Prefix != nil && g.base > 0 {
		g.base, g.tokens = 0, append([]uint32(nil), r.Prefix...)
		g.texts = make([]string, len(g.tokens))
	}
	g.ran = g.next > 0
	c.live[r.Generation] = g
	c.byConn[ev.Conn] = g
	c.order = append(c.order, g)
	c.note(g, nil, "started", "")
	c.begin(now, g)
}

func (c *Core) prefixMatches(prefix []uint32, from int, hash uint64) bool {
	if c.o.variant == skipPrefixCheck {
		return len(prefix) == from
	}
	return len(prefix) == from && hashTokens(prefix) == hash
}

func (c *Core) refuse(ev Start, err *reason.Error) {
	c.do(Note{Generation: ev.Request.Generation, Step: "refused", Reason: err.Reason})
	c.do(Finish{Conn: ev.Conn, Generation: ev.Request.Generation, Err: err})
}

// firstAttemptNumber puts the attempts of this connection above those of the
// connection that the event id comes from.
func (c *Core) firstAttemptNumber(g *generation) {
	if g.request.Resume != nil {
		g.lastAttempt = c.nextEpoch(g, g.request.Resume.Attempt)
	}
}

func (c *Core) nextEpoch(g *generation, attempt uint64) uint64 {
	epoch := attempt>>epochBits + 1
	salt := uint64(g.request.Salt) % (1 << saltBits)
	return epoch<<epochBits | salt<<(epochBits-saltBits)
}

// begin starts the first attempt of a connection. A resumed stream is
// reattached where the event id says that it runs.
func (c *Core) begin(now time.Duration, g *generation) {
	r := g.request
	if r.Resume == nil {
		c.place(now, g, false)
		return
	}
	g.lostAt = now
	if r.Resume.Instance != c.o.Instance {
		c.do(NotifyTakeover{Instance: r.Resume.Instance, Generation: r.Generation, Attempt: g.lastAttempt})
	}
	// Tokens that are known beyond the event id may come from another stream.
	sameStream := g.next == r.Resume.Position+1 || g.last.stream == r.Resume.Stream
	if r.ResumeEndpoint == nil || !sameStream || c.o.Baseline != "" {
		c.enqueue(now, g)
		return
	}
	a := c.newAttempt(now, g)
	a.endpoint = *r.ResumeEndpoint
	a.stream = r.Resume.Stream
	c.startReattach(g, a, g.next, g.hash)
}

// join gives a live generation to a newer connection and replays what the
// caller lacks. It reports false if the known tokens do not allow it.
func (c *Core) join(now time.Duration, g *generation, ev Start, from int, hash uint64) bool {
	if c.o.variant == skipNewerWins {
		c.byConn[ev.Conn] = g
		return true
	}
	if from < g.textFrom || from > g.next || ev.Request.Stream != g.request.Stream {
		return false
	}
	if known, ok := hashAt(g.base, g.tokens, from); from > 0 && (!ok || known != hash) {
		return false
	}
	c.note(g, nil, "superseded", reason.Superseded)
	superseded := c.failure(g, reason.Superseded, "a newer connection serves this request")
	c.do(Finish{Conn: g.conn, Generation: g.request.Generation, Err: superseded})
	delete(c.byConn, g.conn)
	g.conn = ev.Conn
	g.replayFrom = from
	g.request.Deadline = ev.Request.Deadline
	c.byConn[ev.Conn] = g
	c.replay(g)
	return true
}

// replay delivers known tokens that the caller lacks.
func (c *Core) replay(g *generation) {
	var hash uint64
	for position, token := range g.tokens {
		hash = extendHash(hash, token)
		if position < g.replayFrom {
			continue
		}
		c.do(Deliver{Conn: g.conn, ID: c.eventID(g, position, hash), Text: g.texts[position], Token: token, HasToken: true})
	}
}

// fromEnded replays the kept tokens of an ended answer and continues after
// them. It reports true if they are the whole answer.
func (c *Core) fromEnded(now time.Duration, g *generation) bool {
	e := c.ended[g.request.Generation]
	if e == nil || g.next < e.textFrom {
		return false
	}
	known, ok := hashAt(e.base, e.tokens, g.next)
	if !ok || known != g.hash {
		return false
	}
	count := len(e.tokens)
	g.base, g.textFrom, g.last = 0, e.textFrom, e.last
	g.tokens, g.texts = e.tokens[:count:count], e.texts[:count:count]
	g.next, g.hash = count, hashTokens(g.tokens)
	c.replay(g)
	if !e.complete {
		g.lastAttempt = max(g.lastAttempt, c.nextEpoch(g, e.last.attempt))
		return false
	}
	c.do(Deliver{Conn: g.conn, Finish: e.finish})
	c.note(g, nil, "replayed", "")
	c.do(Finish{Conn: g.conn, Generation: g.request.Generation})
	return true
}

// onCallerLeft ends the generation of a connection that is gone. The engine
// keeps the stream of a streamed answer for a reattachment.
func (c *Core) onCallerLeft(now time.Duration, ev CallerLeft) {
	g := c.byConn[ev.Conn]
	if g == nil || g.conn != ev.Conn {
		delete(c.byConn, ev.Conn)
		return
	}
	c.finish(now, g, c.failure(g, ev.Reason, "the caller's connection ended"))
}

// onTakenOver ends the connection of a generation that another instance
// serves under a higher attempt.
func (c *Core) onTakenOver(now time.Duration, ev TakenOver) {
	g := c.live[ev.Generation]
	if g == nil || ev.Attempt <= g.lastAttempt {
		return
	}
	c.finish(now, g, c.failure(g, reason.Superseded, "a newer connection serves this request"))
}
