package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

// copyTime is longer than the registration of an endpoint lasts that does not renew it.
const copyTime = 6 * time.Second

var _ = Describe("A registry whose store is restored from a copy", func() {
	var core *registry.Core
	draining := endpoint("a", 1)
	draining.Draining = true

	restore := func(now time.Duration, list ...registry.Endpoint) []registry.Change {
		core.Step(now, registry.StoreRestored{})
		return core.Step(now, registry.EndpointsListed{Endpoints: list})
	}

	BeforeEach(func() {
		core = registry.NewCore()
		core.Step(0, registry.EndpointsListed{Endpoints: []registry.Endpoint{endpoint("a", 1), endpoint("b", 1)}})
		// The store responds every second.
		for now := time.Duration(0); now <= steadyTime; now += time.Second {
			core.Step(now, registry.StoreResponded{})
		}
	})

	// Guards against endpoints that leave the table because the copy is older than they are.
	It("keeps endpoints that the copy does not have until they register again", func() {
		Expect(kinds(restore(steadyTime, endpoint("a", 1)))).To(Equal([]registry.ChangeKind{registry.Lapsed}))
		Expect(ids(core)).To(Equal([]string{"a", "b"}))
		core.Step(steadyTime+reregistrationTime, registry.EndpointChanged{Endpoint: endpoint("b", 1)})
		core.Step(steadyTime+time.Minute, registry.Tick{})
		Expect(ids(core)).To(Equal([]string{"a", "b"}))
	})

	// Guards against requests to an endpoint that drains, since the copy has it as ready.
	It("keeps an endpoint draining that drained before", func() {
		core.Step(steadyTime, registry.EndpointChanged{Endpoint: draining})
		Expect(restore(steadyTime+time.Second, endpoint("a", 1), endpoint("b", 1))).To(BeEmpty())
		core.Step(steadyTime+time.Minute, registry.EndpointChanged{Endpoint: endpoint("a", 1)})
		Expect(core.Endpoints()[0].Draining).To(BeTrue())
	})

	// Guards against an endpoint that is used again since the store does not know yet that it leaves.
	It("keeps an endpoint draining that said so itself", func() {
		said := registry.LeavingObserved{ID: "a", Incarnation: 1}
		Expect(kinds(core.Step(steadyTime, said))).To(Equal([]registry.ChangeKind{registry.StartedDraining}))
		Expect(core.Step(steadyTime, said)).To(BeEmpty())
		core.Step(steadyTime, registry.EndpointChanged{Endpoint: endpoint("a", 1)})
		core.Step(steadyTime, registry.EndpointsListed{Endpoints: []registry.Endpoint{endpoint("a", 1), endpoint("b", 1)}})
		Expect(core.Endpoints()[0].Draining).To(BeTrue())
		Expect(core.Step(steadyTime, registry.LeavingObserved{ID: "b", Incarnation: 7})).To(BeEmpty())
	})

	It("ignores an endpoint that drained and left, but not its next incarnation", func() {
		core.Step(steadyTime, registry.EndpointChanged{Endpoint: draining})
		core.Step(steadyTime+time.Second, registry.EndpointRemoved{ID: "a"})
		Expect(restore(steadyTime+2*time.Second, endpoint("a", 1), endpoint("b", 1))).To(BeEmpty())
		core.Step(steadyTime+time.Minute, registry.EndpointChanged{Endpoint: endpoint("a", 1)})
		Expect(ids(core)).To(Equal([]string{"b"}))
		core.Step(steadyTime+time.Minute, registry.EndpointChanged{Endpoint: endpoint("a", 2)})
		Expect(ids(core)).To(Equal([]string{"a", "b"}))
	})

	Context("with an endpoint that left without draining", func() {
		BeforeEach(func() {
			core.Step(steadyTime, registry.EndpointRemoved{ID: "a"})
			Expect(restore(steadyTime+time.Second, endpoint("a", 1), endpoint("b", 1))).To(BeEmpty())
		})

		// Guards against requests to an endpoint whose end the store has lost.
		It("ignores it if its registration ends again", func() {
			core.Step(steadyTime+4*time.Second, registry.EndpointRemoved{ID: "a"})
			core.Step(steadyTime+time.Minute, registry.Tick{})
			Expect(ids(core)).To(Equal([]string{"b"}))
		})

		// Guards against an endpoint that is never used again because a copy brought it back.
		It("uses it if its registration lasts", func() {
			core.Step(steadyTime+time.Second+copyTime, registry.Tick{})
			Expect(ids(core)).To(Equal([]string{"a", "b"}))
		})

		It("uses it at once if it registers again", func() {
			core.Step(steadyTime+2*time.Second, registry.EndpointChanged{Endpoint: endpoint("a", 1)})
			Expect(ids(core)).To(Equal([]string{"a", "b"}))
		})
	})
})

// TestDrainingIsFinal guards against an endpoint that becomes ready again in the same
// incarnation, for any order of changes, lists and restores of the store.
func TestDrainingIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := registry.NewCore()
		core.Step(0, registry.EndpointsListed{})
		drained := make(map[api.EndpointID]map[int64]bool)
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond
			core.Step(now, drawEvent(t))
			for _, e := range core.Endpoints() {
				if drained[e.ID] == nil {
					drained[e.ID] = make(map[int64]bool)
				}
				if drained[e.ID][e.Incarnation] && !e.Draining {
					t.Fatalf("endpoint %s is ready again in incarnation %d", e.ID, e.Incarnation)
				}
				drained[e.ID][e.Incarnation] = e.Draining
			}
		}
	})
}

func drawEndpoint(t *rapid.T) registry.Endpoint {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
	e := endpoint(id, int64(rapid.IntRange(1, 3).Draw(t, "incarnation")))
	e.Draining = rapid.IntRange(0, 2).Draw(t, "draining") == 0
	return e
}

func drawEvent(t *rapid.T) registry.Event {
	switch rapid.IntRange(0, 4).Draw(t, "event") {
	case 0:
		return registry.StoreRestored{}
	case 1:
		return registry.EndpointRemoved{ID: drawEndpoint(t).ID}
	case 2:
		return registry.EndpointsListed{Endpoints: []registry.Endpoint{drawEndpoint(t)}}
	}
	return registry.EndpointChanged{Endpoint: drawEndpoint(t)}
}
