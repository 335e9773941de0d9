package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// loadBoundFactor limits how much more than the mean an endpoint may carry
	// for the sake of its cached prefixes.
	loadBoundFactor = 1.25
	// lightShare is the part of an endpoint's slots below which affinity is
	// free: with few requests the mean is too small to be a bound.
	lightShare = 0.25
	// meanTokensWeight is the weight of a new request in the mean cost.
	meanTokensWeight = 0.02
	// recoveryWindow and recoveryShare bound the continuations that one
	// endpoint takes at once, since each starts with a prefill.
	recoveryWindow = 250 * time.Millisecond
	recoveryShare  = 8
	// fewRecoveries may start at once on an engine whose share is smaller, if
	// all other engines have taken theirs. Otherwise each further continuation
	// on engines of 8 slots waits for a window of its own, and the third already
	// exceeds the goal of 250 ms.
	fewRecoveries = 4
	// keptForRecovery and keptForOthers are the parts of the slots (1/n) that
	// new generations, and drafts in particular, leave free. An engine with
	// fewer slots than keptForRecovery keeps none: one of 8 would cost 12% of
	// its capacity at all times.
	keptForRecovery = 16
	keptForOthers   = 4
	// spillDelay is how long a paced continuation waits for its own region
	// before it may use the billed link.
	spillDelay = time.Second
)

// list returns the endpoints that may come into question.
func (c *Core) list(request *api.PlacementRequest) *candidates {
	if request.Kind == api.KindService {
		return &c.services
	}
	if list, ok := c.byModel[request.Model]; ok {
		return list
	}
	return &candidates{}
}

func (c *Core) anyEligible(request *api.PlacementRequest) bool {
	for _, e := range c.list(request).endpoints {
		if eligible(e, request) {
			return true
		}
	}
	return false
}

// eligible checks what waiting does not change.
func eligible(e *endpoint, request *api.PlacementRequest) bool {
	if request.SameRegionOnly && e.remote {
		return false
	}
	for _, accounts := range e.admits {
		if !slices.Contains(accounts, request.Account) {
			return false
		}
	}
	return !slices.Contains(request.Exclude, e.id)
}

// choose returns the endpoint for a request, or nil with w.blocked set.
func (c *Core) choose(now time.Duration, w *waiter) *endpoint {
	w.blocked = reason.NoEndpoint
	if w.request.Isolation == api.IsolationAlone {
		return c.chooseAlone(now, w)
	}
	alive := c.gatherPaced(now, w, false)
	shared := c.keepLeastMarked(w)
	found := len(c.usable) > 0
	if found && shared == 0 {
		return c.pick(w)
	}
	if c.maySpill(now, w, alive) {
		c.gatherPaced(now, w, true)
		if fewest := c.keepLeastMarked(w); len(c.usable) > 0 && (!found || fewest < shared) {
			return c.pick(w)
		}
	}
	if !found {
		return nil
	}
	c.gatherPaced(now, w, false)
	c.keepLeastMarked(w)
	return c.pick(w)
}

// keepLeastMarked reduces the usable endpoints for marked content to those with
// the fewest marked contents and returns that number. One death marks all
// contents of an engine, which can be more than there are engines without
// marked content.
func (c *Core) keepLeastMarked(w *waiter) int {
	if w.request.Isolation == api.IsolationNone || len(c.usable) == 0 || c.options.faults.skipMarkedCheck {
		return 0
	}
	fewest := c.usable[0].marked
	for _, e := range c.usable {
		fewest = min(fewest, e.marked)
	}
	kept := c.usable[:0]
	for _, e := range c.usable {
		if e.marked > fewest {
			e.pass = 0
			continue
		}
		kept = append(kept, e)
	}
	c.usable = kept
	return fewest
}

// maySpill decides whether the request may go to another region. A draft waits
// for its own region as long as an endpoint there is alive.
func (c *Core) maySpill(now time.Duration, w *waiter, alive bool) bool {
	if w.request.SameRegionOnly {
		return false
	}
	if w.blocked == reason.RecoveryPaced && now-w.since < spillDelay {
		return false
	}
	if alive && w.request.Priority == api.PriorityDraft && !w.request.Recovery {
		return false
	}
	if !c.affords(now, &w.request) {
		w.blocked = reason.CrossRegionBudget
		return false
	}
	return true
}

// gatherPaced collects the usable endpoints of one side of the link. A
// continuation goes to an endpoint that has taken its share of them only if
// there is no other.
func (c *Core) gatherPaced(now time.Duration, w *waiter, remote bool) bool {
	c.spread = true
	alive := c.gather(now, w, remote)
	c.spread = false
	if len(c.usable) == 0 && w.blocked == reason.RecoveryPaced {
		w.blocked = reason.NoEndpoint
		alive = c.gather(now, w, remote)
	}
	return alive
}

// gather collects the usable endpoints of one side of the link and reports
// whether any eligible endpoint there is alive.
func (c *Core) gather(now time.Duration, w *waiter, remote bool) bool {
	c.usable = c.usable[:0]
	c.pass++
	alive := false
	for _, e := range c.list(&w.request).endpoints {
		if e.remote != remote || !eligible(e, &w.request) {
			continue
		}
		if blocked := c.blocked(now, e, w); blocked != "" {
			alive = alive || blocked != reason.EndpointUnreachable
			if w.blocked != reason.RecoveryPaced {
				w.blocked = blocked
			}
			continue
		}
		alive = true
		e.pass = c.pass
		c.usable = append(c.usable, e)
	}
	return alive
}

// blocked returns why the endpoint cannot take the work now, or "".
func (c *Core) blocked(now time.Duration, e *endpoint, w *waiter) reason.Reason {
	request := &w.request
	if e.health.state != StateAlive && !c.options.faults.useUnprobed {
		return reason.EndpointUnreachable
	}
	if e.draining {
		return reason.EndpointLeaving
	}
	if e.refused(now, request.Model) {
		return reason.NoSlot
	}
	if e.running+e.foreign.running >= c.slotLimit(e, request) && !c.options.faults.ignoreSlots {
		return reason.NoSlot
	}
	if e.exclusive != 0 && !c.options.faults.joinIsolated {
		return reason.NoSlot
	}
	if e.heldFor != 0 && e.heldFor != w.id {
		return reason.NoSlot
	}
	strict := request.Isolation == api.IsolationAlone ||
		(request.Isolation == api.IsolationApart && c.options.faults.neverShareMarked)
	if strict && e.marked > 0 {
		return reason.NoSlot
	}
	if request.Recovery && e.recoveryPaced(now, c.spread) && !c.options.faults.noPacing {
		return reason.RecoveryPaced
	}
	return ""
}

// slotLimit returns how many slots of the endpoint work of this priority may
// use. The rest is kept free for lookups, orders and continuations.
func (c *Core) slotLimit(e *endpoint, request *api.PlacementRequest) int {
	slots := e.slots()
	if slots < 2 || request.Priority == api.PriorityLookup || c.options.faults.noKeptSlots {
		return slots
	}
	kept := slots / keptForRecovery
	switch {
	case e.configured.Kind == api.KindService:
		// Orders always leave a slot to lookups.
		kept = max(1, kept)
	case request.Priority == api.PriorityDraft && !request.Recovery:
		kept = (slots + keptForOthers - 1) / keptForOthers
	case request.Priority == api.PriorityInteractive && request.Recovery:
		kept = 0
	}
	return max(1, slots-kept)
}

// recoveryPaced reports whether the endpoint takes no continuation now. With
// spread the limit is its share, so that other endpoints come first.
func (e *endpoint) recoveryPaced(now time.Duration, spread bool) bool {
	if now-e.recoveryWindow >= recoveryWindow {
		return false
	}
	least := fewRecoveries
	if spread {
		least = 1
	}
	return e.recoveries >= max(least, e.slots()/recoveryShare)
}

func (e *endpoint) countRecovery(now time.Duration) {
	if e.recoveries == 0 || now-e.recoveryWindow >= recoveryWindow {
		e.recoveryWindow = now
		e.recoveries = 0
	}
	e.recoveries++
}

// pick chooses among the usable endpoints, of which there is at least one.
func (c *Core) pick(w *waiter) *endpoint {
	request := &w.request
	bound := c.loadBound()
	if request.Prefer != "" {
		e, ok := c.endpoints[request.Prefer]
		if ok && e.pass == c.pass && bound.within(e) {
			return e
		}
	}
	if len(request.PrefixBlocks) > 0 {
		if e := c.byAffinity(request.PrefixBlocks, bound); e != nil {
			return e
		}
	}
	return c.lessLoaded()
}

// lessLoaded returns the less loaded of two endpoints drawn at random. Several
// instances that act on the same lagging reports would all choose the same
// least loaded endpoint.
func (c *Core) lessLoaded() *endpoint {
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
	if b.load() < a.load() {
		return b
	}
	return a
}

// loadBound is the most that an endpoint may carry to be chosen by affinity.
type loadBound struct {
	mean       float64
	meanTokens float64
}

func (b loadBound) within(e *endpoint) bool {
	light := lightShare * float64(e.slots()) * b.meanTokens
	return float64(e.load()) <= max(loadBoundFactor*b.mean, light)
}

func (c *Core) loadBound() loadBound {
	sum := 0
	for _, e := range c.usable {
		sum += e.load()
	}
	return loadBound{mean: float64(sum) / float64(len(c.usable)), meanTokens: c.meanTokens}
}

// learn updates what the core knows about requests in general.
func (c *Core) learn(request *api.PlacementRequest) {
	c.hints.count(request.PrefixBlocks)
	tokens := float64(request.Tokens)
	if c.meanTokens == 0 {
		c.meanTokens = tokens
		return
	}
	c.meanTokens += meanTokensWeight * (tokens - c.meanTokens)
}

// chooseAlone returns the endpoint that the hash selects for contents that run
// alone, once it runs nothing else of ours. Every instance selects the same
// one, so that such contents do not crash several engines.
func (c *Core) chooseAlone(now time.Duration, w *waiter) *endpoint {
	former := c.letGo(w)
	selected := c.selectAlone(&w.request)
	if former != nil && former != selected {
		// Requests that were tried before this one found the endpoint held.
		c.recheck = true
	}
	if selected == nil {
		w.blocked = reason.EndpointUnreachable
		return nil
	}
	if selected.remote && !c.affords(now, &w.request) {
		c.recheck = c.recheck || former != nil
		w.blocked = reason.CrossRegionBudget
		return nil
	}
	if selected.heldFor == 0 {
		selected.heldFor = w.id
	}
	if c.aloneGrant != 0 || selected.running > 0 || selected.heldFor != w.id {
		w.blocked = reason.NoSlot
		return nil
	}
	if blocked := c.blocked(now, selected, w); blocked != "" {
		w.blocked = blocked
		return nil
	}
	return selected
}

func (c *Core) selectAlone(request *api.PlacementRequest) *endpoint {
	key := xxhash.Sum64String(request.Model.Model)
	var best *endpoint
	var bestScore uint64
	for _, e := range c.list(request).endpoints {
		if e.health.state != StateAlive || !eligible(e, request) {
			continue
		}
		if score := combine(key, e.hash); best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// letGo ends the hold that a waiting request has on an endpoint and returns
// that endpoint, or nil if there was none.
func (c *Core) letGo(w *waiter) *endpoint {
	if w.request.Isolation != api.IsolationAlone {
		return nil
	}
	for _, e := range c.list(&w.request).endpoints {
		if e.heldFor == w.id {
			e.heldFor = 0
			return e
		}
	}
	return nil
}
