package fleetsim

import (
	"encoding/json"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/store"
	"github.com/hibiscusstair/hibiscusstair/ticket"
)

// performTicket executes an action of the ticket core.
func (n *Node) performTicket(action ticket.Action, respond func(ticket.PeerResponse)) {
	switch a := action.(type) {
	case ticket.StoreCall:
		n.ticketStoreCall(a)
	case ticket.PeerFetch:
		n.fetchTickets(a)
	case ticket.PeerOffer:
		n.offerTickets(a)
	case ticket.PeerAck:
		n.acknowledge(a)
	case ticket.PeerResponse:
		respond(a)
	case ticket.SubmitResult:
		if reply := n.sim.pendingSubmissions[a.ID]; reply != nil {
			delete(n.sim.pendingSubmissions, a.ID)
			reply(a.Err)
		}
	}
}

// ticketStoreCall executes a store call of the ticket core.
func (n *Node) ticketStoreCall(a ticket.StoreCall) {
	s := n.sim.store
	done := ticket.StoreDone{ID: a.ID, SentAt: n.sim.clock.now}
	respond := func(err error) {
		done.Err = err
		n.stepTicket(done, nil)
	}
	switch a.Op {
	case ticket.StoreGet:
		n.storeCall("get", func() (err error) { done.Object, err = s.get(a.Key); return err }, respond)
	case ticket.StorePut:
		op := func() (err error) {
			done.Object.Version, err = s.put(a.Key, a.Value, a.ExpectedVersion)
			return err
		}
		n.storeCall("put", op, respond)
	case ticket.StoreDelete:
		n.storeCall("delete", func() error { return s.remove(a.Key, a.ExpectedVersion) }, respond)
	case ticket.StoreList:
		op := func() error {
			done.Objects, done.Revision = s.list(a.Key), uint64(len(s.changes))
			return nil
		}
		n.storeCall("list", op, respond)
	case ticket.StoreWatch:
		n.watch(a, &done, respond)
	}
}

// watch executes a watch call of the ticket core; the response takes half of the
// store's delay to reach the process.
func (n *Node) watch(a ticket.StoreCall, done *ticket.StoreDone, respond func(error)) {
	s := n.sim.store
	onFailure := func(err error) {
		if err != nil {
			respond(err)
		}
	}
	op := func() error {
		s.watch(a.Key, a.AfterRevision, a.Wait, func(changes []store.Change, revision uint64, err error) {
			done.Changes, done.Revision = changes, revision
			n.sim.clock.after(s.delay/2, func() { n.deliver(func() { respond(err) }) })
		})
		return nil
	}
	n.storeCall("watch", op, onFailure)
}

func (n *Node) fetchTickets(a ticket.PeerFetch) {
	done := func(r *peerpb.FetchTicketsResponse) {
		n.stepTicket(ticket.FetchDone{Address: a.Address, Response: r}, nil)
	}
	serve := func(to *Node) (int, func()) {
		var response ticket.PeerResponse
		to.stepTicket(ticket.FetchReceived{Above: a.Above}, func(r ticket.PeerResponse) { response = r })
		return proto.Size(response.Fetch), func() { done(response.Fetch) }
	}
	n.sim.send(n, a.Address, ticketCallTimeout, fetchRequestBytes, serve, func() { done(nil) })
}

func (n *Node) offerTickets(a ticket.PeerOffer) {
	done := func(ok bool) {
		n.stepTicket(ticket.OfferDone{To: a.To, HeadVersion: a.Request.GetHeadVersion(), OK: ok}, nil)
	}
	serve := func(to *Node) (int, func()) {
		ev := ticket.HeadOffered{Address: a.Request.GetAddress(), HeadVersion: a.Request.GetHeadVersion(), Request: a.Request}
		to.stepTicket(ev, nil)
		return offerResponseBytes, func() { done(true) }
	}
	n.sim.send(n, a.Address, ticketCallTimeout, proto.Size(a.Request), serve, func() { done(false) })
}

func (n *Node) acknowledge(a ticket.PeerAck) {
	done := func(r *peerpb.AcknowledgeResponse) {
		ev := ticket.AckDone{To: a.To, Version: a.Version, Response: r}
		if a.Forwarded {
			ev.Forwarded = a.Request
		}
		n.stepTicket(ev, nil)
	}
	serve := func(to *Node) (int, func()) {
		var response ticket.PeerResponse
		to.stepTicket(ticket.AcksReceived{Request: a.Request}, func(r ticket.PeerResponse) { response = r })
		return proto.Size(response.Ack), func() { done(response.Ack) }
	}
	n.sim.send(n, a.Address, ticketCallTimeout, proto.Size(a.Request), serve, func() { done(nil) })
}

// SubmitTicket submits a ticket to a process. done receives the result unless the
// process has not started yet or is killed first.
func (s *Sim) SubmitTicket(n *Node, t *ticket.Ticket, done func(error)) {
	raw, err := json.Marshal(t)
	if err != nil {
		panic("fleetsim: encoding a ticket: " + err.Error()) // a ticket can always be encoded
	}
	s.lastSubmissionID++
	id := s.lastSubmissionID
	s.pendingSubmissions[id] = done
	n.deliver(func() { n.stepTicket(ticket.TicketSubmitted{ID: id, Raw: raw, Body: t}, nil) })
}

// Kill ends a process without notice. The platform's instance list drops it after
// Options.ListLag.
func (s *Sim) Kill(n *Node) {
	n.killed = true
	n.delistedAt = s.clock.now + s.options.ListLag
}

// Pause stops a process until Resume. Events that arrive in the meantime are
// deferred.
func (s *Sim) Pause(n *Node) { n.paused = true }

// Resume continues a paused process and runs its deferred events.
func (s *Sim) Resume(n *Node) {
	n.paused = false
	queued := n.deferredEvents
	n.deferredEvents = nil
	for _, event := range queued {
		n.deliver(event)
	}
}

// SetStoreUnreachable sets whether a process is separated from the store. It still
// reaches its peers.
func (s *Sim) SetStoreUnreachable(n *Node, unreachable bool) { n.storeUnreachable = unreachable }

// storeCalls returns the number of calls to the store so far.
func (s *Sim) storeCalls() int {
	total := 0
	for _, count := range s.store.calls {
		total += count
	}
	return total
}

// trafficBytes returns the bytes that all processes have sent and received.
func (s *Sim) trafficBytes() (total int64) {
	for _, n := range s.nodes {
		total += n.trafficBytes
	}
	return total
}

// coreTime returns the time spent in the cores of all processes.
func (s *Sim) coreTime() (total time.Duration) {
	for _, n := range s.nodes {
		total += n.coreTime
	}
	return total
}
