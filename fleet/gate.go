package fleet

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// Status is the state that the runner publishes after each event, so that
// CheckServing needs no access to the core.
type Status struct {
	Incarnation uint64
	// Confirmed is the boot clock time of the last confirmation by a peer or
	// the store; negative: none.
	Confirmed time.Duration
	// Joined reports whether the instance has joined the fleet: it is registered in
	// the store and confirmed since then, or, while the store is unavailable, it has
	// received the full table of a peer.
	Joined bool
	// Configured reports whether a configuration was read from the store or a peer.
	Configured  bool
	DuplicateID bool
	Leaving     bool
	// WatchesStore reports whether this instance watches the store for its failure domain.
	WatchesStore bool
	// NeighboursInContact reports whether most ring neighbours were in contact within
	// contactTimeout. Without neighbours it is false.
	NeighboursInContact bool
}

// Status returns the current status.
func (c *Core) Status(now time.Duration) Status {
	return Status{
		Incarnation:  c.self.Incarnation,
		Confirmed:    c.lastConfirmed(),
		Joined:       c.hasJoined(),
		Configured:   c.ticketStatus.Configured,
		DuplicateID:  c.duplicateID,
		Leaving:      c.leaving,
		WatchesStore: c.watchesStore(now),

		NeighboursInContact: c.neighboursInContact(now),
	}
}

// neighboursInContact reports whether more than half of the ring neighbours were in
// contact within contactTimeout.
func (c *Core) neighboursInContact(now time.Duration) bool {
	neighbours := c.neighbours()
	inContact := 0
	for _, id := range neighbours {
		if now-c.members[id].lastContactAt < contactTimeout {
			inContact++
		}
	}
	return 2*inContact > len(neighbours)
}

// watchesStore reports whether this instance has to watch the store: all
// instances that precede it in the order of its failure domain have had no
// contact with the store for watchTakeoverAge.
func (c *Core) watchesStore(now time.Duration) bool {
	rank := c.domainRank()
	if rank > standbyWatcherCount {
		return false
	}
	for _, id := range c.watchOrder[:rank] {
		m := c.members[id]
		if m.StoreContactAge > 0 && now-m.lastContactAt+m.StoreContactAge <= watchTakeoverAge {
			return false
		}
		// A new member may not have reported its store contact yet.
		if m.StoreContactAge == 0 && now-m.stateSince <= watchTakeoverAge {
			return false
		}
	}
	return true
}

// lastConfirmed returns the time of the last confirmation by a peer or the store;
// negative: none.
func (c *Core) lastConfirmed() time.Duration {
	return max(c.peerConfirmedAt, c.ticketStatus.StoreContact)
}

// hasJoined reports whether the instance has joined the fleet. The acceptance of a
// ticket waits for all registered instances. An instance has therefore joined when
// it is registered and a confirmation that was requested after the registration has
// arrived: an earlier one may lack a ticket that was accepted without this instance.
// While the store is unavailable no ticket is accepted, so that the full table of a
// peer suffices after unregisteredJoinDelay.
func (c *Core) hasJoined() bool {
	if c.registered {
		return c.lastConfirmed() >= c.minConfirmationTime
	}
	return c.joinedUnregistered
}

// Registered reports whether this instance's incarnation is registered in the store.
func (c *Core) Registered() bool { return c.registered }

// refusesWork reports whether the instance may not start new work.
func (c *Core) refusesWork(now time.Duration) bool {
	return c.Status(now).CheckServing(now) != nil
}

// CheckServing returns nil if new work may start, or the reason why not. After a
// process pause the last confirmation is too old, because the boot clock
// continues during the pause.
func (s Status) CheckServing(now time.Duration) error {
	switch {
	case s.Leaving:
		return reason.New(reason.ShuttingDown, "the instance is draining")
	case s.DuplicateID:
		return reason.New(reason.Fenced, "another process uses this instance id")
	case !s.Configured:
		return reason.New(reason.NotReady, "no configuration was read: neither the store nor a peer has answered").WithRetryAfter(time.Second)
	case !s.Joined || s.Confirmed < 0:
		return reason.New(reason.NotReady, "the instance has not joined the fleet").WithRetryAfter(time.Second)
	case now-s.Confirmed > maxConfirmationAge:
		return reason.New(reason.Fenced, "the last contact with the store or a peer is %s old",
			(now - s.Confirmed).Round(time.Millisecond)).WithRetryAfter(time.Second)
	}
	return nil
}

// LiveCount returns the number of instances of the half that accept new work,
// this one included. A suspect counts until it is declared dead.
func (c *Core) LiveCount(half api.Half) int { return liveCount(c.Members(), half) }

func liveCount(members []api.Member, half api.Half) int {
	count := 0
	for _, m := range members {
		if m.Half == half && (m.State == api.MemberAlive || m.State == api.MemberSuspect) {
			count++
		}
	}
	return count
}

// Member is the entry of one instance in the member table.
type Member = api.Member
