package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

// preferredPerDomain is the number of engines of a failure domain among which a
// session's generations and their backups are expected. It bounds the engines that are
// searched for one of them, whatever the size of the service.
const preferredPerDomain = 8

// PreferredEndpoints returns the endpoints at which the generations of a session and
// their backups are most likely: for each failure domain those that the session prefers.
// All instances agree on them. Endpoints that take no requests of this instance, drain
// or are suspect are left out.
func (c *Core) PreferredEndpoints(now time.Duration, service, session string) []registry.Endpoint {
	type preference struct {
		endpoint registry.Endpoint
		distance float64
	}
	sessionHash := xxhash.Sum64String(session)
	byDomain := make(map[api.FailureDomain][]preference)
	for _, e := range c.byService[service] {
		if !e.Draining && now >= e.suspectUntil && now >= e.deferredUntil {
			byDomain[e.Domain] = append(byDomain[e.Domain], preference{e.Endpoint, e.affinityDistance(sessionHash)})
		}
	}
	var list []registry.Endpoint
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		preferences := byDomain[domain]
		slices.SortFunc(preferences, func(a, b preference) int { return cmp.Compare(a.distance, b.distance) })
		for _, p := range preferences[:min(preferredPerDomain, len(preferences))] {
			list = append(list, p.endpoint)
		}
	}
	return list
}
