package balance

import (
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

// Options configures a Balancer.
type Options struct {
	CoreOptions
	Clock bootclock.Func
	Log   *slog.Logger
	Scope tally.Scope
}

// Balancer is a Core that is safe for concurrent use.
type Balancer struct {
	options Options
	mu      sync.Mutex
	core    *Core
}

// New returns a balancer without endpoints.
func New(o Options) *Balancer { return &Balancer{options: o, core: NewCore(o.CoreOptions)} }

// SetKVCapacity sets the KV cache memory of each engine of a service, in tokens.
func (b *Balancer) SetKVCapacity(service string, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.SetKVCapacity(service, tokens)
}

// SetRegions sets the region of each failure domain.
func (b *Balancer) SetRegions(regions map[api.FailureDomain]api.Region) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.SetRegions(regions)
}

// Apply adds, updates or removes the endpoint of a registry change.
func (b *Balancer) Apply(change registry.Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Apply(change)
}

// Choose returns a lease of the endpoint with the lowest cost for the request.
func (b *Balancer) Choose(request Request) (*Lease, *reason.Error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Choose(b.options.Clock(), request)
}

// ChooseBackup returns a lease of the engine for the backup of a generation on
// the primary, or nil if no engine is suitable.
func (b *Balancer) ChooseBackup(request Request, primary registry.Endpoint) *Lease {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.ChooseBackup(b.options.Clock(), request, primary)
}

// HasCapacity reports whether one of the probed endpoints can take the request.
func (b *Balancer) HasCapacity(request Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.HasCapacity(b.options.Clock(), request)
}

// IsNearlyIdle reports whether the reported load of an endpoint is so low that no other
// endpoint would serve the request noticeably better.
func (b *Balancer) IsNearlyIdle(request Request, endpoint registry.Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.IsNearlyIdle(b.options.Clock(), request, endpoint)
}

// HasOtherPrompts reports whether the endpoint of a lease prefills other prompts than the
// lease's, or prompts wait there. It returns true if the endpoint's load is unknown.
func (b *Balancer) HasOtherPrompts(l *Lease) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.HasOtherPrompts(b.options.Clock(), l)
}

// SetLimited records whether an endpoint limits the requests of all instances.
func (b *Balancer) SetLimited(id api.EndpointID, incarnation int64, limited bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.SetLimited(id, incarnation, limited)
}

// Defer records that an endpoint wants no requests of this instance for a time.
func (b *Balancer) Defer(e registry.Endpoint, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Defer(b.options.Clock(), e.ID, e.Incarnation, wait)
}

// Withdraw ends a lease for which no permit was granted. The endpoint is not chosen
// for the given time.
func (b *Balancer) Withdraw(l *Lease, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Withdraw(b.options.Clock(), l, wait)
}

// PromoteBackup turns the lease of a backup into the lease of the running
// generation.
func (b *Balancer) PromoteBackup(l *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.PromoteBackup(b.options.Clock(), l)
}

// Endpoint returns a registered endpoint.
func (b *Balancer) Endpoint(id api.EndpointID) (registry.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Endpoint(id)
}

// Candidates returns the endpoints with the lowest cost for the request, at most
// limit.
func (b *Balancer) Candidates(request Request, limit int) []registry.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Candidates(b.options.Clock(), request, limit)
}

// UpdateLoad records the load that an engine reports.
func (b *Balancer) UpdateLoad(e registry.Endpoint, load Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.UpdateLoad(b.options.Clock(), e, load)
}

// PreferredEndpoints returns the endpoints at which the generations of a session and
// their backups are most likely.
func (b *Balancer) PreferredEndpoints(service, session string) []registry.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.PreferredEndpoints(b.options.Clock(), service, session)
}

// IsAvailable reports whether the endpoint is registered with the same
// incarnation and address and is not suspect.
func (b *Balancer) IsAvailable(e registry.Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.IsAvailable(b.options.Clock(), e)
}

// SetZoneShares sets the shares of this zone's requests for a service that go to other zones,
// and the utilization of this zone.
func (b *Balancer) SetZoneShares(service string, shares map[api.FailureDomain]float64, utilization float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.SetZoneShares(service, shares, utilization)
}

// ZoneLoads returns the load of each service in each zone with endpoints.
func (b *Balancer) ZoneLoads() []ZoneLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.ZoneLoads(b.options.Clock())
}

// RecordResponse records that the endpoint of a lease has sent a response or an
// event, which ends any suspicion.
func (b *Balancer) RecordResponse(l *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.RecordResponse(b.options.Clock(), l)
}

// MarkSuspect puts the endpoint of a lease under suspicion because it accepts no
// connections.
func (b *Balancer) MarkSuspect(l *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.MarkSuspect(b.options.Clock(), l)
	b.options.Scope.Counter("suspected").Inc(1)
	b.options.Log.Info("endpoint suspected", "endpoint", l.Endpoint.ID, "failure_domain", l.Endpoint.Domain)
}

// Release ends a lease and records the outcome of its request.
func (b *Balancer) Release(l *Lease, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Release(b.options.Clock(), l, outcome)
}
