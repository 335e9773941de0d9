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

// Now returns the simulated boot clock time.
func (s *Sim) Now() time.Duration { return s.clock.now }

// Nodes returns all processes, including killed ones.
func (s *Sim) Nodes() []*Node { return s.nodes }

// AfterEvent sets a function that is called after each event of a process.
func (s *Sim) AfterEvent(f func(*Node)) { s.afterEvent = f }

// SetStoreDown starts or ends an outage of the store for all processes.
func (s *Sim) SetStoreDown(down bool) { s.store.down = down }

// SetMessageLoss sets the probability that a request or response between processes
// is lost.
func (s *Sim) SetMessageLoss(probability float64) { s.options.MessageLossRate = probability }

// SetWriteResponseLoss sets the probability that the store's response to a write
// is lost.
func (s *Sim) SetWriteResponseLoss(probability float64) {
	s.store.loseWriteResponse = func() bool { return s.random.Float64() < probability }
}

// SetPartition moves a process into a network partition. Processes in different
// partitions cannot reach each other; the default partition is 0.
func (s *Sim) SetPartition(n *Node, partition int) { n.partition = partition }

// Delist removes a process, which may still run, from the platform's instance list
// after Options.ListLag.
func (s *Sim) Delist(n *Node) { n.delistedAt = s.clock.now + s.options.ListLag }

// Restart starts a new process with the ID of a killed one.
func (s *Sim) Restart(n *Node) *Node {
	return s.addNode(string(n.id), n.half, n.place, n.overrides, 0)
}

// StoreHead returns the ticket head in the store.
func (s *Sim) StoreHead() ticket.Head {
	var head ticket.Head
	if object, err := s.store.get(headKey); err == nil {
		_ = json.Unmarshal(object.Value, &head)
	}
	return head
}

// StoreHeadVersion returns the store version of the ticket head.
func (s *Sim) StoreHeadVersion() uint64 { return uint64(s.store.objects[headKey].Version) }

// StoreTicket returns the ticket with the number from the store, or nil.
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

// Registered reports whether the instance is registered in the store.
func (s *Sim) Registered(id api.InstanceID) bool {
	_, err := s.store.get(fleet.MemberPrefix + string(id))
	return err == nil
}

// ID returns the instance ID of the process.
func (n *Node) ID() api.InstanceID { return n.id }

// Half returns the half that the process serves.
func (n *Node) Half() api.Half { return n.half }

// Running reports whether the process runs and is not paused.
func (n *Node) Running() bool { return n.running() }

// Killed reports whether the process was killed.
func (n *Node) Killed() bool { return n.killed }

// CheckServing returns what fleet.Runner.CheckServing would return in the process.
func (n *Node) CheckServing() error { return n.checkServing() }

// MayDispatch reports whether the process may start a request on the endpoint.
func (n *Node) MayDispatch(id api.EndpointID) bool { return n.mayDispatch(id) }

// Config returns the active configuration of the process.
func (n *Node) Config() *api.Config {
	if n.ticket == nil {
		return &api.Config{}
	}
	return n.ticket.Config()
}

// Members returns the member table of the process.
func (n *Node) Members() []api.Member {
	if n.fleet == nil {
		return nil
	}
	return n.fleet.Members()
}

// RunningRequests returns the number of requests that the process runs on the
// endpoint.
func (n *Node) RunningRequests(id api.EndpointID) int {
	if n.killed {
		return 0
	}
	return n.runningRequests[id]
}

// StartRequest starts a request on the endpoint if the process may dispatch to it,
// and reports whether it did.
func (n *Node) StartRequest(id api.EndpointID) bool {
	if !n.mayDispatch(id) {
		return false
	}
	n.runningRequests[id]++
	return true
}

// EndRequests ends all requests of the process on the endpoint.
func (n *Node) EndRequests(id api.EndpointID) { delete(n.runningRequests, id) }

// Engine returns a valid engine endpoint for tests and measurements.
func Engine(i int, half api.Half) api.Endpoint { return simEngine(i, half) }

// Describe returns the state of a process for the message of a failed check.
func (n *Node) Describe() string {
	if n.fleet == nil {
		return string(n.id) + ": not started"
	}
	now := n.sim.clock.now
	status := n.fleet.Status(now)
	return fmt.Sprintf("%s: status %+v, confirmed %s ago, store contact %s ago, head %+v at version %d, serving check %v",
		n.id, status, now-status.Confirmed, now-n.ticket.StoreContact(), n.ticket.Head(), n.ticket.HeadVersion(), n.checkServing())
}

// Address returns the address of the process's peer listener.
func (n *Node) Address() string { return n.address }
