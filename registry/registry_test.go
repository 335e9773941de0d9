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
	// steadyTime is a time long after the first answer of the store.
	steadyTime = time.Minute
	// reregistrationTime is how long the store may be back before an endpoint that is
	// alive has registered itself again.
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
		// The store has answered all the time.
		for now := time.Duration(0); now <= steadyTime; now += time.Second {
			core.Step(now, registry.StoreResponded{})
		}
	})

	It("removes an endpoint at once in steady state", func() {
		Expect(kinds(core.Step(steadyTime, registry.EndpointRemoved{ID: "a"}))).To(Equal([]registry.ChangeKind{registry.Gone}))
		Expect(ids(core)).To(Equal([]string{"b"}))
	})

	It("removes what a complete list lacks", func() {
		core.Step(steadyTime, registry.EndpointsListed{Endpoints: []registry.Endpoint{endpoint("b", 1)}})
		Expect(ids(core)).To(Equal([]string{"b"}))
	})

	It("reports an endpoint that begins to leave", func() {
		leaving := endpoint("a", 1)
		leaving.Draining = true
		Expect(kinds(core.Step(steadyTime, registry.EndpointChanged{Endpoint: leaving}))).To(Equal([]registry.ChangeKind{registry.Leaving}))
	})

	// Guards against losing all endpoints when their registrations lapse while
	// the store is away.
	It("keeps a registration that lapsed in an outage until its endpoint had time to return", func() {
		back := steadyTime + 10*time.Second
		Expect(kinds(core.Step(back, registry.EndpointsListed{}))).To(Equal([]registry.ChangeKind{registry.Lapsed, registry.Lapsed}))
		core.Step(back+reregistrationTime-time.Millisecond, registry.Tick{})
		Expect(ids(core)).To(Equal([]string{"a", "b"}))
		Expect(kinds(core.Step(back+reregistrationTime-time.Millisecond, registry.EndpointChanged{Endpoint: endpoint("a", 1)}))).
			To(Equal([]registry.ChangeKind{registry.Restored}))
		core.Step(back+reregistrationTime+500*time.Millisecond, registry.Tick{})
		Expect(ids(core)).To(Equal([]string{"a"}))
	})

	// Guards against quiet watches that are taken for outages, so that endpoints
	// which are gone get work for two seconds more.
	It("takes the pauses between quiet watches for no outage", func() {
		now := steadyTime
		for range 5 {
			now += 1700 * time.Millisecond
			core.Step(now, registry.StoreResponded{})
		}
		Expect(kinds(core.Step(now, registry.EndpointRemoved{ID: "a"}))).To(Equal([]registry.ChangeKind{registry.Gone}))
	})

	// Guards against state of an earlier lifetime that is kept for the next one.
	It("ends the earlier lifetime when an endpoint starts again under its identifier", func() {
		Expect(kinds(core.Step(steadyTime, registry.EndpointChanged{Endpoint: endpoint("a", 2)}))).
			To(Equal([]registry.ChangeKind{registry.Gone, registry.Added}))
		Expect(core.Step(steadyTime, registry.EndpointChanged{Endpoint: endpoint("a", 1)})).To(BeEmpty())
	})

	// Guards against sending work to a dead lifetime whose address is taken.
	It("keeps one endpoint for an address", func() {
		later := endpoint("c", 2)
		later.Address = "a:1"
		Expect(kinds(core.Step(steadyTime, registry.EndpointChanged{Endpoint: later}))).
			To(Equal([]registry.ChangeKind{registry.Gone, registry.Added}))
		Expect(core.Step(steadyTime, registry.EndpointChanged{Endpoint: endpoint("a", 1)})).To(BeEmpty())
		Expect(ids(core)).To(Equal([]string{"b", "c"}))
	})

	It("takes over an endpoint that was found at a known address", func() {
		found := endpoint("c", 2)
		found.Address = "a:1"
		core.Step(steadyTime, registry.ReplacementObserved{Endpoint: found, Replaces: "a"})
		Expect(ids(core)).To(Equal([]string{"b", "c"}))
		elsewhere := endpoint("d", 2)
		Expect(core.Step(steadyTime, registry.ReplacementObserved{Endpoint: elsewhere, Replaces: "b"})).To(BeEmpty())
	})

	It("fills only an empty table from another instance", func() {
		Expect(core.Step(steadyTime, registry.PeerListReceived{Endpoints: []registry.Endpoint{endpoint("z", 1)}})).To(BeEmpty())
		fresh := registry.NewCore()
		fresh.Step(0, registry.PeerListReceived{Endpoints: []registry.Endpoint{endpoint("z", 1)}})
		Expect(ids(fresh)).To(Equal([]string{"z"}))
	})
})
