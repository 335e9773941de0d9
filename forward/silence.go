package forward

import "time"

const (
	// firstProbeDelay is how long a running stream may be silent before its
	// engine is probed. A probe opens a new connection to the engine. Engines
	// send an event every 30 to 60 ms; prefilling a chunk of another request
	// between two events takes up to a second.
	firstProbeDelay = 220 * time.Millisecond
	// probeTimeout bounds a probe. A round trip between regions takes 16 ms.
	probeTimeout = 150 * time.Millisecond
	// probeInterval is the interval between two probes of the same stall.
	probeInterval = 200 * time.Millisecond
	// backupFailoverShare is the share of the route's target event gap after
	// which a stream with a backup fails over although its engine accepts
	// connections.
	backupFailoverShare = 0.75
	// noBackupFailoverShare is the share of the target latency after which a
	// stream without a backup fails over although its engine accepts
	// connections, or the time allowed with a backup if that is longer. Another
	// engine would have to prefill the prompt again, which takes longer than
	// the pauses of a busy engine.
	noBackupFailoverShare = 0.5
	// defaultTargetEventGap applies to a route without a target event gap.
	defaultTargetEventGap = time.Second
	// firstEventFailoverShare is the share of the target latency that an engine
	// gets for the first event before the request fails over although the
	// engine accepts connections. A busy engine prefills several prompts in
	// sequence, and a failover repeats the prefill, so only a hung engine
	// should exceed this limit.
	firstEventFailoverShare = 1.3
	// defaultTargetLatency applies to a route without a target latency.
	defaultTargetLatency = 5 * time.Second
	// prefillProbeInterval is the delay before the first probe and the interval
	// between probes while no event has been received.
	prefillProbeInterval = 300 * time.Millisecond
	// failoverCheckInterval is the interval between two checks whether a
	// stream whose engine is silent may continue at another engine. A check may
	// query the load of engines.
	failoverCheckInterval = 250 * time.Millisecond
)

// stallAction is what the handler does about a silent engine.
type stallAction int

const (
	actionWait stallAction = iota
	actionProbe
	actionFailOver
)

// stallDetector decides when a silent engine is probed and when its stream
// fails over. A stream stalls when its engine sends nothing (is silent). The
// detector reads no clock; callers pass the current time.
type stallDetector struct {
	targetEventGap time.Duration // target for the gap between two events
	targetLatency  time.Duration // target for the first event
	prefilled      bool          // the engine has sent an event or holds a backup
	hasBackup      bool          // another engine keeps a backup of the attempt
	silentSince    time.Duration // time of the last event, or the start of the attempt
	lastProbe      time.Duration // time of the last probe since then; 0 is none
	// postponedUntil is the time before which a failover that was not possible
	// is not attempted again; 0 is none since silentSince.
	postponedUntil time.Duration
	// pendingHandled is true once messages that arrived during the stall were
	// handled before the failover.
	pendingHandled bool
}

// recordEvent resets the detector after an event.
func (d *stallDetector) recordEvent(now time.Duration) {
	d.prefilled = true
	d.silentSince = now
	d.lastProbe = 0
	d.postponedUntil = 0
	d.pendingHandled = false
}

// postponeFailover delays the next action, because the stream cannot fail over
// now. It reports whether this is the first time in the stall.
func (d *stallDetector) postponeFailover(now time.Duration) bool {
	first := d.postponedUntil == 0
	d.postponedUntil = now + failoverCheckInterval
	return first
}

// nextAction returns the action due now and the time of the next check.
func (d *stallDetector) nextAction(now time.Duration) (stallAction, time.Duration) {
	probeAt, failoverAt, interval := d.silentSince+firstProbeDelay, d.silentSince+d.failoverDelay(), probeInterval
	if !d.prefilled {
		probeAt, interval = d.silentSince+prefillProbeInterval, prefillProbeInterval
	}
	if d.lastProbe != 0 {
		probeAt = d.lastProbe + interval
	}
	switch {
	case now < d.postponedUntil:
		return actionWait, d.postponedUntil
	case now >= failoverAt:
		return actionFailOver, failoverAt
	case now >= probeAt:
		d.lastProbe = now
		return actionProbe, min(failoverAt, now+interval)
	}
	return actionWait, min(failoverAt, probeAt)
}

// failoverDelay returns how long the engine may be silent before the stream
// fails over.
func (d *stallDetector) failoverDelay() time.Duration {
	switch {
	case d.prefilled && d.hasBackup:
		return shareOf(d.targetEventGap, backupFailoverShare, defaultTargetEventGap)
	case d.prefilled:
		return max(shareOf(d.targetEventGap, backupFailoverShare, defaultTargetEventGap), shareOf(d.targetLatency, noBackupFailoverShare, defaultTargetLatency))
	}
	return shareOf(d.targetLatency, firstEventFailoverShare, defaultTargetLatency)
}

func shareOf(target time.Duration, share float64, defaultTarget time.Duration) time.Duration {
	if target <= 0 {
		target = defaultTarget
	}
	return time.Duration(float64(target) * share)
}
