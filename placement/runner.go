package placement

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/ring"
)

const (
	// messageQueueCapacity limits the messages that wait for Run. At a few
	// microseconds per message, a full queue takes some 10 ms to process.
	messageQueueCapacity = 4096
	// tickInterval limits the delay with which deadlines and timers are handled.
	tickInterval = 20 * time.Millisecond

	fleetUpdateInterval = time.Second

	queryTimeout = time.Second
	// maxPlaceAttempts limits how many times Place requests a grant because a new
	// configuration no longer permits the chosen endpoint.
	maxPlaceAttempts = 3
)

// Error is the class of the errors of New.
var Error = errs.Class("placement")

// message is an element of the message queue: an event, with reply for a
// PlacementRequested, or a query on the core.
type message struct {
	event Event
	reply chan placementResult
	query func(core *Core, now time.Duration)
}

// placementResult is the grant or refusal of a PlacementRequested.
type placementResult struct {
	grant api.Grant
	err   *reason.Error
}

// pendingPlacement is a placement request without a result.
type pendingPlacement struct {
	reply   chan placementResult
	request api.PlacementRequest
}

// Runner owns a Core and connects it to callers, engines and peers.
type Runner struct {
	options           Options
	log               *slog.Logger
	metrics           *metrics
	core              *Core
	messages          *ring.Queue[message]
	poller            *poller
	appliedConfig     *api.Config
	fleetSize         fleetSize
	nextFleetUpdateAt time.Duration
	lastRequestID     atomic.Uint64
	stopped           chan struct{}

	// pending and grantEndpoints, by request identifier, are used only by the
	// goroutine of Run.
	pending        map[uint64]pendingPlacement
	grantEndpoints map[uint64]api.EndpointID
	// activeGrants maps an api.EndpointID to the *atomic.Int64 with its grants.
	activeGrants sync.Map
	// queueDelays holds the queueing delay of each priority in nanoseconds.
	queueDelays [priorityCount]atomic.Int64
}

// New returns a Runner. It does nothing until Run is called.
func New(o Options) (*Runner, error) {
	if o.Config == nil {
		return nil, Error.New("Config is required")
	}
	if o.LinkBitsPerSecond < 0 {
		return nil, Error.New("LinkBitsPerSecond is %d, must not be negative", o.LinkBitsPerSecond)
	}
	if o.Clock == nil {
		o.Clock = bootclock.Now
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	r := &Runner{
		options:        o,
		log:            o.Log,
		metrics:        newMetrics(o.Scope),
		messages:       ring.New[message](messageQueueCapacity),
		fleetSize:      newFleetSize(o.InstanceCount),
		pending:        make(map[uint64]pendingPlacement),
		grantEndpoints: make(map[uint64]api.EndpointID),
		stopped:        make(chan struct{}),
	}
	r.core = NewCore(CoreOptions{
		Instance:           o.Instance,
		Half:               o.Half,
		Place:              o.Place,
		Seed:               o.Seed,
		LinkBytesPerSecond: r.linkBytesPerSecond(r.fleetSize.peak(o.Clock())),
		WallOffset:         time.Duration(time.Now().UnixNano()) - o.Clock(),
	})
	r.poller = newPoller(o.HTTP, r.postEvent)
	return r, nil
}

func (r *Runner) linkBytesPerSecond(instances int) float64 {
	return float64(r.options.LinkBitsPerSecond) / 8 / float64(instances)
}

// Run processes events until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	// Closing stopped unblocks the polls that wait for room in the message queue.
	defer r.poller.close()
	defer close(r.stopped)
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-r.messages.C():
			r.handle(ctx, m)
		case <-ticker.C:
			r.tick(ctx)
		}
	}
}

func (r *Runner) tick(ctx context.Context) {
	now := r.options.Clock()
	if now >= r.nextFleetUpdateAt {
		r.nextFleetUpdateAt = now + fleetUpdateInterval
		r.step(ctx, FleetResized{
			Instances:          r.fleetSize.count(now),
			LinkBytesPerSecond: r.linkBytesPerSecond(r.fleetSize.peak(now)),
		})
		r.metrics.updateGauges(r.core.Summarize(now))
	}
	r.step(ctx, Tick{})
	for priority := range r.queueDelays {
		r.queueDelays[priority].Store(int64(r.core.QueueDelay(now, api.Priority(priority))))
	}
}

func (r *Runner) handle(ctx context.Context, m message) {
	if m.query != nil {
		r.applyConfig(ctx)
		m.query(r.core, r.options.Clock())
		return
	}
	switch e := m.event.(type) {
	case PlacementRequested:
		r.pending[e.ID] = pendingPlacement{reply: m.reply, request: e.Request}
	case PollFailed:
		r.metrics.pollFailures.Inc(1)
	case PeerLoadsReceived:
		r.fleetSize.recordObservers(r.options.Clock(), e.Loads)
	}
	r.step(ctx, m.event)
}

// step applies the active configuration and the event to the core and performs the
// resulting actions.
func (r *Runner) step(ctx context.Context, event Event) {
	r.applyConfig(ctx)
	// The grant count is decremented before the step can grant the slot again.
	switch e := event.(type) {
	case GrantReleased:
		r.decrementGrantCount(e.ID)
	case PlacementCancelled:
		r.decrementGrantCount(e.ID)
		delete(r.pending, e.ID)
	}
	r.performActions(ctx, r.core.Step(r.options.Clock(), event))
}

// applyConfig applies the configuration to the core if it changed.
func (r *Runner) applyConfig(ctx context.Context) {
	config := r.options.Config()
	if config == r.appliedConfig {
		return
	}
	r.appliedConfig = config
	r.performActions(ctx, r.core.Step(r.options.Clock(), ConfigChanged{Config: config}))
}

func (r *Runner) performActions(ctx context.Context, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case PlacementGranted:
			r.deliverGrant(a.Grant)
		case PlacementRefused:
			r.metrics.refusals.Inc(a.Err.Reason)
			r.deliverResult(a.ID, placementResult{err: a.Err})
		case HealthChanged:
			r.log.Info("endpoint health changed", "endpoint", a.Endpoint, "state", a.State.String(), "reason", a.Reason)
		default:
			r.startIO(ctx, action)
		}
	}
}

// startIO starts the probe or poll that an action requests. The counters of probes
// and polls include those that are skipped, and polls_skipped includes probes.
func (r *Runner) startIO(ctx context.Context, action Action) {
	started := true
	switch a := action.(type) {
	case StartProbe:
		r.metrics.probes.Inc(1)
		if !r.poller.startProbe(ctx, a) {
			// Too many probes run; the core retries this one after
			// probeResultTimeout.
			started = false
		}
	case PollLoad:
		r.metrics.polls.Inc(1)
		started = r.poller.startLoadPoll(ctx, a.Endpoint)
	case PollCacheEvents:
		r.metrics.polls.Inc(1)
		started = r.poller.startCachePoll(ctx, a)
	}
	if !started {
		r.metrics.skippedPolls.Inc(1)
	}
}

func (r *Runner) deliverGrant(grant api.Grant) {
	r.grantCounter(grant.Endpoint.ID).Add(1)
	r.grantEndpoints[grant.ID] = grant.Endpoint.ID
	r.metrics.countGrant(grant, r.pending[grant.ID].request)
	r.deliverResult(grant.ID, placementResult{grant: grant})
}

func (r *Runner) deliverResult(id uint64, result placementResult) {
	if waiting, ok := r.pending[id]; ok {
		waiting.reply <- result
		delete(r.pending, id)
	}
}

func (r *Runner) decrementGrantCount(id uint64) {
	if endpoint, ok := r.grantEndpoints[id]; ok {
		r.grantCounter(endpoint).Add(-1)
		delete(r.grantEndpoints, id)
	}
}

func (r *Runner) grantCounter(id api.EndpointID) *atomic.Int64 {
	if counter, ok := r.activeGrants.Load(id); ok {
		return counter.(*atomic.Int64)
	}
	counter, _ := r.activeGrants.LoadOrStore(id, new(atomic.Int64))
	return counter.(*atomic.Int64)
}
