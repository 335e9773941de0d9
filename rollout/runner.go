package rollout

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/internal/backoff"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

const (
	// reportTimeout bounds the report to one instance. A round trip between regions
	// takes 16 ms; an instance with a fifth of a core may respond late. Two reports in a
	// row take less than half of the lifetime of a grant.
	reportTimeout = 400 * time.Millisecond
	// coordinatorBackoff is how long an instance gets no reports after a failed one.
	coordinatorBackoff = 2 * time.Second
	// maxCoordinatorsAsked is the number of instances that one report is sent to.
	maxCoordinatorsAsked = 2
	// selfReportDelay is the time after its start during which an instance does not report to
	// itself: others do not know it yet and report to another instance.
	selfReportDelay = 3 * time.Second
	// tickInterval is the time between two ticks of the coordinator.
	tickInterval = 100 * time.Millisecond
	// watchWait is the wait of a watch of the orders, and readRetryInterval the time
	// after a failed read until the next one.
	watchWait         = 5 * time.Second
	readRetryInterval = 300 * time.Millisecond
	// writeTimeout bounds the write of a status.
	writeTimeout = 3 * time.Second
)

// ErrRestored is returned by a Store if it was restored from a copy since the last list.
var ErrRestored = Error.New("the store was restored")

// RunnerOptions configures a Runner.
type RunnerOptions struct {
	Self        api.InstanceID
	Incarnation uint64 // higher after a restart
	Bounds      CoreOptions
	// Members returns the known instances.
	Members func() []api.Member
	// HasPeers says that there are other instances, even if none is known yet.
	HasPeers bool
	// Client returns the client of an instance, by its address.
	Client func(address string) peerpb.Rollouts
	Store  Store
	Clock  bootclock.Func
	Log    *slog.Logger
	Scope  tally.Scope
}

// Runner is the Selection of an instance and the Core of the services that it
// coordinates, with their I/O. It is safe for concurrent use.
type Runner struct {
	o         RunnerOptions
	startedAt time.Duration
	backoff   *backoff.Set  // of other instances, by address
	asked     chan struct{} // receives a value when a service has to be coordinated
	tasks     sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu.
	selection *Selection
	core      *Core
	endpoints map[api.EndpointID]knownEndpoint
	changed   bool // endpoints differ from those of the selection
	grants    map[string]Grant
	// orders are those in the store while they are read; nil otherwise. given are the
	// services whose order the core has.
	orders   map[string]Order
	restored bool // the orders were read after a restore of the store
	given    map[string]bool
	quorum   quorum
	running  bool            // Run runs
	ctx      context.Context // of Run
}

// knownEndpoint is a registered endpoint with the end of its slow start.
type knownEndpoint struct {
	Endpoint
	coldUntil time.Duration
}

// NewRunner returns a runner without endpoints.
func NewRunner(o RunnerOptions) *Runner {
	return &Runner{
		o: o, startedAt: o.Clock(), backoff: backoff.NewSet(o.Clock), asked: make(chan struct{}, 1),
		selection: NewSelection(o.Self, o.Incarnation), core: NewCore(o.Bounds),
		endpoints: make(map[api.EndpointID]knownEndpoint), grants: make(map[string]Grant), given: make(map[string]bool),
		quorum: newQuorum(o.Self),
	}
}

var _ Selector = (*Runner)(nil)

// ApplyChange adds, updates or removes an endpoint. One whose version is not known takes
// part in no rollout.
func (r *Runner) ApplyChange(change registry.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := change.Endpoint
	known, ok := r.endpoints[e.ID]
	if change.Kind == registry.Gone || e.Version == registry.UnknownVersion {
		if ok && known.Incarnation == e.Incarnation {
			delete(r.endpoints, e.ID)
			r.changed = true
		}
		return
	}
	r.endpoints[e.ID] = knownEndpoint{
		Endpoint: Endpoint{
			ID: e.ID, Incarnation: e.Incarnation, Service: e.Service, Version: Version(e.Version), Domain: e.Domain, Draining: e.Draining,
		},
		coldUntil: r.o.Clock() + e.ColdRemaining,
	}
	r.changed = true
}

// current returns the selection with the current endpoints. mu has to be locked.
func (r *Runner) current(now time.Duration) *Selection {
	if !r.changed {
		return r.selection
	}
	r.changed = false
	list := make([]Endpoint, 0, len(r.endpoints))
	for _, e := range r.endpoints {
		e.ColdRemaining = max(0, e.coldUntil-now)
		list = append(list, e.Endpoint)
	}
	r.selection.SetEndpoints(now, list)
	return r.selection
}

// EndpointCrashed reports that an endpoint accepts no connections or has restarted. It has
// to be called before the endpoint is removed.
func (r *Runner) EndpointCrashed(e registry.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selection.EndpointCrashed(r.o.Clock(), e.ID, e.Incarnation)
}

// Allowed implements Selector. The first version is the preferred one.
func (r *Runner) Allowed(service, requestID string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Clock()
	selection := r.current(now)
	allowed := selection.Allowed(now, service, requestID)
	known := selection.services[service]
	if len(allowed) == 1 && known != nil && allowed[0] != string(known.base) && slices.Contains(known.versions, known.base) {
		// The base version takes what the engines of the new one cannot take.
		allowed = append(allowed, string(known.base))
	}
	return allowed
}

// Continue implements Selector.
func (r *Runner) Continue(service, version string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current(r.o.Clock()).Continue(service, version)
}

// Excluded implements Selector.
func (r *Runner) Excluded(service string) map[api.EndpointID]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current(r.o.Clock()).Excluded(service)
}

// Record implements Selector.
func (r *Runner) Record(service, route, version string, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Clock()
	r.current(now).Record(now, service, route, version, o)
}

// Run reports to the coordinators, and coordinates the services whose instances report to
// this one, until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	r.setContext(ctx, true)
	defer r.tasks.Wait()
	defer r.setContext(ctx, false)
	r.tasks.Go(func() { r.followOrders(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	nextReport := r.o.Clock()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := r.o.Clock()
		if now >= nextReport {
			nextReport = now + ReportInterval
			r.sendReports(ctx, now)
		}
		r.tick(now)
	}
}

func (r *Runner) setContext(ctx context.Context, running bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ctx, r.running = ctx, running
}

// sendReports sends the reports of all services with several versions.
func (r *Runner) sendReports(ctx context.Context, now time.Duration) {
	r.mu.Lock()
	reports := r.current(now).Reports(now)
	r.mu.Unlock()
	for _, report := range reports {
		r.tasks.Go(func() { r.report(ctx, report) })
	}
}

// report sends one report to the coordinator of its service, or to the next instance if
// that one does not respond, and applies the grant.
func (r *Runner) report(ctx context.Context, report Report) {
	for range maxCoordinatorsAsked {
		next := r.coordinator(report.Service)
		at := r.o.Clock() // the grant may have been decided right after this
		if next.ID == r.o.Self {
			if grant, ok := r.coordinate(report); ok {
				r.applyGrant(at, grant)
			}
			return
		}
		grant, ok, err := r.ask(ctx, next.Address, report)
		if err == nil {
			if ok {
				r.applyGrant(at, grant)
			}
			return
		}
		if ctx.Err() != nil {
			return
		}
		r.o.Scope.Counter("report_errors").Inc(1)
		r.o.Log.Info("rollout report failed", "service", report.Service, "member", next.ID, "error", err)
		r.backoff.Start(next.Address, coordinatorBackoff)
	}
}

// ask sends a report to an instance. It returns false if that one gives no grants.
func (r *Runner) ask(ctx context.Context, address string, report Report) (Grant, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r.o.Scope.Counter("reports").Inc(1)
	m, err := r.o.Client(address).Report(ctx, reportToProto(report))
	if err != nil || m.GetNotCoordinator() {
		return Grant{}, false, err
	}
	grant := grantFromProto(m)
	if grant.Service != report.Service {
		return Grant{}, false, Error.New("the grant is for the service %q", grant.Service)
	}
	return grant, true, nil
}

// coordinator returns the first live instance in the order of the service that is not in
// backoff. Instances that know the same members agree on it.
func (r *Runner) coordinator(service string) api.Member {
	key := "rollout/" + service
	self := api.Member{ID: r.o.Self}
	best, bestScore, found := self, uint64(0), false
	consider := func(m api.Member) {
		if score := peer.Score(key, m.ID); !found || score < bestScore || score == bestScore && m.ID < best.ID {
			best, bestScore, found = m, score, true
		}
	}
	if r.o.Clock()-r.startedAt >= selfReportDelay {
		consider(self)
	}
	for _, m := range r.o.Members() {
		if m.ID != r.o.Self && m.State == api.MemberAlive && !r.backoff.Contains(m.Address) {
			consider(m)
		}
	}
	return best
}

// applyGrant applies a grant and logs what it changes.
func (r *Runner) applyGrant(at time.Duration, g Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, known := r.grants[g.Service]
	r.grants[g.Service] = g
	r.current(r.o.Clock()).SetGrant(at, g)
	r.o.Scope.Tagged(map[string]string{"service": g.Service}).Gauge("share").Update(g.Share)
	if known && before.To == g.To && before.State == g.State && before.Phase == g.Phase || !known && g.To == "" {
		return
	}
	r.o.Scope.Counter("grants_changed").Inc(1)
	r.o.Log.Info("rollout grant changed", "service", g.Service, "to", g.To, "state", g.State, "phase", g.Phase,
		"share", g.Share, "canary_endpoints", g.CanaryEngines, "phase_before", before.Phase)
}

// coordinate passes a report to the core and returns the grant. It returns false if too few
// instances report to this one: it is one of a minority that is cut off, and any number of
// them would each grant a share.
func (r *Runner) coordinate(report Report) (Grant, bool) {
	members := r.o.Members()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Clock()
	service := report.Service
	r.quorum.update(now, members)
	if !r.quorum.add(now, service, report.Instance, r.o.HasPeers) {
		r.o.Scope.Counter("reports_without_quorum").Inc(1)
		return Grant{}, false
	}
	r.countEngines(now, service)
	r.giveOrder(now, service)
	grant := Grant{Service: service}
	for _, action := range r.core.Step(now, ReportReceived{Report: report}) {
		if share, ok := action.(GrantShare); ok {
			grant = share.Grant
			continue
		}
		r.perform(action)
	}
	if r.orders == nil {
		// An order that was read while this instance coordinated before may have changed or
		// be gone. A revert stands.
		if grant.State != StateReverted {
			grant = Grant{Service: service, ValidFor: grant.ValidFor}
		}
		select {
		case r.asked <- struct{}{}:
		default:
		}
	}
	return grant, true
}

// countEngines tells the core how many endpoints of each version a service has. mu has to
// be locked.
func (r *Runner) countEngines(now time.Duration, service string) {
	counts := make(map[Version]int)
	for _, e := range r.endpoints {
		if e.Service == service && !e.Draining {
			counts[e.Version]++
		}
	}
	r.step(now, EndpointsCounted{Service: service, Engines: counts})
}

// giveOrder gives the core the order of a service that it coordinates, unless it has it.
// mu has to be locked.
func (r *Runner) giveOrder(now time.Duration, service string) {
	order, ok := r.orders[service]
	if !ok || r.given[service] {
		return
	}
	r.given[service] = true
	r.step(now, OrderRead{Order: order, UnixMS: time.Now().UnixMilli(), Restored: r.restored})
}

// step passes an event to the core and performs the actions. mu has to be locked.
func (r *Runner) step(now time.Duration, event Event) {
	for _, action := range r.core.Step(now, event) {
		r.perform(action)
	}
}

// perform starts an action of the core. mu has to be locked.
func (r *Runner) perform(action Action) {
	switch a := action.(type) {
	case WriteStatus:
		if !r.running {
			r.step(r.o.Clock(), StatusFailed{Service: a.Service})
			return
		}
		ctx := r.ctx
		r.tasks.Go(func() { r.writeStatus(ctx, a) })
	case Decided:
		r.o.Scope.Tagged(map[string]string{"reason": string(a.Reason), "state": string(a.State)}).Counter("decided").Inc(1)
		r.o.Log.Info("rollout decided", "service", a.Service, "to", a.To, "state", a.State, "phase", a.Phase, "share", a.Share,
			"reason", a.Reason, "route", a.Route, "old_responses", a.Old.Responses, "old_bad", a.Old.Bad,
			"new_responses", a.New.Responses, "new_bad", a.New.Bad)
	}
}

// tick lets the core decide.
func (r *Runner) tick(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, service := range r.core.Coordinating(now) {
		r.countEngines(now, service)
	}
	r.step(now, Tick{})
}

// writeStatus writes a status. A write without a response may have been executed, or may
// be later if the revision still holds; the orders that are read show it.
func (r *Runner) writeStatus(ctx context.Context, a WriteStatus) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	order, err := r.o.Store.WriteStatus(ctx, a.Service, a.Revision, a.Status)
	result := "written"
	var event Event = StatusWritten{Order: order, UnixMS: time.Now().UnixMilli()}
	switch {
	case errors.Is(err, ErrConflict):
		result, event = "conflict", StatusConflict{Order: order, Based: a.Revision, UnixMS: time.Now().UnixMilli()}
	case err != nil:
		result, event = "failed", StatusFailed{Service: a.Service}
	}
	r.o.Scope.Tagged(map[string]string{"result": result}).Counter("status_writes").Inc(1)
	r.o.Log.Info("rollout status write", "service", a.Service, "result", result, "state", a.Status.State, "phase", a.Status.Phase,
		"revision", a.Revision, "error", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step(r.o.Clock(), event)
}

// followOrders reads the orders while this instance coordinates services.
func (r *Runner) followOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.asked:
		}
		for ctx.Err() == nil && r.coordinates() {
			if err := r.readOrders(ctx); err != nil && ctx.Err() == nil {
				r.o.Scope.Counter("order_read_errors").Inc(1)
				r.o.Log.Info("rollouts not read", "error", err)
				if errors.Is(err, ErrRestored) {
					r.setRestored()
					continue
				}
				select {
				case <-ctx.Done():
				case <-time.After(readRetryInterval):
				}
			}
		}
		r.forgetOrders()
	}
}

func (r *Runner) coordinates() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.core.Coordinating(r.o.Clock())) > 0
}

func (r *Runner) setRestored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restored = true
}

// forgetOrders records that the orders are no longer read.
func (r *Runner) forgetOrders() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = nil
	clear(r.given)
}

// readOrders lists the orders and watches them while this instance coordinates services.
func (r *Runner) readOrders(ctx context.Context) error {
	orders, revision, err := r.o.Store.ListRollouts(ctx)
	if err != nil {
		return err
	}
	r.replaceOrders(orders)
	for r.coordinates() {
		orders, next, err := r.o.Store.WatchRollouts(ctx, revision, watchWait)
		if err != nil {
			return err
		}
		revision = next
		r.mu.Lock()
		r.applyOrders(orders)
		r.mu.Unlock()
	}
	return nil
}

// replaceOrders applies a complete list of the orders.
func (r *Runner) replaceOrders(orders []Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service := range r.orders {
		if !slices.ContainsFunc(orders, func(o Order) bool { return o.Service == service }) {
			orders = append(orders, Order{Service: service})
		}
	}
	if r.orders == nil {
		r.orders = make(map[string]Order)
		for _, service := range r.core.Ordered() {
			if !slices.ContainsFunc(orders, func(o Order) bool { return o.Service == service }) {
				orders = append(orders, Order{Service: service})
			}
		}
	}
	r.applyOrders(orders)
	r.restored = false
}

// applyOrders applies changed orders; one without a version was removed. The core gets
// those of the services that it coordinates. mu has to be locked.
func (r *Runner) applyOrders(orders []Order) {
	now := r.o.Clock()
	coordinated := r.core.Coordinating(now)
	for _, order := range orders {
		delete(r.given, order.Service)
		if order.To == "" {
			delete(r.orders, order.Service)
			r.step(now, OrderRemoved{Service: order.Service})
			continue
		}
		r.orders[order.Service] = order
		if slices.Contains(coordinated, order.Service) {
			r.giveOrder(now, order.Service)
		}
	}
}
