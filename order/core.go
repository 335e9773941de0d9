package order

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// Times of the life of a claim.
const (
	// DispatchWindow is how long after the start of the claim's write the
	// holder may send.
	DispatchWindow = 2 * time.Second
	// resolveGrace is how much longer than the window a claim without an
	// outcome is left alone.
	resolveGrace = 2 * time.Second
	// maxClockError is the difference of wall clocks up to which the age of a
	// claim is not used. A wrong age costs an outcome, never a second booking.
	maxClockError = 30 * time.Second
	// firstPause and maxPause bound the time between retries of store and
	// service calls.
	firstPause = 50 * time.Millisecond
	maxPause   = 5 * time.Second
	// recordLimit is how long the holder tries to record an outcome. After it
	// the claim is resolved like that of a dead holder.
	recordLimit = 10 * time.Minute
	// abandonLimit is how long a claim that may have been written is looked for.
	abandonLimit = 30 * time.Second
	// resolveLimit bounds one resolution; a later question starts another.
	resolveLimit = 30 * time.Second
	// recheckPause is the least time between two lookups of an unknown order.
	recheckPause = 2 * time.Second
)

// Bounds on the operations of one instance.
const (
	maxOrders    = 4096
	maxObservers = 1024
	// maxUnrecorded stops new claims when the store takes outcomes more slowly
	// than claims.
	maxUnrecorded = 512
)

// CoreOptions configures a Core.
type CoreOptions struct {
	Instance    api.InstanceID
	Incarnation uint64
	// Seed spreads the retries of instances.
	Seed uint64

	// The following are faults that tests switch on to show that the
	// properties notice them.
	resendUnknown     bool // sends again after a lost response
	trustExpiredClaim bool // sends after the dispatch window
	trustAbsent       bool // takes "not booked yet" for "never booked"
	trustConflict     bool // takes any existing claim for its own
	dropOnDeadline    bool // sends an order that was refused already
}

// Core decides about the orders of one instance. It has no I/O and no clock.
type Core struct {
	options   CoreOptions
	random    *rand.Rand
	ops       map[uint64]*op
	holders   map[string]*op           // submissions that hold or want a claim, by order
	observers map[string]*op           // resolutions, by order
	rechecked map[string]time.Duration // time of the last lookup of an unknown order
	given     int                      // operations whose claim was given up
	nextOwn   uint64
	// unrecorded counts the operations whose outcome is being recorded.
	unrecorded int
	actions    []Action
	now        time.Duration
}

// NewCore returns a core without any operation.
func NewCore(o CoreOptions) *Core {
	return &Core{
		options:   o,
		random:    rand.New(rand.NewPCG(o.Seed, o.Incarnation)),
		ops:       make(map[uint64]*op),
		holders:   make(map[string]*op),
		observers: make(map[string]*op),
		rechecked: make(map[string]time.Duration),
	}
}

// internalOps separates the operations that the core starts itself from those
// of events, which count up from 1.
const internalOps = uint64(1) << 63

// Step handles one event and returns what has to be done.
func (c *Core) Step(now time.Duration, event Event) []Action {
	c.now = now
	c.actions = nil
	switch e := event.(type) {
	case OrderSubmitted:
		c.submit(e)
	case StateRequested:
		c.query(e)
	case UnresolvedClaimFound:
		c.found(e)
	case ClaimWritten:
		c.with(e.OpID, func(o *op) { c.written(o, e) })
	case ClaimRead:
		c.with(e.OpID, func(o *op) { c.read(o, e) })
	case SendFinished:
		c.with(e.OpID, func(o *op) { c.sent(o, e) })
	case BookingChecked:
		c.with(e.OpID, func(o *op) { c.asked(o, e) })
	case Tick:
		c.tick()
	}
	return c.actions
}

// ActiveOperations returns the number of operations that have to end before the instance
// may stop. Resolutions and the search for claims that were given up are not
// counted: any other instance can do their work.
func (c *Core) ActiveOperations() int { return len(c.ops) - len(c.observers) - c.given }

func (c *Core) with(id uint64, handle func(*op)) {
	if o, ok := c.ops[id]; ok {
		handle(o)
	}
}

func (c *Core) do(a Action) { c.actions = append(c.actions, a) }

func (c *Core) submit(e OrderSubmitted) {
	if len(c.holders) >= maxOrders || c.unrecorded >= maxUnrecorded {
		c.refuseSubmit(e.OpID, reason.New(reason.Overloaded, "too many orders are under way").WithRetryAfter(time.Second))
		return
	}
	if running, ok := c.holders[e.OrderID]; ok {
		c.repeat(e, running)
		return
	}
	o := &op{id: e.OpID, order: e.OrderID, claim: e.Claim, digest: e.Claim.Digest, deadline: e.Deadline, refusal: e.PlacementError}
	o.start = c.now
	c.ops[o.id] = o
	if o.refusal != nil {
		c.readFor(o, phaseAnswering)
		return
	}
	o.own = true
	o.notAfter = min(c.now+DispatchWindow, e.Deadline)
	c.holders[o.order] = o
	c.create(o)
}

// repeat answers an order whose key is under way on this instance. An outcome
// that is known counts before it is recorded.
func (c *Core) repeat(e OrderSubmitted, running *op) {
	if running.claim.Digest != e.Claim.Digest || !running.claim.State.Final() {
		c.refuseSubmit(e.OpID, sameKey(running.claim, e.Claim.Digest))
		return
	}
	c.do(ReplyToCaller{OpID: e.OpID, Claim: running.claim})
	c.do(EndOperation{OpID: e.OpID})
}

func (c *Core) refuseSubmit(id uint64, refusal *reason.Error) {
	c.do(ReplyToCaller{OpID: id, Refusal: refusal})
	c.do(EndOperation{OpID: id})
}

func (c *Core) query(e StateRequested) {
	if running, ok := c.holders[e.OrderID]; ok && running.claim.State.Final() {
		c.do(ReplyToCaller{OpID: e.OpID, Claim: running.claim})
		c.do(EndOperation{OpID: e.OpID})
		return
	}
	o := &op{id: e.OpID, order: e.OrderID, deadline: e.Deadline, start: c.now, query: true}
	c.ops[o.id] = o
	c.readFor(o, phaseAnswering)
}

func (c *Core) found(e UnresolvedClaimFound) {
	if _, own := c.holders[e.OrderID]; !own {
		c.observe(e.OrderID, e.Stored, e.Age)
	}
}

func (c *Core) create(o *op) {
	o.phase = phaseClaiming
	c.do(CreateClaim{OpID: o.id, OrderID: o.order, Claim: o.claim})
}

func (c *Core) readFor(o *op, p phase) {
	o.phase = p
	c.do(ReadClaim{OpID: o.id, OrderID: o.order})
}

// pause repeats the operation's current step after a growing time.
func (c *Core) pause(o *op, p phase) {
	o.phase = p
	o.pause = min(max(o.pause*2, firstPause), maxPause)
	jitter := time.Duration(c.random.Int64N(int64(o.pause)/4 + 1))
	o.wakeAt = c.now + o.pause + jitter
}

func (c *Core) reply(o *op, claim Claim) {
	if !o.replied && !o.internal() {
		o.replied = true
		c.do(ReplyToCaller{OpID: o.id, Claim: claim})
	}
}

func (c *Core) refuse(o *op, refusal *reason.Error) {
	if !o.replied && !o.internal() {
		o.replied = true
		c.do(ReplyToCaller{OpID: o.id, Refusal: refusal})
	}
}

func (c *Core) end(o *op, gaveUp bool) {
	if !o.replied && !o.internal() {
		c.refuse(o, reason.New(reason.OrderUnknown, "the outcome is not known yet").WithRun(reason.RunUnknown))
	}
	o.phase = phaseEnded
	delete(c.ops, o.id)
	if o.given {
		c.given--
	}
	if o.concluded {
		c.unrecorded--
	}
	if c.holders[o.order] == o {
		delete(c.holders, o.order)
	}
	if c.observers[o.order] == o {
		delete(c.observers, o.order)
	}
	c.do(EndOperation{OpID: o.id, OutcomeNotRecorded: gaveUp})
}

func (c *Core) tick() {
	for _, o := range c.sorted() {
		c.checkDeadline(o)
		if o.phase.waits() && c.now >= o.wakeAt {
			c.wake(o)
		}
	}
	for id, at := range c.rechecked {
		if c.now-at > recheckPause {
			delete(c.rechecked, id)
		}
	}
}

// sorted makes the order of actions independent of the map's.
func (c *Core) sorted() []*op {
	list := make([]*op, 0, len(c.ops))
	for _, o := range c.ops {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b *op) int { return cmp.Compare(a.id, b.id) })
	return list
}

// checkDeadline answers a caller whose time is up. An order that was not
// handed to Send yet is never sent: it is refused at the end of its window.
func (c *Core) checkDeadline(o *op) {
	switch {
	case o.replied || o.internal():
	case o.own && o.phase.beforeSend():
		c.checkWindow(o)
	case c.now < o.deadline:
	case o.query || o.refusal != nil:
		c.refuse(o, reason.New(reason.DeadlineExceeded, "the store did not answer in time").WithRun(reason.RunUnknown))
	default:
		c.refuse(o, reason.New(reason.OrderUnknown, "the service did not answer in time").WithRun(reason.RunUnknown))
	}
}

func (c *Core) checkWindow(o *op) {
	if c.now < o.notAfter {
		return
	}
	why := reason.StoreUnavailable
	switch {
	case c.now >= o.deadline:
		why = reason.DeadlineExceeded
	case o.phase == phaseCreatePause:
		why = reason.StoreRateLimited
	}
	c.giveUpClaim(o, why, !o.phase.waits())
}

func (c *Core) writeToken(o *op) string {
	return fmt.Sprintf("%s/%d/%d", c.options.Instance, c.options.Incarnation, o.id)
}

func sameKey(claim Claim, digest string) *reason.Error {
	if claim.Digest != digest {
		return reason.New(reason.KeyReused, "the Idempotency-Key was used with another body")
	}
	return reason.New(reason.OrderInProgress, "the order is being dispatched").
		WithRun(reason.RunUnknown).WithRetryAfter(time.Second)
}
