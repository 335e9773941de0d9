package generation

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// recoveryBurst continuations start at once after a loss, which covers one
	// instance's share of one engine; more are paced.
	recoveryBurst = 32
	// recoveryPerSecond paces the continuations beyond the burst, so that the
	// loss of a failure domain does not overload the remaining engines.
	recoveryPerSecond = 400
	// maxFruitless bounds consecutive attempts that added no token.
	maxAttemptsWithoutToken = 10
	// maxReattaches bounds consecutive reattachments that added no token.
	maxReattachesWithoutToken = 2
	// maxBadChunks consecutive foreign or malformed chunks end an attempt.
	maxBadChunks = 2
	// firstBackoff and maxBackoff bound the wait between fruitless attempts.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	// regionPatience is how long sparing recovery looks for an engine in its
	// own region only, counted from when it is placed. A caller waits meanwhile,
	// so it is a part of the 250 ms goal for a lost engine.
	sameRegionTimeout = 150 * time.Millisecond
	// progressBatch is how many tokens are reported to placement together.
	progressBatchTokens = 16
	// keepEnded is how long the tokens of an ended answer are kept for a caller
	// that reconnects; engines keep a broken stream for 10 s.
	responseRetention = 10 * time.Second
	// maxEnded bounds the ended answers that are kept.
	maxRetainedResponses = 1024
	// verdictWait is how long a continuation waits for the probe of a closed
	// connection, so that content which crashed the engine is marked before it
	// is placed again. It covers a round trip between regions.
	probeResultTimeout = 30 * time.Millisecond
	// checkpointInterval is how often new tokens go to a peer.
	checkpointInterval = 250 * time.Millisecond
)

// CoreOptions configures a Core.
type CoreOptions struct {
	Instance    api.InstanceID
	Recovery    string
	Baseline    string
	Checkpoints bool

	// variant switches off one check; only tests of the checks set it.
	mutation mutation
}

// variant names a wrong core that the property tests have to catch.
type mutation string

const (
	skipIdentityCheck mutation = "skipIdentityCheck"
	skipPositionCheck mutation = "skipPositionCheck"
	skipPrefixCheck   mutation = "skipPrefixCheck"
	skipNewerWins     mutation = "skipNewerWins"
	keepHedgeLosers   mutation = "keepHedgeLosers"
	alwaysRunNo       mutation = "alwaysRunNo"
	restartStreamed   mutation = "restartStreamed"
	leakGrants        mutation = "leakGrants"
	ignoreSilence     mutation = "ignoreSilence"
	ignoreDeadline    mutation = "ignoreDeadline"
	ignorePriority    mutation = "ignorePriority"
)

// Core decides what happens to all generations of an instance. It is not safe
// for concurrent use.
type Core struct {
	o               CoreOptions
	live            map[string]*generation
	generations     []*generation // by start; ended ones are removed at a tick
	byConn          map[uint64]*generation
	retained        map[string]*retainedResponse
	retainedOrder   []*retainedResponse
	endpoints       map[api.EndpointID]*endpointState
	recoveryQueue   []*generation // waiting for a continuation
	queueChanged    bool          // the queue has to be looked at
	recoveryLimiter *rate.Limiter
	nextCheckpoint  time.Duration
	actions         []Action
}

// NewCore returns a core without generations.
func NewCore(o CoreOptions) *Core {
	return &Core{
		o:               o,
		live:            make(map[string]*generation),
		byConn:          make(map[uint64]*generation),
		retained:        make(map[string]*retainedResponse),
		endpoints:       make(map[api.EndpointID]*endpointState),
		recoveryLimiter: rate.NewLimiter(recoveryPerSecond, recoveryBurst),
	}
}

// Live returns the number of unfinished generations.
func (c *Core) Live() int { return len(c.live) }

// Step handles one event and returns what is to be done, in order. The slice
// is valid until the next Step.
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
		c.queueChanged = true
	}
	c.startContinuations(now)
	return c.actions
}

func (c *Core) emit(action Action) { c.actions = append(c.actions, action) }

func (c *Core) recordStep(g *generation, a *attempt, step string, why reason.Reason) {
	note := RecordStep{Generation: g.request.Generation, Step: step, Reason: why, Position: g.nextPosition}
	if a != nil {
		note.Attempt = a.number
		note.Endpoint = a.endpoint.ID
	}
	c.emit(note)
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
	c.expireRetained(now)
	if c.o.Checkpoints && now >= c.nextCheckpoint {
		c.nextCheckpoint = now + checkpointInterval
		c.emitCheckpoints()
	}
}

// checkpoint hands new tokens of streamed answers to a peer. The caller of an
// answer that is not streamed holds no event id to resume it with.
func (c *Core) emitCheckpoints() {
	for _, g := range c.generations {
		if g.done || !g.request.Stream || g.checkpointedUntil == g.nextPosition {
			continue
		}
		g.checkpointedUntil = g.nextPosition
		c.emit(SendCheckpoint{Generation: g.request.Generation, From: g.firstKnown, Tokens: g.tokens})
	}
}

// runStatus says whether an endpoint can have run any part of the request.
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

// finish ends a generation; err is nil for a complete answer.
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
	delete(c.live, g.request.Generation)
	delete(c.byConn, g.conn)
	c.dequeue(g)
	c.retainResponse(now, g, err)
}
