package balance_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

// Properties of the simulated engines and of their load reports, as the engines'
// operators describe them, and the target for the first event.
const (
	simStep           = 10 * time.Millisecond
	simEngineCapacity = 88000 // tokens
	prefillTime       = time.Second
	decodeTime        = 5 * time.Second
	// prefillSlowdown is the factor by which decoding slows down during a chunked
	// prefill.
	prefillSlowdown = 6
	// reportDelay is the age of an engine's load report.
	reportDelay = 200 * time.Millisecond
	// firstEventTarget is the time within which the first event is on time.
	firstEventTarget = 4500 * time.Millisecond
)

// simGeneration is a simulated generation; a refused one has no lease.
type simGeneration struct {
	core         *balance.Core
	lease        *balance.Lease
	backup       *balance.Lease
	arrivedAt    time.Duration
	prefillLeft  time.Duration // prefill time that remains
	decodeLeft   time.Duration // decoding time that remains
	firstEventAt time.Duration
}

// simEngine starts generations while they fit into its memory next to the
// backups, and prefills one prompt after the other.
type simEngine struct {
	waiting, running []*simGeneration
	backups          int
	reports          []balance.Load
}

func (e *simEngine) tokens() int { return promptTokens * (len(e.running) + e.backups) }

func (e *simEngine) step(now time.Duration) (done []*simGeneration) {
	for len(e.waiting) > 0 && e.tokens()+promptTokens <= simEngineCapacity {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	inPrefill := false
	for _, r := range e.running {
		if r.prefillLeft > 0 && !inPrefill {
			inPrefill = true
			if r.prefillLeft -= simStep; r.prefillLeft <= 0 {
				r.firstEventAt = now
			}
		}
	}
	progress := simStep
	if inPrefill {
		progress /= prefillSlowdown
	}
	unfinished := e.running[:0]
	for _, r := range e.running {
		if r.prefillLeft <= 0 {
			r.decodeLeft -= progress
		}
		if r.decodeLeft > 0 {
			unfinished = append(unfinished, r)
			continue
		}
		done = append(done, r)
	}
	e.running = unfinished
	prefilling := len(e.waiting)
	for _, r := range e.running {
		if r.prefillLeft > 0 {
			prefilling++
		}
	}
	e.reports = append(e.reports, balance.Load{Running: len(e.running) + len(e.waiting), Prefilling: prefilling, Tokens: e.tokens()})
	return done
}

// report returns the load that the engine reports.
func (e *simEngine) report() balance.Load {
	at := len(e.reports) - 1 - int(reportDelay/simStep)
	if at < 0 {
		return balance.Load{}
	}
	return e.reports[at]
}

// fleetSim simulates instances that send generations to engines.
type fleetSim struct {
	cores       []*balance.Core
	engines     []*simEngine
	generations []*simGeneration
	// maxFirstEventDelay is the MaxFirstEventDelay of all requests.
	maxFirstEventDelay time.Duration
	// askAll asks all candidates for their load, also if the first one is nearly idle.
	askAll  bool
	queries int // load queries
}

func newFleetSim(instances, engines int) *fleetSim {
	s := &fleetSim{}
	for i := range instances {
		s.cores = append(s.cores, newCore(fmt.Sprint("i", i), engines))
	}
	for range engines {
		s.engines = append(s.engines, &simEngine{})
	}
	return s
}

func (s *fleetSim) engineOf(e registry.Endpoint) *simEngine {
	number, err := strconv.Atoi(strings.TrimPrefix(string(e.ID), "e"))
	if err != nil {
		panic("the simulation has no endpoint " + string(e.ID))
	}
	return s.engines[number]
}

func (s *fleetSim) submit(now time.Duration, core *balance.Core, session string) {
	request := newRequest(session)
	request.MaxFirstEventDelay = s.maxFirstEventDelay
	for range 3 {
		request.Probed = nil
		for i, candidate := range core.Candidates(now, request, 3) {
			s.queries++
			core.UpdateLoad(now, candidate, s.engineOf(candidate).report())
			request.Probed = append(request.Probed, candidate.ID)
			if i == 0 && !s.askAll && core.IsNearlyIdle(now, request, candidate) {
				break
			}
		}
		if core.HasCapacity(now, request) {
			break
		}
	}
	lease, refusal := core.Choose(now, request)
	if refusal != nil {
		s.generations = append(s.generations, &simGeneration{arrivedAt: now})
		return
	}
	r := &simGeneration{core: core, lease: lease, arrivedAt: now, prefillLeft: prefillTime, decodeLeft: decodeTime}
	if r.backup = core.ChooseBackup(now, request, lease.Endpoint); r.backup != nil {
		s.engineOf(r.backup.Endpoint).backups++
	}
	s.generations = append(s.generations, r)
	s.engineOf(lease.Endpoint).waiting = append(s.engineOf(lease.Endpoint).waiting, r)
}

func (s *fleetSim) step(now time.Duration) {
	for _, engine := range s.engines {
		for _, r := range engine.step(now) {
			r.core.Release(now, r.lease, balance.Completed)
			if r.backup != nil {
				s.engineOf(r.backup.Endpoint).backups--
				r.core.Release(now, r.backup, balance.Cancelled)
			}
		}
	}
	for _, r := range s.generations {
		if r.firstEventAt == now && r.lease != nil {
			r.core.RecordResponse(now, r.lease)
		}
	}
}

// onTimeShare simulates requests that arrive at a rate per second for the given time,
// and returns the share of them whose first event was on time.
func (s *fleetSim) onTimeShare(rate float64, length time.Duration, seed uint64) float64 {
	s.simulate(rate, length, seed)
	return float64(s.countOnTime()) / float64(len(s.generations))
}

// countOnTime returns the number of requests whose first event was on time.
func (s *fleetSim) countOnTime() int {
	good := 0
	for _, r := range s.generations {
		if r.firstEventAt > 0 && r.firstEventAt-r.arrivedAt <= firstEventTarget {
			good++
		}
	}
	return good
}

// simulate adds a generation for each request that arrives, and runs the engines
// until all of them had time to end.
func (s *fleetSim) simulate(rate float64, length time.Duration, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	next := time.Duration(0)
	for now := simStep; now < length+decodeTime*prefillSlowdown; now += simStep {
		for ; next < now && next < length; next += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
			core := s.cores[random.IntN(len(s.cores))]
			s.submit(now, core, fmt.Sprint(seed, "-", len(s.generations)))
		}
		s.step(now)
	}
}

var _ = Describe("Engines that keep backups", func() {
	// Load: the request rate of a service triples for 20 s, close to the capacity
	// of its engines: 24 engines, 8 instances, 16 generations a second with 8,000
	// prompt tokens each. Guards against backups that take the memory that new
	// prompts need.
	It("send the first event on time for 95% of the generations when memory is short", func() {
		for seed := range uint64(5) {
			Expect(newFleetSim(8, 24).onTimeShare(16, 20*time.Second, seed)).To(BeNumerically(">=", 0.95), "seed %d", seed)
		}
	})

	// Load: 6 generations a second. Guards against generations without a backup
	// although memory is free.
	It("keep backups of at least 95% of the generations under the usual load", func() {
		s := newFleetSim(8, 24)
		s.onTimeShare(6, 20*time.Second, 1)
		withBackup := 0
		for _, r := range s.generations {
			if r.backup != nil {
				withBackup++
			}
		}
		Expect(withBackup).To(BeNumerically(">=", len(s.generations)*95/100))
	})
})

// Load: 4 to 12 generations a second at 24 engines, which can start 18 on time.
var _ = Describe("Asking engines for their load", func() {
	// Guards against three queries, each with a new connection, for a generation that
	// the first engine serves as well, and against late first events because of fewer
	// queries.
	It("stops at a nearly idle engine, and serves as many generations on time", func() {
		for _, rate := range []float64{4, 6, 9, 12} {
			onTime, queries := map[bool]int{}, map[bool]int{}
			generations := 0
			for _, askAll := range []bool{true, false} {
				for seed := range uint64(5) {
					s := newFleetSim(8, 24)
					s.askAll = askAll
					s.simulate(rate, 20*time.Second, seed)
					onTime[askAll] += s.countOnTime()
					queries[askAll] += s.queries
					if !askAll {
						generations += len(s.generations)
					}
				}
			}
			AddReportEntry(fmt.Sprintf("%v a second: %d of %d on time with %d queries, %d with %d", rate,
				onTime[false], generations, queries[false], onTime[true], queries[true]))
			Expect(onTime[false]).To(BeNumerically(">=", onTime[true]*99/100), "%v a second", rate)
			Expect(queries[false]).To(BeNumerically("<", queries[true]), "%v a second", rate)
			if rate <= 6 {
				Expect(queries[false]).To(BeNumerically("<=", 2*generations), "%v a second", rate)
			}
		}
	})
})

// Load: four times the generations whose first event the engines can send on
// time. Requests allow 0.6 of the target for the prefill.
var _ = Describe("Limiting the expected delay of the first event", func() {
	const capacity = 18.0 // generations a second that 24 engines start on time

	limited := func() *fleetSim {
		s := newFleetSim(8, 24)
		s.maxFirstEventDelay = firstEventTarget * 6 / 10 // as package forward sets it
		return s
	}

	// Guards against a late first event for every request because none is refused.
	It("keeps at least 90% of the on-time first events under overload", func() {
		usual, overload := 0, 0
		for seed := range uint64(10) {
			s := limited()
			s.onTimeShare(capacity, 20*time.Second, seed)
			usual += s.countOnTime()
			s = limited()
			s.onTimeShare(4*capacity, 20*time.Second, seed)
			overload += s.countOnTime()
		}
		Expect(overload).To(BeNumerically(">=", usual*9/10))
	})

	// Guards against refusals while engines have free capacity.
	It("refuses nothing at a third of the capacity", func() {
		s := limited()
		Expect(s.onTimeShare(capacity/3, 20*time.Second, 1)).To(BeNumerically("==", 1))
	})

	// Guards against an average prefill time from an overload that keeps requests
	// away from idle engines after it.
	It("refuses nothing once an engine has no pending prefill", func() {
		core := newCore("i", 1)
		request := newRequest("s")
		lease, err := core.Choose(0, request)
		Expect(err).To(BeNil())
		core.RecordResponse(time.Minute, lease)
		request.MaxFirstEventDelay = time.Second
		lease, err = core.Choose(time.Minute, request)
		Expect(err).To(BeNil())
		_, err = core.Choose(time.Minute, request)
		Expect(err.Reason).To(Equal(reason.Overloaded))
		Expect(err.Run).To(Equal(reason.RunNo))
		core.Release(time.Minute, lease, balance.Cancelled)
		_, err = core.Choose(time.Minute, request)
		Expect(err).To(BeNil())
	})
})

// BenchmarkOverload reports how many generations a second have their first event
// on time at a given arrival rate. Requests allow 0.6 of the target for the
// prefill.
func BenchmarkOverload(b *testing.B) {
	const length, seeds = 20 * time.Second, 5
	for _, rate := range []float64{9, 18, 36, 72} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			good := 0
			for range b.N {
				for seed := range uint64(seeds) {
					s := newFleetSim(8, 24)
					s.maxFirstEventDelay = firstEventTarget * 6 / 10
					s.onTimeShare(rate, length, seed)
					good += s.countOnTime()
				}
			}
			b.ReportMetric(float64(good)/(float64(b.N)*seeds*length.Seconds()), "on_time/s")
		})
	}
}
