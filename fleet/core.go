// Package fleet implements membership and failure detection for the instances.
// Instances exchange their member tables by gossip and heartbeats, suspect and
// expel members that stop responding, and register themselves in the store.
// The package also decides whether this instance may start new work.
package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer"
)

const (
	// heartbeatInterval is the time between two exchanges with a ring neighbour.
	heartbeatInterval = time.Second
	// ringNeighbourCount is the number of ring successors that receive a
	// heartbeat. With three, an instance is still monitored if two of its ring
	// predecessors fail together with it.
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
	// maxConfirmationAge is the age of the last confirmation beyond which the
	// instance accepts no new work. A confirmation is evidence that the instance
	// was not expelled: a successful read of the ticket head from the store, or a
	// response of a peer that has a recent confirmation itself.
	maxConfirmationAge = 3 * time.Second
	// instanceListInterval is the time between two reads of the platform's
	// instance list by the first instance of a failure domain.
	instanceListInterval = 2 * time.Second
	// urgentInstanceListInterval replaces instanceListInterval after a member was
	// declared dead. It limits the reads when many instances fail together.
	urgentInstanceListInterval = 250 * time.Millisecond
	// registrationsReadInterval is the time between two reads of the registrations
	// in the store by the first instance of a failure domain.
	registrationsReadInterval = 10 * time.Second
	// reconnectInterval is the time between two exchanges with dead members or
	// with candidate addresses that no reachable member has. These exchanges
	// merge the tables after a network partition.
	reconnectInterval = 5 * time.Second
	// startupReconnectInterval replaces reconnectInterval during startupReconnectPeriod
	// until another instance has responded. When all instances start together, the seeds
	// may listen a little later than this one.
	startupReconnectInterval = 100 * time.Millisecond
	startupReconnectPeriod   = 2 * time.Second
	// fullSyncInterval is the minimum time between two requests for a full
	// member table.
	fullSyncInterval = 5 * time.Second
	// startupPeriod is the time after an instance has started, or continued with
	// a new incarnation, during which it requests full tables more often, at
	// startupFullSyncInterval. When many instances start together, all tables are
	// incomplete and each response about doubles the number of known members.
	startupPeriod           = 15 * time.Second
	startupFullSyncInterval = time.Second
	// tableStableTime is the time without a change of this instance's table after which
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
	// standbyWatcherCount is the number of instances of a failure domain that are
	// ready to take over from its store watcher, the instance that watches the
	// store for the failure domain.
	standbyWatcherCount = 3
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

	// mergeWithoutIncarnation merges entries by their version only and skips
	// unknown members that have left or were expelled.
	mergeWithoutIncarnation bool
	// confirmByAnyPeer accepts every response of a peer as a confirmation.
	confirmByAnyPeer bool
	// confirmAtReceipt dates a confirmation at the time when the response is
	// processed instead of the time when the request was sent.
	confirmAtReceipt bool
}

// entry is a member with the local state of failure detection and gossip.
type entry struct {
	api.Member
	pendingSends int // number of messages that still have to carry the entry
	// lastContactAt is the time of the last message received directly from the
	// member or of the last successful probe; before that, the time when this
	// instance learned the member or its incarnation.
	lastContactAt  time.Duration
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
	options      CoreOptions
	random       *rand.Rand
	self         *entry
	members      map[api.InstanceID]*entry // without self
	ticketStatus TicketStatus

	// candidateAddresses maps the addresses to reconnect to, which are seed
	// addresses and addresses from the platform's instance list, to the time of the
	// last attempt.
	candidateAddresses map[string]time.Duration
	// rebuildOrders computes ring, watchOrder and otherDomainWatchers after a change
	// of the table. watchOrder ranks the reachable instances of the local failure
	// domain, this one included: the first one watches the store, and each of the
	// standbyWatcherCount next ones does if those before it have lost the store.
	ring       []api.InstanceID
	watchOrder []api.InstanceID
	// otherDomainWatchers holds the first instance in the watch order of each other
	// failure domain.
	otherDomainWatchers []api.InstanceID

	started                 bool
	incarnationStartedAt    time.Duration
	registered              bool
	registeredIncarnation   uint64
	minConfirmationTime     time.Duration // confirmations that were requested earlier do not count
	joinedUnregistered      bool          // serves without a registration
	fullTableReceived       bool
	duplicateID             bool // another process uses the ID of this instance
	leaving                 bool
	lastHeartbeatAt         time.Duration
	urgentPending           bool          // a delta source has an urgent change
	lastUrgentAt            time.Duration // last round of urgent exchanges; 0 is none
	lastListReadAt          time.Duration
	instanceListReadUrgent  bool // a member was declared dead since the last read of the instance list
	lastRegistrationsReadAt time.Duration
	lastReconnectAt         time.Duration
	lastRegisterAttemptAt   time.Duration
	lastFullSyncAt          time.Duration
	lastTableChangeAt       time.Duration
	peerConfirmedAt         time.Duration // when the request of the last confirmation was sent; negative: none
	pendingConfirmations    []pendingConfirmation
	staleSince              time.Duration // when the last confirmation became too old; 0: it is recent
	listRequestedAt         time.Duration // when the last successful read of the instance list was sent
	listedIDs               map[api.InstanceID]bool
	tableHash               uint64 // XOR of the entries' hashes
	tableRevision           uint64 // number of table changes
}

// pendingConfirmation is a confirmation that counts only once this instance applies
// the ticket head that the peer has.
type pendingConfirmation struct {
	sentAt      time.Duration
	headVersion uint64
}

// NewCore returns a core whose table contains only this instance's entry.
func NewCore(o CoreOptions) *Core {
	self := o.Self
	self.State = api.MemberAlive
	c := &Core{
		options:            o,
		random:             rand.New(rand.NewPCG(o.Seed, peer.Score("fleet", self.ID))),
		self:               &entry{Member: self},
		members:            make(map[api.InstanceID]*entry),
		candidateAddresses: make(map[string]time.Duration),
		peerConfirmedAt:    -1,
		listRequestedAt:    -1,
		ticketStatus:       TicketStatus{StoreContact: -1},
	}
	for _, address := range o.SeedAddresses {
		c.addCandidateAddress(address)
	}
	c.tableHash = entryHash(self)
	return c
}

// applySettings replaces the seed addresses and the bandwidth of this instance's link.
func (c *Core) applySettings(now time.Duration, e SettingsChanged) {
	for _, address := range c.options.SeedAddresses {
		if !slices.Contains(e.SeedAddresses, address) {
			delete(c.candidateAddresses, address)
		}
	}
	c.options.SeedAddresses = e.SeedAddresses
	for _, address := range e.SeedAddresses {
		c.addCandidateAddress(address)
	}
	if e.LinkMbps != c.self.LinkMbps {
		c.changeOwnEntry(now, func() { c.self.LinkMbps = e.LinkMbps })
	}
}

func (c *Core) addCandidateAddress(address string) {
	if _, known := c.candidateAddresses[address]; !known && address != "" && address != c.self.Address {
		c.candidateAddresses[address] = -reconnectInterval
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
	case ExchangeReceived:
		return c.exchangeReceived(now, e.Request)
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
	case TicketStatus:
		return c.applyTicketStatus(now, e)
	case DeltasUrgent:
		c.urgentPending = true
		return c.sendUrgent(now)
	case SettingsChanged:
		c.applySettings(now, e)
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

// initTimers sets the timers so that all periodic actions, except the read of the
// registrations, are due immediately.
func (c *Core) initTimers(now time.Duration) {
	c.started = true
	c.incarnationStartedAt = now
	c.lastHeartbeatAt = now - heartbeatInterval
	c.lastListReadAt = now - instanceListInterval
	c.lastReconnectAt = now - reconnectInterval
	c.lastRegisterAttemptAt = now - registerRetryInterval
	c.lastFullSyncAt = now - fullSyncInterval
	c.lastTableChangeAt = now
	c.self.stateSince = now
	for address := range c.candidateAddresses {
		c.candidateAddresses[address] = now - reconnectInterval
	}
}

func (c *Core) tick(now time.Duration) []Action {
	c.updateStaleness(now)
	var actions []Action
	if !c.registered && !c.leaving && now-c.lastRegisterAttemptAt >= registerRetryInterval {
		c.lastRegisterAttemptAt = now
		actions = append(actions, Register{Incarnation: c.self.Incarnation})
	}
	if c.fullTableReceived && !c.registered && now-c.incarnationStartedAt >= unregisteredJoinDelay {
		c.joinedUnregistered = true
	}
	if c.instanceListDue(now) && (c.domainRank() == 0 || len(c.members) == 0) {
		c.lastListReadAt = now
		c.instanceListReadUrgent = false
		actions = append(actions, ReadInstanceList{})
	}
	if now-c.lastRegistrationsReadAt >= registrationsReadInterval && c.startupFinished(now) && c.domainRank() == 0 {
		c.lastRegistrationsReadAt = now
		actions = append(actions, ReadRegistrations{})
	}
	actions = append(actions, c.expireStates(now)...)
	actions = append(actions, c.probeUnresponsive(now)...)
	if now-c.lastHeartbeatAt >= heartbeatInterval {
		c.lastHeartbeatAt = now
		actions = append(actions, c.heartbeat(now)...)
	}
	actions = append(actions, c.sendUrgent(now)...)
	return append(actions, c.reconnect(now)...)
}

func (c *Core) instanceListDue(now time.Duration) bool {
	interval := instanceListInterval
	if c.instanceListReadUrgent {
		interval = urgentInstanceListInterval
	}
	return now-c.lastListReadAt >= interval
}
