package harness

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// Fault injects a fault while generations run. last is the last event of the first
// generation. It returns the ID of the engine or instance that the fault affects,
// and a function that ends the fault.
type Fault func(ctx context.Context, f *Fleet, last Event) (target string, endFault func(context.Context) error, err error)

// Measurement is the result and the cost of a group of generations.
type Measurement struct {
	Err              error           // nil: all callers received the expected tokens
	ResumeLatencies  []time.Duration // of the generations that the fault's target served
	RecomputedTokens int             // computed by engines beyond those delivered
	CrossRegionBytes uint64          // between instances and endpoints of other regions
	DeliveredTokens  int
	Reconnects       int
}

// KillServingEngine kills the engine that serves the first generation and restarts
// it at the end of the fault.
func KillServingEngine(_ context.Context, f *Fleet, last Event) (string, func(context.Context) error, error) {
	endpointID, _ := ParseEventID(last.ID)
	e := f.Endpoint(endpointID)
	if e == nil {
		return "", nil, fmt.Errorf("harness: event id %q names no endpoint", last.ID)
	}
	e.Kill()
	return endpointID, func(ctx context.Context) error { return f.StartEndpoint(ctx, e.Spec) }, nil
}

// PauseServingEngine pauses the process of the engine that serves the first
// generation until the end of the fault.
func PauseServingEngine(_ context.Context, f *Fleet, last Event) (string, func(context.Context) error, error) {
	endpointID, _ := ParseEventID(last.ID)
	e := f.Endpoint(endpointID)
	if e == nil {
		return "", nil, fmt.Errorf("harness: event id %q names no endpoint", last.ID)
	}
	e.Pause()
	return endpointID, func(context.Context) error { e.Continue(); return nil }, nil
}

// KillServingInstance kills the instance that serves the first generation and
// restarts it at the end of the fault.
func KillServingInstance(ctx context.Context, f *Fleet, last Event) (string, func(context.Context) error, error) {
	_, id := ParseEventID(last.ID)
	i := f.Instance(id)
	if i == nil {
		return "", nil, fmt.Errorf("harness: event id %q names no instance", last.ID)
	}
	restart := func(ctx context.Context) error {
		if err := f.StartInstance(ctx, i.Spec); err != nil {
			return err
		}
		return f.WaitReady(ctx)
	}
	return id, restart, f.KillInstance(ctx, id)
}

// computedTokens returns the number of tokens that each running engine has
// computed since its start.
func (f *Fleet) computedTokens(ctx context.Context) (map[string]uint64, error) {
	counts := make(map[string]uint64)
	for _, spec := range f.Options.Endpoints {
		e := f.Endpoint(string(spec.ID))
		if spec.Kind != api.KindEngine || !e.Alive() {
			continue
		}
		stats, err := f.EngineStats(ctx, e.Name)
		if err != nil {
			return nil, err
		}
		counts[e.Name] = stats.TokensComputed
	}
	return counts, nil
}

// waitEnginesIdle waits until no engine has running or waiting requests.
func (f *Fleet) waitEnginesIdle(ctx context.Context) error {
	for _, spec := range f.Options.Endpoints {
		e := f.Endpoint(string(spec.ID))
		for spec.Kind == api.KindEngine && e.Alive() {
			stats, err := f.EngineStats(ctx, e.Name)
			if err != nil {
				return err
			}
			if stats.Running+stats.Waiting == 0 {
				break
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// injectedFault is a fault with its target and the unfinished streams that the
// target served.
type injectedFault struct {
	at              time.Time
	target          string
	endFault        func(context.Context) error
	computedTokens  map[string]uint64 // by engine, just before the fault
	affectedStreams []*Stream
}

// MeasureGenerations opens generations and injects the fault when each caller has
// the given number of tokens. It waits for the end of all generations and measures
// them. The fleet must not run other generations. fault may be nil.
func (f *Fleet) MeasureGenerations(ctx context.Context, open func() []*Stream, tokensBeforeFault int, fault Fault) (m Measurement) {
	computedBefore, err := f.computedTokens(ctx)
	if err != nil {
		return Measurement{Err: err}
	}
	bytesBefore := f.CrossRegionBytes()
	streams := open()
	injected, err := f.injectFault(ctx, streams, tokensBeforeFault, fault)
	if err != nil {
		return Measurement{Err: err}
	}
	for _, s := range streams {
		if err := s.WaitAndCheck(ctx); err != nil && m.Err == nil {
			m.Err = err
		}
		m.Reconnects += s.Reconnects()
		m.DeliveredTokens += len(s.Events())
	}
	for _, s := range injected.affectedStreams {
		m.ResumeLatencies = append(m.ResumeLatencies, s.ResumeLatency(injected.at))
	}
	m.CrossRegionBytes = f.CrossRegionBytes() - bytesBefore
	m.RecomputedTokens, err = f.endFaultAndCountRecomputed(ctx, computedBefore, injected, m.DeliveredTokens)
	if m.Err == nil {
		m.Err = err
	}
	return m
}

// injectFault waits until each stream has the given number of tokens and injects
// the fault.
func (f *Fleet) injectFault(ctx context.Context, streams []*Stream, tokensBeforeFault int, fault Fault) (injected injectedFault, err error) {
	if fault == nil {
		return injected, nil
	}
	lastEvents := make([]Event, len(streams))
	for _, s := range streams {
		if _, err := s.WaitForTokens(ctx, tokensBeforeFault); err != nil {
			return injected, err
		}
	}
	// The count of an engine can't be read after it was killed.
	if injected.computedTokens, err = f.computedTokens(ctx); err != nil {
		return injected, err
	}
	for i, s := range streams {
		events := s.Events()
		lastEvents[i] = events[len(events)-1]
	}
	injected.at = time.Now()
	injected.target, injected.endFault, err = fault(ctx, f, lastEvents[0])
	for i, s := range streams {
		endpoint, instance := ParseEventID(lastEvents[i].ID)
		unfinished := len(s.Events()) < s.Request.MaxTokens
		if unfinished && (endpoint == injected.target || instance == injected.target) {
			injected.affectedStreams = append(injected.affectedStreams, s)
		}
	}
	return injected, err
}

// endFaultAndCountRecomputed ends the fault, waits until the engines are idle and
// returns the number of tokens that they computed beyond those delivered.
func (f *Fleet) endFaultAndCountRecomputed(ctx context.Context, computedBefore map[string]uint64, injected injectedFault, delivered int) (int, error) {
	var total uint64
	// The counter of a killed engine starts at 0 after the restart.
	if e := f.Endpoint(injected.target); e != nil && !e.Alive() {
		total += injected.computedTokens[injected.target] - computedBefore[injected.target]
		delete(computedBefore, injected.target)
	}
	if injected.endFault != nil {
		if err := injected.endFault(ctx); err != nil {
			return 0, err
		}
	}
	// An engine continues abandoned streams until they are cancelled or expire.
	if err := f.waitEnginesIdle(ctx); err != nil {
		return 0, err
	}
	computedAfter, err := f.computedTokens(ctx)
	if err != nil {
		return 0, err
	}
	for name, count := range computedBefore {
		total += computedAfter[name] - count
	}
	// The count of a killed engine was read just before the kill, so it can lack
	// tokens and the difference can be negative.
	return max(0, int(total)-delivered), nil
}
