// Package fleet implements membership and failure detection for the instances.
// Instances exchange their member tables by gossip and heartbeats, suspect and
// expel members that stop responding, and register themselves in the store.
// The package also decides whether this instance may start new work.
package fleet

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

const (
	// heartbeatInterval is the time between two exchanges with a ring neighbour.
	heartbeatInterval = time.Second
	// ringNeighbourCount is the number of ring successors that receive a
	// heartbeat. With three, the failure of two adjacent instances is detected.
	ringNeighbourCount = 3
	// contactTimeout is the time without contact after which a neighbour is probed.
	contactTimeout = 2 * time.Second
	// probeRetryDelay is the time after which a probe without a response is sent
	// a second time, within the 500 ms timeout of the first one. With 5% message
	// loss in each direction, a single probe would cause about 0.9 false
	// suspicions per second at 330 instances, and each one is gossiped together
	// with its refutation.
	probeRetryDelay = 250 * time.Millisecond
	// suspectTimeout is the time that a suspect has to refute the suspicion
	// before it is declared dead.
	suspectTimeout = 3 * time.Second
	// maxConfirmationAge is the age of the last confirmation by a peer or the
	// store beyond which the instance accepts no new work.
	maxConfirmationAge = 3 * time.Second
	// instanceListInterval is the time between two reads of the platform's
	// instance list by the first instance of a failure domain.
	instanceListInterval = 2 * time.Second
	// instanceListMinInterval replaces instanceListInterval after a member was
	// declared dead. It limits the reads when many instances fail together.
	instanceListMinInterval = 250 * time.Millisecond
	// registrationsReadInterval is the time between two reads of the registrations
	// in the store by the first instance of a failure domain.
	registrationsReadInterval = 10 * time.Second
	// reconnectInterval is the time between two exchanges with dead members or
	// with contact addresses that no reachable member has. They merge the
	// tables after a network partition.
	reconnectInterval = 5 * time.Second
	// fullSyncInterval is the minimum time between two requests for a full
	// member table.
	fullSyncInterval = 5 * time.Second
	// startupPeriod is the time after its start during which an instance
	// requests full tables more often, at startupFullSyncInterval. When many
	// instances start together, all tables are incomplete and each response
	// about doubles the number of known members.
	startupPeriod           = 15 * time.Second
	startupFullSyncInterval = time.Second
	// tableStableTime is the time without a change of the own table after which
	// a different table hash of a peer is treated as a missed change.
	tableStableTime = 3 * time.Second
	// registerRetryInterval is the time between two attempts to register in the
	// store.
	registerRetryInterval = 500 * time.Millisecond
	// goneMemberTTL is the time that a left or expelled member stays in the
	// table, so that a late message does not add it again.
	goneMemberTTL = 10 * time.Minute
	// maxGossipEntries limits the member entries of a message that does not
	// carry the full table. An entry has about 70 bytes.
	maxGossipEntries = 16
	// anyPeerConfirmDelay is the time during which an instance whose last
	// confirmation is too old accepts only confirmations by peers that see its
	// registration in the store. Other peers may not know yet that it was
	// expelled, and two instances that resume together after a pause would
	// confirm each other's outdated state. Afterwards any peer may confirm: an
	// expulsion has reached all peers by then, and nobody is expelled while the
	// store is unavailable.
	anyPeerConfirmDelay = 5 * time.Second
	// watchTakeoverAge is the age of the watching instance's last contact with
	// the store beyond which the next instance in order watches the store too.
	watchTakeoverAge = 3 * time.Second
	// standbyWatchers is the number of instances of a failure domain that are
	// ready to take over from the one that watches the store.
	standbyWatchers = 3
	// unregisteredJoinDelay is the time after which an instance that could not
	// register serves without a registration if a peer has sent it a full table.
	unregisteredJoinDelay = 2 * time.Second
)

// CoreOptions configures a Core.
type CoreOptions struct {
	// Self is the instance's own entry with its first incarnation.
	Self api.Member
	// SeedAddresses are the peer addresses to contact before any member is known.
	SeedAddresses []string
	// AutoExpel makes the core expel members that are dead and no longer on the
	// platform's instance list.
	AutoExpel bool
	// Seed seeds the random number generator.
	Seed uint64

	// The fields below are mutations, which the property tests have to detect.

	// mergeWithoutIncarnation ignores the incarnation when it merges entries.
	mergeWithoutIncarnation bool
	// confirmByStale accepts a confirmation by a peer that is itself stale.
	confirmByStale bool
	// confirmAtReceipt dates a confirmation at the time when the response is
	// processed instead of the time when the request was sent.
	confirmAtReceipt bool
}

// entry is a member with the local state of failure detection and gossip.
type entry struct {
	api.Member
	pendingSends   int           // number of messages that still have to carry the entry
	lastContactAt  time.Duration // last message received directly from the member
	lastExchangeAt time.Duration // last exchange sent to the member
	stateSince     time.Duration // when this instance learned the state
	probeActive    bool
	probeSentAt    time.Duration // first attempt of the active probe
	probeRetried   bool          // the active probe was sent a second time
	// suspectedLocally reports that a failed probe of this instance made the
	// member a suspect.
	suspectedLocally bool
}

// Core is the membership state machine. It performs no I/O and reads no clock:
// it consumes events with the current time and returns actions.
type Core struct {
	options CoreOptions
	random  *rand.Rand
	self    *entry
	members map[api.InstanceID]*entry // without self
	tickets TicketProgress

	// contacts maps seed addresses and addresses from the platform's instance
	// list to the time of the last reconnect attempt.
	contacts map[string]time.Duration
	// ring, domainOrder and otherDomainWatchers are computed from members by
	// rebuildOrders; a change of the table resets them. domainOrder ranks the
	// reachable instances of the own failure domain, this one included.
	ring        []api.InstanceID
	domainOrder []api.InstanceID
	// otherDomainWatchers holds the first instance of each other failure domain.
	otherDomainWatchers []api.InstanceID

	started               bool
	startedAt             time.Duration
	registered            bool
	registeredIncarnation uint64
	minConfirmationTime   time.Duration // confirmations that were requested earlier do not count
	joinedUnregistered    bool          // serves without a registration
	fullTableReceived     bool
	duplicate             bool
	leaving               bool
	lastHeartbeat         time.Duration
	lastListRead          time.Duration
	listUrgent            bool // a member was declared dead since the last read of the instance list
	lastRegistrationsRead time.Duration
	lastReconnect         time.Duration
	lastRegister          time.Duration
	lastFullSync          time.Duration
	lastChange            time.Duration
	peerConfirmedAt       time.Duration // when the request of the last confirmation was sent; negative: none
	pendingConfirmations  []confirmation
	staleSince            time.Duration // when the last confirmation became too old; 0: it is recent
	listRequestedAt       time.Duration // when the last successful read of the instance list was sent
	listedIDs             map[api.InstanceID]bool
	tableHash             uint64 // XOR of the entries' hashes
	tableRevision         uint64 // number of table changes
}

// confirmation is a response of a peer that becomes valid once the ticket
// component applies the ticket head that the peer has.
type confirmation struct {
	sentAt      time.Duration
	headVersion uint64
}

// NewCore returns a core whose table contains only the own entry.
func NewCore(o CoreOptions) *Core {
	self := o.Self
	self.State = api.MemberAlive
	c := &Core{
		options:         o,
		random:          rand.New(rand.NewPCG(o.Seed, peer.Score("fleet", self.ID))),
		self:            &entry{Member: self},
		members:         make(map[api.InstanceID]*entry),
		contacts:        make(map[string]time.Duration),
		peerConfirmedAt: -1,
		listRequestedAt: -1,
		tickets:         TicketProgress{StoreContact: -1},
	}
	for _, address := range o.SeedAddresses {
		c.addContact(address)
	}
	c.tableHash = entryHash(self)
	return c
}

func (c *Core) addContact(address string) {
	if _, known := c.contacts[address]; !known && address != "" && address != c.self.Address {
		c.contacts[address] = -reconnectInterval
	}
}

// Step applies one event and returns the actions to perform. now is the boot
// clock time.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	if !c.started {
		c.initTimers(now)
	}
	switch e := ev.(type) {
	case Tick:
		return c.tick(now)
	case ExchangeIn:
		return c.exchangeIn(now, e.Request)
	case ExchangeDone:
		return c.exchangeDone(now, e)
	case ProbeDone:
		return c.probeDone(now, e)
	case InstanceListDone:
		return c.instanceListDone(now, e)
	case RegistrationsDone:
		return c.registrationsDone(now, e)
	case RegisterDone:
		return c.registerDone(now, e)
	case ExpelDone:
		return c.expelDone(now, e)
	case TicketProgress:
		return c.ticketProgress(now, e)
	case LeaveStarted:
		c.leaving = true
		c.setOwnState(now, api.MemberLeaving)
	case LeaveCompleted:
		c.leaving = true
		c.setOwnState(now, api.MemberLeft)
		return c.announceLeave(now)
	}
	return nil
}

// initTimers sets the timers so that all periodic actions are due immediately.
func (c *Core) initTimers(now time.Duration) {
	c.started = true
	c.startedAt = now
	c.lastHeartbeat = now - heartbeatInterval
	c.lastListRead = now - instanceListInterval
	c.lastReconnect = now - reconnectInterval
	c.lastRegister = now - registerRetryInterval
	c.lastFullSync = now - fullSyncInterval
	c.lastChange = now
	c.self.stateSince = now
	for address := range c.contacts {
		c.contacts[address] = now - reconnectInterval
	}
}

func (c *Core) tick(now time.Duration) []Action {
	c.updateStaleness(now)
	var actions []Action
	if !c.registered && !c.leaving && now-c.lastRegister >= registerRetryInterval {
		c.lastRegister = now
		actions = append(actions, Register{Incarnation: c.self.Incarnation})
	}
	if c.fullTableReceived && !c.registered && now-c.startedAt >= unregisteredJoinDelay {
		c.joinedUnregistered = true
	}
	if c.instanceListDue(now) && (c.domainRank() == 0 || len(c.members) == 0) {
		c.lastListRead = now
		c.listUrgent = false
		actions = append(actions, ReadInstanceList{})
	}
	if now-c.lastRegistrationsRead >= registrationsReadInterval && c.startupFinished(now) && c.domainRank() == 0 {
		c.lastRegistrationsRead = now
		actions = append(actions, ReadRegistrations{})
	}
	actions = append(actions, c.expireStates(now)...)
	actions = append(actions, c.probeUnresponsive(now)...)
	if now-c.lastHeartbeat >= heartbeatInterval {
		c.lastHeartbeat = now
		actions = append(actions, c.heartbeat(now)...)
	}
	return append(actions, c.reconnect(now)...)
}

func (c *Core) instanceListDue(now time.Duration) bool {
	interval := instanceListInterval
	if c.listUrgent {
		interval = instanceListMinInterval
	}
	return now-c.lastListRead >= interval
}

// heartbeat exchanges with the ring neighbours, with one random member of
// another region, and with the instances of the own failure domain that precede
// this one in the order of store watchers. A stale instance also contacts the
// current watchers, which can confirm it.
func (c *Core) heartbeat(now time.Duration) []Action {
	targets := c.neighbours()
	if other := c.randomMemberOfOtherRegion(); other != "" {
		targets = append(targets, other)
	}
	targets = append(targets, c.precedingWatchers()...)
	if c.staleSince > 0 {
		targets = append(targets, c.storeWatchers()...)
	}
	sent := make(map[api.InstanceID]bool, len(targets))
	var actions []Action
	for _, id := range targets {
		if sent[id] {
			continue
		}
		sent[id] = true
		actions = append(actions, c.exchangeWith(now, c.members[id]))
	}
	return actions
}

func (c *Core) exchangeWith(now time.Duration, m *entry) Action {
	m.lastExchangeAt = now
	return SendExchange{To: m.ID, Address: m.Address, Request: c.exchangeRequest(now, !c.fullTableReceived)}
}

// exchangeRequest builds the request of an exchange; full asks for the full
// member table of the peer.
func (c *Core) exchangeRequest(now time.Duration, full bool) *peerpb.ExchangeRequest {
	return &peerpb.ExchangeRequest{
		From:           string(c.self.ID),
		Incarnation:    c.self.Incarnation,
		LatestTicket:   c.tickets.Latest,
		AcceptedTicket: c.tickets.Accepted,
		HeadVersion:    c.tickets.HeadVersion,
		Self:           c.ownEntry(now),
		Deltas:         &peerpb.Deltas{Members: c.takeChangedEntries(nil)},
		Full:           full,
		TableHash:      c.tableHash,
	}
}

// ownEntry returns the own entry with the age of the last store contact plus
// one millisecond, because zero means that there was none.
func (c *Core) ownEntry(now time.Duration) *peerpb.Member {
	m := toProto(c.self.Member)
	if c.tickets.StoreContact >= 0 {
		m.StoreContactAgeMs = uint64(max(now-c.tickets.StoreContact, 0)/time.Millisecond) + 1
	}
	return m
}

// neighbours returns the successors of this instance on the ring.
func (c *Core) neighbours() []api.InstanceID {
	c.rebuildOrders()
	own := peer.Score("ring", c.self.ID)
	start := sort.Search(len(c.ring), func(i int) bool {
		score := peer.Score("ring", c.ring[i])
		return score > own || score == own && c.ring[i] > c.self.ID
	})
	count := min(ringNeighbourCount, len(c.ring))
	result := make([]api.InstanceID, 0, count+standbyWatchers)
	for i := range count {
		result = append(result, c.ring[(start+i)%len(c.ring)])
	}
	return result
}

// rebuildOrders rebuilds the ring and the orders of store watchers if the table
// has changed.
func (c *Core) rebuildOrders() {
	if c.ring != nil {
		return
	}
	ids := make([]api.InstanceID, 0, len(c.members))
	domain := []api.InstanceID{c.self.ID}
	first := make(map[api.FailureDomain]api.InstanceID)
	for id, m := range c.members {
		if !m.State.Reachable() {
			continue
		}
		ids = append(ids, id)
		if m.FailureDomain == c.self.FailureDomain {
			domain = append(domain, id)
			continue
		}
		best, seen := first[m.FailureDomain]
		if !seen || peer.Score("watch", id) < peer.Score("watch", best) {
			first[m.FailureDomain] = id
		}
	}
	c.otherDomainWatchers = c.otherDomainWatchers[:0]
	for _, id := range first {
		c.otherDomainWatchers = append(c.otherDomainWatchers, id)
	}
	slices.Sort(c.otherDomainWatchers)
	c.ring = peer.Rank("ring", ids)
	c.domainOrder = peer.Rank("watch", domain)
}

// domainRank returns the position of this instance in the order of store
// watchers of its failure domain; 0 is the first.
func (c *Core) domainRank() int {
	c.rebuildOrders()
	for i, id := range c.domainOrder {
		if id == c.self.ID {
			return i
		}
	}
	return len(c.domainOrder)
}

// precedingWatchers returns the instances that precede this one in the order of
// store watchers, or none if it is not among the standby watchers.
func (c *Core) precedingWatchers() []api.InstanceID {
	rank := c.domainRank()
	if rank > standbyWatchers {
		return nil
	}
	return c.domainOrder[:rank]
}

// storeWatchers returns the first store watcher of the own failure domain and
// those of two random other failure domains.
func (c *Core) storeWatchers() []api.InstanceID {
	c.rebuildOrders()
	var list []api.InstanceID
	if c.domainOrder[0] != c.self.ID {
		list = append(list, c.domainOrder[0])
	}
	for range min(2, len(c.otherDomainWatchers)) {
		list = append(list, c.otherDomainWatchers[c.random.IntN(len(c.otherDomainWatchers))])
	}
	return list
}

func (c *Core) randomMemberOfOtherRegion() api.InstanceID {
	c.rebuildOrders()
	chosen, seen := api.InstanceID(""), 0
	for _, id := range c.ring {
		if c.members[id].Region == c.self.Region {
			continue
		}
		seen++
		if c.random.IntN(seen) == 0 {
			chosen = id
		}
	}
	return chosen
}

// reconnect exchanges with a dead member or with a contact address that no
// reachable member has.
func (c *Core) reconnect(now time.Duration) []Action {
	interval := reconnectInterval
	if !c.fullTableReceived {
		interval = heartbeatInterval
	}
	if now-c.lastReconnect < interval {
		return nil
	}
	c.lastReconnect = now
	address := c.reconnectAddress(now)
	if address == "" {
		return nil
	}
	return []Action{SendExchange{Address: address, Request: c.exchangeRequest(now, true)}}
}

func (c *Core) reconnectAddress(now time.Duration) string {
	reachableAddresses := make(map[string]bool, len(c.members))
	var dead []string
	for _, m := range c.members {
		if m.State.Reachable() {
			reachableAddresses[m.Address] = true
		}
		if m.State == api.MemberDead {
			dead = append(dead, m.Address)
		}
	}
	oldest := ""
	for address, at := range c.contacts {
		if reachableAddresses[address] {
			continue
		}
		if oldest == "" || at < c.contacts[oldest] || at == c.contacts[oldest] && address < oldest {
			oldest = address
		}
	}
	if len(dead) > 0 && (oldest == "" || c.random.IntN(2) == 0) {
		sort.Strings(dead)
		return dead[c.random.IntN(len(dead))]
	}
	if oldest != "" {
		c.contacts[oldest] = now
	}
	return oldest
}
