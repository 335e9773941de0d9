package fleet

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// RecentLifetime is how long an instance that is no longer alive counts among the recent
// ones. Regions can lose each other for minutes.
const RecentLifetime = 10 * time.Minute

// RecentMembers knows which other instances were alive lately, so that a minority that is
// cut off from the rest can tell that it is one. It has no clock and is not safe for
// concurrent use.
type RecentMembers struct {
	self      api.InstanceID
	interval  time.Duration
	updated   bool
	updatedAt time.Duration
	aliveAt   map[api.InstanceID]time.Duration
}

// NewRecentMembers returns RecentMembers of the instance self, which knows no others and is
// updated at most once each interval.
func NewRecentMembers(self api.InstanceID, interval time.Duration) *RecentMembers {
	return &RecentMembers{self: self, interval: interval, aliveAt: make(map[api.InstanceID]time.Duration)}
}

// Update records which members are alive, unless it did so within the interval.
func (r *RecentMembers) Update(now time.Duration, members []api.Member) {
	if r.updated && now-r.updatedAt < r.interval {
		return
	}
	r.updated, r.updatedAt = true, now
	for _, m := range members {
		switch {
		case m.ID == r.self:
		case m.State == api.MemberAlive:
			r.aliveAt[m.ID] = now
		case m.State.Gone():
			delete(r.aliveAt, m.ID)
		}
	}
	for id, at := range r.aliveAt {
		if now-at > RecentLifetime {
			delete(r.aliveAt, id)
		}
	}
}

// Count returns the number of recent instances, this one included.
func (r *RecentMembers) Count() int { return len(r.aliveAt) + 1 }

// Alive returns how many of them were alive at the last update, this one included.
func (r *RecentMembers) Alive() int {
	alive := 1
	for _, at := range r.aliveAt {
		if at == r.updatedAt {
			alive++
		}
	}
	return alive
}

// HasMajority reports whether this instance and the others that are alive are more than
// half of the recent ones. An instance that knows no other one has no majority, since it
// cannot tell whether it is alone or cut off.
func (r *RecentMembers) HasMajority() bool {
	return r.Count() > 1 && 2*r.Alive() > r.Count()
}
