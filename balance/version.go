package balance

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

// Endpoint returns a registered endpoint.
func (c *Core) Endpoint(id api.EndpointID) (registry.Endpoint, bool) {
	if e, ok := c.endpoints[id]; ok {
		return e.Endpoint, true
	}
	return registry.Endpoint{}, false
}

// admits reports whether the request may be sent to the endpoint by its version.
func (e *endpoint) admits(request Request) bool {
	return request.Versions == nil || slices.Contains(request.Versions, e.Version) && !request.HeldBack[e.ID]
}

// resolveVersions restricts the request to its preferred versions if an endpoint of them
// takes it.
func (c *Core) resolveVersions(now time.Duration, request Request) Request {
	if request.PreferVersions == nil {
		return request
	}
	preferred := request
	preferred.Versions, preferred.PreferVersions = request.PreferVersions, nil
	request.PreferVersions = nil
	if c.hasCandidate(now, preferred) {
		return preferred
	}
	return request
}

// hasCandidate reports whether an endpoint that is not suspect takes the request.
func (c *Core) hasCandidate(now time.Duration, request Request) bool {
	request.sessionHash = xxhash.Sum64String(request.Session)
	return slices.ContainsFunc(c.byService[request.Service], func(e *endpoint) bool {
		return c.candidateCost(now, e, request) < domainSuspectCost
	})
}

// candidateCost returns the cost of an endpoint that takes the request, otherwise
// infinity.
func (c *Core) candidateCost(now time.Duration, e *endpoint, request Request) float64 {
	if e.Draining || !e.admits(request) || e.blocks(now, request) || slices.Contains(request.Exclude, e.ID) || c.exceedsCapacity(now, e, request) || c.exceedsMaxDelay(now, e, request) || c.exceedsRoom(now, e, request) {
		return math.Inf(1)
	}
	return c.cost(now, e, request)
}
