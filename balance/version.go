package balance

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// admits reports whether the request may be sent to the version of the endpoint, and to
// the endpoint itself if only some of its version take requests.
func (e *endpoint) admits(request Request) bool {
	if request.Versions == nil {
		return true
	}
	return slices.Contains(request.Versions, e.Version) &&
		(request.Canaries[e.ID] || !slices.Contains(request.canaryVersions, e.Version))
}

// resolveCanaries sets the versions whose endpoints are restricted to the canaries.
func (c *Core) resolveCanaries(request *Request) {
	request.canaryVersions = nil
	for id := range request.Canaries {
		if e, ok := c.endpoints[id]; ok && e.Service == request.Service && !slices.Contains(request.canaryVersions, e.Version) {
			request.canaryVersions = append(request.canaryVersions, e.Version)
		}
	}
}

// resolveVersions restricts the request to its preferred versions if an endpoint of them
// takes it.
func (c *Core) resolveVersions(now time.Duration, request Request) Request {
	c.resolveCanaries(&request)
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
	if e.Draining || !e.admits(request) || e.blocks(now, request) || slices.Contains(request.Exclude, e.ID) || c.exceedsCapacity(now, e, request) || c.exceedsMaxDelay(now, e, request) {
		return math.Inf(1)
	}
	return c.cost(now, e, request)
}
