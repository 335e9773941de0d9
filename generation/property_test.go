package generation

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusstair/hibiscusstair/api"
	_ "github.com/hibiscusstair/hibiscusstair/internal/testseed"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// fault is one disturbance of the world.
type fault string

const (
	faultKill           fault = "kill"
	faultRestart        fault = "revive"
	faultFreeze         fault = "freeze"
	faultClose          fault = "close"
	faultDuplicate      fault = "duplicate"
	faultDrop           fault = "drop"
	faultMisroute       fault = "misroute"
	faultStaleAttempt   fault = "stale"
	faultReconnect      fault = "reconnect"
	faultSwitchInstance fault = "move"
	faultDisconnect     fault = "leave"
)

var engineFaults = []fault{faultKill, faultRestart, faultFreeze, faultClose}

// injectFault applies a fault to an engine, a link or a caller.
func (w *simulation) injectFault(f fault, pick int) {
	e := w.engines[pick%len(w.engines)]
	c := w.callers[pick%len(w.callers)]
	switch f {
	case faultKill:
		e.crashed = true
		for _, s := range sortedStreams(e) {
			w.closeLink(s.link)
		}
		e.streams = make(map[string]*simStream)
	case faultRestart:
		e.crashed, e.frozen = false, false
	case faultFreeze:
		e.frozen = !e.crashed
	case faultClose:
		for _, s := range sortedStreams(e) {
			w.closeLink(s.link)
		}
	case faultReconnect:
		w.connect(c, c.core, pick%2 == 0)
	case faultSwitchInstance:
		w.connect(c, 1-c.core, pick%2 == 0)
	case faultDisconnect:
		w.step(c.core, CallerDisconnected{Conn: c.conn, Reason: reason.CallerGone})
		w.connect(c, pick%2, pick%3 == 0)
	default:
		w.injectChunkFault(f, pick)
	}
}

// injectChunkFault applies a fault to chunks in flight.
func (w *simulation) injectChunkFault(f fault, pick int) {
	w.now += time.Millisecond
	for _, e := range w.engines {
		if !e.crashed && !e.frozen {
			for _, s := range sortedStreams(e) {
				w.generate(e, s)
			}
		}
	}
	var busy []*simLink
	for _, l := range w.links {
		if !l.closed && len(l.chunks) > 0 {
			busy = append(busy, l)
		}
	}
	if len(busy) == 0 {
		return
	}
	l := busy[pick%len(busy)]
	switch f {
	case faultDuplicate:
		l.chunks = append(l.chunks, l.chunks[0])
	case faultDrop:
		l.chunks = l.chunks[1:]
	case faultMisroute:
		to := busy[(pick+1)%len(busy)]
		to.chunks = append([]Chunk{l.chunks[0]}, to.chunks...)
	case faultStaleAttempt:
		stale := l.chunks[0]
		stale.Attempt--
		stale.Token++
		l.chunks = append([]Chunk{stale}, l.chunks...)
	}
}

// runRandomFaults runs random faults against callers and checks the oracle.
func runRandomFaults(rt *rapid.T, o CoreOptions, faults []fault, stream bool) error {
	w := newSimulation(rt, o)
	for range rapid.IntRange(1, 3).Draw(rt, "callers") {
		w.addCaller(stream, rapid.IntRange(5, 40).Draw(rt, "max tokens"))
	}
	steps := rapid.IntRange(1, 40).Draw(rt, "steps")
	for range steps {
		if w.violation != nil {
			return w.violation
		}
		w.advance(time.Duration(rapid.IntRange(1, 300).Draw(rt, "ms")) * time.Millisecond)
		if rapid.IntRange(0, 2).Draw(rt, "fault due") == 0 {
			w.injectFault(rapid.SampledFrom(faults).Draw(rt, "fault"), rapid.IntRange(0, 5).Draw(rt, "pick"))
		}
	}
	return w.recoverAndFinish()
}

// checkDetectsMutation checks the property on the real core in both recovery modes, and
// that it rejects the named wrong variant.
func checkDetectsMutation(t *testing.T, broken mutation, property func(*rapid.T, CoreOptions) error) {
	t.Helper()
	mode := rapid.SampledFrom([]string{RecoveryEager, RecoverySparing})
	rapid.Check(t, func(rt *rapid.T) {
		if err := property(rt, CoreOptions{Recovery: mode.Draw(rt, "mode")}); err != nil {
			rt.Fatal(err)
		}
	})
	found := false
	rapid.Check(t, func(rt *rapid.T) {
		err := property(rt, CoreOptions{Recovery: mode.Draw(rt, "mode"), mutation: broken})
		found = found || err != nil
	})
	if !found {
		t.Errorf("the property does not catch %s", broken)
	}
}

// TestNoTokenMissingOrRepeated guards against gaps and repeats after
// duplicated and dropped chunks and lost engines.
func TestNoTokenMissingOrRepeated(t *testing.T) {
	checkDetectsMutation(t, skipPositionCheck, func(rt *rapid.T, o CoreOptions) error {
		return runRandomFaults(rt, o, append(engineFaults, faultDuplicate, faultDrop), rapid.Bool().Draw(rt, "stream"))
	})
}

// TestForeignChunksAreDropped guards against tokens of other requests and of
// stale attempts in an answer.
func TestForeignChunksAreDropped(t *testing.T) {
	checkDetectsMutation(t, skipIdentityCheck, func(rt *rapid.T, o CoreOptions) error {
		return runRandomFaults(rt, o, append(engineFaults, faultMisroute, faultStaleAttempt), rapid.Bool().Draw(rt, "stream"))
	})
}

// TestHedgesAreNotMixed guards against two attempts that both deliver.
func TestHedgesAreNotMixed(t *testing.T) {
	checkDetectsMutation(t, keepHedgeLosers, func(rt *rapid.T, o CoreOptions) error {
		return runRandomFaults(rt, o, []fault{faultFreeze, faultRestart}, true)
	})
}

// TestStreamedAnswersAreNotRestarted guards against a continuation that does
// not start from the prefix that the caller has.
func TestStreamedAnswersAreNotRestarted(t *testing.T) {
	checkDetectsMutation(t, restartStreamed, func(rt *rapid.T, o CoreOptions) error {
		return runRandomFaults(rt, o, engineFaults, true)
	})
}

// TestResumeKeepsOneGeneration guards against mixing a regenerated answer that
// differs with the tokens that the caller has.
func TestResumeKeepsOneGeneration(t *testing.T) {
	checkDetectsMutation(t, skipPrefixCheck, func(rt *rapid.T, o CoreOptions) error {
		return runRandomFaults(rt, o, append(engineFaults, faultSwitchInstance, faultDisconnect), true)
	})
}

// TestNewerConnectionWins guards against a caller that reconnects and gets
// nothing, and against an older connection that goes on.
func TestNewerConnectionWins(t *testing.T) {
	checkDetectsMutation(t, ignoreNewerConnection, func(rt *rapid.T, o CoreOptions) error {
		return runRandomFaults(rt, o, []fault{faultReconnect, faultSwitchInstance, faultClose}, true)
	})
}

// TestNotRunStatusIsCorrect guards against telling a caller that a request was not run
// although an engine accepted it. The status is about what was sent for the
// caller's connection; an instance cannot know what another one sent.
func TestNotRunStatusIsCorrect(t *testing.T) {
	checkDetectsMutation(t, alwaysRunNo, func(rt *rapid.T, o CoreOptions) error {
		return runRandomFaults(rt, o, append(engineFaults, faultSwitchInstance, faultDisconnect), rapid.Bool().Draw(rt, "stream"))
	})
}

// TestGrantsAreReleasedOnce guards against endpoints that fill up with places
// nobody uses.
func TestGrantsAreReleasedOnce(t *testing.T) {
	checkDetectsMutation(t, leakGrants, func(rt *rapid.T, o CoreOptions) error {
		return runRandomFaults(rt, o, engineFaults, true)
	})
}

// TestBaselinesKeepTheInvariants guards against baselines that look cheap
// because they deliver wrong answers.
func TestBaselinesKeepTheInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o := CoreOptions{Recovery: RecoverySparing}
		o.Baseline = rapid.SampledFrom([]string{BaselineStartOver, BaselineFixedTimeout}).Draw(rt, "baseline")
		if err := runRandomFaults(rt, o, append(engineFaults, faultSwitchInstance, faultDisconnect), rapid.Bool().Draw(rt, "stream")); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestSilenceIsNoticed guards against an answer that waits for ever on a
// connection which is open but silent.
func TestSilenceIsNoticed(t *testing.T) {
	checkDetectsMutation(t, ignoreSilence, func(rt *rapid.T, o CoreOptions) error {
		w := newSimulation(rt, o)
		w.addCaller(true, 20)
		for range rapid.IntRange(1, 10).Draw(rt, "before") {
			w.advance(20 * time.Millisecond)
		}
		for _, e := range w.engines {
			e.frozen = len(e.streams) > 0
		}
		for range 300 {
			w.advance(20 * time.Millisecond)
		}
		if !w.callers[0].finished {
			return errWaitsOnSilence
		}
		return w.violation
	})
}

// TestDeadlineEndsEveryAnswer guards against answers that outlive their
// deadline when no engine is left.
func TestDeadlineEndsEveryAnswer(t *testing.T) {
	checkDetectsMutation(t, ignoreDeadline, func(rt *rapid.T, o CoreOptions) error {
		w := newSimulation(rt, o)
		c := w.addCaller(rapid.Bool().Draw(rt, "stream"), 20)
		w.cores[0].live[c.request.Generation].request.Deadline = w.now + time.Second
		for i := range 3 {
			w.injectFault(faultFreeze, i)
		}
		for range 60 {
			w.advance(20 * time.Millisecond)
		}
		if !c.finished || c.err == nil || c.err.Reason != reason.DeadlineExceeded {
			return errPastDeadline
		}
		return w.violation
	})
}

// TestRecoveryFollowsPriority guards against drafts that recover before people
// who watch, and against more continuations at once than the pace allows.
func TestRecoveryFollowsPriority(t *testing.T) {
	checkDetectsMutation(t, ignorePriority, func(rt *rapid.T, o CoreOptions) error {
		o.Recovery = RecoveryEager
		c := NewCore(o)
		count := rapid.IntRange(recoveryBurst+5, 3*recoveryBurst).Draw(rt, "streams")
		priority := make(map[string]api.Priority)
		for i := range count {
			r := &Request{Generation: string(rune('a' + i)), MaxTokens: 9, Deadline: time.Hour, Stream: true}
			r.Priority = api.Priority(rapid.IntRange(2, 3).Draw(rt, "priority"))
			priority[r.Generation] = r.Priority
			c.Step(0, CallerConnected{Conn: uint64(i + 1), Request: r})
			c.Step(0, PlacementGranted{Generation: r.Generation, Attempt: 1, Grant: api.Grant{ID: uint64(i + 1), Endpoint: api.Endpoint{ID: "e"}}})
		}
		c.Step(0, StreamClosed{Generation: "a", Attempt: 1})
		placed := []api.Priority{}
		for now := time.Duration(0); now < time.Second; now += 10 * time.Millisecond {
			ev := Event(Tick{})
			if now == 0 {
				ev = ProbeFinished{Endpoint: "e", Refused: true}
			}
			atOnce := 0
			for _, action := range c.Step(now, ev) {
				if p, ok := action.(RequestPlacement); ok {
					placed = append(placed, priority[p.Generation])
					atOnce++
				}
			}
			if atOnce > recoveryBurst {
				return errRecoveryOrder
			}
		}
		for i := 1; i < len(placed); i++ {
			if placed[i] < placed[i-1] {
				return errRecoveryOrder
			}
		}
		if len(placed) != count {
			return errRecoveryOrder
		}
		return nil
	})
}

var (
	errWaitsOnSilence = Error.New("the answer waits on silent engines")
	errPastDeadline   = Error.New("the answer did not end at its deadline")
	errRecoveryOrder  = Error.New("continuations are out of order or out of pace")
)
