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
	// tickInterval is close to ackSettleDelay, so that an acknowledgement is not
	// delayed much longer than that.
	tickInterval = 25 * time.Millisecond
	// eventQueueCapacity is several times the number of acknowledgements of 330
	// instances for one ticket.
	eventQueueCapacity = 2048
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
	// Address is the address at which peers reach this instance.
	Address string
	Store   store.API
	// Members returns the member table, sorted by ID. It includes this instance.
	// Neither the caller nor the callee changes the result.
	Members func() []api.Member
	// Incarnation returns the current incarnation of this instance; nil means
	// always 1.
	Incarnation func() uint64
	// WatchesStore says whether this instance watches the store for its failure
	// domain; nil means always.
	WatchesStore func() bool
	Clients      Clients
	// RunningRequests returns the number of requests that this instance runs on an
	// endpoint. A request counts already before Config.MayDispatch is checked for
	// it.
	RunningRequests func(api.EndpointID) int
	// Expel removes the registration of an instance for an operator; nil if this
	// instance cannot.
	Expel               func(ctx context.Context, id api.InstanceID) error
	OperatorTokenSHA256 string
	MaxBodyBytes        int64
	Log                 *slog.Logger
	Scope               tally.Scope
	Clock               bootclock.Func
	Seed                uint64
}

// Runner runs a Core: it performs the core's actions and passes their results
// back.
type Runner struct {
	options Options
	core    *Core
	events  *ring.Queue[message]
	view    atomic.Pointer[View]
	ready   atomic.Bool
	// Results of the methods of the core; storeContact is in nanoseconds.
	storeContact        atomic.Int64
	expelledIncarnation atomic.Uint64
	registrations       atomic.Pointer[map[api.InstanceID]uint64]
	metrics             *metrics
	submitResults       map[uint64]chan SubmitResult // by submission ID; used only by Run
	submissionID        atomic.Uint64
	members             []api.Member // table last passed to the core
	ioCalls             sync.WaitGroup
	ctx                 context.Context
	cancel              context.CancelFunc
}

// message is an event with the channel for its result, if a caller waits for it.
type message struct {
	event        Event
	peerResponse chan PeerResponse
	submitResult chan SubmitResult
}

// New returns a runner. It performs no I/O before Run.
func New(o Options) (*Runner, error) {
	switch {
	case o.Instance == "" || o.Half == "":
		return nil, Error.New("Instance and Half are required")
	case o.Store == nil || o.Clients == nil || o.Members == nil || o.RunningRequests == nil:
		return nil, Error.New("Store, Clients, Members and RunningRequests are required")
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
		options:       o,
		core:          NewCore(CoreOptions{Instance: o.Instance, Half: o.Half, Address: o.Address, Seed: o.Seed}),
		events:        ring.New[message](eventQueueCapacity),
		metrics:       newMetrics(o.Scope),
		submitResults: make(map[uint64]chan SubmitResult),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.view.Store(&View{Config: &api.Config{}})
	r.storeContact.Store(-1)
	return r, nil
}

// Run processes events until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer r.ioCalls.Wait()
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
	// Members returns the same slice until the table changes.
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
	if submitted, ok := m.event.(TicketSubmitted); ok {
		r.submitResults[submitted.ID] = m.submitResult
	}
	for _, action := range r.core.Step(r.options.Clock(), m.event) {
		r.execute(m, action)
	}
	r.ready.Store(r.core.Ready())
	r.storeContact.Store(int64(r.core.StoreContact()))
	r.expelledIncarnation.Store(r.core.ExpelledIncarnation())
	registrations := r.core.Registrations()
	r.registrations.Store(&registrations)
}

func (r *Runner) execute(m message, action Action) {
	switch a := action.(type) {
	case StoreCall:
		r.startIO(func() { r.callStore(a) })
	case PeerFetch:
		r.startIO(func() { r.fetchTickets(a) })
	case PeerOffer:
		r.startIO(func() { r.sendOffer(a) })
	case PeerAck:
		r.startIO(func() { r.sendAck(a) })
	case PeerResponse:
		m.peerResponse <- a
	case SubmitResult:
		if reply, waiting := r.submitResults[a.ID]; waiting {
			delete(r.submitResults, a.ID)
			reply <- a
		}
	case Publish:
		r.view.Store(a.View)
		r.metrics.latest.Update(float64(a.View.Head.Latest))
		r.metrics.active.Update(float64(a.View.Head.Accepted))
	case Note:
		r.metrics.record(r.options.Log, a)
	}
}

func (r *Runner) startIO(f func()) {
	r.ioCalls.Add(1)
	go func() {
		defer r.ioCalls.Done()
		f()
	}()
}

// postResult passes the result of I/O to the core. It waits while the queue is
// full, until the runner stops.
func (r *Runner) postResult(ev Event) { _ = r.events.Put(r.ctx, message{event: ev}) }

// Config returns the active configuration.
func (r *Runner) Config() *api.Config { return r.view.Load().Config }

// HeadVersion returns the store version of the applied ticket head.
func (r *Runner) HeadVersion() uint64 { return r.view.Load().HeadVersion }

// Latest returns the latest ticket of the applied head.
func (r *Runner) Latest() uint64 { return r.view.Load().Head.Latest }

// Accepted returns the highest accepted ticket.
func (r *Runner) Accepted() uint64 { return r.view.Load().Head.Accepted }

// Acknowledged returns the highest ticket whose restrictions this instance
// applies. It is the latest ticket of the applied head, because a head is applied
// as a whole; the acknowledgement is sent ackSettleDelay later.
func (r *Runner) Acknowledged() uint64 { return r.Latest() }

// Ready reports whether a head and thereby a configuration was applied.
func (r *Runner) Ready() bool { return r.ready.Load() }

// StoreContact returns the boot clock time at which the last read that confirmed
// the applied head was sent. Reads count only while this instance is registered.
// It is negative before the first one.
func (r *Runner) StoreContact() time.Duration { return time.Duration(r.storeContact.Load()) }

// ExpelledIncarnation returns the highest incarnation of this instance whose
// registration was removed; 0 means none.
func (r *Runner) ExpelledIncarnation() uint64 { return r.expelledIncarnation.Load() }

// Registrations returns the registered instances with their incarnations, or nil
// if this instance does not watch the store. The map must not be changed.
func (r *Runner) Registrations() map[api.InstanceID]uint64 {
	if registrations := r.registrations.Load(); registrations != nil {
		return *registrations
	}
	return nil
}

// NotifyNewerHead tells the runner that the instance at the address has applied a
// newer head.
func (r *Runner) NotifyNewerHead(address string, headVersion uint64) {
	if !r.events.TryPut(message{event: HeadOffered{Address: address, HeadVersion: headVersion}}) {
		r.metrics.refused.Inc(reason.Overloaded)
	}
}

// OfferHead serves the peer call Offer.
func (r *Runner) OfferHead(_ context.Context, request *peerpb.OfferRequest) (*peerpb.OfferResponse, error) {
	ev := HeadOffered{Address: request.GetAddress(), HeadVersion: request.GetHeadVersion(), Request: request}
	if !r.events.TryPut(message{event: ev}) {
		return nil, r.refuseQueueFull()
	}
	return &peerpb.OfferResponse{HeadVersion: r.HeadVersion()}, nil
}

// FetchTickets serves the peer call of the same name.
func (r *Runner) FetchTickets(ctx context.Context, request *peerpb.FetchTicketsRequest) (*peerpb.FetchTicketsResponse, error) {
	response, err := r.handlePeerCall(ctx, FetchReceived{Above: request.GetAbove()})
	if err != nil {
		return nil, err
	}
	return response.Fetch, response.Err
}

// Acknowledge serves the peer call of the same name.
func (r *Runner) Acknowledge(ctx context.Context, request *peerpb.AcknowledgeRequest) (*peerpb.AcknowledgeResponse, error) {
	response, err := r.handlePeerCall(ctx, AcksReceived{Request: request})
	if err != nil {
		return nil, err
	}
	return response.Ack, response.Err
}

// handlePeerCall passes an event of a peer to the core and waits for the
// response.
func (r *Runner) handlePeerCall(ctx context.Context, ev Event) (PeerResponse, error) {
	m := message{event: ev, peerResponse: make(chan PeerResponse, 1)}
	if !r.events.TryPut(m) {
		return PeerResponse{}, r.refuseQueueFull()
	}
	select {
	case response := <-m.peerResponse:
		return response, nil
	case <-ctx.Done():
		return PeerResponse{}, ctx.Err()
	case <-r.ctx.Done():
		return PeerResponse{}, reason.New(reason.ShuttingDown, "the instance has stopped")
	}
}

// refuseQueueFull counts an event that is refused because the queue is full, and
// returns the error of the refusal.
func (r *Runner) refuseQueueFull() error {
	r.metrics.refused.Inc(reason.Overloaded)
	return reason.New(reason.Overloaded, "the event ring is full").WithRetryAfter(time.Second)
}

// Submit writes a ticket to the store and returns once the head lists it.
func (r *Runner) Submit(ctx context.Context, raw []byte, t *Ticket) (SubmitResult, error) {
	m := message{event: TicketSubmitted{ID: r.submissionID.Add(1), Raw: raw, Body: t}, submitResult: make(chan SubmitResult, 1)}
	if !r.events.TryPut(m) {
		return SubmitResult{}, r.refuseQueueFull()
	}
	select {
	case reply := <-m.submitResult:
		return reply, nil
	case <-ctx.Done():
		return SubmitResult{}, ctx.Err()
	case <-r.ctx.Done():
		return SubmitResult{}, reason.New(reason.ShuttingDown, "the instance has stopped").WithRun(reason.RunUnknown)
	}
}
