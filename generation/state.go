package generation

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// prefixState says what is known of the tokens before the resume position.
type prefixState int

const (
	prefixUnasked prefixState = iota
	prefixFetching
	prefixFetched
)

// generation is one answer in progress.
type generation struct {
	request *Request
	conn    uint64
	done    bool

	// tokens and texts cover the positions base to next-1. base is above 0
	// while the caller's prefix is not known here.
	base   int
	tokens []uint32
	texts  []string
	next   int
	hash   uint64 // of the tokens 0 to next-1
	// textFrom is the first position whose text is known here.
	textFrom int
	// replayFrom is the first position that the caller lacks.
	replayFrom int

	prefix prefixState
	held   []uint32 // from a peer, not yet checked

	lastAttempt uint64
	last        location   // of the token that was delivered last
	attempts    []*attempt // live ones, oldest first
	sent        int        // requests that may have reached an engine
	ran         bool       // an engine produced output

	lostAt     time.Duration // 0: no loss is open
	fruitless  int
	retryWaits int  // consecutive placements that failed
	paced      bool // noted once per loss
	patience   int  // false suspicions, which lengthen the bound
	queued     bool
	readyAt    time.Duration
	lastLost   api.EndpointID
	notStarted bool           // the last loss was a refusal or a failure to connect
	awaits     api.EndpointID // whose probe holds the continuation back
	awaitUntil time.Duration
	recomputed int

	checkpointed int
}

// location names the engine's stream that delivered a token.
type location struct {
	attempt  uint64
	endpoint api.EndpointID
	stream   string
}

// attempt is one connection to an engine for one generation.
type attempt struct {
	number   uint64
	endpoint api.Endpoint
	grant    uint64 // 0: none
	retry    bool

	stream  string // name of the engine's stream
	placing bool
	opened  bool // an Open was sent, as opposed to a reattachment

	next   int
	hash   uint64
	tokens []uint32 // from position 0 while verifying
	verify bool     // regenerates positions that the caller already has

	started    time.Duration
	lastAt     time.Duration
	gotChunk   bool
	suspected  bool
	reattaches int // consecutive ones without a token
	bad        int // consecutive bad chunks
	unreported int // tokens not yet reported to placement
}

// endedAnswer is what is kept of an answer for a caller that reconnects.
type endedAnswer struct {
	id       string
	until    time.Duration
	base     int
	textFrom int
	tokens   []uint32
	texts    []string
	last     location
	complete bool
	finish   string
}

func (g *generation) find(number uint64) *attempt {
	for _, a := range g.attempts {
		if a.number == number {
			return a
		}
	}
	return nil
}

// healthy reports whether an attempt other than a can still deliver.
func (g *generation) healthy(a *attempt) bool {
	for _, other := range g.attempts {
		if other != a && !other.suspected {
			return true
		}
	}
	return false
}

// hashAt returns the hash of the tokens before the position.
func hashAt(base int, tokens []uint32, position int) (uint64, bool) {
	if base != 0 || position > len(tokens) {
		return 0, false
	}
	return hashTokens(tokens[:position]), true
}

func (c *Core) newAttempt(now time.Duration, g *generation) *attempt {
	g.lastAttempt++
	a := &attempt{number: g.lastAttempt, started: now, lastAt: now}
	g.attempts = append(g.attempts, a)
	return a
}

// endAttempt forgets an attempt and gives its grant back. With cancel the
// engine is told to drop the stream.
func (c *Core) endAttempt(g *generation, a *attempt, outcome api.Outcome, cancel bool) {
	kept := g.attempts[:0]
	for _, other := range g.attempts {
		if other != a {
			kept = append(kept, other)
		}
	}
	g.attempts = kept
	c.reportProgress(a)
	if a.grant != 0 && c.o.variant != leakGrants {
		c.do(Release{Grant: a.grant, Outcome: outcome})
		a.grant = 0
	}
	if a.placing {
		c.do(CancelPlace{Generation: g.request.Generation, Attempt: a.number})
	} else {
		c.endpointOf(a).running--
		c.do(CloseStream{
			Generation: g.request.Generation, Attempt: a.number, EngineID: engineID(g.request.Generation, a.stream),
			Endpoint: a.endpoint, Cancel: cancel,
		})
	}
}

func (c *Core) reportProgress(a *attempt) {
	if a.unreported > 0 && a.grant != 0 {
		c.do(Progress{Grant: a.grant, Tokens: a.unreported})
	}
	a.unreported = 0
}

func (c *Core) keep(now time.Duration, g *generation, err *reason.Error) {
	if len(g.tokens) == 0 || !g.request.Stream {
		return
	}
	e := &endedAnswer{
		id: g.request.Generation, until: now + keepEnded, base: g.base, textFrom: g.textFrom,
		tokens: g.tokens, texts: g.texts, last: g.last, complete: err == nil,
	}
	c.ended[e.id] = e
	c.endedList = append(c.endedList, e)
	if len(c.endedList) > maxEnded {
		c.dropEnded()
	}
}

func (c *Core) expireEnded(now time.Duration) {
	for len(c.endedList) > 0 && now >= c.endedList[0].until {
		c.dropEnded()
	}
}

func (c *Core) dropEnded() {
	oldest := c.endedList[0]
	c.endedList[0] = nil
	c.endedList = c.endedList[1:]
	if c.ended[oldest.id] == oldest {
		delete(c.ended, oldest.id)
	}
}
