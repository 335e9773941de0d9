package generation

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// minSilence and maxSilence clamp the bound between tokens.
	minSilenceTimeout = 150 * time.Millisecond
	maxSilenceTimeout = time.Second
	// deviations is how many mean deviations above the mean gap are normal.
	deviationFactor = 6
	// gapWeight is the share of a new gap in the mean, deviationWeight that in
	// the deviation, as in TCP's retransmission timer.
	meanGainDivisor      = 8
	deviationGainDivisor = 4
	// peakPercent of the longest recent gap are normal too; the peak is
	// forgotten by 1/peakDecay at each token. Without it, gaps with a long tail
	// cause a false suspicion, and a prefill, about once in 1,000 tokens.
	peakTimeoutPercent = 150
	peakDecayDivisor   = 16384

	// firstTokenBase, firstTokenPerByte and firstTokenPerRunning make up the
	// wait for a first token: a fixed part, the prefill (about 6,000 tokens of
	// 4 bytes per second) and the queue.
	firstTokenBaseTimeout      = 800 * time.Millisecond
	firstTokenPerPromptByte    = 40 * time.Microsecond
	firstTokenPerRunningStream = 25 * time.Millisecond
	maxFirstTokenTimeout       = 30 * time.Second
	// tokenBytes is the prefill of one prefix token in bytes of prompt.
	promptBytesPerPrefixToken = 4
	// reattachSlack is what a reattachment may take beyond the bound.
	reattachAllowance = 100 * time.Millisecond
	// fixedTimeout is the silence of the baseline fixed_timeout.
	fixedSilenceTimeout = 5 * time.Second
	// giveUpSilence ends a suspected attempt that stays silent.
	suspectedAttemptTimeout = 10 * time.Second
	// incidentWindow is how long a lost stream counts as running on its engine
	// when the engine's death is found out.
	crashAttributionWindow = 2 * time.Second
)

// gaps follows the time between the tokens of one engine.
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

func (s *gapEstimator) silenceTimeout() time.Duration {
	if s.mean == 0 {
		return maxSilenceTimeout
	}
	return min(max(s.mean+deviationFactor*s.deviation, s.peak*peakTimeoutPercent/100, minSilenceTimeout), maxSilenceTimeout)
}

// endpointState is what the core knows of one engine.
type endpointState struct {
	gapEstimator
	running   int
	suspected bool
	probing   bool
	endpoint  api.Endpoint // as last configured
	// lost has the content of streams that broke a short time ago.
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

// bound returns how long the attempt may be silent.
func (c *Core) silenceTimeout(g *generation, a *attempt) time.Duration {
	if c.o.Baseline == BaselineFixedTimeout {
		return fixedSilenceTimeout
	}
	s := c.endpointOf(a)
	if a.receivedChunk {
		return min(s.silenceTimeout()<<min(g.falseSuspicions, 3), maxSilenceTimeout)
	}
	if !a.opened {
		return s.silenceTimeout() + reattachAllowance
	}
	input := len(g.request.Prompt) + promptBytesPerPrefixToken*a.nextPosition
	timeout := firstTokenBaseTimeout + time.Duration(input)*firstTokenPerPromptByte + time.Duration(s.running)*firstTokenPerRunningStream
	return min(timeout<<min(g.falseSuspicions, 5), maxFirstTokenTimeout)
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
		case !a.suspected && silent >= c.silenceTimeout(g, a):
			c.onSilence(now, g, a)
		}
	}
}

// onSilence suspects the engine. Eager recovery starts a second attempt and
// keeps this one; sparing recovery probes first.
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
	if ev.Refused {
		c.onEndpointCrashed(now, ev.Endpoint, s)
	}
	c.resumeAfterProbe(ev.Endpoint)
	if ev.Refused {
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
				c.failAttempt(now, g, a, api.OutcomeDied, reason.EngineSilent, true)
			}
		}
	}
}

// died handles an engine that refuses connections: every stream on it is lost,
// and what it was running comes under suspicion.
func (c *Core) onEndpointCrashed(now time.Duration, id api.EndpointID, s *endpointState) {
	var running []api.Digest
	for _, lost := range s.interrupted {
		if now-lost.at <= crashAttributionWindow {
			running = append(running, lost.digest)
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
			c.failAttempt(now, g, a, api.OutcomeDied, reason.EngineClosed, false)
		}
	}
	s.interrupted = nil
	if len(running) > 0 {
		c.emit(ReportCrash{Endpoint: s.endpoint, Running: running})
	}
}
