// Package fleet keeps the member table: which instances exist, in which state
// they are, and whether this instance may start new work.
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
	// heartbeatInterval is the time between two exchanges with a neighbour.
	heartbeatInterval = time.Second
	// ringNeighbours is how many successors on the ring get a heartbeat. With
	// three, two adjacent instances may fail together and both are noticed.
	ringNeighbours = 3
	// silenceBound is how long a neighbour may be silent before it is probed.
	silenceBound = 2 * time.Second
	// probeRepeat is when an unanswered probe is sent a second time, within the
	// 500 ms of the first one. With 5% of the messages lost each way, one lost
	// probe would make about 0.9 false suspects a second at 330 instances, and
	// each is gossiped together with its refutation.
	probeRepeat = 250 * time.Millisecond
	// suspectBound is the time that a suspect has to refute.
	suspectBound = 3 * time.Second
	// isolationBound is the age of the last confirmation beyond which the
	// instance takes no new work.
	isolationBound = 3 * time.Second
	// listInterval is the time between two reads of the platform's list by the
	// first instance of a failure domain.
	listInterval = 2 * time.Second
	// listSoonInterval replaces listInterval after news of a death. It bounds the
	// reads when many instances die together.
	listSoonInterval = 250 * time.Millisecond
	// registrationsInterval is the time between two reads of the registrations
	// by the first instance of a failure domain.
	registrationsInterval = 10 * time.Second
	// rejoinInterval is the time between two exchanges with a dead member or a
	// seed, which heal the table after a partition.
	rejoinInterval = 5 * time.Second
	// fullInterval is the shortest time between two requests for a whole table.
	fullInterval = 5 * time.Second
	// startPhase is how long after its start an instance asks for whole tables
	// more often: when many start together, all tables have gaps, and each
	// answer about doubles what an instance knows.
	startPhase        = 15 * time.Second
	startFullInterval = time.Second
	// quietBound is how long no entry may change before a different table hash
	// counts as a missed change.
	quietBound = 3 * time.Second
	// registerInterval is the time between two attempts to register.
	registerInterval = 500 * time.Millisecond
	// forgetAfter is how long an ended member stays in the table, so that a
	// late message does not bring it back.
	forgetAfter = 10 * time.Minute
	// maxEntries is the most member entries of one message that is not a whole
	// table; an entry has about 70 bytes.
	maxEntries = 16
	// staleTrust is how long an instance without a confirmation waits for one by
	// an instance that sees its registration in the store. Any other peer may
	// not know yet that it was expelled, and two instances that resume after a
	// pause together would confirm each other's old state. After it the answer
	// of any peer is enough: news of an expulsion has spread by then, and while
	// the store is unavailable nobody is expelled.
	staleTrust = 5 * time.Second
	// takeOverBound is the age of the watching instance's last contact with the
	// store beyond which the next instance watches as well.
	takeOverBound = 3 * time.Second
	// watchRanks is how many instances of a failure domain follow the one that
	// watches the store, to take over from it.
	watchRanks = 3
	// sponsorAfter is how long an instance tries to register before a whole
	// table from a peer is enough to serve without a registration.
	sponsorAfter = 2 * time.Second
)

// CoreOptions configures a Core.
type CoreOptions struct {
	// Self is the instance's own entry with its first incarnation.
	Self api.Member
	// SeedAddresses are peer addresses to start from.
	SeedAddresses []string
	// AutoExpel says that the core expels instances that are dead and gone from
	// the platform's list.
	AutoExpel bool
	Seed      uint64

	// mergeWithoutIncarnation is a wrong variant for the test of the merge rule.
	mergeWithoutIncarnation bool
	// confirmByStale is a wrong variant that trusts the answer of a stale peer.
	confirmByStale bool
	// confirmAtReceipt is a wrong variant that dates a confirmation when the
	// answer is processed.
	confirmAtReceipt bool
}

type entry struct {
	api.Member
	sends   int           // messages that still carry the entry
	heardAt time.Duration // last direct contact
	sentAt  time.Duration // last exchange sent
	since   time.Duration // when the state was learned
	probing bool
	// probedAt is when the probe was sent; repeated says that it was sent twice.
	probedAt time.Duration
	repeated bool
	// suspectedHere says that this instance's own probe made the member a suspect.
	suspectedHere bool
}

// Core decides on membership. It has no I/O and no clock.
type Core struct {
	options CoreOptions
	random  *rand.Rand
	self    *entry
	members map[api.InstanceID]*entry // without self
	tickets TicketProgress

	contacts map[string]time.Duration // seed and listed addresses, by last attempt
	// ring and domain are derived from members and dropped when they change.
	ring   []api.InstanceID
	domain []api.InstanceID
	// first are the first instances of the other failure domains.
	first []api.InstanceID

	started      bool
	startedAt    time.Duration
	registered   bool
	registeredAs uint64        // incarnation
	countFrom    time.Duration // confirmations count if asked for after this
	sponsored    bool          // serves without a registration
	joined       bool          // a whole table was received
	duplicate    bool
	leaving      bool
	lastBeat     time.Duration
	lastList     time.Duration
	listSoon     bool // a member was declared dead since the last read
	lastRegs     time.Duration
	lastRejoin   time.Duration
	lastRegister time.Duration
	lastFull     time.Duration
	lastChange   time.Duration
	confirmed    time.Duration // sending time of the last confirmed contact
	waiting      []confirmation
	staleSince   time.Duration // when the confirmation was found too old; 0: it is not
	listAt       time.Duration
	listed       map[api.InstanceID]bool
	hash         uint64
	generation   uint64 // counts changes of the table
}

// confirmation is a contact that counts once the ticket slice applies the head
// that the peer has.
type confirmation struct {
	sentAt      time.Duration
	headVersion uint64
}

// NewCore returns a core that knows only itself.
func NewCore(o CoreOptions) *Core {
	self := o.Self
	self.State = api.MemberAlive
	c := &Core{
		options:   o,
		random:    rand.New(rand.NewPCG(o.Seed, peer.Score("fleet", self.ID))),
		self:      &entry{Member: self},
		members:   make(map[api.InstanceID]*entry),
		contacts:  make(map[string]time.Duration),
		confirmed: -1,
		listAt:    -1,
		tickets:   TicketProgress{StoreContact: -1},
	}
	for _, address := range o.SeedAddresses {
		c.addContact(address)
	}
	c.hash = entryHash(self)
	return c
}

func (c *Core) addContact(address string) {
	if _, known := c.contacts[address]; !known && address != "" && address != c.self.Address {
		c.contacts[address] = -rejoinInterval
	}
}

// Step applies one event and returns what to do. now is the boot clock.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	if !c.started {
		c.start(now)
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
		return c.listDone(now, e)
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
		c.setSelf(now, api.MemberLeaving)
	case LeaveCompleted:
		c.leaving = true
		c.setSelf(now, api.MemberLeft)
		return c.farewell(now)
	}
	return nil
}

// start sets the timers so that everything is due at once.
func (c *Core) start(now time.Duration) {
	c.started = true
	c.startedAt = now
	c.lastBeat = now - heartbeatInterval
	c.lastList = now - listInterval
	c.lastRejoin = now - rejoinInterval
	c.lastRegister = now - registerInterval
	c.lastFull = now - fullInterval
	c.lastChange = now
	c.self.since = now
	for address := range c.contacts {
		c.contacts[address] = now - rejoinInterval
	}
}

func (c *Core) tick(now time.Duration) []Action {
	c.noteStale(now)
	var actions []Action
	if !c.registered && !c.leaving && now-c.lastRegister >= registerInterval {
		c.lastRegister = now
		actions = append(actions, Register{Incarnation: c.self.Incarnation})
	}
	if c.joined && !c.registered && now-c.startedAt >= sponsorAfter {
		c.sponsored = true
	}
	if c.listDue(now) && (c.domainRank() == 0 || len(c.members) == 0) {
		c.lastList = now
		c.listSoon = false
		actions = append(actions, ReadInstanceList{})
	}
	if now-c.lastRegs >= registrationsInterval && c.joinedOrAlone(now) && c.domainRank() == 0 {
		c.lastRegs = now
		actions = append(actions, ReadRegistrations{})
	}
	actions = append(actions, c.ageStates(now)...)
	actions = append(actions, c.probes(now)...)
	if now-c.lastBeat >= heartbeatInterval {
		c.lastBeat = now
		actions = append(actions, c.heartbeat(now)...)
	}
	return append(actions, c.rejoin(now)...)
}

func (c *Core) listDue(now time.Duration) bool {
	interval := listInterval
	if c.listSoon {
		interval = listSoonInterval
	}
	return now-c.lastList >= interval
}

// heartbeat exchanges with the ring neighbours, with one member of another
// region, and with the instances of the failure domain that watch the store
// before this one does.
func (c *Core) heartbeat(now time.Duration) []Action {
	targets := c.neighbours()
	if other := c.randomOtherRegion(); other != "" {
		targets = append(targets, other)
	}
	targets = append(targets, c.watchersBefore()...)
	if c.staleSince > 0 {
		targets = append(targets, c.watchers()...)
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
	m.sentAt = now
	return SendExchange{To: m.ID, Address: m.Address, Request: c.request(now, !c.joined)}
}

// request builds an exchange; full also asks for the whole table.
func (c *Core) request(now time.Duration, full bool) *peerpb.ExchangeRequest {
	return &peerpb.ExchangeRequest{
		From:           string(c.self.ID),
		Incarnation:    c.self.Incarnation,
		LatestTicket:   c.tickets.Latest,
		AcceptedTicket: c.tickets.Accepted,
		HeadVersion:    c.tickets.HeadVersion,
		Self:           c.selfProto(now),
		Deltas:         &peerpb.Deltas{Members: c.changedEntries(nil)},
		Full:           full,
		TableHash:      c.hash,
	}
}

func (c *Core) selfProto(now time.Duration) *peerpb.Member {
	m := toProto(c.self.Member)
	if c.tickets.StoreContact >= 0 {
		m.StoreContactAgeMs = uint64(max(now-c.tickets.StoreContact, 0)/time.Millisecond) + 1
	}
	return m
}

// neighbours returns the successors on the ring.
func (c *Core) neighbours() []api.InstanceID {
	c.derive()
	own := peer.Score("ring", c.self.ID)
	start := sort.Search(len(c.ring), func(i int) bool {
		score := peer.Score("ring", c.ring[i])
		return score > own || score == own && c.ring[i] > c.self.ID
	})
	count := min(ringNeighbours, len(c.ring))
	result := make([]api.InstanceID, 0, count+watchRanks)
	for i := range count {
		result = append(result, c.ring[(start+i)%len(c.ring)])
	}
	return result
}

// derive rebuilds the ring and the order of the own failure domain.
func (c *Core) derive() {
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
	c.first = c.first[:0]
	for _, id := range first {
		c.first = append(c.first, id)
	}
	slices.Sort(c.first)
	c.ring = peer.Rank("ring", ids)
	c.domain = peer.Rank("watch", domain)
}

// domainRank is this instance's place in the order of its failure domain.
func (c *Core) domainRank() int {
	c.derive()
	for i, id := range c.domain {
		if id == c.self.ID {
			return i
		}
	}
	return len(c.domain)
}

func (c *Core) watchersBefore() []api.InstanceID {
	rank := c.domainRank()
	if rank > watchRanks {
		return nil
	}
	return c.domain[:rank]
}

// watchers returns the instance that watches the store for the own failure
// domain and those of two others.
func (c *Core) watchers() []api.InstanceID {
	c.derive()
	var list []api.InstanceID
	if c.domain[0] != c.self.ID {
		list = append(list, c.domain[0])
	}
	for range min(2, len(c.first)) {
		list = append(list, c.first[c.random.IntN(len(c.first))])
	}
	return list
}

func (c *Core) randomOtherRegion() api.InstanceID {
	c.derive()
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

// rejoin exchanges with a dead member, or with an address that no member has.
func (c *Core) rejoin(now time.Duration) []Action {
	interval := rejoinInterval
	if !c.joined {
		interval = heartbeatInterval
	}
	if now-c.lastRejoin < interval {
		return nil
	}
	c.lastRejoin = now
	address := c.rejoinAddress(now)
	if address == "" {
		return nil
	}
	return []Action{SendExchange{Address: address, Request: c.request(now, true)}}
}

func (c *Core) rejoinAddress(now time.Duration) string {
	taken := make(map[string]bool, len(c.members))
	var dead []string
	for _, m := range c.members {
		if m.State.Reachable() {
			taken[m.Address] = true
		}
		if m.State == api.MemberDead {
			dead = append(dead, m.Address)
		}
	}
	oldest := ""
	for address, at := range c.contacts {
		if taken[address] {
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
