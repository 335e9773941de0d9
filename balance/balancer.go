package balance

import (
	"log/slog"
	"sync"

	"github.com/uber-go/tally/v4"

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

// SetCapacity sets the memory of the engines of a service in tokens.
func (b *Balancer) SetCapacity(service string, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.SetCapacity(service, tokens)
}

// Apply takes over a change of the registry.
func (b *Balancer) Apply(change registry.Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Apply(change)
}

// Choose returns the endpoint for the work.
func (b *Balancer) Choose(work Request) (*Lease, *reason.Error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Choose(b.options.Clock(), work)
}

// ChooseBackup returns the engine for a copy, or nil.
func (b *Balancer) ChooseBackup(work Request, primary registry.Endpoint) *Lease {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.ChooseBackup(b.options.Clock(), work, primary)
}

// HasCapacity reports whether one of the endpoints in Among can take the work.
func (b *Balancer) HasCapacity(work Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.HasCapacity(b.options.Clock(), work)
}

// PromoteBackup turns the lease of a copy into that of the running generation.
func (b *Balancer) PromoteBackup(l *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.PromoteBackup(b.options.Clock(), l)
}

// Candidates returns the endpoints that come first for the work.
func (b *Balancer) Candidates(work Request, most int) []registry.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Candidates(b.options.Clock(), work, most)
}

// UpdateLoad takes over the load that an engine reports.
func (b *Balancer) UpdateLoad(e registry.Endpoint, load Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.UpdateLoad(b.options.Clock(), e, load)
}

// AvailableEndpoints returns the endpoints of a service that take new work.
func (b *Balancer) AvailableEndpoints(service string) []registry.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.AvailableEndpoints(b.options.Clock(), service)
}

// IsAvailable reports whether an endpoint is registered and not suspected.
func (b *Balancer) IsAvailable(e registry.Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.IsAvailable(b.options.Clock(), e)
}

// RecordResponse notes a sign of life of the endpoint of a lease.
func (b *Balancer) RecordResponse(l *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.RecordResponse(b.options.Clock(), l)
}

// MarkSuspect notes that the endpoint of a lease takes no new connections.
func (b *Balancer) MarkSuspect(l *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.MarkSuspect(b.options.Clock(), l)
	b.options.Scope.Counter("suspected").Inc(1)
	b.options.Log.Info("endpoint suspected", "endpoint", l.Endpoint.ID, "failure_domain", l.Endpoint.Domain)
}

// Release ends a lease.
func (b *Balancer) Release(l *Lease, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Release(b.options.Clock(), l, outcome)
}
