package rollout

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/internal/backoff"
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
