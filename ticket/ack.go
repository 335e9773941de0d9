package ticket

import (
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

const (
	// ackSettleDelay is the delay between the publication of a restriction and
	// its acknowledgement. Within this time each request that was dispatched with
	// the previous configuration is counted by RunningRequests, so that the
	// acknowledgement reports its endpoint as busy.
	ackSettleDelay = 20 * time.Millisecond
	// collectorsPerDomain is the number of instances of each failure domain that
	// are collectors, so that the crash of the first one leaves another.
	collectorsPerDomain = 2
	// collectorsPerAck is the number of collectors that receive each
	// acknowledgement, so that the crash of one does not delay acceptance.
	collectorsPerAck = 2
	// ackTimeout is how long the response to an acknowledgement may take before
	// the acknowledgement is sent to the next collector as well.
	ackTimeout = 200 * time.Millisecond
	// forwardInterval is the time between two messages of a collector that pass
	// on acknowledgements, so that one message contains those of many instances.
	forwardInterval = 50 * time.Millisecond
	// collectorRetryDelay is the delay before a collector that failed is tried
	// again.
	collectorRetryDelay = 500 * time.Millisecond
	// ackRefreshInterval is the time between two unchanged acknowledgements while
	// a ticket stays pending. With 330 instances two collectors together receive
	// about 22 acknowledgements a second.
	ackRefreshInterval = 30 * time.Second
)

// Ack is an acknowledgement. It says up to which ticket an instance applies the
// restrictions, and on which of the endpoints that left its half it still runs
// requests.
type Ack struct {
	Instance      api.InstanceID   `json:"instance"`
	Incarnation   uint64           `json:"incarnation"`
	Ticket        uint64           `json:"ticket"`
	BusyEndpoints []api.EndpointID `json:"busy,omitempty"`
	// Version counts the changes of the acknowledgement of an incarnation.
	Version uint64 `json:"-"`
}

// newerThan reports whether the acknowledgement replaces another one of the same
// instance.
func (a *Ack) newerThan(b *Ack) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Version > b.Version
}

func (a *Ack) isBusyOn(id api.EndpointID) bool { return slices.Contains(a.BusyEndpoints, id) }

// ackVersion identifies an acknowledgement of this instance.
type ackVersion struct{ incarnation, version, ticket uint64 }

// ackDelivery is the state of sending this instance's acknowledgement to one
// collector.
type ackDelivery struct {
	version              ackVersion
	collectorIncarnation uint64
	changedAt            time.Duration // time of the send while inFlight, else of its result
	inFlight             bool
	collectorCanWrite    bool // the collector has the acknowledgement and reaches the store
}

// acks is the state of sending and collecting acknowledgements.
type acks struct {
	own                  Ack                             // of this instance
	headChangedAt        time.Duration                   // when the applied head last changed
	received             map[api.InstanceID]Ack          // newest of each instance, including own
	sent                 map[api.InstanceID]*ackDelivery // last send of own, by collector
	collectorOrder       []api.InstanceID                // cached for collectorOrderTicket
	collectorOrderTicket uint64                          // latest ticket
	// toForward are the instances whose acknowledgements were received here and
	// may be missing at the first collectors.
	toForward   map[api.InstanceID]bool
	forwardedAt time.Duration
}

func (a *acks) recordHeadChange(now time.Duration) { a.headChangedAt = now }

// updateOwnAck updates the acknowledgement of this instance.
func (c *Core) updateOwnAck(now time.Duration, busy []api.EndpointID) {
	if !c.ready || now-c.acks.headChangedAt < ackSettleDelay {
		return
	}
	own := &c.acks.own
	unchanged := own.Ticket == c.applied.head.Latest && own.Incarnation == c.incarnation && slices.Equal(own.BusyEndpoints, busy)
	if unchanged && own.Version > 0 {
		return
	}
	c.acks.own = Ack{
		Instance:      c.options.Instance,
		Incarnation:   c.incarnation,
		Ticket:        c.applied.head.Latest,
		BusyEndpoints: slices.Clone(busy),
		Version:       own.Version + 1,
	}
	c.mergeAck(c.acks.own)
}

// mergeAck stores the acknowledgement if it is newer than the stored one, and
// reports whether it is.
func (c *Core) mergeAck(a Ack) bool {
	stored, known := c.acks.received[a.Instance]
	if known && !a.newerThan(&stored) {
		return false
	}
	c.acks.received[a.Instance] = a
	return true
}

// forwardAcks passes received acknowledgements on to the first collectors.
// Senders that cannot reach those send to later ones, so that without forwarding
// possibly no collector would have the acknowledgements of all instances.
func (c *Core) forwardAcks(now time.Duration) {
	if len(c.acks.toForward) == 0 || now-c.acks.forwardedAt < forwardInterval {
		return
	}
	c.acks.forwardedAt = now
	request := &peerpb.AcknowledgeRequest{}
	for _, id := range sortedKeys(c.acks.toForward) {
		request.Acks = append(request.Acks, ackToProto(c.acks.received[id]))
	}
	clear(c.acks.toForward)
	sent := 0
	for _, id := range c.collectorOrder() {
		if sent == collectorsPerAck {
			return
		}
		sent++
		if m, found := c.member(id); found && id != c.options.Instance {
			c.emit(PeerAck{To: id, Address: m.Address, Forwarded: true, Request: request})
		}
	}
}

// requeueAcks marks the acknowledgements of a failed message for the next
// forwarding.
func (c *Core) requeueAcks(request *peerpb.AcknowledgeRequest) {
	for _, a := range request.GetAcks() {
		c.acks.toForward[api.InstanceID(a.GetInstance())] = true
	}
}

// acksNeeded reports whether a ticket is pending or an endpoint that left the half
// of this instance is held, so that acknowledgements are still needed.
func (c *Core) acksNeeded() bool {
	if c.applied.head.Accepted < c.applied.head.Latest {
		return true
	}
	for _, h := range c.applied.head.Held {
		if h.Half == c.options.Half {
			return true
		}
	}
	return false
}

// collectorOrder returns the collectors in order of preference: the first
// instance of each failure domain, which watches the store, then the second
// ones. The order of the failure domains rotates with the ticket number to
// distribute the load.
func (c *Core) collectorOrder() []api.InstanceID {
	if len(c.acks.collectorOrder) > 0 && c.acks.collectorOrderTicket == c.applied.head.Latest {
		return c.acks.collectorOrder
	}
	c.acks.collectorOrder = collectorOrder(c.members, c.applied.head.Latest)
	c.acks.collectorOrderTicket = c.applied.head.Latest
	return c.acks.collectorOrder
}

func collectorOrder(members []api.Member, latest uint64) []api.InstanceID {
	domains := make(map[api.FailureDomain][]api.InstanceID)
	for _, m := range members {
		if m.State == api.MemberAlive || m.State == api.MemberLeaving {
			domains[m.FailureDomain] = append(domains[m.FailureDomain], m.ID)
		}
	}
	names := sortedKeys(domains)
	if len(names) > 0 {
		rotation := int(latest % uint64(len(names)))
		names = slices.Concat(names[rotation:], names[:rotation])
	}
	var order []api.InstanceID
	for rank := range collectorsPerDomain {
		for _, name := range names {
			ranked := peer.Rank("watch", domains[name])
			if rank < len(ranked) {
				order = append(order, ranked[rank])
			}
		}
	}
	return order
}

// sendAcks sends the acknowledgement of this instance until collectorsPerAck
// collectors that reach the store have it.
func (c *Core) sendAcks(now time.Duration) {
	own := &c.acks.own
	if !c.ready || own.Ticket != c.applied.head.Latest || !c.acksNeeded() {
		return
	}
	version := ackVersion{incarnation: own.Incarnation, version: own.Version, ticket: own.Ticket}
	collectorCount := 0
	for _, id := range c.collectorOrder() {
		if collectorCount >= collectorsPerAck {
			return
		}
		if id == c.options.Instance {
			if c.storeReachable(now) {
				collectorCount++
			}
			continue
		}
		if c.ensureAckSent(now, id, version) {
			collectorCount++
		}
	}
}

// ensureAckSent sends the acknowledgement to the collector if necessary. It
// reports whether the collector counts towards collectorsPerAck.
func (c *Core) ensureAckSent(now time.Duration, id api.InstanceID, version ackVersion) bool {
	m, found := c.member(id)
	if !found {
		return false
	}
	delivery, known := c.acks.sent[id]
	if known && delivery.version == version && delivery.collectorIncarnation == m.Incarnation {
		switch {
		case delivery.inFlight:
			return now-delivery.changedAt < ackTimeout
		case delivery.collectorCanWrite && now-delivery.changedAt < ackRefreshInterval:
			return true
		case !delivery.collectorCanWrite && now-delivery.changedAt < collectorRetryDelay:
			return false
		}
	}
	c.acks.sent[id] = &ackDelivery{version: version, collectorIncarnation: m.Incarnation, changedAt: now, inFlight: true}
	request := &peerpb.AcknowledgeRequest{Acks: []*peerpb.Ack{ackToProto(c.acks.own)}}
	c.emit(PeerAck{To: id, Address: m.Address, Version: version, Request: request})
	return true
}

func (c *Core) handleAckDone(now time.Duration, e AckDone) {
	if e.Forwarded != nil {
		if e.Response == nil && c.acksNeeded() {
			c.requeueAcks(e.Forwarded)
		}
		return
	}
	delivery, known := c.acks.sent[e.To]
	if !known || delivery.version != e.Version {
		return
	}
	delivery.inFlight = false
	delivery.changedAt = now
	delivery.collectorCanWrite = e.Response.GetCanWrite()
	c.sendAcks(now)
}

func (c *Core) handleAcks(now time.Duration, e AcksReceived) {
	for _, p := range e.Request.GetAcks() {
		if a := ackFromProto(p); c.mergeAck(a) && a.Ticket > c.applied.head.Accepted {
			c.acks.toForward[a.Instance] = true
		}
	}
	response := &peerpb.AcknowledgeResponse{CanWrite: c.storeReachable(now)}
	if e.Request.GetWantAll() {
		for _, id := range sortedKeys(c.acks.received) {
			response.Acks = append(response.Acks, ackToProto(c.acks.received[id]))
		}
	}
	c.emit(PeerResponse{Ack: response})
	c.tryAccept(now)
}

func ackToProto(a Ack) *peerpb.Ack {
	p := &peerpb.Ack{Instance: string(a.Instance), Incarnation: a.Incarnation, Ticket: a.Ticket, Version: a.Version}
	for _, id := range a.BusyEndpoints {
		p.BusyEndpoints = append(p.BusyEndpoints, string(id))
	}
	return p
}

func ackFromProto(p *peerpb.Ack) Ack {
	a := Ack{
		Instance:    api.InstanceID(p.GetInstance()),
		Incarnation: p.GetIncarnation(),
		Ticket:      p.GetTicket(),
		Version:     p.GetVersion(),
	}
	for _, id := range p.GetBusyEndpoints() {
		a.BusyEndpoints = append(a.BusyEndpoints, api.EndpointID(id))
	}
	return a
}
