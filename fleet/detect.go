package fleet

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

func (c *Core) exchangeReceived(now time.Duration, r *peerpb.ExchangeRequest) []Action {
	from := api.InstanceID(r.GetFrom())
	var actions []Action
	if from == c.self.ID {
		actions = append(actions, c.handleOwnEntry(now, memberFromProto(r.GetSelf()))...)
	} else {
		actions = append(actions, c.merge(now, []*peerpb.Member{r.GetSelf()}, true)...)
		c.recordContact(now, from, r.GetIncarnation(), r.GetSelf())
	}
	// A message with more than maxGossipEntries entries carries a full table, which
	// is not gossiped further.
	actions = append(actions, c.merge(now, r.GetDeltas().GetMembers(), len(r.GetDeltas().GetMembers()) <= maxGossipEntries)...)
	if r.GetHeadVersion() > c.ticketStatus.HeadVersion {
		actions = append(actions, NewerTicketHead{Address: r.GetSelf().GetAddress(), HeadVersion: r.GetHeadVersion()})
	}
	return append(actions, PeerResponse{Response: c.exchangeResponse(now, r)})
}

func (c *Core) exchangeResponse(now time.Duration, r *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	response := &peerpb.ExchangeResponse{
		LatestTicket:   c.ticketStatus.Latest,
		AcceptedTicket: c.ticketStatus.Accepted,
		HeadVersion:    c.ticketStatus.HeadVersion,
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
		c.decrementPendingSends()
	default:
		response.Deltas.Members = c.takeChangedEntries(r.GetDeltas().GetMembers())
	}
	// Return the entry of the requester if it is newer than the requester's own, so
	// that the requester can refute it, restart its incarnation, or detect that
	// another process uses its ID.
	requester := memberFromProto(r.GetSelf())
	if api.InstanceID(r.GetFrom()) == c.self.ID {
		response.Sender = memberToProto(c.self.Member)
	} else if current, known := c.members[requester.ID]; known && newer(current.Member, requester) {
		response.Sender = memberToProto(current.Member)
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
	self := memberFromProto(r.GetSelf())
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
	if r.GetHeadVersion() > c.ticketStatus.HeadVersion {
		actions = append(actions, NewerTicketHead{Address: self.Address, HeadVersion: r.GetHeadVersion()})
	}
	if !invalidatesSelf(actions) && self.ID != c.self.ID {
		c.confirmFromResponse(now, e.SentAt, r)
	}
	return append(actions, c.requestTableIfDifferent(now, self, r.GetTableHash())...)
}

// invalidatesSelf reports whether an action shows that this instance's incarnation
// is no longer valid or that another process uses this instance's ID.
func invalidatesSelf(actions []Action) bool {
	for _, a := range actions {
		switch a.(type) {
		case IncarnationRestarted, DuplicateInstance:
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
		c.lastHeartbeatAt = now - heartbeatInterval
	}
}

// watchShowsRegistration reports whether this instance watches the store, had
// contact with it recently, and sees the registration of the given instance.
func (c *Core) watchShowsRegistration(now time.Duration, id api.InstanceID) bool {
	if c.ticketStatus.StoreContact < 0 || now-c.ticketStatus.StoreContact > maxConfirmationAge {
		return false
	}
	_, registered := c.ticketStatus.Registrations[id]
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
	if trusted || c.options.confirmByAnyPeer {
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
	if headVersion <= c.ticketStatus.HeadVersion {
		c.peerConfirmedAt = max(c.peerConfirmedAt, sentAt)
		return
	}
	// Bound the list; further confirmations are dropped.
	if len(c.pendingConfirmations) < ringNeighbourCount*4 {
		c.pendingConfirmations = append(c.pendingConfirmations, pendingConfirmation{sentAt: sentAt, headVersion: headVersion})
	}
}

// applyTicketStatus stores the status of the ticket component, restarts this
// instance's incarnation if its registration was removed, and counts the pending confirmations
// whose tickets are applied now.
func (c *Core) applyTicketStatus(now time.Duration, p TicketStatus) []Action {
	c.ticketStatus = p
	if c.registered && p.ExpelledIncarnation >= c.registeredIncarnation {
		return c.restartIncarnation(now, c.self.Incarnation+1)
	}
	remaining := c.pendingConfirmations[:0]
	for _, pending := range c.pendingConfirmations {
		if pending.headVersion <= p.HeadVersion {
			c.peerConfirmedAt = max(c.peerConfirmedAt, pending.sentAt)
		} else {
			remaining = append(remaining, pending)
		}
	}
	c.pendingConfirmations = remaining
	return nil
}

// requestTableIfDifferent asks for the peer's full table if the table hashes
// differ although this instance's table has not changed for tableStableTime. During
// startupPeriod it does not wait for that.
func (c *Core) requestTableIfDifferent(now time.Duration, from api.Member, hash uint64) []Action {
	if hash == c.tableHash {
		return nil
	}
	interval := fullSyncInterval
	if now-c.incarnationStartedAt < startupPeriod {
		interval = startupFullSyncInterval
	} else if now-c.lastTableChangeAt < tableStableTime {
		return nil
	}
	if now-c.lastFullSyncAt < interval {
		return nil
	}
	c.lastFullSyncAt = now
	// The peer may lack entries that this instance has. In a small fleet they fit
	// into the request; in a large one the peer detects the difference itself.
	if len(c.members) <= maxGossipEntries {
		for _, m := range c.members {
			m.pendingSends = max(m.pendingSends, 1)
		}
	}
	return []Action{SendExchange{To: from.ID, Address: from.Address, Request: c.exchangeRequest(now, true)}}
}

// probeUnresponsive probes, over a new connection, the ring neighbours and
// higher-ranked watchers without recent contact. Members to which this instance has
// not sent an exchange yet are left out.
func (c *Core) probeUnresponsive(now time.Duration) []Action {
	var actions []Action
	for _, id := range append(c.neighbours(), c.higherRankedWatchers()...) {
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
			notifyWatchers := m.suspectedLocally // setMember resets it
			actions = append(actions, c.setMember(now, next, true)...)
			if notifyWatchers {
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
// expel dead members. In a fleet of 330 instances gossip alone takes 0.45 to 0.9 s
// to reach one of them. Only an instance whose own probe failed calls it, so that a
// dead member does not cause messages from every instance.
func (c *Core) notifyStoreWatchers(now time.Duration) []Action {
	sent := make(map[api.InstanceID]bool)
	var actions []Action
	for _, id := range c.sampleStoreWatchers() {
		if sent[id] {
			continue
		}
		sent[id] = true
		actions = append(actions, c.exchangeWith(now, c.members[id]))
	}
	return actions
}

// instanceListDone evaluates the platform's instance list. Its addresses become
// candidate addresses. If AutoExpel is set, the first instance in the watch order of
// a failure domain, while it may serve, expels the dead members that are not on the
// list. The list must have been requested after the member was declared dead; a
// member is declared dead 5 s after the last contact at the earliest.
func (c *Core) instanceListDone(now time.Duration, e InstanceListDone) []Action {
	if !e.OK {
		return nil
	}
	c.listRequestedAt = e.RequestedAt
	c.listedIDs = make(map[api.InstanceID]bool, len(e.Instances))
	for _, i := range e.Instances {
		c.listedIDs[i.ID] = true
		if i.ID != c.self.ID {
			c.addCandidateAddress(i.Address)
		}
	}
	c.removeUnlistedAddresses(e.Instances)
	if !c.options.AutoExpel || c.domainRank() != 0 || c.refusesWork(now) {
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

// removeUnlistedAddresses removes candidate addresses that are neither seed
// addresses nor on the platform's instance list.
func (c *Core) removeUnlistedAddresses(listed []ListedInstance) {
	keep := make(map[string]bool, len(listed)+len(c.options.SeedAddresses))
	for _, i := range listed {
		keep[i.Address] = true
	}
	for _, address := range c.options.SeedAddresses {
		keep[address] = true
	}
	for address := range c.candidateAddresses {
		if !keep[address] {
			delete(c.candidateAddresses, address)
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

// registerDone records a successful registration. If the store has a different
// registration of this instance's ID with the same or a higher incarnation, it raises
// its own incarnation above that.
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

// startupFinished reports whether startupPeriod has passed. By then exchanges with
// peers have filled the table.
func (c *Core) startupFinished(now time.Duration) bool {
	return now-c.incarnationStartedAt >= startupPeriod
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
