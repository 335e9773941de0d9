package generation

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// minSilence and maxSilence clamp the bound between tokens.
	minSilence = 150 * time.Millisecond
	maxSilence = time.Second
	// deviations is how many mean deviations above the mean gap are normal.
	deviations = 6
	// gapWeight is the share of a new gap in the mean, deviationWeight that in
	// the deviation, as in TCP's retransmission timer.
	gapWeight       = 8
	deviationWeight = 4
	// peakPercent of the longest recent gap are normal too; the peak is
	// forgotten by 1/peakDecay at each token. Without it, gaps with a long tail
	// cause a false suspicion, and a prefill, about once in 1,000 tokens.
	peakPercent = 150
	peakDecay   = 16384

	// firstTokenBase, firstTokenPerByte and firstTokenPerRunning make up the
	// wait for a first token: a fixed part, the prefill (about 6,000 tokens of
	// 4 bytes per second) and the queue.
	firstTokenBase       = 800 * time.Millisecond
	firstTokenPerByte    = 40 * time.Microsecond
	firstTokenPerRunning = 25 * time.Millisecond
	maxFirstToken        = 30 * time.Second
	// tokenBytes is the prefill of one prefix token in bytes of prompt.
	tokenBytes = 4
	// reattachSlack is what a reattachment may take beyond the bound.
	reattachSlack = 100 * time.Millisecond
	// fixedTimeout is the silence of the baseline fixed_timeout.
	fixedTimeout = 5 * time.Second
	// giveUpSilence ends a suspected attempt that stays silent.
	giveUpSilence = 10 * time.Second
	// incidentWindow is how long a lost stream counts as running on its engine
	// when the engine's death is found out.
	incidentWindow = 2 * time.Second
)

// gaps follows the time between the tokens of one engine.
type gaps struct {
	mean, deviation, peak time.Duration
}

func (s *gaps) add(gap time.Duration) {
	s.peak = max(gap, s.peak-s.peak/peakDecay)
	if s.mean == 0 {
		s.mean = gap
		s.deviation = gap / 2
		return
	}
	difference := gap - s.mean
	s.mean += difference / gapWeight
	s.deviation += (difference.Abs() - s.deviation) / deviationWeight
}

func (s *gaps) bound() time.Duration {
	if s.mean == 0 {
		return maxSilence
	}
	return min(max(s.mean+deviations*s.deviation, s.peak*peakPercent/100, minSilence), maxSilence)
}

// endpointState is what the core knows of one engine.
type endpointState struct {
	gaps
	running int
	suspect bool
	probing bool
	last    api.Endpoint // as last configured
	// lost has the content of streams that broke a short time ago.
	lost []lostContent
}

type lostContent struct {
	at     time.Duration
	digest api.Digest
}

func (c *Core) endpointOf(a *attempt) *endpointState {
	s := c.endpoints[a.endpoint.ID]
	if s == nil {
		s = &endpointState{}
		c.endpoints[a.endpoint.ID] = s
	}
	s.last = a.endpoint
	return s
}

// bound returns how long the attempt may be silent.
func (c *Core) bound(g *generation, a *attempt) time.Duration {
	if c.o.Baseline == BaselineFixedTimeout {
		return fixedTimeout
	}
	s := c.endpointOf(a)
	if a.gotChunk {
		return min(s.bound()<<min(g.patience, 3), maxSilence)
	}
	if !a.opened {
		return s.bound() + reattachSlack
	}
	input := len(g.request.Prompt) + tokenBytes*a.next
	bound := firstTokenBase + time.Duration(input)*firstTokenPerByte + time.Duration(s.running)*firstTokenPerRunning
	return min(bound<<min(g.patience, 5), maxFirstToken)
}

func (c *Core) checkSilence(now time.Duration, g *generation) {
	if c.o.variant == ignoreSilence {
		return
	}
	for _, a := range append([]*attempt(nil), g.attempts...) {
		if g.done || a.placing || g.find(a.number) == nil {
			continue
		}
		silent := now - a.lastAt
		switch {
		case a.suspected && silent >= giveUpSilence:
			c.lose(now, g, a, api.OutcomeSuspected, reason.AttemptSuspect, true)
		case !a.suspected && silent >= c.bound(g, a):
			c.onSilence(now, g, a)
		}
	}
}

// onSilence suspects the engine. Eager recovery starts a second attempt and
// keeps this one; sparing recovery probes first.
func (c *Core) onSilence(now time.Duration, g *generation, a *attempt) {
	a.suspected = true
	c.note(g, a, "silent", reason.EngineSilent)
	c.suspect(a)
	if g.lostAt == 0 {
		g.lostAt = a.lastAt
	}
	switch {
	case c.o.Baseline != "":
		c.lose(now, g, a, api.OutcomeSuspected, reason.EngineSilent, true)
	case c.o.Recovery == RecoveryEager:
		c.probe(a)
		if !g.healthy(a) {
			c.enqueue(now, g)
		}
	case a.reattaches >= maxReattaches:
		c.lose(now, g, a, api.OutcomeSuspected, reason.EngineSilent, true)
	default:
		c.probe(a)
	}
}

func (c *Core) suspect(a *attempt) {
	s := c.endpointOf(a)
	if !s.suspect {
		s.suspect = true
		c.do(Suspect{Endpoint: a.endpoint})
	}
}

func (c *Core) probe(a *attempt) {
	s := c.endpointOf(a)
	if !s.probing {
		s.probing = true
		c.do(Probe{Endpoint: a.endpoint})
	}
}

func (c *Core) onProbed(now time.Duration, ev Probed) {
	s := c.endpoints[ev.Endpoint]
	if s == nil {
		return
	}
	s.probing = false
	if ev.Refused {
		c.died(now, ev.Endpoint, s)
	}
	c.verdict(ev.Endpoint)
	if ev.Refused {
		return
	}
	for _, g := range append([]*generation(nil), c.order...) {
		for _, a := range append([]*attempt(nil), g.attempts...) {
			if g.done || a.placing || a.endpoint.ID != ev.Endpoint || !a.suspected || c.o.Recovery == RecoveryEager {
				continue
			}
			if ev.Alive {
				c.reattach(now, g, a)
			} else {
				c.lose(now, g, a, api.OutcomeDied, reason.EngineSilent, true)
			}
		}
	}
}

// died handles an engine that refuses connections: every stream on it is lost,
// and what it was running comes under suspicion.
func (c *Core) died(now time.Duration, id api.EndpointID, s *endpointState) {
	var running []api.Digest
	for _, lost := range s.lost {
		if now-lost.at <= incidentWindow {
			running = append(running, lost.digest)
		}
	}
	s.lost = nil
	for _, g := range append([]*generation(nil), c.order...) {
		for _, a := range append([]*attempt(nil), g.attempts...) {
			if g.done || a.placing || a.endpoint.ID != id {
				continue
			}
			if a.opened || a.gotChunk {
				running = append(running, g.request.Digest)
			}
			c.lose(now, g, a, api.OutcomeDied, reason.EngineClosed, false)
		}
	}
	s.lost = nil
	if len(running) > 0 {
		c.do(Died{Endpoint: s.last, Running: running})
	}
}
