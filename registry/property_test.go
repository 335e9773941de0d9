package registry_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

// TestAddressesAreUnique guards against endpoints of different incarnations at one
// address, and against an endpoint that stays after its removal in steady state,
// for any order of events.
func TestAddressesAreUnique(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := registry.NewCore()
		core.Step(0, registry.EndpointsListed{})
		now := time.Duration(0)
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for range steps {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond
			e := registry.Endpoint{
				ID:          api.EndpointID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")),
				Incarnation: int64(rapid.IntRange(1, 4).Draw(t, "incarnation")),
				Address:     rapid.SampledFrom([]string{"x:1", "y:1"}).Draw(t, "address"),
				Service:     "s",
			}
			removed := rapid.Bool().Draw(t, "removed")
			var event registry.Event = registry.EndpointChanged{Endpoint: e}
			if removed {
				event = registry.EndpointRemoved{ID: e.ID}
			}
			core.Step(now, event)
			checkAddresses(t, core, e.ID, removed)
		}
	})
}

// BenchmarkEndpointsListed measures a complete list of 840 new engines, the planned
// size of the fleet.
func BenchmarkEndpointsListed(b *testing.B) {
	var list []registry.Endpoint
	for i := range 840 {
		list = append(list, registry.Endpoint{ID: api.EndpointID(fmt.Sprint("e", i)), Incarnation: 1, Address: fmt.Sprint("a", i)})
	}
	for b.Loop() {
		registry.NewCore().Step(0, registry.EndpointsListed{Endpoints: list})
	}
}

func checkAddresses(t *rapid.T, core *registry.Core, touched api.EndpointID, removed bool) {
	newest := make(map[string]int64)
	for _, have := range core.Endpoints() {
		if removed && have.ID == touched {
			t.Fatalf("endpoint %s is in the table after its removal", touched)
		}
		if other, ok := newest[have.Address]; ok && other != have.Incarnation {
			t.Fatalf("two incarnations at address %s", have.Address)
		}
		newest[have.Address] = have.Incarnation
	}
}
