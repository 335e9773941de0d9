package ticket

import (
	"errors"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/store"
)

const (
	// acceptStaggerDelay is the additional delay of each further collector, so
	// that normally only the first one writes.
	acceptStaggerDelay = 250 * time.Millisecond
	// headUpdateRetryDelay is the delay after a failed attempt to accept tickets or
	// an attempt to compact the head.
	headUpdateRetryDelay = 500 * time.Millisecond
)

// registration is the part of a stored registration that acceptance needs.
type registration struct {
	Instance    api.InstanceID `json:"instance"`
	Incarnation uint64         `json:"incarnation"`
	Half        api.Half       `json:"half"`
}

// headUpdate is the state of updating the head as a collector: accepting tickets
// and releasing held endpoints.
type headUpdate struct {
	writing    bool          // a write of the head is in flight
	retryAt    time.Duration // no attempt before this time
	dueSince   time.Duration // 0: no update of the head is due
	dueVersion uint64        // version of the head that is to be updated
}

// requiredInstance is an instance whose acknowledgement a ticket needs, because
// the instance may start or still run requests.
type requiredInstance struct {
	id          api.InstanceID
	incarnation uint64
	half        api.Half
}

// requiredInstances returns the required instances of the member table and the
// registrations. A dead instance is required until its expulsion removes its
// registration. An unregistered instance is required while it is reachable,
// because it may have read the configuration from peers while the store was
// unavailable. A registration does not count if the same or a later incarnation
// of the instance has left or was expelled.
func (c *Core) requiredInstances() []requiredInstance {
	required := make(map[api.InstanceID]requiredInstance, len(c.members))
	for _, m := range c.members {
		if m.State.Reachable() {
			required[m.ID] = requiredInstance{id: m.ID, incarnation: m.Incarnation, half: m.Half}
		}
	}
	for id, r := range c.knownRegistrations() {
		member := required[id]
		if m, known := c.member(id); known && m.State.Gone() && m.Incarnation >= r.Incarnation {
			continue
		}
		required[id] = requiredInstance{id: id, incarnation: max(r.Incarnation, member.incarnation), half: r.Half}
	}
	list := make([]requiredInstance, 0, len(required))
	for _, id := range sortedKeys(required) {
		list = append(list, required[id])
	}
	return list
}

// knownRegistrations returns the registrations that the watch has shown.
func (c *Core) knownRegistrations() map[api.InstanceID]registration {
	if c.options.acceptUnregistered {
		return nil
	}
	return c.watch.registered
}

// registrationsComplete reports whether the watch has shown every registration
// that is older than the applied head. Later ones need no check: an instance
// registers before it reads the head, so that it has read at least this head.
func (c *Core) registrationsComplete() bool {
	return c.options.acceptUnregistered || c.watch.listed && c.watch.registrationsHeadVersion >= c.applied.version
}

// hasAcknowledged reports whether the instance acknowledged the ticket.
func (c *Core) hasAcknowledged(m requiredInstance, number uint64) bool {
	a, known := c.acks.received[m.id]
	return known && a.Incarnation >= m.incarnation && a.Ticket >= number
}

// highestAcceptable returns the highest ticket that all required instances have
// acknowledged.
func (c *Core) highestAcceptable(required []requiredInstance) uint64 {
	accepted := c.applied.head.Accepted
	for _, number := range c.applied.head.pending() {
		for _, m := range required {
			if !c.hasAcknowledged(m, number) {
				return accepted
			}
		}
		accepted = number
	}
	return accepted
}

// nextHead returns the head in which the acknowledged tickets are accepted and
// held endpoints without running requests are released. It also reports whether
// that differs from the applied head.
func (c *Core) nextHead() (Head, bool) {
	required := c.requiredInstances()
	head := c.applied.head.clone()
	accepted := c.highestAcceptable(required)
	head.Held = c.nextHeldEndpoints(required, accepted)
	changed := accepted != head.Accepted || !slices.Equal(head.Held, c.applied.head.Held)
	head.Accepted = accepted
	return head, changed
}

// nextHeldEndpoints returns the endpoints that are held once the tickets up to
// accepted are accepted: those that are already held and still busy, and those
// that leave a half now while its instances run requests on them.
func (c *Core) nextHeldEndpoints(required []requiredInstance, accepted uint64) []HeldEndpoint {
	var held []HeldEndpoint
	for _, h := range c.applied.head.Held {
		if c.mayRunRequests(required, h) {
			held = append(held, h)
		}
	}
	// halfAfter is the half of each changed endpoint after the tickets so far.
	halfAfter := make(map[api.EndpointID]api.Half)
	for _, number := range c.applied.head.pending() {
		if number > accepted {
			break
		}
		changed := c.tickets[number].ticket.changedEndpoints()
		for _, id := range sortedKeys(changed) {
			previous, known := halfAfter[id]
			if !known {
				previous = c.config.Endpoints[id].Half
			}
			halfAfter[id] = ""
			if changed[id] != nil {
				halfAfter[id] = changed[id].Half
			}
			h := HeldEndpoint{Endpoint: id, Half: previous, Ticket: number}
			if previous != "" && previous != halfAfter[id] && c.mayRunRequests(required, h) {
				held = append(held, h)
			}
		}
	}
	return held
}

// mayRunRequests reports whether an instance of the half that the endpoint left
// may still run requests on it.
func (c *Core) mayRunRequests(required []requiredInstance, h HeldEndpoint) bool {
	for _, m := range required {
		if m.half != h.Half {
			continue
		}
		a := c.acks.received[m.id]
		if !c.hasAcknowledged(m, h.Ticket) || a.isBusyOn(h.Endpoint) {
			return true
		}
	}
	return false
}

// tryAccept updates the head if this instance is a collector that reaches the
// store and the acknowledgements allow an update.
func (c *Core) tryAccept(now time.Duration) {
	if !c.ready || c.headUpdate.writing || now < c.headUpdate.retryAt || !c.storeReachable(now) || !c.registrationsComplete() {
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
	if _, changed := c.nextHead(); !changed {
		c.headUpdate.dueSince = 0
		return
	}
	if c.headUpdate.dueSince == 0 || c.headUpdate.dueVersion != c.applied.version {
		c.headUpdate.dueSince, c.headUpdate.dueVersion = now, c.applied.version
	}
	if now-c.headUpdate.dueSince < time.Duration(rank)*acceptStaggerDelay {
		return
	}
	c.headUpdate.writing = true
	c.writeAcceptedHead()
}

func (c *Core) writeAcceptedHead() {
	head, _ := c.nextHead()
	expect := store.Version(c.applied.version)
	c.startStoreCall(StoreCall{Op: StorePut, Key: headKey, Value: head.encode(), ExpectedVersion: expect}, func(now time.Duration, r StoreDone) {
		c.headUpdate.writing = false
		if r.Err == nil {
			c.headUpdate.dueSince = 0
			c.handleNewerHead(now, versionedHead{head: head, version: versionNumber(r.Object.Version)}, "")
			return
		}
		c.handleHeadUpdateError(now, r.Err)
	})
}

// handleHeadUpdateError reads the head back if another collector may have updated
// it first, or if the response to the write was lost. After other errors a later
// tick tries again.
func (c *Core) handleHeadUpdateError(now time.Duration, err error) {
	c.headUpdate.retryAt = now + headUpdateRetryDelay
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
