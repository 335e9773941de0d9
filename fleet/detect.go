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
		actions = append(actions, c.mergeOwnEntry(now, fromProto(r.GetSelf()))...)
	} else {
		actions = append(actions, c.merge(now, []*peerpb.Member{r.GetSelf()}, true)...)
		c.recordContact(now, from, r.GetIncarnation(), r.GetSelf())
	}
	actions = append(actions, c.merge(now, r.GetDeltas().GetMembers(), len(r.GetDeltas().GetMembers()) <= maxGossipEntries)...)
	if r.GetHeadVersion() > c.tickets.HeadVersion {
		actions = append(actions, NewerTicketHead{Address: r.GetSelf().GetAddress(), HeadVersion: r.GetHeadVersion()})
	}
	return append(actions, Respond{Response: c.exchangeResponse(now, r)})
}

func (c *Core) exchangeResponse(now time.Duration, r *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	response := &peerpb.ExchangeResponse{
		LatestTicket:   c.tickets.Latest,
		AcceptedTicket: c.tickets.Accepted,
		HeadVersion:    c.tickets.HeadVersion,
		Self:           c.ownEntry(now),
		Deltas:         &peerpb.Deltas{},
		TableHash:      c.tableHash,
		Stale:          c.stale(now),
		Registered:     c.watchShowsRegistration(now, api.InstanceID(r.GetFrom())),
	}
	switch {
	case r.GetFull():
		response.Deltas.Members = c.allEntries()
	case r.GetTableHash() == c.tableHash:
		c.countAllEntriesSent()
	default:
		response.Deltas.Members = c.takeChangedEntries(r.GetDeltas().GetMembers())
	}
	sender := fromProto(r.GetSelf())
	if api.InstanceID(r.GetFrom()) == c.self.ID {
		response.Sender = toProto(c.self.Member)
	} else if current, known := c.members[sender.ID]; known && newer(current.Member, sender) {
		response.Sender = toProto(current.Member)
	}
	return response
}

// recordContact records a message received directly from a member, with the age
// of the member's last store contact.
func (c *Core) recordContact(now time.Duration, id api.InstanceID, incarnation uint64, self *peerpb.Member) {
	m, known := c.members[id]
	if !known || incarnation < m.Incarnation {
		return
	}
	m.lastContactAt = now
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
		c.recordContact(now, self.ID, self.Incarnation, r.GetSelf())
	}
	actions = append(actions, c.merge(now, r.GetDeltas().GetMembers(), len(r.GetDeltas().GetMembers()) <= maxGossipEntries)...)
	// Every request asks for the full table until the first response of another
	// instance.
	c.fullTableReceived = c.fullTableReceived || self.ID != c.self.ID
	if r.GetHeadVersion() > c.tickets.HeadVersion {
		actions = append(actions, NewerTicketHead{Address: self.Address, HeadVersion: r.GetHeadVersion()})
	}
	if !containsReset(actions) && self.ID != c.self.ID {
		c.confirmFromResponse(now, e.SentAt, r)
	}
	return append(actions, c.requestTableIfDifferent(now, self, r.GetTableHash())...)
}

// containsReset reports whether the instance has lost its identity: it was
// expelled, or another process uses its id.
func containsReset(actions []Action) bool {
	for _, a := range actions {
		switch a.(type) {
		case IncarnationReset, DuplicateInstance:
			return true
		}
	}
	return false
}

// stale reports whether the last confirmation is too old to accept new work.
func (c *Core) stale(now time.Duration) bool {
	confirmed := c.lastConfirmed()
	return confirmed < 0 || now-confirmed > maxConfirmationAge
}

// updateStaleness records when the last confirmation became too old, and then
// makes the next heartbeat due immediately.
func (c *Core) updateStaleness(now time.Duration) {
	if !c.stale(now) {
		c.staleSince = 0
	} else if c.staleSince == 0 {
		c.staleSince = now
		c.lastHeartbeat = now - heartbeatInterval
	}
}

// watchShowsRegistration reports whether this instance watches the store, had
// contact with it recently, and sees the registration of the given instance.
func (c *Core) watchShowsRegistration(now time.Duration, id api.InstanceID) bool {
	if c.tickets.StoreContact < 0 || now-c.tickets.StoreContact > maxConfirmationAge {
		return false
	}
	_, registered := c.tickets.Registered[id]
	return registered
}

// confirmFromResponse records a peer's response as a confirmation. If this
// instance is stale, only a peer that sees its registration may confirm it until
// anyPeerConfirmDelay has passed.
func (c *Core) confirmFromResponse(now, sentAt time.Duration, r *peerpb.ExchangeResponse) {
	c.updateStaleness(now)
	trusted := !r.GetStale()
	if c.staleSince > 0 {
		trusted = r.GetRegistered() || now-c.staleSince >= anyPeerConfirmDelay
	}
	if trusted || c.options.confirmByStale {
		c.recordConfirmation(now, sentAt, r.GetHeadVersion())
	}
}

// recordConfirmation records a confirmation by a peer. It is dated at the time
// when the request was sent, so that a response that was queued during a process
// pause does not count as recent. It becomes valid only when this instance
// applies the tickets that the peer knows.
func (c *Core) recordConfirmation(now, sentAt time.Duration, headVersion uint64) {
	if c.options.confirmAtReceipt {
		sentAt = now
	}
	if headVersion <= c.tickets.HeadVersion {
		c.peerConfirmedAt = max(c.peerConfirmedAt, sentAt)
		return
	}
	if len(c.pendingConfirmations) < ringNeighbourCount*4 {
		c.pendingConfirmations = append(c.pendingConfirmations, confirmation{sentAt: sentAt, headVersion: headVersion})
	}
}

func (c *Core) ticketProgress(now time.Duration, p TicketProgress) []Action {
	c.tickets = p
	if c.registered && p.ExpelledIncarnation >= c.registeredIncarnation {
		return c.restartIncarnation(now, c.self.Incarnation+1)
	}
	remaining := c.pendingConfirmations[:0]
	for _, w := range c.pendingConfirmations {
		if w.headVersion <= p.HeadVersion {
			c.peerConfirmedAt = max(c.peerConfirmedAt, w.sentAt)
		} else {
			remaining = append(remaining, w)
		}
	}
	c.pendingConfirmations = remaining
	return nil
}

// requestTableIfDifferent asks for the peer's full table if the table hashes
// differ although the own table has not changed for tableStableTime.
func (c *Core) requestTableIfDifferent(now time.Duration, from api.Member, hash uint64) []Action {
	if hash == c.tableHash {
		return nil
	}
	interval := fullSyncInterval
	if now-c.startedAt < startupPeriod {
		interval = startupFullSyncInterval
	} else if now-c.lastChange < tableStableTime {
		return nil
	}
	if now-c.lastFullSync < interval {
		return nil
	}
	c.lastFullSync = now
	// The peer may lack entries of this instance. In a small fleet they fit into
	// the request; in a large one the peer detects the difference itself.
	if len(c.members) <= maxGossipEntries {
		for _, m := range c.members {
			m.pendingSends = max(m.pendingSends, 1)
		}
	}
	return []Action{SendExchange{To: from.ID, Address: from.Address, Request: c.exchangeRequest(now, true)}}
}

// probeUnresponsive probes ring neighbours and preceding store watchers without
// recent contact over a new connection.
func (c *Core) probeUnresponsive(now time.Duration) []Action {
	var actions []Action
	for _, id := range append(c.neighbours(), c.precedingWatchers()...) {
		m := c.members[id]
		if m.State == api.MemberSuspect || now-m.lastContactAt < contactTimeout || m.lastExchangeAt == 0 || !m.startProbeIfDue(now) {
			continue
		}
		actions = append(actions, SendProbe{To: id, Incarnation: m.Incarnation, Address: m.Address})
	}
	return actions
}

// startProbeIfDue reports whether a first or second probe has to be sent now, and
// records that it was sent. If the first probe fails, the member becomes a
// suspect unless the second one has succeeded by then, so that the second probe
// does not delay a suspicion.
func (m *entry) startProbeIfDue(now time.Duration) bool {
	switch {
	case !m.probeActive:
		m.probeActive, m.probeRetried, m.probeSentAt = true, false, now
		return true
	case !m.probeRetried && now-m.probeSentAt >= probeRetryDelay:
		m.probeRetried = true
		return true
	}
	return false
}

func (c *Core) probeDone(now time.Duration, e ProbeDone) []Action {
	m, known := c.members[e.To]
	if !known {
		return nil
	}
	m.probeActive = false
	if m.Incarnation != e.Incarnation {
		return nil
	}
	if e.OK {
		m.lastContactAt = now
		return nil
	}
	// After a pause of this process all neighbours seem unresponsive; a message
	// that has arrived in the meantime has updated lastContactAt.
	if now-m.lastContactAt < contactTimeout || m.State != api.MemberAlive && m.State != api.MemberLeaving {
		return nil
	}
	next := m.Member
	next.State = api.MemberSuspect
	next.Version++
	actions := c.setMember(now, next, true)
	m.suspectedLocally = true
	return actions
}

// expireStates declares suspects dead after suspectTimeout and removes left and
// expelled members after goneMemberTTL.
func (c *Core) expireStates(now time.Duration) []Action {
	var actions []Action
	for id, m := range c.members {
		switch {
		case m.State == api.MemberSuspect && now-m.stateSince >= suspectTimeout:
			next := m.Member
			next.State = api.MemberDead
			next.Version++
			report := m.suspectedLocally
			actions = append(actions, c.setMember(now, next, true)...)
			if report {
				actions = append(actions, c.notifyStoreWatchers(now)...)
			}
		case m.State.Gone() && now-m.stateSince >= goneMemberTTL:
			c.tableHash ^= entryHash(m.Member)
			delete(c.members, id)
			c.tableChanged(now)
		}
	}
	return actions
}

// notifyStoreWatchers exchanges immediately with store watchers, because these
// expel dead members. In a simulation of 330 instances gossip alone took 0.45 to
// 0.9 s to reach one of them. It is called only by an instance whose own probe
// failed, so that a dead member does not cause messages from every instance.
func (c *Core) notifyStoreWatchers(now time.Duration) []Action {
	sent := make(map[api.InstanceID]bool)
	var actions []Action
	for _, id := range c.storeWatchers() {
		if sent[id] {
			continue
		}
		sent[id] = true
		actions = append(actions, c.exchangeWith(now, c.members[id]))
	}
	return actions
}

// instanceListDone evaluates the platform's instance list: unknown addresses
// become contacts, and dead members that are not on the list are expelled. The
// list must have been requested after the member was declared dead, which takes
// at least 5 s without contact.
func (c *Core) instanceListDone(now time.Duration, e InstanceListDone) []Action {
	if !e.OK {
		return nil
	}
	c.listRequestedAt = e.RequestedAt
	c.listedIDs = make(map[api.InstanceID]bool, len(e.Instances))
	for _, i := range e.Instances {
		c.listedIDs[i.ID] = true
		if i.ID != c.self.ID {
			c.addContact(i.Address)
		}
	}
	c.removeUnlistedContacts(e.Instances)
	if !c.options.AutoExpel || c.domainRank() != 0 || c.notServing(now) {
		return nil
	}
	var actions []Action
	for id, m := range c.members {
		if m.State == api.MemberDead && !c.listedIDs[id] && c.listRequestedAt > m.stateSince {
			actions = append(actions, Expel{ID: id, Incarnation: m.Incarnation})
		}
	}
	return actions
}

// removeUnlistedContacts removes contact addresses that are neither seeds nor on
// the platform's instance list.
func (c *Core) removeUnlistedContacts(listed []ListedInstance) {
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
	return c.setMember(now, next, true)
}

func (c *Core) registerDone(now time.Duration, e RegisterDone) []Action {
	if e.Incarnation != c.self.Incarnation {
		return nil
	}
	if e.StoredIncarnation >= c.self.Incarnation {
		c.raiseIncarnation(now, e.StoredIncarnation+1)
		return nil
	}
	if !e.OK || c.registered {
		return nil
	}
	c.registered = true
	c.registeredIncarnation = e.Incarnation
	if !c.hasJoined() {
		c.minConfirmationTime = now
	}
	return nil
}

// startupFinished reports whether startupPeriod has passed, after which the table
// is as complete as exchanges with peers make it.
func (c *Core) startupFinished(now time.Duration) bool {
	return now-c.startedAt >= startupPeriod
}

// registrationsDone adds registered instances that the table lacks as suspects.
// After a restart of the whole fleet no member knows them, and tickets would wait
// forever for their acknowledgements. A running instance refutes the suspicion;
// any other one is expelled like a dead member.
func (c *Core) registrationsDone(now time.Duration, e RegistrationsDone) []Action {
	var actions []Action
	for _, r := range e.Registrations {
		if _, known := c.members[r.Instance]; known || r.Instance == c.self.ID || r.Instance == "" {
			continue
		}
		m := api.Member{ID: r.Instance, Incarnation: r.Incarnation, Address: r.Address, Half: r.Half, State: api.MemberSuspect}
		actions = append(actions, c.setMember(now, m, true)...)
	}
	return actions
}

// announceLeave tells the ring neighbours that the instance has left.
func (c *Core) announceLeave(now time.Duration) []Action {
	var actions []Action
	for _, id := range c.neighbours() {
		actions = append(actions, c.exchangeWith(now, c.members[id]))
	}
	return actions
}
