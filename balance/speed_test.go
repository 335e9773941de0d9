package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
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

// speedSim simulates instances in three zones that send generations to engines.
type speedSim struct {
	cores       []*balance.Core
	engines     []*speedEngine
	generations []*speedGeneration
}

func newSpeedSim(overflow bool, instances, engines int, slow func(engine int, now time.Duration) float64) *speedSim {
	s := &speedSim{}
	for i := range instances {
		core := balance.NewCore(balance.CoreOptions{
			Instance:     api.InstanceID(fmt.Sprint("i", i)),
			Place:        api.Place{Region: "r1", FailureDomain: domains[i%3]},
			Regions:      map[api.FailureDomain]api.Region{"d1": "r1", "d2": "r1", "d3": "r1"},
			ZoneOverflow: overflow,
		})
		core.SetKVCapacity("llm", 88000)
		for n := range engines {
			core.Apply(registry.Change{Kind: registry.Added, Endpoint: engine(n)})
		}
		s.cores = append(s.cores, core)
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
	request := newRequest(session)
	for i, candidate := range core.Candidates(now, request, 3) {
		core.UpdateLoad(now, candidate, s.engineOf(candidate.ID).report())
		request.Probed = append(request.Probed, candidate.ID)
		if i == 0 && core.IsNearlyIdle(now, request, candidate) {
			break
		}
	}
	lease, err := core.Choose(now, request)
	if err != nil {
		s.generations = append(s.generations, &speedGeneration{arrived: now})
		return
	}
	e := s.engineOf(lease.Endpoint.ID)
	g := &speedGeneration{core: core, lease: lease, arrived: now, prefill: 1.25, slowRate: e.slow(now)}
	e.running = append(e.running, g)
	s.generations = append(s.generations, g)
}

func (s *speedSim) run(rate float64, length time.Duration, seed uint64) *speedSim {
	random := rand.New(rand.NewPCG(seed, 0))
	next := time.Duration(0)
	for now := speedStep; now < length+30*time.Second; now += speedStep {
		for ; next < now && next < length; next += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
			s.submit(now, s.cores[random.IntN(len(s.cores))], fmt.Sprint(seed, "-", len(s.generations)))
		}
		for _, e := range s.engines {
			e.step(now)
		}
	}
	return s
}

// speedResult describes the generations after a time in which the speeds are learned.
type speedResult struct {
	first95, mean, mean95 time.Duration
	slowShare, crossed    float64 // requests at engines that were slow, and in another zone
	failed                int
}

func (s *speedSim) result(after time.Duration) speedResult {
	var firsts, durations []time.Duration
	var r speedResult
	sum, slow, crossed, count := time.Duration(0), 0, 0, 0
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
		if g.slowRate > 1 {
			slow++
		}
		for i, core := range s.cores {
			if core == g.core && domains[i%3] != g.lease.Endpoint.Domain {
				crossed++
			}
		}
	}
	slices.Sort(firsts)
	slices.Sort(durations)
	r.first95, r.mean95 = firsts[len(firsts)*95/100], durations[len(durations)*95/100]
	r.mean = sum / time.Duration(len(durations))
	r.slowShare, r.crossed = float64(slow)/float64(count), float64(crossed)/float64(count)
	return r
}

// compareSpeed returns the results without and with zone overflow, over three seeds.
func compareSpeed(rate float64, instances, engines int, slow func(engine int, now time.Duration) float64) (off, on []speedResult) {
	for seed := range uint64(3) {
		off = append(off, newSpeedSim(false, instances, engines, slow).run(rate, 40*time.Second, seed).result(10*time.Second))
		on = append(on, newSpeedSim(true, instances, engines, slow).run(rate, 40*time.Second, seed).result(10*time.Second))
		for name, r := range map[string]speedResult{"off": off[seed], "on": on[seed]} {
			GinkgoWriter.Printf("seed %d %s: first event 95%% %v, end mean %v 95%% %v, slow %.3f, other zone %.3f, failed %d\n",
				seed, name, r.first95, r.mean, r.mean95, r.slowShare, r.crossed, r.failed)
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
			if n/3%3 == 0 {
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
})
