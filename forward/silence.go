package forward

import "time"

const (
	// firstProbe is the silence of a running stream after which its engine is
	// probed by a new connection. Engines send an event every 30 to 60 ms; the
	// prompt of another request takes up to a second in chunks between them.
	firstProbe = 220 * time.Millisecond
	// probeTimeout bounds a probe. A round trip between regions takes 16 ms.
	probeTimeout = 150 * time.Millisecond
	// probeInterval is the pause between two probes during one silence.
	probeInterval = 200 * time.Millisecond
	// gapShare is the part of the longest pause on time after which a stream
	// moves although its engine takes connections.
	gapShare = 0.75
	// rereadShare is the part of the target latency after which a stream without a
	// copy moves although its engine takes connections. Another engine would read
	// the prompt again, which takes longer than the pauses of a busy engine.
	rereadShare = 0.5
	// defaultGap applies to a route without a target for the pause.
	defaultGap = time.Second
	// firstEventShare is the part of the target latency that an engine gets for
	// the first event before the request moves although the engine takes
	// connections. A busy engine reads several prompts one after the other, and
	// moving reads the prompt again, so only a hung engine is left.
	firstEventShare = 1.3
	// defaultFirstEvent applies to a route without a target latency.
	defaultFirstEvent = 5 * time.Second
	// prefillProbe is the interval of the probes before the first event.
	prefillProbe = 300 * time.Millisecond
)

// verdict is what a silence calls for.
type verdict int

const (
	verdictWait verdict = iota
	verdictProbe
	verdictMove
)

// silence decides how long a quiet engine is waited for. It has no clock.
type silence struct {
	gap        time.Duration // longest pause that is on time
	firstEvent time.Duration // target for the first event
	started    bool          // an event has arrived from this engine
	hasCopy    bool          // another engine keeps a copy of the run
	since      time.Duration // last event, or the start of the run
	probed     time.Duration // last probe; 0 is none in this silence
}

// heard starts the silence anew.
func (s *silence) heard(now time.Duration) {
	s.started = true
	s.since = now
	s.probed = 0
}

// next returns what the silence calls for now and when to look again.
func (s *silence) next(now time.Duration) (verdict, time.Duration) {
	probeAt, moveAt, interval := s.since+firstProbe, s.since+s.moveAfter(), probeInterval
	if !s.started {
		probeAt, interval = s.since+prefillProbe, prefillProbe
	}
	if s.probed != 0 {
		probeAt = s.probed + interval
	}
	switch {
	case now >= moveAt:
		return verdictMove, moveAt
	case now >= probeAt:
		s.probed = now
		return verdictProbe, min(moveAt, now+interval)
	}
	return verdictWait, min(moveAt, probeAt)
}

func (s *silence) moveAfter() time.Duration {
	switch {
	case s.started && s.hasCopy:
		return share(s.gap, gapShare, defaultGap)
	case s.started:
		return max(share(s.gap, gapShare, defaultGap), share(s.firstEvent, rereadShare, defaultFirstEvent))
	}
	return share(s.firstEvent, firstEventShare, defaultFirstEvent)
}

func share(target time.Duration, part float64, otherwise time.Duration) time.Duration {
	if target <= 0 {
		target = otherwise
	}
	return time.Duration(float64(target) * part)
}
