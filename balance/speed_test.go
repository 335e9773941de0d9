package balance_test

import (
	"fmt"
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
	speedStep      = 5 * time.Millisecond
	outputTokens   = 780
	tokensPerEvent = 6
)

// speedGeneration is a generation at a simulated engine that interleaves prefills with decoding.
type speedGeneration struct {
	core     *balance.Core
	session  string
	lease    *balance.Lease
	arrived  time.Duration
	prefill  float64 // seconds that remain
	tokens   float64
	events   int
	firstAt  time.Duration
	endedAt  time.Duration
	slowRate float64 // of the engine at the start
}

// speedEngine prefills one prompt at a time and decodes all others.
type speedEngine struct {
	running []*speedGeneration
	// slow is how much slower the engine is than usual at a time.
	slow    func(now time.Duration) float64
	reports []balance.Load
}

func (e *speedEngine) step(now time.Duration) {
	seconds := speedStep.Seconds() / e.slow(now)
	perToken := (4.63 + 0.153*float64(len(e.running))) / 1000
	prefilling := 0
	for _, g := range e.running {
		if g.prefill > 0 {
			prefilling++
			if prefilling == 1 {
				perToken = 0.031
				g.prefill -= seconds
			}
		}
	}
	left := e.running[:0]
	for _, g := range e.running {
		if g.prefill <= 0 {
			g.tokens += seconds / perToken
			if events := int(g.tokens / tokensPerEvent); events > g.events {
				g.events = events
				if g.firstAt == 0 {
					g.firstAt = now
				}
				g.core.RecordResponse(now, g.lease)
			}
		}
		if g.tokens < outputTokens {
			left = append(left, g)
			continue
		}
		g.endedAt = now
		g.core.Release(now, g.lease, balance.Completed)
	}
	e.running = left
	e.reports = append(e.reports, balance.Load{Running: len(e.running), Prefilling: prefilling, Tokens: promptTokens * len(e.running)})
}

func (e *speedEngine) report() balance.Load {
	if at := len(e.reports) - 1 - int(reportDelay/speedStep); at >= 0 {
		return e.reports[at]
	}
	return balance.Load{}
}

// speedSim simulates instances in six zones of two regions that send generations to engines.
type speedSim struct {
	now         time.Duration
	cores       []*balance.Core
	runners     []*overflow.Runner   // nil: no decisions, each request stays by its cost
	pick        func(*rand.Rand) int // the instance of a request
	down        func(engine int, now time.Duration) bool
	engines     []*speedEngine
	generations []*speedGeneration
}

// speedPlace returns the place of an instance or an engine by its number.
func speedPlace(n int) api.Place {
	return api.Place{Region: api.Region(fmt.Sprint("r", n%6/3)), FailureDomain: api.FailureDomain(fmt.Sprint("z", n%6))}
}

func speedRegions() map[api.FailureDomain]api.Region {
	regions := make(map[api.FailureDomain]api.Region)
	for n := range 6 {
		regions[speedPlace(n).FailureDomain] = speedPlace(n).Region
	}
	return regions
}

// coreBalancer is a core with the clock of the simulation.
type coreBalancer struct {
	s    *speedSim
	core *balance.Core
}

// ZoneLoads implements overflow.Balancer.
func (b coreBalancer) ZoneLoads() []balance.ZoneLoad { return b.core.ZoneLoads(b.s.now) }

// SetZoneShares implements overflow.Balancer.
func (b coreBalancer) SetZoneShares(service string, shares map[api.FailureDomain]float64, utilization float64) {
	b.core.SetZoneShares(service, shares, utilization)
}

func (s *speedSim) newRunner(i, instances int) *overflow.Runner {
	return overflow.NewRunner(overflow.RunnerOptions{
		Options: overflow.Options{Place: speedPlace(i), Regions: speedRegions(), RegionMbps: 60},
		Self:    api.InstanceID(fmt.Sprint("i", i)), Balance: coreBalancer{s, s.cores[i]},
		Target:        func(string) time.Duration { return 4 * time.Second },
		ZoneInstances: func() int { return max(instances/6, 1) },
		WallMS:        func() uint64 { return uint64(s.now.Milliseconds()) },
		Clock:         func() time.Duration { return s.now },
		Log:           slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
	})
}

// exchange sends the news of each instance to its neighbour and a random instance.
func (s *speedSim) exchange(random *rand.Rand) {
	for i, r := range s.runners {
		s.runners[(i+1)%len(s.runners)].Merge(r.Collect(200))
		s.runners[random.IntN(len(s.runners))].Merge(r.Collect(200))
	}
}

func newSpeedSim(enabled bool, instances, engines int, slow func(engine int, now time.Duration) float64) *speedSim {
	s := &speedSim{
		pick: func(random *rand.Rand) int { return random.IntN(instances) },
		down: func(int, time.Duration) bool { return false },
	}
	for i := range instances {
		core := balance.NewCore(balance.CoreOptions{Instance: api.InstanceID(fmt.Sprint("i", i)), Place: speedPlace(i), Regions: speedRegions(), ZoneOverflow: enabled})
		core.SetKVCapacity("llm", 88000)
		for n := range engines {
			e := engine(n)
			e.Domain = speedPlace(n).FailureDomain
			core.Apply(registry.Change{Kind: registry.Added, Endpoint: e})
		}
		s.cores = append(s.cores, core)
		if enabled {
			s.runners = append(s.runners, s.newRunner(i, instances))
		}
	}
	for n := range engines {
		s.engines = append(s.engines, &speedEngine{slow: func(now time.Duration) float64 { return slow(n, now) }})
	}
	return s
}

func (s *speedSim) engineOf(id api.EndpointID) *speedEngine {
	var n int
	_, err := fmt.Sscanf(string(id), "e%d", &n)
	Expect(err).NotTo(HaveOccurred())
	return s.engines[n]
}

func (s *speedSim) submit(now time.Duration, core *balance.Core, session string) {
	g := &speedGeneration{core: core, session: session, arrived: now, prefill: 1.25}
	s.generations = append(s.generations, g)
	s.place(now, g)
}

func (s *speedSim) place(now time.Duration, g *speedGeneration) {
	core, request := g.core, newRequest(g.session)
	for range 3 {
		request.Probed = nil
		for i, candidate := range core.Candidates(now, request, 3) {
			request.Probed = append(request.Probed, candidate.ID)
			if e := s.engineOf(candidate.ID); !s.down(slices.Index(s.engines, e), now) {
				core.UpdateLoad(now, candidate, e.report())
			}
			if i == 0 && core.IsNearlyIdle(now, request, candidate) {
				break
			}
		}
		lease, err := core.Choose(now, request)
		if err != nil {
			break
		}
		e := s.engineOf(lease.Endpoint.ID)
		if s.down(slices.Index(s.engines, e), now) {
			core.Release(now, lease, balance.Unreachable)
			request.Exclude = append(request.Exclude, lease.Endpoint.ID)
			continue
		}
		g.lease, g.slowRate = lease, e.slow(now)
		e.running = append(e.running, g)
		return
	}
}

// crash interrupts the generations of engines that are down. They start again elsewhere.
func (s *speedSim) crash(now time.Duration) {
	for n, e := range s.engines {
		if !s.down(n, now) {
			continue
		}
		interrupted := e.running
		e.running = nil
		for _, g := range interrupted {
			g.core.Release(now, g.lease, balance.Interrupted)
			g.prefill = 1.25
			s.place(now, g)
		}
	}
}

func (s *speedSim) run(rate float64, length time.Duration, seed uint64) *speedSim {
	// The news has random numbers of its own, so that the load is the same without it.
	random, partners := rand.New(rand.NewPCG(seed, 0)), rand.New(rand.NewPCG(seed, 1))
	next := time.Duration(0)
	for now := speedStep; now < length+30*time.Second; now += speedStep {
		for ; next < now && next < length; next += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
			s.submit(now, s.cores[s.pick(random)], fmt.Sprint(seed, "-", len(s.generations)))
		}
		s.now = now
		s.crash(now)
		for _, e := range s.engines {
			e.step(now)
		}
		if now%(250*time.Millisecond) == 0 {
			s.exchange(partners)
			for _, r := range s.runners {
				r.Update()
			}
		}
	}
	return s
}

// speedResult describes the generations after a time in which the speeds are learned.
type speedResult struct {
	first95, mean, mean95 time.Duration
	late                  float64 // first event after 4 s
	slowShare, crossed    float64 // requests at engines that were slow, and in another zone
	failed                int
}

func (s *speedSim) result(after time.Duration) speedResult {
	var firsts, durations []time.Duration
	var r speedResult
	sum, slow, crossed, late, count := time.Duration(0), 0, 0, 0, 0
	for _, g := range s.generations {
		if g.arrived < after {
			continue
		}
		count++
		if g.endedAt == 0 {
			r.failed++
			continue
		}
		firsts, durations = append(firsts, g.firstAt-g.arrived), append(durations, g.endedAt-g.arrived)
		sum += g.endedAt - g.arrived
		if g.firstAt-g.arrived > 4*time.Second {
			late++
		}
		if g.slowRate > 1 {
			slow++
		}
		for i, core := range s.cores {
			if core == g.core && speedPlace(i).FailureDomain != g.lease.Endpoint.Domain {
				crossed++
			}
		}
	}
	slices.Sort(firsts)
	slices.Sort(durations)
	r.first95, r.mean95 = firsts[len(firsts)*95/100], durations[len(durations)*95/100]
	r.mean = sum / time.Duration(len(durations))
	r.late = float64(late) / float64(count)
	r.slowShare, r.crossed = float64(slow)/float64(count), float64(crossed)/float64(count)
	return r
}

// compareSpeed returns the results without and with zone overflow, over three seeds.
func compareSpeed(rate float64, instances, engines int, slow func(engine int, now time.Duration) float64, change ...func(*speedSim)) (off, on []speedResult) {
	for seed := range uint64(3) {
		for _, enabled := range []bool{false, true} {
			s := newSpeedSim(enabled, instances, engines, slow)
			for _, c := range change {
				c(s)
			}
			result := s.run(rate, 40*time.Second, seed).result(10 * time.Second)
			if enabled {
				on = append(on, result)
			} else {
				off = append(off, result)
			}
		}
		for name, r := range map[string]speedResult{"off": off[seed], "on": on[seed]} {
			GinkgoWriter.Printf("seed %d %s: late %.3f, first event 95%% %v, end mean %v 95%% %v, slow %.3f, other zone %.3f, failed %d\n",
				seed, name, r.late, r.first95, r.mean, r.mean95, r.slowShare, r.crossed, r.failed)
		}
	}
	return off, on
}

func meanEnd(results []speedResult) time.Duration {
	sum := time.Duration(0)
	for _, r := range results {
		sum += r.mean
	}
	return sum / time.Duration(len(results))
}

func meanOf(results []speedResult, value func(speedResult) float64) float64 {
	sum := 0.0
	for _, r := range results {
		sum += value(r)
	}
	return sum / float64(len(results))
}

var _ = Describe("Placing by engine speed", func() {
	// Load: 60 engines with 19 generations a second; the slow ones are in all zones. Guards
	// against as many generations at slow engines as at others.
	It("sends less to a third of the engines that are 1.3 times slower", func() {
		off, on := compareSpeed(19, 10, 60, func(n int, _ time.Duration) float64 {
			if n/6%3 == 0 {
				return 1.3
			}
			return 1
		})
		Expect(meanEnd(on)).To(BeNumerically("<", meanEnd(off)))
		Expect(meanOf(on, func(r speedResult) float64 { return r.slowShare })).To(BeNumerically("<", meanOf(off, func(r speedResult) float64 { return r.slowShare })))
	})

	// Guards against worse choices because the measured speeds are noise.
	It("places as well as without if all engines are equal", func() {
		off, on := compareSpeed(19, 10, 60, func(int, time.Duration) float64 { return 1 })
		Expect(meanEnd(on)).To(BeNumerically("<", meanEnd(off)*102/100))
		Expect(meanOf(on, func(r speedResult) float64 { return r.crossed })).To(BeNumerically("<", 0.3))
	})

	// Guards against a lasting avoidance of engines that are slow now and then, and against
	// worse choices after each slow time.
	It("keeps its pace while 15% of the engines are 2.5 times slower for 0.6 s at a time", func() {
		off, on := compareSpeed(19, 10, 60, func(n int, now time.Duration) float64 {
			// Another 15% of the engines are slow in each 0.6 s.
			if (n*7+int(now/(600*time.Millisecond))*13)%60 < 9 {
				return 2.5
			}
			return 1
		})
		Expect(meanEnd(on)).To(BeNumerically("<", meanEnd(off)*102/100))
	})

	even := func(int, time.Duration) float64 { return 1 }
	late := func(r speedResult) float64 { return r.late }

	// Load: half of all requests enter at one of six zones, which could serve a quarter. Guards
	// against callers that are late at a busy zone while engines elsewhere are idle.
	It("serves an uneven load over six zones as well as without zones", func() {
		off, on := compareSpeed(15, 30, 60, even, func(s *speedSim) {
			s.pick = func(random *rand.Rand) int {
				if random.IntN(2) == 0 {
					return random.IntN(5) * 6 // zone z0
				}
				return random.IntN(30)
			}
		})
		Expect(meanOf(on, late)).To(BeNumerically("<=", meanOf(off, late)+0.01))
		Expect(meanEnd(on)).To(BeNumerically("<", meanEnd(off)*115/100))
		Expect(meanOf(on, func(r speedResult) float64 { return r.crossed })).To(BeNumerically("<", 0.6))
	})

	// Load: 36 generations a second, which keep all 60 engines busy with six each, a third of
	// them at one of six zones. Guards against callers that are late because a request has fewer
	// engines to choose from.
	It("serves as many on time when all engines are busy and the load is uneven", func() {
		off, on := compareSpeed(36, 30, 60, even, func(s *speedSim) {
			s.pick = func(random *rand.Rand) int {
				if random.IntN(5) == 0 {
					return random.IntN(5) * 6 // zone z0
				}
				return random.IntN(30)
			}
		})
		Expect(meanOf(on, late)).To(BeNumerically("<=", meanOf(off, late)+0.01))
		Expect(meanEnd(on)).To(BeNumerically("<", meanEnd(off)*103/100))
	})

	// Guards against a zone that keeps its requests although all of its engines are slow.
	It("relieves a zone whose engines are all 1.6 times slower", func() {
		off, on := compareSpeed(15, 30, 60, func(n int, _ time.Duration) float64 {
			if n%6 == 0 {
				return 1.6
			}
			return 1
		})
		Expect(meanOf(on, late)).To(BeNumerically("<=", meanOf(off, late)+0.01))
		Expect(meanEnd(on)).To(BeNumerically("<", meanEnd(off)*102/100))
	})

	// Load: nine of ten engines of one zone crash for 1.2 s every 6 s. Guards against requests
	// that follow their zone into a crash or wait at the engines that are left.
	It("serves as many on time while the engines of a zone crash for 1.2 s every 6 s", func() {
		off, on := compareSpeed(15, 30, 60, even, func(s *speedSim) {
			s.down = func(n int, now time.Duration) bool {
				zone := int(now/(6*time.Second)) % 6
				return n%6 == zone && n/6 > 0 && now%(6*time.Second) >= 4800*time.Millisecond
			}
		})
		Expect(meanOf(on, late)).To(BeNumerically("<=", meanOf(off, late)+0.01))
		Expect(meanEnd(on)).To(BeNumerically("<", meanEnd(off)*105/100))
		for _, r := range on {
			Expect(r.failed).To(BeZero())
		}
	})
})
