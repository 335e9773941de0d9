package fleet

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// Status is what decides whether new work may start. The runner publishes it,
// so that the check costs no message to the core.
type Status struct {
	Incarnation uint64
	// Confirmed is the boot clock time of the last confirmation by a peer or
	// the store; negative: none.
	Confirmed time.Duration
	// Joined says that the incarnation is registered in the store, or known to
	// a peer while the store is unavailable.
	Joined bool
	// Configured says that a configuration was read.
	Configured bool
	Duplicate  bool
	Leaving    bool
	// WatchesStore says that the instance watches the store for its failure domain.
	WatchesStore bool
}

// Status returns the current status.
func (c *Core) Status(now time.Duration) Status {
	return Status{
		Incarnation:  c.self.Incarnation,
		Confirmed:    c.lastConfirmed(),
		Joined:       c.ready(),
		Configured:   c.tickets.Configured,
		Duplicate:    c.duplicate,
		Leaving:      c.leaving,
		WatchesStore: c.watches(now),
	}
}

// watches reports whether every instance of the failure domain that is before
// this one in its order has had no contact with the store for takeOverBound.
func (c *Core) watches(now time.Duration) bool {
	rank := c.domainRank()
	if rank > watchRanks {
		return false
	}
	for _, id := range c.domain[:rank] {
		m := c.members[id]
		if m.StoreContactAge > 0 && now-m.heardAt+m.StoreContactAge <= takeOverBound {
			return false
		}
		// An instance that was just learned of has not reported yet.
		if m.StoreContactAge == 0 && now-m.since <= takeOverBound {
			return false
		}
	}
	return true
}

func (c *Core) lastConfirmed() time.Duration {
	return max(c.confirmed, c.tickets.StoreContact)
}

// ready reports whether the instance may serve: an acceptance of a ticket
// waits for it, and it knows all tickets that were accepted before. A
// confirmation counts only if it was asked for after the registration: an
// earlier one may lack a ticket that was accepted without this instance. While
// the store is unavailable no ticket is accepted, and after sponsorAfter the
// table of a peer is enough.
func (c *Core) ready() bool {
	if c.registered {
		return c.lastConfirmed() >= c.countFrom
	}
	return c.sponsored
}

// Registered reports whether the incarnation is registered in the store.
func (c *Core) Registered() bool { return c.registered }

// isolated reports whether the last confirmation is too old for new work.
func (c *Core) isolated(now time.Duration) bool {
	return c.Status(now).Check(now) != nil
}

// Check returns nil if new work may start. A pause shows as an old
// confirmation, because the boot clock runs on.
func (s Status) Check(now time.Duration) error {
	switch {
	case s.Leaving:
		return reason.New(reason.ShuttingDown, "the instance is draining")
	case s.Duplicate:
		return reason.New(reason.Fenced, "another process uses this instance id")
	case !s.Configured:
		return reason.New(reason.NotReady, "no configuration was read: neither the store nor a peer has answered").WithRetryAfter(time.Second)
	case !s.Joined || s.Confirmed < 0:
		return reason.New(reason.NotReady, "the instance has not joined the fleet").WithRetryAfter(time.Second)
	case now-s.Confirmed > isolationBound:
		return reason.New(reason.Fenced, "the last contact with the store or a peer is %s old",
			(now - s.Confirmed).Round(time.Millisecond)).WithRetryAfter(time.Second)
	}
	return nil
}

// LiveCount returns the number of instances of the half that take new work, this one
// included. A suspect counts until it is declared dead.
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
