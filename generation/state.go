package generation

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// prefixState says what is known of the tokens before the resume position.
type prefixFetchState int

const (
	prefixNotFetched prefixFetchState = iota
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
	firstKnown   int
	tokens       []uint32
	texts        []string
	nextPosition int
	prefixHash   uint64 // of the tokens 0 to next-1
	// textFrom is the first position whose text is known here.
	firstText int
	// replayFrom is the first position that the caller lacks.
	replayFrom int

	prefixFetch prefixFetchState
	peerTokens  []uint32 // from a peer, not yet checked

	lastAttemptNumber uint64
	lastSource        tokenSource // of the token that was delivered last
	attempts          []*attempt  // live ones, oldest first
	sentRequests      int         // requests that may have reached an engine
	producedOutput    bool        // an engine produced output

	interruptedAt        time.Duration // 0: no loss is open
	attemptsWithoutToken int
	failedPlacements     int  // consecutive placements that failed
	pacingRecorded       bool // noted once per loss
	falseSuspicions      int  // false suspicions, which lengthen the bound
	queued               bool
	retryAt              time.Duration
	lastFailedEndpoint   api.EndpointID
	lastNotStarted       bool           // the last loss was a refusal or a failure to connect
	awaitedProbe         api.EndpointID // whose probe holds the continuation back
	awaitProbeUntil      time.Duration
	recomputedTokens     int

	checkpointedUntil int
}

// location names the engine's stream that delivered a token.
type tokenSource struct {
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

	nextPosition int
	prefixHash   uint64
	tokens       []uint32 // from position 0 while verifying
	verifying    bool     // regenerates positions that the caller already has

	startedAt        time.Duration
	lastActivityAt   time.Duration
	receivedChunk    bool
	suspected        bool
	reattaches       int // consecutive ones without a token
	badChunks        int // consecutive bad chunks
	unreportedTokens int // tokens not yet reported to placement
}

// endedAnswer is what is kept of an answer for a caller that reconnects.
type retainedResponse struct {
	id           string
	expiresAt    time.Duration
	firstKnown   int
	firstText    int
	tokens       []uint32
	texts        []string
	lastSource   tokenSource
	complete     bool
	finishReason string
}

func (g *generation) attemptByNumber(number uint64) *attempt {
	for _, a := range g.attempts {
		if a.number == number {
			return a
		}
	}
	return nil
}

// healthy reports whether an attempt other than a can still deliver.
func (g *generation) hasHealthyAttempt(except *attempt) bool {
	for _, other := range g.attempts {
		if other != except && !other.suspected {
			return true
		}
	}
	return false
}

// hashAt returns the hash of the tokens before the position.
func prefixHashAt(firstKnown int, tokens []uint32, position int) (uint64, bool) {
	if firstKnown != 0 || position > len(tokens) {
		return 0, false
	}
	return hashTokens(tokens[:position]), true
}

func (c *Core) newAttempt(now time.Duration, g *generation) *attempt {
	g.lastAttemptNumber++
	a := &attempt{number: g.lastAttemptNumber, startedAt: now, lastActivityAt: now}
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
	if a.grant != 0 && c.o.mutation != leakGrants {
		c.emit(ReleaseGrant{Grant: a.grant, Outcome: outcome})
		a.grant = 0
	}
	if a.placing {
		c.emit(CancelPlacement{Generation: g.request.Generation, Attempt: a.number})
	} else {
		c.endpointOf(a).running--
		c.emit(CloseStream{
			Generation: g.request.Generation, Attempt: a.number, RequestID: engineRequestID(g.request.Generation, a.stream),
			Endpoint: a.endpoint, Cancel: cancel,
		})
	}
}

func (c *Core) reportProgress(a *attempt) {
	if a.unreportedTokens > 0 && a.grant != 0 {
		c.emit(ReportProgress{Grant: a.grant, Tokens: a.unreportedTokens})
	}
	a.unreportedTokens = 0
}

func (c *Core) retainResponse(now time.Duration, g *generation, err *reason.Error) {
	if len(g.tokens) == 0 || !g.request.Stream {
		return
	}
	e := &retainedResponse{
		id: g.request.Generation, expiresAt: now + responseRetention, firstKnown: g.firstKnown, firstText: g.firstText,
		tokens: g.tokens, texts: g.texts, lastSource: g.lastSource, complete: err == nil,
	}
	c.retained[e.id] = e
	c.retainedOrder = append(c.retainedOrder, e)
	if len(c.retainedOrder) > maxRetainedResponses {
		c.dropOldestRetained()
	}
}

func (c *Core) expireRetained(now time.Duration) {
	for len(c.retainedOrder) > 0 && now >= c.retainedOrder[0].expiresAt {
		c.dropOldestRetained()
	}
}

func (c *Core) dropOldestRetained() {
	oldest := c.retainedOrder[0]
	c.retainedOrder[0] = nil
	c.retainedOrder = c.retainedOrder[1:]
	if c.retained[oldest.id] == oldest {
		delete(c.retained, oldest.id)
	}
}
