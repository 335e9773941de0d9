package balance

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// Costs that decide between endpoints; the endpoint with the lowest sum is
// chosen. The unit is one running generation, or one running request for a
// plain service. Candidates and ChooseBackup leave out endpoints whose cost
// reaches domainSuspectCost: suspect ones, those in a suspect failure domain, and
// heavily loaded ones.
const (
	prefillCost       = 2.5  // per prefill, which delays all tokens of the engine
	otherDomainCost   = 0.25 // endpoint in another failure domain
	otherRegionCost   = 0.75 // added in another region; its link is narrow and billed
	maxAffinityCost   = 3.0  // multiplied by affinityDistance
	backupCost        = 0.15 // per backup of another engine's generation
	coldStartCost     = 1.0  // endpoint that is still slow after its start
	errorRateCost     = 12.0 // multiplied by the error rate, 0 to 1
	suspectCost       = 1000.0
	domainSuspectCost = 100.0
	cachedPromptGain  = 20.0 // subtracted if the engine holds the prompt's KV cache
)

func (c *Core) cost(now time.Duration, e *endpoint, request Request) float64 {
	cost := c.zoneCost(e, request) + errorRateCost*c.currentErrorRate(now, e)
	if slices.Contains(request.Prefer, e.ID) {
		cost -= cachedPromptGain
	}
	load, _ := e.load(now)
	cost += c.loadCost(now, e, load, request)
	if request.Tokens > 0 {
		cost += backupCost*float64(e.backups) + maxAffinityCost*e.affinityDistance(request.sessionHash)
	} else {
		cost += c.responseTimeCost(now, e)
	}
	if e.ColdRemaining > 0 {
		cost += coldStartCost
	}
	if now < e.refusedUntil {
		cost += domainSuspectCost / 2 // avoided, but better than a suspect domain
	}
	if now < e.suspectUntil || e.trialRunning {
		cost += suspectCost
		// An endpoint that has responded since its domain became suspect is exempt.
	} else if now < c.domainSuspectUntil[domainKey{e.Service, e.Domain}] && e.lastResponseAt < c.domainSuspectUntil[domainKey{e.Service, e.Domain}]-domainSuspicionTime {
		cost += domainSuspectCost
	}
	return cost
}

// latencyPerRequestCostMS is the average latency in milliseconds that costs as
// much as one running request.
const latencyPerRequestCostMS = 60.0

func (c *Core) localityCost(domain api.FailureDomain) float64 {
	switch {
	case domain == c.options.Place.FailureDomain:
		return 0
	case c.options.Regions[domain] == c.options.Place.Region:
		return otherDomainCost
	}
	return otherDomainCost + otherRegionCost
}

// affinityDistance returns a value from 0, for the engine that the session
// prefers most, to 1. It depends only on the session and the engine, so all
// instances agree, and it spreads sessions evenly although each instance knows
// only the requests that it placed itself.
func (e *endpoint) affinityDistance(session uint64) float64 {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], session)
	binary.LittleEndian.PutUint64(key[8:], e.idHash)
	return float64(xxhash.Sum64(key[:])) / math.MaxUint64
}
