package overflow_test

import (
	"io"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/overflow"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// fixedBalancer reports fixed loads.
type fixedBalancer struct {
	loads  []balance.ZoneLoad
	shares map[api.FailureDomain]float64
}

func (b *fixedBalancer) ZoneLoads() []balance.ZoneLoad { return b.loads }

func (b *fixedBalancer) SetZoneShares(_ string, shares map[api.FailureDomain]float64, _ float64) {
	b.shares = shares
}

var _ = Describe("Runner", func() {
	// Guards against a zone that keeps its requests because they wait at its instances instead
	// of at the engines.
	It("counts the requests that wait at the instances as demand", func() {
		waiting := 0
		now := time.Minute
		b := &fixedBalancer{loads: []balance.ZoneLoad{
			{Service: "llm", Zone: "z0", Places: 150, Running: 70, Reported: true, ReportsLoad: true, Delay: 1500 * time.Millisecond},
			{Service: "llm", Zone: "z1", Places: 150, ReportsLoad: true},
		}}
		counters := tally.NewTestScope("", nil)
		r := overflow.NewRunner(overflow.RunnerOptions{
			Options: overflow.Options{Place: api.Place{Region: "r0", FailureDomain: "z0"}, Regions: map[api.FailureDomain]api.Region{"z0": "r0", "z1": "r0"}},
			Self:    "i", Balance: b, Target: func(string) time.Duration { return 0 }, ZoneInstances: func() int { return 14 },
			Waiting: func(string) int { return waiting }, WallMS: func() uint64 { return uint64(now.Milliseconds()) },
			Clock: func() time.Duration { return now }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Scope: counters,
		})
		run := func(steps int) {
			for range steps {
				now += simStep
				r.Merge(&peerpb.Deltas{ZoneUsage: []*peerpb.ZoneUsage{{
					Instance: "other", Service: overflow.ServiceHash("llm"), FailureDomain: "z1", Running: 30, DelayMs: 1500, Version: uint64(now.Milliseconds()),
				}}})
				r.Update()
			}
		}
		run(20)
		Expect(b.shares).To(BeEmpty())
		waiting = 6
		run(20)
		Expect(b.shares["z1"]).To(BeNumerically(">", 0.1))
		Expect(counters.Snapshot().Counters()["decisions+change=started"].Value()).To(BeEquivalentTo(1))
	})
})
