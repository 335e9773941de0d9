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
	playStep     = 10 * time.Millisecond
	playCapacity = 88000 // tokens
	readTime     = time.Second
	decodeTime   = 5 * time.Second
	// slowdown is how much longer tokens take while a prompt is read in chunks.
	slowdown = 6
	// reportDelay is the age of what an engine reports.
	reportDelay = 200 * time.Millisecond
	// onTime is the target for the first event.
	onTime = 4500 * time.Millisecond
)

// playRun is a generation in the play.
type playRun struct {
	core    *balance.Core
	lease   *balance.Lease
	copy    *balance.Lease
	arrived time.Duration
	read    time.Duration // work left on the prompt
	decode  time.Duration // work left on the answer
	first   time.Duration // first event
}

// playEngine admits runs while they fit into its memory beside copies, and reads
// one prompt after the other.
type playEngine struct {
	waiting, running []*playRun
	copies           int
	reports          []balance.Load
}

func (e *playEngine) tokens() int { return prompt * (len(e.running) + e.copies) }

func (e *playEngine) step(now time.Duration) (done []*playRun) {
	for len(e.waiting) > 0 && e.tokens()+prompt <= playCapacity {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	reading := false
	for _, r := range e.running {
		if r.read > 0 && !reading {
			reading = true
			if r.read -= playStep; r.read <= 0 {
				r.first = now
			}
		}
	}
	progress := playStep
	if reading {
		progress /= slowdown
	}
	left := e.running[:0]
	for _, r := range e.running {
		if r.read <= 0 {
			r.decode -= progress
		}
		if r.decode > 0 {
			left = append(left, r)
			continue
		}
		done = append(done, r)
	}
	e.running = left
	prefilling := len(e.waiting)
	for _, r := range e.running {
		if r.read > 0 {
			prefilling++
		}
	}
	e.reports = append(e.reports, balance.Load{Running: len(e.running) + len(e.waiting), Prefilling: prefilling, Tokens: e.tokens()})
	return done
}

// report returns what the engine says of itself.
func (e *playEngine) report() balance.Load {
	at := len(e.reports) - 1 - int(reportDelay/playStep)
	if at < 0 {
		return balance.Load{}
	}
	return e.reports[at]
}

// fleetPlay is a number of instances before a number of engines.
type fleetPlay struct {
	cores   []*balance.Core
	engines []*playEngine
	runs    []*playRun
	// longestWait is what the callers allow for the first event; 0 is any time.
	longestWait time.Duration
}

func newFleetPlay(instances, engines int) *fleetPlay {
	p := &fleetPlay{}
	for i := range instances {
		p.cores = append(p.cores, newCore(fmt.Sprint("i", i), engines))
	}
	for range engines {
		p.engines = append(p.engines, &playEngine{})
	}
	return p
}

func (p *fleetPlay) at(e registry.Endpoint) *playEngine {
	number, err := strconv.Atoi(strings.TrimPrefix(string(e.ID), "e"))
	if err != nil {
		panic("the play has no endpoint " + string(e.ID))
	}
	return p.engines[number]
}

func (p *fleetPlay) arrive(now time.Duration, core *balance.Core, session string) {
	w := work(session)
	w.MaxFirstEventDelay = p.longestWait
	for range 3 {
		w.Probed = nil
		for _, candidate := range core.Candidates(now, w, 3) {
			core.UpdateLoad(now, candidate, p.at(candidate).report())
			w.Probed = append(w.Probed, candidate.ID)
		}
		if core.HasCapacity(now, w) {
			break
		}
	}
	lease, refused := core.Choose(now, w)
	if refused != nil {
		p.runs = append(p.runs, &playRun{arrived: now})
		return
	}
	r := &playRun{core: core, lease: lease, arrived: now, read: readTime, decode: decodeTime}
	if r.copy = core.ChooseBackup(now, w, lease.Endpoint); r.copy != nil {
		p.at(r.copy.Endpoint).copies++
	}
	p.runs = append(p.runs, r)
	p.at(lease.Endpoint).waiting = append(p.at(lease.Endpoint).waiting, r)
}

func (p *fleetPlay) step(now time.Duration) {
	for _, engine := range p.engines {
		for _, r := range engine.step(now) {
			r.core.Release(now, r.lease, balance.Completed)
			if r.copy != nil {
				p.at(r.copy.Endpoint).copies--
				r.core.Release(now, r.copy, balance.Cancelled)
			}
		}
	}
	for _, r := range p.runs {
		if r.first == now && r.lease != nil {
			r.core.RecordResponse(now, r.lease)
		}
	}
}

// play lets callers arrive at a rate a second for some time, and returns the
// share of them whose first event came on time.
func (p *fleetPlay) play(rate float64, length time.Duration, seed uint64) float64 {
	p.arrivals(rate, length, seed)
	return float64(p.onTime()) / float64(len(p.runs))
}

// onTime returns the number of callers whose first event came on time.
func (p *fleetPlay) onTime() int {
	good := 0
	for _, r := range p.runs {
		if r.first > 0 && r.first-r.arrived <= onTime {
			good++
		}
	}
	return good
}

func (p *fleetPlay) arrivals(rate float64, length time.Duration, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	next := time.Duration(0)
	for now := playStep; now < length+decodeTime*slowdown; now += playStep {
		for ; next < now && next < length; next += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
			core := p.cores[random.IntN(len(p.cores))]
			p.arrive(now, core, fmt.Sprint(seed, "-", len(p.runs)))
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
			Expect(newFleetPlay(8, 24).play(16, 20*time.Second, seed)).To(BeNumerically(">=", 0.95), "seed %d", seed)
		}
	})

	It("keep a copy of nearly every run under the usual load", func() {
		p := newFleetPlay(8, 24)
		p.play(6, 20*time.Second, 1)
		copied := 0
		for _, r := range p.runs {
			if r.copy != nil {
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

	limited := func() *fleetPlay {
		p := newFleetPlay(8, 24)
		p.longestWait = onTime * 6 / 10
		return p
	}

	// Guards against engines that begin every answer late because none is refused.
	It("leaves nine tenths of the capacity to answers on time", func() {
		usual, overload := 0, 0
		for seed := range uint64(10) {
			p := limited()
			p.play(capacity, 20*time.Second, seed)
			usual += p.onTime()
			p = limited()
			p.play(4*capacity, 20*time.Second, seed)
			overload += p.onTime()
		}
		Expect(overload).To(BeNumerically(">=", usual*9/10))
	})

	// Guards against refusals while engines have room.
	It("does not begin at a third of the capacity", func() {
		p := limited()
		Expect(p.play(capacity/3, 20*time.Second, 1)).To(BeNumerically("==", 1))
	})

	// Guards against an average that was measured in an overload and keeps callers
	// from idle engines after it.
	It("ends when an engine has no prompt to read", func() {
		core := newCore("i", 1)
		w := work("s")
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
					p := newFleetPlay(8, 24)
					p.longestWait = onTime * 6 / 10
					p.play(rate, length, seed)
					good += p.onTime()
				}
			}
			b.ReportMetric(float64(good)/(float64(b.N)*seeds*length.Seconds()), "on_time/s")
		})
	}
}
