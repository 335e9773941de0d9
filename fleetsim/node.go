package fleetsim

import (
	"encoding/json"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/fleet"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/store"
	"github.com/hibiscusstair/hibiscusstair/ticket"
)

// CoreOverrides are functions that change the options of the cores of an instance,
// for example to enable a mutation. They may be nil.
type CoreOverrides struct {
	Fleet  func(*fleet.CoreOptions)
	Ticket func(*ticket.CoreOptions)
}

// Node is one simulated process of an instance. An instance is identified by its ID;
// after a restart a new Node has the same ID.
type Node struct {
	sim           *Sim
	id            api.InstanceID
	half          api.Half
	place         api.Place
	address       string
	fleet         *fleet.Core
	ticket        *ticket.Core
	overrides     CoreOverrides
	seedAddresses []string

	killed           bool
	paused           bool
	deferredEvents   []func() // events that arrived during a pause
	partition        int      // network partition
	storeUnreachable bool
	delistedAt       time.Duration // when the platform's instance list drops it, neverDelisted, or notListedYet

	tableRevision   uint64        // revision of the member table passed to the ticket core
	trafficBytes    int64         // bytes sent and received
	coreTime        time.Duration // time spent in the cores while Sim.measureCoreTime is set
	runningRequests map[api.EndpointID]int
}

// addNode adds a process that starts after a delay.
func (s *Sim) addNode(id string, half api.Half, place api.Place, overrides CoreOverrides, delay time.Duration) *Node {
	s.addedNodes++
	n := &Node{
		sim: s, id: api.InstanceID(id), half: half, place: place, overrides: overrides,
		address:         fmt.Sprintf("10.%d.%d.%d:7000", s.addedNodes>>16, s.addedNodes>>8&255, s.addedNodes&255),
		runningRequests: make(map[api.EndpointID]int),
		delistedAt:      notListedYet,
	}
	s.nodes = append(s.nodes, n)
	s.byAddress[n.address] = n
	s.clock.after(delay, n.start)
	return n
}

// start creates the cores and starts their ticks.
func (n *Node) start() {
	fleetOptions := fleet.CoreOptions{
		Self: api.Member{
			ID: n.id, Incarnation: uint64(n.sim.clock.now / time.Millisecond),
			Address: n.address, Place: n.place, Half: n.half,
		},
		SeedAddresses: n.seedAddresses, AutoExpel: true, Seed: n.sim.options.Seed,
	}
	ticketOptions := ticket.CoreOptions{Instance: n.id, Half: n.half, Address: n.address, Seed: n.sim.options.Seed}
	if n.overrides.Fleet != nil {
		n.overrides.Fleet(&fleetOptions)
	}
	if n.overrides.Ticket != nil {
		n.overrides.Ticket(&ticketOptions)
	}
	n.fleet, n.ticket = fleet.NewCore(fleetOptions), ticket.NewCore(ticketOptions)
	n.delistedAt = neverDelisted
	n.tableRevision = ^uint64(0)
	n.every(fleetTickInterval, func() {
		n.stepFleet(n.ticketStatus(), nil)
		n.stepFleet(fleet.Tick{}, nil)
	})
	n.every(ticketTickInterval, n.tickTicket)
}

// every runs a function periodically; a paused process misses the runs.
func (n *Node) every(interval time.Duration, run func()) {
	if n.killed {
		return
	}
	if !n.paused {
		run()
	}
	n.sim.clock.after(interval, func() { n.every(interval, run) })
}

func (n *Node) running() bool { return n.fleet != nil && !n.killed && !n.paused }

// deliver runs an event of the process. The event is deferred until Resume if the
// process is paused, and dropped if it has not started yet or was killed.
func (n *Node) deliver(event func()) {
	switch {
	case n.killed:
	case n.paused:
		n.deferredEvents = append(n.deferredEvents, event)
	case n.fleet != nil:
		event()
	}
}

// ticketStatus returns the status of the ticket core, as fleet.Runner reads it.
func (n *Node) ticketStatus() fleet.TicketStatus {
	head := n.ticket.Head()
	return fleet.TicketStatus{
		Configured:  n.ticket.Ready(),
		HeadVersion: n.ticket.HeadVersion(), Latest: head.Latest, Accepted: head.Accepted,
		Acknowledged: head.Latest, StoreContact: n.ticket.StoreContact(), ExpelledIncarnation: n.ticket.ExpelledIncarnation(),
		Registrations: n.ticket.Registrations(),
	}
}

// checkServing returns what fleet.Runner.CheckServing would return in the process.
func (n *Node) checkServing() error {
	if n.fleet == nil {
		return store.ErrUnavailable // not started yet; callers only check for an error
	}
	status := n.fleet.Status(n.sim.clock.now)
	if status.Joined {
		status.Confirmed = max(status.Confirmed, n.ticket.StoreContact())
	}
	return status.CheckServing(n.sim.clock.now)
}

// reachableMembers returns the number of members, including the process itself,
// that are expected to respond.
func (n *Node) reachableMembers() int {
	count := 0
	for _, m := range n.fleet.Members() {
		if m.State.Reachable() {
			count++
		}
	}
	return count
}

// mayDispatch reports whether the process may start a request on the endpoint.
func (n *Node) mayDispatch(id api.EndpointID) bool {
	return n.running() && n.checkServing() == nil && n.ticket.Config().MayDispatch(id, n.half)
}

// tickTicket sends the ticket core the member table if it has changed, and a tick.
func (n *Node) tickTicket() {
	if revision := n.fleet.TableRevision(); revision != n.tableRevision {
		n.tableRevision = revision
		n.stepTicket(ticket.MembersChanged{Members: n.fleet.Members()}, nil)
	}
	var busy []api.EndpointID
	for _, id := range n.ticket.LeavingEndpoints() {
		if n.runningRequests[id] > 0 {
			busy = append(busy, id)
		}
	}
	status := n.fleet.Status(n.sim.clock.now)
	n.stepTicket(ticket.Tick{Incarnation: status.Incarnation, WatchesStore: status.WatchesStore, BusyEndpoints: busy}, nil)
}

// stepFleet passes an event to the fleet core and performs its actions. respond
// receives the response to ExchangeReceived; it may be nil for other events.
func (n *Node) stepFleet(ev fleet.Event, respond func(*peerpb.ExchangeResponse)) {
	startedAt := n.sim.wallTime()
	actions := n.fleet.Step(n.sim.clock.now, ev)
	n.coreTime += n.sim.wallTimeSince(startedAt)
	for _, action := range actions {
		n.performFleet(action, respond)
	}
	n.sim.notifyAfterEvent(n)
}

// stepTicket passes an event to the ticket core and performs its actions. respond
// receives the response to a request of a peer; it may be nil for other events.
func (n *Node) stepTicket(ev ticket.Event, respond func(ticket.PeerResponse)) {
	startedAt := n.sim.wallTime()
	actions := n.ticket.Step(n.sim.clock.now, ev)
	n.coreTime += n.sim.wallTimeSince(startedAt)
	for _, action := range actions {
		n.performTicket(action, respond)
	}
	n.sim.notifyAfterEvent(n)
}

func (s *Sim) notifyAfterEvent(n *Node) {
	if s.afterEvent != nil {
		s.afterEvent(n)
	}
}

// wallTime returns the wall clock time, or the zero time unless measureCoreTime is set.
func (s *Sim) wallTime() time.Time {
	if !s.measureCoreTime {
		return time.Time{}
	}
	return time.Now()
}

// wallTimeSince returns the wall clock time since startedAt, or zero unless
// measureCoreTime is set.
func (s *Sim) wallTimeSince(startedAt time.Time) time.Duration {
	if !s.measureCoreTime {
		return 0
	}
	return time.Since(startedAt)
}

func (n *Node) performFleet(action fleet.Action, respond func(*peerpb.ExchangeResponse)) {
	switch a := action.(type) {
	case fleet.SendExchange:
		n.exchange(a)
	case fleet.PeerResponse:
		respond(a.Response)
	case fleet.SendProbe:
		n.probe(a)
	case fleet.ReadInstanceList:
		n.readInstanceList()
	case fleet.ReadRegistrations:
		n.readRegistrations()
	case fleet.Register:
		n.register(a.Incarnation)
	case fleet.Expel:
		n.expel(a)
	case fleet.NewerTicketHead:
		n.stepTicket(ticket.HeadOffered{Address: a.Address, HeadVersion: a.HeadVersion}, nil)
	}
}

func (n *Node) exchange(a fleet.SendExchange) {
	sentAt := n.sim.clock.now
	done := func(response *peerpb.ExchangeResponse) {
		n.stepFleet(fleet.ExchangeDone{To: a.To, Address: a.Address, SentAt: sentAt, Response: response}, nil)
	}
	serve := func(to *Node) (int, func()) {
		var response *peerpb.ExchangeResponse
		to.stepFleet(fleet.ExchangeReceived{Request: a.Request}, func(r *peerpb.ExchangeResponse) { response = r })
		return proto.Size(response), func() { done(response) }
	}
	n.sim.send(n, a.Address, exchangeTimeout, proto.Size(a.Request), serve, func() { done(nil) })
}

func (n *Node) probe(a fleet.SendProbe) {
	sentAt := n.sim.clock.now
	done := func(ok bool) {
		n.stepFleet(fleet.ProbeDone{To: a.To, Incarnation: a.Incarnation, SentAt: sentAt, OK: ok}, nil)
	}
	serve := func(to *Node) (int, func()) {
		ok := to.id == a.To
		return probeResponseBytes, func() { done(ok) }
	}
	n.sim.send(n, a.Address, probeTimeout, probeRequestBytes, serve, func() { done(false) })
}

func (n *Node) readInstanceList() {
	done := fleet.InstanceListDone{RequestedAt: n.sim.clock.now}
	op := func() error {
		done.OK = true
		for _, other := range n.sim.nodes {
			if other.delistedAt == neverDelisted || other.delistedAt > n.sim.clock.now {
				done.Instances = append(done.Instances, fleet.ListedInstance{ID: other.id, Address: other.address})
			}
		}
		return nil
	}
	n.storeCall("instances", op, func(err error) {
		done.OK = err == nil
		n.stepFleet(done, nil)
	})
}

func (n *Node) readRegistrations() {
	var done fleet.RegistrationsDone
	op := func() error {
		for _, object := range n.sim.store.list(fleet.MemberPrefix) {
			var stored fleet.Registration
			if json.Unmarshal(object.Value, &stored) == nil {
				done.Registrations = append(done.Registrations, stored)
			}
		}
		return nil
	}
	n.storeCall("list", op, func(err error) {
		if err == nil {
			n.stepFleet(done, nil)
		}
	})
}

// storeCall runs op at the store and then done at the process.
func (n *Node) storeCall(method string, op func() error, done func(error)) {
	n.sim.store.call(method, n.storeUnreachable, op, func(err error) { n.deliver(func() { done(err) }) })
}

// register follows the rules of fleet.Runner.register, but as one atomic step at
// the store.
func (n *Node) register(incarnation uint64) {
	own := fleet.Registration{Instance: n.id, Incarnation: incarnation, Address: n.address, Half: n.half}
	done := fleet.RegisterDone{Incarnation: incarnation}
	op := func() error {
		key := fleet.MemberPrefix + string(n.id)
		object, err := n.sim.store.get(key)
		var stored fleet.Registration
		if err == nil {
			_ = json.Unmarshal(object.Value, &stored)
		}
		if err == nil && stored != own && stored.Incarnation >= incarnation {
			done.StoredIncarnation = stored.Incarnation
			return nil
		}
		if stored == own {
			return nil
		}
		value, _ := json.Marshal(own)
		_, err = n.sim.store.put(key, value, object.Version)
		return err
	}
	n.sim.store.calls["put"]++ // a real registration needs a read and a write
	n.storeCall("get", op, func(err error) {
		done.OK = err == nil && done.StoredIncarnation == 0
		n.stepFleet(done, nil)
	})
}

func (n *Node) expel(a fleet.Expel) {
	op := func() error {
		key := fleet.MemberPrefix + string(a.ID)
		object, err := n.sim.store.get(key)
		if err != nil {
			return nil // there is no registration to remove
		}
		var stored fleet.Registration
		_ = json.Unmarshal(object.Value, &stored)
		if stored.Incarnation > a.Incarnation {
			return store.ErrConflict
		}
		return n.sim.store.remove(key, object.Version)
	}
	n.storeCall("delete", op, func(err error) {
		n.stepFleet(fleet.ExpelDone{ID: a.ID, Incarnation: a.Incarnation, OK: err == nil}, nil)
	})
}
