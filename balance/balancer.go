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
	o    Options
	mu   sync.Mutex
	core *Core
}

// New returns a balancer without endpoints.
func New(o Options) *Balancer { return &Balancer{o: o, core: NewCore(o.CoreOptions)} }

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
func (b *Balancer) Choose(work Work) (*Lease, *reason.Error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Choose(b.o.Clock(), work)
}

// ChooseCopy returns the engine for a copy, or nil.
func (b *Balancer) ChooseCopy(work Work, primary registry.Endpoint) *Lease {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.ChooseCopy(b.o.Clock(), work, primary)
}

// HasRoom reports whether one of the endpoints in Among can take the work.
func (b *Balancer) HasRoom(work Work) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.HasRoom(b.o.Clock(), work)
}

// Promote turns the lease of a copy into that of the running generation.
func (b *Balancer) Promote(l *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Promote(b.o.Clock(), l)
}

// Candidates returns the endpoints that come first for the work.
func (b *Balancer) Candidates(work Work, most int) []registry.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Candidates(b.o.Clock(), work, most)
}

// Reported takes over the load that an engine reports.
func (b *Balancer) Reported(e registry.Endpoint, load Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Reported(b.o.Clock(), e, load)
}

// Engines returns the endpoints of a service that take new work.
func (b *Balancer) Engines(service string) []registry.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Engines(b.o.Clock(), service)
}

// Alive reports whether an endpoint is registered and not suspected.
func (b *Balancer) Alive(e registry.Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.Alive(b.o.Clock(), e)
}

// Heard notes a sign of life of the endpoint of a lease.
func (b *Balancer) Heard(l *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Heard(b.o.Clock(), l)
}

// Suspect notes that the endpoint of a lease takes no new connections.
func (b *Balancer) Suspect(l *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Suspect(b.o.Clock(), l)
	b.o.Scope.Counter("suspected").Inc(1)
	b.o.Log.Info("endpoint suspected", "endpoint", l.Endpoint.ID, "failure_domain", l.Endpoint.Domain)
}

// Release ends a lease.
func (b *Balancer) Release(l *Lease, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.Release(b.o.Clock(), l, outcome)
}
