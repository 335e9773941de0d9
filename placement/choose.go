package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// loadBoundFactor limits the load of an endpoint that is chosen for its cached
	// prefixes, relative to the mean load.
	loadBoundFactor = 1.25
	// lightLoadShare is the share of an endpoint's slots up to which the load
	// bound is not applied: with few requests the mean is too small to be a bound.
	lightLoadShare = 0.25
	// meanTokensWeight is the weight of a new request in the moving average of the
	// tokens per request.
	meanTokensWeight = 0.02
	// An endpoint takes at most 1/continuationSlotDivisor of its slots in new
	// continuations per continuationWindow, since each one starts with a prefill.
	continuationWindow      = 250 * time.Millisecond
	continuationSlotDivisor = 8
	// minContinuationsPerWindow continuations may start per window on an engine
	// with a smaller share, if all other engines have used up theirs. With one
	// continuation per window, as for 8 slots, each further one would wait for
	// another window, and the third one would exceed the goal of resuming within
	// 250 ms after an engine failure.
	minContinuationsPerWindow = 4
	// New generations leave 1/continuationReserveDivisor of the slots free, drafts
	// 1/draftReserveDivisor. An engine with fewer than continuationReserveDivisor
	// slots has no reserve for continuations: one slot of 8 would permanently cost
	// 12% of its capacity.
	continuationReserveDivisor = 16
	draftReserveDivisor        = 4
	// crossRegionDelay is how long a paced continuation waits for an endpoint of
	// the local region before it may use the billed link.
	crossRegionDelay = time.Second
)

// candidatesFor returns the endpoints that serve the requested model or, for
// service requests, all services.
func (c *Core) candidatesFor(request *api.PlacementRequest) *candidates {
	if request.Kind == api.KindService {
		return &c.services
	}
	if list, ok := c.enginesByModel[request.Model]; ok {
		return list
	}
	return &candidates{}
}

func (c *Core) hasEligible(request *api.PlacementRequest) bool {
	for _, e := range c.candidatesFor(request).endpoints {
		if isEligible(e, request) {
			return true
		}
	}
	return false
}

// isEligible checks the conditions that don't change while a request waits:
// region, client account and excluded endpoints.
func isEligible(e *endpoint, request *api.PlacementRequest) bool {
	if request.SameRegionOnly && e.crossRegion {
		return false
	}
	for _, accounts := range e.accountLists {
		if !slices.Contains(accounts, request.Account) {
			return false
		}
	}
	return !slices.Contains(request.Exclude, e.id)
}

// chooseEndpoint returns the endpoint for a request, or nil with w.blockReason
// set. Endpoints of another region are used only if none of the local region is
// usable or, for marked content, if they run fewer grants with marked content.
func (c *Core) chooseEndpoint(now time.Duration, w *waitingRequest) *endpoint {
	w.blockReason = reason.NoEndpoint
	if w.request.Isolation == api.IsolationExclusive {
		return c.chooseIsolated(now, w)
	}
	alive := c.collectUsablePreferringShare(now, w, false)
	fewestMarked := c.keepFewestMarked(w)
	found := len(c.usable) > 0
	if found && fewestMarked == 0 {
		return c.chooseAmongUsable(w)
	}
	if c.mayCrossRegions(now, w, alive) {
		c.collectUsablePreferringShare(now, w, true)
		if crossRegionFewest := c.keepFewestMarked(w); len(c.usable) > 0 && (!found || crossRegionFewest < fewestMarked) {
			return c.chooseAmongUsable(w)
		}
	}
	if !found {
		return nil
	}
	// The pass over other regions replaced c.usable.
	c.collectUsablePreferringShare(now, w, false)
	c.keepFewestMarked(w)
	return c.chooseAmongUsable(w)
}

// keepFewestMarked reduces c.usable for marked content to the endpoints with the
// fewest grants for marked content, and returns their number of such grants. It
// returns 0 if the content is not marked or no endpoint is usable. Endpoints
// without marked content are preferred but not required: one crash marks the
// content of all generations on the engine, which can be more than there are other
// endpoints.
func (c *Core) keepFewestMarked(w *waitingRequest) int {
	if w.request.Isolation == api.IsolationNone || len(c.usable) == 0 || c.options.mutations.ignoreMarkedContent {
		return 0
	}
	fewest := c.usable[0].markedGrants
	for _, e := range c.usable {
		fewest = min(fewest, e.markedGrants)
	}
	kept := c.usable[:0]
	for _, e := range c.usable {
		if e.markedGrants > fewest {
			e.lastUsableSelection = 0
			continue
		}
		kept = append(kept, e)
	}
	c.usable = kept
	return fewest
}

// mayCrossRegions reports whether the request may be placed in another region. A
// draft waits for the local region as long as an eligible endpoint there is alive.
func (c *Core) mayCrossRegions(now time.Duration, w *waitingRequest, localRegionAlive bool) bool {
	if w.request.SameRegionOnly {
		return false
	}
	if w.blockReason == reason.RecoveryPaced && now-w.arrivedAt < crossRegionDelay {
		return false
	}
	if localRegionAlive && w.request.Priority == api.PriorityDraft && !w.request.Recovery {
		return false
	}
	if !c.linkAllows(now, &w.request) {
		w.blockReason = reason.CrossRegionBudget
		return false
	}
	return true
}

// collectUsablePreferringShare collects the usable endpoints like collectUsable and
// returns the same. An endpoint that has used up its share of continuations is
// usable for another one only if no other endpoint is.
func (c *Core) collectUsablePreferringShare(now time.Duration, w *waitingRequest, crossRegion bool) bool {
	c.enforceContinuationShare = true
	alive := c.collectUsable(now, w, crossRegion)
	c.enforceContinuationShare = false
	if len(c.usable) == 0 && w.blockReason == reason.RecoveryPaced {
		w.blockReason = reason.NoEndpoint
		alive = c.collectUsable(now, w, crossRegion)
	}
	return alive
}

// collectUsable stores the usable endpoints of the local region or, with
// crossRegion, of the others in c.usable, and reports whether any eligible endpoint
// there is alive.
func (c *Core) collectUsable(now time.Duration, w *waitingRequest, crossRegion bool) bool {
	c.usable = c.usable[:0]
	c.selectionID++
	alive := false
	for _, e := range c.candidatesFor(&w.request).endpoints {
		if e.crossRegion != crossRegion || !isEligible(e, &w.request) {
			continue
		}
		if blocked := c.blockReason(now, e, w); blocked != "" {
			alive = alive || blocked != reason.EndpointUnreachable
			// RecoveryPaced takes precedence, since collectUsablePreferringShare and
			// mayCrossRegions depend on it.
			if w.blockReason != reason.RecoveryPaced {
				w.blockReason = blocked
			}
			continue
		}
		alive = true
		e.lastUsableSelection = c.selectionID
		c.usable = append(c.usable, e)
	}
	return alive
}

// blockReason returns why the endpoint cannot take the request now, or "".
func (c *Core) blockReason(now time.Duration, e *endpoint, w *waitingRequest) reason.Reason {
	request := &w.request
	if e.health.state != StateAlive && !c.options.mutations.useSuspectedEndpoints {
		return reason.EndpointUnreachable
	}
	if e.draining {
		return reason.EndpointLeaving
	}
	if e.isModelPaused(now, request.Model) {
		return reason.NoSlot
	}
	if e.activeGrants+e.foreignUsage.running >= c.slotLimit(e, request) && !c.options.mutations.ignoreSlots {
		return reason.NoSlot
	}
	if e.isolatedGrant != 0 && !c.options.mutations.mixIsolatedContent {
		return reason.NoSlot
	}
	if e.reservedFor != 0 && e.reservedFor != w.id {
		return reason.NoSlot
	}
	strict := request.Isolation == api.IsolationExclusive ||
		(request.Isolation == api.IsolationSeparate && c.options.mutations.neverColocateMarked)
	if strict && e.markedGrants > 0 {
		return reason.NoSlot
	}
	if request.Recovery && e.isContinuationPaced(now, c.enforceContinuationShare) && !c.options.mutations.noContinuationPacing {
		return reason.RecoveryPaced
	}
	return ""
}

// slotLimit returns how many slots of the endpoint the request's priority may
// use. The remaining slots are reserved for lookups, orders and continuations.
func (c *Core) slotLimit(e *endpoint, request *api.PlacementRequest) int {
	slots := e.slots()
	if slots < 2 || request.Priority == api.PriorityLookup || c.options.mutations.noSlotReserve {
		return slots
	}
	reserved := slots / continuationReserveDivisor
	switch {
	case e.config.Kind == api.KindService:
		// Orders always leave at least one slot free for lookups.
		reserved = max(1, reserved)
	case request.Priority == api.PriorityDraft && !request.Recovery:
		reserved = (slots + draftReserveDivisor - 1) / draftReserveDivisor
	case request.Priority == api.PriorityInteractive && request.Recovery:
		reserved = 0
	}
	return max(1, slots-reserved)
}

// isContinuationPaced reports whether the endpoint takes no further continuation in
// the current window. With enforceShare the limit is the endpoint's share, so
// that endpoints with a share left are used first.
func (e *endpoint) isContinuationPaced(now time.Duration, enforceShare bool) bool {
	if now-e.continuationWindowStart >= continuationWindow {
		return false
	}
	minLimit := minContinuationsPerWindow
	if enforceShare {
		minLimit = 1
	}
	return e.windowContinuations >= max(minLimit, e.slots()/continuationSlotDivisor)
}

func (e *endpoint) countContinuation(now time.Duration) {
	if e.windowContinuations == 0 || now-e.continuationWindowStart >= continuationWindow {
		e.continuationWindowStart = now
		e.windowContinuations = 0
	}
	e.windowContinuations++
}

// chooseAmongUsable returns one of the usable endpoints; there must be at least
// one.
func (c *Core) chooseAmongUsable(w *waitingRequest) *endpoint {
	request := &w.request
	bound := c.loadBound()
	if request.Prefer != "" {
		e, ok := c.endpoints[request.Prefer]
		if ok && e.lastUsableSelection == c.selectionID && bound.allows(e) {
			return e
		}
	}
	if len(request.PrefixBlocks) > 0 {
		if e := c.chooseByAffinity(request.PrefixBlocks, bound); e != nil {
			return e
		}
	}
	return c.chooseLessLoaded()
}

// chooseLessLoaded returns the less loaded of two randomly drawn endpoints. With
// the least loaded of all, several instances that act on the same outdated
// reports would all choose the same endpoint.
func (c *Core) chooseLessLoaded() *endpoint {
	n := len(c.usable)
	first := c.random.IntN(n)
	if n == 1 {
		return c.usable[first]
	}
	second := c.random.IntN(n - 1)
	if second >= first {
		second++
	}
	a, b := c.usable[first], c.usable[second]
	if b.loadTokens() < a.loadTokens() {
		return b
	}
	return a
}

// loadBound limits the load of endpoints that are chosen for their cached prefix,
// by PlacementRequest.Prefer or by affinity.
type loadBound struct {
	meanLoadTokens    float64
	meanRequestTokens float64
}

func (b loadBound) allows(e *endpoint) bool {
	light := lightLoadShare * float64(e.slots()) * b.meanRequestTokens
	return float64(e.loadTokens()) <= max(loadBoundFactor*b.meanLoadTokens, light)
}

func (c *Core) loadBound() loadBound {
	sum := 0
	for _, e := range c.usable {
		sum += e.loadTokens()
	}
	return loadBound{meanLoadTokens: float64(sum) / float64(len(c.usable)), meanRequestTokens: c.meanRequestTokens}
}

// recordRequest updates the statistics of prompt blocks and of tokens per
// request.
func (c *Core) recordRequest(request *api.PlacementRequest) {
	c.hints.countPrompt(request.PrefixBlocks)
	tokens := float64(request.Tokens)
	if c.meanRequestTokens == 0 {
		c.meanRequestTokens = tokens
		return
	}
	c.meanRequestTokens += meanTokensWeight * (tokens - c.meanRequestTokens)
}

// chooseIsolated returns the endpoint for isolated content, or nil while this
// endpoint runs other work of this instance. Every instance selects the same
// endpoint by rendezvous hashing, so that isolated content cannot crash several
// engines.
func (c *Core) chooseIsolated(now time.Duration, w *waitingRequest) *endpoint {
	previous := c.clearReservation(w)
	selected := c.isolatedEndpoint(&w.request)
	if previous != nil && previous != selected {
		// Requests that were tried before this one found the endpoint reserved.
		c.placeWaitingDue = true
	}
	if selected == nil {
		w.blockReason = reason.EndpointUnreachable
		return nil
	}
	if selected.crossRegion && !c.linkAllows(now, &w.request) {
		c.placeWaitingDue = c.placeWaitingDue || previous != nil
		w.blockReason = reason.CrossRegionBudget
		return nil
	}
	if selected.reservedFor == 0 {
		selected.reservedFor = w.id
	}
	if c.isolatedGrant != 0 || selected.activeGrants > 0 || selected.reservedFor != w.id {
		w.blockReason = reason.NoSlot
		return nil
	}
	if blocked := c.blockReason(now, selected, w); blocked != "" {
		w.blockReason = blocked
		return nil
	}
	return selected
}

// isolatedEndpoint returns the eligible endpoint that is alive and has the
// highest rendezvous hash for the requested model, or nil.
func (c *Core) isolatedEndpoint(request *api.PlacementRequest) *endpoint {
	key := xxhash.Sum64String(request.Model.Model)
	var best *endpoint
	var bestScore uint64
	for _, e := range c.candidatesFor(request).endpoints {
		if e.health.state != StateAlive || !isEligible(e, request) {
			continue
		}
		if score := hashPair(key, e.idHash); best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// clearReservation clears the endpoint reservation of a waiting request and
// returns the endpoint, or nil if there was none.
func (c *Core) clearReservation(w *waitingRequest) *endpoint {
	if w.request.Isolation != api.IsolationExclusive {
		return nil
	}
	for _, e := range c.candidatesFor(&w.request).endpoints {
		if e.reservedFor == w.id {
			e.reservedFor = 0
			return e
		}
	}
	return nil
}
