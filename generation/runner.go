package generation

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/ring"
)

const (
	ringCapacity = 8192
	tickInterval = 20 * time.Millisecond
	// aloneWait is how long content that has to run alone waits for the marks
	// of the peers before it is placed; it is suspect's settle time.
	aloneWait = 2500 * time.Millisecond
)

// Runner owns the core and does its I/O.
type Runner struct {
	o       Options
	events  *ring.Ring[Event]
	core    *Core
	engines *engineClient
	traces  *traces
	metrics *metrics
	holder  *holder
	sender  *checkpointSender

	nextConn atomic.Uint64
	mu       sync.Mutex
	conns    map[uint64]*connection
	streams  map[streamKey]context.CancelFunc // owned by the loop
	jobs     sync.WaitGroup
	ctx      context.Context // of Run; set before the loop starts
	ready    chan struct{}

	draining atomic.Bool
	active   atomic.Int64
	accounts atomic.Pointer[accountIndex]
}

type streamKey struct {
	generation string
	attempt    uint64
}

// New returns a runner; Run starts it.
func New(o Options) (*Runner, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	r := &Runner{
		o:      o,
		events: ring.New[Event](ringCapacity),
		core: NewCore(CoreOptions{
			Instance: o.Instance, Recovery: o.Recovery, Baseline: o.Baseline, Checkpoints: o.Peers != nil,
		}),
		engines: newEngineClient(),
		traces:  newTraces(),
		metrics: newMetrics(o.Scope),
		holder:  newHolder(),
		conns:   make(map[uint64]*connection),
		streams: make(map[streamKey]context.CancelFunc),
		ready:   make(chan struct{}),
	}
	r.sender = newCheckpointSender(r)
	return r, nil
}

// Run handles events until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	r.ctx = ctx
	close(r.ready)
	defer r.jobs.Wait()
	defer r.engines.close()
	defer stop()
	r.spawn(func() { r.sender.run(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.endConnections()
			return nil
		case ev := <-r.events.C():
			r.handle(ev)
		case <-ticker.C:
			r.apply(r.core.Step(r.o.Clock(), Tick{}))
			r.holder.expire(r.o.Clock())
			r.metrics.live.Update(float64(r.core.Live()))
		}
	}
}

// call is an event that runs in the loop, for callers that need an answer.
type call func(core *Core)

func (call) event() {}

func (r *Runner) handle(ev Event) {
	if run, ok := ev.(call); ok {
		run(r.core)
		return
	}
	r.apply(r.core.Step(r.o.Clock(), ev))
}

// Takeover ends the connection of a generation that another instance serves
// under the given, higher attempt. It reports whether one was ended.
func (r *Runner) Takeover(generation string, attempt uint64) (ended bool) {
	select {
	case <-r.ready:
	default:
		return false
	}
	answer := make(chan bool, 1)
	takeover := call(func(core *Core) {
		before := core.Live()
		r.apply(core.Step(r.o.Clock(), TakenOver{Generation: generation, Attempt: attempt}))
		answer <- core.Live() < before
	})
	if !r.post(takeover) {
		return false
	}
	select {
	case ended = <-answer:
		return ended
	case <-r.ctx.Done():
		return false
	}
}

// endConnections tells the remaining callers that the instance stops.
func (r *Runner) endConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		conn.finish(&reason.Error{Reason: reason.ShuttingDown, Run: reason.RunUnknown, Message: "the instance stops"})
	}
}

// post hands the result of I/O to the loop and waits for room.
func (r *Runner) post(ev Event) bool { return r.events.Put(r.ctx, ev) == nil }

// spawn runs I/O beside the loop.
func (r *Runner) spawn(job func()) {
	r.jobs.Add(1)
	go func() {
		defer r.jobs.Done()
		job()
	}()
}

func (r *Runner) apply(actions []Action) {
	for _, action := range actions {
		r.applyOne(action)
	}
}

func (r *Runner) applyOne(action Action) {
	switch action := action.(type) {
	case Place:
		r.spawn(func() { r.place(action) })
	case Open:
		ctx := r.openStream(action.Generation, action.Attempt)
		body := newEngineRequest(action)
		r.spawn(func() {
			r.stream(ctx, action.Generation, action.Attempt, action.Endpoint.Address, "/v1/completions", body, action.Fresh)
		})
	case Reattach:
		ctx := r.openStream(action.Generation, action.Attempt)
		body := resumeRequest{Attempt: action.Attempt, From: action.From}
		path := "/v1/streams/" + action.EngineID + "/resume"
		r.spawn(func() { r.stream(ctx, action.Generation, action.Attempt, action.Endpoint.Address, path, body, true) })
	case Probe:
		r.spawn(func() {
			alive, refused := r.engines.probe(r.ctx, action.Endpoint.Address)
			r.post(Probed{Endpoint: action.Endpoint.ID, Alive: alive, Refused: refused})
		})
	case CloseStream:
		r.closeStream(action)
	case Suspect:
		r.engines.suspect(action.Endpoint.Address)
		r.o.Placer.Silent(action.Endpoint.ID)
	case Release:
		r.o.Placer.Release(action.Grant, action.Outcome)
	case Progress:
		r.o.Placer.Progress(action.Grant, action.Tokens)
	default:
		r.applyReport(action)
	}
}

func (r *Runner) applyReport(action Action) {
	switch action := action.(type) {
	case Died:
		r.o.Log.Warn("endpoint died", "endpoint", action.Endpoint.ID, "running", len(action.Running))
		r.o.Marks.EndpointDied(action.Endpoint.ID, action.Endpoint.FailureDomain, action.Running)
	case ContentCompleted:
		r.o.Marks.Completed(action.Digest)
	case Deliver:
		if conn := r.connection(action.Conn); conn != nil {
			conn.deliver(action)
		}
	case Restarted:
		if conn := r.connection(action.Conn); conn != nil {
			conn.restart()
		}
	case Finish:
		if conn := r.connection(action.Conn); conn != nil {
			conn.finish(action.Err)
		}
	case FetchPrefix:
		r.spawn(func() { r.fetchPrefix(action) })
	case NotifyTakeover:
		r.spawn(func() { r.notifyTakeover(action) })
	case Checkpoint:
		r.sender.add(action)
	case Resumed:
		r.metrics.resumed(action)
		r.traces.resumed(r.o.Clock(), action)
	case Note:
		r.metrics.note(action)
		r.traces.add(r.o.Clock(), action)
	}
}

func (r *Runner) openStream(generation string, attempt uint64) context.Context {
	ctx, cancel := context.WithCancel(r.ctx)
	r.streams[streamKey{generation, attempt}] = cancel
	return ctx
}

func (r *Runner) closeStream(action CloseStream) {
	key := streamKey{action.Generation, action.Attempt}
	if cancel := r.streams[key]; cancel != nil {
		cancel()
		delete(r.streams, key)
	}
	if action.Cancel {
		r.spawn(func() { r.engines.cancel(r.ctx, action.Endpoint, action.EngineID, action.Attempt) })
	}
}

func (r *Runner) stream(ctx context.Context, generation string, attempt uint64, address, path string, body any, fresh bool) {
	kind := r.engines.stream(ctx, address, path, body, fresh, func(chunk Chunk) error {
		return r.events.Put(ctx, Received{Generation: generation, Attempt: attempt, Chunk: chunk})
	})
	if ctx.Err() == nil {
		r.post(Closed{Generation: generation, Attempt: attempt, Kind: kind})
	}
}

// place asks placement for an endpoint. Content under suspicion carries its
// level of isolation.
func (r *Runner) place(action Place) {
	fail := func(err error) {
		r.post(PlaceFailed{Generation: action.Generation, Attempt: action.Attempt, Err: reason.From(err)})
	}
	level := r.o.Marks.Level(action.Digest)
	if level == api.IsolationAlone {
		r.pause(aloneWait)
		level = r.o.Marks.Level(action.Digest)
	}
	if level == api.IsolationRefused {
		fail(reason.New(reason.CrashSuspect, "engines died while they ran this content"))
		return
	}
	if action.Retry && !r.o.Admitter.AllowRetry(action.Request.Priority) {
		fail(reason.New(reason.RetryBudget, "the retry budget is used up"))
		return
	}
	request := action.Request
	request.Isolation = level
	ctx, cancel := context.WithTimeout(r.ctx, action.Deadline-r.o.Clock())
	defer cancel()
	grant, err := r.o.Placer.Place(ctx, request)
	if err != nil {
		fail(err)
		return
	}
	if !r.post(Placed{Generation: action.Generation, Attempt: action.Attempt, Grant: grant}) {
		r.o.Placer.Release(grant.ID, api.OutcomeCancelled)
	}
}

// pause waits within the life of the runner.
func (r *Runner) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.ctx.Done():
	case <-timer.C:
	}
}

// Drain refuses new work and waits for the running answers.
func (r *Runner) Drain(ctx context.Context) error {
	r.draining.Store(true)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for r.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return Error.New("%d answers still run: %w", r.active.Load(), ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

func (r *Runner) connection(id uint64) *connection {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conns[id]
}
