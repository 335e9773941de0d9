package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/registry"
)

// Candidates returns the endpoints with the lowest cost for the request, at most
// limit and none that is suspect.
func (c *Core) Candidates(now time.Duration, request Request, limit int) []registry.Endpoint {
	type candidate struct {
		endpoint registry.Endpoint
		cost     float64
	}
	request = c.resolveVersions(now, request)
	request.sessionHash = xxhash.Sum64String(request.Session)
	var list []candidate
	for _, e := range c.byService[request.Service] {
		if cost := c.candidateCost(now, e, request); cost < domainSuspectCost {
			list = append(list, candidate{e.Endpoint, cost})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	endpoints := make([]registry.Endpoint, 0, limit)
	for _, chosen := range list[:min(limit, len(list))] {
		endpoints = append(endpoints, chosen.endpoint)
	}
	return endpoints
}

// maxRunningOfNearlyIdle is the number of generations with which an engine that prefills
// no prompt counts as nearly idle. They slow a further one less than one prefill does.
const maxRunningOfNearlyIdle = 3

// IsNearlyIdle reports whether the reported load of an endpoint is so low that no other
// endpoint would serve the request noticeably better.
func (c *Core) IsNearlyIdle(now time.Duration, request Request, endpoint registry.Endpoint) bool {
	e, ok := c.endpoints[endpoint.ID]
	if !ok || e.Incarnation != endpoint.Incarnation || c.exceedsCapacity(now, e, request) {
		return false
	}
	load, reported := e.load(now)
	return reported && load.Prefilling == 0 && load.Running <= maxRunningOfNearlyIdle
}
