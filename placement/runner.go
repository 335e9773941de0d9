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
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/ring"
)

const (
	// ringCapacity bounds the messages that wait for the core. At 2 us a
	// message a full ring is about 8 ms of work.
	ringCapacity = 4096
	// tickInterval bounds how late a deadline or timer is noticed.
	tickInterval = 20 * time.Millisecond
	// queryTimeout bounds the wait for an answer about the core's state.
	queryTimeout = time.Second
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

// Runner owns a core and connects it to callers, engines and peers.
type Runner struct {
	options Options
	log     *slog.Logger
	core    *Core
	ring    *ring.Ring[message]
	waiting map[uint64]chan answer
	lastID  atomic.Uint64
	config  *api.Config
	stopped chan struct{}
	// running has an *atomic.Int64 for each endpoint.
	running sync.Map
	// grantedOn remembers the endpoint of each grant; owned by the goroutine.
	grantedOn map[uint64]api.EndpointID
}

// New returns a runner; Run starts it.
func New(o Options) (*Runner, error) {
	if o.Config == nil {
		return nil, Error.New("no source of the configuration")
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
	core := NewCore(CoreOptions{
		Instance:           o.Instance,
		Half:               o.Half,
		Place:              o.Place,
		Seed:               o.Seed,
		LinkBytesPerSecond: float64(o.LinkBitsPerSecond) / 8,
	})
	return &Runner{
		options:   o,
		log:       o.Log,
		core:      core,
		ring:      ring.New[message](ringCapacity),
		waiting:   make(map[uint64]chan answer),
		grantedOn: make(map[uint64]api.EndpointID),
		stopped:   make(chan struct{}),
	}, nil
}

// Run serves until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	defer close(r.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-r.ring.C():
			r.handle(m)
		case <-ticker.C:
			r.step(Tick{})
		}
	}
}

func (r *Runner) handle(m message) {
	if m.query != nil {
		m.query(r.core, r.options.Clock())
		return
	}
	if place, ok := m.event.(PlaceRequested); ok {
		r.waiting[place.ID] = m.reply
	}
	r.step(m.event)
}

// step brings the core up to the current configuration and hands it the event.
func (r *Runner) step(event Event) {
	now := r.options.Clock()
	if config := r.options.Config(); config != r.config {
		r.config = config
		r.apply(r.core.Step(now, ConfigChanged{Config: config}))
	}
	r.apply(r.core.Step(now, event))
	switch e := event.(type) {
	case Released:
		r.uncount(e.ID)
	case PlaceCancelled:
		r.uncount(e.ID)
		delete(r.waiting, e.ID)
	}
}

func (r *Runner) apply(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Granted:
			r.counter(a.Grant.Endpoint.ID).Add(1)
			r.grantedOn[a.Grant.ID] = a.Grant.Endpoint.ID
			r.reply(a.Grant.ID, answer{grant: a.Grant})
		case Refused:
			r.reply(a.ID, answer{err: a.Err})
		}
	}
}

func (r *Runner) reply(id uint64, a answer) {
	if reply, ok := r.waiting[id]; ok {
		reply <- a
		delete(r.waiting, id)
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

// Place reserves a place for the work. It waits until the context ends.
func (r *Runner) Place(ctx context.Context, request api.PlacementRequest) (api.Grant, error) {
	id := r.lastID.Add(1)
	reply := make(chan answer, 1)
	event := PlaceRequested{ID: id, Request: request, Deadline: r.deadline(ctx)}
	if !r.ring.Offer(message{event: event, reply: reply}) {
		return api.Grant{}, reason.New(reason.Overloaded, "the placement ring is full")
	}
	select {
	case a := <-reply:
		return r.confirm(request, a)
	case <-ctx.Done():
		r.post(PlaceCancelled{ID: id})
		return api.Grant{}, contextError(ctx)
	case <-r.stopped:
		return api.Grant{}, reason.New(reason.ShuttingDown, "placement has stopped")
	}
}

// confirm checks the configuration again after the grant was counted. A reader
// that publishes a restriction and then sees Running at 0 can therefore be
// sure that no earlier grant will be used.
func (r *Runner) confirm(request api.PlacementRequest, a answer) (api.Grant, error) {
	if a.err != nil {
		return api.Grant{}, a.err
	}
	if mayUse(r.options.Config(), a.grant.Endpoint.ID, r.options.Half, request) {
		return a.grant, nil
	}
	r.Release(a.grant.ID, api.OutcomeCancelled)
	return api.Grant{}, reason.New(reason.EndpointLeaving, "the endpoint left while the grant was made")
}

func contextError(ctx context.Context) error {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return reason.New(reason.DeadlineExceeded, "no endpoint before the deadline")
	}
	return reason.New(reason.CallerGone, "the request was cancelled before an endpoint was chosen")
}

func (r *Runner) deadline(ctx context.Context) time.Duration {
	at, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return r.options.Clock() + time.Until(at)
}

// post hands over an event that must not be dropped.
func (r *Runner) post(event Event) {
	m := message{event: event}
	if r.ring.Offer(m) {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-r.stopped:
			cancel()
		case <-ctx.Done():
		}
	}()
	_ = r.ring.Put(ctx, m)
}

// Progress reports tokens that the work of a grant has delivered.
func (r *Runner) Progress(grant uint64, tokens int) {
	r.ring.Offer(message{event: Progressed{ID: grant, Tokens: tokens}})
}

// Release ends a grant.
func (r *Runner) Release(grant uint64, outcome api.Outcome) {
	r.post(Released{ID: grant, Outcome: outcome})
}

// Silent reports that an endpoint was silent beyond a stream's bound.
func (r *Runner) Silent(endpoint api.EndpointID) { r.post(WentSilent{Endpoint: endpoint}) }

// Running returns the number of grants in use on the endpoint.
func (r *Runner) Running(endpoint api.EndpointID) int {
	return int(r.counter(endpoint).Load())
}

// EndpointStatus is the state of one endpoint for the operators.
type EndpointStatus struct {
	ID          api.EndpointID `json:"id"`
	State       string         `json:"state"`
	Reason      reason.Reason  `json:"reason,omitempty"`
	Running     int            `json:"running"`
	Outstanding int            `json:"outstanding"`
}

// Endpoints returns the state of all endpoints.
func (r *Runner) Endpoints() []EndpointStatus { return nil }

// Collect returns the changes for the peers.
func (r *Runner) Collect(max int) *peerpb.Deltas { return &peerpb.Deltas{} }

// Merge takes changes from a peer.
func (r *Runner) Merge(deltas *peerpb.Deltas) {}
