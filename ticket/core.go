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
	// Address is the address at which peers reach this instance.
	Address string
	Seed    uint64 // seeds the random choice of peers

	// Mutations, which the property tests have to detect.
	acceptOnWrite      bool // a written ticket is accepted immediately
	acceptUnregistered bool // acceptance ignores the registrations
	useHeldAtOnce      bool // the new half does not wait until requests of the old half end
	skipCompare        bool // a stored ticket with the same number counts as the submitted one
	applyOlderHead     bool // a head may replace one with a higher version
}

// View is the published state of the core. It is immutable.
type View struct {
	Config      *api.Config
	Head        Head
	HeadVersion uint64
	// LeavingEndpoints are the endpoints that leave or have left the half of this
	// instance. The instance reports whether it still runs requests on them.
	LeavingEndpoints []api.EndpointID
	Tickets          map[uint64]*encodedTicket // by number
	SnapshotState    *State                    // at Head.Snapshot
	// PendingSince is the time at which this instance first saw each pending
	// ticket.
	PendingSince map[uint64]time.Duration
}

// encodedTicket is a ticket with the bytes that the operator sent.
type encodedTicket struct {
	raw    []byte
	ticket *Ticket
}

// versionedHead is a head with its store version.
type versionedHead struct {
	head    Head
	version uint64
}

// Core is the state machine of the package. It performs no I/O and reads no
// clock.
type Core struct {
	options CoreOptions
	random  *rand.Rand
	actions []Action // of the current step

	ready            bool // a head was applied
	applied          versionedHead
	tickets          map[uint64]*encodedTicket // known ones above the snapshot, by number
	snapshotState    *State                    // at the applied head's snapshot
	acceptedState    *State                    // after the accepted tickets
	config           *api.Config
	leavingEndpoints []api.EndpointID
	pendingSince     map[uint64]time.Duration // when each pending ticket was first seen

	catchup     catchup
	watch       watch
	gossip      gossip
	acks        acks
	headUpdate  headUpdate
	submissions []*submission // queue; the first one is being written
	compaction  compaction
	timers      []timer

	members     []api.Member
	incarnation uint64
	storeCalls  map[uint64]func(now time.Duration, r StoreDone) // callbacks of calls in flight
	nextCallID  uint64
}

// NewCore returns a core without tickets.
func NewCore(o CoreOptions) *Core {
	c := &Core{
		options:       o,
		random:        rand.New(rand.NewPCG(o.Seed, peer.Score("ticket", o.Instance))),
		tickets:       make(map[uint64]*encodedTicket),
		snapshotState: NewState(),
		acceptedState: NewState(),
		config:        &api.Config{},
		pendingSince:  make(map[uint64]time.Duration),
		storeCalls:    make(map[uint64]func(time.Duration, StoreDone)),
	}
	c.watch.storeContact = -1
	c.watch.lastResponseAt = -1
	c.acks.received = make(map[api.InstanceID]Ack)
	c.acks.toForward = make(map[api.InstanceID]bool)
	c.acks.sent = make(map[api.InstanceID]*ackDelivery)
	return c
}

// Step processes one event and returns the actions to perform. now is the time
// of the boot clock.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.actions = nil
	switch e := ev.(type) {
	case Tick:
		c.tick(now, e)
	case MembersChanged:
		c.members = e.Members
		c.acks.collectorOrder = nil
	case TicketSubmitted:
		c.startSubmission(now, e)
	case HeadOffered:
		c.handleOffer(now, e)
	case FetchReceived:
		c.handleFetch(e)
	case AcksReceived:
		c.handleAcks(now, e)
	case StoreDone:
		c.handleStoreDone(now, e)
	case FetchDone:
		c.handleFetchDone(now, e)
	case OfferDone:
		c.handleOfferDone(now, e)
	case AckDone:
		c.handleAckDone(now, e)
	}
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// startStoreCall starts a call to the store and registers the callback for its result.
func (c *Core) startStoreCall(s StoreCall, done func(now time.Duration, r StoreDone)) {
	c.nextCallID++
	s.ID = c.nextCallID
	c.storeCalls[s.ID] = done
	c.emit(s)
}

func (c *Core) handleStoreDone(now time.Duration, r StoreDone) {
	done, waiting := c.storeCalls[r.ID]
	if !waiting {
		return
	}
	delete(c.storeCalls, r.ID)
	// All other errors count as responses of the store.
	if !errors.Is(r.Err, store.ErrUnavailable) && !errors.Is(r.Err, store.ErrUnknown) {
		c.watch.lastResponseAt = now
	}
	done(now, r)
}

func (c *Core) tick(now time.Duration, e Tick) {
	c.incarnation = e.Incarnation
	c.updateOwnAck(now, e.BusyEndpoints)
	c.tickWatch(now, e.WatchesStore)
	c.advanceCatchup(now)
	c.runTimers(now)
	c.sendAcks(now)
	c.forwardAcks(now)
	c.tryAccept(now)
	c.tryCompact(now)
}

// applyHead replaces the applied head by one whose tickets and snapshot are known.
func (c *Core) applyHead(now time.Duration, next versionedHead) {
	previous := c.applied
	if c.ready && next.head.Accepted < previous.head.Accepted && !c.options.applyOlderHead {
		c.emit(Note{Kind: NoteOlderHeadIgnored, Ticket: previous.head.Accepted})
		return
	}
	first := !c.ready
	fromSnapshot := first || previous.head.Latest < next.head.Snapshot
	c.advanceSnapshot(&next.head, fromSnapshot)
	c.applyAcceptedTickets(&next.head, previous.head.Accepted, fromSnapshot)
	c.applied = next
	c.ready = true
	c.recordProgress(now, previous.head)
	c.dropUnlistedTickets()
	c.rebuildConfig()
	c.publish()
	c.confirmPendingContact()
	if !first {
		c.startGossip()
	}
	c.acks.recordHeadChange(now)
}

// advanceSnapshot replaces the snapshot state by that of the head's snapshot. If
// fromSnapshot is set, some tickets of that snapshot are not known, and the
// snapshot that was read is used.
func (c *Core) advanceSnapshot(next *Head, fromSnapshot bool) {
	if fromSnapshot {
		c.snapshotState = NewState()
		if c.catchup.snapshot != nil {
			c.snapshotState = c.catchup.snapshot
		}
		c.catchup.snapshot = nil
		return
	}
	if next.Snapshot == c.applied.head.Snapshot {
		return
	}
	state := c.snapshotState.clone() // the published view contains the old state
	for _, number := range c.applied.head.Tickets {
		if number <= next.Snapshot {
			state.apply(c.tickets[number].ticket)
		}
	}
	c.snapshotState = state
}

// applyAcceptedTickets applies newly accepted tickets to the accepted state. If
// fromSnapshot is set, it rebuilds the accepted state from the snapshot state. It
// sets the maps of the configuration if the state changed; rebuildConfig sets the
// rest.
func (c *Core) applyAcceptedTickets(next *Head, previousAccepted uint64, fromSnapshot bool) {
	state := c.acceptedState
	if fromSnapshot {
		state = c.snapshotState.clone()
		previousAccepted = next.Snapshot
	}
	changed := fromSnapshot
	// The head's snapshot may contain tickets that were still pending on this
	// instance; only the previous head lists them.
	numbers := next.Tickets
	if !fromSnapshot {
		numbers = slices.Concat(c.applied.head.Tickets, next.Tickets)
		slices.Sort(numbers)
	}
	for _, number := range slices.Compact(slices.Clone(numbers)) {
		if number <= previousAccepted || number > next.Accepted {
			continue
		}
		state.apply(c.tickets[number].ticket)
		changed = true
	}
	c.acceptedState = state
	if !changed {
		return
	}
	c.config = &api.Config{Endpoints: state.endpointMap(), Accounts: state.accountMap()}
}

// rebuildConfig builds the configuration of the applied head from the maps that
// applyAcceptedTickets has set, the pending tickets and the held endpoints.
func (c *Core) rebuildConfig() {
	head := &c.applied.head
	config := &api.Config{Ticket: head.Accepted, Endpoints: c.config.Endpoints, Accounts: c.config.Accounts}
	leaving := make(map[api.EndpointID]bool)
	for _, number := range head.pending() {
		changed := c.tickets[number].ticket.changedEndpoints()
		config.Pending = append(config.Pending, api.PendingTicket{Ticket: number, Endpoints: changed})
		for id, next := range changed {
			current, exists := config.Endpoints[id]
			if exists && current.Half == c.options.Half && (next == nil || next.Half != current.Half) {
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
	c.leavingEndpoints = sortedKeys(leaving)
}

// recordProgress records which tickets became pending or accepted.
func (c *Core) recordProgress(now time.Duration, previous Head) {
	for _, number := range c.applied.head.Tickets {
		if _, known := c.pendingSince[number]; !known && number > previous.Accepted {
			c.pendingSince[number] = now
			c.emit(Note{Kind: NotePending, Ticket: number})
		}
	}
	for _, number := range sortedKeys(c.pendingSince) {
		if number <= c.applied.head.Accepted {
			c.emit(Note{Kind: NoteAccepted, Ticket: number, PendingTime: now - c.pendingSince[number]})
			delete(c.pendingSince, number)
		}
	}
}

// dropUnlistedTickets removes tickets that the applied head does not list: they
// are part of the snapshot or were never written. Newer ones may be needed for
// the next head.
func (c *Core) dropUnlistedTickets() {
	head := &c.applied.head
	maps.DeleteFunc(c.tickets, func(number uint64, _ *encodedTicket) bool {
		return number <= head.Latest && !head.lists(number)
	})
}

func (c *Core) publish() {
	c.emit(Publish{View: &View{
		Config:           c.config,
		Head:             c.applied.head.clone(),
		HeadVersion:      c.applied.version,
		LeavingEndpoints: c.leavingEndpoints,
		Tickets:          maps.Clone(c.tickets),
		SnapshotState:    c.snapshotState,
		PendingSince:     maps.Clone(c.pendingSince),
	}})
}

// Config returns the active configuration.
func (c *Core) Config() *api.Config { return c.config }

// HeadVersion returns the store version of the applied head.
func (c *Core) HeadVersion() uint64 { return c.applied.version }

// Head returns the applied head.
func (c *Core) Head() Head { return c.applied.head }

// Ready reports whether a head was applied.
func (c *Core) Ready() bool { return c.ready }

// LeavingEndpoints returns the endpoints that leave or have left the half of
// this instance.
func (c *Core) LeavingEndpoints() []api.EndpointID { return c.leavingEndpoints }

// StoreContact returns the boot clock time at which the last read that confirmed
// the applied head was sent. Reads count only while this instance is registered.
// It is negative before the first one.
func (c *Core) StoreContact() time.Duration { return c.watch.storeContact }

// ExpelledIncarnation returns the highest incarnation of this instance whose
// registration was removed; 0 means none.
func (c *Core) ExpelledIncarnation() uint64 { return c.watch.expelledIncarnation }

// reachablePeers returns the members that are expected to respond, without this
// instance.
func (c *Core) reachablePeers() []api.Member {
	peers := make([]api.Member, 0, len(c.members))
	for _, m := range c.members {
		if m.ID != c.options.Instance && m.State.Reachable() {
			peers = append(peers, m)
		}
	}
	return peers
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

func versionNumber(v store.Version) uint64 { return uint64(v) }
