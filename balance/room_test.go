package balance_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

// newLoadControlCore returns a core under load control, like newCore.
func newLoadControlCore(engines int) *balance.Core {
	core := balance.NewCore(balance.CoreOptions{
		Instance: "i", Place: api.Place{Region: "r1", FailureDomain: "d1"},
		Regions: map[api.FailureDomain]api.Region{"d1": "r1", "d2": "r1", "d3": "r2"}, LoadControl: true,
	})
	core.SetKVCapacity("llm", 88000)
	for i := range engines {
		core.Apply(registry.Change{Kind: registry.Added, Endpoint: engine(i)})
	}
	return core
}

var _ = Describe("A request that bounds the generations and prefills of its engine", func() {
	const now = time.Second
	bounded := func(generations, prefills int, probed ...api.EndpointID) balance.Request {
		request := newRequest("s")
		request.MaxGenerations, request.MaxPrefills, request.Probed = generations, prefills, probed
		return request
	}
	expectFull := func(core *balance.Core, request balance.Request) {
		GinkgoHelper()
		_, err := core.Choose(now, request)
		Expect(err).NotTo(BeNil())
		Expect(err.Reason).To(Equal(reason.NoSlot))
		Expect(err.Run).To(Equal(reason.RunNo))
		Expect(core.HasCapacity(now, request)).To(BeFalse())
		Expect(core.WithRoom(now, request)).To(BeEmpty())
		request.Probed = nil
		Expect(core.Candidates(now, request, 3)).To(BeEmpty())
	}
	expectRoom := func(core *balance.Core, request balance.Request) {
		GinkgoHelper()
		Expect(core.HasCapacity(now, request)).To(BeTrue())
		_, err := core.Choose(now, request)
		Expect(err).To(BeNil())
	}

	// Guards against more generations or prefills at an engine than its others can bear.
	DescribeTable("is placed only within the bounds", func(load balance.Load, generations, prefills int, room bool) {
		core := newLoadControlCore(1)
		core.UpdateLoad(now, engine(0), load)
		if room {
			expectRoom(core, bounded(generations, prefills, "e0"))
			return
		}
		expectFull(core, bounded(generations, prefills, "e0"))
	},
		Entry("below the bound", balance.Load{Running: 4, Prefilling: 0, Tokens: 32000}, 5, 1, true),
		Entry("as many generations as the bound", balance.Load{Running: 5, Prefilling: 0, Tokens: 40000}, 5, 1, false),
		Entry("as many prefills as the bound", balance.Load{Running: 2, Prefilling: 1, Tokens: 16000}, 5, 1, false),
		Entry("a bound for generations only", balance.Load{Running: 2, Prefilling: 4, Tokens: 16000}, 5, 0, true),
		Entry("a bound for prefills only", balance.Load{Running: 8, Prefilling: 0, Tokens: 64000}, 0, 1, true),
		Entry("memory full of backups", balance.Load{Running: 2, Prefilling: 0, Tokens: 81000}, 5, 1, false),
	)

	// Guards against running an engine out of memory once its waiting generations run.
	It("counts the memory that waiting generations will need", func() {
		core := newLoadControlCore(1)
		first, err := core.Choose(now, bounded(20, 20))
		Expect(err).To(BeNil())
		core.Release(now, first, balance.Completed)
		core.UpdateLoad(now, engine(0), balance.Load{Running: 10, Prefilling: 5, Tokens: 40000})
		expectRoom(core, bounded(20, 20, "e0"))
		core.UpdateLoad(now, engine(0), balance.Load{Running: 11, Prefilling: 5, Tokens: 40000})
		expectFull(core, bounded(20, 20, "e0"))
	})

	// Guards against an engine that looks idle only because its load is unknown.
	It("counts an engine without a report as having one generation more", func() {
		core := newLoadControlCore(1)
		expectFull(core, bounded(1, 1, "e0"))
		expectRoom(core, bounded(2, 1, "e0"))
	})

	// Guards against the choice of an engine that was not queried although all that were
	// are full.
	It("is not sent to an engine that was not queried", func() {
		core := newLoadControlCore(3)
		core.UpdateLoad(now, engine(0), balance.Load{Running: 5, Tokens: 40000})
		_, err := core.Choose(now, bounded(5, 1, "e0"))
		Expect(err.Reason).To(Equal(reason.NoSlot))
		Expect(core.Candidates(now, bounded(5, 1), 3)).To(HaveLen(2))
	})

	// Guards against waiting for a service that has no engines or only leaving ones.
	It("is refused with the cause if waiting does not help", func() {
		_, err := newLoadControlCore(0).Choose(now, bounded(5, 1))
		Expect(err.Reason).To(Equal(reason.NoEndpoint))
		core := newLoadControlCore(1)
		draining := engine(0)
		draining.Draining = true
		core.Apply(registry.Change{Kind: registry.StartedDraining, Endpoint: draining})
		_, err = core.Choose(now, bounded(5, 1))
		Expect(err.Reason).To(Equal(reason.EndpointLeaving))
	})

	// Guards against an engine that looks full by a report from before a generation of
	// this instance ended there, or emptier than it is by one from before it began.
	It("takes into account that a report is older than the last changes", func() {
		core := newLoadControlCore(1)
		lease, err := core.Choose(now, bounded(5, 1))
		Expect(err).To(BeNil())
		core.UpdateLoad(now+50*time.Millisecond, engine(0), balance.Load{Running: 3, Tokens: 24000})
		next, err := core.Choose(now+50*time.Millisecond, bounded(5, 2, "e0"))
		Expect(err).To(BeNil())
		Expect(next.Load).To(Equal(balance.Load{Running: 4, Prefilling: 1, Tokens: 32000}))
		later := now + time.Second
		core.RecordResponse(later, lease)
		core.Release(later, lease, balance.Completed)
		core.UpdateLoad(later+50*time.Millisecond, engine(0), balance.Load{Running: 5, Prefilling: 1, Tokens: 40000})
		last, err := core.Choose(later+50*time.Millisecond, bounded(5, 2, "e0"))
		Expect(err).To(BeNil())
		Expect(last.Load.Running).To(Equal(4))
	})
})

var _ = Describe("Backups under load control", func() {
	const now = time.Second
	// Guards against a backup that fills an engine, and against none although there is room.
	It("take no engine above 0.95 of its memory as far as reports show", func() {
		for tokens := 0; tokens <= 88000; tokens += 4000 {
			core := newLoadControlCore(3)
			lease, err := core.Choose(now, newRequest("s"))
			Expect(err).To(BeNil())
			for i := range 3 {
				core.UpdateLoad(now, engine(i), balance.Load{Running: 1, Tokens: tokens})
			}
			backup := core.ChooseBackup(now, newRequest("s"), lease.Endpoint)
			if tokens+promptTokens > 83600 {
				Expect(backup).To(BeNil(), "%d tokens", tokens)
			}
			if tokens <= 56000 {
				Expect(backup).NotTo(BeNil(), "%d tokens", tokens)
			}
		}
	})

	// Guards against streams without a backup while the average use of the memory is
	// above the bound that holds without load control.
	It("are made while three quarters of the memory are in use", func() {
		core := newLoadControlCore(24)
		for range 20 {
			for i := range 24 {
				core.UpdateLoad(now, engine(i), balance.Load{Running: 4, Tokens: 56000})
			}
		}
		made := 0
		for i := range 20 {
			lease, err := core.Choose(now, newRequest(fmt.Sprint(i)))
			Expect(err).To(BeNil())
			if core.ChooseBackup(now, newRequest(fmt.Sprint(i)), lease.Endpoint) != nil {
				made++
			}
		}
		Expect(made).To(Equal(20))
	})

	// Guards against a backup at an engine whose load is unknown although others reported.
	It("go to engines that have reported, if any has", func() {
		core := newLoadControlCore(9)
		lease, err := core.Choose(now, newRequest("s"))
		Expect(err).To(BeNil())
		Expect(core.ChooseBackup(now, newRequest("s"), lease.Endpoint)).NotTo(BeNil())
		for i := range 9 {
			if engine(i).Domain != lease.Endpoint.Domain {
				core.UpdateLoad(now, engine(i), balance.Load{Running: 1, Tokens: 8000})
				backup := core.ChooseBackup(now, newRequest("s"), lease.Endpoint)
				Expect(backup).NotTo(BeNil())
				Expect(backup.Endpoint.ID).To(Equal(engine(i).ID))
				break
			}
		}
	})
})
