package rollout

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/fleet"
)

// memberInterval is the time between two updates of the known instances.
const memberInterval = time.Second

// quorum knows how many of the instances report to this one. An instance coordinates a
// service only if at least half of those that it has known lately do.
type quorum struct {
	recent *fleet.RecentMembers
	// reportedAt is when instances last reported, by service.
	reportedAt map[string]map[api.InstanceID]time.Duration
}

func newQuorum(self api.InstanceID) quorum {
	return quorum{recent: fleet.NewRecentMembers(self, memberInterval), reportedAt: make(map[string]map[api.InstanceID]time.Duration)}
}

// update records which instances are live.
func (q *quorum) update(now time.Duration, members []api.Member) { q.recent.Update(now, members) }

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
	known := q.recent.Count()
	if hasPeers && known == 1 {
		return false
	}
	return 2*len(reported) >= known
}
