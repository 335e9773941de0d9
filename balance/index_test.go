package balance_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	_ "github.com/hibiscusstair/hibiscusstair/internal/testseed"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

// TestRequestsGoToEndpointsOfTheirService guards against an endpoint that stays in the
// list of a former service: after any events of the registry, the requests of a service
// are sent to exactly the endpoints that the registry has for it.
func TestRequestsGoToEndpointsOfTheirService(t *testing.T) {
	services := []string{"s1", "s2"}
	rapid.Check(t, func(t *rapid.T) {
		endpoints := registry.NewCore()
		core := newCore("i", 0)
		now := time.Minute
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond
			for _, change := range endpoints.Step(now, drawEvent(t, services)) {
				core.Apply(change)
			}
			for _, service := range services {
				checkChoices(t, core, now, service, endpoints.Endpoints())
			}
		}
	})
}

// drawEvent draws an event of the registry about one of a few endpoints.
func drawEvent(t *rapid.T, services []string) registry.Event {
	drawEndpoint := func() registry.Endpoint {
		return registry.Endpoint{
			ID:          api.EndpointID(fmt.Sprint("e", rapid.IntRange(1, 3).Draw(t, "id"))),
			Incarnation: int64(rapid.IntRange(0, 2).Draw(t, "incarnation")),
			Service:     rapid.SampledFrom(services).Draw(t, "service"),
			Address:     fmt.Sprint("a:", rapid.IntRange(1, 2).Draw(t, "address")),
			Domain:      "d1",
			Slots:       1000,
			Draining:    rapid.Bool().Draw(t, "draining"),
		}
	}
	e := drawEndpoint()
	switch rapid.IntRange(0, 5).Draw(t, "event") {
	case 0:
		return registry.EndpointsListed{Endpoints: []registry.Endpoint{e}}
	case 1:
		return registry.EndpointRemoved{ID: e.ID}
	case 2:
		return registry.ReplacementObserved{Endpoint: e, Replaces: drawEndpoint().ID}
	case 3:
		return registry.LeavingObserved{ID: e.ID, Incarnation: e.Incarnation}
	}
	return registry.EndpointChanged{Endpoint: e}
}

// checkChoices chooses endpoints for requests of the service until none is left, and
// compares them with those of the registry.
func checkChoices(t *rapid.T, core *balance.Core, now time.Duration, service string, registered []registry.Endpoint) {
	var want, have []api.EndpointID
	for _, e := range registered {
		if e.Service == service && !e.Draining {
			want = append(want, e.ID)
		}
	}
	for {
		lease, err := core.Choose(now, balance.Request{Service: service, Exclude: have})
		if err != nil {
			break
		}
		have = append(have, lease.Endpoint.ID)
		core.Release(now, lease, balance.Cancelled)
	}
	slices.Sort(have)
	if !slices.Equal(have, want) {
		t.Fatalf("requests of %s are sent to %v, registered are %v", service, have, want)
	}
}
