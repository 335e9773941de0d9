package ticket_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/fleetsim"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/ticket"
)

// drawTickets returns tickets 1..n that set and remove endpoints.
func drawTickets(t *rapid.T) []*ticket.Ticket {
	count := rapid.IntRange(1, 8).Draw(t, "tickets")
	tickets := make([]*ticket.Ticket, 0, count)
	for number := 1; number <= count; number++ {
		next := &ticket.Ticket{Number: uint64(number)}
		for _, e := range rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 1, 3, rapid.ID).Draw(t, "endpoints") {
			half := api.Half(rapid.SampledFrom([]string{"north", "south", ""}).Draw(t, "half"))
			if half == "" {
				next.RemoveEndpoints = append(next.RemoveEndpoints, endpointID(e))
			} else {
				next.Endpoints = append(next.Endpoints, fleetsim.Engine(e, half))
			}
		}
		tickets = append(tickets, next)
	}
	return tickets
}

// expectedHalves is the oracle: the half of each endpoint according to the
// highest ticket that changes it.
func expectedHalves(tickets []*ticket.Ticket) map[api.EndpointID]api.Half {
	halves := make(map[api.EndpointID]api.Half)
	for _, t := range tickets {
		for _, e := range t.Endpoints {
			halves[e.ID] = e.Half
		}
		for _, id := range t.RemoveEndpoints {
			delete(halves, id)
		}
	}
	return halves
}

func halvesOf(s *ticket.State) map[api.EndpointID]api.Half {
	halves := make(map[api.EndpointID]api.Half)
	for id, item := range s.Endpoints {
		if item.Endpoint != nil {
			halves[id] = item.Endpoint.Half
		}
	}
	return halves
}

// applyInOrder applies tickets to the state and returns the half of each
// endpoint.
func applyInOrder(state *ticket.State, order []*ticket.Ticket) map[api.EndpointID]api.Half {
	for _, t := range order {
		ticket.ApplyTo(state, t)
	}
	return halvesOf(state)
}

// TestApplyOrderDoesNotMatter guards against a ticket that replaces the state of a
// higher one because it is applied later.
func TestApplyOrderDoesNotMatter(t *testing.T) {
	detected := false
	rapid.Check(t, func(t *rapid.T) {
		tickets := drawTickets(t)
		order := rapid.Permutation(tickets).Draw(t, "order")
		want := expectedHalves(tickets)
		if got := applyInOrder(ticket.NewState(), order); !reflect.DeepEqual(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
		detected = detected || !reflect.DeepEqual(applyInOrder(ticket.NewStateLastAppliedWins(), order), want)
	})
	if !detected {
		t.Fatal("the mutation lastAppliedWins was not detected")
	}
}

// offerHeads offers the heads of a history to one core in the order of versions
// and returns an error if the active ticket is not the highest one offered so far.
func offerHeads(core *ticket.Core, tickets []*ticket.Ticket, versions []uint64) error {
	var bodies []*peerpb.Ticket
	head := ticket.Head{}
	for _, t := range tickets {
		raw, _ := json.Marshal(t)
		bodies = append(bodies, &peerpb.Ticket{Number: t.Number, Body: raw})
	}
	highest := uint64(0)
	for i, version := range versions {
		head.Latest, head.Accepted = version, version
		head.Tickets = nil
		for number := uint64(1); number <= version; number++ {
			head.Tickets = append(head.Tickets, number)
		}
		request := &peerpb.OfferRequest{Head: ticket.EncodeHead(head), HeadVersion: version, Tickets: bodies[:version]}
		core.Step(time.Duration(i+1)*time.Second, ticket.HeadOffered{Address: "a", HeadVersion: version, Request: request})
		highest = max(highest, version)
		if got := core.Config().Ticket; got != highest {
			return fmt.Errorf("ticket %d is active after heads up to ticket %d", got, highest)
		}
	}
	return nil
}

// TestHeadsInAnyOrder guards against an older head that reverts an accepted
// ticket when it arrives late, for example from an instance that was paused.
func TestHeadsInAnyOrder(t *testing.T) {
	detected := false
	rapid.Check(t, func(t *rapid.T) {
		tickets := drawTickets(t)
		versions := rapid.SliceOfN(rapid.Uint64Range(1, uint64(len(tickets))), 1, 12).Draw(t, "versions")
		if err := offerHeads(ticket.NewCore(ticket.CoreOptions{Instance: "a"}), tickets, versions); err != nil {
			t.Fatal(err)
		}
		mutated := ticket.CoreOptions{Instance: "a"}
		ticket.ApplyOlderHead(&mutated)
		detected = detected || offerHeads(ticket.NewCore(mutated), tickets, versions) != nil
	})
	if !detected {
		t.Fatal("the mutation applyOlderHead was not detected")
	}
}
