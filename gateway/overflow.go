package gateway

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/overflow"
)

// regionLinkMbps is the bandwidth in Mbit/s that is assumed for the link between regions,
// which the settings don't name. Links between regions carry 60 Mbit/s in each direction.
const regionLinkMbps = 60

// newOverflow returns the component that decides which requests leave the failure domain.
func (g *Gateway) newOverflow() *overflow.Runner {
	s := g.o.Settings
	return overflow.NewRunner(overflow.RunnerOptions{
		Options: overflow.Options{Place: s.Place, Regions: s.Regions, RegionMbps: regionLinkMbps},
		Self:    s.Instance, Balance: g.balancer, Target: g.latencyTarget, ZoneInstances: g.zoneInstanceCount,
		WallMS: func() uint64 { return uint64(time.Now().UnixMilli()) },
		Clock:  bootclock.Now, Log: g.o.Log, Scope: g.o.Metrics.Scope.SubScope("overflow"),
	})
}

// latencyTarget returns the lowest latency target of the routes to a service; 0 is none.
func (g *Gateway) latencyTarget(service string) time.Duration {
	table := g.table.Load()
	if table == nil {
		return 0
	}
	return table.LatencyTarget(service)
}

// zoneInstanceCount returns the number of live instances of the own failure domain.
func (g *Gateway) zoneInstanceCount() int {
	s := g.o.Settings
	count := 1
	for _, member := range g.knownMembers() {
		live := member.State == api.MemberAlive || member.State == api.MemberSuspect
		if live && member.ID != s.Instance && member.FailureDomain == s.Place.FailureDomain {
			count++
		}
	}
	return count
}
