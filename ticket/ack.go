package ticket

import (
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

const (
	// settleDelay lies between the publication of a restriction and its
	// acknowledgement. A dispatcher that read the configuration just before
	// counts its work as running within this time.
	settleDelay = 20 * time.Millisecond
	// collectors is how many instances get each acknowledgement, so that the
	// death of one does not delay acceptance.
	collectors = 2
	// ackPatience is how long a report may be unanswered before the next
	// collector gets it as well.
	ackPatience = 200 * time.Millisecond
	// forwardInterval gathers the reports that a collector passes on, so that
	// one message carries those of many instances.
	forwardInterval = 50 * time.Millisecond
	// collectorRetry is the pause before a collector that failed is tried again.
	collectorRetry = 500 * time.Millisecond
	// ackRefresh is the time between two reports without a change while a
	// ticket stays pending. At 330 instances two collectors then receive about
	// 22 reports a second together.
	ackRefresh = 30 * time.Second
)

// Ack says which tickets an instance applies, and on which endpoints that its
// half has left it still runs work.
type Ack struct {
	Instance      api.InstanceID   `json:"instance"`
	Incarnation   uint64           `json:"incarnation"`
	Ticket        uint64           `json:"ticket"`
	BusyEndpoints []api.EndpointID `json:"busy,omitempty"`
	Version       uint64           `json:"-"`
}

func (a *Ack) newer(b *Ack) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Version > b.Version
}

func (a *Ack) busyOn(id api.EndpointID) bool { return slices.Contains(a.BusyEndpoints, id) }

// ackKey identifies the state of the own report.
type ackKey struct{ incarnation, version, ticket uint64 }

type ackSent struct {
	key      ackKey
	to       uint64 // incarnation of the collector
	at       time.Duration
	inFlight bool
	ok       bool // the collector holds the report and reaches the store
}

type acks struct {
	own       Ack
	changedAt time.Duration // when the applied head last changed
	table     map[api.InstanceID]Ack
	sent      map[api.InstanceID]*ackSent
	order     []api.InstanceID // of collectors, for orderFor
	orderFor  uint64           // latest ticket
	// forward are received reports that the first collectors may lack.
	forward   map[api.InstanceID]bool
	forwardAt time.Duration
}

func (a *acks) changed(now time.Duration) { a.changedAt = now }

// reportBusy updates the own report.
func (c *Core) reportBusy(now time.Duration, busy []api.EndpointID) {
	if !c.ready || now-c.acks.changedAt < settleDelay {
		return
	}
	own := &c.acks.own
	same := own.Ticket == c.applied.head.Latest && own.Incarnation == c.incarnation && slices.Equal(own.BusyEndpoints, busy)
	if same && own.Version > 0 {
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

// mergeAck keeps the report if it is newer, and tells whether it is.
func (c *Core) mergeAck(a Ack) bool {
	have, known := c.acks.table[a.Instance]
	if known && !a.newer(&have) {
		return false
	}
	c.acks.table[a.Instance] = a
	return true
}

// forwardAcks passes received reports on to the first collectors. A sender
// that cannot reach those reports to a later one, and without this no collector
// would hold the reports of all.
func (c *Core) forwardAcks(now time.Duration) {
	if len(c.acks.forward) == 0 || now-c.acks.forwardAt < forwardInterval {
		return
	}
	c.acks.forwardAt = now
	request := &peerpb.AcknowledgeRequest{}
	for _, id := range sortedKeys(c.acks.forward) {
		request.Acks = append(request.Acks, ackToProto(c.acks.table[id]))
	}
	clear(c.acks.forward)
	sent := 0
	for _, id := range c.collectorOrder() {
		if sent == collectors {
			return
		}
		sent++
		if m, found := c.member(id); found && id != c.options.Instance {
			c.emit(PeerAck{To: id, Address: m.Address, Forwarded: true, Request: request})
		}
	}
}

// forwardFailed sends lost reports again.
func (c *Core) forwardFailed(request *peerpb.AcknowledgeRequest) {
	for _, a := range request.GetAcks() {
		c.acks.forward[api.InstanceID(a.GetInstance())] = true
	}
}

// outstanding reports whether somebody waits for this instance's report.
func (c *Core) outstanding() bool {
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

// collectorOrder lists the instances that collect reports: the first ones of
// each failure domain, which watch the store, then the second ones. The start
// changes with the ticket, so that the load spreads.
func (c *Core) collectorOrder() []api.InstanceID {
	if len(c.acks.order) > 0 && c.acks.orderFor == c.applied.head.Latest {
		return c.acks.order
	}
	c.acks.order = collectorOrder(c.members, c.applied.head.Latest)
	c.acks.orderFor = c.applied.head.Latest
	return c.acks.order
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
		turn := int(latest % uint64(len(names)))
		names = slices.Concat(names[turn:], names[:turn])
	}
	var order []api.InstanceID
	for rank := range collectors {
		for _, name := range names {
			ranked := peer.Rank("watch", domains[name])
			if rank < len(ranked) {
				order = append(order, ranked[rank])
			}
		}
	}
	return order
}

// sendAcks reports to two collectors that reach the store.
func (c *Core) sendAcks(now time.Duration) {
	own := &c.acks.own
	if !c.ready || own.Ticket != c.applied.head.Latest || !c.outstanding() {
		return
	}
	key := ackKey{incarnation: own.Incarnation, version: own.Version, ticket: own.Ticket}
	have := 0
	for _, id := range c.collectorOrder() {
		if have >= collectors {
			return
		}
		if id == c.options.Instance {
			if c.storeReached(now) {
				have++
			}
			continue
		}
		if c.reported(now, id, key) {
			have++
		}
	}
}

// reported makes sure that the collector gets the report and tells whether it
// counts towards the number of collectors.
func (c *Core) reported(now time.Duration, id api.InstanceID, key ackKey) bool {
	m, found := c.member(id)
	if !found {
		return false
	}
	sent, known := c.acks.sent[id]
	if known && sent.key == key && sent.to == m.Incarnation {
		switch {
		case sent.inFlight:
			return now-sent.at < ackPatience
		case sent.ok && now-sent.at < ackRefresh:
			return true
		case !sent.ok && now-sent.at < collectorRetry:
			return false
		}
	}
	c.acks.sent[id] = &ackSent{key: key, to: m.Incarnation, at: now, inFlight: true}
	request := &peerpb.AcknowledgeRequest{Acks: []*peerpb.Ack{ackToProto(c.acks.own)}}
	c.emit(PeerAck{To: id, Address: m.Address, Key: key, Request: request})
	return true
}

func (c *Core) ackDone(now time.Duration, e AckDone) {
	if e.Forwarded != nil {
		if e.Response == nil && c.outstanding() {
			c.forwardFailed(e.Forwarded)
		}
		return
	}
	sent, known := c.acks.sent[e.To]
	if !known || sent.key != e.Key {
		return
	}
	sent.inFlight = false
	sent.at = now
	sent.ok = e.Response.GetCanWrite()
	c.sendAcks(now)
}

func (c *Core) ackIn(now time.Duration, e AcksReceived) {
	for _, p := range e.Request.GetAcks() {
		if a := ackFromProto(p); c.mergeAck(a) && a.Ticket > c.applied.head.Accepted {
			c.acks.forward[a.Instance] = true
		}
	}
	response := &peerpb.AcknowledgeResponse{CanWrite: c.storeReached(now)}
	if e.Request.GetWantAll() {
		for _, id := range sortedKeys(c.acks.table) {
			response.Acks = append(response.Acks, ackToProto(c.acks.table[id]))
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
