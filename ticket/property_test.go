package ticket_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/fleetsim"
	_ "github.com/hibiscusstair/hibiscusstair/internal/testseed"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/ticket"
)

const (
	planInstances = 6
	planEndpoints = 3
)

// step is one random event of a plan.
type step struct {
	Kind     string
	Node     int
	Endpoint int
	Wait     int // tenths of a second after the step
}

var stepKinds = []string{
	"move", "move", "move", "race", "work", "work", "end", "kill", "restart",
	"pause", "pause_delisted", "resume", "partition", "heal", "cut", "store_down", "store_up", "lost_answers",
}

func planGenerator() *rapid.Generator[[]step] {
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind:     rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			Node:     rapid.IntRange(0, planInstances-1).Draw(t, "node"),
			Endpoint: rapid.IntRange(0, planEndpoints-1).Draw(t, "endpoint"),
			Wait:     rapid.SampledFrom([]int{0, 0, 1, 3, 10, 40, 120}).Draw(t, "wait"),
		}
	})
	return rapid.SliceOfN(one, 4, 14)
}

type workKey struct {
	node     *fleetsim.Node
	endpoint api.EndpointID
}

// world runs a plan and checks the properties after every event.
type world struct {
	sim     *fleetsim.Sim
	current []*fleetsim.Node // the latest process of each instance
	next    uint64
	failure error
	// accepted is the highest ticket that each process had in force.
	accepted map[*fleetsim.Node]uint64
	// named are the tickets that the store's head named, by number.
	named map[uint64]*ticket.Ticket
	// head is the store's head, owner the half of each endpoint by its accepted
	// tickets.
	head    ticket.Head
	version uint64
	owner   map[api.EndpointID]api.Half
	checked map[*fleetsim.Node]*api.Config
	// expelled is the work that a process ran when it was expelled. It may go on
	// after the process returned, and nobody waits for it.
	expelled map[workKey]bool
}

func newWorld(variant func(*ticket.CoreOptions)) *world {
	o := fleetsim.DefaultOptions(planInstances)
	o.DomainsPerRegion, o.StartSpread = 1, 0
	o.Overrides.Ticket = variant
	w := &world{
		sim: fleetsim.New(o), next: 1,
		accepted: make(map[*fleetsim.Node]uint64), named: make(map[uint64]*ticket.Ticket),
		checked: make(map[*fleetsim.Node]*api.Config), expelled: make(map[workKey]bool),
	}
	w.current = append(w.current, w.sim.Nodes()...)
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.failure == nil {
		w.failure = fmt.Errorf("at %s: %s", w.sim.Now(), fmt.Sprintf(format, args...))
	}
}

// run returns the first violation.
func (w *world) run(plan []step) error {
	w.sim.RunUntil(time.Minute, w.sim.Ready)
	first := &ticket.Ticket{Number: 1}
	for i := range planEndpoints {
		first.Endpoints = append(first.Endpoints, fleetsim.Engine(i, "north"))
	}
	w.sim.SubmitTicket(w.current[0], first, func(error) {})
	w.sim.Run(2 * time.Second)
	w.sim.AfterEvent(w.check)
	w.check(w.current[0])
	for _, s := range plan {
		w.do(s)
		w.sim.Run(time.Duration(s.Wait) * 100 * time.Millisecond)
		if w.failure != nil {
			return fmt.Errorf("after %s: %w", s.Kind, w.failure)
		}
	}
	w.settle()
	return w.failure
}

func endpointID(i int) api.EndpointID { return fleetsim.Engine(i, "").ID }

func (w *world) do(s step) {
	n := w.current[s.Node]
	switch s.Kind {
	case "move":
		w.move(n, s.Endpoint, w.otherHalf(s.Endpoint))
	case "race":
		other := w.current[(s.Node+1)%planInstances]
		number := w.next
		w.move(n, s.Endpoint, "north")
		w.next = number
		w.move(other, s.Endpoint, "south")
	case "work":
		n.StartRequest(endpointID(s.Endpoint))
	case "end":
		n.EndRequests(endpointID(s.Endpoint))
		delete(w.expelled, workKey{n, endpointID(s.Endpoint)})
	case "kill":
		w.kill(n)
	case "restart":
		if n.Killed() {
			w.current[s.Node] = w.sim.Restart(n)
		}
	case "pause":
		w.sim.Pause(n)
	case "pause_delisted":
		w.sim.Pause(n)
		w.sim.Delist(n)
	case "resume":
		w.sim.Resume(n)
	case "partition":
		w.sim.SetPartition(n, 1)
	case "heal":
		w.heal()
	case "cut":
		w.sim.SetStoreUnreachable(n, true)
	case "store_down":
		w.sim.SetStoreDown(true)
	case "store_up":
		w.sim.SetStoreDown(false)
	case "lost_answers":
		w.sim.SetWriteResponseLoss(0.3)
	}
}

func (w *world) kill(n *fleetsim.Node) {
	if !n.Killed() {
		w.sim.Kill(n)
	}
}

func (w *world) heal() {
	for _, n := range w.current {
		w.sim.SetPartition(n, 0)
		w.sim.SetStoreUnreachable(n, false)
	}
}

// otherHalf is the half that an endpoint does not belong to by the newest
// written ticket.
func (w *world) otherHalf(endpoint int) api.Half {
	if w.halves(w.head.Latest)[endpointID(endpoint)] == "north" {
		return "south"
	}
	return "north"
}

// halves is the oracle: the half of each endpoint by the named tickets up to a
// number, applied in order.
func (w *world) halves(number uint64) map[api.EndpointID]api.Half {
	halves := make(map[api.EndpointID]api.Half)
	for _, n := range w.head.Tickets {
		if n > number {
			break
		}
		for _, e := range w.named[n].Endpoints {
			halves[e.ID] = e.Half
		}
	}
	return halves
}

// move submits a ticket and checks its answer against the store.
func (w *world) move(n *fleetsim.Node, endpoint int, half api.Half) {
	w.next++
	t := &ticket.Ticket{Number: w.next, Endpoints: []api.Endpoint{fleetsim.Engine(endpoint, half)}}
	w.sim.SubmitTicket(n, t, func(err error) {
		head, stored := w.sim.StoreHead(), w.sim.StoreTicket(t.Number)
		named := false
		for _, number := range head.Tickets {
			named = named || number == t.Number
		}
		same := named && fmt.Sprint(*stored) == fmt.Sprint(*t)
		var typed *reason.Error
		switch {
		case err == nil && !same:
			w.fail("ticket %d was confirmed but the store has another", t.Number)
		case errors.As(err, &typed) && typed.Reason == reason.TicketConflict && same:
			w.fail("ticket %d was refused as a conflict but the store has it", t.Number)
		}
	})
}

// check runs after every event of a process.
func (w *world) check(n *fleetsim.Node) {
	if w.failure != nil {
		return
	}
	if version := w.sim.StoreHeadVersion(); version != w.version {
		w.version = version
		w.checkHistory(w.sim.StoreHead())
	}
	if w.checked[n] != n.Config() {
		w.checked[n] = n.Config()
		w.checkConfig(n)
	}
	w.checkDispatch()
}

// checkHistory: a ticket that the head named stays, with the same body, and the
// accepted number never falls.
func (w *world) checkHistory(head ticket.Head) {
	if head.Accepted < w.head.Accepted {
		w.fail("the head reverted from ticket %d to %d", w.head.Accepted, head.Accepted)
	}
	for i, number := range head.Tickets {
		if i > 0 && head.Tickets[i-1] >= number {
			w.fail("the head's tickets are not ascending: %v", head.Tickets)
		}
		stored := w.sim.StoreTicket(number)
		if named, known := w.named[number]; known && fmt.Sprint(*named) != fmt.Sprint(*stored) {
			w.fail("ticket %d was replaced", number)
		}
		w.named[number] = stored
	}
	if len(head.Tickets) != len(w.named) {
		w.fail("the head lost a ticket: %v", head.Tickets)
	}
	w.head = head
	w.owner = w.halves(head.Accepted)
}

// checkConfig: the configuration of a process is the fold of the accepted
// tickets by number, and its number never falls.
func (w *world) checkConfig(n *fleetsim.Node) {
	config := n.Config()
	if config.Ticket < w.accepted[n] {
		w.fail("%s reverted from ticket %d to %d", n.ID(), w.accepted[n], config.Ticket)
	}
	w.accepted[n] = config.Ticket
	for id, half := range w.halves(config.Ticket) {
		if config.Endpoints[id].Half != half {
			w.fail("%s has %s in half %q at ticket %d, want %q", n.ID(), id, config.Endpoints[id].Half, config.Ticket, half)
		}
	}
}

// checkDispatch: no unfenced instance starts work on an endpoint that left its
// half, and the new half starts none while the old half runs some.
func (w *world) checkDispatch() {
	for id, half := range w.owner {
		busy := w.busyElsewhere(id, half)
		for _, n := range w.current {
			if !n.MayDispatch(id) {
				continue
			}
			if n.Half() != half {
				w.fail("%s dispatches to %s, which belongs to %s since an accepted ticket\n%s", n.ID(), id, half, n.Describe())
			}
			if busy != "" {
				w.fail("%s dispatches to %s while %s of the other half runs work on it\n%s", n.ID(), id, busy, n.Describe())
			}
		}
	}
}

// busyElsewhere returns a registered instance of another half that runs work on
// the endpoint. An expelled one is not waited for.
func (w *world) busyElsewhere(id api.EndpointID, half api.Half) api.InstanceID {
	for _, n := range w.current {
		if n.Half() == half || n.RunningRequests(id) == 0 {
			continue
		}
		key := workKey{n, id}
		if !w.sim.Registered(n.ID()) {
			w.expelled[key] = true
		}
		if !w.expelled[key] {
			return n.ID()
		}
	}
	return ""
}

// settle ends all faults; then everything has to converge.
func (w *world) settle() {
	w.sim.SetStoreDown(false)
	w.sim.SetWriteResponseLoss(0)
	w.heal()
	for i, n := range w.current {
		w.sim.Resume(n)
		if n.Killed() {
			w.current[i] = w.sim.Restart(n)
		}
	}
	settled := w.sim.RunUntil(2*time.Minute, func() bool { return w.failure != nil || w.converged() })
	if !settled {
		w.fail("not settled: head %+v", w.sim.StoreHead())
		for _, n := range w.current {
			w.failure = fmt.Errorf("%w\n%s: ticket %d, gate %v, members %+v", w.failure, n.ID(), n.Config().Ticket, n.CheckServing(), n.Members())
		}
	}
}

func (w *world) converged() bool {
	head := w.sim.StoreHead()
	if head.Accepted != head.Latest {
		return false
	}
	for _, n := range w.current {
		reachable := 0
		for _, m := range n.Members() {
			if m.State == api.MemberAlive {
				reachable++
			}
		}
		if n.CheckServing() != nil || n.Config().Ticket != head.Latest || reachable != planInstances {
			return false
		}
	}
	return true
}

// TestTicketsUnderFaults guards against configurations that revert or differ,
// dispatch to an endpoint that left, and histories that racing operators break.
func TestTicketsUnderFaults(t *testing.T) {
	plans := planGenerator()
	rapid.Check(t, func(t *rapid.T) {
		plan := plans.Draw(t, "plan")
		if err := newWorld(nil).run(plan); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMutationsAreDetected guards against properties that hold for any core:
// each named wrong variant has to violate one.
func TestMutationsAreDetected(t *testing.T) {
	// Two instances of the north reach each other but neither the store nor others.
	apart := []step{{Kind: "partition", Node: 0}, {Kind: "partition", Node: 2}, {Kind: "cut", Node: 0}, {Kind: "cut", Node: 2}}
	// Plans that lead to the situation that each variant gets wrong.
	plans := map[string][]step{
		"acceptOnWrite":      append(apart, step{Kind: "move", Node: 1, Wait: 10}),
		"acceptUnregistered": append(apart, step{Kind: "end", Node: 1, Wait: 120}, step{Kind: "move", Node: 1, Wait: 40}),
		"skipCompare":        {{Kind: "race", Node: 0, Wait: 40}},
		"useHeldAtOnce":      {{Kind: "work", Node: 0}, {Kind: "move", Node: 1, Wait: 40}},
	}
	for name, variant := range ticket.Mutations {
		t.Run(name, func(t *testing.T) {
			if plans[name] == nil {
				t.Fatal("no plan for the variant")
			}
			if err := newWorld(nil).run(plans[name]); err != nil {
				t.Fatalf("the real core fails: %v", err)
			}
			err := newWorld(variant).run(plans[name])
			if err == nil {
				t.Fatal("no property caught the variant")
			}
			t.Log(err)
		})
	}
}
