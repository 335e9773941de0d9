package balance_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

func TestBalance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "balance")
}

var domains = []api.FailureDomain{"d1", "d2", "d3"}

const promptTokens = 8000

// newCore returns a core with engines spread over three failure domains.
func newCore(instance string, engines int) *balance.Core {
	core := balance.NewCore(balance.CoreOptions{
		Instance: api.InstanceID(instance),
		Place:    api.Place{Region: "r1", FailureDomain: "d1"},
		Regions:  map[api.FailureDomain]api.Region{"d1": "r1", "d2": "r1", "d3": "r2"},
	})
	core.SetKVCapacity("llm", 88000)
	for i := range engines {
		core.Apply(registry.Change{Kind: registry.Added, Endpoint: engine(i)})
	}
	return core
}

func engine(i int) registry.Endpoint {
	return registry.Endpoint{
		ID: api.EndpointID(fmt.Sprint("e", i)), Incarnation: 1, Service: "llm",
		Address: fmt.Sprint("10.0.0.", i, ":1"), Domain: domains[i%3], Slots: 64,
	}
}

func newRequest(session string) balance.Request {
	return balance.Request{Service: "llm", Tokens: promptTokens, Session: session}
}

var _ = Describe("Core", func() {
	// Guards against placing requests on endpoints that cannot take them.
	It("does not choose an endpoint that is draining, removed or excluded", func() {
		core := newCore("i", 3)
		draining := engine(0)
		draining.Draining = true
		core.Apply(registry.Change{Kind: registry.StartedDraining, Endpoint: draining})
		core.Apply(registry.Change{Kind: registry.Gone, Endpoint: engine(1)})
		request := newRequest("s")
		lease, err := core.Choose(0, request)
		Expect(err).To(BeNil())
		Expect(lease.Endpoint.ID).To(BeEquivalentTo("e2"))
		request.Exclude = []api.EndpointID{"e2"}
		_, err = core.Choose(0, request)
		Expect(err.Reason).To(Equal(reason.AttemptsExhausted))
	})

	// Guards against a refusal that does not say that the service has no endpoints.
	It("returns the reason when no endpoint can be chosen", func() {
		core := newCore("i", 0)
		_, err := core.Choose(0, newRequest("s"))
		Expect(err.Reason).To(Equal(reason.NoEndpoint))
		Expect(err.Run).To(Equal(reason.RunNo))
	})

	// Guards against running an engine out of memory, which preempts streams.
	It("refuses generations beyond the memory of the engines", func() {
		core := newCore("i", 3)
		for i := range 3 * (88000 / promptTokens) {
			_, err := core.Choose(0, newRequest(fmt.Sprint(i)))
			Expect(err).To(BeNil())
		}
		_, err := core.Choose(0, newRequest("more"))
		Expect(err.Reason).To(Equal(reason.NoSlot))
		Expect(err.Run).To(Equal(reason.RunNo))
	})

	// Guards against losing a backup together with its generation.
	It("chooses a backup in another failure domain", func() {
		core := newCore("i", 9)
		for i := range 20 {
			request := newRequest(fmt.Sprint(i))
			lease, err := core.Choose(0, request)
			Expect(err).To(BeNil())
			if backup := core.ChooseBackup(0, request, lease.Endpoint); backup != nil {
				Expect(backup.Endpoint.Domain).NotTo(Equal(lease.Endpoint.Domain))
			}
		}
	})

	// Load: one generation after the other; each session comes back once at
	// another instance. Guards against repeating the prefill of a session at
	// another engine.
	It("prefers the same engine for a session at every instance", func() {
		same := 0
		for i := range 100 {
			first, _ := newCore("i1", 24).Choose(0, newRequest(fmt.Sprint("session", i)))
			second, _ := newCore("i2", 24).Choose(0, newRequest(fmt.Sprint("session", i)))
			if first.Endpoint.ID == second.Endpoint.ID {
				same++
			}
		}
		Expect(same).To(Equal(100))
	})

	// Load: three engines report load of other instances, the load of all others
	// is unknown. Guards against choosing an engine because its load is unknown.
	It("chooses among the engines whose load was probed if one has capacity", func() {
		core := newCore("i", 24)
		for _, i := range []int{3, 4, 5} {
			core.UpdateLoad(0, engine(i), balance.Load{Running: 10 - i, Prefilling: 2})
		}
		request := newRequest("s")
		request.Probed = []api.EndpointID{"e3", "e4", "e5"}
		lease, err := core.Choose(0, request)
		Expect(err).To(BeNil())
		Expect(lease.Endpoint.ID).To(BeEquivalentTo("e5"))
		request.Exclude = request.Probed
		other, err := core.Choose(0, request)
		Expect(err).To(BeNil())
		Expect(request.Probed).NotTo(ContainElement(other.Endpoint.ID))
	})

	// Guards against repeating a prefill although an engine holds its KV cache.
	It("prefers an engine that holds the prompt's KV cache", func() {
		core := newCore("i", 24)
		request := newRequest("s")
		request.Prefer = []api.EndpointID{"e17"}
		lease, _ := core.Choose(0, request)
		Expect(lease.Endpoint.ID).To(BeEquivalentTo("e17"))
	})

	// Load: the engines of one failure domain crash at once. Guards against
	// callers that try the crashed engines one after the other.
	It("avoids a failure domain in which several engines failed at once", func() {
		core := newCore("i", 24)
		now := time.Minute
		lost := 0
		for i := 0; lost < 2; i++ {
			lease, _ := core.Choose(now, newRequest(fmt.Sprint("running", i)))
			if lease.Endpoint.Domain == "d2" {
				core.Release(now, lease, balance.Interrupted)
				lost++
			}
		}
		for i := range 30 {
			lease, err := core.Choose(now+50*time.Millisecond, newRequest(fmt.Sprint("next", i)))
			Expect(err).To(BeNil())
			Expect(lease.Endpoint.Domain).NotTo(BeEquivalentTo("d2"))
		}
	})

	// Guards against an engine that is avoided permanently after one failure.
	It("uses a suspect engine again when its suspicion ends", func() {
		core := newCore("i", 1)
		lease, _ := core.Choose(time.Minute, newRequest("a"))
		core.Release(time.Minute, lease, balance.Unreachable)
		Expect(core.IsAvailable(time.Minute, engine(0))).To(BeFalse())
		again, _ := core.Choose(time.Minute+time.Second, newRequest("b"))
		Expect(again.Suspected).To(BeFalse())
		core.RecordResponse(time.Minute+time.Second, again)
		Expect(core.IsAvailable(time.Minute+time.Second, engine(0))).To(BeTrue())
	})

	// Guards against leases whose capacity is never freed, or freed twice.
	It("frees the capacity of each lease once", func() {
		core := newCore("i", 1)
		for range 200 {
			lease, err := core.Choose(0, newRequest("s"))
			Expect(err).To(BeNil())
			core.Release(0, lease, balance.Completed)
			core.Release(0, lease, balance.Completed)
		}
		for range 11 {
			_, err := core.Choose(0, newRequest("s"))
			Expect(err).To(BeNil())
		}
		_, err := core.Choose(0, newRequest("s"))
		Expect(err).NotTo(BeNil())
	})

	// Load: one of three endpoints of a plain service fails about half of its requests
	// while its health check passes. Guards against routing a third of all
	// requests there.
	It("moves requests away from an endpoint with a high error rate", func() {
		core := newCore("i", 3)
		counts := make(map[api.EndpointID]int)
		plain := balance.Request{Service: "llm"}
		for i := range 600 {
			now := time.Duration(i) * 10 * time.Millisecond
			lease, _ := core.Choose(now, plain)
			counts[lease.Endpoint.ID]++
			outcome := balance.Completed
			if lease.Endpoint.ID == "e0" && i%2 == 0 {
				outcome = balance.Failed
			}
			core.Release(now+15*time.Millisecond, lease, outcome)
		}
		Expect(counts["e0"]).To(BeNumerically("<", 100))
	})
})

// BenchmarkChoose measures one choice among 840 engines, the planned size of the
// fleet.
func BenchmarkChoose(b *testing.B) {
	core := newCore("i", 840)
	for i := 0; b.Loop(); i++ {
		lease, err := core.Choose(time.Duration(i), newRequest("s"))
		if err != nil {
			b.Fatal(err)
		}
		core.Release(time.Duration(i), lease, balance.Completed)
	}
}
