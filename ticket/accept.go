package ticket

import (
	"errors"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/store"
)

const (
	// acceptStagger is how much later each further collector acts, so that
	// normally only the first one writes.
	acceptStagger = 250 * time.Millisecond
	// acceptRetry is the pause after an attempt that did not advance the head.
	acceptRetry = 500 * time.Millisecond
)

// registration is the part of a stored registration that acceptance needs.
type registration struct {
	Instance    api.InstanceID `json:"instance"`
	Incarnation uint64         `json:"incarnation"`
	Half        api.Half       `json:"half"`
}

// accept advances the head as a collector.
type accept struct {
	busy      bool
	retryAt   time.Duration
	duesSince time.Duration // since when an update is due; 0: none is
	dueFor    uint64        // head version that the update is due for
}

// mayRun is an instance that may start or still run work.
type mayRun struct {
	id          api.InstanceID
	incarnation uint64
	half        api.Half
}

// mayRunAll joins the member table with the registrations. An instance that is
// dead counts until its registration is removed by its expulsion; one that is
// not registered counts while it is reachable, because it may have started
// from peers while the store was unavailable.
func (c *Core) mayRunAll() []mayRun {
	all := make(map[api.InstanceID]mayRun, len(c.members))
	for _, m := range c.members {
		if m.State.Reachable() {
			all[m.ID] = mayRun{id: m.ID, incarnation: m.Incarnation, half: m.Half}
		}
	}
	for id, r := range c.registrations() {
		have := all[id]
		if m, known := c.member(id); known && m.State.Gone() && m.Incarnation >= r.Incarnation {
			continue
		}
		all[id] = mayRun{id: id, incarnation: max(r.Incarnation, have.incarnation), half: r.Half}
	}
	list := make([]mayRun, 0, len(all))
	for _, id := range sortedKeys(all) {
		list = append(list, all[id])
	}
	return list
}

func (c *Core) registrations() map[api.InstanceID]registration {
	if c.options.acceptUnregistered {
		return nil
	}
	return c.watch.registered
}

// registrationsComplete reports whether the watch has shown every registration
// that was made before the head that applies here was written. An instance
// registers before it reads the head, so one that is not shown knows the ticket.
func (c *Core) registrationsComplete() bool {
	return c.options.acceptUnregistered || c.watch.listed && c.watch.shown >= c.applied.version
}

// acknowledged reports whether the instance applies the ticket.
func (c *Core) acknowledged(m mayRun, number uint64) bool {
	a, known := c.acks.table[m.id]
	return known && a.Incarnation >= m.incarnation && a.Ticket >= number
}

// acceptable returns the highest ticket that everybody acknowledged.
func (c *Core) acceptable(all []mayRun) uint64 {
	accepted := c.applied.head.Accepted
	for _, number := range c.applied.head.pending() {
		for _, m := range all {
			if !c.acknowledged(m, number) {
				return accepted
			}
		}
		accepted = number
	}
	return accepted
}

// due returns the head that the reports allow, and whether it differs.
func (c *Core) due() (Head, bool) {
	all := c.mayRunAll()
	head := c.applied.head.clone()
	to := c.acceptable(all)
	head.Held = c.nextHeld(all, to)
	changed := to != head.Accepted || !slices.Equal(head.Held, c.applied.head.Held)
	head.Accepted = to
	return head, changed
}

// nextHeld returns the endpoints that are held once the tickets up to a number
// are accepted: those that are still busy, and those that leave a half now
// while its instances run work on them.
func (c *Core) nextHeld(all []mayRun, to uint64) []HeldEndpoint {
	var held []HeldEndpoint
	for _, h := range c.applied.head.Held {
		if c.stillBusy(all, h) {
			held = append(held, h)
		}
	}
	half := make(map[api.EndpointID]api.Half)
	for _, number := range c.applied.head.pending() {
		if number > to {
			break
		}
		touched := c.bodies[number].ticket.touches()
		for _, id := range sortedKeys(touched) {
			before, seen := half[id]
			if !seen {
				before = c.config.Endpoints[id].Half
			}
			half[id] = ""
			if touched[id] != nil {
				half[id] = touched[id].Half
			}
			h := HeldEndpoint{Endpoint: id, Half: before, Ticket: number}
			if before != "" && before != half[id] && c.stillBusy(all, h) {
				held = append(held, h)
			}
		}
	}
	return held
}

// stillBusy reports whether an instance of the half may run work on the
// endpoint that its half has left.
func (c *Core) stillBusy(all []mayRun, h HeldEndpoint) bool {
	for _, m := range all {
		if m.half != h.Half {
			continue
		}
		a := c.acks.table[m.id]
		if !c.acknowledged(m, h.Ticket) || a.busyOn(h.Endpoint) {
			return true
		}
	}
	return false
}

// tryAccept advances the head if this instance is a collector that reaches the
// store and the reports allow it.
func (c *Core) tryAccept(now time.Duration) {
	if !c.ready || c.accept.busy || now < c.accept.retryAt || !c.storeReached(now) || !c.registrationsComplete() {
		return
	}
	head := &c.applied.head
	if head.Accepted == head.Latest && len(head.Held) == 0 {
		return
	}
	rank := slices.Index(c.collectorOrder(), c.options.Instance)
	if rank < 0 {
		return
	}
	if _, changed := c.due(); !changed {
		c.accept.duesSince = 0
		return
	}
	if c.accept.duesSince == 0 || c.accept.dueFor != c.applied.version {
		c.accept.duesSince, c.accept.dueFor = now, c.applied.version
	}
	if now-c.accept.duesSince < time.Duration(rank)*acceptStagger {
		return
	}
	c.accept.busy = true
	c.writeAccepted()
}

func (c *Core) writeAccepted() {
	head, _ := c.due()
	expect := store.Version(c.applied.version)
	c.call(StoreCall{Op: StorePut, Key: headKey, Value: head.encode(), Expect: expect}, func(now time.Duration, r StoreDone) {
		c.accept.busy = false
		if r.Err == nil {
			c.accept.duesSince = 0
			c.learn(now, known{head: head, version: version(r.Object.Version)}, "")
			return
		}
		c.acceptFailed(now, r.Err)
	})
}

// acceptFailed reads the head back: another collector was first, or the write
// took effect and its answer was lost.
func (c *Core) acceptFailed(now time.Duration, err error) {
	c.accept.retryAt = now + acceptRetry
	switch {
	case errors.Is(err, store.ErrConflict):
		c.emit(Note{Kind: NoteHeadConflict})
	case errors.Is(err, store.ErrUnknown):
		c.emit(Note{Kind: NoteWriteResponseLost})
	default:
		return
	}
	c.readHead(now)
}
