package gateway

import (
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/registry"
)

// maxFirstStartAge is how much older than this instance an endpoint may be when the whole
// fleet starts for the first time. Clocks of hosts differ by seconds.
const maxFirstStartAge = 10 * time.Second

// isFirstStart reports whether the fleet has not run before, and whether that is known yet.
// Settings that say so may be left over from the first start; endpoints that are older than
// this instance, or that do not say when they started, contradict them.
func (g *Gateway) isFirstStart() (first, known bool) {
	if !g.o.Settings.FirstStart {
		return false, true
	}
	oldest := g.startedAt.Add(-maxFirstStartAge).UnixMilli()
	endpoints := g.registry.Endpoints()
	older := slices.ContainsFunc(endpoints, func(e registry.Endpoint) bool { return e.Incarnation < oldest })
	return !older, len(endpoints) > 0
}
