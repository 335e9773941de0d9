package emulate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/deployment"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/promise"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

const (
	// deskPatience is how long callers of the desk wait in all.
	deskPatience = 1500 * time.Millisecond
	// returns is how often a caller comes back.
	returns = 1
	// returnShare is the part of the time left that a caller waits at most before
	// it comes back, whatever it is told.
	returnShare = 3
	// returnPause is the pause of a caller that was told nothing.
	returnPause = 500 * time.Millisecond
)

// kinds are the kinds of request in the order of their rates in a Load.
var kinds = []world.Kind{world.KindStream, world.KindLookup, world.KindOrder}

// player plays one scenario.
type player struct {
	scenario Scenario
	d        *deployment.Deployment
	began    time.Time

	mu       sync.Mutex
	sequence int
	answers  []Answer
	outcomes []world.Outcome // of all attempts
	troubles []string        // faults that did not go as the scenario says
}

// Answer is what a caller got in all its attempts.
type Answer struct {
	Kind     world.Kind
	Sent     time.Duration // since the begin of the scenario
	Latency  time.Duration // to the first event or the whole answer; 0 is none
	Verdict  Verdict
	Attempts int
}

// Run plays a scenario and returns what callers got. The directory gets the
// instances' logs.
func Run(ctx context.Context, s Scenario, directory string) (Result, error) {
	p := &player{scenario: s}
	d, err := deployment.Start(deployment.Options{
		Instances: s.Instances, Engines: s.Engines, Model: s.model(), Directory: directory, OnError: p.trouble,
	})
	if err != nil {
		return Result{}, err
	}
	defer d.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { d.Run(ctx) })
	defer background.Wait()
	defer cancel()
	if err := d.WaitReady(ctx); err != nil {
		return Result{}, err
	}
	p.d, p.began = d, time.Now()
	p.play(ctx)
	result := newResult(s, p.answers)
	result.Violations = promise.Broken(p.outcomes, d.Book.Arrivals(), deployment.Account)
	p.mu.Lock()
	defer p.mu.Unlock()
	result.ScenarioErrors = p.troubles
	return result, nil
}

// trouble notes that a part of the deployment did not do what the scenario says.
func (p *player) trouble(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.troubles = append(p.troubles, err.Error())
}

// play starts callers at random times, and faults, and waits for all answers.
func (p *player) play(ctx context.Context) {
	var group sync.WaitGroup
	for _, f := range p.scenario.Faults {
		group.Go(func() { p.fault(ctx, f) })
	}
	for i, l := range p.scenario.Loads {
		rates := []float64{l.Streams, l.Lookups, l.Orders}
		for k, kind := range kinds {
			// Each kind of each load has random numbers of its own.
			random := rand.New(rand.NewPCG(p.scenario.Seed, uint64(i*len(kinds)+k)))
			group.Go(func() { p.arrivals(ctx, &group, kind, rates[k], l, random) })
		}
	}
	group.Wait()
}

// fault begins a fault at its time and ends it.
func (p *player) fault(ctx context.Context, f Fault) {
	if !p.waitUntil(ctx, seconds(f.At)) {
		return
	}
	end := faults[f.Kind](p.d, f)
	p.waitUntil(ctx, seconds(f.At+f.For))
	if err := end(); err != nil {
		p.trouble(fmt.Errorf("%s at %g s: %w", f.Kind, f.At, err))
	}
}

// waitUntil waits for a time of the scenario.
func (p *player) waitUntil(ctx context.Context, at time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(at - time.Since(p.began)):
		return true
	}
}

// arrivals starts callers at the times of a Poisson process.
func (p *player) arrivals(ctx context.Context, group *sync.WaitGroup, kind world.Kind, rate float64, l Load, random *rand.Rand) {
	if rate == 0 {
		return
	}
	end := p.scenario.length()
	if l.For > 0 {
		end = min(end, seconds(l.At+l.For))
	}
	for at := seconds(l.At); ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= end || !p.waitUntil(ctx, at) {
			return
		}
		choice := random.Uint64()
		group.Go(func() { p.call(ctx, p.request(kind, l, choice), choice) })
	}
}

func (p *player) request(kind world.Kind, l Load, choice uint64) world.Request {
	p.mu.Lock()
	p.sequence++
	number := p.sequence
	p.mu.Unlock()
	keys := p.d.Keys()
	r := world.Request{
		Kind: kind, Host: deployment.Host, Key: keys[choice%uint64(len(keys))],
		Target: fmt.Sprintf("/%s/%d", kind, number), Body: fmt.Appendf(nil, "body-%d", number), Patience: deskPatience,
	}
	if kind == world.KindStream {
		r.Prompt, r.Output, r.Patience = l.Prompt, l.Output, deployment.StreamTimeout
	}
	return r
}

// call is one caller: it sends a request and comes back if it may.
func (p *player) call(ctx context.Context, r world.Request, choice uint64) {
	sent := time.Now()
	answer := Answer{Kind: r.Kind, Sent: sent.Sub(p.began)}
	var pause time.Duration
	var first time.Time
	for {
		answer.Attempts++
		r.Attempt = fmt.Sprintf("%s-%d", r.Body, answer.Attempts)
		r.Instance = p.instance(choice + uint64(answer.Attempts)).Caller
		o := world.Call(ctx, r)
		p.keep(o)
		if first.IsZero() {
			first = o.First
		}
		pause = max(pause, o.Pause)
		if o.Whole && r.Kind != world.KindStream {
			first = o.Ended
		}
		if !p.comesBack(o, r, sent, answer.Attempts) {
			answer.judge(o, first, pause, sent)
			break
		}
		lost := time.Now()
		time.Sleep(p.returnPause(o, r, sent))
		if o.Last > 0 {
			pause = max(pause, time.Since(lost))
		}
		r.After = o.Last
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers = append(p.answers, answer)
}

func (p *player) keep(o world.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = append(p.outcomes, o)
}

// instance returns where the balancer sends a caller: to a ready instance, or to
// any if none is.
func (p *player) instance(choice uint64) *deployment.Node {
	ready := p.d.Ready()
	if len(ready) == 0 {
		ready = p.d.Nodes
	}
	return ready[choice%uint64(len(ready))]
}

// comesBack reports whether the caller sends its request once more. An order is
// sent again only if it has not run.
func (p *player) comesBack(o world.Outcome, r world.Request, sent time.Time, attempts int) bool {
	if o.Whole || attempts > returns || time.Since(sent) > r.Patience/2 {
		return false
	}
	return r.Kind != world.KindOrder || o.Refused()
}

// returnPause is how long a caller waits before it comes back.
func (p *player) returnPause(o world.Outcome, r world.Request, sent time.Time) time.Duration {
	if o.Return == 0 {
		return returnPause
	}
	return min(o.Return, (r.Patience-time.Since(sent))/returnShare)
}
