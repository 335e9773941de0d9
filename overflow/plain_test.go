package overflow_test

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/overflow"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

const (
	plainStep = 5 * time.Millisecond
)

// plainRun is a request at a simulated server.
type plainRun struct {
	balancer *balance.Balancer
	lease    *balance.Lease
	arrived  time.Duration
	endsAt   time.Duration // 0 while it waits for a slot
}

// plainServer runs six requests at a time, one after the other in the order of arrival.
type plainServer struct {
	endpoint registry.Endpoint
	down     bool
	runs     []*plainRun
}

// plainFleet simulates instances with the real balancer and overflow runner in six zones.
type plainFleet struct {
	now       time.Duration
	work      time.Duration // of a request
	random    *rand.Rand
	servers   []*plainServer
	balancers []*balance.Balancer
	runners   []*overflow.Runner
	latencies []time.Duration
	refused   int
}

func newPlainFleet(instances int, work time.Duration, enabled bool) *plainFleet {
	f := &plainFleet{work: work, random: rand.New(rand.NewPCG(20261206, 0))}
	regions := make(map[api.FailureDomain]api.Region)
	for i := range 6 {
		regions[zoneName(i)] = regionOf(i)
	}
	for i := range 7 {
		f.servers = append(f.servers, &plainServer{endpoint: registry.Endpoint{
			ID: api.EndpointID(fmt.Sprint("s", i)), Incarnation: 1, Service: "plain", Address: fmt.Sprint("10.0.0.", i, ":1"), Domain: zoneName(i % 6), Slots: 6,
		}})
	}
	clock := func() time.Duration { return f.now }
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	for i := range instances {
		place := api.Place{Region: regionOf(i % 6), FailureDomain: zoneName(i % 6)}
		b := balance.New(balance.Options{
			CoreOptions: balance.CoreOptions{Place: place, Regions: regions, ZoneOverflow: enabled}, Clock: clock, Log: log, Scope: tally.NoopScope,
		})
		for _, s := range f.servers {
			b.Apply(registry.Change{Kind: registry.Added, Endpoint: s.endpoint})
		}
		f.balancers = append(f.balancers, b)
		if !enabled {
			continue
		}
		f.runners = append(f.runners, overflow.NewRunner(overflow.RunnerOptions{
			Options: overflow.Options{Place: place, Regions: regions, RegionMbps: 60}, Self: api.InstanceID(fmt.Sprint("instance-", i)), Balance: b,
			Target:        func(string) time.Duration { return 300 * time.Millisecond },
			ZoneInstances: func() int { return instances / 6 }, WallMS: func() uint64 { return uint64(f.now.Milliseconds()) },
			Clock: clock, Log: log, Scope: tally.NoopScope,
		}))
	}
	return f
}

// place sends a request to the servers that the balancer chooses until one accepts it.
func (f *plainFleet) place() {
	b := f.balancers[f.random.IntN(len(f.balancers))]
	request := balance.Request{Service: "plain"}
	for range 3 {
		lease, err := b.Choose(request)
		if err != nil {
			break
		}
		s := f.servers[slices.IndexFunc(f.servers, func(s *plainServer) bool { return s.endpoint.ID == lease.Endpoint.ID })]
		if s.down {
			b.Release(lease, balance.Unreachable)
			request.Exclude = append(request.Exclude, lease.Endpoint.ID)
			continue
		}
		s.runs = append(s.runs, &plainRun{balancer: b, lease: lease, arrived: f.now})
		return
	}
	f.refused++
}

func (f *plainFleet) run(rate float64, duration time.Duration) {
	next := f.now
	for end := f.now + duration; f.now < end; f.now += plainStep {
		for ; next < f.now; next += time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)) {
			f.place()
		}
		for _, s := range f.servers {
			for i, r := range s.runs {
				if i < s.endpoint.Slots && r.endsAt == 0 {
					r.endsAt = f.now + f.work
				}
			}
			s.runs = slices.DeleteFunc(s.runs, func(r *plainRun) bool {
				if r.endsAt == 0 || f.now < r.endsAt {
					return false
				}
				r.balancer.Release(r.lease, balance.Completed)
				f.latencies = append(f.latencies, f.now-r.arrived)
				return true
			})
		}
		if f.now%simStep == 0 {
			for i, r := range f.runners {
				partner := f.runners[f.random.IntN(len(f.runners))]
				f.runners[(i+1)%len(f.runners)].Merge(r.Collect(deltaBytes))
				partner.Merge(r.Collect(deltaBytes))
				r.Update()
			}
		}
	}
}

// latency returns the mean and a quantile of the latencies, and forgets them.
func (f *plainFleet) latency(quantile float64) (time.Duration, time.Duration) {
	slices.Sort(f.latencies)
	sum := time.Duration(0)
	for _, l := range f.latencies {
		sum += l
	}
	mean, high := sum/time.Duration(len(f.latencies)), f.latencies[int(float64(len(f.latencies)-1)*quantile)]
	f.latencies = nil
	return mean, high
}

var _ = Describe("A plain service with 7 servers of 6 slots, one of which is down, at 240 requests a second", func() {
	for _, instances := range []int{25, 86} {
		for _, work := range []time.Duration{60 * time.Millisecond, 130 * time.Millisecond} {
			// At 130 ms the six servers that are left complete 277 requests a second.
			// Guards against requests that queue at the server of their zone while others are idle.
			It(fmt.Sprint("responds as fast as without zone overflow: ", instances, " instances, ", work), func() {
				var high [2]time.Duration
				for n, enabled := range []bool{false, true} {
					f := newPlainFleet(instances, work, enabled)
					f.run(240, 10*time.Second)
					f.servers[2].down = true
					f.latencies = nil
					f.run(240, 15*time.Second)
					var mean time.Duration
					mean, high[n] = f.latency(0.99)
					GinkgoWriter.Println("instances:", instances, "work:", work, "zone overflow:", enabled, "mean:", mean, "99%:", high[n], "refused:", f.refused)
					Expect(f.refused).To(BeZero())
				}
				Expect(high[1]).To(BeNumerically("<=", high[0]*110/100))
			})
		}
	}
})
