package order

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/store"
	"github.com/hibiscusstair/hibiscusstair/store/storetest"
)

// choiceSource provides the random choices of a simulation.
type choiceSource interface{ intn(n int) int }

// orderInTransit is an order between its sender and the service.
type orderInTransit struct {
	send            SendOrder
	claimID         string
	sender          *simInstance
	reportedUnknown bool // the sender got SendUnknown, as after a lost response
}

// simInstance is a simulated instance. One that handles no pending events and gets
// no ticks behaves like a paused process.
type simInstance struct {
	name           string
	incarnation    uint64
	core           *Core
	claims         ClaimStore
	pendingActions []Action
	pendingEvents  []Event
	operations     map[uint64]*callerOperation
}

// callerOperation is an order or a request for its state that a caller sent.
type callerOperation struct {
	orderID        string
	claimID        string
	startedAt      time.Duration
	isStateRequest bool
}

// callerReplies holds which outcomes callers were told about one claim.
type callerReplies struct {
	notRun, unknown bool
}

// scenario simulates instances, the store and one service.
type scenario struct {
	choices          choiceSource
	mutation         CoreOptions
	batch            bool
	now              time.Duration
	store            *storetest.Store
	storeFault       storetest.Fault
	instances        []*simInstance
	inTransit        []*orderInTransit
	checksFence      bool                      // the service checks fencing tokens
	offersLookup     bool                      // the service reports its bookings
	fences           map[string]uint64         // lowest fencing token that the service accepts, by order ID
	bookings         map[string][]string       // claim IDs, by order ID
	replies          map[string]*callerReplies // by claim ID
	lastOpID         uint64
	storeUnavailable bool
	faultsStopped    bool
	violation        error // first violated rule
}

const (
	simInstances = 3
	simOrderKeys = 2
)

// simDelays has mostly short times, so that many orders are sent within their
// dispatch window.
var simDelays = []time.Duration{
	0, time.Second, 20 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 50 * time.Millisecond,
	300 * time.Millisecond, 2 * time.Second, 5 * time.Second,
}

func newScenario(choices choiceSource, mutation CoreOptions, batch bool) *scenario {
	s := &scenario{
		choices: choices, mutation: mutation, batch: batch, store: storetest.New(),
		fences: make(map[string]uint64), bookings: make(map[string][]string), replies: make(map[string]*callerReplies),
		checksFence: choices.intn(2) == 0, offersLookup: choices.intn(3) > 0,
	}
	s.store.SetFaultHook(func(storetest.Call) storetest.Fault { return s.storeFault })
	for i := 0; i < simInstances; i++ {
		instance := &simInstance{name: fmt.Sprintf("i%d", i)}
		s.instances = append(s.instances, instance)
		s.startInstance(instance)
	}
	return s
}

// startInstance starts the next incarnation of an instance without its old state.
func (s *scenario) startInstance(instance *simInstance) {
	instance.incarnation++
	options := s.mutation
	options.Instance, options.Incarnation, options.Seed = api.InstanceID(instance.name), instance.incarnation, 7
	instance.core = NewCore(options)
	instance.claims = NewClaimStore(s.store)
	if s.batch {
		instance.claims = NewBatchClaimStore(s.store, 0, s.wall)
	}
	instance.pendingActions, instance.pendingEvents, instance.operations = nil, nil, make(map[uint64]*callerOperation)
}

func (s *scenario) recordViolation(format string, args ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf(format, args...)
	}
}

// run takes random steps and returns the first violated rule.
func (s *scenario) run(steps int) error {
	for i := 0; i < steps && s.violation == nil; i++ {
		s.randomStep()
	}
	if s.violation == nil {
		s.stopFaultsAndCheckOutcomes()
	}
	return s.violation
}

func (s *scenario) randomStep() {
	instance := s.instances[s.choices.intn(len(s.instances))]
	if s.choices.intn(3) > 0 {
		instance = s.busiestInstance(instance)
	}
	switch s.choices.intn(20) {
	case 0:
		s.submitOrder(instance, s.choices.intn(simOrderKeys), s.choices.intn(6))
	case 1:
		s.requestState(instance, s.choices.intn(simOrderKeys))
	case 2, 3, 4, 5, 6, 7, 8:
		s.executeOneAction(instance)
	case 9, 10, 11, 12:
		s.handleOneEvent(instance)
	case 13, 14, 15:
		s.now += simDelays[s.choices.intn(len(simDelays))]
		s.step(instance, Tick{})
	case 16, 17:
		s.advanceOrderInTransit()
	case 18:
		s.store.SetFaultHook(nil)
		s.store.ApplyDeferredWrites()
		s.store.SetFaultHook(func(storetest.Call) storetest.Fault { return s.storeFault })
	default:
		s.injectFaultOrSweep(instance)
	}
}

// busiestInstance returns the instance with the most pending actions and events,
// and the given one if none has more.
func (s *scenario) busiestInstance(instance *simInstance) *simInstance {
	for _, other := range s.instances {
		if len(other.pendingActions)+len(other.pendingEvents) > len(instance.pendingActions)+len(instance.pendingEvents) {
			instance = other
		}
	}
	return instance
}

func (s *scenario) injectFaultOrSweep(instance *simInstance) {
	switch s.choices.intn(4) {
	case 0:
		s.startInstance(instance) // a crash and a restart
	case 1:
		s.storeUnavailable = !s.storeUnavailable
		s.store.SetUnavailable(s.storeUnavailable)
	case 2:
		s.reportUnresolvedClaim(instance, s.choices.intn(simOrderKeys))
	default:
		s.step(instance, Tick{})
	}
}

func simOrderID(key int) string { return DeriveID("acct", fmt.Sprint("key", key)) }

func (s *scenario) submitOrder(instance *simInstance, key, body int) {
	s.lastOpID++
	op := &callerOperation{orderID: simOrderID(key), claimID: fmt.Sprint("claim", s.lastOpID), startedAt: s.now}
	instance.operations[s.lastOpID] = op
	digest := "body"
	if body == 0 {
		digest = "other"
	}
	claim := Claim{Digest: digest, ClaimID: op.claimID, Endpoint: "svc", State: StateClaimed, UnixMilli: s.now.Milliseconds()}
	deadline := s.now + []time.Duration{time.Second, 10 * time.Second}[s.choices.intn(2)]
	s.step(instance, OrderSubmitted{OpID: s.lastOpID, OrderID: op.orderID, Claim: claim, Deadline: deadline})
}

func (s *scenario) requestState(instance *simInstance, key int) {
	s.lastOpID++
	instance.operations[s.lastOpID] = &callerOperation{orderID: simOrderID(key), startedAt: s.now, isStateRequest: true}
	s.step(instance, StateRequested{OpID: s.lastOpID, OrderID: simOrderID(key), Deadline: s.now + 5*time.Second})
}

// reportUnresolvedClaim passes the claim of one key to an instance, as a sweep of
// its shard does.
func (s *scenario) reportUnresolvedClaim(instance *simInstance, key int) {
	stored, err := instance.claims.Read(context.Background(), simOrderID(key))
	if err == nil && (!stored.State.HasOutcome() || stored.State == StateUnknown) {
		s.step(instance, UnresolvedClaimFound{OrderID: simOrderID(key), Stored: stored, Age: s.now - time.Duration(stored.UnixMilli)*time.Millisecond})
	}
}

func (s *scenario) step(instance *simInstance, e Event) {
	for _, action := range instance.core.Step(s.now, e) {
		switch a := action.(type) {
		case ReplyToCaller:
			s.checkReply(instance.operations[a.OpID], a)
		case EndOperation:
		default:
			instance.pendingActions = append(instance.pendingActions, action)
		}
	}
}

func (s *scenario) handleOneEvent(instance *simInstance) {
	if len(instance.pendingEvents) == 0 {
		return
	}
	e := instance.pendingEvents[0]
	instance.pendingEvents = instance.pendingEvents[1:]
	s.step(instance, e)
}

func (s *scenario) executeOneAction(instance *simInstance) {
	if len(instance.pendingActions) == 0 {
		return
	}
	i := s.choices.intn(len(instance.pendingActions))
	action := instance.pendingActions[i]
	instance.pendingActions = append(instance.pendingActions[:i:i], instance.pendingActions[i+1:]...)
	s.chooseStoreFault()
	if event := s.execute(instance, action); event != nil {
		instance.pendingEvents = append(instance.pendingEvents, event)
	}
	s.storeFault = storetest.Fault{}
}

func (s *scenario) chooseStoreFault() {
	switch s.choices.intn(8) {
	case 2:
		s.storeFault = storetest.Fault{Err: store.ErrRateLimited}
	case 0:
		s.storeFault = storetest.Fault{LoseResponse: true}
	case 1:
		s.storeFault = storetest.Fault{Defer: true}
	default:
		s.storeFault = storetest.Fault{}
	}
}

// resultClassifier has no core. It serves only to call claimWrittenEvent.
var resultClassifier = &Runner{metrics: newMetrics(noopScope)}

func (s *scenario) execute(instance *simInstance, action Action) Event {
	ctx := context.Background()
	switch a := action.(type) {
	case CreateClaim:
		revision, err := instance.claims.Create(ctx, a.OrderID, a.Claim)
		return resultClassifier.claimWrittenEvent(a.OpID, revision, err)
	case UpdateClaim:
		revision, err := instance.claims.Update(ctx, a.OrderID, a.Claim, a.ExpectedRevision)
		return resultClassifier.claimWrittenEvent(a.OpID, revision, err)
	case DeleteClaim:
		return resultClassifier.claimWrittenEvent(a.OpID, 0, instance.claims.Delete(ctx, a.OrderID, a.ExpectedRevision))
	case ReadClaim:
		return s.readClaim(ctx, instance, a)
	case SendOrder:
		return s.sendOrder(instance, a)
	case CheckBooking:
		return s.checkBooking(a)
	}
	return nil
}

func (s *scenario) wall() time.Time { return time.UnixMilli(s.now.Milliseconds()) }

// readClaim reads a claim. Some reads report an age from a wall clock that is wrong
// by an hour.
func (s *scenario) readClaim(ctx context.Context, instance *simInstance, a ReadClaim) Event {
	event := claimReadEvent(ctx, instance.claims, a, s.wall())
	if s.oneIn(10) {
		event.Age += time.Hour
	}
	return event
}

// sendOrder checks the dispatch window as the runner does before the first byte,
// and puts the order in transit. Some orders are not sent, as if that check had failed.
func (s *scenario) sendOrder(instance *simInstance, a SendOrder) Event {
	if s.now >= a.NotAfter || s.oneIn(10) {
		return SendFinished{OpID: a.OpID, Result: SendSkipped, Reason: reason.DispatchWindow}
	}
	op := instance.operations[a.OpID]
	if s.now >= op.startedAt+DispatchWindow {
		s.recordViolation("order %s was sent %v after the creation of its claim started", a.OrderID, s.now-op.startedAt)
	}
	s.inTransit = append(s.inTransit, &orderInTransit{send: a, claimID: op.claimID, sender: instance})
	return nil
}

// advanceOrderInTransit picks any order in transit. It reports the response as lost
// while the order is still on its way, or delivers the order to the service.
func (s *scenario) advanceOrderInTransit() {
	if len(s.inTransit) == 0 {
		return
	}
	i := 0
	if !s.faultsStopped {
		i = s.choices.intn(len(s.inTransit))
	}
	order := s.inTransit[i]
	if !order.reportedUnknown && s.oneIn(3) {
		order.reportedUnknown = true
		s.reportSendResult(order, SendFinished{OpID: order.send.OpID, Result: SendUnknown})
		return
	}
	s.inTransit = append(s.inTransit[:i:i], s.inTransit[i+1:]...)
	result := s.deliverToService(order)
	if order.reportedUnknown {
		return
	}
	if s.oneIn(3) {
		result = SendUnknown
	}
	s.reportSendResult(order, SendFinished{OpID: order.send.OpID, Result: result})
}

func (s *scenario) reportSendResult(order *orderInTransit, e SendFinished) {
	if _, known := order.sender.operations[e.OpID]; known { // unknown after a restart
		order.sender.pendingEvents = append(order.sender.pendingEvents, e)
	}
}

func (s *scenario) deliverToService(order *orderInTransit) SendResult {
	id := order.send.OrderID
	if s.checksFence && order.send.Fence < s.fences[id] {
		return SendRefused
	}
	s.bookings[id] = append(s.bookings[id], order.claimID)
	if len(s.bookings[id]) > 1 {
		s.recordViolation("order %s is booked %d times", id, len(s.bookings[id]))
	}
	if replies := s.replies[order.claimID]; replies != nil && replies.notRun {
		s.recordViolation("claim %s of order %s is booked after a caller was told that it was not run", order.claimID, id)
	}
	return SendBooked
}

// checkBooking returns what the service reports about an order.
func (s *scenario) checkBooking(a CheckBooking) Event {
	booked := len(s.bookings[a.OrderID]) > 0
	fencing := s.checksFence && a.Fence > 0
	switch {
	case s.oneIn(8):
		return BookingChecked{OpID: a.OpID, Result: BookingCheckFailed}
	case fencing && a.Fence < s.fences[a.OrderID]:
		return BookingChecked{OpID: a.OpID, Result: BookingFenceStale}
	case fencing:
		s.fences[a.OrderID] = a.Fence
	case !s.offersLookup:
		return BookingChecked{OpID: a.OpID, Result: BookingCheckUnsupported}
	}
	switch {
	case booked:
		return BookingChecked{OpID: a.OpID, Result: BookingFound}
	case fencing:
		return BookingChecked{OpID: a.OpID, Result: BookingAbsentFenced}
	default:
		return BookingChecked{OpID: a.OpID, Result: BookingAbsent}
	}
}

// checkReply checks the reply to a caller against the bookings and the earlier
// replies.
func (s *scenario) checkReply(op *callerOperation, a ReplyToCaller) {
	if a.Refusal != nil {
		if a.Refusal.Run == reason.RunNo && !op.isStateRequest {
			s.recordNotRun(op.orderID, op.claimID)
		}
		return
	}
	switch a.Claim.State {
	case StateNotRun:
		// The holder itself may know the outcome although "unknown" is recorded, so that
		// only a reply from the recorded claim contradicts the earlier one.
		recorded := op.isStateRequest || op.claimID != a.Claim.ClaimID
		if recorded && s.repliesFor(a.Claim.ClaimID).unknown {
			s.recordViolation("a caller was told not_run for claim %s after another was told unknown", a.Claim.ClaimID)
		}
		s.recordNotRun(op.orderID, a.Claim.ClaimID)
	case StateUnknown:
		s.repliesFor(a.Claim.ClaimID).unknown = true
	case StateDone:
		if len(s.bookings[op.orderID]) == 0 {
			s.recordViolation("a caller was told that order %s is done, but it is not booked", op.orderID)
		}
	}
}

func (s *scenario) repliesFor(claimID string) *callerReplies {
	if s.replies[claimID] == nil {
		s.replies[claimID] = &callerReplies{}
	}
	return s.replies[claimID]
}

func (s *scenario) recordNotRun(id, claimID string) {
	s.repliesFor(claimID).notRun = true
	for _, booked := range s.bookings[id] {
		if booked == claimID {
			s.recordViolation("a caller was told that claim %s of order %s was not run, but it is booked", claimID, id)
		}
	}
}

// stopFaultsAndCheckOutcomes ends all faults, runs all instances for a minute of
// simulated time and checks that every claim got an outcome.
func (s *scenario) stopFaultsAndCheckOutcomes() {
	s.storeUnavailable = false
	s.store.SetUnavailable(false)
	s.store.SetFaultHook(nil)
	s.store.ApplyDeferredWrites()
	s.faultsStopped = true
	for i := 0; i < 1200 && s.violation == nil; i++ {
		if i%200 == 0 {
			s.requestState(s.instances[0], 0)
			s.requestState(s.instances[1], 1)
		}
		s.now += 50 * time.Millisecond // a minute in 1200 steps
		for len(s.inTransit) > 0 {
			s.advanceOrderInTransit()
		}
		for _, instance := range s.instances {
			s.runUntilIdle(instance)
		}
	}
	for key := 0; key < simOrderKeys; key++ {
		stored, err := s.instances[0].claims.Read(context.Background(), simOrderID(key))
		if err == nil && !stored.State.HasOutcome() {
			s.recordViolation("the claim of key %d is still %s a minute after all faults ended", key, stored.State)
		}
	}
}

// runUntilIdle ticks an instance, then handles its events and executes its actions in
// order until none is left.
func (s *scenario) runUntilIdle(instance *simInstance) {
	s.step(instance, Tick{})
	for len(instance.pendingActions)+len(instance.pendingEvents) > 0 {
		s.handleOneEvent(instance)
		if len(instance.pendingActions) == 0 {
			continue
		}
		action := instance.pendingActions[0]
		instance.pendingActions = instance.pendingActions[1:]
		if event := s.execute(instance, action); event != nil {
			s.step(instance, event)
		}
	}
}

func (s *scenario) oneIn(n int) bool { return !s.faultsStopped && s.choices.intn(n) == 0 }
