package balance_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

// newOverflowCore returns a core in d1 with zone overflow.
func newOverflowCore(engines int) *balance.Core {
	core := balance.NewCore(balance.CoreOptions{
		Instance: "i", Place: api.Place{Region: "r1", FailureDomain: "d1"}, ZoneOverflow: true,
		Regions: map[api.FailureDomain]api.Region{"d1": "r1", "d2": "r1", "d3": "r2"},
	})
	core.SetKVCapacity("llm", 88000)
	for i := range engines {
		core.Apply(registry.Change{Kind: registry.Added, Endpoint: engine(i)})
	}
	return core
}

var _ = Describe("Core with zone overflow", func() {
	place := func(core *balance.Core, now time.Duration, session string) api.FailureDomain {
		request := newRequest(session)
		candidates := core.Candidates(now, request, 1)
		lease, err := core.Choose(now, request)
		Expect(err).To(BeNil())
		Expect(candidates[0].ID).To(Equal(lease.Endpoint.ID))
		core.Release(now, lease, balance.Cancelled)
		return lease.Endpoint.Domain
	}

	// Guards against requests that cross zones without need, and against shares that the
	// placement doesn't follow.
	It("keeps requests in the zone, and sends the decided share of the sessions away", func() {
		core := newOverflowCore(30)
		for i := range 200 {
			Expect(place(core, 0, fmt.Sprint(i))).To(BeEquivalentTo("d1"))
		}
		core.SetZoneShares("llm", map[api.FailureDomain]float64{"d2": 0.3, "d3": 0.1}, 0.3)
		count := make(map[api.FailureDomain]int)
		for i := range 2000 {
			domain := place(core, 0, fmt.Sprint(i))
			Expect(place(core, 0, fmt.Sprint(i))).To(Equal(domain))
			count[domain]++
		}
		GinkgoWriter.Println("of 2000 sessions:", count)
		Expect(count["d2"]).To(BeNumerically("~", 600, 80))
		Expect(count["d3"]).To(BeNumerically("~", 200, 60))
		core.SetZoneShares("plain", map[api.FailureDomain]float64{"d2": 0.25}, 0.3)
		for i := 100; i < 106; i++ {
			plain := engine(i)
			plain.Service = "plain"
			core.Apply(registry.Change{Kind: registry.Added, Endpoint: plain})
		}
		away := 0
		for range 400 {
			lease, err := core.Choose(0, balance.Request{Service: "plain"})
			Expect(err).To(BeNil())
			if lease.Endpoint.Domain == "d2" {
				away++
			}
			core.Release(0, lease, balance.Cancelled)
		}
		Expect(away).To(BeNumerically("~", 100, 10))
	})

	// Guards against requests that follow a crashed zone because it is near.
	It("leaves a crashed zone with the next request, and uses its engines again after 1.2 s", func() {
		core := newOverflowCore(30)
		now := time.Minute
		for range 2 {
			lease, err := core.Choose(now, newRequest("s"))
			Expect(err).To(BeNil())
			Expect(lease.Endpoint.Domain).To(BeEquivalentTo("d1"))
			core.Release(now, lease, balance.Unreachable)
		}
		for i := range 100 {
			Expect(place(core, now, fmt.Sprint(i))).To(BeEquivalentTo("d2"))
		}
		for _, load := range core.ZoneLoads(now) {
			Expect(load.Places == 0).To(Equal(load.Zone == "d1"), "zone %s", load.Zone)
		}
		now += 1200 * time.Millisecond
		returned := 0
		for i := range 100 {
			if place(core, now, fmt.Sprint(i)) == "d1" {
				returned++
			}
		}
		Expect(returned).To(BeNumerically(">", 90))
	})

	// Guards against requests that wait at a busy zone until the shares have moved.
	It("leaves the zone if that saves the wait for more than one prompt", func() {
		core := newOverflowCore(6)
		for _, id := range []int{0, 3} {
			core.UpdateLoad(0, engine(id), balance.Load{Running: 2, Prefilling: 2})
		}
		Expect(place(core, 0, "s")).To(BeEquivalentTo("d2"))
	})

	// Guards against an engine that fails a part of its requests or stalls and gets as many as
	// others, and against one that gets none for ever.
	It("sends less to an engine that fails requests or stalls, and tries it again", func() {
		for _, kind := range []string{"fails", "stalls"} {
			core := newOverflowCore(9) // three in each zone
			placed := func(from, to time.Duration, faulty bool) int {
				count := 0
				for now := from; now < to; now += 100 * time.Millisecond {
					lease, err := core.Choose(now, newRequest(fmt.Sprint(now)))
					Expect(err).To(BeNil())
					outcome := balance.Completed
					if lease.Endpoint.ID == "e0" {
						count++
						if faulty && kind == "fails" && count%4 == 0 {
							outcome = balance.Failed
						}
					}
					at := now
					for event := range 20 {
						at += 30 * time.Millisecond
						if lease.Endpoint.ID == "e0" && faulty && kind == "stalls" && event%10 == 5 {
							at += 900 * time.Millisecond
						}
						core.RecordResponse(at, lease)
					}
					core.Release(now+50*time.Millisecond, lease, outcome)
				}
				return count
			}
			usual := placed(time.Minute, 2*time.Minute, false)
			faulty := placed(2*time.Minute, 3*time.Minute, true)
			recovered := placed(200*time.Second, 260*time.Second, false)
			GinkgoWriter.Println(kind, "requests at the engine in a minute: usual", usual, "faulty", faulty, "recovered", recovered)
			Expect(faulty).To(BeNumerically("<", usual*8/10))
			Expect(faulty).To(BeNumerically(">", 0))
			Expect(recovered).To(BeNumerically(">", usual*8/10))
		}
	})
})
