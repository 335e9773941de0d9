package generation

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// continuationBurst is the number of continuations that start without delay after
	// an interruption. It covers one instance's share of the streams of one
	// engine.
	continuationBurst = 32
	// continuationsPerSecond limits the start of continuations beyond the burst, so that the
	// outage of a failure domain does not overload the remaining engines.
	continuationsPerSecond = 400
	// maxAttemptsWithoutToken bounds consecutive attempts that delivered no token.
	maxAttemptsWithoutToken = 10
	// maxReattachesWithoutToken bounds consecutive reattachments that delivered no
	// token.
	maxReattachesWithoutToken = 2
	// maxBadChunks is the number of consecutive chunks that are malformed or
	// belong to another request after which an attempt fails.
	maxBadChunks = 2
	// initialBackoff and maxBackoff bound the exponential delay between attempts
	// that delivered no token.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	// sameRegionTimeout is how long a continuation in sparing mode waits for an
	// endpoint in the instance's own region before other regions are allowed. The
	// caller waits meanwhile, so it is part of the 250 ms goal for resuming after an
	// engine failure.
	sameRegionTimeout = 150 * time.Millisecond
	// progressBatchTokens is how many delivered tokens one progress report to
	// placement covers.
	progressBatchTokens = 16
	// responseRetention is how long the tokens of an ended response are kept for a
	// caller that reconnects. Engines keep an interrupted stream for 10 s too.
	responseRetention = 10 * time.Second
	// maxRetainedResponses bounds the memory of retained responses.
	maxRetainedResponses = 1024
	// probeResultTimeout is how long a continuation waits for the probe of a closed
	// connection, so that content which crashed the engine is marked before it
	// is placed again. It covers a round trip between regions.
	probeResultTimeout = 30 * time.Millisecond
	// checkpointInterval is how often tokens are sent to a peer. If the instance
	// and the engine fail together, newer tokens may have to be generated again.
	checkpointInterval = 250 * time.Millisecond
	// maxBackoffDoublings keeps the doubling of initialBackoff from overflowing.
	maxBackoffDoublings = 6
)

// CoreOptions configures a Core.
type CoreOptions struct {
	Instance    api.InstanceID
	Recovery    string
	Baseline    string
	Checkpoints bool

	// mutation breaks one rule; only the property tests set it.
	mutation mutation
}

// mutation names a rule that a core breaks on purpose, so that a property test
// can show that it detects the violation.
type mutation string

const (
	skipIdentityCheck     mutation = "skipIdentityCheck" // accept chunks of other requests and attempts
	skipPositionCheck     mutation = "skipPositionCheck" // accept chunks at any position
	skipPrefixCheck       mutation = "skipPrefixCheck"   // accept a prefix with another hash
	ignoreNewerConnection mutation = "skipNewerWins"     // deliver to the older connection of a caller
	keepHedgeLosers       mutation = "keepHedgeLosers"   // let several attempts deliver tokens
	alwaysRunNo           mutation = "alwaysRunNo"       // report every error as not run
	restartStreamed       mutation = "restartStreamed"   // continue a response without its prefix
	leakGrants            mutation = "leakGrants"        // never release a grant
	ignoreSilence         mutation = "ignoreSilence"     // never suspect a silent engine
	ignoreDeadline        mutation = "ignoreDeadline"    // let generations run past their deadline
	ignorePriority        mutation = "ignorePriority"    // recover in order of interruption only
)

// Core is the state machine of all generations of an instance. It does no I/O:
// Step takes an event and returns the actions to run. It is not safe for
// concurrent use.
type Core struct {
	o                CoreOptions
	byID             map[string]*generation       // by generation ID
	generations      []*generation                // in order of start; a tick removes the ended ones
	byConn           map[uint64]*generation       // by caller connection
	retained         map[string]*retainedResponse // by generation ID
	retainedOrder    []*retainedResponse          // oldest first
	endpoints        map[api.EndpointID]*endpointState
	recoveryQueue    []*generation // waiting for a continuation
	queueDue         bool          // an entry may be ready to start; set by changes and by each tick
	recoveryLimiter  *rate.Limiter
	nextCheckpointAt time.Duration
	actions          []Action
}

// NewCore returns a core without generations.
func NewCore(o CoreOptions) *Core {
	return &Core{
		o:               o,
		byID:            make(map[string]*generation),
		byConn:          make(map[uint64]*generation),
		retained:        make(map[string]*retainedResponse),
		endpoints:       make(map[api.EndpointID]*endpointState),
		recoveryLimiter: rate.NewLimiter(continuationsPerSecond, continuationBurst),
	}
}

// ActiveCount returns the number of generations in progress.
func (c *Core) ActiveCount() int { return len(c.byID) }

// Step handles one event and returns the actions to run, in order. The slice is
// valid until the next call.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.actions = c.actions[:0]
	switch ev := ev.(type) {
	case CallerConnected:
		c.onCallerConnected(now, ev)
	case PlacementGranted:
		c.onPlacementGranted(now, ev)
	case PlacementFailed:
		c.onPlacementFailed(now, ev)
	case ChunkReceived:
		c.onChunkReceived(now, ev)
	case StreamClosed:
		c.onStreamClosed(now, ev)
	case ProbeFinished:
		c.onProbeFinished(now, ev)
	case PrefixFetched:
		c.onPrefixFetched(now, ev)
	case CallerDisconnected:
		c.onCallerDisconnected(now, ev)
	case GenerationTakenOver:
		c.onGenerationTakenOver(now, ev)
	case Tick:
		c.onTick(now)
		c.queueDue = true
	}
	c.startContinuations(now)
	return c.actions
}

func (c *Core) emit(action Action) { c.actions = append(c.actions, action) }

func (c *Core) recordStep(g *generation, a *attempt, step string, why reason.Reason) {
	record := RecordStep{Generation: g.request.Generation, Step: step, Reason: why, Position: g.nextPosition}
	if a != nil {
		record.Attempt = a.number
		record.Endpoint = a.endpoint.ID
	}
	c.emit(record)
}

func (c *Core) onTick(now time.Duration) {
	kept := c.generations[:0]
	for _, g := range c.generations {
		if !g.done {
			kept = append(kept, g)
		}
	}
	clear(c.generations[len(kept):])
	c.generations = kept
	for _, g := range c.generations {
		if now >= g.request.Deadline && c.o.mutation != ignoreDeadline {
			c.finishGeneration(now, g, c.generationError(g, reason.DeadlineExceeded, "the deadline passed"))
			continue
		}
		c.checkSilence(now, g)
	}
	c.expireRetainedResponses(now)
	if c.o.Checkpoints && now >= c.nextCheckpointAt {
		c.nextCheckpointAt = now + checkpointInterval
		c.emitCheckpoints()
	}
}

// emitCheckpoints emits the known tokens of each streamed response that has new
// ones; checkpointSender sends only those that the peer does not have. The caller
// of a response that is not streamed has no event ID to resume it with.
func (c *Core) emitCheckpoints() {
	for _, g := range c.generations {
		if g.done || !g.request.Stream || g.checkpointedUntil == g.nextPosition {
			continue
		}
		g.checkpointedUntil = g.nextPosition
		c.emit(SendCheckpoint{Generation: g.request.Generation, From: g.firstKnown, Tokens: g.tokens})
	}
}

// runStatus returns whether an endpoint may have run any part of the request.
func (c *Core) runStatus(g *generation) reason.RunStatus {
	switch {
	case c.o.mutation == alwaysRunNo:
		return reason.RunNo
	case g.producedOutput:
		return reason.RunYes
	case g.sentRequests > 0:
		return reason.RunUnknown
	default:
		return reason.RunNo
	}
}

func (c *Core) generationError(g *generation, why reason.Reason, message string) *reason.Error {
	if g.nextPosition > 0 {
		message += "; the answer is incomplete"
	}
	return &reason.Error{Reason: why, Run: c.runStatus(g), Message: message}
}

// finishGeneration ends a generation; err is nil for a complete response. After
// CallerGone and Superseded the engine keeps the stream of a streamed response,
// so that the caller's next connection can reattach to it.
func (c *Core) finishGeneration(now time.Duration, g *generation, err *reason.Error) {
	why := reason.Reason("")
	if err != nil {
		why = err.Reason
	}
	c.recordStep(g, nil, "finished", why)
	c.emit(FinishResponse{Conn: g.conn, Generation: g.request.Generation, Err: err})
	keepStream := err != nil && g.request.Stream && (err.Reason == reason.CallerGone || err.Reason == reason.Superseded)
	for len(g.attempts) > 0 {
		c.endAttempt(g, g.attempts[0], api.OutcomeCancelled, !keepStream)
	}
	if err == nil {
		c.emit(ReportCompleted{Digest: g.request.Digest})
	}
	if c.o.Checkpoints && g.request.Stream && (err == nil || g.checkpointedUntil != g.nextPosition) {
		c.emit(SendCheckpoint{Generation: g.request.Generation, From: g.firstKnown, Tokens: g.tokens, Ended: err == nil})
	}
	g.done = true
	delete(c.byID, g.request.Generation)
	delete(c.byConn, g.conn)
	c.dequeue(g)
	c.retainResponse(now, g, err)
}
