package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

func TestRegistry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "registry")
}

const (
	// steadyTime is a time long after the first response of the store.
	steadyTime = time.Minute
	// reregistrationTime is the time after the store's recovery within which a
	// running endpoint registers again.
	reregistrationTime = 2 * time.Second
)

func endpoint(id string, incarnation int64) registry.Endpoint {
	return registry.Endpoint{
		ID: api.EndpointID(id), Incarnation: incarnation, Service: "s", Address: id + ":1", Domain: "d", Slots: 4,
	}
}

func kinds(changes []registry.Change) []registry.ChangeKind {
	var list []registry.ChangeKind
	for _, change := range changes {
		list = append(list, change.Kind)
	}
	return list
}

func ids(core *registry.Core) []string {
	var list []string
	for _, e := range core.Endpoints() {
		list = append(list, string(e.ID))
	}
	return list
}

var _ = Describe("Core", func() {
	var core *registry.Core

	BeforeEach(func() {
		core = registry.NewCore()
		core.Step(0, registry.EndpointsListed{Endpoints: []registry.Endpoint{endpoint("a", 1), endpoint("b", 1)}})
		// The store responds every second.
		for now := time.Duration(0); now <= steadyTime; now += time.Second {
			core.Step(now, registry.StoreResponded{})
		}
	})

	// Guards against requests to an endpoint that has ended its registration.
	It("removes an endpoint at once in steady state", func() {
		Expect(kinds(core.Step(steadyTime, registry.EndpointRemoved{ID: "a"}))).To(Equal([]registry.ChangeKind{registry.Gone}))
		Expect(ids(core)).To(Equal([]string{"b"}))
	})

	// Guards against endpoints that stay when the event of their removal was lost.
	It("removes endpoints that are missing from a complete list", func() {
		core.Step(steadyTime, registry.EndpointsListed{Endpoints: []registry.Endpoint{endpoint("b", 1)}})
		Expect(ids(core)).To(Equal([]string{"b"}))
	})

	// Guards against new requests to an endpoint that is draining.
	It("reports an endpoint that starts draining", func() {
		draining := endpoint("a", 1)
		draining.Draining = true
		Expect(kinds(core.Step(steadyTime, registry.EndpointChanged{Endpoint: draining}))).To(Equal([]registry.ChangeKind{registry.StartedDraining}))
	})

	// Guards against losing all endpoints when their registrations lapse during an
	// outage of the store.
	It("keeps endpoints whose registrations lapsed in an outage until they had time to register again", func() {
		back := steadyTime + 10*time.Second
		Expect(kinds(core.Step(back, registry.EndpointsListed{}))).To(Equal([]registry.ChangeKind{registry.Lapsed, registry.Lapsed}))
		core.Step(back+reregistrationTime-time.Millisecond, registry.Tick{})
		Expect(ids(core)).To(Equal([]string{"a", "b"}))
		Expect(kinds(core.Step(back+reregistrationTime-time.Millisecond, registry.EndpointChanged{Endpoint: endpoint("a", 1)}))).
			To(Equal([]registry.ChangeKind{registry.Restored}))
		core.Step(back+reregistrationTime+500*time.Millisecond, registry.Tick{})
		Expect(ids(core)).To(Equal([]string{"a"}))
	})

	// Guards against taking the pauses of a watch without changes for an outage,
	// after which removed endpoints would get requests for two more seconds.
	It("does not treat the pauses of a watch without changes as an outage", func() {
		now := steadyTime
		for range 5 {
			now += 1700 * time.Millisecond
			core.Step(now, registry.StoreResponded{})
		}
		Expect(kinds(core.Step(now, registry.EndpointRemoved{ID: "a"}))).To(Equal([]registry.ChangeKind{registry.Gone}))
	})

	// Guards against state of an earlier incarnation that is kept for the next one.
	It("replaces the earlier incarnation when an endpoint restarts under its identifier", func() {
		Expect(kinds(core.Step(steadyTime, registry.EndpointChanged{Endpoint: endpoint("a", 2)}))).
			To(Equal([]registry.ChangeKind{registry.Gone, registry.Added}))
		Expect(core.Step(steadyTime, registry.EndpointChanged{Endpoint: endpoint("a", 1)})).To(BeEmpty())
	})

	// Guards against sending requests to an endpoint that has stopped and whose
	// address belongs to another one.
	It("keeps one endpoint per address", func() {
		later := endpoint("c", 2)
		later.Address = "a:1"
		Expect(kinds(core.Step(steadyTime, registry.EndpointChanged{Endpoint: later}))).
			To(Equal([]registry.ChangeKind{registry.Gone, registry.Added}))
		Expect(core.Step(steadyTime, registry.EndpointChanged{Endpoint: endpoint("a", 1)})).To(BeEmpty())
		Expect(ids(core)).To(Equal([]string{"b", "c"}))
	})

	// Guards against losing a restarted endpoint during an outage of the store, and
	// against replacing one at another address.
	It("replaces an endpoint by the one that was observed at its address", func() {
		found := endpoint("c", 2)
		found.Address = "a:1"
		core.Step(steadyTime, registry.ReplacementObserved{Endpoint: found, Replaces: "a"})
		Expect(ids(core)).To(Equal([]string{"b", "c"}))
		elsewhere := endpoint("d", 2)
		Expect(core.Step(steadyTime, registry.ReplacementObserved{Endpoint: elsewhere, Replaces: "b"})).To(BeEmpty())
	})

	// Guards against components that keep an endpoint for its former service, and against
	// blaming its running requests for a crash: the endpoint has not ended.
	It("reassigns an endpoint whose registration names another service", func() {
		corrected := endpoint("a", 1)
		corrected.Service = "t"
		Expect(core.Step(steadyTime, registry.EndpointChanged{Endpoint: corrected})).To(Equal([]registry.Change{
			{Endpoint: endpoint("a", 1), Kind: registry.Gone, Reassigned: true}, {Endpoint: corrected, Kind: registry.Added},
		}))
		restarted := endpoint("b", 2)
		restarted.Service = "t"
		Expect(core.Step(steadyTime, registry.EndpointChanged{Endpoint: restarted})).To(Equal([]registry.Change{
			{Endpoint: endpoint("b", 1), Kind: registry.Gone}, {Endpoint: restarted, Kind: registry.Added},
		}))
	})

	// Guards against requests of a replaced endpoint's service to one that has registered
	// itself for another service.
	It("keeps the registered service of an endpoint that was observed at the address of another", func() {
		known := endpoint("c", 1)
		known.Address, known.Service = "a:1", "t"
		core.Step(steadyTime, registry.EndpointChanged{Endpoint: known})
		observed := endpoint("c", 1)
		observed.Address = "a:1"
		core.Step(steadyTime, registry.ReplacementObserved{Endpoint: observed, Replaces: "a"})
		Expect(core.Endpoints()).To(Equal([]registry.Endpoint{endpoint("b", 1), known}))
	})

	// Guards against an older list of another instance that overwrites the table.
	It("uses the list of another instance only while the table is empty", func() {
		Expect(core.Step(steadyTime, registry.PeerListReceived{Endpoints: []registry.Endpoint{endpoint("z", 1)}})).To(BeEmpty())
		fresh := registry.NewCore()
		fresh.Step(0, registry.PeerListReceived{Endpoints: []registry.Endpoint{endpoint("z", 1)}})
		Expect(ids(fresh)).To(Equal([]string{"z"}))
	})
})
