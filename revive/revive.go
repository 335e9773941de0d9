// Package revive finds engines that have started again while the store does not
// answer. A restarted engine has a new identifier, which normally reaches the
// instances through the store; without it the engine would be lost to them until
// the store returns.
package revive

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/ring"
	"github.com/hibiscusstair/hibiscusstair/routing"
)

const (
	// firstAsk is the time after a failure before the address is asked who it
	// is; an engine needs about a second to start.
	firstAsk = time.Second
	// askInterval is the pause between two questions, and longestSearch their
	// end.
	askInterval   = 400 * time.Millisecond
	longestSearch = 8 * time.Second
	// askTimeout bounds one question.
	askTimeout = 150 * time.Millisecond
	// tick is how often due questions are looked for.
	tick = 100 * time.Millisecond
	// capacity bounds the failures that wait.
	capacity = 256
)

// Identity is what an address says of the endpoint that has it.
type Identity struct {
	ID          api.EndpointID
	Incarnation int64
	// Models are the models that a model engine runs; a plain service has none.
	Models []string
}

// Identifier asks an address which endpoint has it.
type Identifier interface {
	Identify(ctx context.Context, address, healthPath string) (Identity, error)
}

// Options configures a RestartDetector.
type Options struct {
	Identifier Identifier
	Table      *routing.CurrentTable
	Registry   *registry.Registry
	// StoreUnreachable reports whether the store does not answer.
	StoreUnreachable func() bool
	Clock            bootclock.Func
	Log              *slog.Logger
	Scope            tally.Scope
}

// RestartDetector looks for restarted engines.
type RestartDetector struct {
	o        Options
	failures *ring.Queue[registry.Endpoint]
	searches map[string]*search // by address
}

type search struct {
	endpoint registry.Endpoint
	since    time.Duration
	next     time.Duration
}

// New returns a finder that looks for nothing.
func New(o Options) *RestartDetector {
	return &RestartDetector{o: o, failures: ring.New[registry.Endpoint](capacity), searches: make(map[string]*search)}
}

// ReportFailure notes that an endpoint takes no connections or has been replaced. It
// never blocks.
func (f *RestartDetector) ReportFailure(endpoint registry.Endpoint) {
	if !f.failures.TryPut(endpoint) {
		f.o.Scope.Counter("failures_dropped").Inc(1)
	}
}

// Run looks for restarted engines until the context ends.
func (f *RestartDetector) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case failed := <-f.failures.C():
			f.start(failed)
			continue
		case <-ticker.C:
		}
		if len(f.searches) == 0 {
			continue
		}
		if !f.o.StoreUnreachable() {
			clear(f.searches)
			continue
		}
		f.askDue(ctx)
	}
}

// start begins to search at the failed engine's address, and at those of its
// service and failure domain, which often fail together.
func (f *RestartDetector) start(failed registry.Endpoint) {
	if !f.o.StoreUnreachable() {
		return
	}
	now := f.o.Clock()
	for _, e := range f.o.Registry.Endpoints() {
		if e.Service != failed.Service || e.Domain != failed.Domain || f.searches[e.Address] != nil {
			continue
		}
		f.searches[e.Address] = &search{endpoint: e, since: now, next: now + firstAsk}
	}
}

func (f *RestartDetector) askDue(ctx context.Context) {
	now := f.o.Clock()
	for address, s := range f.searches {
		if now < s.next {
			continue
		}
		s.next = now + askInterval
		if f.ask(ctx, s) || now-s.since > longestSearch {
			delete(f.searches, address)
		}
	}
}

// ask reports whether the search has ended.
func (f *RestartDetector) ask(ctx context.Context, s *search) bool {
	table := f.o.Table.Load()
	if table == nil {
		return false
	}
	service := table.Services[s.endpoint.Service]
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	f.o.Scope.Counter("questions").Inc(1)
	found, err := f.o.Identifier.Identify(ctx, s.endpoint.Address, service.HealthPath)
	if err != nil {
		return false // still down
	}
	if found.ID == s.endpoint.ID {
		return true // it was not replaced
	}
	if !certain(table, service, found) {
		f.o.Log.Info("new endpoint not used", "endpoint", found.ID, "address", s.endpoint.Address,
			"reason", "its service is not certain")
		return true
	}
	next := s.endpoint
	next.ID, next.Incarnation, next.Draining, next.ColdRemaining = found.ID, found.Incarnation, false, 0
	f.o.Scope.Counter("revived").Inc(1)
	f.o.Registry.Apply(registry.ReplacementObserved{Endpoint: next, Replaces: s.endpoint.ID})
	return true
}

// certain reports whether the endpoint at a known address is of the same
// service as the one before. Addresses of endpoints that are gone are given to
// other services, so the endpoint has to be a model engine, and its models have
// to be those of this service alone.
func certain(table *routing.Table, service routing.Service, found Identity) bool {
	if len(found.Models) == 0 || service.Engine == nil {
		return false
	}
	for name, other := range table.Services {
		if name != service.Name && other.Engine != nil && serves(other.Engine, found.Models) {
			return false
		}
	}
	return serves(service.Engine, found.Models)
}

func serves(engine *routing.Engine, models []string) bool {
	for _, model := range models {
		for _, own := range engine.Models {
			if model == own {
				return true
			}
		}
	}
	return false
}
