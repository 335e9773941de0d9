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

// Timeouts and delays of the handling of a claim.
const (
	// DispatchWindow is the time from the start of the claim's creation within which
	// the holder may send the order. The caller's deadline can shorten it.
	DispatchWindow = 2 * time.Second
	// resolutionGracePeriod is the time after the dispatch window in which a claim
	// without an outcome is still left to its holder.
	resolutionGracePeriod = 2 * time.Second
	// maxClockSkew is the tolerated difference between the wall clocks of two
	// instances. A claim is resolved without a further wait only if its age exceeds
	// the wait by more than that. A wrong age can start a resolution while the
	// holder may still send. That can cost the order its outcome, but never causes
	// a second booking.
	maxClockSkew = 30 * time.Second
	// minBackoff and maxBackoff bound the exponential delay between retries of
	// store and service calls.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
	// recordTimeout is how long an operation retries to record an outcome. After
	// that the claim is resolved like that of a crashed holder: by a later request
	// for the state of the order or by a sweep.
	recordTimeout = 10 * time.Minute
	// abandonTimeout is how long the core looks for an abandoned claim, whose
	// creation may still take effect, in order to delete it.
	abandonTimeout = 30 * time.Second
	// resolutionTimeout is how long a failed marking of the claim or a failed
	// booking check is retried. A later request for the state of the order, or a
	// sweep, starts another resolution.
	resolutionTimeout = 30 * time.Second
	// minRecheckInterval is the shortest time between two booking checks of an
	// order whose recorded outcome is unknown.
	minRecheckInterval = 2 * time.Second
)

// Bounds on the concurrent operations of one instance.
const (
	maxSubmissions = 4096
	maxResolutions = 1024
	// maxUnrecordedOutcomes bounds the outcomes that wait to be written. From then on
	// new orders are refused, since outcomes arise faster than the store accepts
	// them.
	maxUnrecordedOutcomes = 512
)

// CoreOptions configures a Core.
type CoreOptions struct {
	Instance    api.InstanceID
	Incarnation uint64
	// Seed makes the retry delays of instances differ.
	Seed uint64

	// The following are mutations: each breaks one rule on purpose, and the
	// property tests have to detect it.
	resendUnknown        bool // sends again after a lost response
	trustExpiredClaim    bool // sends after the dispatch window
	trustUnfencedAbsence bool // takes "not booked yet" for "never booked"
	trustConflict        bool // treats any existing claim as its own
	sendAfterRefusal     bool // sends an order after its caller was told that it is not sent
}

// Core is the state machine of the orders of one instance. It has no I/O and no
// clock: a Runner passes events to it and carries out its actions.
type Core struct {
	options             CoreOptions
	random              *rand.Rand
	operations          map[uint64]*operation
	submissions         map[string]*operation    // submitted orders until their operation ends, by order ID
	resolutions         map[string]*operation    // by order ID
	lastRecheck         map[string]time.Duration // last booking check of an order recorded as unknown, by order ID
	abandonedClaimCount int                      // operations whose claim is abandoned
	internalOpCount     uint64                   // operations that the core started itself so far
	// unrecordedOutcomeCount is the number of operations whose outcome is being
	// recorded.
	unrecordedOutcomeCount int
	actions                []Action
	now                    time.Duration
}

// NewCore returns a core without operations.
func NewCore(o CoreOptions) *Core {
	return &Core{
		options:     o,
		random:      rand.New(rand.NewPCG(o.Seed, o.Incarnation)),
		operations:  make(map[uint64]*operation),
		submissions: make(map[string]*operation),
		resolutions: make(map[string]*operation),
		lastRecheck: make(map[string]time.Duration),
	}
}

// firstInternalOpID is the lowest ID of the operations that the core starts
// itself. The IDs of submitted operations count up from 1.
const firstInternalOpID = uint64(1) << 63

// Step handles one event and returns the resulting actions.
func (c *Core) Step(now time.Duration, event Event) []Action {
	c.now = now
	c.actions = nil
	switch e := event.(type) {
	case OrderSubmitted:
		c.submitOrder(e)
	case StateRequested:
		c.replyWithState(e)
	case UnresolvedClaimFound:
		c.unresolvedClaimFound(e)
	case ClaimWritten:
		c.withOperation(e.OpID, func(o *operation) { c.claimWritten(o, e) })
	case ClaimRead:
		c.withOperation(e.OpID, func(o *operation) { c.claimRead(o, e) })
	case SendFinished:
		c.withOperation(e.OpID, func(o *operation) { c.sendFinished(o, e) })
	case BookingChecked:
		c.withOperation(e.OpID, func(o *operation) { c.bookingChecked(o, e) })
	case Tick:
		c.tick()
	}
	return c.actions
}

// ActiveOperations returns the number of operations that have to end before the
// instance may stop. Resolutions and the removal of abandoned claims are not
// counted: any other instance can do their work.
func (c *Core) ActiveOperations() int {
	return len(c.operations) - len(c.resolutions) - c.abandonedClaimCount
}

func (c *Core) withOperation(id uint64, handle func(*operation)) {
	if o, ok := c.operations[id]; ok {
		handle(o)
	}
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) submitOrder(e OrderSubmitted) {
	if len(c.submissions) >= maxSubmissions || c.unrecordedOutcomeCount >= maxUnrecordedOutcomes {
		c.refuseNew(e.OpID, reason.New(reason.Overloaded, "too many orders are under way").WithRetryAfter(time.Second))
		return
	}
	if running, ok := c.submissions[e.OrderID]; ok {
		c.replyToDuplicate(e, running)
		return
	}
	o := &operation{id: e.OpID, orderID: e.OrderID, claim: e.Claim, digest: e.Claim.Digest, deadline: e.Deadline, placementError: e.PlacementError}
	o.startedAt = c.now
	c.operations[o.id] = o
	if o.placementError != nil {
		c.readClaim(o, phaseReadingForReply)
		return
	}
	o.ownsClaim = true
	o.sendNotAfter = min(c.now+DispatchWindow, e.Deadline)
	c.submissions[o.orderID] = o
	c.createClaim(o)
}

// replyToDuplicate responds to an order whose key is in use by a running
// submission of this instance. A known outcome is reported before it is recorded.
func (c *Core) replyToDuplicate(e OrderSubmitted, running *operation) {
	if running.claim.Digest != e.Claim.Digest || !running.claim.State.HasOutcome() {
		c.refuseNew(e.OpID, duplicateKeyError(running.claim, e.Claim.Digest))
		return
	}
	c.emit(ReplyToCaller{OpID: e.OpID, Claim: running.claim})
	c.emit(EndOperation{OpID: e.OpID})
}

// refuseNew refuses an order for which no operation was created.
func (c *Core) refuseNew(id uint64, refusal *reason.Error) {
	c.emit(ReplyToCaller{OpID: id, Refusal: refusal})
	c.emit(EndOperation{OpID: id})
}

func (c *Core) replyWithState(e StateRequested) {
	if running, ok := c.submissions[e.OrderID]; ok && running.claim.State.HasOutcome() {
		c.emit(ReplyToCaller{OpID: e.OpID, Claim: running.claim})
		c.emit(EndOperation{OpID: e.OpID})
		return
	}
	o := &operation{id: e.OpID, orderID: e.OrderID, deadline: e.Deadline, startedAt: c.now, isStateRequest: true}
	c.operations[o.id] = o
	c.readClaim(o, phaseReadingForReply)
}

func (c *Core) unresolvedClaimFound(e UnresolvedClaimFound) {
	if _, submitted := c.submissions[e.OrderID]; !submitted {
		c.startResolution(e.OrderID, e.Stored, e.Age)
	}
}

func (c *Core) createClaim(o *operation) {
	o.phase = phaseCreatingClaim
	c.emit(CreateClaim{OpID: o.id, OrderID: o.orderID, Claim: o.claim})
}

// readClaim reads the claim; the phase selects the handler of the result.
func (c *Core) readClaim(o *operation, p operationPhase) {
	o.phase = p
	c.emit(ReadClaim{OpID: o.id, OrderID: o.orderID})
}

// scheduleRetry enters a waiting phase for an exponential delay with jitter.
func (c *Core) scheduleRetry(o *operation, p operationPhase) {
	o.phase = p
	o.backoff = min(max(o.backoff*2, minBackoff), maxBackoff)
	jitter := time.Duration(c.random.Int64N(int64(o.backoff)/4 + 1))
	o.retryAt = c.now + o.backoff + jitter
}

func (c *Core) reply(o *operation, claim Claim) {
	if !o.replied && !o.isInternal() {
		o.replied = true
		c.emit(ReplyToCaller{OpID: o.id, Claim: claim})
	}
}

func (c *Core) refuse(o *operation, refusal *reason.Error) {
	if !o.replied && !o.isInternal() {
		o.replied = true
		c.emit(ReplyToCaller{OpID: o.id, Refusal: refusal})
	}
}

// end removes the operation. A caller without a reply is told that the outcome
// is unknown.
func (c *Core) end(o *operation, outcomeNotRecorded bool) {
	if !o.replied && !o.isInternal() {
		c.refuse(o, reason.New(reason.OrderUnknown, "the outcome is not known yet").WithRun(reason.RunUnknown))
	}
	o.phase = phaseEnded
	delete(c.operations, o.id)
	if o.claimAbandoned {
		c.abandonedClaimCount--
	}
	if o.outcomeKnown {
		c.unrecordedOutcomeCount--
	}
	if c.submissions[o.orderID] == o {
		delete(c.submissions, o.orderID)
	}
	if c.resolutions[o.orderID] == o {
		delete(c.resolutions, o.orderID)
	}
	c.emit(EndOperation{OpID: o.id, OutcomeNotRecorded: outcomeNotRecorded})
}

func (c *Core) tick() {
	for _, o := range c.operationsByID() {
		c.checkDeadline(o)
		if o.phase.isWaiting() && c.now >= o.retryAt {
			c.retry(o)
		}
	}
	for id, at := range c.lastRecheck {
		if c.now-at > minRecheckInterval {
			delete(c.lastRecheck, id)
		}
	}
}

// operationsByID returns the operations sorted by ID, so that the sequence of
// actions is deterministic.
func (c *Core) operationsByID() []*operation {
	list := make([]*operation, 0, len(c.operations))
	for _, o := range c.operations {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b *operation) int { return cmp.Compare(a.id, b.id) })
	return list
}

// checkDeadline responds to a caller whose deadline has passed. An order without
// a SendOrder action at the end of its dispatch window is refused and never sent.
func (c *Core) checkDeadline(o *operation) {
	switch {
	case o.replied || o.isInternal():
	case o.ownsClaim && o.phase.isCreatingClaim():
		c.abandonIfWindowPassed(o)
	case c.now < o.deadline:
	case o.isStateRequest || o.placementError != nil:
		c.refuse(o, reason.New(reason.DeadlineExceeded, "the store did not answer in time").WithRun(reason.RunUnknown))
	default:
		c.refuse(o, reason.New(reason.OrderUnknown, "the service did not answer in time").WithRun(reason.RunUnknown))
	}
}

// abandonIfWindowPassed abandons the claim of an order that can no longer be sent.
// The reason says what the creation of the claim was waiting for.
func (c *Core) abandonIfWindowPassed(o *operation) {
	if c.now < o.sendNotAfter {
		return
	}
	why := reason.StoreUnavailable
	switch {
	case c.now >= o.deadline:
		why = reason.DeadlineExceeded
	case o.phase == phaseCreateBackoff:
		why = reason.StoreRateLimited
	}
	c.abandonClaim(o, why, !o.phase.isWaiting())
}

// writerID identifies the operation in the Writer field of the claims it writes.
func (c *Core) writerID(o *operation) string {
	return fmt.Sprintf("%s/%d/%d", c.options.Instance, c.options.Incarnation, o.id)
}

// duplicateKeyError is the refusal of an order whose key has a claim without an
// outcome, or a claim with another body.
func duplicateKeyError(claim Claim, digest string) *reason.Error {
	if claim.Digest != digest {
		return reason.New(reason.KeyReused, "the Idempotency-Key was used with another body")
	}
	return reason.New(reason.OrderInProgress, "the order is being dispatched").
		WithRun(reason.RunUnknown).WithRetryAfter(time.Second)
}
