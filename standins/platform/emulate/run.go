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
	// deskTimeout is the timeout of each attempt at the desk.
	deskTimeout = 1500 * time.Millisecond
	// maxRetries is the number of retries of a caller.
	maxRetries = 1
	// retryDelayDivisor bounds the delay before a retry: a caller waits at most
	// the remaining time divided by it, even if Retry-After is longer.
	retryDelayDivisor = 3
	// defaultRetryDelay is the delay before a retry without Retry-After.
	defaultRetryDelay = 500 * time.Millisecond
)

// requestKinds lists the kinds of request in the order of their rates in a Load.
var requestKinds = []world.RequestKind{world.KindStream, world.KindLookup, world.KindOrder}

// scenarioRun is the state of one run of a scenario.
type scenarioRun struct {
	scenario   Scenario
	deployment *deployment.Deployment
	startedAt  time.Time

	mu          sync.Mutex
	lastRequest int
	results     []CallerResult
	outcomes    []world.Outcome // of all attempts, also those before a retry
	faultErrors []string        // failed restarts and faults that could not be ended
}

// CallerResult is the result of a caller's request over all its attempts.
type CallerResult struct {
	Kind     world.RequestKind
	SentAt   time.Duration // since the start of the scenario
	Latency  time.Duration // to the first event or the complete response; 0: none
	Verdict  Verdict
	Attempts int
}

// Run runs a scenario and returns the counts of its callers' results and the
// violated guarantees. The logs and settings of the instances are written to the
// directory.
func Run(ctx context.Context, s Scenario, directory string) (Result, error) {
	run := &scenarioRun{scenario: s}
	d, err := deployment.Start(deployment.Options{
		Instances: s.Instances, Engines: s.Engines, EngineParameters: s.engineParameters(), LogDirectory: directory, OnError: run.addError,
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
	run.deployment, run.startedAt = d, time.Now()
	run.execute(ctx)
	result := newResult(s, run.results)
	result.Violations = promise.Violations(run.outcomes, d.RequestLog.Requests(), deployment.Account)
	run.mu.Lock()
	defer run.mu.Unlock()
	result.ScenarioErrors = run.faultErrors
	return result, nil
}

// addError records a failed restart or a fault that could not be ended.
func (run *scenarioRun) addError(err error) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.faultErrors = append(run.faultErrors, err.Error())
}

// execute starts the callers and injects the faults at their times, and waits for
// all results.
func (run *scenarioRun) execute(ctx context.Context) {
	var group sync.WaitGroup
	for _, f := range run.scenario.Faults {
		group.Go(func() { run.injectFault(ctx, f) })
	}
	for i, l := range run.scenario.Loads {
		rates := []float64{l.StreamsPerS, l.LookupsPerS, l.OrdersPerS}
		for k, kind := range requestKinds {
			// A random generator for each kind of each load, so that a changed load
			// doesn't change the arrival times of the others.
			random := rand.New(rand.NewPCG(run.scenario.Seed, uint64(i*len(requestKinds)+k)))
			group.Go(func() { run.startCallers(ctx, &group, kind, rates[k], l, random) })
		}
	}
	group.Wait()
}

// injectFault injects a fault at its start time and ends it after its duration.
func (run *scenarioRun) injectFault(ctx context.Context, f Fault) {
	if !run.waitUntil(ctx, seconds(f.StartS)) {
		return
	}
	end := faultInjectors[f.Kind](run.deployment, f)
	run.waitUntil(ctx, seconds(f.StartS+f.DurationS))
	if err := end(); err != nil {
		run.addError(fmt.Errorf("%s at %g s: %w", f.Kind, f.StartS, err))
	}
}

// waitUntil waits until a time since the start of the scenario. It returns false
// if the context ended before.
func (run *scenarioRun) waitUntil(ctx context.Context, at time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(at - time.Since(run.startedAt)):
		return true
	}
}

// startCallers starts callers at the arrival times of a Poisson process.
func (run *scenarioRun) startCallers(ctx context.Context, group *sync.WaitGroup, kind world.RequestKind, rate float64, l Load, random *rand.Rand) {
	if rate == 0 {
		return
	}
	end := run.scenario.duration()
	if l.DurationS > 0 {
		end = min(end, seconds(l.StartS+l.DurationS))
	}
	for at := seconds(l.StartS); ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= end || !run.waitUntil(ctx, at) {
			return
		}
		selector := random.Uint64()
		group.Go(func() { run.runCaller(ctx, run.newRequest(kind, l, selector), selector) })
	}
}

func (run *scenarioRun) newRequest(kind world.RequestKind, l Load, selector uint64) world.Request {
	run.mu.Lock()
	run.lastRequest++
	number := run.lastRequest
	run.mu.Unlock()
	keys := run.deployment.APIKeys()
	r := world.Request{
		Kind: kind, Host: deployment.Host, APIKey: keys[selector%uint64(len(keys))],
		Target: fmt.Sprintf("/%s/%d", kind, number), Body: fmt.Appendf(nil, "body-%d", number), Timeout: deskTimeout,
	}
	if kind == world.KindStream {
		r.PromptTokens, r.OutputTokens, r.Timeout = l.PromptTokens, l.OutputTokens, deployment.StreamTimeout
	}
	return r
}

// runCaller sends a request, retries it if mayRetry allows it, and records the
// result. The selector, a random number, chooses the instances.
func (run *scenarioRun) runCaller(ctx context.Context, r world.Request, selector uint64) {
	sentAt := time.Now()
	result := CallerResult{Kind: r.Kind, SentAt: sentAt.Sub(run.startedAt)}
	var maxEventGap time.Duration
	var firstEventAt time.Time
	for {
		result.Attempts++
		r.AttemptID = fmt.Sprintf("%s-%d", r.Body, result.Attempts)
		r.InstanceAddress = run.pickInstance(selector + uint64(result.Attempts)).CallerAddress
		o := world.Send(ctx, r)
		run.addOutcome(o)
		if firstEventAt.IsZero() {
			firstEventAt = o.FirstEventAt
		}
		maxEventGap = max(maxEventGap, o.MaxEventGap)
		if o.Complete && r.Kind != world.KindStream {
			firstEventAt = o.EndedAt
		}
		if !run.mayRetry(o, r, sentAt, result.Attempts) {
			result.setVerdict(o, firstEventAt, maxEventGap, sentAt)
			break
		}
		interruptedAt := time.Now()
		time.Sleep(run.retryDelay(o, r, sentAt))
		if o.LastEvent > 0 {
			maxEventGap = max(maxEventGap, time.Since(interruptedAt))
		}
		r.LastEvent = o.LastEvent
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	run.results = append(run.results, result)
}

func (run *scenarioRun) addOutcome(o world.Outcome) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.outcomes = append(run.outcomes, o)
}

// pickInstance returns the instance that the load balancer sends a caller to: a
// ready one, or any one if none is ready.
func (run *scenarioRun) pickInstance(selector uint64) *deployment.Instance {
	ready := run.deployment.ReadyInstances()
	if len(ready) == 0 {
		ready = run.deployment.Instances
	}
	return ready[selector%uint64(len(ready))]
}

// mayRetry reports whether the caller retries its request: at most maxRetries times
// and within half of its timeout. An order is retried only after a refusal, which
// guarantees that it has not run.
func (run *scenarioRun) mayRetry(o world.Outcome, r world.Request, sentAt time.Time, attempts int) bool {
	if o.Complete || attempts > maxRetries || time.Since(sentAt) > r.Timeout/2 {
		return false
	}
	return r.Kind != world.KindOrder || o.Refused()
}

// retryDelay returns how long a caller waits before it retries.
func (run *scenarioRun) retryDelay(o world.Outcome, r world.Request, sentAt time.Time) time.Duration {
	if o.RetryAfter == 0 {
		return defaultRetryDelay
	}
	return min(o.RetryAfter, (r.Timeout-time.Since(sentAt))/retryDelayDivisor)
}
