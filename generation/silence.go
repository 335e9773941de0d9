package generation

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// minIdleTimeout and maxIdleTimeout bound the timeout between two tokens.
	minIdleTimeout = 150 * time.Millisecond
	maxIdleTimeout = time.Second
	// deviationFactor is how many mean deviations above the mean gap the timeout
	// allows.
	deviationFactor = 6
	// meanGainDivisor and deviationGainDivisor are the inverse weights of a new gap
	// in the moving averages, as in TCP's retransmission timer.
	meanGainDivisor      = 8
	deviationGainDivisor = 4
	// The timeout is at least peakTimeoutPercent of the longest recent gap. This
	// peak decays by 1/peakDecayDivisor with each token. Without this lower bound,
	// engines whose gaps have a long tail are falsely suspected about once in 1,000
	// tokens, and each false suspicion costs a prefill.
	peakTimeoutPercent = 150
	peakDecayDivisor   = 16384

	// firstTokenBaseTimeout, firstTokenPerPromptByte and
	// firstTokenPerRunningStream add up to the timeout of the first token: a fixed
	// part, the prefill (about 6,000 tokens of 4 bytes per second) and the queue.
	firstTokenBaseTimeout      = 800 * time.Millisecond
	firstTokenPerPromptByte    = 40 * time.Microsecond
	firstTokenPerRunningStream = 25 * time.Millisecond
	maxFirstTokenTimeout       = 30 * time.Second
	// promptBytesPerPrefixToken is how many prompt bytes take as long to prefill as
	// one prefix token.
	promptBytesPerPrefixToken = 4
	// reattachAllowance is added to the timeout for the first token after a
	// reattachment.
	reattachAllowance = 100 * time.Millisecond
	// fixedIdleTimeout is the timeout of the baseline fixed_timeout.
	fixedIdleTimeout = 5 * time.Second
	// suspectedAttemptTimeout is the silence after which a suspected attempt fails.
	suspectedAttemptTimeout = 10 * time.Second
	// crashAttributionWindow: content whose stream was interrupted at most this
	// long before its engine is found crashed counts as running during the crash.
	crashAttributionWindow = 2 * time.Second
	// maxTimeoutDoublings and maxFirstTokenTimeoutDoublings bound how often false
	// suspicions double the timeouts.
	maxTimeoutDoublings           = 3
	maxFirstTokenTimeoutDoublings = 5
)

// gapEstimator estimates the time between the tokens of one engine.
type gapEstimator struct {
	mean, deviation, peak time.Duration
}

func (s *gapEstimator) observe(gap time.Duration) {
	s.peak = max(gap, s.peak-s.peak/peakDecayDivisor)
	if s.mean == 0 {
		s.mean = gap
		s.deviation = gap / 2
		return
	}
	difference := gap - s.mean
	s.mean += difference / meanGainDivisor
	s.deviation += (difference.Abs() - s.deviation) / deviationGainDivisor
}

// tokenTimeout returns how long the engine may take for its next token.
func (s *gapEstimator) tokenTimeout() time.Duration {
	if s.mean == 0 {
		return maxIdleTimeout
	}
	return min(max(s.mean+deviationFactor*s.deviation, s.peak*peakTimeoutPercent/100, minIdleTimeout), maxIdleTimeout)
}

// endpointState is the state of one engine.
type endpointState struct {
	gapEstimator
	openStreams int // of this instance
	suspected   bool
	probing     bool         // a probe is in progress
	endpoint    api.Endpoint // of the latest attempt
	// interrupted is the content of recently interrupted streams, oldest first.
	interrupted []interruptedContent
}

type interruptedContent struct {
	at     time.Duration
	digest api.Digest
}

func (c *Core) endpointOf(a *attempt) *endpointState {
	s := c.endpoints[a.endpoint.ID]
	if s == nil {
		s = &endpointState{}
		c.endpoints[a.endpoint.ID] = s
	}
	s.endpoint = a.endpoint
	return s
}

// attemptIdleTimeout returns how long the attempt may receive no chunk before its
// engine is suspected.
func (c *Core) attemptIdleTimeout(g *generation, a *attempt) time.Duration {
	if c.o.Baseline == BaselineFixedTimeout {
		return fixedIdleTimeout
	}
	s := c.endpointOf(a)
	if a.receivedChunk {
		return min(s.tokenTimeout()<<min(g.falseSuspicions, maxTimeoutDoublings), maxIdleTimeout)
	}
	if !a.newStream {
		return s.tokenTimeout() + reattachAllowance
	}
	input := len(g.request.Prompt) + promptBytesPerPrefixToken*a.nextPosition
	timeout := firstTokenBaseTimeout + time.Duration(input)*firstTokenPerPromptByte + time.Duration(s.openStreams)*firstTokenPerRunningStream
	return min(timeout<<min(g.falseSuspicions, maxFirstTokenTimeoutDoublings), maxFirstTokenTimeout)
}

func (c *Core) checkSilence(now time.Duration, g *generation) {
	if c.o.mutation == ignoreSilence {
		return
	}
	for _, a := range append([]*attempt(nil), g.attempts...) {
		if g.done || a.placing || g.attemptByNumber(a.number) == nil {
			continue
		}
		silent := now - a.lastActivityAt
		switch {
		case a.suspected && silent >= suspectedAttemptTimeout:
			c.failAttempt(now, g, a, api.OutcomeSuspected, reason.AttemptSuspect, true)
		case !a.suspected && silent >= c.attemptIdleTimeout(g, a):
			c.onSilence(now, g, a)
		}
	}
}

// onSilence puts the engine under suspicion and probes it. Eager recovery also
// starts a second attempt and keeps this one; sparing recovery acts on the result
// of the probe. The attempt fails at once with a baseline, or with sparing
// recovery when it has used up its reattachments.
func (c *Core) onSilence(now time.Duration, g *generation, a *attempt) {
	a.suspected = true
	c.recordStep(g, a, "silent", reason.EngineSilent)
	c.markSuspect(a)
	if g.interruptedAt == 0 {
		g.interruptedAt = a.lastActivityAt
	}
	switch {
	case c.o.Baseline != "":
		c.failAttempt(now, g, a, api.OutcomeSuspected, reason.EngineSilent, true)
	case c.o.Recovery == RecoveryEager:
		c.probeEndpoint(a)
		if !g.hasHealthyAttempt(a) {
			c.enqueueContinuation(now, g)
		}
	case a.reattaches >= maxReattachesWithoutToken:
		c.failAttempt(now, g, a, api.OutcomeSuspected, reason.EngineSilent, true)
	default:
		c.probeEndpoint(a)
	}
}

func (c *Core) markSuspect(a *attempt) {
	s := c.endpointOf(a)
	if !s.suspected {
		s.suspected = true
		c.emit(MarkSuspect{Endpoint: a.endpoint})
	}
}

func (c *Core) probeEndpoint(a *attempt) {
	s := c.endpointOf(a)
	if !s.probing {
		s.probing = true
		c.emit(ProbeEndpoint{Endpoint: a.endpoint})
	}
}

func (c *Core) onProbeFinished(now time.Duration, ev ProbeFinished) {
	s := c.endpoints[ev.Endpoint]
	if s == nil {
		return
	}
	s.probing = false
	if ev.Crashed {
		c.onEndpointCrashed(now, ev.Endpoint, s)
	}
	c.releaseAwaitingProbe(ev.Endpoint)
	if ev.Crashed {
		return
	}
	for _, g := range append([]*generation(nil), c.generations...) {
		for _, a := range append([]*attempt(nil), g.attempts...) {
			if g.done || a.placing || a.endpoint.ID != ev.Endpoint || !a.suspected || c.o.Recovery == RecoveryEager {
				continue
			}
			if ev.Alive {
				c.reattachAttempt(now, g, a)
			} else {
				c.failAttempt(now, g, a, api.OutcomeCrashed, reason.EngineSilent, true)
			}
		}
	}
}

// onEndpointCrashed handles an engine that refuses connections. All attempts on
// it fail, and the content that it was running is reported.
func (c *Core) onEndpointCrashed(now time.Duration, id api.EndpointID, s *endpointState) {
	var running []api.Digest
	for _, content := range s.interrupted {
		if now-content.at <= crashAttributionWindow {
			running = append(running, content.digest)
		}
	}
	s.interrupted = nil
	for _, g := range append([]*generation(nil), c.generations...) {
		for _, a := range append([]*attempt(nil), g.attempts...) {
			if g.done || a.placing || a.endpoint.ID != id {
				continue
			}
			if a.opened || a.receivedChunk {
				running = append(running, g.request.Digest)
			}
			c.failAttempt(now, g, a, api.OutcomeCrashed, reason.EngineClosed, false)
		}
	}
	s.interrupted = nil // failAttempt has added the content of the attempts
	if len(running) > 0 {
		c.emit(ReportCrash{Endpoint: s.endpoint, Running: running})
	}
}
