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

// The engines of the play, as their operators describe them.
const (
	simStep           = 10 * time.Millisecond
	simEngineCapacity = 88000 // tokens
	prefillTime       = time.Second
	decodeTime        = 5 * time.Second
	// prefillSlowdown is how much longer tokens take while a prompt is read in chunks.
	prefillSlowdown = 6
	// reportDelay is the age of what an engine reports.
	reportDelay = 200 * time.Millisecond
	// firstEventTarget is the target for the first event.
	firstEventTarget = 4500 * time.Millisecond
)

// simRun is a generation in the play.
type simRun struct {
	core         *balance.Core
	lease        *balance.Lease
	backup       *balance.Lease
	arrivedAt    time.Duration
	prefillLeft  time.Duration // work left on the prompt
	decodeLeft   time.Duration // work left on the answer
	firstEventAt time.Duration // first event
}

// simEngine admits runs while they fit into its memory beside copies, and reads
// one prompt after the other.
type simEngine struct {
	waiting, running []*simRun
	backups          int
	reports          []balance.Load
}

func (e *simEngine) tokens() int { return promptTokens * (len(e.running) + e.backups) }

func (e *simEngine) step(now time.Duration) (done []*simRun) {
	for len(e.waiting) > 0 && e.tokens()+promptTokens <= simEngineCapacity {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	reading := false
	for _, r := range e.running {
		if r.prefillLeft > 0 && !reading {
			reading = true
			if r.prefillLeft -= simStep; r.prefillLeft <= 0 {
				r.firstEventAt = now
			}
		}
	}
	progress := simStep
	if reading {
		progress /= prefillSlowdown
	}
	left := e.running[:0]
	for _, r := range e.running {
		if r.prefillLeft <= 0 {
			r.decodeLeft -= progress
		}
		if r.decodeLeft > 0 {
			left = append(left, r)
			continue
		}
		done = append(done, r)
	}
	e.running = left
	prefilling := len(e.waiting)
	for _, r := range e.running {
		if r.prefillLeft > 0 {
			prefilling++
		}
	}
	e.reports = append(e.reports, balance.Load{Running: len(e.running) + len(e.waiting), Prefilling: prefilling, Tokens: e.tokens()})
	return done
}

// report returns what the engine says of itself.
func (e *simEngine) report() balance.Load {
	at := len(e.reports) - 1 - int(reportDelay/simStep)
	if at < 0 {
		return balance.Load{}
	}
	return e.reports[at]
}

// fleetSim is a number of instances before a number of engines.
type fleetSim struct {
	cores   []*balance.Core
	engines []*simEngine
	runs    []*simRun
	// maxFirstEventDelay is what the callers allow for the first event; 0 is any time.
	maxFirstEventDelay time.Duration
}

func newFleetSim(instances, engines int) *fleetSim {
	p := &fleetSim{}
	for i := range instances {
		p.cores = append(p.cores, newCore(fmt.Sprint("i", i), engines))
	}
	for range engines {
		p.engines = append(p.engines, &simEngine{})
	}
	return p
}

func (p *fleetSim) engineOf(e registry.Endpoint) *simEngine {
	number, err := strconv.Atoi(strings.TrimPrefix(string(e.ID), "e"))
	if err != nil {
		panic("the play has no endpoint " + string(e.ID))
	}
	return p.engines[number]
}

func (p *fleetSim) submit(now time.Duration, core *balance.Core, session string) {
	w := newRequest(session)
	w.MaxFirstEventDelay = p.maxFirstEventDelay
	for range 3 {
		w.Probed = nil
		for _, candidate := range core.Candidates(now, w, 3) {
			core.UpdateLoad(now, candidate, p.engineOf(candidate).report())
			w.Probed = append(w.Probed, candidate.ID)
		}
		if core.HasCapacity(now, w) {
			break
		}
	}
	lease, refused := core.Choose(now, w)
	if refused != nil {
		p.runs = append(p.runs, &simRun{arrivedAt: now})
		return
	}
	r := &simRun{core: core, lease: lease, arrivedAt: now, prefillLeft: prefillTime, decodeLeft: decodeTime}
	if r.backup = core.ChooseBackup(now, w, lease.Endpoint); r.backup != nil {
		p.engineOf(r.backup.Endpoint).backups++
	}
	p.runs = append(p.runs, r)
	p.engineOf(lease.Endpoint).waiting = append(p.engineOf(lease.Endpoint).waiting, r)
}

func (p *fleetSim) step(now time.Duration) {
	for _, engine := range p.engines {
		for _, r := range engine.step(now) {
			r.core.Release(now, r.lease, balance.Completed)
			if r.backup != nil {
				p.engineOf(r.backup.Endpoint).backups--
				r.core.Release(now, r.backup, balance.Cancelled)
			}
		}
	}
	for _, r := range p.runs {
		if r.firstEventAt == now && r.lease != nil {
			r.core.RecordResponse(now, r.lease)
		}
	}
}

// run lets callers arrive at a rate a second for some time, and returns the
// share of them whose first event came on time.
func (p *fleetSim) run(rate float64, length time.Duration, seed uint64) float64 {
	p.simulate(rate, length, seed)
	return float64(p.countOnTime()) / float64(len(p.runs))
}

// countOnTime returns the number of callers whose first event came on time.
func (p *fleetSim) countOnTime() int {
	good := 0
	for _, r := range p.runs {
		if r.firstEventAt > 0 && r.firstEventAt-r.arrivedAt <= firstEventTarget {
			good++
		}
	}
	return good
}

func (p *fleetSim) simulate(rate float64, length time.Duration, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	next := time.Duration(0)
	for now := simStep; now < length+decodeTime*prefillSlowdown; now += simStep {
		for ; next < now && next < length; next += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
			core := p.cores[random.IntN(len(p.cores))]
			p.submit(now, core, fmt.Sprint(seed, "-", len(p.runs)))
		}
		p.step(now)
	}
}

// Load: the callers of a press triple for 20 s, which is close to what its
// engines can do: 24 engines, 8 instances, 16 generations a second of 8,000
// prompt tokens each.
var _ = Describe("Engines short of memory", func() {
	// Guards against copies that take the memory in which prompts could be read.
	It("still begin 95 answers in 100 on time", func() {
		for seed := range uint64(5) {
			Expect(newFleetSim(8, 24).run(16, 20*time.Second, seed)).To(BeNumerically(">=", 0.95), "seed %d", seed)
		}
	})

	It("keep a copy of nearly every run under the usual load", func() {
		p := newFleetSim(8, 24)
		p.run(6, 20*time.Second, 1)
		copied := 0
		for _, r := range p.runs {
			if r.backup != nil {
				copied++
			}
		}
		Expect(copied).To(BeNumerically(">=", len(p.runs)*95/100))
	})
})

// Load: four times the generations that the engines can begin on time. Callers
// allow 0.6 of the target for the prompts at an engine.
var _ = Describe("An overload by generations", func() {
	const capacity = 18.0 // generations a second that 24 engines begin on time

	limited := func() *fleetSim {
		p := newFleetSim(8, 24)
		p.maxFirstEventDelay = firstEventTarget * 6 / 10
		return p
	}

	// Guards against engines that begin every answer late because none is refused.
	It("leaves nine tenths of the capacity to answers on time", func() {
		usual, overload := 0, 0
		for seed := range uint64(10) {
			p := limited()
			p.run(capacity, 20*time.Second, seed)
			usual += p.countOnTime()
			p = limited()
			p.run(4*capacity, 20*time.Second, seed)
			overload += p.countOnTime()
		}
		Expect(overload).To(BeNumerically(">=", usual*9/10))
	})

	// Guards against refusals while engines have room.
	It("does not begin at a third of the capacity", func() {
		p := limited()
		Expect(p.run(capacity/3, 20*time.Second, 1)).To(BeNumerically("==", 1))
	})

	// Guards against an average that was measured in an overload and keeps callers
	// from idle engines after it.
	It("ends when an engine has no prompt to read", func() {
		core := newCore("i", 1)
		w := newRequest("s")
		lease, err := core.Choose(0, w)
		Expect(err).To(BeNil())
		core.RecordResponse(time.Minute, lease)
		w.MaxFirstEventDelay = time.Second
		lease, err = core.Choose(time.Minute, w)
		Expect(err).To(BeNil())
		_, err = core.Choose(time.Minute, w)
		Expect(err.Reason).To(Equal(reason.Overloaded))
		Expect(err.Run).To(Equal(reason.RunNo))
		core.Release(time.Minute, lease, balance.Cancelled)
		_, err = core.Choose(time.Minute, w)
		Expect(err).To(BeNil())
	})
})

// BenchmarkOverload reports how many generations a second begin on time at a
// rate of arrivals, with a limit of 0.6 of the target for the prompts.
func BenchmarkOverload(b *testing.B) {
	const length, seeds = 20 * time.Second, 5
	for _, rate := range []float64{9, 18, 36, 72} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			good := 0
			for range b.N {
				for seed := range uint64(seeds) {
					p := newFleetSim(8, 24)
					p.maxFirstEventDelay = firstEventTarget * 6 / 10
					p.run(rate, length, seed)
					good += p.countOnTime()
				}
			}
			b.ReportMetric(float64(good)/(float64(b.N)*seeds*length.Seconds()), "on_time/s")
		})
	}
}
