package fleet

import (
	"slices"
	"sort"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// heartbeat exchanges with the ring neighbours, with one random member of
// another region, and with the instances that precede this one in the watch order
// of its failure domain. A stale instance also contacts store watchers, because
// they see its registration and can confirm it.
func (c *Core) heartbeat(now time.Duration) []Action {
	targets := c.neighbours()
	if other := c.randomMemberOfOtherRegion(); other != "" {
		targets = append(targets, other)
	}
	targets = append(targets, c.higherRankedWatchers()...)
	if c.staleSince > 0 {
		targets = append(targets, c.sampleStoreWatchers()...)
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

// exchangeRequest builds the request of an exchange; wantFullTable asks for the
// full member table of the peer.
func (c *Core) exchangeRequest(now time.Duration, wantFullTable bool) *peerpb.ExchangeRequest {
	return &peerpb.ExchangeRequest{
		From:           string(c.self.ID),
		Incarnation:    c.self.Incarnation,
		LatestTicket:   c.ticketStatus.Latest,
		AcceptedTicket: c.ticketStatus.Accepted,
		HeadVersion:    c.ticketStatus.HeadVersion,
		Self:           c.ownEntry(now),
		Deltas:         &peerpb.Deltas{Members: c.takeChangedEntries(nil)},
		Full:           wantFullTable,
		TableHash:      c.tableHash,
	}
}

// ownEntry returns this instance's entry with the age of the last store contact plus
// one millisecond, because zero means that there was none.
func (c *Core) ownEntry(now time.Duration) *peerpb.Member {
	m := memberToProto(c.self.Member)
	if c.ticketStatus.StoreContact >= 0 {
		m.StoreContactAgeMs = uint64(max(now-c.ticketStatus.StoreContact, 0)/time.Millisecond) + 1
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
	result := make([]api.InstanceID, 0, count+standbyWatcherCount)
	for i := range count {
		result = append(result, c.ring[(start+i)%len(c.ring)])
	}
	return result
}

// rebuildOrders recomputes the ring and the watch orders if the table has changed.
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
	c.watchOrder = peer.Rank("watch", domain)
}

// domainRank returns the position of this instance in the watch order of its
// failure domain; 0 is the first.
func (c *Core) domainRank() int {
	c.rebuildOrders()
	for i, id := range c.watchOrder {
		if id == c.self.ID {
			return i
		}
	}
	return len(c.watchOrder)
}

// higherRankedWatchers returns the instances that precede this one in the watch
// order, or none if it is not among the standby watchers.
func (c *Core) higherRankedWatchers() []api.InstanceID {
	rank := c.domainRank()
	if rank > standbyWatcherCount {
		return nil
	}
	return c.watchOrder[:rank]
}

// sampleStoreWatchers returns the first instance in the watch order of the local
// failure domain, unless it is this one, and those of up to two other failure
// domains, drawn at random. An ID may occur twice.
func (c *Core) sampleStoreWatchers() []api.InstanceID {
	c.rebuildOrders()
	var list []api.InstanceID
	if c.watchOrder[0] != c.self.ID {
		list = append(list, c.watchOrder[0])
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

// reconnect exchanges with a dead member or with a candidate address that no
// reachable member has.
func (c *Core) reconnect(now time.Duration) []Action {
	if now-c.lastReconnectAt < c.reconnectInterval(now) {
		return nil
	}
	c.lastReconnectAt = now
	address := c.chooseReconnectAddress(now)
	if address == "" {
		return nil
	}
	return []Action{SendExchange{Address: address, Request: c.exchangeRequest(now, true)}}
}

func (c *Core) reconnectInterval(now time.Duration) time.Duration {
	switch {
	case c.fullTableReceived:
		return reconnectInterval
	case now-c.incarnationStartedAt < startupReconnectPeriod:
		return startupReconnectInterval
	}
	return heartbeatInterval
}

// chooseReconnectAddress returns the address of a dead member or the candidate
// address with the oldest attempt, each with the same probability if there are
// both, and records the attempt at a candidate address.
func (c *Core) chooseReconnectAddress(now time.Duration) string {
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
	oldest := c.oldestCandidate(reachableAddresses)
	if len(dead) > 0 && (oldest == "" || c.random.IntN(2) == 0) {
		sort.Strings(dead)
		return dead[c.random.IntN(len(dead))]
	}
	if oldest != "" {
		c.candidateAddresses[oldest] = now
	}
	return oldest
}

// oldestCandidate returns the candidate address with the oldest attempt that no
// reachable member has, or "". Of several it is drawn at random, so that instances that
// start together spread over the seeds.
func (c *Core) oldestCandidate(reachableAddresses map[string]bool) string {
	var oldest []string
	for address, at := range c.candidateAddresses {
		switch {
		case reachableAddresses[address]:
		case len(oldest) == 0 || at < c.candidateAddresses[oldest[0]]:
			oldest = append(oldest[:0], address)
		case at == c.candidateAddresses[oldest[0]]:
			oldest = append(oldest, address)
		}
	}
	if len(oldest) == 0 {
		return ""
	}
	slices.Sort(oldest)
	return oldest[c.random.IntN(len(oldest))]
}
