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
	Instance int
	Endpoint int
	Wait     int // simulated time after the step, in tenths of a second
}

// stepKinds are the kinds of steps; repeated ones are drawn more often.
var stepKinds = []string{
	"move", "move", "move", "conflicting_moves", "start_request", "start_request", "end_requests", "kill", "restart",
	"pause", "pause_delisted", "resume", "partition", "heal", "store_unreachable", "store_down", "store_up", "lost_responses",
}

func planGenerator() *rapid.Generator[[]step] {
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind:     rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			Instance: rapid.IntRange(0, planInstances-1).Draw(t, "instance"),
			Endpoint: rapid.IntRange(0, planEndpoints-1).Draw(t, "endpoint"),
			Wait:     rapid.SampledFrom([]int{0, 0, 1, 3, 10, 40, 120}).Draw(t, "wait"),
		}
	})
	return rapid.SliceOfN(one, 4, 14)
}

// requestKey identifies the requests that a process runs on an endpoint.
type requestKey struct {
	node     *fleetsim.Node
	endpoint api.EndpointID
}

// scenario runs a plan in a simulated fleet and checks the properties after
// every event.
type scenario struct {
	sim        *fleetsim.Sim
	processes  []*fleetsim.Node // the latest process of each instance
	lastNumber uint64           // of the submitted tickets
	failure    error            // first violation
	// activeTicket is the highest ticket that was active in each process.
	activeTicket map[*fleetsim.Node]uint64
	// listed are the tickets that the store's head has listed, by number.
	listed map[uint64]*ticket.Ticket
	// head is the last seen head of the store, acceptedHalves the half of each
	// endpoint according to its accepted tickets.
	head           ticket.Head
	version        uint64 // of head
	acceptedHalves map[api.EndpointID]api.Half
	checked        map[*fleetsim.Node]*api.Config // configuration last checked
	// expelled are the requests that a process ran when it was expelled. They may
	// still run after the process rejoins, and no ticket waits for them.
	expelled map[requestKey]bool
}

func newScenario(mutation func(*ticket.CoreOptions)) *scenario {
	o := fleetsim.DefaultOptions(planInstances)
	o.DomainsPerRegion, o.StartSpread = 1, 0
	o.Overrides.Ticket = mutation
	sc := &scenario{
		sim: fleetsim.New(o), lastNumber: 1,
		activeTicket: make(map[*fleetsim.Node]uint64), listed: make(map[uint64]*ticket.Ticket),
		checked: make(map[*fleetsim.Node]*api.Config), expelled: make(map[requestKey]bool),
	}
	sc.processes = append(sc.processes, sc.sim.Nodes()...)
	return sc
}

func (sc *scenario) failf(format string, args ...any) {
	if sc.failure == nil {
		sc.failure = fmt.Errorf("at %s: %s", sc.sim.Now(), fmt.Sprintf(format, args...))
	}
}

// run runs a plan and returns the first violation.
func (sc *scenario) run(plan []step) error {
	sc.sim.RunUntil(time.Minute, sc.sim.Ready)
	first := &ticket.Ticket{Number: 1}
	for i := range planEndpoints {
		first.Endpoints = append(first.Endpoints, fleetsim.Engine(i, "north"))
	}
	sc.sim.SubmitTicket(sc.processes[0], first, func(error) {})
	sc.sim.Run(2 * time.Second)
	sc.sim.AfterEvent(sc.check)
	sc.check(sc.processes[0])
	for _, s := range plan {
		sc.perform(s)
		sc.sim.Run(time.Duration(s.Wait) * 100 * time.Millisecond)
		if sc.failure != nil {
			return fmt.Errorf("after %s: %w", s.Kind, sc.failure)
		}
	}
	sc.healAndCheckConvergence()
	return sc.failure
}

func endpointID(i int) api.EndpointID { return fleetsim.Engine(i, "").ID }

func (sc *scenario) perform(s step) {
	n := sc.processes[s.Instance]
	switch s.Kind {
	case "move":
		sc.move(n, s.Endpoint, sc.oppositeHalf(s.Endpoint))
	case "conflicting_moves":
		other := sc.processes[(s.Instance+1)%planInstances]
		number := sc.lastNumber
		sc.move(n, s.Endpoint, "north")
		sc.lastNumber = number
		sc.move(other, s.Endpoint, "south")
	case "start_request":
		n.StartRequest(endpointID(s.Endpoint))
	case "end_requests":
		n.EndRequests(endpointID(s.Endpoint))
		delete(sc.expelled, requestKey{n, endpointID(s.Endpoint)})
	case "kill":
		sc.kill(n)
	case "restart":
		if n.Killed() {
			sc.processes[s.Instance] = sc.sim.Restart(n)
		}
	case "pause":
		sc.sim.Pause(n)
	case "pause_delisted":
		sc.sim.Pause(n)
		sc.sim.Delist(n)
	case "resume":
		sc.sim.Resume(n)
	case "partition":
		sc.sim.SetPartition(n, 1)
	case "heal":
		sc.heal()
	case "store_unreachable":
		sc.sim.SetStoreUnreachable(n, true)
	case "store_down":
		sc.sim.SetStoreDown(true)
	case "store_up":
		sc.sim.SetStoreDown(false)
	case "lost_responses":
		sc.sim.SetWriteResponseLoss(0.3)
	}
}

func (sc *scenario) kill(n *fleetsim.Node) {
	if !n.Killed() {
		sc.sim.Kill(n)
	}
}

func (sc *scenario) heal() {
	for _, n := range sc.processes {
		sc.sim.SetPartition(n, 0)
		sc.sim.SetStoreUnreachable(n, false)
	}
}

// oppositeHalf returns the half that an endpoint does not belong to according to
// the newest written ticket.
func (sc *scenario) oppositeHalf(endpoint int) api.Half {
	if sc.halves(sc.head.Latest)[endpointID(endpoint)] == "north" {
		return "south"
	}
	return "north"
}

// halves is the oracle: the half of each endpoint according to the listed
// tickets up to a number, applied in order.
func (sc *scenario) halves(number uint64) map[api.EndpointID]api.Half {
	halves := make(map[api.EndpointID]api.Half)
	for _, n := range sc.head.Tickets {
		if n > number {
			break
		}
		for _, e := range sc.listed[n].Endpoints {
			halves[e.ID] = e.Half
		}
	}
	return halves
}

// move submits a ticket that moves an endpoint and checks the result against the
// store.
func (sc *scenario) move(n *fleetsim.Node, endpoint int, half api.Half) {
	sc.lastNumber++
	t := &ticket.Ticket{Number: sc.lastNumber, Endpoints: []api.Endpoint{fleetsim.Engine(endpoint, half)}}
	sc.sim.SubmitTicket(n, t, func(err error) {
		head, stored := sc.sim.StoreHead(), sc.sim.StoreTicket(t.Number)
		listed := false
		for _, number := range head.Tickets {
			listed = listed || number == t.Number
		}
		same := listed && fmt.Sprint(*stored) == fmt.Sprint(*t)
		var typed *reason.Error
		switch {
		case err == nil && !same:
			sc.failf("ticket %d was confirmed but the store does not list it with this body", t.Number)
		case errors.As(err, &typed) && typed.Reason == reason.TicketConflict && same:
			sc.failf("ticket %d was refused as a conflict but the store has it", t.Number)
		}
	})
}

// check runs after every event of a process. It checks the history of the head,
// the configuration of the process and the dispatch rules.
func (sc *scenario) check(n *fleetsim.Node) {
	if sc.failure != nil {
		return
	}
	if version := sc.sim.StoreHeadVersion(); version != sc.version {
		sc.version = version
		sc.checkHistory(sc.sim.StoreHead())
	}
	if sc.checked[n] != n.Config() {
		sc.checked[n] = n.Config()
		sc.checkConfig(n)
	}
	sc.checkDispatch()
}

// checkHistory checks that a listed ticket stays listed with the same body, and
// that the number of the accepted ticket never decreases.
func (sc *scenario) checkHistory(head ticket.Head) {
	if head.Accepted < sc.head.Accepted {
		sc.failf("the head reverted from ticket %d to %d", sc.head.Accepted, head.Accepted)
	}
	for i, number := range head.Tickets {
		if i > 0 && head.Tickets[i-1] >= number {
			sc.failf("the tickets of the head are not ascending: %v", head.Tickets)
		}
		stored := sc.sim.StoreTicket(number)
		if listed, known := sc.listed[number]; known && fmt.Sprint(*listed) != fmt.Sprint(*stored) {
			sc.failf("ticket %d was replaced", number)
		}
		sc.listed[number] = stored
	}
	if len(head.Tickets) != len(sc.listed) {
		sc.failf("the head no longer lists each of %d tickets: %v", len(sc.listed), head.Tickets)
	}
	sc.head = head
	sc.acceptedHalves = sc.halves(head.Accepted)
}

// checkConfig checks that the configuration of a process is the result of the
// accepted tickets in the order of their numbers, and that the number of its
// ticket never decreases.
func (sc *scenario) checkConfig(n *fleetsim.Node) {
	config := n.Config()
	if config.Ticket < sc.activeTicket[n] {
		sc.failf("%s reverted from ticket %d to %d", n.ID(), sc.activeTicket[n], config.Ticket)
	}
	sc.activeTicket[n] = config.Ticket
	for id, half := range sc.halves(config.Ticket) {
		if config.Endpoints[id].Half != half {
			sc.failf("%s has %s in half %q at ticket %d, want %q", n.ID(), id, config.Endpoints[id].Half, config.Ticket, half)
		}
	}
}

// checkDispatch checks that no unfenced instance starts requests on an endpoint
// that left its half, and that the new half starts none while the old half still
// runs some.
func (sc *scenario) checkDispatch() {
	for id, half := range sc.acceptedHalves {
		busy := sc.busyInOtherHalf(id, half)
		for _, n := range sc.processes {
			if !n.MayDispatch(id) {
				continue
			}
			if n.Half() != half {
				sc.failf("%s dispatches to %s, which an accepted ticket moved to half %q\n%s", n.ID(), id, half, n.Describe())
			}
			if busy != "" {
				sc.failf("%s dispatches to %s while %s of the other half runs requests on it\n%s", n.ID(), id, busy, n.Describe())
			}
		}
	}
}

// busyInOtherHalf returns a registered instance of another half that runs
// requests on the endpoint. Requests of an expelled instance do not count.
func (sc *scenario) busyInOtherHalf(id api.EndpointID, half api.Half) api.InstanceID {
	for _, n := range sc.processes {
		if n.Half() == half || n.RunningRequests(id) == 0 {
			continue
		}
		key := requestKey{n, id}
		if !sc.sim.Registered(n.ID()) {
			sc.expelled[key] = true
		}
		if !sc.expelled[key] {
			return n.ID()
		}
	}
	return ""
}

// healAndCheckConvergence ends all faults and checks that the fleet converges.
func (sc *scenario) healAndCheckConvergence() {
	sc.sim.SetStoreDown(false)
	sc.sim.SetWriteResponseLoss(0)
	sc.heal()
	for i, n := range sc.processes {
		sc.sim.Resume(n)
		if n.Killed() {
			sc.processes[i] = sc.sim.Restart(n)
		}
	}
	converged := sc.sim.RunUntil(2*time.Minute, func() bool { return sc.failure != nil || sc.converged() })
	if !converged {
		sc.failf("the fleet did not converge: head %+v", sc.sim.StoreHead())
		for _, n := range sc.processes {
			sc.failure = fmt.Errorf("%w\n%s: ticket %d, CheckServing: %v, members %+v", sc.failure, n.ID(), n.Config().Ticket, n.CheckServing(), n.Members())
		}
	}
}

// converged reports whether all instances serve, know each other and have the
// latest ticket active.
func (sc *scenario) converged() bool {
	head := sc.sim.StoreHead()
	if head.Accepted != head.Latest {
		return false
	}
	for _, n := range sc.processes {
		alive := 0
		for _, m := range n.Members() {
			if m.State == api.MemberAlive {
				alive++
			}
		}
		if n.CheckServing() != nil || n.Config().Ticket != head.Latest || alive != planInstances {
			return false
		}
	}
	return true
}

// TestTicketsUnderFaults guards against configurations that revert or differ
// between instances, requests to an endpoint that left the half, and tickets
// that are lost or replaced when two operators submit the same number.
func TestTicketsUnderFaults(t *testing.T) {
	plans := planGenerator()
	rapid.Check(t, func(t *rapid.T) {
		plan := plans.Draw(t, "plan")
		if err := newScenario(nil).run(plan); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMutationsAreDetected guards against properties that hold for every core:
// each mutation has to violate one.
func TestMutationsAreDetected(t *testing.T) {
	// Two instances of half north reach each other but neither the store nor the
	// other instances.
	isolateTwo := []step{{Kind: "partition", Instance: 0}, {Kind: "partition", Instance: 2}, {Kind: "store_unreachable", Instance: 0}, {Kind: "store_unreachable", Instance: 2}}
	// plans has for each mutation a plan in which it violates a property.
	plans := map[string][]step{
		"acceptOnWrite":      append(isolateTwo, step{Kind: "move", Instance: 1, Wait: 10}),
		"acceptUnregistered": append(isolateTwo, step{Kind: "end_requests", Instance: 1, Wait: 120}, step{Kind: "move", Instance: 1, Wait: 40}),
		"skipCompare":        {{Kind: "conflicting_moves", Instance: 0, Wait: 40}},
		"useHeldAtOnce":      {{Kind: "start_request", Instance: 0}, {Kind: "move", Instance: 1, Wait: 40}},
	}
	for name, mutation := range ticket.Mutations {
		t.Run(name, func(t *testing.T) {
			if plans[name] == nil {
				t.Fatalf("no plan for the mutation %s", name)
			}
			if err := newScenario(nil).run(plans[name]); err != nil {
				t.Fatalf("the core without mutation violates a property: %v", err)
			}
			err := newScenario(mutation).run(plans[name])
			if err == nil {
				t.Fatalf("no property detected the mutation %s", name)
			}
			t.Log(err)
		})
	}
}
