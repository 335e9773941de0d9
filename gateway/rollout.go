package gateway

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/rollout"
)

// Bounds that apply if the settings have none.
const (
	defaultExposeShare     = 0.1
	defaultExposeSlack     = 50
	defaultRollbackTimeout = 5 * time.Second
)

// bounds returns the bounds of the exposure to a new version.
func (s RolloutSettings) bounds() rollout.CoreOptions {
	bounds := rollout.CoreOptions{ExposeShare: s.ExposeShare, ExposeSlack: s.ExposeSlack, RollbackTimeout: s.RollbackTimeout}
	if bounds.ExposeShare == 0 && bounds.ExposeSlack == 0 {
		bounds.ExposeShare, bounds.ExposeSlack = defaultExposeShare, defaultExposeSlack
	}
	if bounds.RollbackTimeout == 0 {
		bounds.RollbackTimeout = defaultRollbackTimeout
	}
	return bounds
}

func (g *Gateway) newRollouts() *rollout.Runner {
	s := g.o.Settings
	return rollout.NewRunner(rollout.RunnerOptions{
		Self: s.Instance, Incarnation: uint64(time.Now().UnixMilli()),
		Bounds:  s.Rollouts.bounds(),
		Members: g.knownMembers, HasPeers: len(g.seedAddresses()) > 0, Client: g.peerClients.Rollouts, Store: g.o.RolloutStore,
		Clock: bootclock.Now, Log: g.o.Log, Scope: g.o.Metrics.Scope.SubScope("rollout"),
	})
}

// rolloutSelector returns the selector of versions for package forward, nil if rollouts
// are off.
func (g *Gateway) rolloutSelector() rollout.Selector {
	if g.rollouts == nil {
		return nil
	}
	return g.rollouts
}

// rolloutServer returns the service for the reports of other instances, nil if rollouts
// are off.
func (g *Gateway) rolloutServer() peerpb.Rollouts {
	if g.rollouts == nil {
		return nil
	}
	return g.rollouts.Server()
}

// recordCrash records that an endpoint has crashed.
func (g *Gateway) recordCrash(endpoint registry.Endpoint) {
	if g.rollouts != nil {
		g.rollouts.EndpointCrashed(endpoint)
	}
}
