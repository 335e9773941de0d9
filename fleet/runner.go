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
	// tickInterval is the time between two Tick events; it is a tenth of the
	// heartbeat interval.
	tickInterval = 100 * time.Millisecond
	// eventQueueCapacity is the capacity of the event queue. It holds the exchanges of
	// several seconds at 330 instances.
	eventQueueCapacity = 1024
	// leaveTimeout bounds the messages and store calls of a graceful shutdown.
	leaveTimeout = 2 * time.Second
)

// DeltaSource is a component whose state is sent along with exchanges. Its
// methods are called concurrently.
type DeltaSource interface {
	// Collect returns changes whose encoded size is at most maxBytes.
	Collect(maxBytes int) *peerpb.Deltas
	// Merge applies changes from a peer. They may be outdated or duplicates.
	Merge(*peerpb.Deltas)
}

// Snapshotter is a DeltaSource that sends its whole state to an instance that asks
// for the full table, as one does that has just started.
type Snapshotter interface {
	Snapshot() *peerpb.Deltas
}

// TicketState is the state of the ticket component that membership depends on.
type TicketState interface {
	// Ready reports whether a configuration was read from the store or a peer.
	Ready() bool
	// HeadVersion returns the store version of the applied ticket head.
	HeadVersion() uint64
	// Latest returns the number of the newest ticket of that head.
	Latest() uint64
	// Accepted returns the number of the newest accepted ticket of that head.
	Accepted() uint64
	// Acknowledged returns the highest ticket whose restrictions are applied.
	Acknowledged() uint64
	// StoreContact returns the boot clock time at which the last successful read
	// of the ticket head was sent; negative: none yet.
	StoreContact() time.Duration
	// ExpelledIncarnation returns the highest incarnation of this instance whose
	// registration was seen to be removed from the store; 0: none.
	ExpelledIncarnation() uint64
	// Registrations returns the registered instances that the store watch shows,
	// with their incarnations; nil without a watch. The caller only reads the map.
	Registrations() map[api.InstanceID]uint64
	// NotifyNewerHead tells the ticket component that the instance at the address
	// applies a newer ticket head.
	NotifyNewerHead(address string, headVersion uint64)
}

// Clients provides peer clients.
type Clients interface {
	// Client returns a client of the instance at the address.
	Client(address string) peerpb.Peer
}

// Options configures a Runner.
type Options struct {
	Instance    api.InstanceID
	Incarnation uint64 // start time of the process in Unix milliseconds
	Half        api.Half
	Place       api.Place
	// Address is the host and port of the peer listener, as peers reach it.
	Address string
	// LinkMbps is the bandwidth of the instance's link in Mbit/s; 0 is unknown.
	LinkMbps uint32
	// SeedAddresses are the peer addresses to contact before any member is known.
	SeedAddresses []string
	Store         store.API
	Clients       Clients
	DeltaSources  []DeltaSource
	Tickets       TicketState
	// OnFullTable is called once, when another instance has sent its member table; nil
	// is allowed.
	OnFullTable func()
	// ExpelMode is "auto" (expel members that are dead and no longer on the
	// platform's instance list) or "manual" (only at an operator's request).
	ExpelMode string
	Log       *slog.Logger
	Scope     tally.Scope
	Clock     bootclock.Func
	Seed      uint64 // seeds the random number generator of the core
}

// Runner runs a Core and performs its I/O.
type Runner struct {
	options Options
	core    *Core
	events  *ring.Queue[queuedEvent]
	members atomic.Pointer[[]api.Member]
	status  atomic.Pointer[Status]
	metrics *metrics
	deltas  *deltaSources
	ioTasks sync.WaitGroup
	// publishedRevision is the table revision of members.
	publishedRevision uint64
	fullTableReported bool // OnFullTable was called
	ctx               context.Context
	cancel            context.CancelFunc
}

// queuedEvent is an event in the queue of the runner.
type queuedEvent struct {
	event   Event
	respond chan *peerpb.ExchangeResponse // receives the response to ExchangeReceived
	done    chan struct{}                 // closed after the event was processed; may be nil
}

// New returns a runner. It sends nothing before Run is called.
func New(o Options) (*Runner, error) {
	switch {
	case o.Instance == "" || o.Address == "":
		return nil, Error.New("Instance and Address are required")
	case o.ExpelMode != "auto" && o.ExpelMode != "manual":
		return nil, Error.New("ExpelMode is %q, must be auto or manual", o.ExpelMode)
	case o.Store == nil || o.Clients == nil || o.Tickets == nil:
		return nil, Error.New("Store, Clients and Tickets are required")
	}
	core := NewCore(CoreOptions{
		Self:          api.Member{ID: o.Instance, Incarnation: o.Incarnation, Address: o.Address, Place: o.Place, Half: o.Half, LinkMbps: o.LinkMbps},
		SeedAddresses: o.SeedAddresses,
		AutoExpel:     o.ExpelMode == "auto",
		Seed:          o.Seed,
	})
	r := &Runner{
		options: o,
		core:    core,
		events:  ring.New[queuedEvent](eventQueueCapacity),
		metrics: newMetrics(o.Scope),
		deltas:  &deltaSources{sources: o.DeltaSources},
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.publish(o.Clock())
	return r, nil
}

// Run processes events until the context is cancelled. If Leave was called before,
// it then tells peers that the instance has left and removes its registration.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer r.ioTasks.Wait()
	defer r.cancel()
	r.step(queuedEvent{event: Tick{}})
	for {
		select {
		case <-ctx.Done():
			r.leaveFleet()
			return ctx.Err()
		case queued := <-r.events.C():
			r.step(queued)
		case <-ticker.C:
			r.step(queuedEvent{event: r.ticketStatus()})
			r.step(queuedEvent{event: Tick{}})
		}
	}
}

func (r *Runner) ticketStatus() TicketStatus {
	t := r.options.Tickets
	return TicketStatus{
		Configured:          t.Ready(),
		HeadVersion:         t.HeadVersion(),
		Latest:              t.Latest(),
		Accepted:            t.Accepted(),
		Acknowledged:        t.Acknowledged(),
		StoreContact:        t.StoreContact(),
		ExpelledIncarnation: t.ExpelledIncarnation(),
		Registrations:       t.Registrations(),
	}
}

func (r *Runner) step(queued queuedEvent) {
	now := r.options.Clock()
	for _, action := range r.core.Step(now, queued.event) {
		r.perform(queued, action)
	}
	r.publish(now)
	if queued.done != nil {
		close(queued.done)
	}
}

func (r *Runner) publish(now time.Duration) {
	status := r.core.Status(now)
	r.status.Store(&status)
	if revision := r.core.TableRevision(); revision != r.publishedRevision || r.members.Load() == nil {
		members := r.core.Members()
		r.members.Store(&members)
		r.publishedRevision = revision
		r.metrics.updateMembers(members)
	}
	if r.options.OnFullTable != nil && !r.fullTableReported && r.core.HasFullTable() {
		r.fullTableReported = true
		r.options.OnFullTable()
	}
}

// perform executes an action of the core. Actions with I/O run in a goroutine and
// post their result as an event.
func (r *Runner) perform(queued queuedEvent, action Action) {
	switch a := action.(type) {
	case SendExchange:
		r.startIO(func() { r.exchange(a) })
	case PeerResponse:
		queued.respond <- a.Response
	case SendProbe:
		r.startIO(func() { r.probe(a) })
	case ReadInstanceList:
		r.startIO(r.readInstanceList)
	case ReadRegistrations:
		r.startIO(r.readRegistrations)
	case Register:
		r.startIO(func() { r.register(a.Incarnation) })
	case Expel:
		r.startIO(func() { r.expel(r.ctx, a) })
	case NewerTicketHead:
		r.options.Tickets.NotifyNewerHead(a.Address, a.HeadVersion)
	case MemberChanged:
		r.metrics.countChange(a)
		r.options.Log.Info("member changed state", "member", string(a.Member.ID),
			"from", a.PreviousState.String(), "to", a.Member.State.String(), "incarnation", a.Member.Incarnation)
	case DuplicateInstance:
		r.metrics.duplicateIDs.Inc(1)
		r.options.Log.Error("another process uses this instance ID; accepting no new work", "address", a.Address)
	case IncarnationRestarted:
		r.metrics.incarnationRestarts.Inc(1)
		r.options.Log.Warn("own incarnation is no longer valid; rejoining the fleet with a new one", "incarnation", a.Incarnation)
	}
}

func (r *Runner) startIO(f func()) {
	r.ioTasks.Add(1)
	go func() {
		defer r.ioTasks.Done()
		f()
	}()
}

// postEvent queues the result of I/O. It blocks while the event queue is full.
func (r *Runner) postEvent(ev Event) { _ = r.events.Put(r.ctx, queuedEvent{event: ev}) }

// SendDeltas starts exchanges with other instances without waiting for the next
// heartbeat. It does not block; if the event queue is full, the heartbeats send the
// changes.
func (r *Runner) SendDeltas() { r.events.TryPut(queuedEvent{event: DeltasUrgent{}}) }

// ApplySettings replaces the seed addresses and the bandwidth of the instance's link in
// Mbit/s. It waits while the event queue is full.
func (r *Runner) ApplySettings(seedAddresses []string, linkMbps uint32) {
	r.postEvent(SettingsChanged{SeedAddresses: seedAddresses, LinkMbps: linkMbps})
}

// Members returns the member table including this instance. The caller must not
// modify it.
func (r *Runner) Members() []api.Member { return *r.members.Load() }

// LiveCount returns the number of instances of the half that accept new work.
func (r *Runner) LiveCount(half api.Half) int { return liveCount(r.Members(), half) }

// Incarnation returns the current incarnation. It increases when the instance
// refutes a suspicion or continues after an expulsion.
func (r *Runner) Incarnation() uint64 { return r.status.Load().Incarnation }

// CheckServing returns nil if new work may start, or the reason why not.
func (r *Runner) CheckServing() error {
	status := *r.status.Load()
	// The ticket component may have had contact with the store since the last
	// event.
	status.Confirmed = max(status.Confirmed, r.storeContactIfJoined(status))
	return status.CheckServing(r.options.Clock())
}

// storeContactIfJoined returns the time of the last store contact if the instance
// has joined the fleet; negative: none.
func (r *Runner) storeContactIfJoined(s Status) time.Duration {
	if !s.Joined {
		return -1
	}
	return r.options.Tickets.StoreContact()
}

// WatchesStore reports whether this instance watches the store for its failure domain.
func (r *Runner) WatchesStore() bool { return r.status.Load().WatchesStore }

// NeighboursInContact reports whether most of the instances that this one exchanges
// heartbeats with were in contact lately.
func (r *Runner) NeighboursInContact() bool { return r.status.Load().NeighboursInContact }

// Leave announces that the instance accepts no new work. The registration remains
// until Run ends, because running work continues.
func (r *Runner) Leave(ctx context.Context) {
	done := make(chan struct{})
	if r.events.Put(ctx, queuedEvent{event: LeaveStarted{}, done: done}) != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
}

// leaveFleet tells the ring neighbours that the instance has left and removes its
// registration from the store. It does nothing unless Leave was called.
func (r *Runner) leaveFleet() {
	if !r.status.Load().Leaving {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, leaveTimeout)
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

// Exchange serves the Exchange call of a peer.
func (r *Runner) Exchange(ctx context.Context, request *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	queued := queuedEvent{event: ExchangeReceived{Request: request}, respond: make(chan *peerpb.ExchangeResponse, 1)}
	if !r.events.TryPut(queued) {
		r.metrics.failures.Inc(reason.Overloaded)
		return nil, reason.New(reason.Overloaded, "the event ring is full")
	}
	r.deltas.distribute(request.GetDeltas())
	select {
	case response := <-queued.respond:
		r.deltas.collectInto(response.GetDeltas())
		if request.GetFull() {
			r.deltas.snapshotInto(response.GetDeltas())
		}
		return response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.ctx.Done():
		return nil, reason.New(reason.ShuttingDown, "the instance has stopped")
	}
}

// Probe serves the Probe call of a peer. If the request names another target, it
// probes that instance on behalf of the caller.
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
