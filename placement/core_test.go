package placement

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

var _ = Describe("the core", func() {
	const now = time.Second
	var (
		core *Core
		next uint64
	)

	configure := func(endpoints ...api.Endpoint) {
		core.Step(now, ConfigChanged{Config: testConfig(endpoints...)})
	}
	place := func(request api.PlacementRequest) (api.Grant, reason.Reason) {
		next++
		for _, action := range core.Step(now, PlacementRequested{ID: next, Request: request}) {
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
		next = 0
		core = NewCore(CoreOptions{Instance: "i1", Half: testHalf, Place: testPlace, Seed: 3, LinkBytesPerSecond: 1000})
	})

	It("tells why no endpoint can ever serve a request", func() {
		_, why := place(interactive())
		Expect(why).To(Equal(reason.NotReady))
		configure(testEngine("e1", "east", 1))
		unknown := interactive()
		unknown.Model.Model = "other"
		_, why = place(unknown)
		Expect(why).To(Equal(reason.ModelUnknown))
		excluded := interactive()
		excluded.Exclude = []api.EndpointID{"e1"}
		_, why = place(excluded)
		Expect(why).To(Equal(reason.NoEndpoint))
		refused := interactive()
		refused.Isolation = api.IsolationRefused
		_, why = place(refused)
		Expect(why).To(Equal(reason.CrashSuspect))
	})

	// Guards the billed link against work that could wait.
	It("prefers its region, and lets drafts wait for it", func() {
		configure(testEngine("e1", "east", 1), testEngine("w1", "west", 4))
		grant, _ := place(interactive())
		Expect(grant.CrossRegion).To(BeFalse())
		draft := interactive()
		draft.Priority = api.PriorityDraft
		_, why := place(draft)
		Expect(why).To(BeEquivalentTo("waits"))
		grant, _ = place(interactive())
		Expect(grant.CrossRegion).To(BeTrue())
	})

	// Guards a service whose only model is none.
	It("places a lookup on a service that admits the account", func() {
		service := api.Endpoint{ID: "s1", Kind: api.KindService, Half: testHalf, Accounts: []api.AccountID{"a"}, Place: testPlace}
		configure(service)
		lookup := api.PlacementRequest{Kind: api.KindService, Account: "a", Priority: api.PriorityLookup}
		grant, _ := place(lookup)
		Expect(grant.Endpoint.ID).To(Equal(api.EndpointID("s1")))
		lookup.Account = "b"
		_, why := place(lookup)
		Expect(why).To(Equal(reason.NoEndpoint))
	})

	// Guards affinity: one shared prefix goes to one engine, on every instance.
	It("sends a shared prefix to the same engine on every instance", func() {
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
		Expect(highest).To(BeNumerically(">=", 20), "%v", seen)
	})

	// Guards against hints that survive a lost eviction.
	It("drops its hints on a gap of the cache events", func() {
		configure(testEngine("e1", "east", 8), testEngine("e2", "east", 8))
		core.Step(now, CacheEventsReported{Endpoint: "e1", Events: []CacheEvent{{Sequence: 1, Block: 7}, {Sequence: 2, Block: 8}}})
		holder, _ := core.hints.deepestHolder([]uint64{7, 8}, func(*endpoint) bool { return true })
		Expect(holder).NotTo(BeNil())
		core.Step(now, CacheEventsReported{Endpoint: "e1", Events: []CacheEvent{{Sequence: 2, Block: 8}, {Sequence: 5, Block: 9}}})
		holder, _ = core.hints.deepestHolder([]uint64{7, 8}, func(*endpoint) bool { return true })
		Expect(holder).To(BeNil())
	})

	// Guards a prober's backoff: the streams of one engine fail together.
	It("counts the failures of one death once", func() {
		configure(testEngine("e1", "east", 8), testEngine("e2", "east", 8))
		var grants []api.Grant
		for range 16 {
			grant, _ := place(interactive())
			grants = append(grants, grant)
		}
		for _, grant := range grants {
			if grant.Endpoint.ID == "e1" {
				core.Step(now, GrantReleased{ID: grant.ID, Outcome: api.OutcomeDied})
			}
		}
		Expect(core.endpoints["e1"].health.failures).To(Equal(1))
		Expect(core.endpoints["e1"].health.state).To(Equal(StateDead))
	})

	// Guards all requests against shedding for the sake of a single one that
	// waits for a particular engine, or of one overloaded model.
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
		_, why := place(interactive())
		Expect(why).To(BeEquivalentTo("waits"))
		Expect(core.QueueDelay(now+time.Second, api.PriorityInteractive)).To(BeZero())
		for range 10 {
			place(interactive())
		}
		Expect(core.QueueDelay(now+time.Second, api.PriorityInteractive)).To(Equal(time.Second))
	})

	// Guards the neighbours of a dead engine: its streams share one prefix and
	// would all follow it.
	It("spreads the streams of a dead engine", func() {
		var list []api.Endpoint
		for i := range 24 {
			list = append(list, testEngine(fmt.Sprintf("e%d", i), "east", 16))
		}
		configure(list...)
		var lost []api.Grant
		for len(lost) < 16 {
			grant, _ := place(withPrefix(1, 2, 3, 4))
			if len(lost) == 0 || grant.Endpoint.ID == lost[0].Endpoint.ID {
				lost = append(lost, grant)
			}
			if next > 300 {
				break
			}
		}
		taken := map[api.EndpointID]int{}
		for _, grant := range lost {
			core.Step(now, GrantReleased{ID: grant.ID, Outcome: api.OutcomeDied})
			request := withPrefix(1, 2, 3, 4)
			request.Recovery = true
			continued, why := place(request)
			Expect(why).To(BeEmpty())
			taken[continued.Endpoint.ID]++
		}
		Expect(taken).NotTo(HaveKey(lost[0].Endpoint.ID))
		for id, count := range taken {
			Expect(count).To(BeNumerically("<=", 2), "%s", id)
		}
	})

	// Guards the callers of a lost engine among few small ones: with one
	// continuation per engine and window, the last of six waited 500 ms.
	It("starts the continuations of a small fleet within one window", func() {
		configure(testEngine("e1", "east", 8), testEngine("e2", "east", 8), testEngine("e3", "east", 8), testEngine("w1", "west", 8))
		core.Step(now, EndpointSilent{Endpoint: "e1"})
		taken := map[api.EndpointID]int{}
		for range 8 {
			request := interactive()
			request.Recovery = true
			request.Exclude = []api.EndpointID{"e1"}
			continued, why := place(request)
			Expect(why).To(BeEmpty())
			taken[continued.Endpoint.ID]++
			if len(taken) == 1 {
				Expect(taken).To(HaveKeyWithValue(continued.Endpoint.ID, 1), "the first two go to different engines")
			}
		}
		Expect(taken).To(Equal(map[api.EndpointID]int{"e2": 4, "e3": 4}))
		request := interactive()
		request.Recovery = true
		_, why := place(request)
		Expect(why).To(BeEquivalentTo("waits"), "the limit of four holds")
	})

	// Guards the other models of an engine that has not loaded a new version yet.
	It("pauses only the model that an engine refused", func() {
		engine := testEngine("e1", "east", 8)
		fresh := api.ModelRef{Model: "dream", Version: "2"}
		engine.Models = append(engine.Models, fresh)
		configure(engine)
		request := interactive()
		request.Model = fresh
		grant, _ := place(request)
		core.Step(now, GrantReleased{ID: grant.ID, Outcome: api.OutcomeRefused})
		_, why := place(request)
		Expect(why).To(BeEquivalentTo("waits"))
		grant, _ = place(interactive())
		Expect(grant.Endpoint.ID).To(Equal(api.EndpointID("e1")))
		actions := core.Step(now+minRefusalPause, Tick{})
		Expect(actions).To(ContainElement(BeAssignableToTypeOf(PlacementGranted{})))
	})

	// Guards other accounts against one that fills the queue.
	It("bounds the part of a queue that one account fills", func() {
		configure(testEngine("e1", "east", 1))
		refused := 0
		for range 400 {
			if _, why := place(interactive()); why == reason.Overloaded {
				refused++
			}
		}
		Expect(refused).To(Equal(400 - 1 - 256))
		request := interactive()
		request.Account = "b"
		_, why := place(request)
		Expect(why).To(BeEquivalentTo("waits"))
	})

	// Guards the engines against polls that grow with instances times engines.
	It("polls a share of the engines that shrinks with the fleet", func() {
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
		// Two pollers per engine and round, in rounds of 0.5 s and 2 s, shared by
		// as many instances as engines: 2*2 + 2/2 polls a second.
		Expect(polls).To(BeNumerically("~", 5*seconds, 2*seconds))
	})

	// Guards against content under suspicion that never starts because the
	// selected engine is always busy.
	It("holds the selected engine for content that runs alone", func() {
		configure(testEngine("e1", "east", 2))
		first, _ := place(interactive())
		alone := interactive()
		alone.Isolation = api.IsolationAlone
		_, why := place(alone)
		Expect(why).To(BeEquivalentTo("waits"))
		_, why = place(interactive())
		Expect(why).To(BeEquivalentTo("waits"))
		actions := core.Step(now, GrantReleased{ID: first.ID, Outcome: api.OutcomeCompleted})
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].(PlacementGranted).Grant.ID).To(Equal(uint64(2)))
	})

	// Guards against innocent content that waits although a healthy engine has a
	// free slot: one death marks more contents than there are other engines.
	It("spreads marked content evenly and makes none wait beside a free slot", func() {
		var list []api.Endpoint
		for i := range 4 {
			list = append(list, testEngine(fmt.Sprintf("e%d", i), "east", 8))
		}
		configure(list...)
		apart := withPrefix(1, 2, 3, 4)
		apart.Isolation = api.IsolationApart
		apart.Prefer = "e0"
		taken := map[api.EndpointID]int{}
		for i := range 17 {
			grant, why := place(apart)
			Expect(why).To(BeEmpty())
			Expect(taken[grant.Endpoint.ID]).To(Equal(i / 4))
			taken[grant.Endpoint.ID]++
		}
	})

	// Guards the strict isolation of content with two marks.
	It("places no marked content beside content that runs alone", func() {
		configure(testEngine("e1", "east", 8))
		alone := interactive()
		alone.Isolation = api.IsolationAlone
		_, why := place(alone)
		Expect(why).To(BeEmpty())
		apart := interactive()
		apart.Isolation = api.IsolationApart
		_, why = place(apart)
		Expect(why).To(BeEquivalentTo("waits"))
	})

	// Guards isolation against a preference for the own region: an engine
	// without marked content comes first while the link's budget lasts.
	It("sends marked content to another region only for fewer marks", func() {
		configure(testEngine("e1", "east", 8), testEngine("w1", "west", 8))
		apart := interactive()
		apart.Isolation = api.IsolationApart
		var remote []bool
		for range 4 {
			grant, why := place(apart)
			Expect(why).To(BeEmpty())
			remote = append(remote, grant.CrossRegion)
		}
		Expect(remote).To(Equal([]bool{false, true, false, true}))
	})
})
