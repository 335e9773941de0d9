package harness

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// Fault strikes while generations run. last is the newest event of the first.
// It returns the id of the engine or instance that it struck and a function
// that ends the fault.
type Fault func(ctx context.Context, f *Fleet, last Event) (victim string, undo func(context.Context) error, err error)

// Measurement is what some generations cost and how they went.
type Measurement struct {
	Err              error           // nil: all equal to the unbroken answer
	ResumeLatencies  []time.Duration // of the generations that the victim served
	RecomputedTokens int             // tokens that engines computed beyond those delivered
	CrossRegionBytes uint64          // between regions
	DeliveredTokens  int
	Reconnects       int
}

// KillEngine kills the engine that serves the generation and starts it again
// afterwards.
func KillEngine(_ context.Context, f *Fleet, last Event) (string, func(context.Context) error, error) {
	id, _ := ParseEventID(last.ID)
	e := f.Endpoint(id)
	if e == nil {
		return "", nil, fmt.Errorf("harness: event id %q names no endpoint", last.ID)
	}
	e.Kill()
	return id, func(ctx context.Context) error { return f.StartEndpoint(ctx, e.Spec) }, nil
}

// PauseEngine stops the engine that serves the generation and continues it
// afterwards.
func PauseEngine(_ context.Context, f *Fleet, last Event) (string, func(context.Context) error, error) {
	id, _ := ParseEventID(last.ID)
	e := f.Endpoint(id)
	if e == nil {
		return "", nil, fmt.Errorf("harness: event id %q names no endpoint", last.ID)
	}
	e.Pause()
	return id, func(context.Context) error { e.Continue(); return nil }, nil
}

// KillInstance kills the instance that serves the generation and starts it
// again afterwards.
func KillInstance(ctx context.Context, f *Fleet, last Event) (string, func(context.Context) error, error) {
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

// computed returns the tokens that each engine has computed. Only engines that
// run are asked.
func (f *Fleet) computed(ctx context.Context) (map[string]uint64, error) {
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

// quiet waits until no engine has work.
func (f *Fleet) quiet(ctx context.Context) error {
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

// strike is a fault that struck.
type strike struct {
	at       time.Time
	victim   string
	undo     func(context.Context) error
	computed map[string]uint64 // just before the fault
	affected []*Stream
}

// MeasureGenerations runs generations alone on the fleet, lets the fault strike when each
// caller has the given number of tokens, and counts. fault may be nil.
func (f *Fleet) MeasureGenerations(ctx context.Context, open func() []*Stream, at int, fault Fault) (o Measurement) {
	before, err := f.computed(ctx)
	if err != nil {
		return Measurement{Err: err}
	}
	linkBefore := f.CrossRegionBytes()
	streams := open()
	struck, err := f.strike(ctx, streams, at, fault)
	if err != nil {
		return Measurement{Err: err}
	}
	for _, s := range streams {
		if err := s.WaitAndCheck(ctx); err != nil && o.Err == nil {
			o.Err = err
		}
		o.Reconnects += s.Reconnects()
		o.DeliveredTokens += len(s.Events())
	}
	for _, s := range struck.affected {
		o.ResumeLatencies = append(o.ResumeLatencies, s.ResumeLatency(struck.at))
	}
	o.CrossRegionBytes = f.CrossRegionBytes() - linkBefore
	o.RecomputedTokens, err = f.again(ctx, before, struck, o.DeliveredTokens)
	if o.Err == nil {
		o.Err = err
	}
	return o
}

func (f *Fleet) strike(ctx context.Context, streams []*Stream, at int, fault Fault) (struck strike, err error) {
	if fault == nil {
		return struck, nil
	}
	lasts := make([]Event, len(streams))
	for _, s := range streams {
		if _, err := s.WaitForTokens(ctx, at); err != nil {
			return struck, err
		}
	}
	// A killed engine can't be asked for its count any more.
	if struck.computed, err = f.computed(ctx); err != nil {
		return struck, err
	}
	for i, s := range streams {
		events := s.Events()
		lasts[i] = events[len(events)-1]
	}
	struck.at = time.Now()
	struck.victim, struck.undo, err = fault(ctx, f, lasts[0])
	for i, s := range streams {
		endpoint, instance := ParseEventID(lasts[i].ID)
		unfinished := len(s.Events()) < s.Request.MaxTokens
		if unfinished && (endpoint == struck.victim || instance == struck.victim) {
			struck.affected = append(struck.affected, s)
		}
	}
	return struck, err
}

// again returns the tokens computed beyond those delivered.
func (f *Fleet) again(ctx context.Context, before map[string]uint64, struck strike, delivered int) (int, error) {
	var total uint64
	if e := f.Endpoint(struck.victim); e != nil && !e.Alive() {
		total += struck.computed[struck.victim] - before[struck.victim]
		delete(before, struck.victim)
	}
	if struck.undo != nil {
		if err := struck.undo(ctx); err != nil {
			return 0, err
		}
	}
	// An engine goes on with streams that were left behind until they are
	// cancelled or expire.
	if err := f.quiet(ctx); err != nil {
		return 0, err
	}
	after, err := f.computed(ctx)
	if err != nil {
		return 0, err
	}
	for name, count := range before {
		total += after[name] - count
	}
	// The victim's count was read just before it ended, so it can lack a token.
	return max(0, int(total)-delivered), nil
}
