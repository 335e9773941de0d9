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
	maxFruitless = 10
	// maxReattaches bounds consecutive reattachments that added no token.
	maxReattaches = 2
	// maxBadChunks consecutive foreign or malformed chunks end an attempt.
	maxBadChunks = 2
	// firstBackoff and maxBackoff bound the wait between fruitless attempts.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// regionPatience is how long sparing recovery looks for an engine in its
	// own region only, counted from when it is placed. A caller waits meanwhile,
	// so it is a part of the 250 ms goal for a lost engine.
	regionPatience = 150 * time.Millisecond
	// progressBatch is how many tokens are reported to placement together.
	progressBatch = 16
	// keepEnded is how long the tokens of an ended answer are kept for a caller
	// that reconnects; engines keep a broken stream for 10 s.
	keepEnded = 10 * time.Second
	// maxEnded bounds the ended answers that are kept.
	maxEnded = 1024
	// verdictWait is how long a continuation waits for the probe of a closed
	// connection, so that content which crashed the engine is marked before it
	// is placed again. It covers a round trip between regions.
	verdictWait = 30 * time.Millisecond
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
	variant variant
}

// variant names a wrong core that the property tests have to catch.
type variant string

const (
	skipIdentityCheck variant = "skipIdentityCheck"
	skipPositionCheck variant = "skipPositionCheck"
	skipPrefixCheck   variant = "skipPrefixCheck"
	skipNewerWins     variant = "skipNewerWins"
	keepHedgeLosers   variant = "keepHedgeLosers"
	alwaysRunNo       variant = "alwaysRunNo"
	restartStreamed   variant = "restartStreamed"
	leakGrants        variant = "leakGrants"
	ignoreSilence     variant = "ignoreSilence"
	ignoreDeadline    variant = "ignoreDeadline"
	ignorePriority    variant = "ignorePriority"
)

// Core decides what happens to all generations of an instance. It is not safe
// for concurrent use.
type Core struct {
	o         CoreOptions
	live      map[string]*generation
	order     []*generation // by start; ended ones are removed at a tick
	byConn    map[uint64]*generation
	ended     map[string]*endedAnswer
	endedList []*endedAnswer
	endpoints map[api.EndpointID]*endpointState
	queue     []*generation // waiting for a continuation
	due       bool          // the queue has to be looked at
	pace      *rate.Limiter
	nextCheck time.Duration
	actions   []Action
}

// NewCore returns a core without generations.
func NewCore(o CoreOptions) *Core {
	return &Core{
		o:         o,
		live:      make(map[string]*generation),
		byConn:    make(map[uint64]*generation),
		ended:     make(map[string]*endedAnswer),
		endpoints: make(map[api.EndpointID]*endpointState),
		pace:      rate.NewLimiter(recoveryPerSecond, recoveryBurst),
	}
}

// Live returns the number of unfinished generations.
func (c *Core) Live() int { return len(c.live) }

// Step handles one event and returns what is to be done, in order. The slice
// is valid until the next Step.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.actions = c.actions[:0]
	switch ev := ev.(type) {
	case Start:
		c.onStart(now, ev)
	case Placed:
		c.onPlaced(now, ev)
	case PlaceFailed:
		c.onPlaceFailed(now, ev)
	case Received:
		c.onReceived(now, ev)
	case Closed:
		c.onClosed(now, ev)
	case Probed:
		c.onProbed(now, ev)
	case PrefixFetched:
		c.onPrefixFetched(now, ev)
	case CallerLeft:
		c.onCallerLeft(now, ev)
	case TakenOver:
		c.onTakenOver(now, ev)
	case Tick:
		c.onTick(now)
		c.due = true
	}
	c.pump(now)
	return c.actions
}

func (c *Core) do(action Action) { c.actions = append(c.actions, action) }

func (c *Core) note(g *generation, a *attempt, step string, why reason.Reason) {
	note := Note{Generation: g.request.Generation, Step: step, Reason: why, Position: g.next}
	if a != nil {
		note.Attempt = a.number
		note.Endpoint = a.endpoint.ID
	}
	c.do(note)
}

func (c *Core) onTick(now time.Duration) {
	kept := c.order[:0]
	for _, g := range c.order {
		if !g.done {
			kept = append(kept, g)
		}
	}
	clear(c.order[len(kept):])
	c.order = kept
	for _, g := range c.order {
		if now >= g.request.Deadline && c.o.variant != ignoreDeadline {
			c.finish(now, g, c.failure(g, reason.DeadlineExceeded, "the deadline passed"))
			continue
		}
		c.checkSilence(now, g)
	}
	c.expireEnded(now)
	if c.o.Checkpoints && now >= c.nextCheck {
		c.nextCheck = now + checkpointInterval
		c.checkpoint()
	}
}

// checkpoint hands new tokens of streamed answers to a peer. The caller of an
// answer that is not streamed holds no event id to resume it with.
func (c *Core) checkpoint() {
	for _, g := range c.order {
		if g.done || !g.request.Stream || g.checkpointed == g.next {
			continue
		}
		g.checkpointed = g.next
		c.do(Checkpoint{Generation: g.request.Generation, From: g.base, Tokens: g.tokens})
	}
}

// runStatus says whether an endpoint can have run any part of the request.
func (c *Core) runStatus(g *generation) reason.RunStatus {
	switch {
	case c.o.variant == alwaysRunNo:
		return reason.RunNo
	case g.ran:
		return reason.RunYes
	case g.sent > 0:
		return reason.RunUnknown
	default:
		return reason.RunNo
	}
}

func (c *Core) failure(g *generation, why reason.Reason, message string) *reason.Error {
	if g.next > 0 {
		message += "; the answer is incomplete"
	}
	return &reason.Error{Reason: why, Run: c.runStatus(g), Message: message}
}

// finish ends a generation; err is nil for a complete answer.
func (c *Core) finish(now time.Duration, g *generation, err *reason.Error) {
	why := reason.Reason("")
	if err != nil {
		why = err.Reason
	}
	c.note(g, nil, "finished", why)
	c.do(Finish{Conn: g.conn, Generation: g.request.Generation, Err: err})
	keepStream := err != nil && g.request.Stream && (err.Reason == reason.CallerGone || err.Reason == reason.Superseded)
	for len(g.attempts) > 0 {
		c.endAttempt(g, g.attempts[0], api.OutcomeCancelled, !keepStream)
	}
	if err == nil {
		c.do(ContentCompleted{Digest: g.request.Digest})
	}
	if c.o.Checkpoints && g.request.Stream && (err == nil || g.checkpointed != g.next) {
		c.do(Checkpoint{Generation: g.request.Generation, From: g.base, Tokens: g.tokens, Ended: err == nil})
	}
	g.done = true
	delete(c.live, g.request.Generation)
	delete(c.byConn, g.conn)
	c.unqueue(g)
	c.keep(now, g, err)
}
