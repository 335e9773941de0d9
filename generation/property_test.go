package generation

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusstair/hibiscusstair/api"
	_ "github.com/hibiscusstair/hibiscusstair/internal/testseed"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// fault is a fault that the simulation can inject.
type fault string

const (
	faultCrash          fault = "crash"
	faultRestart        fault = "restart"
	faultFreeze         fault = "freeze"
	faultClose          fault = "close"
	faultDuplicate      fault = "duplicate"
	faultDrop           fault = "drop"
	faultMisroute       fault = "misroute"
	faultStaleAttempt   fault = "stale attempt"
	faultReconnect      fault = "reconnect"
	faultSwitchInstance fault = "switch instance"
	faultDisconnect     fault = "disconnect"
)

var engineFaults = []fault{faultCrash, faultRestart, faultFreeze, faultClose}

// injectFault applies a fault to an engine, a link or a caller.
func (sim *simulation) injectFault(f fault, pick int) {
	e := sim.engines[pick%len(sim.engines)]
	c := sim.callers[pick%len(sim.callers)]
	switch f {
	case faultCrash:
		e.crashed = true
		for _, s := range sortedStreams(e) {
			sim.closeLink(s.link)
		}
		e.streams = make(map[string]*simStream)
	case faultRestart:
		e.crashed, e.frozen = false, false
	case faultFreeze:
		e.frozen = !e.crashed
	case faultClose:
		for _, s := range sortedStreams(e) {
			sim.closeLink(s.link)
		}
	case faultReconnect:
		sim.connect(c, c.core, pick%2 == 0)
	case faultSwitchInstance:
		sim.connect(c, 1-c.core, pick%2 == 0)
	case faultDisconnect:
		sim.step(c.core, CallerDisconnected{Conn: c.conn, Reason: reason.CallerGone})
		sim.connect(c, pick%2, pick%3 == 0)
	default:
		sim.injectChunkFault(f, pick)
	}
}

// injectChunkFault applies a fault to chunks in flight.
func (sim *simulation) injectChunkFault(f fault, pick int) {
	sim.now += time.Millisecond
	for _, e := range sim.engines {
		if !e.crashed && !e.frozen {
			for _, s := range sortedStreams(e) {
				sim.generate(e, s)
			}
		}
	}
	var sending []*simLink
	for _, l := range sim.links {
		if !l.closed && len(l.chunks) > 0 {
			sending = append(sending, l)
		}
	}
	if len(sending) == 0 {
		return
	}
	l := sending[pick%len(sending)]
	switch f {
	case faultDuplicate:
		l.chunks = append(l.chunks, l.chunks[0])
	case faultDrop:
		l.chunks = l.chunks[1:]
	case faultMisroute:
		to := sending[(pick+1)%len(sending)]
		to.chunks = append([]Chunk{l.chunks[0]}, to.chunks...)
	case faultStaleAttempt:
		stale := l.chunks[0]
		stale.Attempt--
		stale.Token++
		l.chunks = append([]Chunk{stale}, l.chunks...)
	}
}

// runRandomFaults injects random faults while callers receive responses and
// returns the first violation of an invariant.
func runRandomFaults(rt *rapid.T, o CoreOptions, faults []fault, stream bool) error {
	sim := newSimulation(rt, o)
	for range rapid.IntRange(1, 3).Draw(rt, "callers") {
		sim.addCaller(stream, rapid.IntRange(5, 40).Draw(rt, "max tokens"))
	}
	steps := rapid.IntRange(1, 40).Draw(rt, "steps")
	for range steps {
		if sim.violation != nil {
			return sim.violation
		}
		sim.advance(time.Duration(rapid.IntRange(1, 300).Draw(rt, "ms")) * time.Millisecond)
		if rapid.IntRange(0, 2).Draw(rt, "fault due") == 0 {
			sim.injectFault(rapid.SampledFrom(faults).Draw(rt, "fault"), rapid.IntRange(0, 5).Draw(rt, "pick"))
		}
	}
	return sim.recoverAndFinish()
}

// checkDetectsMutation checks that the property holds for the core in both
// recovery modes, and that it fails for the core with the mutation.
func checkDetectsMutation(t *testing.T, brokenRule mutation, property func(*rapid.T, CoreOptions) error) {
	t.Helper()
	recoveryMode := rapid.SampledFrom([]string{RecoveryEager, RecoverySparing})
	rapid.Check(t, func(rt *rapid.T) {
		if err := property(rt, CoreOptions{Recovery: recoveryMode.Draw(rt, "mode")}); err != nil {
			rt.Fatal(err)
		}
	})
	detected := false
	rapid.Check(t, func(rt *rapid.T) {
		err := property(rt, CoreOptions{Recovery: recoveryMode.Draw(rt, "mode"), mutation: brokenRule})
		detected = detected || err != nil
	})
	if !detected {
		t.Errorf("the property does not detect the mutation %s", brokenRule)
	}
}

// TestNoTokenMissingOrRepeated guards against missing and repeated tokens after
// duplicated and dropped chunks and engine failures.
func TestNoTokenMissingOrRepeated(t *testing.T) {
	checkDetectsMutation(t, skipPositionCheck, func(rt *rapid.T, o CoreOptions) error {
		return runRandomFaults(rt, o, append(engineFaults, faultDuplicate, faultDrop), rapid.Bool().Draw(rt, "stream"))
	})
}

// TestForeignChunksAreDropped guards against tokens of other requests and of
// earlier attempts in a response.
func TestForeignChunksAreDropped(t *testing.T) {
	checkDetectsMutation(t, skipIdentityCheck, func(rt *rapid.T, o CoreOptions) error {
		return runRandomFaults(rt, o, append(engineFaults, faultMisroute, faultStaleAttempt), rapid.Bool().Draw(rt, "stream"))
	})
}

// TestHedgesAreNotMixed guards against two attempts that both deliver tokens.
func TestHedgesAreNotMixed(t *testing.T) {
	checkDetectsMutation(t, keepHedgeLosers, func(rt *rapid.T, o CoreOptions) error {
		return runRandomFaults(rt, o, []fault{faultFreeze, faultRestart}, true)
	})
}

// TestStreamedResponsesAreNotRestarted guards against a continuation that does
// not start from the prefix that the caller has.
func TestStreamedResponsesAreNotRestarted(t *testing.T) {
	checkDetectsMutation(t, restartStreamed, func(rt *rapid.T, o CoreOptions) error {
		return runRandomFaults(rt, o, engineFaults, true)
	})
}

// TestRegeneratedTokensAreVerified guards against delivering regenerated tokens that
// differ from those that the caller has.
func TestRegeneratedTokensAreVerified(t *testing.T) {
	checkDetectsMutation(t, skipPrefixCheck, func(rt *rapid.T, o CoreOptions) error {
		return runRandomFaults(rt, o, append(engineFaults, faultSwitchInstance, faultDisconnect), true)
	})
}

// TestNewerConnectionReplacesOlder guards against a caller that reconnects and receives
// nothing, and against an older connection that still receives tokens.
func TestNewerConnectionReplacesOlder(t *testing.T) {
	checkDetectsMutation(t, ignoreNewerConnection, func(rt *rapid.T, o CoreOptions) error {
		return runRandomFaults(rt, o, []fault{faultReconnect, faultSwitchInstance, faultClose}, true)
	})
}

// TestNotRunStatusIsCorrect guards against reporting a request as not run although
// an engine accepted it. The status covers what was sent for the caller's
// connection only, since an instance does not know what another one sent.
func TestNotRunStatusIsCorrect(t *testing.T) {
	checkDetectsMutation(t, alwaysRunNo, func(rt *rapid.T, o CoreOptions) error {
		return runRandomFaults(rt, o, append(engineFaults, faultSwitchInstance, faultDisconnect), rapid.Bool().Draw(rt, "stream"))
	})
}

// TestGrantsAreReleasedOnce guards against grants that are never released, which
// would fill up the endpoints, or that are released twice.
func TestGrantsAreReleasedOnce(t *testing.T) {
	checkDetectsMutation(t, leakGrants, func(rt *rapid.T, o CoreOptions) error {
		return runRandomFaults(rt, o, engineFaults, true)
	})
}

// TestBaselinesKeepTheInvariants guards against baselines that seem to cost little
// because their responses are wrong.
func TestBaselinesKeepTheInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o := CoreOptions{Recovery: RecoverySparing}
		o.Baseline = rapid.SampledFrom([]string{BaselineStartOver, BaselineFixedTimeout}).Draw(rt, "baseline")
		if err := runRandomFaults(rt, o, append(engineFaults, faultSwitchInstance, faultDisconnect), rapid.Bool().Draw(rt, "stream")); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestSilenceIsDetected guards against a response that waits forever on a connection
// that is open but silent.
func TestSilenceIsDetected(t *testing.T) {
	checkDetectsMutation(t, ignoreSilence, func(rt *rapid.T, o CoreOptions) error {
		sim := newSimulation(rt, o)
		sim.addCaller(true, 20)
		for range rapid.IntRange(1, 10).Draw(rt, "before") {
			sim.advance(20 * time.Millisecond)
		}
		for _, e := range sim.engines {
			e.frozen = len(e.streams) > 0
		}
		for range 300 {
			sim.advance(20 * time.Millisecond)
		}
		if !sim.callers[0].finished {
			return errSilentEngines
		}
		return sim.violation
	})
}

// TestDeadlineEndsEveryResponse guards against responses that run past their
// deadline when no engine works.
func TestDeadlineEndsEveryResponse(t *testing.T) {
	checkDetectsMutation(t, ignoreDeadline, func(rt *rapid.T, o CoreOptions) error {
		sim := newSimulation(rt, o)
		c := sim.addCaller(rapid.Bool().Draw(rt, "stream"), 20)
		sim.cores[0].byID[c.request.Generation].request.Deadline = sim.now + time.Second
		for i := range 3 {
			sim.injectFault(faultFreeze, i)
		}
		for range 60 {
			sim.advance(20 * time.Millisecond)
		}
		if !c.finished || c.err == nil || c.err.Reason != reason.DeadlineExceeded {
			return errPastDeadline
		}
		return sim.violation
	})
}

// TestRecoveryFollowsPriority guards against draft requests that recover before
// interactive ones, and against more continuations at once than the rate limit
// allows.
func TestRecoveryFollowsPriority(t *testing.T) {
	checkDetectsMutation(t, ignorePriority, func(rt *rapid.T, o CoreOptions) error {
		o.Recovery = RecoveryEager
		c := NewCore(o)
		count := rapid.IntRange(continuationBurst+5, 3*continuationBurst).Draw(rt, "streams")
		priority := make(map[string]api.Priority)
		for i := range count {
			r := &Request{Generation: string(rune('a' + i)), MaxTokens: 9, Deadline: time.Hour, Stream: true}
			r.Priority = api.Priority(rapid.IntRange(int(api.PriorityInteractive), int(api.PriorityDraft)).Draw(rt, "priority"))
			priority[r.Generation] = r.Priority
			c.Step(0, CallerConnected{Conn: uint64(i + 1), Request: r})
			c.Step(0, PlacementGranted{Generation: r.Generation, Attempt: 1, Grant: api.Grant{ID: uint64(i + 1), Endpoint: api.Endpoint{ID: "e"}}})
		}
		c.Step(0, StreamClosed{Generation: "a", Attempt: 1})
		placed := []api.Priority{}
		for now := time.Duration(0); now < time.Second; now += 10 * time.Millisecond {
			ev := Event(Tick{})
			if now == 0 {
				ev = ProbeFinished{Endpoint: "e", Crashed: true}
			}
			placedInStep := 0
			for _, action := range c.Step(now, ev) {
				if p, ok := action.(RequestPlacement); ok {
					placed = append(placed, priority[p.Generation])
					placedInStep++
				}
			}
			if placedInStep > continuationBurst {
				return Error.New("%d continuations started in one step, above the burst of %d", placedInStep, continuationBurst)
			}
		}
		for i := 1; i < len(placed); i++ {
			if placed[i] < placed[i-1] {
				return Error.New("continuation %d has priority %d, the one before it %d", i, placed[i], placed[i-1])
			}
		}
		if len(placed) != count {
			return Error.New("%d of %d generations were continued", len(placed), count)
		}
		return nil
	})
}

var (
	errSilentEngines = Error.New("the response did not end although all of its engines were silent")
	errPastDeadline  = Error.New("the response did not end with DeadlineExceeded at its deadline")
)
