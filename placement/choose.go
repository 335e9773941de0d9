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
	// An endpoint takes at most 1/recoverySlotDivisor of its slots in new
	// continuations per recoveryWindow, since each one starts with a prefill.
	recoveryWindow      = 250 * time.Millisecond
	recoverySlotDivisor = 8
	// minRecoveriesPerWindow continuations may start per window on an engine
	// with a smaller share, if all other engines have used up theirs. Otherwise
	// each further continuation on engines with 8 slots waits for a window of its
	// own, and the third one exceeds the goal of 250 ms.
	minRecoveriesPerWindow = 4
	// New generations leave 1/recoveryReserveDivisor of the slots free, drafts
	// 1/draftReserveDivisor. An engine with fewer than recoveryReserveDivisor
	// slots has no recovery reserve: one slot of 8 would permanently cost 12% of
	// its capacity.
	recoveryReserveDivisor = 16
	draftReserveDivisor    = 4
	// crossRegionDelay is how long a paced continuation waits for an endpoint of
	// its own region before it may use the billed link.
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
// set. Endpoints of another region are used only if none of the own region is
// usable, or if they run less marked content.
func (c *Core) chooseEndpoint(now time.Duration, w *waitingRequest) *endpoint {
	w.blockReason = reason.NoEndpoint
	if w.request.Isolation == api.IsolationAlone {
		return c.chooseIsolated(now, w)
	}
	alive := c.collectUsablePaced(now, w, false)
	fewestMarked := c.keepFewestMarked(w)
	found := len(c.usable) > 0
	if found && fewestMarked == 0 {
		return c.pickUsable(w)
	}
	if c.mayCrossRegions(now, w, alive) {
		c.collectUsablePaced(now, w, true)
		if crossRegionFewest := c.keepFewestMarked(w); len(c.usable) > 0 && (!found || crossRegionFewest < fewestMarked) {
			return c.pickUsable(w)
		}
	}
	if !found {
		return nil
	}
	c.collectUsablePaced(now, w, false)
	c.keepFewestMarked(w)
	return c.pickUsable(w)
}

// keepFewestMarked reduces the usable endpoints for marked content to those that
// run the fewest marked contents, and returns that number. It doesn't demand
// endpoints without marked content, because one engine crash marks all contents
// of the engine, which can be more than there are such endpoints.
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
			e.usableInSelection = 0
			continue
		}
		kept = append(kept, e)
	}
	c.usable = kept
	return fewest
}

// mayCrossRegions reports whether the request may be placed in another region. A
// draft waits for its own region as long as an eligible endpoint there is alive.
func (c *Core) mayCrossRegions(now time.Duration, w *waitingRequest, ownRegionAlive bool) bool {
	if w.request.SameRegionOnly {
		return false
	}
	if w.blockReason == reason.RecoveryPaced && now-w.arrivedAt < crossRegionDelay {
		return false
	}
	if ownRegionAlive && w.request.Priority == api.PriorityDraft && !w.request.Recovery {
		return false
	}
	if !c.linkAllows(now, &w.request) {
		w.blockReason = reason.CrossRegionBudget
		return false
	}
	return true
}

// collectUsablePaced collects the usable endpoints of the own region or, with
// crossRegion, of the others. An endpoint that has used up its share of
// continuations is usable for another one only if no other endpoint is.
func (c *Core) collectUsablePaced(now time.Duration, w *waitingRequest, crossRegion bool) bool {
	c.enforceRecoveryShare = true
	alive := c.collectUsable(now, w, crossRegion)
	c.enforceRecoveryShare = false
	if len(c.usable) == 0 && w.blockReason == reason.RecoveryPaced {
		w.blockReason = reason.NoEndpoint
		alive = c.collectUsable(now, w, crossRegion)
	}
	return alive
}

// collectUsable collects the usable endpoints of the own region or, with
// crossRegion, of the others, and reports whether any eligible endpoint there is
// alive.
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
			if w.blockReason != reason.RecoveryPaced {
				w.blockReason = blocked
			}
			continue
		}
		alive = true
		e.usableInSelection = c.selectionID
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
	if e.isolatedGrant != 0 && !c.options.mutations.shareIsolatedEndpoints {
		return reason.NoSlot
	}
	if e.reservedFor != 0 && e.reservedFor != w.id {
		return reason.NoSlot
	}
	strict := request.Isolation == api.IsolationAlone ||
		(request.Isolation == api.IsolationApart && c.options.mutations.neverShareMarked)
	if strict && e.markedGrants > 0 {
		return reason.NoSlot
	}
	if request.Recovery && e.isRecoveryPaced(now, c.enforceRecoveryShare) && !c.options.mutations.noRecoveryPacing {
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
	reserved := slots / recoveryReserveDivisor
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

// isRecoveryPaced reports whether the endpoint takes no further continuation in
// the current window. With enforceShare the limit is the endpoint's share, so
// that endpoints with a share left are used first.
func (e *endpoint) isRecoveryPaced(now time.Duration, enforceShare bool) bool {
	if now-e.recoveryWindowStart >= recoveryWindow {
		return false
	}
	minimum := minRecoveriesPerWindow
	if enforceShare {
		minimum = 1
	}
	return e.windowRecoveries >= max(minimum, e.slots()/recoverySlotDivisor)
}

func (e *endpoint) countRecovery(now time.Duration) {
	if e.windowRecoveries == 0 || now-e.recoveryWindowStart >= recoveryWindow {
		e.recoveryWindowStart = now
		e.windowRecoveries = 0
	}
	e.windowRecoveries++
}

// pickUsable chooses one of the usable endpoints; there must be at least one.
func (c *Core) pickUsable(w *waitingRequest) *endpoint {
	request := &w.request
	bound := c.loadBound()
	if request.Prefer != "" {
		e, ok := c.endpoints[request.Prefer]
		if ok && e.usableInSelection == c.selectionID && bound.allows(e) {
			return e
		}
	}
	if len(request.PrefixBlocks) > 0 {
		if e := c.chooseByAffinity(request.PrefixBlocks, bound); e != nil {
			return e
		}
	}
	return c.pickLessLoaded()
}

// pickLessLoaded returns the less loaded of two randomly drawn endpoints. With
// the least loaded of all, several instances that act on the same outdated
// reports would all choose the same endpoint.
func (c *Core) pickLessLoaded() *endpoint {
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

// loadBound limits the load of endpoints that are chosen by affinity.
type loadBound struct {
	meanLoad          float64
	meanRequestTokens float64
}

func (b loadBound) allows(e *endpoint) bool {
	light := lightLoadShare * float64(e.slots()) * b.meanRequestTokens
	return float64(e.loadTokens()) <= max(loadBoundFactor*b.meanLoad, light)
}

func (c *Core) loadBound() loadBound {
	sum := 0
	for _, e := range c.usable {
		sum += e.loadTokens()
	}
	return loadBound{meanLoad: float64(sum) / float64(len(c.usable)), meanRequestTokens: c.meanRequestTokens}
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

// chooseIsolated returns the endpoint for content that runs alone, once it runs
// no other work of this instance. Every instance selects the same endpoint by
// rendezvous hashing, so that such contents cannot crash several engines.
func (c *Core) chooseIsolated(now time.Duration, w *waitingRequest) *endpoint {
	previous := c.clearReservation(w)
	selected := c.isolatedEndpoint(&w.request)
	if previous != nil && previous != selected {
		// Requests that were tried before this one found the endpoint reserved.
		c.retryWaiting = true
	}
	if selected == nil {
		w.blockReason = reason.EndpointUnreachable
		return nil
	}
	if selected.crossRegion && !c.linkAllows(now, &w.request) {
		c.retryWaiting = c.retryWaiting || previous != nil
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
	if w.request.Isolation != api.IsolationAlone {
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
