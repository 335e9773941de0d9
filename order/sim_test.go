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

// chooser is the source of all choices of a simulation.
type chooser interface{ intn(n int) int }

// message is an order on its way to the service.
type message struct {
	send     SendOrder
	claimID  string
	node     *node
	reported bool // the holder was told that the answer is lost
}

// node is one instance of the simulation. A node whose inbox is not read and
// which gets no tick is a paused one.
type node struct {
	name        string
	incarnation uint64
	core        *Core
	claims      ClaimStore
	pending     []Action
	inbox       []Event
	ops         map[uint64]*simOp
}

type simOp struct {
	id      string
	claimID string
	at      time.Duration
	query   bool
}

type told struct {
	notRun, unknown bool
}

// world is a simulation of instances, the store and one service.
type world struct {
	choose   chooser
	variant  CoreOptions
	batch    bool
	now      time.Duration
	store    *storetest.Store
	fault    storetest.Fault
	nodes    []*node
	network  []*message
	checks   bool // the service checks fencing numbers
	offers   bool // the service offers a lookup
	fences   map[string]uint64
	bookings map[string][]string // claim ids by order
	told     map[string]*told    // by claim id
	nextOp   uint64
	outage   bool
	healed   bool // no more faults
	err      error
}

const (
	simNodes = 3
	simKeys  = 2
)

// simDelays has mostly short times, so that many claims are sent in time.
var simDelays = []time.Duration{
	0, time.Second, 20 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 50 * time.Millisecond,
	300 * time.Millisecond, 2 * time.Second, 5 * time.Second,
}

func newWorld(choose chooser, variant CoreOptions, batch bool) *world {
	w := &world{
		choose: choose, variant: variant, batch: batch, store: storetest.New(),
		fences: make(map[string]uint64), bookings: make(map[string][]string), told: make(map[string]*told),
		checks: choose.intn(2) == 0, offers: choose.intn(3) > 0,
	}
	w.store.SetFaultHook(func(storetest.Call) storetest.Fault { return w.fault })
	for i := 0; i < simNodes; i++ {
		n := &node{name: fmt.Sprintf("i%d", i)}
		w.nodes = append(w.nodes, n)
		w.start(n)
	}
	return w
}

func (w *world) start(n *node) {
	n.incarnation++
	options := w.variant
	options.Instance, options.Incarnation, options.Seed = api.InstanceID(n.name), n.incarnation, 7
	n.core = NewCore(options)
	n.claims = NewClaimStore(w.store)
	if w.batch {
		n.claims = NewBatchClaimStore(w.store, 0, w.wall)
	}
	n.pending, n.inbox, n.ops = nil, nil, make(map[uint64]*simOp)
}

func (w *world) failf(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

// run takes random steps and returns the first broken rule.
func (w *world) run(steps int) error {
	for i := 0; i < steps && w.err == nil; i++ {
		w.randomStep()
	}
	if w.err == nil {
		w.settle()
	}
	return w.err
}

func (w *world) randomStep() {
	n := w.nodes[w.choose.intn(len(w.nodes))]
	if w.choose.intn(3) > 0 {
		n = w.busiest(n)
	}
	switch w.choose.intn(20) {
	case 0:
		w.submit(n, w.choose.intn(simKeys), w.choose.intn(6))
	case 1:
		w.query(n, w.choose.intn(simKeys))
	case 2, 3, 4, 5, 6, 7, 8:
		w.executeOne(n)
	case 9, 10, 11, 12:
		w.handleOne(n)
	case 13, 14, 15:
		w.now += simDelays[w.choose.intn(len(simDelays))]
		w.step(n, Tick{})
	case 16, 17:
		w.moveMessage()
	case 18:
		w.store.SetFaultHook(nil)
		w.store.ApplyDeferredWrites()
		w.store.SetFaultHook(func(storetest.Call) storetest.Fault { return w.fault })
	default:
		w.disturb(n)
	}
}

// busiest prefers an instance that has something to do.
func (w *world) busiest(n *node) *node {
	for _, other := range w.nodes {
		if len(other.pending)+len(other.inbox) > len(n.pending)+len(n.inbox) {
			n = other
		}
	}
	return n
}

func (w *world) disturb(n *node) {
	switch w.choose.intn(4) {
	case 0:
		w.start(n) // the instance dies and comes back without its state
	case 1:
		w.outage = !w.outage
		w.store.SetUnavailable(w.outage)
	case 2:
		w.sweep(n, w.choose.intn(simKeys))
	default:
		w.step(n, Tick{})
	}
}

func simOrder(key int) string { return DeriveID("acct", fmt.Sprint("key", key)) }

func (w *world) submit(n *node, key, body int) {
	w.nextOp++
	op := &simOp{id: simOrder(key), claimID: fmt.Sprint("claim", w.nextOp), at: w.now}
	n.ops[w.nextOp] = op
	digest := "body"
	if body == 0 {
		digest = "other"
	}
	claim := Claim{Digest: digest, ClaimID: op.claimID, Endpoint: "svc", State: StateClaimed, UnixMilli: w.now.Milliseconds()}
	deadline := w.now + []time.Duration{time.Second, 10 * time.Second}[w.choose.intn(2)]
	w.step(n, OrderSubmitted{OpID: w.nextOp, OrderID: op.id, Claim: claim, Deadline: deadline})
}

func (w *world) query(n *node, key int) {
	w.nextOp++
	n.ops[w.nextOp] = &simOp{id: simOrder(key), at: w.now, query: true}
	w.step(n, StateRequested{OpID: w.nextOp, OrderID: simOrder(key), Deadline: w.now + 5*time.Second})
}

// sweep hands the claims of one key to a node, as a sweep of its shard does.
func (w *world) sweep(n *node, key int) {
	stored, err := n.claims.Read(context.Background(), simOrder(key))
	if err == nil && (!stored.State.Final() || stored.State == StateUnknown) {
		w.step(n, UnresolvedClaimFound{OrderID: simOrder(key), Stored: stored, Age: w.now - time.Duration(stored.UnixMilli)*time.Millisecond})
	}
}

func (w *world) step(n *node, e Event) {
	for _, action := range n.core.Step(w.now, e) {
		switch a := action.(type) {
		case ReplyToCaller:
			w.replied(n.ops[a.OpID], a)
		case EndOperation:
		default:
			n.pending = append(n.pending, action)
		}
	}
}

func (w *world) handleOne(n *node) {
	if len(n.inbox) == 0 {
		return
	}
	e := n.inbox[0]
	n.inbox = n.inbox[1:]
	w.step(n, e)
}

func (w *world) executeOne(n *node) {
	if len(n.pending) == 0 {
		return
	}
	i := w.choose.intn(len(n.pending))
	action := n.pending[i]
	n.pending = append(n.pending[:i:i], n.pending[i+1:]...)
	w.drawFault()
	if event := w.execute(n, action); event != nil {
		n.inbox = append(n.inbox, event)
	}
	w.fault = storetest.Fault{}
}

func (w *world) drawFault() {
	switch w.choose.intn(8) {
	case 2:
		w.fault = storetest.Fault{Err: store.ErrRateLimited}
	case 0:
		w.fault = storetest.Fault{LoseResponse: true}
	case 1:
		w.fault = storetest.Fault{Defer: true}
	default:
		w.fault = storetest.Fault{}
	}
}

var simRunner = &Runner{metrics: newMetrics(noopScope)}

func (w *world) execute(n *node, action Action) Event {
	ctx := context.Background()
	switch a := action.(type) {
	case CreateClaim:
		revision, err := n.claims.Create(ctx, a.OrderID, a.Claim)
		return simRunner.written(a.OpID, revision, err)
	case UpdateClaim:
		revision, err := n.claims.Update(ctx, a.OrderID, a.Claim, a.ExpectedRevision)
		return simRunner.written(a.OpID, revision, err)
	case DeleteClaim:
		return simRunner.written(a.OpID, 0, n.claims.Delete(ctx, a.OrderID, a.ExpectedRevision))
	case ReadClaim:
		return w.read(ctx, n, a)
	case SendOrder:
		return w.send(n, a)
	case CheckBooking:
		return w.ask(a)
	}
	return nil
}

func (w *world) wall() time.Time { return time.UnixMilli(w.now.Milliseconds()) }

// read passes an age by a wall clock that is an hour wrong now and then.
func (w *world) read(ctx context.Context, n *node, a ReadClaim) Event {
	event := readEvent(ctx, n.claims, a, w.wall())
	if w.oneIn(10) {
		event.Age += time.Hour
	}
	return event
}

// send applies the check before the first byte and puts the order on the wire.
func (w *world) send(n *node, a SendOrder) Event {
	if w.now >= a.NotAfter || w.oneIn(10) {
		return SendFinished{OpID: a.OpID, Result: SendSkipped, Reason: reason.DispatchWindow}
	}
	op := n.ops[a.OpID]
	if w.now >= op.at+DispatchWindow {
		w.failf("order %s was sent %v after its claim began", a.OrderID, w.now-op.at)
	}
	w.network = append(w.network, &message{send: a, claimID: op.claimID, node: n})
	return nil
}

// moveMessage loses the answer of a message or delivers it, in any order and
// at any time after it was sent.
func (w *world) moveMessage() {
	if len(w.network) == 0 {
		return
	}
	i := 0
	if !w.healed {
		i = w.choose.intn(len(w.network))
	}
	m := w.network[i]
	if !m.reported && w.oneIn(3) {
		m.reported = true
		w.answerSend(m, SendFinished{OpID: m.send.OpID, Result: SendUnknown})
		return
	}
	w.network = append(w.network[:i:i], w.network[i+1:]...)
	result := w.deliver(m)
	if m.reported {
		return
	}
	if w.oneIn(3) {
		result = SendUnknown
	}
	w.answerSend(m, SendFinished{OpID: m.send.OpID, Result: result})
}

func (w *world) answerSend(m *message, e SendFinished) {
	if _, alive := m.node.ops[e.OpID]; alive {
		m.node.inbox = append(m.node.inbox, e)
	}
}

func (w *world) deliver(m *message) SendResult {
	id := m.send.OrderID
	if w.checks && m.send.Fence < w.fences[id] {
		return SendRefused
	}
	w.bookings[id] = append(w.bookings[id], m.claimID)
	if len(w.bookings[id]) > 1 {
		w.failf("order %s is booked %d times", id, len(w.bookings[id]))
	}
	if t := w.told[m.claimID]; t != nil && t.notRun {
		w.failf("claim %s of order %s is booked after a caller was told that it was not run", m.claimID, id)
	}
	return SendBooked
}

func (w *world) ask(a CheckBooking) Event {
	booked := len(w.bookings[a.OrderID]) > 0
	fencing := w.checks && a.Fence > 0
	switch {
	case w.oneIn(8):
		return BookingChecked{OpID: a.OpID, Result: BookingCheckFailed}
	case fencing && a.Fence < w.fences[a.OrderID]:
		return BookingChecked{OpID: a.OpID, Result: BookingFenceStale}
	case fencing:
		w.fences[a.OrderID] = a.Fence
	case !w.offers:
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

// replied checks what a caller is told.
func (w *world) replied(op *simOp, a ReplyToCaller) {
	if a.Refusal != nil {
		if a.Refusal.Run == reason.RunNo && !op.query {
			w.tellNotRun(op.id, op.claimID)
		}
		return
	}
	switch a.Claim.State {
	case StateNotRun:
		// The holder itself may know better than a recorded "unknown".
		recorded := op.query || op.claimID != a.Claim.ClaimID
		if recorded && w.tell(a.Claim.ClaimID).unknown {
			w.failf("claim %s was unknown and became not_run", a.Claim.ClaimID)
		}
		w.tellNotRun(op.id, a.Claim.ClaimID)
	case StateUnknown:
		w.tell(a.Claim.ClaimID).unknown = true
	case StateDone:
		if len(w.bookings[op.id]) == 0 {
			w.failf("order %s was told done and is not booked", op.id)
		}
	}
}

func (w *world) tell(claimID string) *told {
	if w.told[claimID] == nil {
		w.told[claimID] = &told{}
	}
	return w.told[claimID]
}

func (w *world) tellNotRun(id, claimID string) {
	w.tell(claimID).notRun = true
	for _, booked := range w.bookings[id] {
		if booked == claimID {
			w.failf("claim %s of order %s was told not run and is booked", claimID, id)
		}
	}
}

// settle heals everything and checks that every claim gets an outcome.
func (w *world) settle() {
	w.outage = false
	w.store.SetUnavailable(false)
	w.store.SetFaultHook(nil)
	w.store.ApplyDeferredWrites()
	w.healed = true
	for i := 0; i < 1200 && w.err == nil; i++ {
		if i%200 == 0 {
			w.query(w.nodes[0], 0)
			w.query(w.nodes[1], 1)
		}
		w.now += 50 * time.Millisecond
		for len(w.network) > 0 {
			w.moveMessage()
		}
		for _, n := range w.nodes {
			w.settleNode(n)
		}
	}
	for key := 0; key < simKeys; key++ {
		stored, err := w.nodes[0].claims.Read(context.Background(), simOrder(key))
		if err == nil && !stored.State.Final() {
			w.failf("order %d is still %s after everything works again", key, stored.State)
		}
	}
}

func (w *world) settleNode(n *node) {
	w.step(n, Tick{})
	for len(n.pending)+len(n.inbox) > 0 {
		w.handleOne(n)
		if len(n.pending) == 0 {
			continue
		}
		action := n.pending[0]
		n.pending = n.pending[1:]
		if event := w.execute(n, action); event != nil {
			w.step(n, event)
		}
	}
}

func (w *world) oneIn(n int) bool { return !w.healed && w.choose.intn(n) == 0 }
