package registry

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusstair/hibiscusstair/api"
	_ "github.com/hibiscusstair/hibiscusstair/internal/testseed"
)

// TestIndexesFollowTheTable guards against an index that keeps what an endpoint had
// before, and against registrations that are kept from their address by none: after any
// events, the indexes equal those built anew from the table.
func TestIndexesFollowTheTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := NewCore()
		now := time.Minute
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			core.Step(now, drawIndexEvent(t))
			checkIndexes(t, core)
			checkConflicts(t, core)
		}
	})
}

func drawIndexEvent(t *rapid.T) Event {
	drawEndpoint := func() Endpoint {
		return Endpoint{
			ID:          api.EndpointID(fmt.Sprint("e", rapid.IntRange(1, 4).Draw(t, "id"))),
			Incarnation: int64(rapid.IntRange(0, 3).Draw(t, "incarnation")),
			Service:     rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "service"),
			Address:     fmt.Sprint("a:", rapid.IntRange(1, 2).Draw(t, "address")),
			Draining:    rapid.Bool().Draw(t, "draining"),
		}
	}
	e := drawEndpoint()
	switch rapid.IntRange(0, 11).Draw(t, "event") {
	case 0:
		return EndpointsListed{Endpoints: []Endpoint{e, drawEndpoint()}}
	case 1, 2:
		return EndpointRemoved{ID: e.ID}
	case 3:
		return ReplacementObserved{Endpoint: e, Replaces: drawEndpoint().ID}
	case 4:
		return LeavingObserved{ID: e.ID, Incarnation: e.Incarnation}
	case 5:
		return StoreRestored{}
	case 6:
		return ServicesListed{Version: 1, Services: rapid.SliceOfDistinct(rapid.SampledFrom([]string{"s1", "s2"}), rapid.ID).Draw(t, "services")}
	case 7:
		return AddressAnswered{Asked: e, By: drawEndpoint().ID}
	}
	return EndpointChanged{Endpoint: e}
}

func checkIndexes(t *rapid.T, core *Core) {
	byAddress := make(map[string][]api.EndpointID)
	lapsed := make(map[api.EndpointID]bool)
	for _, e := range core.Endpoints() {
		byAddress[e.Address] = append(byAddress[e.Address], e.ID)
		if core.entries[e.ID].expiresAt != 0 {
			lapsed[e.ID] = true
		}
	}
	sorted := func(a, b []api.EndpointID) bool { return slices.Equal(slices.Sorted(slices.Values(a)), b) }
	if !maps.EqualFunc(core.byAddress, byAddress, sorted) {
		t.Fatalf("by address: have %v, want %v", core.byAddress, byAddress)
	}
	if !maps.Equal(core.lapsed, lapsed) {
		t.Fatalf("lapsed: have %v, want %v", core.lapsed, lapsed)
	}
}

// checkConflicts checks that the registrations that are not in use are exactly those that
// one in use outranks.
func checkConflicts(t *rapid.T, core *Core) {
	outranked := func(e Endpoint) bool {
		return slices.ContainsFunc(core.Endpoints(), func(other Endpoint) bool {
			return other.Address == e.Address && other.ID != e.ID && core.conflicts.outranks(other, e)
		})
	}
	for _, e := range core.Endpoints() {
		if outranked(e) {
			t.Fatalf("%v is in use, though its address is another endpoint's", e)
		}
		if _, ok := core.conflicts.outranked[e.ID]; ok {
			t.Fatalf("%v is in use and counts as outranked", e)
		}
	}
	for _, e := range core.conflicts.outranked {
		if !outranked(e) && !core.hasDrained(e) {
			t.Fatalf("%v is not in use, though its address is free", e)
		}
	}
}
