package generation

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/internal/wait"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/ring"
)

const (
	eventQueueCapacity = 8192
	// tickInterval is the resolution of deadlines and idle timeouts.
	tickInterval = 20 * time.Millisecond
	// crashMarkDelay is how long content that has to run alone waits for the crash
	// marks of the peers before it is placed. It equals refusalDelay of package
	// suspect.
	crashMarkDelay = 2500 * time.Millisecond
	// isolatedPlacementTimeout is how long isolated content waits for an endpoint
	// before its isolation level is read again; isolatedRetryInterval is the
	// minimum time between two placements.
	isolatedPlacementTimeout = time.Second
	isolatedRetryInterval    = 50 * time.Millisecond
)

// Runner runs the event loop of a Core, performs the core's actions and serves
// the HTTP API for callers.
type Runner struct {
	o           Options
	events      *ring.Queue[Event]
	core        *Core
	engines     *engineClient
	traces      *traceStore
	metrics     *metrics
	prefixes    *prefixStore
	checkpoints *checkpointSender

	nextConnectionID atomic.Uint64
	mu               sync.Mutex
	connections      map[uint64]*callerConnection
	openStreamCounts map[api.EndpointID]int
	streams          map[streamKey]engineStream       // used by the event loop only
	placements       map[streamKey]context.CancelFunc // used by the event loop only
	background       sync.WaitGroup                   // goroutines that do I/O
	ctx              context.Context                  // of Run; set before started is closed
	started          chan struct{}                    // closed when Run has started

	draining       atomic.Bool
	activeRequests atomic.Int64
	accountIndex   atomic.Pointer[accountIndex]
}

// engineStream is an open stream of an engine.
type engineStream struct {
	endpoint api.EndpointID
	cancel   context.CancelFunc
}

type streamKey struct {
	generation string
	attempt    uint64
}

// New returns a runner. It serves requests once Run is called.
func New(o Options) (*Runner, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	r := &Runner{
		o:      o,
		events: ring.New[Event](eventQueueCapacity),
		core: NewCore(CoreOptions{
			Instance: o.Instance, Recovery: o.Recovery, Baseline: o.Baseline, Checkpoints: o.Peers != nil,
		}),
		engines:          newEngineClient(),
		traces:           newTraceStore(),
		metrics:          newMetrics(o.Scope),
		prefixes:         newPrefixStore(),
		connections:      make(map[uint64]*callerConnection),
		streams:          make(map[streamKey]engineStream),
		placements:       make(map[streamKey]context.CancelFunc),
		openStreamCounts: make(map[api.EndpointID]int),
		started:          make(chan struct{}),
	}
	r.checkpoints = newCheckpointSender(r)
	return r, nil
}

// Run runs the event loop until the context is cancelled.
func (r *Runner) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	r.ctx = ctx
	close(r.started)
	defer r.background.Wait()
	defer r.engines.close()
	defer stop()
	r.spawn(func() { r.checkpoints.run(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev := <-r.events.C():
			r.handleEvent(ev)
		case <-ticker.C:
			r.applyActions(r.core.Step(r.o.Clock(), Tick{}))
			r.prefixes.expire(r.o.Clock())
			r.metrics.liveGenerations.Update(float64(r.core.ActiveCount()))
		}
	}
}

// loopCall is a function that the event loop runs between two events, for other
// goroutines that need a result from the core.
type loopCall func(core *Core)

func (loopCall) event() {}

func (r *Runner) handleEvent(ev Event) {
	switch ev := ev.(type) {
	case loopCall:
		ev(r.core)
		return
	case PlacementGranted:
		r.endPlacement(ev.Generation, ev.Attempt)
	case PlacementFailed:
		r.endPlacement(ev.Generation, ev.Attempt)
	}
	r.applyActions(r.core.Step(r.o.Clock(), ev))
}

// Takeover ends a generation that another instance serves under the given, higher
// attempt number. It reports whether a generation ended.
func (r *Runner) Takeover(generation string, attempt uint64) (ended bool) {
	select {
	case <-r.started:
	default:
		return false
	}
	result := make(chan bool, 1)
	takeover := loopCall(func(core *Core) {
		before := core.ActiveCount()
		r.applyActions(core.Step(r.o.Clock(), GenerationTakenOver{Generation: generation, Attempt: attempt}))
		result <- core.ActiveCount() < before
	})
	if !r.post(takeover) {
		return false
	}
	select {
	case ended = <-result:
		return ended
	case <-r.ctx.Done():
		return false
	}
}

// post puts an event into the queue of the event loop and blocks while the queue
// is full. It reports false if the loop has ended.
func (r *Runner) post(ev Event) bool { return r.events.Put(r.ctx, ev) == nil }

// spawn runs I/O on a goroutine of its own. Run waits for it before it returns.
func (r *Runner) spawn(job func()) {
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		job()
	}()
}

func (r *Runner) applyActions(actions []Action) {
	for _, action := range actions {
		r.applyAction(action)
	}
}

func (r *Runner) applyAction(action Action) {
	switch action := action.(type) {
	case RequestPlacement:
		ctx, cancel := context.WithTimeout(r.ctx, action.Deadline-r.o.Clock())
		r.placements[streamKey{action.Generation, action.Attempt}] = cancel
		r.spawn(func() { r.placeWithIsolation(ctx, action) })
	case CancelPlacement:
		r.endPlacement(action.Generation, action.Attempt)
	case OpenStream:
		ctx := r.openStream(action.Generation, action.Attempt, action.Endpoint.ID)
		body := newEngineRequest(action)
		r.spawn(func() {
			r.runStream(ctx, action.Generation, action.Attempt, action.Endpoint.Address, "/v1/completions", body, action.NewConnection)
		})
	case ReattachStream:
		ctx := r.openStream(action.Generation, action.Attempt, action.Endpoint.ID)
		body := resumeRequest{Attempt: action.Attempt, From: action.From}
		path := "/v1/streams/" + action.RequestID + "/resume"
		r.spawn(func() { r.runStream(ctx, action.Generation, action.Attempt, action.Endpoint.Address, path, body, true) })
	case ProbeEndpoint:
		r.spawn(func() {
			alive, crashed := r.engines.probeHealth(r.ctx, action.Endpoint.Address)
			r.post(ProbeFinished{Endpoint: action.Endpoint.ID, Alive: alive, Crashed: crashed})
		})
	case CloseStream:
		r.closeStream(action)
	case MarkSuspect:
		r.engines.dropPooled(action.Endpoint.Address)
		r.o.Placer.MarkSuspect(action.Endpoint.ID)
	case ReleaseGrant:
		r.o.Placer.Release(action.Grant, action.Outcome)
	case ReportProgress:
		r.o.Placer.ReportProgress(action.Grant, action.Tokens)
	default:
		r.applyOutput(action)
	}
}

// applyOutput performs the actions that do not concern placement or the streams of
// engines.
func (r *Runner) applyOutput(action Action) {
	switch action := action.(type) {
	case ReportCrash:
		r.o.Log.Warn("endpoint crashed", "endpoint", action.Endpoint.ID, "running", len(action.Running))
		r.o.Marks.ReportCrash(action.Endpoint.ID, action.Endpoint.FailureDomain, action.Running)
	case ReportCompleted:
		r.o.Marks.ReportCompleted(action.Digest)
	case DeliverToken:
		if conn := r.connectionByID(action.Conn); conn != nil {
			conn.deliver(action)
		}
	case DiscardResponse:
		if conn := r.connectionByID(action.Conn); conn != nil {
			conn.discardUnsent()
		}
	case FinishResponse:
		r.logIfFailed(action)
		if conn := r.connectionByID(action.Conn); conn != nil {
			conn.finish(action.Err)
		}
	case FetchPrefix:
		r.spawn(func() { r.fetchPrefix(action) })
	case NotifyTakeover:
		r.spawn(func() { r.notifyTakeover(action) })
	case SendCheckpoint:
		r.checkpoints.add(action)
	case RecordResume:
		r.metrics.recordResume(action)
		r.traces.addResume(r.o.Clock(), action)
	case RecordStep:
		r.metrics.countReason(action)
		r.traces.add(r.o.Clock(), action)
	}
}

func (r *Runner) logIfFailed(action FinishResponse) {
	if action.Err != nil {
		r.o.Log.Info("generation ended early", "generation", action.Generation, "reason", string(action.Err.Reason), "run", string(action.Err.Run))
	}
}

func (r *Runner) openStream(generation string, attempt uint64, endpoint api.EndpointID) context.Context {
	ctx, cancel := context.WithCancel(r.ctx)
	r.streams[streamKey{generation, attempt}] = engineStream{endpoint: endpoint, cancel: cancel}
	r.addOpenStreams(endpoint, 1)
	return ctx
}

func (r *Runner) addOpenStreams(endpoint api.EndpointID, change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openStreamCounts[endpoint] += change
	if r.openStreamCounts[endpoint] == 0 {
		delete(r.openStreamCounts, endpoint)
	}
}

// OpenStreams returns the number of streams that are open on the endpoint. It
// includes streams that were reattached after another instance crashed, for which
// placement has no grant.
func (r *Runner) OpenStreams(endpoint api.EndpointID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.openStreamCounts[endpoint]
}

func (r *Runner) closeStream(action CloseStream) {
	key := streamKey{action.Generation, action.Attempt}
	if stream, ok := r.streams[key]; ok {
		stream.cancel()
		delete(r.streams, key)
		r.addOpenStreams(stream.endpoint, -1)
	}
	if action.Cancel {
		r.spawn(func() { r.engines.cancelStream(r.ctx, action.Endpoint, action.RequestID, action.Attempt) })
	}
}

func (r *Runner) runStream(ctx context.Context, generation string, attempt uint64, address, path string, body any, newConnection bool) {
	kind := r.engines.streamChunks(ctx, address, path, body, newConnection, func(chunk Chunk) error {
		return r.events.Put(ctx, ChunkReceived{Generation: generation, Attempt: attempt, Chunk: chunk})
	})
	if ctx.Err() == nil {
		r.post(StreamClosed{Generation: generation, Attempt: attempt, Kind: kind})
	}
}

// placeWithIsolation requests an endpoint from placement. Content with crash marks
// is placed with its isolation level, which is read again as long as the content
// waits.
func (r *Runner) placeWithIsolation(ctx context.Context, action RequestPlacement) {
	fail := func(err error) {
		r.post(PlacementFailed{Generation: action.Generation, Attempt: action.Attempt, Err: reason.From(err)})
	}
	if action.Retry && !r.o.Admitter.TryRetry(action.Request.Priority) {
		fail(reason.New(reason.RetryBudget, "the retry budget is used up"))
		return
	}
	for {
		level := r.isolationLevel(ctx, action.Digest)
		if level == api.IsolationRefused {
			fail(reason.New(reason.CrashSuspect, "engines died while they ran this content"))
			return
		}
		grant, err := r.placeAtLevel(ctx, action.Request, level)
		switch {
		case err == nil && r.o.Marks.IsolationLevel(action.Digest) > level:
			// The level rose during the placement.
			r.o.Placer.Release(grant.ID, api.OutcomeCancelled)
		case err == nil:
			r.postGrant(action, grant)
			return
		case level == api.IsolationNone || ctx.Err() != nil:
			fail(err)
			return
		}
	}
}

func (r *Runner) postGrant(action RequestPlacement, grant api.Grant) {
	if !r.post(PlacementGranted{Generation: action.Generation, Attempt: action.Attempt, Grant: grant}) {
		r.o.Placer.Release(grant.ID, api.OutcomeCancelled)
	}
}

// isolationLevel returns the isolation level of the content. For content that has
// to run alone it first waits for the crash marks of the peers.
func (r *Runner) isolationLevel(ctx context.Context, digest api.Digest) api.Isolation {
	level := r.o.Marks.IsolationLevel(digest)
	if level != api.IsolationExclusive {
		return level
	}
	wait.For(ctx, crashMarkDelay)
	return r.o.Marks.IsolationLevel(digest)
}

// placeAtLevel requests an endpoint for one isolation level. It does not place the
// content if the context ended while isolationLevel waited. The request of isolated
// content ends after isolatedPlacementTimeout, so that placeWithIsolation reads the
// isolation level again.
func (r *Runner) placeAtLevel(ctx context.Context, request api.PlacementRequest, level api.Isolation) (api.Grant, error) {
	if ctx.Err() != nil {
		return api.Grant{}, reason.New(reason.DeadlineExceeded, "no endpoint in time")
	}
	if level != api.IsolationNone {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, isolatedPlacementTimeout)
		defer cancel()
	}
	request.Isolation = level
	grant, err := r.o.Placer.Place(ctx, request)
	if err != nil && level != api.IsolationNone {
		wait.For(ctx, isolatedRetryInterval)
	}
	return grant, err
}

// endPlacement cancels the context of a placement that has its result or is no
// longer needed.
func (r *Runner) endPlacement(generation string, attempt uint64) {
	key := streamKey{generation, attempt}
	if cancel := r.placements[key]; cancel != nil {
		cancel()
		delete(r.placements, key)
	}
}

// Drain refuses new requests and waits until all responses in progress have ended.
func (r *Runner) Drain(ctx context.Context) error {
	r.draining.Store(true)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for r.activeRequests.Load() > 0 {
		select {
		case <-ctx.Done():
			return Error.New("%d responses were in progress when the drain ended: %w", r.activeRequests.Load(), ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

func (r *Runner) connectionByID(id uint64) *callerConnection {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connections[id]
}
