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

// newer reports whether entry a replaces entry b. A higher incarnation wins; a
// left or expelled incarnation stays so; then the higher version wins, and of
// two concurrent changes the graver state.
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

func (c *Core) newer(a, b api.Member) bool {
	if c.options.mergeWithoutIncarnation {
		return a.Version > b.Version
	}
	return newer(a, b)
}

// entryHash is one entry's part of the table hash.
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

// merge applies entries from a peer. news says that they changed lately and are
// passed on; the entries of a whole table are not.
func (c *Core) merge(now time.Duration, entries []*peerpb.Member, news bool) []Action {
	var actions []Action
	for _, p := range entries {
		m := fromProto(p)
		if m.ID == "" || m.State == api.MemberUnknown {
			continue
		}
		if m.ID == c.self.ID {
			actions = append(actions, c.mergeSelf(now, m)...)
			continue
		}
		have, known := c.members[m.ID]
		if known && !c.newer(m, have.Member) {
			continue
		}
		if !known && m.State.Gone() && c.options.mergeWithoutIncarnation {
			continue
		}
		actions = append(actions, c.set(now, m, news)...)
	}
	return actions
}

// set replaces a member's entry and spreads it.
func (c *Core) set(now time.Duration, m api.Member, news bool) []Action {
	have, known := c.members[m.ID]
	from := api.MemberUnknown
	if known {
		from = have.State
		c.hash ^= entryHash(have.Member)
		if m.Incarnation > have.Incarnation {
			have.heardAt = now
		} else {
			m.Acknowledged = max(m.Acknowledged, have.Acknowledged)
			m.StoreContactAge = have.StoreContactAge
		}
		have.Member = m
	} else {
		have = &entry{Member: m, heardAt: now}
		c.members[m.ID] = have
	}
	c.hash ^= entryHash(m)
	have.sends = 0
	if news {
		have.sends = c.retransmissions()
	}
	have.since = now
	have.probing = false
	have.suspectedHere = false
	c.changed(now)
	if m.State == api.MemberDead {
		c.listSoon = true // the list tells whether the member is to be expelled
	}
	if from == m.State {
		return nil
	}
	return []Action{MemberChanged{Member: m, From: from}}
}

func (c *Core) changed(now time.Duration) {
	c.lastChange = now
	c.generation++
	c.ring, c.domain = nil, nil
}

// retransmissions is how many messages carry a changed entry: about
// 3 log2 N, after which a gossip has reached all members but a few with high
// probability. The table hash finds the rest.
func (c *Core) retransmissions() int {
	return 3 * bits.Len(uint(len(c.members)+1))
}

// changedEntries returns the entries that still have to be spread, the least
// spread ones first, and counts them as sent. Those that the receiver has just
// sent itself count too but are left out.
func (c *Core) changedEntries(received []*peerpb.Member) []*peerpb.Member {
	var due []*entry
	for _, m := range c.members {
		if m.sends > 0 {
			due = append(due, m)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		if due[i].sends != due[j].sends {
			return due[i].sends > due[j].sends
		}
		return due[i].ID < due[j].ID
	})
	had := make(map[api.InstanceID]api.Member, len(received))
	for _, p := range received {
		m := fromProto(p)
		had[m.ID] = m
	}
	entries := make([]*peerpb.Member, 0, min(len(due), maxEntries))
	for _, m := range due {
		if len(entries) == maxEntries {
			break
		}
		m.sends--
		if theirs, sent := had[m.ID]; sent && !newer(m.Member, theirs) {
			continue
		}
		entries = append(entries, toProto(m.Member))
	}
	return entries
}

// countAllSent counts an exchange with a member that has the same table as a
// message with every entry. After a start of 330 instances an entry for each may
// wait in one instance, and at maxEntries a message they take over a minute.
func (c *Core) countAllSent() {
	for _, m := range c.members {
		m.sends = max(m.sends-1, 0)
	}
}

func (c *Core) allEntries() []*peerpb.Member {
	entries := make([]*peerpb.Member, 0, len(c.members))
	for _, m := range c.members {
		entries = append(entries, toProto(m.Member))
	}
	return entries
}

// mergeSelf handles what peers say about this instance.
func (c *Core) mergeSelf(now time.Duration, m api.Member) []Action {
	if m.Incarnation < c.self.Incarnation || c.duplicate {
		return nil
	}
	elsewhere := m.Address != "" && m.Address != c.self.Address
	if elsewhere && m.State < api.MemberDead && c.joined {
		// Another process started later under the same id, and this one is not
		// new itself: the later one keeps the id.
		if m.Incarnation > c.self.Incarnation || m.Address > c.self.Address {
			c.duplicate = true
			return []Action{DuplicateInstance{Address: m.Address}}
		}
	}
	if m.State == api.MemberExpelled || elsewhere || m.State == api.MemberLeft {
		return c.restart(now, m.Incarnation+1)
	}
	if m.Incarnation > c.self.Incarnation || m.State > c.self.State {
		c.raise(now, m.Incarnation+1)
	}
	return nil
}

// raise refutes what peers say with a higher incarnation.
func (c *Core) raise(now time.Duration, incarnation uint64) {
	c.hash ^= entryHash(c.self.Member)
	c.self.Incarnation = incarnation
	c.self.Version = 0
	c.hash ^= entryHash(c.self.Member)
	c.changed(now)
}

// restart begins a new life after an expulsion: nothing that was confirmed
// before counts any more.
func (c *Core) restart(now time.Duration, incarnation uint64) []Action {
	if c.leaving {
		return nil
	}
	c.raise(now, incarnation)
	c.registered = false
	c.sponsored = false
	c.confirmed = -1
	c.waiting = nil
	c.tickets.StoreContact = -1
	c.lastRegister = now - registerInterval
	c.startedAt = now
	return []Action{IncarnationReset{Incarnation: incarnation}}
}

func (c *Core) setSelf(now time.Duration, state api.MemberState) {
	c.hash ^= entryHash(c.self.Member)
	c.self.State = state
	c.self.Version++
	c.hash ^= entryHash(c.self.Member)
	c.changed(now)
}

// Members returns the table with the instance's own entry, by id.
func (c *Core) Members() []api.Member {
	all := make([]api.Member, 0, len(c.members)+1)
	self := c.self.Member
	self.Acknowledged = c.tickets.Acknowledged
	all = append(all, self)
	for _, m := range c.members {
		all = append(all, m.Member)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Generation changes whenever the table does.
func (c *Core) Generation() uint64 { return c.generation }
