package fleetsim

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/fleet"
	"github.com/hibiscusstair/hibiscusstair/ticket"
)

// headKey is the store key of the ticket head.
const headKey = "control/ticket-head"

// Now is the simulated boot clock.
func (s *Sim) Now() time.Duration { return s.clock.now }

// Nodes are all processes, the ended ones included.
func (s *Sim) Nodes() []*Node { return s.nodes }

// AfterEvent sets what is called after each event of a process.
func (s *Sim) AfterEvent(f func(*Node)) { s.afterEvent = f }

// SetStoreDown starts or ends an outage of the store.
func (s *Sim) SetStoreDown(down bool) { s.store.down = down }

// SetMessageLoss sets the probability that a message is lost.
func (s *Sim) SetMessageLoss(p float64) { s.options.MessageLossRate = p }

// SetLostWriteResponses sets the probability that the answer to a write is lost.
func (s *Sim) SetLostWriteResponses(p float64) {
	s.store.loseWriteResponse = func() bool { return s.random.Float64() < p }
}

// SetPartition puts an instance on a side of a partition; 0 is the default.
func (s *Sim) SetPartition(n *Node, side int) { n.partition = side }

// Delist lets the platform's list drop an instance that may still run.
func (s *Sim) Delist(n *Node) { n.delistedAt = s.clock.now + s.options.ListLag }

// Restart starts a new process with the id of an ended one.
func (s *Sim) Restart(n *Node) *Node {
	return s.addNode(string(n.id), n.half, n.place, n.variant, 0)
}

// StoreHead is the ticket head in the store.
func (s *Sim) StoreHead() ticket.Head {
	var head ticket.Head
	if object, err := s.store.get(headKey); err == nil {
		_ = json.Unmarshal(object.Value, &head)
	}
	return head
}

// StoreHeadVersion is the version of the ticket head in the store.
func (s *Sim) StoreHeadVersion() uint64 { return uint64(s.store.objects[headKey].Version) }

// StoreTicket is a ticket body in the store.
func (s *Sim) StoreTicket(number uint64) *ticket.Ticket {
	object, err := s.store.get(fmt.Sprintf("tickets/%020d", number))
	if err != nil {
		return nil
	}
	var t ticket.Ticket
	if json.Unmarshal(object.Value, &t) != nil {
		return nil
	}
	return &t
}

// Registered reports whether the store has a registration of the instance.
func (s *Sim) Registered(id api.InstanceID) bool {
	_, err := s.store.get(fleet.MemberPrefix + string(id))
	return err == nil
}

// ID is the instance's id.
func (n *Node) ID() api.InstanceID { return n.id }

// Half is the half that the instance serves.
func (n *Node) Half() api.Half { return n.half }

// Running reports whether the process runs and is not paused.
func (n *Node) Running() bool { return n.running() }

// Ended reports whether the process was killed.
func (n *Node) Ended() bool { return n.killed }

// CheckServing is what fleet.Runner.CheckServing answers.
func (n *Node) CheckServing() error { return n.checkServing() }

// MayDispatch reports whether the process would start work on the endpoint.
func (n *Node) MayDispatch(id api.EndpointID) bool { return n.mayDispatch(id) }

// Config is the configuration that applies in the process.
func (n *Node) Config() *api.Config {
	if n.ticket == nil {
		return &api.Config{}
	}
	return n.ticket.Config()
}

// Members is the process's member table.
func (n *Node) Members() []api.Member {
	if n.fleet == nil {
		return nil
	}
	return n.fleet.Members()
}

// RunningRequests is the number of requests that the process runs on an endpoint.
func (n *Node) RunningRequests(id api.EndpointID) int {
	if n.killed {
		return 0
	}
	return n.runningRequests[id]
}

// StartRequest starts a request if the process may, and reports it.
func (n *Node) StartRequest(id api.EndpointID) bool {
	if !n.mayDispatch(id) {
		return false
	}
	n.runningRequests[id]++
	return true
}

// EndRequests ends all requests of the process on an endpoint.
func (n *Node) EndRequests(id api.EndpointID) { delete(n.runningRequests, id) }

// Engine is a valid engine for tests and measurements.
func Engine(i int, half api.Half) api.Endpoint { return simEngine(i, half) }

// Describe is the state of a process for the report of a violation.
func (n *Node) Describe() string {
	if n.fleet == nil {
		return string(n.id) + ": not started"
	}
	now := n.sim.clock.now
	status := n.fleet.Status(now)
	return fmt.Sprintf("%s: status %+v, confirmed %s ago, store contact %s ago, head %+v at version %d, gate %v",
		n.id, status, now-status.Confirmed, now-n.ticket.StoreContact(), n.ticket.Head(), n.ticket.HeadVersion(), n.checkServing())
}

// Address is the address of the process's peer listener.
func (n *Node) Address() string { return n.address }
