package fleet

import (
	"math/bits"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// newer reports whether entry a replaces entry b. The higher incarnation wins.
// Within an incarnation, left and expelled are final; otherwise the higher version
// wins, and of two concurrent changes with the same version the higher state.
func newer(a, b api.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.State.Gone() != b.State.Gone() {
		return a.State.Gone()
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.State > b.State
}

// newer is the merge rule of the core, or its mutation if a test has enabled it.
func (c *Core) newer(a, b api.Member) bool {
	if c.options.mergeWithoutIncarnation {
		return a.Version > b.Version
	}
	return newer(a, b)
}

// entryHash returns the contribution of an entry to the table hash.
func entryHash(m api.Member) uint64 {
	var buffer [96]byte
	key := append(buffer[:0], m.ID...)
	key = append(key, ' ')
	key = strconv.AppendUint(key, m.Incarnation, 36)
	key = append(key, ' ')
	key = strconv.AppendUint(key, m.Version, 36)
	key = append(key, byte(m.State))
	return xxhash.Sum64(key)
}

// merge applies entries from a peer. If gossip is set, the entries have changed
// recently and are gossiped further; the entries of a full table are not.
func (c *Core) merge(now time.Duration, entries []*peerpb.Member, gossip bool) []Action {
	var actions []Action
	for _, p := range entries {
		m := memberFromProto(p)
		if m.ID == "" || m.State == api.MemberUnknown {
			continue
		}
		if m.ID == c.self.ID {
			actions = append(actions, c.handleOwnEntry(now, m)...)
			continue
		}
		current, known := c.members[m.ID]
		if known && !c.newer(m, current.Member) {
			continue
		}
		// Only the mutation skips unknown members that are gone.
		if !known && m.State.Gone() && c.options.mergeWithoutIncarnation {
			continue
		}
		actions = append(actions, c.setMember(now, m, gossip)...)
	}
	return actions
}

// setMember adds or replaces a member's entry, and gossips it if gossip is set.
func (c *Core) setMember(now time.Duration, m api.Member, gossip bool) []Action {
	current, known := c.members[m.ID]
	from := api.MemberUnknown
	if known {
		from = current.State
		c.tableHash ^= entryHash(current.Member)
		if m.Incarnation > current.Incarnation {
			current.lastContactAt = now
		} else {
			m.Acknowledged = max(m.Acknowledged, current.Acknowledged)
			m.StoreContactAge = current.StoreContactAge
		}
		current.Member = m
	} else {
		current = &entry{Member: m, lastContactAt: now}
		c.members[m.ID] = current
	}
	c.tableHash ^= entryHash(m)
	current.pendingSends = 0
	if gossip {
		current.pendingSends = c.sendsPerChange()
	}
	current.stateSince = now
	current.probeActive = false
	current.suspectedLocally = false
	c.tableChanged(now)
	if m.State == api.MemberDead {
		c.instanceListReadUrgent = true // the instance list decides whether the member is expelled
	}
	if from == m.State {
		return nil
	}
	return []Action{MemberChanged{Member: m, PreviousState: from}}
}

// tableChanged records a change of the member table and invalidates the orders that
// are computed from it.
func (c *Core) tableChanged(now time.Duration) {
	c.lastTableChangeAt = now
	c.tableRevision++
	c.ring, c.watchOrder = nil, nil
}

// sendsPerChange returns the initial pendingSends of a changed entry, which is the
// number of messages that carry it:
// about 3 log2 N, after which gossip has reached nearly all members with high
// probability. The comparison of table hashes finds the remaining ones.
func (c *Core) sendsPerChange() int {
	return 3 * bits.Len(uint(len(c.members)+1))
}

// takeChangedEntries returns the entries with pending sends, those with the most
// pending sends first, and decrements their pending sends. Entries that the receiver
// has just sent itself are decremented too, but not returned.
func (c *Core) takeChangedEntries(received []*peerpb.Member) []*peerpb.Member {
	var due []*entry
	for _, m := range c.members {
		if m.pendingSends > 0 {
			due = append(due, m)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		if due[i].pendingSends != due[j].pendingSends {
			return due[i].pendingSends > due[j].pendingSends
		}
		return due[i].ID < due[j].ID
	})
	receivedByID := make(map[api.InstanceID]api.Member, len(received))
	for _, p := range received {
		m := memberFromProto(p)
		receivedByID[m.ID] = m
	}
	entries := make([]*peerpb.Member, 0, min(len(due), maxGossipEntries))
	for _, m := range due {
		if len(entries) == maxGossipEntries {
			break
		}
		m.pendingSends--
		if receivedEntry, found := receivedByID[m.ID]; found && !newer(m.Member, receivedEntry) {
			continue
		}
		entries = append(entries, memberToProto(m.Member))
	}
	return entries
}

// decrementPendingSends decrements the pending sends of all entries. An exchange with
// a member whose table is equal counts as if it had carried every changed entry:
// after 330 instances start, one instance may have a changed entry for each of them,
// and sending maxGossipEntries per message would take over a minute.
func (c *Core) decrementPendingSends() {
	for _, m := range c.members {
		m.pendingSends = max(m.pendingSends-1, 0)
	}
}

func (c *Core) allEntries() []*peerpb.Member {
	entries := make([]*peerpb.Member, 0, len(c.members))
	for _, m := range c.members {
		entries = append(entries, memberToProto(m.Member))
	}
	return entries
}

// handleOwnEntry handles an entry of this instance that a peer sent: it detects a
// duplicate instance, restarts its incarnation if it is no longer valid, and
// refutes a suspicion.
func (c *Core) handleOwnEntry(now time.Duration, m api.Member) []Action {
	if m.Incarnation < c.self.Incarnation || c.duplicateID {
		return nil
	}
	otherAddress := m.Address != "" && m.Address != c.self.Address
	if otherAddress && m.State < api.MemberDead && c.fullTableReceived {
		// Another process uses the same ID. The process with the higher incarnation
		// keeps the ID; with equal incarnations the one with the higher address
		// does. A process without a full table has just started and keeps the ID.
		if m.Incarnation > c.self.Incarnation || m.Address > c.self.Address {
			c.duplicateID = true
			return []Action{DuplicateInstance{Address: m.Address}}
		}
	}
	// This instance's incarnation is no longer valid, or the entry belongs to another
	// process that does not keep the id: continue with a higher incarnation.
	if m.State == api.MemberExpelled || otherAddress || m.State == api.MemberLeft {
		return c.restartIncarnation(now, m.Incarnation+1)
	}
	if m.Incarnation > c.self.Incarnation || m.State > c.self.State {
		c.raiseIncarnation(now, m.Incarnation+1)
	}
	return nil
}

// raiseIncarnation sets a higher own incarnation, which overrides older entries
// that peers have of this instance.
func (c *Core) raiseIncarnation(now time.Duration, incarnation uint64) {
	c.tableHash ^= entryHash(c.self.Member)
	c.self.Incarnation = incarnation
	c.self.Version = 0
	c.tableHash ^= entryHash(c.self.Member)
	c.tableChanged(now)
}

// restartIncarnation continues with a new incarnation because the current one is no
// longer valid, for example after an expulsion. Earlier registrations and
// confirmations no longer count.
func (c *Core) restartIncarnation(now time.Duration, incarnation uint64) []Action {
	if c.leaving {
		return nil
	}
	c.raiseIncarnation(now, incarnation)
	c.registered = false
	c.joinedUnregistered = false
	c.peerConfirmedAt = -1
	c.pendingConfirmations = nil
	c.ticketStatus.StoreContact = -1
	c.lastRegisterAttemptAt = now - registerRetryInterval
	c.incarnationStartedAt = now
	return []Action{IncarnationRestarted{Incarnation: incarnation}}
}

// setOwnState changes the state of this instance's entry.
func (c *Core) setOwnState(now time.Duration, state api.MemberState) {
	c.changeOwnEntry(now, func() { c.self.State = state })
}

// changeOwnEntry changes this instance's entry and raises its version, so that peers
// accept the change.
func (c *Core) changeOwnEntry(now time.Duration, change func()) {
	c.tableHash ^= entryHash(c.self.Member)
	change()
	c.self.Version++
	c.tableHash ^= entryHash(c.self.Member)
	c.tableChanged(now)
}

// Members returns the member table including this instance's entry, sorted by ID.
func (c *Core) Members() []api.Member {
	all := make([]api.Member, 0, len(c.members)+1)
	self := c.self.Member
	self.Acknowledged = c.ticketStatus.Acknowledged
	all = append(all, self)
	for _, m := range c.members {
		all = append(all, m.Member)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// HasFullTable reports whether another instance has sent its member table.
func (c *Core) HasFullTable() bool { return c.fullTableReceived }

// TableRevision changes whenever the table does.
func (c *Core) TableRevision() uint64 { return c.tableRevision }
