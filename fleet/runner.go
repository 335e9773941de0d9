package fleet

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
	"github.com/hibiscusstair/hibiscusstair/store"
)

// Error is the class of this package's errors.
var Error = errs.Class("fleet")

const (
	// tickInterval is a tenth of the shortest bound in the core.
	tickInterval = 100 * time.Millisecond
	// eventCapacity holds the exchanges of several seconds at 330 instances.
	eventCapacity = 1024
	// farewellTimeout bounds the messages and the store call of a graceful end.
	farewellTimeout = 2 * time.Second
)

// DeltaSource is the part of another slice whose state rides on exchanges.
// Both methods are called from several goroutines.
type DeltaSource interface {
	// Collect returns at most max bytes of changes.
	Collect(max int) *peerpb.Deltas
	// Merge applies changes from a peer; they may be old or repeated.
	Merge(*peerpb.Deltas)
}

// TicketState is what the slice needs of the ticket slice.
type TicketState interface {
	// Ready says that a configuration was read from the store or a peer.
	Ready() bool
	// HeadVersion is the store version of the ticket head that is applied.
	HeadVersion() uint64
	Latest() uint64
	Accepted() uint64
	Acknowledged() uint64
	// StoreContact is the boot clock time at which the last answered read of
	// the ticket head was sent; negative: none yet.
	StoreContact() time.Duration
	// ExpelledIncarnation is the highest incarnation of this instance whose registration
	// was seen to be removed from the store; 0 is none.
	ExpelledIncarnation() uint64
	// Registrations are the instances that the watch of the store shows as
	// registered, with their incarnations; nil without a watch. The map is not
	// changed.
	Registrations() map[api.InstanceID]uint64
	// NotifyNewerHead says that the instance at the address applies a newer head.
	NotifyNewerHead(address string, headVersion uint64)
}

// Clients returns a client of the instance at an address.
type Clients interface {
	Client(address string) peerpb.Peer
}

// Options configures a Runner.
type Options struct {
	Instance    api.InstanceID
	Incarnation uint64 // start of the process in ms
	Half        api.Half
	Place       api.Place
	// Address is where peers reach this instance.
	Address       string
	SeedAddresses []string
	Store         store.API
	Clients       Clients
	DeltaSources  []DeltaSource
	Tickets       TicketState
	// ExpelMode is "auto" or "manual".
	ExpelMode string
	Log       *slog.Logger
	Scope     tally.Scope
	Clock     bootclock.Func
	Seed      uint64
}

// Runner owns a Core and does its I/O.
type Runner struct {
	options Options
	core    *Core
	events  *ring.Ring[message]
	members atomic.Pointer[[]api.Member]
	status  atomic.Pointer[Status]
	metrics *metrics
	deltas  *deltaBudget
	io      sync.WaitGroup
	// published is the table generation that members holds.
	published uint64
	ctx       context.Context
	cancel    context.CancelFunc
}

// message is an event with the channel for a synchronous answer.
type message struct {
	event   Event
	respond chan *peerpb.ExchangeResponse
	done    chan struct{}
}

// New returns a runner; nothing is sent before Run.
func New(o Options) (*Runner, error) {
	switch {
	case o.Instance == "" || o.Address == "":
		return nil, Error.New("instance and address are required")
	case o.ExpelMode != "auto" && o.ExpelMode != "manual":
		return nil, Error.New("expel is %q, allowed are auto and manual", o.ExpelMode)
	case o.Store == nil || o.Clients == nil || o.Tickets == nil:
		return nil, Error.New("store, clients and tickets are required")
	}
	core := NewCore(CoreOptions{
		Self:          api.Member{ID: o.Instance, Incarnation: o.Incarnation, Address: o.Address, Place: o.Place, Half: o.Half},
		SeedAddresses: o.SeedAddresses,
		AutoExpel:     o.ExpelMode == "auto",
		Seed:          o.Seed,
	})
	r := &Runner{
		options: o,
		core:    core,
		events:  ring.New[message](eventCapacity),
		metrics: newMetrics(o.Scope),
		deltas:  &deltaBudget{sources: o.DeltaSources},
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.publish(o.Clock())
	return r, nil
}

// Run drives the core until the context ends. If Leave was called, it then
// announces the end and removes the registration.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer r.io.Wait()
	defer r.cancel()
	for {
		select {
		case <-ctx.Done():
			r.sayFarewell()
			return ctx.Err()
		case m := <-r.events.C():
			r.step(m)
		case <-ticker.C:
			r.step(message{event: r.progress()})
			r.step(message{event: Tick{}})
		}
	}
}

func (r *Runner) progress() TicketProgress {
	t := r.options.Tickets
	return TicketProgress{
		Configured:          t.Ready(),
		HeadVersion:         t.HeadVersion(),
		Latest:              t.Latest(),
		Accepted:            t.Accepted(),
		Acknowledged:        t.Acknowledged(),
		StoreContact:        t.StoreContact(),
		ExpelledIncarnation: t.ExpelledIncarnation(),
		Registered:          t.Registrations(),
	}
}

func (r *Runner) step(m message) {
	now := r.options.Clock()
	for _, action := range r.core.Step(now, m.event) {
		r.do(m, action)
	}
	r.publish(now)
	if m.done != nil {
		close(m.done)
	}
}

func (r *Runner) publish(now time.Duration) {
	status := r.core.Status(now)
	r.status.Store(&status)
	if generation := r.core.Generation(); generation != r.published || r.members.Load() == nil {
		members := r.core.Members()
		r.members.Store(&members)
		r.published = generation
		r.metrics.members(members)
	}
}

func (r *Runner) do(m message, action Action) {
	switch a := action.(type) {
	case SendExchange:
		r.start(func() { r.exchange(a) })
	case Respond:
		m.respond <- a.Response
	case SendProbe:
		r.start(func() { r.probe(a) })
	case ReadInstanceList:
		r.start(r.readList)
	case ReadRegistrations:
		r.start(r.readRegistrations)
	case Register:
		r.start(func() { r.register(a.Incarnation) })
	case Expel:
		r.start(func() { r.expel(r.ctx, a) })
	case NewerTicketHead:
		r.options.Tickets.NotifyNewerHead(a.Address, a.HeadVersion)
	case MemberChanged:
		r.metrics.changed(a)
		r.options.Log.Info("member changed state", "member", string(a.Member.ID),
			"from", a.From.String(), "to", a.Member.State.String(), "incarnation", a.Member.Incarnation)
	case DuplicateInstance:
		r.metrics.duplicate.Inc(1)
		r.options.Log.Error("another process uses this instance id; no new work is taken", "address", a.Address)
	case IncarnationReset:
		r.metrics.resets.Inc(1)
		r.options.Log.Warn("this instance was expelled and joins again", "incarnation", a.Incarnation)
	}
}

func (r *Runner) start(f func()) {
	r.io.Add(1)
	go func() {
		defer r.io.Done()
		f()
	}()
}

// post delivers the result of I/O; it waits for room in the ring.
func (r *Runner) post(ev Event) { _ = r.events.Put(r.ctx, message{event: ev}) }

// Members returns the member table, this instance included. The caller does
// not change it.
func (r *Runner) Members() []api.Member { return *r.members.Load() }

// LiveCount returns the number of instances of the half that take new work.
func (r *Runner) LiveCount(half api.Half) int { return liveCount(r.Members(), half) }

// Incarnation returns the current incarnation, which grows when the instance
// refutes a suspicion or returns after an expulsion.
func (r *Runner) Incarnation() uint64 { return r.status.Load().Incarnation }

// CheckServing returns nil if new work may start, or the reason why not.
func (r *Runner) CheckServing() error {
	status := *r.status.Load()
	// The ticket slice may have had contact since the last event.
	status.Confirmed = max(status.Confirmed, r.freshContact(status))
	return status.Check(r.options.Clock())
}

func (r *Runner) freshContact(s Status) time.Duration {
	if !s.Joined {
		return -1
	}
	return r.options.Tickets.StoreContact()
}

// WatchesStore reports whether this instance watches the store for its failure domain.
func (r *Runner) WatchesStore() bool { return r.status.Load().WatchesStore }

// Leave announces that the instance takes no new work. The registration stays
// until Run ends, because running work goes on.
func (r *Runner) Leave(ctx context.Context) {
	done := make(chan struct{})
	if r.events.Put(ctx, message{event: LeaveStarted{}, done: done}) != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
}

func (r *Runner) sayFarewell() {
	if !r.status.Load().Leaving {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, farewellTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, action := range r.core.Step(r.options.Clock(), LeaveCompleted{}) {
		if send, ok := action.(SendExchange); ok {
			wait.Go(func() { _, _ = r.options.Clients.Client(send.Address).Exchange(ctx, send.Request) })
		}
	}
	wait.Go(func() { r.deregister(ctx, r.options.Instance, r.Incarnation()) })
	wait.Wait()
}

// Exchange serves the peer call.
func (r *Runner) Exchange(ctx context.Context, request *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	m := message{event: ExchangeIn{Request: request}, respond: make(chan *peerpb.ExchangeResponse, 1)}
	if !r.events.Offer(m) {
		r.metrics.refused.Inc(reason.Overloaded)
		return nil, reason.New(reason.Overloaded, "the event ring is full")
	}
	r.deltas.merge(request.GetDeltas())
	select {
	case response := <-m.respond:
		r.deltas.attach(response.GetDeltas())
		return response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.ctx.Done():
		return nil, reason.New(reason.ShuttingDown, "the instance has stopped")
	}
}

// Probe serves the peer call. With a target it probes that instance on behalf
// of the caller.
func (r *Runner) Probe(ctx context.Context, request *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	target := api.InstanceID(request.GetTarget())
	if target == "" || target == r.options.Instance {
		return &peerpb.ProbeResponse{Instance: string(r.options.Instance), Incarnation: r.Incarnation(), Reachable: true}, nil
	}
	for _, m := range r.Members() {
		if m.ID == target {
			return r.options.Clients.Client(m.Address).Probe(ctx, &peerpb.ProbeRequest{From: request.GetFrom()})
		}
	}
	return nil, reason.New(reason.NotFound, "no member %q", target)
}
