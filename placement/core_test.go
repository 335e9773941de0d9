package placement

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

var _ = Describe("the placement core", func() {
	const now = time.Second
	var (
		core   *Core
		lastID uint64
	)

	configure := func(endpoints ...api.Endpoint) {
		core.Step(now, ConfigChanged{Config: testConfig(endpoints...)})
	}
	// place returns the grant, or the reason of the refusal, which is "waits" if
	// the request is neither granted nor refused.
	place := func(request api.PlacementRequest) (api.Grant, reason.Reason) {
		lastID++
		for _, action := range core.Step(now, PlacementRequested{ID: lastID, Request: request}) {
			switch a := action.(type) {
			case PlacementGranted:
				return a.Grant, ""
			case PlacementRefused:
				return api.Grant{}, a.Err.Reason
			}
		}
		return api.Grant{}, "waits"
	}
	withPrefix := func(blocks ...uint64) api.PlacementRequest {
		request := interactive()
		request.PrefixBlocks = blocks
		return request
	}

	BeforeEach(func() {
		lastID = 0
		core = NewCore(CoreOptions{Instance: "i1", Half: testHalf, Place: testPlace, Seed: 3, LinkBytesPerSecond: 1000})
	})

	// Guards against requests that wait although no endpoint can ever serve them.
	It("refuses a request that no endpoint can ever serve, with the reason", func() {
		_, refusal := place(interactive())
		Expect(refusal).To(Equal(reason.NotReady))
		configure(testEngine("e1", "east", 1))
		unknown := interactive()
		unknown.Model.Model = "other"
		_, refusal = place(unknown)
		Expect(refusal).To(Equal(reason.ModelUnknown))
		excluded := interactive()
		excluded.Exclude = []api.EndpointID{"e1"}
		_, refusal = place(excluded)
		Expect(refusal).To(Equal(reason.NoEndpoint))
		refused := interactive()
		refused.Isolation = api.IsolationRefused
		_, refusal = place(refused)
		Expect(refusal).To(Equal(reason.CrashSuspect))
	})

	// Guards against use of the billed link for work that could wait for the local
	// region.
	It("prefers the local region, and lets drafts wait for it", func() {
		configure(testEngine("e1", "east", 1), testEngine("w1", "west", 4))
		grant, _ := place(interactive())
		Expect(grant.CrossRegion).To(BeFalse())
		draft := interactive()
		draft.Priority = api.PriorityDraft
		_, refusal := place(draft)
		Expect(refusal).To(BeEquivalentTo("waits"))
		grant, _ = place(interactive())
		Expect(grant.CrossRegion).To(BeTrue())
	})

	// Guards against lookups that are refused because services have no model.
	It("places a lookup on a service that admits the account", func() {
		service := api.Endpoint{ID: "s1", Kind: api.KindService, Half: testHalf, Accounts: []api.AccountID{"a"}, Place: testPlace}
		configure(service)
		lookup := api.PlacementRequest{Kind: api.KindService, Account: "a", Priority: api.PriorityLookup}
		grant, _ := place(lookup)
		Expect(grant.Endpoint.ID).To(Equal(api.EndpointID("s1")))
		lookup.Account = "b"
		_, refusal := place(lookup)
		Expect(refusal).To(Equal(reason.NoEndpoint))
	})

	// Guards against instances that each choose another engine for a prefix, which
	// is then computed and cached several times.
	It("places requests with a shared prefix on the same engine on every instance", func() {
		seen := map[api.EndpointID]int{}
		for _, instance := range []api.InstanceID{"i1", "i2", "i3"} {
			core = NewCore(CoreOptions{Instance: instance, Half: testHalf, Place: testPlace, Seed: uint64(len(seen))})
			configure(testEngine("e1", "east", 64), testEngine("e2", "east", 64), testEngine("e3", "east", 64))
			for own := range uint64(8) {
				grant, _ := place(withPrefix(1, 2, 3, 4, 100, 101, 1000+own))
				seen[grant.Endpoint.ID]++
			}
		}
		highest := 0
		for _, count := range seen {
			highest = max(highest, count)
		}
		// Of 24 grants a few may go elsewhere because of the load bound.
		Expect(highest).To(BeNumerically(">=", 20), "%v", seen)
	})

	// Guards against hints that remain after an eviction event was lost.
	It("drops the hints about an endpoint after a gap in its cache events", func() {
		configure(testEngine("e1", "east", 8), testEngine("e2", "east", 8))
		core.Step(now, CacheEventsReported{Endpoint: "e1", Events: []CacheEvent{{Sequence: 1, Block: 7}, {Sequence: 2, Block: 8}}})
		holder, _ := core.hints.deepestHolder([]uint64{7, 8}, func(*endpoint) bool { return true })
		Expect(holder).NotTo(BeNil())
		core.Step(now, CacheEventsReported{Endpoint: "e1", Events: []CacheEvent{{Sequence: 2, Block: 8}, {Sequence: 5, Block: 9}}})
		holder, _ = core.hints.deepestHolder([]uint64{7, 8}, func(*endpoint) bool { return true })
		Expect(holder).To(BeNil())
	})

	// Guards against a long probe backoff after one crash: all streams of the engine
	// fail at the same time.
	It("counts a crash once, however many streams fail", func() {
		configure(testEngine("e1", "east", 8), testEngine("e2", "east", 8))
		var grants []api.Grant
		for range 16 {
			grant, _ := place(interactive())
			grants = append(grants, grant)
		}
		for _, grant := range grants {
			if grant.Endpoint.ID == "e1" {
				core.Step(now, GrantReleased{ID: grant.ID, Outcome: api.OutcomeCrashed})
			}
		}
		Expect(core.endpoints["e1"].health.failures).To(Equal(1))
		Expect(core.endpoints["e1"].health.state).To(Equal(StateDead))
	})

	// Guards against shedding of all requests because a single one waits for a
	// particular engine, or because one model is overloaded.
	It("reports a queueing delay only if most requests are delayed", func() {
		other := testEngine("e2", "east", 64)
		other.Models = []api.ModelRef{{Model: "other"}}
		configure(testEngine("e1", "east", 1), other)
		request := interactive()
		request.Model = api.ModelRef{Model: "other"}
		for range 10 {
			place(request)
		}
		place(interactive())
		_, refusal := place(interactive())
		Expect(refusal).To(BeEquivalentTo("waits"))
		Expect(core.QueueDelay(now+time.Second, api.PriorityInteractive)).To(BeZero())
		for range 10 {
			place(interactive())
		}
		Expect(core.QueueDelay(now+time.Second, api.PriorityInteractive)).To(Equal(time.Second))
	})

	// Guards against overload of one engine after a crash: the streams of the
	// crashed engine share a prefix, so affinity would send all to the same engine.
	It("spreads the continuations of a crashed engine", func() {
		var list []api.Endpoint
		for i := range 24 {
			list = append(list, testEngine(fmt.Sprintf("e%d", i), "east", 16))
		}
		configure(list...)
		var crashed []api.Grant
		for len(crashed) < 16 {
			grant, _ := place(withPrefix(1, 2, 3, 4))
			if len(crashed) == 0 || grant.Endpoint.ID == crashed[0].Endpoint.ID {
				crashed = append(crashed, grant)
			}
			// Ends the loop if affinity doesn't fill one engine.
			if lastID > 300 {
				break
			}
		}
		grantsOn := map[api.EndpointID]int{}
		for _, grant := range crashed {
			core.Step(now, GrantReleased{ID: grant.ID, Outcome: api.OutcomeCrashed})
			request := withPrefix(1, 2, 3, 4)
			request.Recovery = true
			continued, refusal := place(request)
			Expect(refusal).To(BeEmpty())
			grantsOn[continued.Endpoint.ID]++
		}
		Expect(grantsOn).NotTo(HaveKey(crashed[0].Endpoint.ID))
		for id, count := range grantsOn {
			Expect(count).To(BeNumerically("<=", 2), "%s", id)
		}
	})

	// Guards against slow recovery in a small fleet: with one continuation per engine
	// and window, the last of six would wait 500 ms.
	It("starts the continuations in a small fleet within one window", func() {
		configure(testEngine("e1", "east", 8), testEngine("e2", "east", 8), testEngine("e3", "east", 8), testEngine("w1", "west", 8))
		core.Step(now, EndpointSilent{Endpoint: "e1"})
		grantsOn := map[api.EndpointID]int{}
		for range 8 {
			request := interactive()
			request.Recovery = true
			request.Exclude = []api.EndpointID{"e1"}
			continued, refusal := place(request)
			Expect(refusal).To(BeEmpty())
			grantsOn[continued.Endpoint.ID]++
			if len(grantsOn) == 1 {
				Expect(grantsOn).To(HaveKeyWithValue(continued.Endpoint.ID, 1), "the first two continuations are on different engines")
			}
		}
		Expect(grantsOn).To(Equal(map[api.EndpointID]int{"e2": 4, "e3": 4}))
		request := interactive()
		request.Recovery = true
		_, refusal := place(request)
		Expect(refusal).To(BeEquivalentTo("waits"), "an engine takes at most four continuations per window")
	})

	// Guards against a pause of all models of an engine that only hasn't loaded a
	// new version yet.
	It("pauses only the model that an engine refused", func() {
		engine := testEngine("e1", "east", 8)
		newVersion := api.ModelRef{Model: "dream", Version: "2"}
		engine.Models = append(engine.Models, newVersion)
		configure(engine)
		request := interactive()
		request.Model = newVersion
		grant, _ := place(request)
		core.Step(now, GrantReleased{ID: grant.ID, Outcome: api.OutcomeRefused})
		_, refusal := place(request)
		Expect(refusal).To(BeEquivalentTo("waits"))
		grant, _ = place(interactive())
		Expect(grant.Endpoint.ID).To(Equal(api.EndpointID("e1")))
		actions := core.Step(now+minRefusalPause, Tick{})
		Expect(actions).To(ContainElement(BeAssignableToTypeOf(PlacementGranted{})))
	})

	// Guards against one client account that fills the queue for all others.
	It("limits the part of a queue that one client account may fill", func() {
		configure(testEngine("e1", "east", 1))
		refused := 0
		for range 400 {
			if _, refusal := place(interactive()); refusal == reason.Overloaded {
				refused++
			}
		}
		// One request runs, and 256 wait: half of the queue for 512.
		Expect(refused).To(Equal(400 - 1 - 256))
		request := interactive()
		request.Account = "b"
		_, refusal := place(request)
		Expect(refusal).To(BeEquivalentTo("waits"))
	})

	// Guards against polls whose number grows with instances times engines.
	It("polls a share of the engines that shrinks as the fleet grows", func() {
		var list []api.Endpoint
		for i := range 100 {
			list = append(list, testEngine(fmt.Sprintf("e%d", i), "east", 8))
		}
		configure(list...)
		core.Step(now, FleetResized{Instances: 100})
		polls := 0
		const seconds = 60
		for at := now; at < now+seconds*time.Second; at += 20 * time.Millisecond {
			for _, action := range core.Step(at, Tick{}) {
				switch action.(type) {
				case PollLoad, PollCacheEvents:
					polls++
				}
			}
		}
		// Each engine is polled by two instances every 0.5 s for its load and every
		// 2 s for cache events. With as many instances as engines, each instance
		// makes 2*2 + 2/2 polls per second.
		Expect(polls).To(BeNumerically("~", 5*seconds, 2*seconds))
	})

	// Guards against isolated content that never starts because the selected engine
	// always runs other work.
	It("reserves the selected engine for isolated content", func() {
		configure(testEngine("e1", "east", 2))
		first, _ := place(interactive())
		isolated := interactive()
		isolated.Isolation = api.IsolationExclusive
		_, refusal := place(isolated)
		Expect(refusal).To(BeEquivalentTo("waits"))
		_, refusal = place(interactive())
		Expect(refusal).To(BeEquivalentTo("waits"))
		actions := core.Step(now, GrantReleased{ID: first.ID, Outcome: api.OutcomeCompleted})
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].(PlacementGranted).Grant.ID).To(Equal(uint64(2)))
	})

	// Guards against marked content that waits although an engine has a free slot:
	// one crash marks the content of all generations on the engine, which can be more
	// than there are other engines.
	It("spreads marked content evenly and doesn't let it wait while a slot is free", func() {
		var list []api.Endpoint
		for i := range 4 {
			list = append(list, testEngine(fmt.Sprintf("e%d", i), "east", 8))
		}
		configure(list...)
		apart := withPrefix(1, 2, 3, 4)
		apart.Isolation = api.IsolationSeparate
		apart.Prefer = "e0"
		grantsOn := map[api.EndpointID]int{}
		for i := range 17 {
			grant, refusal := place(apart)
			Expect(refusal).To(BeEmpty())
			Expect(grantsOn[grant.Endpoint.ID]).To(Equal(i / 4))
			grantsOn[grant.Endpoint.ID]++
		}
	})

	// Guards against marked content on an engine that runs isolated content (with two
	// crash marks): another crash would mark both.
	It("places no marked content on an engine that runs isolated content", func() {
		configure(testEngine("e1", "east", 8))
		isolated := interactive()
		isolated.Isolation = api.IsolationExclusive
		_, refusal := place(isolated)
		Expect(refusal).To(BeEmpty())
		apart := interactive()
		apart.Isolation = api.IsolationSeparate
		_, refusal = place(apart)
		Expect(refusal).To(BeEquivalentTo("waits"))
	})

	// Guards against a preference for the local region over isolation: an engine
	// without marked content comes first while the link's budget allows.
	It("places marked content in another region only if less of it runs there", func() {
		configure(testEngine("e1", "east", 8), testEngine("w1", "west", 8))
		apart := interactive()
		apart.Isolation = api.IsolationSeparate
		var remote []bool
		for range 4 {
			grant, refusal := place(apart)
			Expect(refusal).To(BeEmpty())
			remote = append(remote, grant.CrossRegion)
		}
		Expect(remote).To(Equal([]bool{false, true, false, true}))
	})
})
