package quarantine

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer"
)

const (
	// trialDelay is the time from the last crash with content to its first trial.
	// Crashed engines are back then.
	trialDelay = 3 * time.Second
	// trialStagger is the time by which each instance waits longer than the one before
	// it, so that they do not all begin a trial at once. A record reaches the others
	// within this time.
	trialStagger = 200 * time.Millisecond
	// trialInterval is the time between two trials, so that tied requests do not meet
	// again at an engine.
	trialInterval = 2 * time.Second
	// repeatedTrialInterval is the time between two trials of the same part.
	repeatedTrialInterval = 10 * time.Second
)

// StartTrial reports whether a request that is refused may be sent to one engine, and
// records that it is. Only tied requests may: the first that an engine serves is
// harmless, and one that crashes an engine has been in more crashes than the others.
// There is one trial at a time in the fleet. rank is the number of instances that may
// begin a trial before this one.
func (c *Core) StartTrial(now time.Duration, a Assessment, rank int) bool {
	if !a.Tied || !c.trialDue(now, a.part, rank) {
		return false
	}
	c.recordTried(now, a.part)
	return true
}

func (c *Core) trialDue(now time.Duration, part Part, rank int) bool {
	crashes := c.byPart[part]
	if len(crashes) == 0 {
		return false
	}
	due := crashes[len(crashes)-1].at + trialDelay
	for other, tried := range c.tried {
		interval := trialInterval
		if other == part {
			interval = repeatedTrialInterval
		}
		due = max(due, tried.at+interval)
	}
	return now >= due+time.Duration(rank)*trialStagger
}

// recordTried records a trial. It reports whether the trial was not known.
func (c *Core) recordTried(at time.Duration, part Part) (added bool) {
	if known := c.tried[part]; known != nil && at <= known.at+sameCrashTolerance {
		return false
	}
	tried := &partRecord{at: at, sendsLeft: gossipSends}
	c.tried[part] = tried
	c.unsentTried[part] = tried
	return true
}

// trialKey is the key of the order in which instances begin trials. It is the same for
// all parts, so that tied ones are not tried at the same time.
const trialKey = "trial"

// trialRank returns the number of live instances that may begin a trial before this
// one. Instances that know the same members agree on the order.
func trialRank(self api.InstanceID, members []api.Member) int {
	own, rank := peer.Score(trialKey, self), 0
	for _, m := range members {
		if m.ID != self && m.State == api.MemberAlive && peer.Score(trialKey, m.ID) < own {
			rank++
		}
	}
	return rank
}
