package ticket

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/store"
)

// Error is the class of this package's errors.
var Error = errs.Class("ticket")

// CoreOptions configures a Core.
type CoreOptions struct {
	Instance api.InstanceID
	Half     api.Half
	// Address is where peers reach this instance.
	Address string
	Seed    uint64

	// Wrong variants, which the property tests have to catch.
	acceptOnWrite      bool // a written ticket is accepted at once
	acceptUnregistered bool // acceptance does not look at the registrations
	useHeldAtOnce      bool // the new half does not wait for the old one
	skipCompare        bool // a stored body of the number is taken for the own one
	adoptOlderHead     bool // a head replaces one with a higher version
}

// View is what the core publishes. It is immutable.
type View struct {
	Config      *api.Config
	Head        Head
	HeadVersion uint64
	// LeavingEndpoints are the endpoints whose running work the instance reports.
	LeavingEndpoints []api.EndpointID
	Tickets          map[uint64]*body
	SnapshotState    *State // at Head.Snapshot
	// PendingSince is when each pending ticket was first seen here.
	PendingSince map[uint64]time.Duration
}

// body is a ticket with the bytes that the operator sent.
type body struct {
	raw    []byte
	ticket *Ticket
}

// known is a head with its store version.
type known struct {
	head    Head
	version uint64
}

// Core decides on tickets. It has no I/O and no clock.
type Core struct {
	options CoreOptions
	random  *rand.Rand
	out     []Action

	ready   bool
	applied known
	bodies  map[uint64]*body
	base    *State // at the applied head's snapshot
	state   *State // fold of the accepted tickets
	config  *api.Config
	leaving []api.EndpointID
	since   map[uint64]time.Duration

	catchup catchup
	watch   watch
	spread  spread
	acks    acks
	accept  accept
	applies []*applyJob
	compact compaction
	later   []timer

	members     []api.Member
	incarnation uint64
	calls       map[uint64]func(now time.Duration, r StoreDone)
	nextCall    uint64
}

// NewCore returns a core that knows no ticket.
func NewCore(o CoreOptions) *Core {
	c := &Core{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, peer.Score("ticket", o.Instance))),
		bodies:  make(map[uint64]*body),
		base:    NewState(),
		state:   NewState(),
		config:  &api.Config{},
		since:   make(map[uint64]time.Duration),
		calls:   make(map[uint64]func(time.Duration, StoreDone)),
	}
	c.watch.contact = -1
	c.watch.reached = -1
	c.acks.table = make(map[api.InstanceID]Ack)
	c.acks.forward = make(map[api.InstanceID]bool)
	c.acks.sent = make(map[api.InstanceID]*ackSent)
	return c
}

// Step applies one event and returns what to do. now is the boot clock.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.out = nil
	switch e := ev.(type) {
	case Tick:
		c.tick(now, e)
	case MembersChanged:
		c.members = e.Members
		c.acks.order = nil
	case TicketSubmitted:
		c.startApply(now, e)
	case HeadOffered:
		c.offered(now, e)
	case FetchReceived:
		c.fetchIn(e)
	case AcksReceived:
		c.ackIn(now, e)
	case StoreDone:
		c.storeDone(now, e)
	case FetchDone:
		c.fetchDone(now, e)
	case OfferDone:
		c.offerDone(now, e)
	case AckDone:
		c.ackDone(now, e)
	}
	return c.out
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

// call asks for a call to the store and keeps what to do with its result.
func (c *Core) call(s StoreCall, done func(now time.Duration, r StoreDone)) {
	c.nextCall++
	s.ID = c.nextCall
	c.calls[s.ID] = done
	c.emit(s)
}

func (c *Core) storeDone(now time.Duration, r StoreDone) {
	done, waiting := c.calls[r.ID]
	if !waiting {
		return
	}
	delete(c.calls, r.ID)
	if !errors.Is(r.Err, store.ErrUnavailable) && !errors.Is(r.Err, store.ErrUnknown) {
		c.watch.reached = now
	}
	done(now, r)
}

func (c *Core) tick(now time.Duration, e Tick) {
	c.incarnation = e.Incarnation
	c.reportBusy(now, e.BusyEndpoints)
	c.tickWatch(now, e.WatchesStore)
	c.advance(now)
	c.runTimers(now)
	c.sendAcks(now)
	c.forwardAcks(now)
	c.tryAccept(now)
	c.tryCompact(now)
}

// adopt applies a head whose tickets are all here.
func (c *Core) adopt(now time.Duration, next known) {
	previous := c.applied
	if c.ready && next.head.Accepted < previous.head.Accepted && !c.options.adoptOlderHead {
		c.emit(Note{Kind: NoteOlderHeadRefused, Ticket: previous.head.Accepted})
		return
	}
	first := !c.ready
	reload := first || previous.head.Latest < next.head.Snapshot
	c.foldBase(&next.head, reload)
	c.foldAccepted(&next.head, previous.head.Accepted, reload)
	c.applied = next
	c.ready = true
	c.noteProgress(now, previous.head)
	c.dropBodies()
	c.rebuildPending()
	c.publish()
	c.contactApplied()
	if !first {
		c.startSpread()
	}
	c.acks.changed(now)
}

// foldBase moves the base to the head's snapshot.
func (c *Core) foldBase(next *Head, reload bool) {
	if reload {
		c.base = NewState()
		if c.catchup.snapshot != nil {
			c.base = c.catchup.snapshot
		}
		c.catchup.snapshot = nil
		return
	}
	if next.Snapshot == c.applied.head.Snapshot {
		return
	}
	base := c.base.clone() // the old one is published
	for _, number := range c.applied.head.Tickets {
		if number <= next.Snapshot {
			base.apply(c.bodies[number].ticket)
		}
	}
	c.base = base
}

// foldAccepted folds newly accepted tickets into the state in force and
// rebuilds the maps of the configuration if they change.
func (c *Core) foldAccepted(next *Head, accepted uint64, reload bool) {
	state := c.state
	if reload {
		state = c.base.clone()
		accepted = next.Snapshot
	}
	changed := reload
	// A snapshot may have moved past tickets that were pending here.
	numbers := next.Tickets
	if !reload {
		numbers = slices.Concat(c.applied.head.Tickets, next.Tickets)
		slices.Sort(numbers)
	}
	for _, number := range slices.Compact(slices.Clone(numbers)) {
		if number <= accepted || number > next.Accepted {
			continue
		}
		state.apply(c.bodies[number].ticket)
		changed = true
	}
	c.state = state
	if !changed {
		return
	}
	c.config = &api.Config{Endpoints: state.endpointMap(), Accounts: state.accountMap()}
}

// rebuildPending sets the part of the configuration that changes with every
// head.
func (c *Core) rebuildPending() {
	head := &c.applied.head
	config := &api.Config{Ticket: head.Accepted, Endpoints: c.config.Endpoints, Accounts: c.config.Accounts}
	leaving := make(map[api.EndpointID]bool)
	for _, number := range head.pending() {
		touched := c.bodies[number].ticket.touches()
		config.Pending = append(config.Pending, api.Pending{Ticket: number, Endpoints: touched})
		for id, next := range touched {
			current, inForce := config.Endpoints[id]
			if inForce && current.Half == c.options.Half && (next == nil || next.Half != current.Half) {
				leaving[id] = true
			}
		}
	}
	config.Held = make(map[api.EndpointID]bool)
	for _, held := range head.Held {
		if held.Half == c.options.Half {
			leaving[held.Endpoint] = true
		}
		if config.Endpoints[held.Endpoint].Half != held.Half && !c.options.useHeldAtOnce {
			config.Held[held.Endpoint] = true
		}
	}
	c.config = config
	c.leaving = sortedKeys(leaving)
}

func (c *Core) noteProgress(now time.Duration, previous Head) {
	for _, number := range c.applied.head.Tickets {
		if _, seen := c.since[number]; !seen && number > previous.Accepted {
			c.since[number] = now
			c.emit(Note{Kind: NotePending, Ticket: number})
		}
	}
	for _, number := range sortedKeys(c.since) {
		if number <= c.applied.head.Accepted {
			c.emit(Note{Kind: NoteAccepted, Ticket: number, PendingTime: now - c.since[number]})
			delete(c.since, number)
		}
	}
}

// dropBodies forgets tickets that are folded into the base or that the head
// does not name.
func (c *Core) dropBodies() {
	head := &c.applied.head
	maps.DeleteFunc(c.bodies, func(number uint64, _ *body) bool {
		return number <= head.Latest && !head.names(number)
	})
}

func (c *Core) publish() {
	c.emit(Publish{View: &View{
		Config:           c.config,
		Head:             c.applied.head.clone(),
		HeadVersion:      c.applied.version,
		LeavingEndpoints: c.leaving,
		Tickets:          maps.Clone(c.bodies),
		SnapshotState:    c.base,
		PendingSince:     maps.Clone(c.since),
	}})
}

// Config returns the configuration that applies here.
func (c *Core) Config() *api.Config { return c.config }

// HeadVersion returns the store version of the head that applies here.
func (c *Core) HeadVersion() uint64 { return c.applied.version }

// Head returns the head that applies here.
func (c *Core) Head() Head { return c.applied.head }

// Ready reports whether a head was applied.
func (c *Core) Ready() bool { return c.ready }

// LeavingEndpoints returns the endpoints whose running work the instance reports.
func (c *Core) LeavingEndpoints() []api.EndpointID { return c.leaving }

// StoreContact returns when the last answered read of the head was sent;
// negative: none yet.
func (c *Core) StoreContact() time.Duration { return c.watch.contact }

// ExpelledIncarnation returns the highest incarnation of this instance whose registration
// was seen to be removed; 0 is none.
func (c *Core) ExpelledIncarnation() uint64 { return c.watch.gone }

// reachable returns the members that are expected to answer, without self.
func (c *Core) reachable() []api.Member {
	list := make([]api.Member, 0, len(c.members))
	for _, m := range c.members {
		if m.ID != c.options.Instance && m.State.Reachable() {
			list = append(list, m)
		}
	}
	return list
}

func (c *Core) member(id api.InstanceID) (api.Member, bool) {
	i, found := slices.BinarySearchFunc(c.members, id, func(m api.Member, id api.InstanceID) int {
		if m.ID < id {
			return -1
		}
		if m.ID > id {
			return 1
		}
		return 0
	})
	if !found {
		return api.Member{}, false
	}
	return c.members[i], true
}

func version(v store.Version) uint64 { return uint64(v) }
