package harness

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// Fault strikes while a generation runs. last is the caller's newest event. The
// returned function ends the fault; it may be nil.
type Fault func(ctx context.Context, f *Fleet, last Event) (undo func(context.Context) error, err error)

// Observed is what one generation cost and how it went.
type Observed struct {
	Err        error // nil: equal to the unbroken answer
	Resume     time.Duration
	Again      int    // tokens that engines computed beyond those delivered
	LinkBytes  uint64 // between regions
	Delivered  int
	Reconnects int
}

// KillEngine kills the engine that serves the generation and starts it again
// afterwards.
func KillEngine(_ context.Context, f *Fleet, last Event) (func(context.Context) error, error) {
	id, _ := ServedBy(last.ID)
	e := f.Endpoint(id)
	if e == nil {
		return nil, fmt.Errorf("harness: event id %q names no endpoint", last.ID)
	}
	e.Kill()
	return func(ctx context.Context) error { return f.StartEndpoint(ctx, e.Spec) }, nil
}

// FreezeEngine stops the engine that serves the generation and continues it
// afterwards.
func FreezeEngine(_ context.Context, f *Fleet, last Event) (func(context.Context) error, error) {
	id, _ := ServedBy(last.ID)
	e := f.Endpoint(id)
	if e == nil {
		return nil, fmt.Errorf("harness: event id %q names no endpoint", last.ID)
	}
	e.Freeze()
	return func(context.Context) error { e.Thaw(); return nil }, nil
}

// KillInstance kills the instance that serves the generation and starts it
// again afterwards.
func KillInstance(ctx context.Context, f *Fleet, last Event) (func(context.Context) error, error) {
	_, id := ServedBy(last.ID)
	i := f.Instance(id)
	if i == nil {
		return nil, fmt.Errorf("harness: event id %q names no instance", last.ID)
	}
	restart := func(ctx context.Context) error {
		if err := f.StartInstance(ctx, i.Spec); err != nil {
			return err
		}
		return f.WaitReady(ctx)
	}
	return restart, f.KillInstance(ctx, id)
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

// Observe runs one generation alone on the fleet, lets the fault strike when
// the caller has the given number of tokens, and counts. fault may be nil.
func (f *Fleet) Observe(ctx context.Context, c *Caller, g Generation, at int, fault Fault) (o Observed) {
	before, err := f.computed(ctx)
	if err != nil {
		return Observed{Err: err}
	}
	linkBefore := f.CrossRegionBytes()
	s := c.Open(ctx, g)
	struck, undo, atFault, err := f.strike(ctx, s, at, fault)
	if err != nil {
		return Observed{Err: err}
	}
	o.Err = s.Check(ctx)
	if !struck.IsZero() {
		o.Resume = s.ResumeLatency(struck)
	}
	o.LinkBytes = f.CrossRegionBytes() - linkBefore
	o.Reconnects = s.Reconnects()
	o.Delivered = len(s.Events())
	o.Again, err = f.again(ctx, before, atFault, undo, o.Delivered)
	if o.Err == nil {
		o.Err = err
	}
	return o
}

func (f *Fleet) strike(ctx context.Context, s *Stream, at int, fault Fault) (struck time.Time, undo func(context.Context) error, atFault map[string]uint64, err error) {
	if fault == nil {
		return struck, nil, nil, nil
	}
	last, err := s.WaitFor(ctx, at)
	if err != nil {
		return struck, nil, nil, err
	}
	// A killed engine can't be asked for its count any more.
	if atFault, err = f.computed(ctx); err != nil {
		return struck, nil, nil, err
	}
	struck = time.Now()
	undo, err = fault(ctx, f, last)
	return struck, undo, atFault, err
}

// again returns the tokens computed beyond those delivered.
func (f *Fleet) again(ctx context.Context, before, atFault map[string]uint64, undo func(context.Context) error, delivered int) (int, error) {
	var total uint64
	for name, count := range atFault {
		if !f.Endpoint(name).Alive() {
			total += count - before[name]
			delete(before, name)
		}
	}
	if undo != nil {
		if err := undo(ctx); err != nil {
			return 0, err
		}
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
