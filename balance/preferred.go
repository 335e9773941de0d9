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

// preferredPerDomain is the number of engines of a failure domain, and of a version if
// the sessions keep to versions, among which a
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
	type group struct {
		domain  api.FailureDomain
		version string
	}
	sessionHash := xxhash.Sum64String(session)
	groups := make(map[group][]preference)
	for _, e := range c.byService[service] {
		if !e.Draining && now >= e.suspectUntil && now >= e.deferredUntil {
			key := group{domain: e.Domain}
			if c.options.Versioned {
				key.version = e.Version
			}
			groups[key] = append(groups[key], preference{e.Endpoint, e.affinityDistance(sessionHash)})
		}
	}
	var list []registry.Endpoint
	keys := slices.SortedFunc(maps.Keys(groups), func(a, b group) int {
		return cmp.Or(cmp.Compare(a.domain, b.domain), cmp.Compare(a.version, b.version))
	})
	for _, key := range keys {
		preferences := groups[key]
		slices.SortFunc(preferences, func(a, b preference) int { return cmp.Compare(a.distance, b.distance) })
		for _, p := range preferences[:min(preferredPerDomain, len(preferences))] {
			list = append(list, p.endpoint)
		}
	}
	return list
}
