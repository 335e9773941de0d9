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
	// isolatedWait is how long isolated content waits for an endpoint before
	// its level is looked at again; isolatedRetry is the least time between.
	isolatedWait  = time.Second
	isolatedRetry = 50 * time.Millisecond
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
	running  map[api.EndpointID]int           // open streams
	streams  map[streamKey]openedStream       // owned by the loop
	places   map[streamKey]context.CancelFunc // owned by the loop
	jobs     sync.WaitGroup
	ctx      context.Context // of Run; set before the loop starts
	ready    chan struct{}

	draining atomic.Bool
	active   atomic.Int64
	accounts atomic.Pointer[accountIndex]
}

// openedStream is an open connection to an engine.
type openedStream struct {
	endpoint api.EndpointID
	cancel   context.CancelFunc
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
		streams: make(map[streamKey]openedStream),
		places:  make(map[streamKey]context.CancelFunc),
		running: make(map[api.EndpointID]int),
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
	switch ev := ev.(type) {
	case call:
		ev(r.core)
		return
	case Placed:
		r.endPlace(ev.Generation, ev.Attempt)
	case PlaceFailed:
		r.endPlace(ev.Generation, ev.Attempt)
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
		ctx, cancel := context.WithTimeout(r.ctx, action.Deadline-r.o.Clock())
		r.places[streamKey{action.Generation, action.Attempt}] = cancel
		r.spawn(func() { r.place(ctx, action) })
	case CancelPlace:
		r.endPlace(action.Generation, action.Attempt)
	case Open:
		ctx := r.openStream(action.Generation, action.Attempt, action.Endpoint.ID)
		body := newEngineRequest(action)
		r.spawn(func() {
			r.stream(ctx, action.Generation, action.Attempt, action.Endpoint.Address, "/v1/completions", body, action.Fresh)
		})
	case Reattach:
		ctx := r.openStream(action.Generation, action.Attempt, action.Endpoint.ID)
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
		r.o.Placer.MarkSuspect(action.Endpoint.ID)
	case Release:
		r.o.Placer.Release(action.Grant, action.Outcome)
	case Progress:
		r.o.Placer.ReportProgress(action.Grant, action.Tokens)
	default:
		r.applyReport(action)
	}
}

func (r *Runner) applyReport(action Action) {
	switch action := action.(type) {
	case Died:
		r.o.Log.Warn("endpoint died", "endpoint", action.Endpoint.ID, "running", len(action.Running))
		r.o.Marks.ReportCrash(action.Endpoint.ID, action.Endpoint.FailureDomain, action.Running)
	case ContentCompleted:
		r.o.Marks.ReportCompleted(action.Digest)
	case Deliver:
		if conn := r.connection(action.Conn); conn != nil {
			conn.deliver(action)
		}
	case Restarted:
		if conn := r.connection(action.Conn); conn != nil {
			conn.restart()
		}
	case Finish:
		r.logEnd(action)
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

func (r *Runner) logEnd(f Finish) {
	if f.Err != nil {
		r.o.Log.Info("generation ended early", "generation", f.Generation, "reason", string(f.Err.Reason), "run", string(f.Err.Run))
	}
}

func (r *Runner) openStream(generation string, attempt uint64, endpoint api.EndpointID) context.Context {
	ctx, cancel := context.WithCancel(r.ctx)
	r.streams[streamKey{generation, attempt}] = openedStream{endpoint: endpoint, cancel: cancel}
	r.countStream(endpoint, 1)
	return ctx
}

func (r *Runner) countStream(endpoint api.EndpointID, change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[endpoint] += change
	if r.running[endpoint] == 0 {
		delete(r.running, endpoint)
	}
}

// OpenStreams returns the number of streams that are open on the endpoint. It
// includes streams that were reattached after the death of another instance,
// for which placement has no grant.
func (r *Runner) OpenStreams(endpoint api.EndpointID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running[endpoint]
}

func (r *Runner) closeStream(action CloseStream) {
	key := streamKey{action.Generation, action.Attempt}
	if stream, ok := r.streams[key]; ok {
		stream.cancel()
		delete(r.streams, key)
		r.countStream(stream.endpoint, -1)
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
// level of isolation, which is looked at again as long as the content waits.
func (r *Runner) place(ctx context.Context, action Place) {
	fail := func(err error) {
		r.post(PlaceFailed{Generation: action.Generation, Attempt: action.Attempt, Err: reason.From(err)})
	}
	if action.Retry && !r.o.Admitter.AllowRetry(action.Request.Priority) {
		fail(reason.New(reason.RetryBudget, "the retry budget is used up"))
		return
	}
	for {
		level := r.settledLevel(ctx, action.Digest)
		if level == api.IsolationRefused {
			fail(reason.New(reason.CrashSuspect, "engines died while they ran this content"))
			return
		}
		grant, err := r.placeAt(ctx, action.Request, level)
		switch {
		case err == nil && r.o.Marks.IsolationLevel(action.Digest) > level:
			r.o.Placer.Release(grant.ID, api.OutcomeCancelled)
		case err == nil:
			r.placed(action, grant)
			return
		case level == api.IsolationNone || ctx.Err() != nil:
			fail(err)
			return
		}
	}
}

func (r *Runner) placed(action Place, grant api.Grant) {
	if !r.post(Placed{Generation: action.Generation, Attempt: action.Attempt, Grant: grant}) {
		r.o.Placer.Release(grant.ID, api.OutcomeCancelled)
	}
}

// settledLevel returns the level of the content. Content that has to run alone
// waits first for the marks of the peers.
func (r *Runner) settledLevel(ctx context.Context, digest api.Digest) api.Isolation {
	level := r.o.Marks.IsolationLevel(digest)
	if level != api.IsolationAlone {
		return level
	}
	pause(ctx, aloneWait)
	return r.o.Marks.IsolationLevel(digest)
}

// placeAt asks for an endpoint at one level of isolation. A wait that was cut
// short does not place the content, and isolated content asks again every
// isolatedWait.
func (r *Runner) placeAt(ctx context.Context, request api.PlacementRequest, level api.Isolation) (api.Grant, error) {
	if ctx.Err() != nil {
		return api.Grant{}, reason.New(reason.DeadlineExceeded, "no endpoint in time")
	}
	if level != api.IsolationNone {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, isolatedWait)
		defer cancel()
	}
	request.Isolation = level
	grant, err := r.o.Placer.Place(ctx, request)
	if err != nil && level != api.IsolationNone {
		pause(ctx, isolatedRetry)
	}
	return grant, err
}

// endPlace ends the wait of a placement that has its result or is not needed.
func (r *Runner) endPlace(generation string, attempt uint64) {
	key := streamKey{generation, attempt}
	if cancel := r.places[key]; cancel != nil {
		cancel()
		delete(r.places, key)
	}
}

// pause waits until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
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
