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

// Apply applies an event to the table. Each change has a line in the log, except those
// of the first list, which has one line in all: after a kill of all, each instance
// receives the list of all endpoints.
func (r *Registry) Apply(event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.core.Len() == 0
	counts := make(map[ChangeKind]int64)
	for _, change := range r.core.Step(r.options.Clock(), event) {
		counts[change.Kind]++
		if change.Kind != Updated && !first {
			r.options.Log.Info("endpoint changed", "change", change.Kind, "endpoint", change.Endpoint.ID,
				"address", change.Endpoint.Address, "service", change.Endpoint.Service,
				"failure_domain", change.Endpoint.Domain, "incarnation", change.Endpoint.Incarnation,
				"reassigned", change.Reassigned, "taken_by", change.TakenBy)
		}
		r.options.OnChange(change)
	}
	r.options.Scope.Gauge("registrations_outranked").Update(float64(len(r.core.conflicts.outranked)))
	for kind, count := range counts {
		r.options.Scope.Tagged(map[string]string{"change": string(kind)}).Counter("endpoint_changes").Inc(count)
	}
	if first && len(counts) > 0 {
		r.options.Log.Info("endpoints listed", "endpoints", r.core.Len(), "changes", counts)
	}
}

// ApplyAnswer applies an answer of another endpoint at an address. It reports whether the
// endpoint that was asked never had the address.
func (r *Registry) ApplyAnswer(answer AddressAnswered) (refuted bool) {
	r.Apply(answer)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.conflicts.isRefuted(answer.Asked)
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
