package gateway

import (
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/fleet"
)

// recentTableContact is the age of the last response about the configuration up to which
// no version can be in force that this instance has not read.
const recentTableContact = 1800 * time.Millisecond

// memberHistory is RecentMembers that is safe for concurrent use.
type memberHistory struct {
	mu     sync.Mutex
	recent *fleet.RecentMembers
}

// updateMemberHistory records which other instances are alive.
func (g *Gateway) updateMemberHistory() {
	members := g.knownMembers()
	g.memberHistory.mu.Lock()
	defer g.memberHistory.mu.Unlock()
	g.memberHistory.recent.Update(bootclock.Now(), members)
}

// tableConfirmed reports whether the configuration in use is the newest one as far as the
// fleet knows. That is so with recent contact to the store, and also without it if most
// instances are alive and in contact: this one reads through them, so none of them reaches
// the store. An instance that reaches no majority may be the only one turned away.
func (g *Gateway) tableConfirmed() bool {
	if g.follower.TableContact().Age() < recentTableContact {
		return true
	}
	if g.fleet == nil || !g.fleet.NeighboursInContact() {
		return false
	}
	g.updateMemberHistory()
	g.memberHistory.mu.Lock()
	defer g.memberHistory.mu.Unlock()
	return g.memberHistory.recent.HasMajority()
}
