package fleet

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// urgentInterval is the minimum time between two rounds of urgent exchanges.
	urgentInterval = 200 * time.Millisecond
	// urgentRandomPeers is the number of random members that a round reaches besides
	// the ring neighbours. With 330 instances a change reaches all in about five
	// rounds.
	urgentRandomPeers = 3
)

// sendUrgent exchanges with the ring neighbours and some random members if a delta
// source has an urgent change and the last round was long enough ago.
func (c *Core) sendUrgent(now time.Duration) []Action {
	if !c.urgentPending || c.lastUrgentAt != 0 && now-c.lastUrgentAt < urgentInterval {
		return nil
	}
	c.urgentPending = false
	c.lastUrgentAt = now
	targets := c.neighbours()
	for range min(urgentRandomPeers, len(c.ring)) {
		targets = append(targets, c.ring[c.random.IntN(len(c.ring))])
	}
	sent := make(map[api.InstanceID]bool, len(targets))
	var actions []Action
	for _, id := range targets {
		if id == c.self.ID || sent[id] {
			continue
		}
		sent[id] = true
		actions = append(actions, c.exchangeWith(now, c.members[id]))
	}
	return actions
}
