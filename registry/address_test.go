package registry_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/registry"
)

var _ = Describe("Two registrations of one address", func() {
	var core *registry.Core

	// at returns an endpoint of a service at the address of endpoint a.
	at := func(id string, incarnation int64, service string) registry.Endpoint {
		e := endpoint(id, incarnation)
		e.Address, e.Service = "a:1", service
		return e
	}
	change := func(e registry.Endpoint) { core.Step(steadyTime, registry.EndpointChanged{Endpoint: e}) }
	remove := func(e registry.Endpoint) { core.Step(steadyTime, registry.EndpointRemoved{ID: e.ID}) }
	listServices := func(version uint64, services ...string) {
		core.Step(steadyTime, registry.ServicesListed{Version: version, Services: services})
	}
	old := at("a", 1, "s")

	BeforeEach(func() {
		core = registry.NewCore()
		listServices(1, "s")
		core.Step(0, registry.EndpointsListed{Endpoints: []registry.Endpoint{old}})
		// The store responds every second, so that registrations end at once.
		for now := time.Duration(0); now <= steadyTime; now += time.Second {
			core.Step(now, registry.StoreResponded{})
		}
	})

	// Guards against an entry of another writer that takes the address of an engine.
	It("leave the address to the endpoint whose service is listed", func() {
		change(at("agent", 9, "host-agent"))
		Expect(ids(core)).To(ContainElement("a"))
		change(at("b", 2, "s"))
		Expect(ids(core)).To(ConsistOf("agent", "b"))
	})

	// Guards against requests to an engine that has ended, at the address of one of a service
	// that a later version lists.
	It("give the address to the later start once its service is listed", func() {
		change(at("n", 9, "new"))
		Expect(ids(core)).To(ContainElement("a"))
		Expect(core.Step(steadyTime, registry.ServicesListed{Version: 2, Services: []string{"s", "new"}})).To(Equal([]registry.Change{
			{Endpoint: old, Kind: registry.Gone, TakenBy: "n"},
		}))
		listServices(1, "s")
		Expect(ids(core)).To(Equal([]string{"n"}))
	})

	// Guards against losing an engine whose entry was read before the configuration that
	// does not list the other service.
	It("are decided again by the first configuration", func() {
		core = registry.NewCore()
		core.Step(0, registry.EndpointsListed{Endpoints: []registry.Endpoint{old, at("agent", 9, "host-agent")}})
		Expect(ids(core)).To(Equal([]string{"agent"}))
		listServices(1, "s")
		Expect(ids(core)).To(ContainElement("a"))
	})

	// Guards against an engine that stays unused when the entry that has taken its address is
	// gone, since its own entry does not change.
	It("are decided again when the other registration ends or names another address", func() {
		other := at("b", 9, "s")
		change(other)
		remove(other)
		Expect(ids(core)).To(Equal([]string{"a"}))
		change(other)
		other.Address = "elsewhere:1"
		change(other)
		Expect(ids(core)).To(Equal([]string{"a", "b"}))
	})

	// Guards against an endpoint that is used again after its registration has ended.
	It("are forgotten with their registrations", func() {
		other := at("b", 9, "s")
		change(other)
		remove(old)
		remove(other)
		Expect(core.Endpoints()).To(BeEmpty())
		change(old)
		change(other)
		core.Step(steadyTime, registry.EndpointsListed{Endpoints: []registry.Endpoint{other}})
		remove(other)
		Expect(core.Endpoints()).To(BeEmpty())
	})

	// Guards against an entry of another writer with a listed service, whose requests the
	// engine at the address rejects.
	It("give the address to the endpoint that answers there", func() {
		agent := at("agent", 9, "s")
		change(agent)
		Expect(ids(core)).To(Equal([]string{"agent"}))
		Expect(core.Step(steadyTime, registry.AddressAnswered{Asked: agent, By: "a"})).To(Equal([]registry.Change{
			{Endpoint: agent, Kind: registry.Gone, TakenBy: "a", Refuted: true}, {Endpoint: old, Kind: registry.Added},
		}))
		agent.Slots++
		change(agent)
		Expect(ids(core)).To(Equal([]string{"a"}))
		change(at("agent", 10, "s"))
		Expect(ids(core)).To(Equal([]string{"agent"}))
	})

	// Guards against an answer that brings back an endpoint which is not registered.
	It("are not decided by the answer of an unknown endpoint", func() {
		Expect(core.Step(steadyTime, registry.AddressAnswered{Asked: old, By: "x"})).To(BeEmpty())
		Expect(ids(core)).To(Equal([]string{"a"}))
	})

	// Guards against an engine that drains and is ready again when the other entry ends.
	It("keep that an endpoint drains", func() {
		core.Step(steadyTime, registry.LeavingObserved{ID: "a", Incarnation: 1})
		other := at("b", 9, "s")
		change(other)
		remove(other)
		for _, e := range core.Endpoints() {
			Expect(e.Draining).To(BeTrue())
		}
	})
})
