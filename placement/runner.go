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
	// ringCapacity bounds the messages that wait for the core. At a few
	// microseconds a message, a full ring is some 10 ms of work.
	ringCapacity = 4096
	// tickInterval bounds how late a deadline or timer is noticed.
	tickInterval = 20 * time.Millisecond
	// fleetInterval is how often the number of instances is read.
	fleetInterval = time.Second
	// queryTimeout bounds the wait for an answer about the core's state.
	queryTimeout = time.Second
	// placeTries bounds the choices for one request when the configuration
	// changes between the choice and its use.
	placeTries = 3
)

// Error is the class of the errors of New.
var Error = errs.Class("placement")

// message is what the ring carries: an event, or a query on the core.
type message struct {
	event Event
	reply chan answer
	query func(core *Core, now time.Duration)
}

// answer is the end of a Place.
type answer struct {
	grant api.Grant
	err   *reason.Error
}

// asked is a Place that waits for its answer.
type asked struct {
	reply   chan answer
	request api.PlacementRequest
}

// Runner owns a core and connects it to callers, engines and peers.
type Runner struct {
	options Options
	log     *slog.Logger
	metrics *metrics
	core    *Core
	ring    *ring.Ring[message]
	poller  *poller
	config  *api.Config
	fleet   fleet
	fleetAt time.Duration
	lastID  atomic.Uint64
	stopped chan struct{}

	// asked and grantedOn belong to the goroutine of Run.
	asked     map[uint64]asked
	grantedOn map[uint64]api.EndpointID
	// running has an *atomic.Int64 for each endpoint.
	running sync.Map
	// oldest has the wait of the first waiting request of each priority.
	oldest [priorityCount]atomic.Int64
}

// New returns a runner; Run starts it.
func New(o Options) (*Runner, error) {
	if o.Config == nil {
		return nil, Error.New("no source of the configuration")
	}
	if o.LinkBitsPerSecond < 0 {
		return nil, Error.New("negative budget of the link")
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
		options:   o,
		log:       o.Log,
		metrics:   newMetrics(o.Scope),
		ring:      ring.New[message](ringCapacity),
		fleet:     newFleet(o.Instances),
		asked:     make(map[uint64]asked),
		grantedOn: make(map[uint64]api.EndpointID),
		stopped:   make(chan struct{}),
	}
	r.core = NewCore(CoreOptions{
		Instance:           o.Instance,
		Half:               o.Half,
		Place:              o.Place,
		Seed:               o.Seed,
		LinkBytesPerSecond: r.linkShare(r.fleet.peak(o.Clock())),
		WallOffset:         time.Duration(time.Now().UnixNano()) - o.Clock(),
	})
	r.poller = newPoller(o.HTTP, r.post)
	return r, nil
}

func (r *Runner) linkShare(instances int) float64 {
	return float64(r.options.LinkBitsPerSecond) / 8 / float64(instances)
}

// Run serves until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	// Polls that wait for room in the ring end once stopped is closed.
	defer r.poller.close()
	defer close(r.stopped)
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-r.ring.C():
			r.handle(ctx, m)
		case <-ticker.C:
			r.tick(ctx)
		}
	}
}

func (r *Runner) tick(ctx context.Context) {
	now := r.options.Clock()
	if now >= r.fleetAt {
		r.fleetAt = now + fleetInterval
		r.step(ctx, FleetResized{
			Instances:          r.fleet.count(now),
			LinkBytesPerSecond: r.linkShare(r.fleet.peak(now)),
		})
		r.metrics.state(r.core.Summarize(now))
	}
	r.step(ctx, Tick{})
	for priority := range r.oldest {
		r.oldest[priority].Store(int64(r.core.QueueDelay(now, api.Priority(priority))))
	}
}

func (r *Runner) handle(ctx context.Context, m message) {
	if m.query != nil {
		r.refresh(ctx)
		m.query(r.core, r.options.Clock())
		return
	}
	switch e := m.event.(type) {
	case PlacementRequested:
		r.asked[e.ID] = asked{reply: m.reply, request: e.Request}
	case PollFailed:
		r.metrics.pollFailed.Inc(1)
	case PeerLoadsReceived:
		r.fleet.seen(r.options.Clock(), e.Loads)
	}
	r.step(ctx, m.event)
}

// step brings the core up to the current configuration and hands it the event.
func (r *Runner) step(ctx context.Context, event Event) {
	r.refresh(ctx)
	// The ended grant is uncounted before the step gives its slot to another.
	switch e := event.(type) {
	case GrantReleased:
		r.uncount(e.ID)
	case PlacementCancelled:
		r.uncount(e.ID)
		delete(r.asked, e.ID)
	}
	r.apply(ctx, r.core.Step(r.options.Clock(), event))
}

// refresh hands over a new configuration.
func (r *Runner) refresh(ctx context.Context) {
	config := r.options.Config()
	if config == r.config {
		return
	}
	r.config = config
	r.apply(ctx, r.core.Step(r.options.Clock(), ConfigChanged{Config: config}))
}

func (r *Runner) apply(ctx context.Context, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case PlacementGranted:
			r.granted(a.Grant)
		case PlacementRefused:
			r.metrics.refusals.Inc(a.Err.Reason)
			r.answer(a.ID, answer{err: a.Err})
		case HealthChanged:
			r.log.Info("endpoint health changed", "endpoint", a.Endpoint, "state", a.State.String(), "reason", a.Reason)
		default:
			r.perform(ctx, action)
		}
	}
}

// perform starts the I/O of an action.
func (r *Runner) perform(ctx context.Context, action Action) {
	started := true
	switch a := action.(type) {
	case StartProbe:
		r.metrics.probes.Inc(1)
		if !r.poller.probe(ctx, a) {
			// Too many probes run; the core repeats this one after probeLost.
			started = false
		}
	case PollLoad:
		r.metrics.polls.Inc(1)
		started = r.poller.load(ctx, a.Endpoint)
	case PollCacheEvents:
		r.metrics.polls.Inc(1)
		started = r.poller.cache(ctx, a)
	}
	if !started {
		r.metrics.pollSkipped.Inc(1)
	}
}

func (r *Runner) granted(grant api.Grant) {
	r.counter(grant.Endpoint.ID).Add(1)
	r.grantedOn[grant.ID] = grant.Endpoint.ID
	r.metrics.granted(grant, r.asked[grant.ID].request)
	r.answer(grant.ID, answer{grant: grant})
}

func (r *Runner) answer(id uint64, a answer) {
	if waiting, ok := r.asked[id]; ok {
		waiting.reply <- a
		delete(r.asked, id)
	}
}

func (r *Runner) uncount(id uint64) {
	if endpoint, ok := r.grantedOn[id]; ok {
		r.counter(endpoint).Add(-1)
		delete(r.grantedOn, id)
	}
}

func (r *Runner) counter(id api.EndpointID) *atomic.Int64 {
	if have, ok := r.running.Load(id); ok {
		return have.(*atomic.Int64)
	}
	have, _ := r.running.LoadOrStore(id, new(atomic.Int64))
	return have.(*atomic.Int64)
}
