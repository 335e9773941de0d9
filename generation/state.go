package generation

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// prefixFetchState is the state of the request to the peers for the tokens
// before the resume position.
type prefixFetchState int

const (
	prefixNotFetched prefixFetchState = iota
	prefixFetching
	prefixFetched
)

// generation is one response in progress.
type generation struct {
	request *Request
	conn    uint64 // the caller connection that receives the response
	done    bool

	// tokens and texts cover the positions firstKnown to nextPosition-1.
	// firstKnown is above 0 as long as this instance does not know the tokens that
	// the caller already has.
	firstKnown   int
	tokens       []uint32
	texts        []string
	nextPosition int
	prefixHash   uint64 // of the tokens 0 to nextPosition-1
	// firstText is the first position whose text this instance knows. Before it,
	// texts holds "", since callers and peers send tokens without texts.
	firstText int
	// replayFrom is the first position that the caller does not have.
	replayFrom int

	prefixFetch prefixFetchState
	peerTokens  []uint32 // from the peers, not verified

	lastAttemptNumber uint64
	lastSource        tokenSource // of the latest delivered token
	attempts          []*attempt  // not ended, oldest first
	sentRequests      int         // requests that may have reached an engine; refused ones are subtracted
	producedOutput    bool        // an engine produced a token or the end

	interruptedAt         time.Duration // 0: not interrupted
	attemptsWithoutToken  int
	failedPlacements      int  // consecutive ones
	rateLimitRecorded     bool // in the trace, once per interruption
	falseSuspicions       int  // each doubles the idle timeout, up to a limit
	queued                bool
	retryAt               time.Duration
	lastFailedEndpoint    api.EndpointID
	lastAttemptNotStarted bool           // the last failed attempt was refused or could not connect
	awaitedProbeOf        api.EndpointID // the continuation waits for the probe of this endpoint
	awaitProbeUntil       time.Duration
	recomputedTokens      int

	checkpointedUntil int // nextPosition at the latest checkpoint
}

// tokenSource is the engine stream that delivered a token.
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

	stream    string // name of the engine's stream
	placing   bool   // waits for an endpoint
	newStream bool   // OpenStream created the engine's stream; false: ReattachStream
	// opened says that this instance opened the engine's stream, for this attempt or
	// for one that it continues.
	opened bool

	nextPosition int
	prefixHash   uint64
	verifyTokens []uint32 // from position 0, while verifying
	verifying    bool     // the engine regenerates positions that the caller already has

	startedAt        time.Duration
	lastActivityAt   time.Duration
	receivedChunk    bool
	suspected        bool
	reattaches       int // consecutive, without a token
	badChunks        int // consecutive malformed chunks or chunks of another request
	unreportedTokens int // tokens not yet reported to placement
}

// retainedResponse is the state of an ended response that is kept for a caller
// that reconnects.
type retainedResponse struct {
	id           string
	expiresAt    time.Duration
	firstKnown   int
	firstText    int
	tokens       []uint32
	texts        []string
	lastSource   tokenSource
	complete     bool
	finishReason string // set by completeResponse
}

func (g *generation) attemptByNumber(number uint64) *attempt {
	for _, a := range g.attempts {
		if a.number == number {
			return a
		}
	}
	return nil
}

// hasHealthyAttempt reports whether an attempt that is not suspected exists
// besides the given one.
func (g *generation) hasHealthyAttempt(except *attempt) bool {
	for _, other := range g.attempts {
		if other != except && !other.suspected {
			return true
		}
	}
	return false
}

// prefixHashAt returns the hash of the tokens before the position, and false if
// not all of them are known.
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

// endAttempt removes an attempt and releases its grant. With cancel the engine
// is told to drop the stream.
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
		c.endpointOf(a).openStreams--
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
	response := &retainedResponse{
		id: g.request.Generation, expiresAt: now + responseRetention, firstKnown: g.firstKnown, firstText: g.firstText,
		tokens: g.tokens, texts: g.texts, lastSource: g.lastSource, complete: err == nil,
	}
	c.retained[response.id] = response
	c.retainedOrder = append(c.retainedOrder, response)
	if len(c.retainedOrder) > maxRetainedResponses {
		c.dropOldestResponse()
	}
}

func (c *Core) expireRetainedResponses(now time.Duration) {
	for len(c.retainedOrder) > 0 && now >= c.retainedOrder[0].expiresAt {
		c.dropOldestResponse()
	}
}

func (c *Core) dropOldestResponse() {
	oldest := c.retainedOrder[0]
	c.retainedOrder[0] = nil
	c.retainedOrder = c.retainedOrder[1:]
	if c.retained[oldest.id] == oldest {
		delete(c.retained, oldest.id)
	}
}
