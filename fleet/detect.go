package fleet

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

func (c *Core) exchangeIn(now time.Duration, r *peerpb.ExchangeRequest) []Action {
	from := api.InstanceID(r.GetFrom())
	var actions []Action
	if from == c.self.ID {
		actions = append(actions, c.mergeSelf(now, fromProto(r.GetSelf()))...)
	} else {
		actions = append(actions, c.merge(now, []*peerpb.Member{r.GetSelf()}, true)...)
		c.heard(now, from, r.GetIncarnation(), r.GetSelf())
	}
	actions = append(actions, c.merge(now, r.GetDeltas().GetMembers(), len(r.GetDeltas().GetMembers()) <= maxEntries)...)
	if r.GetHeadVersion() > c.tickets.HeadVersion {
		actions = append(actions, NewerTicketHead{Address: r.GetSelf().GetAddress(), HeadVersion: r.GetHeadVersion()})
	}
	return append(actions, Respond{Response: c.response(now, r)})
}

func (c *Core) response(now time.Duration, r *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	response := &peerpb.ExchangeResponse{
		LatestTicket:   c.tickets.Latest,
		AcceptedTicket: c.tickets.Accepted,
		HeadVersion:    c.tickets.HeadVersion,
		Self:           c.selfProto(now),
		Deltas:         &peerpb.Deltas{},
		TableHash:      c.hash,
		Stale:          c.stale(now),
		Registered:     c.seesRegistration(now, api.InstanceID(r.GetFrom())),
	}
	switch {
	case r.GetFull():
		response.Deltas.Members = c.allEntries()
	case r.GetTableHash() == c.hash:
		c.countAllSent()
	default:
		response.Deltas.Members = c.changedEntries(r.GetDeltas().GetMembers())
	}
	sender := fromProto(r.GetSelf())
	if api.InstanceID(r.GetFrom()) == c.self.ID {
		response.Sender = toProto(c.self.Member)
	} else if have, known := c.members[sender.ID]; known && newer(have.Member, sender) {
		response.Sender = toProto(have.Member)
	}
	return response
}

// heard notes direct contact with a member.
func (c *Core) heard(now time.Duration, id api.InstanceID, incarnation uint64, self *peerpb.Member) {
	m, known := c.members[id]
	if !known || incarnation < m.Incarnation {
		return
	}
	m.heardAt = now
	m.StoreContactAge = time.Duration(self.GetStoreContactAgeMs()) * time.Millisecond
}

func (c *Core) exchangeDone(now time.Duration, e ExchangeDone) []Action {
	if e.Response == nil {
		return nil
	}
	r := e.Response
	self := fromProto(r.GetSelf())
	var actions []Action
	if r.GetSender() != nil {
		actions = append(actions, c.merge(now, []*peerpb.Member{r.GetSender()}, true)...)
	}
	if self.ID != c.self.ID {
		actions = append(actions, c.merge(now, []*peerpb.Member{r.GetSelf()}, true)...)
		c.heard(now, self.ID, self.Incarnation, r.GetSelf())
	}
	actions = append(actions, c.merge(now, r.GetDeltas().GetMembers(), len(r.GetDeltas().GetMembers()) <= maxEntries)...)
	// Until then every request asks for the whole table.
	c.joined = c.joined || self.ID != c.self.ID
	if r.GetHeadVersion() > c.tickets.HeadVersion {
		actions = append(actions, NewerTicketHead{Address: self.Address, HeadVersion: r.GetHeadVersion()})
	}
	if !expelledIn(actions) && self.ID != c.self.ID {
		c.confirmBy(now, e.SentAt, r)
	}
	return append(actions, c.compareTables(now, self, r.GetTableHash())...)
}

func expelledIn(actions []Action) bool {
	for _, a := range actions {
		switch a.(type) {
		case IncarnationReset, DuplicateInstance:
			return true
		}
	}
	return false
}

// stale reports whether the last confirmation is too old for new work.
func (c *Core) stale(now time.Duration) bool {
	confirmed := c.lastConfirmed()
	return confirmed < 0 || now-confirmed > isolationBound
}

func (c *Core) noteStale(now time.Duration) {
	if !c.stale(now) {
		c.staleSince = 0
	} else if c.staleSince == 0 {
		c.staleSince = now
		c.lastBeat = now - heartbeatInterval // ask at once
	}
}

// seesRegistration reports whether this instance's watch shows that the other
// one is registered.
func (c *Core) seesRegistration(now time.Duration, id api.InstanceID) bool {
	if c.tickets.StoreContact < 0 || now-c.tickets.StoreContact > isolationBound {
		return false
	}
	_, registered := c.tickets.Registered[id]
	return registered
}

// confirmBy uses an answer as a confirmation. An instance that has none needs
// one by a peer that sees its registration.
func (c *Core) confirmBy(now, sentAt time.Duration, r *peerpb.ExchangeResponse) {
	c.noteStale(now)
	trusted := !r.GetStale()
	if c.staleSince > 0 {
		trusted = r.GetRegistered() || now-c.staleSince >= staleTrust
	}
	if trusted || c.options.confirmByStale {
		c.confirm(now, sentAt, r.GetHeadVersion())
	}
}

// confirm notes an answer of a peer. It is dated when the question was sent,
// so that an answer that waited during a pause does not count as fresh, and it
// counts only once the tickets that the peer knows are applied here.
func (c *Core) confirm(now, sentAt time.Duration, headVersion uint64) {
	if c.options.confirmAtReceipt {
		sentAt = now
	}
	if headVersion <= c.tickets.HeadVersion {
		c.confirmed = max(c.confirmed, sentAt)
		return
	}
	if len(c.waiting) < ringNeighbours*4 {
		c.waiting = append(c.waiting, confirmation{sentAt: sentAt, headVersion: headVersion})
	}
}

func (c *Core) ticketProgress(now time.Duration, p TicketProgress) []Action {
	c.tickets = p
	if c.registered && p.ExpelledIncarnation >= c.registeredAs {
		return c.restart(now, c.self.Incarnation+1)
	}
	rest := c.waiting[:0]
	for _, w := range c.waiting {
		if w.headVersion <= p.HeadVersion {
			c.confirmed = max(c.confirmed, w.sentAt)
		} else {
			rest = append(rest, w)
		}
	}
	c.waiting = rest
	return nil
}

// compareTables asks for the peer's whole table when the hashes still differ
// although no entry has changed for a while.
func (c *Core) compareTables(now time.Duration, from api.Member, hash uint64) []Action {
	if hash == c.hash {
		return nil
	}
	interval := fullInterval
	if now-c.startedAt < startPhase {
		interval = startFullInterval
	} else if now-c.lastChange < quietBound {
		return nil
	}
	if now-c.lastFull < interval {
		return nil
	}
	c.lastFull = now
	// The peer may lack entries of ours. In a small fleet they fit into the
	// request; in a large one the peer notices the difference as well.
	if len(c.members) <= maxEntries {
		for _, m := range c.members {
			m.sends = max(m.sends, 1)
		}
	}
	return []Action{SendExchange{To: from.ID, Address: from.Address, Request: c.request(now, true)}}
}

// probes checks silent neighbours over a new connection.
func (c *Core) probes(now time.Duration) []Action {
	var actions []Action
	for _, id := range append(c.neighbours(), c.watchersBefore()...) {
		m := c.members[id]
		if m.State == api.MemberSuspect || now-m.heardAt < silenceBound || m.sentAt == 0 || !m.probeDue(now) {
			continue
		}
		actions = append(actions, SendProbe{To: id, Incarnation: m.Incarnation, Address: m.Address})
	}
	return actions
}

// probeDue reports whether a probe is to be sent, and notes it. The failure of
// the first probe decides unless the second one was answered by then, so that
// the repetition does not delay a suspicion.
func (m *entry) probeDue(now time.Duration) bool {
	switch {
	case !m.probing:
		m.probing, m.repeated, m.probedAt = true, false, now
		return true
	case !m.repeated && now-m.probedAt >= probeRepeat:
		m.repeated = true
		return true
	}
	return false
}

func (c *Core) probeDone(now time.Duration, e ProbeDone) []Action {
	m, known := c.members[e.To]
	if !known {
		return nil
	}
	m.probing = false
	if m.Incarnation != e.Incarnation {
		return nil
	}
	if e.OK {
		m.heardAt = now
		return nil
	}
	// A pause of this instance makes all neighbours look silent; an answer
	// that arrived meanwhile has moved heardAt.
	if now-m.heardAt < silenceBound || m.State != api.MemberAlive && m.State != api.MemberLeaving {
		return nil
	}
	next := m.Member
	next.State = api.MemberSuspect
	next.Version++
	actions := c.set(now, next, true)
	m.suspectedHere = true
	return actions
}

// ageStates moves suspects to dead, expels and forgets.
func (c *Core) ageStates(now time.Duration) []Action {
	var actions []Action
	for id, m := range c.members {
		switch {
		case m.State == api.MemberSuspect && now-m.since >= suspectBound:
			next := m.Member
			next.State = api.MemberDead
			next.Version++
			report := m.suspectedHere
			actions = append(actions, c.set(now, next, true)...)
			if report {
				actions = append(actions, c.reportDead(now)...)
			}
		case m.State.Gone() && now-m.since >= forgetAfter:
			c.hash ^= entryHash(m.Member)
			delete(c.members, id)
			c.changed(now)
		}
	}
	return actions
}

// reportDead exchanges at once with instances that expel. In a simulation of 330
// instances gossip alone took 0.45 to 0.9 s to reach one of them. Only an instance
// whose own probe failed reports, so that a death does not cause messages from
// every instance.
func (c *Core) reportDead(now time.Duration) []Action {
	sent := make(map[api.InstanceID]bool)
	var actions []Action
	for _, id := range c.watchers() {
		if sent[id] {
			continue
		}
		sent[id] = true
		actions = append(actions, c.exchangeWith(now, c.members[id]))
	}
	return actions
}

// listDone uses the platform's list: unknown addresses become contacts, and
// dead members that are not on it are expelled. The list must have been read
// after the member was declared dead, which takes 5 s of silence at least.
func (c *Core) listDone(now time.Duration, e InstanceListDone) []Action {
	if !e.OK {
		return nil
	}
	c.listAt = e.RequestedAt
	c.listed = make(map[api.InstanceID]bool, len(e.Instances))
	for _, i := range e.Instances {
		c.listed[i.ID] = true
		if i.ID != c.self.ID {
			c.addContact(i.Address)
		}
	}
	c.dropContacts(e.Instances)
	if !c.options.AutoExpel || c.domainRank() != 0 || c.isolated(now) {
		return nil
	}
	var actions []Action
	for id, m := range c.members {
		if m.State == api.MemberDead && !c.listed[id] && c.listAt > m.since {
			actions = append(actions, Expel{ID: id, Incarnation: m.Incarnation})
		}
	}
	return actions
}

// dropContacts forgets listed addresses that are no longer on the list.
func (c *Core) dropContacts(listed []ListedInstance) {
	keep := make(map[string]bool, len(listed)+len(c.options.SeedAddresses))
	for _, i := range listed {
		keep[i.Address] = true
	}
	for _, address := range c.options.SeedAddresses {
		keep[address] = true
	}
	for address := range c.contacts {
		if !keep[address] {
			delete(c.contacts, address)
		}
	}
}

func (c *Core) expelDone(now time.Duration, e ExpelDone) []Action {
	m, known := c.members[e.ID]
	if !e.OK || !known || m.Incarnation != e.Incarnation || m.State.Gone() {
		return nil
	}
	next := m.Member
	next.State = api.MemberExpelled
	next.Version++
	return c.set(now, next, true)
}

func (c *Core) registerDone(now time.Duration, e RegisterDone) []Action {
	if e.Incarnation != c.self.Incarnation {
		return nil
	}
	if e.StoredIncarnation >= c.self.Incarnation {
		c.raise(now, e.StoredIncarnation+1)
		return nil
	}
	if !e.OK || c.registered {
		return nil
	}
	c.registered = true
	c.registeredAs = e.Incarnation
	if !c.ready() {
		c.countFrom = now
	}
	return nil
}

// joinedOrAlone reports whether the table is as complete as it gets at a start.
func (c *Core) joinedOrAlone(now time.Duration) bool {
	return now-c.startedAt >= startPhase
}

// registrationsDone adds registered instances that the table lacks, as
// suspects. After a restart of the whole fleet nobody else knows them, and
// tickets would wait for them without an end. One that runs refutes; one that
// does not is expelled as any dead instance.
func (c *Core) registrationsDone(now time.Duration, e RegistrationsDone) []Action {
	var actions []Action
	for _, r := range e.Registrations {
		if _, known := c.members[r.Instance]; known || r.Instance == c.self.ID || r.Instance == "" {
			continue
		}
		m := api.Member{ID: r.Instance, Incarnation: r.Incarnation, Address: r.Address, Half: r.Half, State: api.MemberSuspect}
		actions = append(actions, c.set(now, m, true)...)
	}
	return actions
}

// farewell tells the neighbours that the instance has left.
func (c *Core) farewell(now time.Duration) []Action {
	var actions []Action
	for _, id := range c.neighbours() {
		actions = append(actions, c.exchangeWith(now, c.members[id]))
	}
	return actions
}
