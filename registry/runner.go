package registry

import (
	"log/slog"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/bootclock"
)

// Options configures a Registry.
type Options struct {
	Clock bootclock.Func
	Log   *slog.Logger
	Scope tally.Scope
	// OnChange is called with every change, in order. It must not call the registry.
	OnChange func(Change)
}

// Registry is the table of endpoints of one instance. It is safe for concurrent
// use.
type Registry struct {
	options Options
	mu      sync.Mutex
	core    *Core
}

// New returns an empty registry.
func New(o Options) *Registry { return &Registry{options: o, core: NewCore()} }

// Apply applies an event to the table.
func (r *Registry) Apply(event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, change := range r.core.Step(r.options.Clock(), event) {
		r.options.Scope.Tagged(map[string]string{"change": string(change.Kind)}).Counter("endpoint_changes").Inc(1)
		if change.Kind != Updated {
			r.options.Log.Info("endpoint changed", "change", change.Kind, "endpoint", change.Endpoint.ID,
				"address", change.Endpoint.Address, "service", change.Endpoint.Service,
				"failure_domain", change.Endpoint.Domain, "incarnation", change.Endpoint.Incarnation)
		}
		r.options.OnChange(change)
	}
}

// Len returns the number of endpoints in the table.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Len()
}

// Endpoints returns all endpoints in the order of their identifiers.
func (r *Registry) Endpoints() []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Endpoints()
}
