package rollout

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// lostLifetime is how long an instance that is no longer live counts among the known
	// ones. Regions can lose each other for minutes.
	lostLifetime = 10 * time.Minute
	// memberInterval is the time between two updates of the known instances.
	memberInterval = time.Second
)

// quorum knows how many of the instances report to this one. An instance coordinates a
// service only if at least half of those that it has known lately do.
type quorum struct {
	self      api.InstanceID
	liveAt    map[api.InstanceID]time.Duration
	updatedAt time.Duration
	updated   bool
	// reportedAt is when instances last reported, by service.
	reportedAt map[string]map[api.InstanceID]time.Duration
}

func newQuorum(self api.InstanceID) quorum {
	return quorum{self: self, liveAt: make(map[api.InstanceID]time.Duration), reportedAt: make(map[string]map[api.InstanceID]time.Duration)}
}

// update records which instances are live, at most once each memberInterval.
func (q *quorum) update(now time.Duration, members []api.Member) {
	if q.updated && now-q.updatedAt < memberInterval {
		return
	}
	q.updated, q.updatedAt = true, now
	for _, m := range members {
		switch {
		case m.ID == q.self:
		case m.State == api.MemberAlive:
			q.liveAt[m.ID] = now
		case m.State.Gone():
			delete(q.liveAt, m.ID)
		}
	}
	for id, at := range q.liveAt {
		if now-at > lostLifetime {
			delete(q.liveAt, id)
		}
	}
}

// add records a report and returns whether enough instances report about the service.
// hasPeers says that there are other instances, even if none is known yet.
func (q *quorum) add(now time.Duration, service string, from api.InstanceID, hasPeers bool) bool {
	reported := q.reportedAt[service]
	if reported == nil {
		reported = make(map[api.InstanceID]time.Duration)
		q.reportedAt[service] = reported
	}
	reported[from] = now
	for id, at := range reported {
		if now-at > reportLifetime {
			delete(reported, id)
		}
	}
	known := len(q.liveAt) + 1
	if hasPeers && known == 1 {
		return false
	}
	return 2*len(reported) >= known
}
