package ticket

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/ring"
	"github.com/hibiscusstair/hibiscusstair/store"
)

const (
	// tickInterval is about settleDelay, so that an acknowledgement is not
	// delayed much longer.
	tickInterval = 25 * time.Millisecond
	// eventCapacity holds the acknowledgements of 330 instances for one ticket
	// several times over.
	eventCapacity = 2048
)

// Clients returns a client of the instance at an address.
type Clients interface {
	Client(address string) peerpb.Peer
}

// Options configures a Runner.
type Options struct {
	Instance api.InstanceID
	Half     api.Half
	Place    api.Place
	// Address is where peers reach this instance.
	Address string
	Store   store.API
	// Members is the member table, sorted by id, this instance included. The
	// result is not changed by either side.
	Members func() []api.Member
	// Incarnation is this instance's current one.
	Incarnation func() uint64
	// WatchesStore says whether this instance watches the store for its failure
	// domain; nil means always.
	WatchesStore func() bool
	Clients      Clients
	// RunningRequests counts the work that runs on an endpoint. Work counts from before
	// its check of Config.MayDispatch.
	RunningRequests func(api.EndpointID) int
	// Expel removes an instance on an operator's command.
	Expel               func(ctx context.Context, id api.InstanceID) error
	OperatorTokenSHA256 string
	MaxBodyBytes        int64
	Log                 *slog.Logger
	Scope               tally.Scope
	Clock               bootclock.Func
	Seed                uint64
}

// Runner owns a Core and does its I/O.
type Runner struct {
	options Options
	core    *Core
	events  *ring.Queue[message]
	view    atomic.Pointer[View]
	ready   atomic.Bool
	// contact is the core's StoreContact.
	contact  atomic.Int64
	expelled atomic.Uint64 // the core's Expelled
	// registrations are the core's Registrations.
	registrations atomic.Pointer[map[api.InstanceID]uint64]
	metrics       *metrics
	replies       map[uint64]chan SubmitResult // by apply id; owned by Run
	applyID       atomic.Uint64
	members       []api.Member // last passed to the core
	io            sync.WaitGroup
	ctx           context.Context
	cancel        context.CancelFunc
}

// message is an event with the channel for a synchronous answer.
type message struct {
	event   Event
	respond chan PeerResponse
	reply   chan SubmitResult
}

// New returns a runner; nothing is read or sent before Run.
func New(o Options) (*Runner, error) {
	switch {
	case o.Instance == "" || o.Half == "":
		return nil, Error.New("instance and half are required")
	case o.Store == nil || o.Clients == nil || o.Members == nil || o.RunningRequests == nil:
		return nil, Error.New("store, clients, members and busy are required")
	}
	if o.MaxBodyBytes == 0 || o.MaxBodyBytes > MaxTicketBytes {
		o.MaxBodyBytes = MaxTicketBytes
	}
	if o.WatchesStore == nil {
		o.WatchesStore = func() bool { return true }
	}
	if o.Incarnation == nil {
		o.Incarnation = func() uint64 { return 1 }
	}
	r := &Runner{
		options: o,
		core:    NewCore(CoreOptions{Instance: o.Instance, Half: o.Half, Address: o.Address, Seed: o.Seed}),
		events:  ring.New[message](eventCapacity),
		metrics: newMetrics(o.Scope),
		replies: make(map[uint64]chan SubmitResult),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.view.Store(&View{Config: &api.Config{}})
	r.contact.Store(-1)
	return r, nil
}

// Run drives the core until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer r.io.Wait()
	defer r.cancel()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-r.events.C():
			r.step(m)
		case <-ticker.C:
			r.tick()
		}
	}
}

func (r *Runner) tick() {
	members := r.options.Members()
	if len(members) != len(r.members) || len(members) > 0 && &members[0] != &r.members[0] {
		r.members = members
		r.step(message{event: MembersChanged{Members: members}})
	}
	var busy []api.EndpointID
	for _, id := range r.view.Load().LeavingEndpoints {
		if r.options.RunningRequests(id) > 0 {
			busy = append(busy, id)
		}
	}
	r.step(message{event: Tick{Incarnation: r.options.Incarnation(), WatchesStore: r.options.WatchesStore(), BusyEndpoints: busy}})
}

func (r *Runner) step(m message) {
	if apply, ok := m.event.(TicketSubmitted); ok {
		r.replies[apply.ID] = m.reply
	}
	for _, action := range r.core.Step(r.options.Clock(), m.event) {
		r.do(m, action)
	}
	r.ready.Store(r.core.Ready())
	r.contact.Store(int64(r.core.StoreContact()))
	r.expelled.Store(r.core.ExpelledIncarnation())
	registrations := r.core.Registrations()
	r.registrations.Store(&registrations)
}

func (r *Runner) do(m message, action Action) {
	switch a := action.(type) {
	case StoreCall:
		r.start(func() { r.storeCall(a) })
	case PeerFetch:
		r.start(func() { r.fetch(a) })
	case PeerOffer:
		r.start(func() { r.offer(a) })
	case PeerAck:
		r.start(func() { r.acknowledge(a) })
	case PeerResponse:
		m.respond <- a
	case SubmitResult:
		if reply, waiting := r.replies[a.ID]; waiting {
			delete(r.replies, a.ID)
			reply <- a
		}
	case Publish:
		r.view.Store(a.View)
		r.metrics.latest.Update(float64(a.View.Head.Latest))
		r.metrics.inForce.Update(float64(a.View.Head.Accepted))
	case Note:
		r.metrics.note(r.options.Log, a)
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

// Config returns the configuration that applies here.
func (r *Runner) Config() *api.Config { return r.view.Load().Config }

// HeadVersion returns the store version of the ticket head that applies here.
func (r *Runner) HeadVersion() uint64 { return r.view.Load().HeadVersion }

// Latest returns the highest ticket that is known here.
func (r *Runner) Latest() uint64 { return r.view.Load().Head.Latest }

// Accepted returns the highest ticket in force.
func (r *Runner) Accepted() uint64 { return r.view.Load().Head.Accepted }

// Acknowledged returns the highest ticket whose restrictions apply here.
func (r *Runner) Acknowledged() uint64 { return r.Latest() }

// Ready reports whether a configuration was read.
func (r *Runner) Ready() bool { return r.ready.Load() }

// StoreContact returns the boot clock time at which the last answered read of
// the ticket head was sent; negative: none yet.
func (r *Runner) StoreContact() time.Duration { return time.Duration(r.contact.Load()) }

// ExpelledIncarnation returns the highest incarnation of this instance whose registration
// was seen to be removed; 0 is none.
func (r *Runner) ExpelledIncarnation() uint64 { return r.expelled.Load() }

// Registrations returns the instances that the watch of the store shows as
// registered; nil without a watch. The map is not changed.
func (r *Runner) Registrations() map[api.InstanceID]uint64 {
	if registrations := r.registrations.Load(); registrations != nil {
		return *registrations
	}
	return nil
}

// NotifyNewerHead says that the instance at the address applies a newer head.
func (r *Runner) NotifyNewerHead(address string, headVersion uint64) {
	if !r.events.TryPut(message{event: HeadOffered{Address: address, HeadVersion: headVersion}}) {
		r.metrics.refused.Inc(reason.Overloaded)
	}
}

// OfferTickets serves the peer call Offer.
func (r *Runner) OfferTickets(_ context.Context, request *peerpb.OfferRequest) (*peerpb.OfferResponse, error) {
	ev := HeadOffered{Address: request.GetAddress(), HeadVersion: request.GetHeadVersion(), Request: request}
	if !r.events.TryPut(message{event: ev}) {
		return nil, r.full()
	}
	return &peerpb.OfferResponse{HeadVersion: r.HeadVersion()}, nil
}

// FetchTickets serves the peer call.
func (r *Runner) FetchTickets(ctx context.Context, request *peerpb.FetchTicketsRequest) (*peerpb.FetchTicketsResponse, error) {
	answer, err := r.ask(ctx, FetchReceived{Above: request.GetAbove()})
	if err != nil {
		return nil, err
	}
	return answer.Fetch, answer.Err
}

// Acknowledge serves the peer call.
func (r *Runner) Acknowledge(ctx context.Context, request *peerpb.AcknowledgeRequest) (*peerpb.AcknowledgeResponse, error) {
	answer, err := r.ask(ctx, AcksReceived{Request: request})
	if err != nil {
		return nil, err
	}
	return answer.Ack, answer.Err
}

func (r *Runner) ask(ctx context.Context, ev Event) (PeerResponse, error) {
	m := message{event: ev, respond: make(chan PeerResponse, 1)}
	if !r.events.TryPut(m) {
		return PeerResponse{}, r.full()
	}
	select {
	case answer := <-m.respond:
		return answer, nil
	case <-ctx.Done():
		return PeerResponse{}, ctx.Err()
	case <-r.ctx.Done():
		return PeerResponse{}, reason.New(reason.ShuttingDown, "the instance has stopped")
	}
}

func (r *Runner) full() error {
	r.metrics.refused.Inc(reason.Overloaded)
	return reason.New(reason.Overloaded, "the event ring is full").WithRetryAfter(time.Second)
}

// Submit writes a ticket and returns once the head names it.
func (r *Runner) Submit(ctx context.Context, raw []byte, t *Ticket) (SubmitResult, error) {
	m := message{event: TicketSubmitted{ID: r.applyID.Add(1), Raw: raw, Body: t}, reply: make(chan SubmitResult, 1)}
	if !r.events.TryPut(m) {
		return SubmitResult{}, r.full()
	}
	select {
	case reply := <-m.reply:
		return reply, nil
	case <-ctx.Done():
		return SubmitResult{}, ctx.Err()
	case <-r.ctx.Done():
		return SubmitResult{}, reason.New(reason.ShuttingDown, "the instance has stopped").WithRun(reason.RunUnknown)
	}
}
