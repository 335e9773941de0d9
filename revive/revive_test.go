package revive_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/revive"
	"github.com/hibiscusstair/hibiscusstair/routing"
)

func TestRevive(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "revive")
}

// fakeIdentifier returns the configured endpoint of an address.
type fakeIdentifier struct {
	mu        sync.Mutex
	endpoints map[string]revive.Identity
	queries   int
}

func (f *fakeIdentifier) FetchIdentity(_ context.Context, address, _ string) (revive.Identity, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queries++
	identity, ok := f.endpoints[address]
	if !ok {
		return identity, errors.New("connection refused")
	}
	return identity, nil
}

func (f *fakeIdentifier) set(address string, identity revive.Identity) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[address] = identity
}

func (f *fakeIdentifier) queryCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.queries
}

var _ = Describe("RestartDetector", func() {
	var (
		identifier       *fakeIdentifier
		reg              *registry.Registry
		detector         *revive.RestartDetector
		storeUnreachable atomic.Bool
		tableConfirmed   atomic.Bool
		table            *routing.CurrentTable
	)

	engine := func(id, address string) registry.Endpoint {
		return registry.Endpoint{ID: api.EndpointID(id), Incarnation: 1, Service: "llm", Address: address, Domain: "d", Slots: 4}
	}
	endpointIDs := func() []api.EndpointID {
		var list []api.EndpointID
		for _, e := range reg.Endpoints() {
			list = append(list, e.ID)
		}
		return list
	}
	applyServices := func(list ...routing.Service) {
		table.Apply(routing.New(table.Version()+1, nil, list, nil, routing.Limits{}))
	}
	llm := routing.Service{Name: "llm", Engine: &routing.Engine{Models: []string{"m"}}}

	BeforeEach(func() {
		identifier = &fakeIdentifier{endpoints: make(map[string]revive.Identity)}
		table = &routing.CurrentTable{}
		applyServices(llm, routing.Service{Name: "desk"})
		reg = registry.New(registry.Options{
			Clock: bootclock.Now, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, OnChange: func(registry.Change) {},
		})
		reg.Apply(registry.EndpointsListed{Endpoints: []registry.Endpoint{engine("a1", "a:1"), engine("b1", "b:1")}})
		storeUnreachable.Store(true)
		tableConfirmed.Store(true)
		detector = revive.New(revive.Options{
			Client: identifier, Table: table, Registry: reg, StoreUnreachable: storeUnreachable.Load, TableConfirmed: tableConfirmed.Load, Versioned: true,
			Clock: bootclock.Now, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = detector.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
	})

	// Guards against requests to a version that no rollout allows, at an address of an
	// engine of another version that has ended.
	DescribeTable("keeps the version of a replaced engine only if the service has no other",
		func(other, want string) {
			old, second := engine("a1", "a:1"), engine("b1", "b:1")
			old.Version, second.Version = "v1", other
			reg.Apply(registry.EndpointsListed{Endpoints: []registry.Endpoint{old, second}})
			identifier.set("a:1", revive.Identity{ID: "a2", Incarnation: 2, Models: []string{"m"}})
			detector.ReportFailure(old)
			Eventually(endpointIDs, "3s").Should(ContainElement(api.EndpointID("a2")))
			Expect(reg.Endpoints()[0].Version).To(Equal(want))
		},
		Entry("one version", "v1", "v1"),
		Entry("two versions", "v2", registry.UnknownVersion),
	)

	// Guards against losing every engine that crashes during an outage of the
	// store; here the other engine of its failure domain restarts too.
	It("finds engines that restarted under new identifiers", func() {
		identifier.set("a:1", revive.Identity{ID: "a2", Incarnation: 2, Models: []string{"m"}})
		identifier.set("b:1", revive.Identity{ID: "b2", Incarnation: 2, Models: []string{"m"}})
		detector.ReportFailure(engine("a1", "a:1"))
		Eventually(endpointIDs, "3s").Should(ConsistOf(api.EndpointID("a2"), api.EndpointID("b2")))
	})

	// Guards against removing an engine that only failed to accept a connection.
	It("keeps an engine that was not replaced", func() {
		identifier.set("a:1", revive.Identity{ID: "a1", Incarnation: 1, Models: []string{"m"}})
		identifier.set("b:1", revive.Identity{ID: "b1", Incarnation: 1, Models: []string{"m"}})
		detector.ReportFailure(engine("a1", "a:1"))
		Eventually(identifier.queryCount, "3s").Should(Equal(2))
		Expect(endpointIDs()).To(ConsistOf(api.EndpointID("a1"), api.EndpointID("b1")))
	})

	// Addresses of removed endpoints are reassigned to other services.
	DescribeTable("does not use an endpoint whose service cannot be determined",
		func(found revive.Identity, other routing.Service) {
			applyServices(llm, other)
			identifier.set("a:1", found)
			detector.ReportFailure(engine("a1", "a:1"))
			Eventually(identifier.queryCount, "3s").Should(BeNumerically(">=", 2))
			Expect(endpointIDs()).To(ConsistOf(api.EndpointID("a1"), api.EndpointID("b1")))
		},
		Entry("a plain service", revive.Identity{ID: "x"}, routing.Service{Name: "desk"}),
		Entry("another model", revive.Identity{ID: "x", Models: []string{"n"}}, routing.Service{Name: "desk"}),
		Entry("a model of two services", revive.Identity{ID: "x", Models: []string{"m"}},
			routing.Service{Name: "llm2", Engine: &routing.Engine{Models: []string{"m"}}}),
	)

	// Guards against requests to an engine of a service that only a configuration lists
	// which this instance has not read, and against losing an engine for good because of it.
	It("uses a restarted engine only once the configuration is confirmed", func() {
		tableConfirmed.Store(false)
		identifier.set("a:1", revive.Identity{ID: "a2", Incarnation: 2, Models: []string{"m"}})
		detector.ReportFailure(engine("a1", "a:1"))
		Eventually(identifier.queryCount, "3s").Should(BeNumerically(">=", 4))
		Expect(endpointIDs()).To(ConsistOf(api.EndpointID("a1"), api.EndpointID("b1")))
		tableConfirmed.Store(true)
		Eventually(endpointIDs, "3s").Should(ContainElement(api.EndpointID("a2")))
	})

	// Guards against needless load on engines.
	It("queries no address while the store responds", func() {
		storeUnreachable.Store(false)
		detector.ReportFailure(engine("a1", "a:1"))
		Consistently(identifier.queryCount, "1300ms").Should(BeZero())
	})
})
