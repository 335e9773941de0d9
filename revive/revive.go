// Package revive detects restarted engines while the store is unreachable. A
// restarted engine has a new identifier, which normally reaches the instances
// through the store. Without this package the instances could not use the
// engine until the store returns.
package revive

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/ring"
	"github.com/hibiscusstair/hibiscusstair/routing"
)

const (
	// firstQueryDelay is the delay between a failure and the first identity
	// query to the address; an engine needs about a second to start.
	firstQueryDelay = time.Second
	// queryInterval is the interval between two queries to an address, and
	// maxSearchTime the time after which the search ends.
	queryInterval = 400 * time.Millisecond
	maxSearchTime = 8 * time.Second
	// queryTimeout bounds one query.
	queryTimeout = 150 * time.Millisecond
	// checkInterval is how often the detector checks for due queries.
	checkInterval = 100 * time.Millisecond
	// failureQueueCapacity bounds the failures that wait to be processed.
	failureQueueCapacity = 256
)

// Identity identifies the endpoint at an address.
type Identity struct {
	ID          api.EndpointID
	Incarnation int64
	// Models are the models that a model engine serves; empty for a service
	// without models.
	Models []string
}

// IdentityClient queries which endpoint has an address.
type IdentityClient interface {
	FetchIdentity(ctx context.Context, address, healthPath string) (Identity, error)
}

// Options configures a RestartDetector.
type Options struct {
	Client   IdentityClient
	Table    *routing.CurrentTable
	Registry *registry.Registry
	// StoreUnreachable reports whether the store does not respond.
	StoreUnreachable func() bool
	// TableConfirmed reports whether the configuration in use is the newest one as far as
	// the fleet knows. A newer one may list the service of an engine that was given the
	// address of another.
	TableConfirmed func() bool
	// Versioned says that requests are restricted to versions of the endpoints.
	Versioned bool
	Clock     bootclock.Func
	Log       *slog.Logger
	Scope     tally.Scope
}

// RestartDetector detects restarted engines.
type RestartDetector struct {
	o        Options
	failures *ring.Queue[registry.Endpoint]
	searches map[string]*search // by address
}

// search is the state of the queries to one address.
type search struct {
	endpoint  registry.Endpoint
	startedAt time.Duration
	nextQuery time.Duration
	// unconfirmedLogged says that it was logged that the configuration is not confirmed.
	unconfirmedLogged bool
}

// New returns a detector without active searches.
func New(o Options) *RestartDetector {
	return &RestartDetector{o: o, failures: ring.New[registry.Endpoint](failureQueueCapacity), searches: make(map[string]*search)}
}

// ReportFailure reports that an endpoint accepts no connections or has been
// replaced. It never blocks.
func (d *RestartDetector) ReportFailure(endpoint registry.Endpoint) {
	if !d.failures.TryPut(endpoint) {
		d.o.Scope.Counter("failures_dropped").Inc(1)
	}
}

// Run searches for restarted engines until the context ends.
func (d *RestartDetector) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case failed := <-d.failures.C():
			d.startSearches(failed)
			continue
		case <-ticker.C:
		}
		if len(d.searches) == 0 {
			continue
		}
		if !d.o.StoreUnreachable() {
			clear(d.searches)
			continue
		}
		d.queryDueAddresses(ctx)
	}
}

// startSearches starts a search at each registered address of the failed
// engine's service and failure domain, because such engines often fail
// together.
func (d *RestartDetector) startSearches(failed registry.Endpoint) {
	if !d.o.StoreUnreachable() {
		return
	}
	now := d.o.Clock()
	for _, e := range d.o.Registry.Endpoints() {
		if e.Service != failed.Service || e.Domain != failed.Domain || d.searches[e.Address] != nil {
			continue
		}
		d.searches[e.Address] = &search{endpoint: e, startedAt: now, nextQuery: now + firstQueryDelay}
	}
}

func (d *RestartDetector) queryDueAddresses(ctx context.Context) {
	now := d.o.Clock()
	for address, s := range d.searches {
		if now < s.nextQuery {
			continue
		}
		s.nextQuery = now + queryInterval
		if d.query(ctx, s) || now-s.startedAt > maxSearchTime {
			delete(d.searches, address)
		}
	}
}

// query asks one address for its endpoint, applies a replacement that it finds
// to the registry and reports whether the search has ended.
func (d *RestartDetector) query(ctx context.Context, s *search) bool {
	table := d.o.Table.Load()
	if table == nil {
		return false
	}
	service := table.Services[s.endpoint.Service]
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	d.o.Scope.Counter("questions").Inc(1)
	found, err := d.o.Client.FetchIdentity(ctx, s.endpoint.Address, service.HealthPath)
	if err != nil {
		return false // the endpoint is still down
	}
	if found.ID == s.endpoint.ID {
		return true // the endpoint was not replaced
	}
	if !d.o.TableConfirmed() {
		d.reportUnconfirmed(s, found, table)
		return false // other instances may be reached before the search ends
	}
	if !belongsToService(table, service, found) {
		d.o.Scope.Counter("unknown_service").Inc(1)
		d.o.Log.Info("restarted endpoint not used", "endpoint", found.ID, "address", s.endpoint.Address,
			"reason", "its service cannot be determined")
		return true
	}
	next := s.endpoint
	next.ID, next.Incarnation, next.Draining, next.ColdRemaining = found.ID, found.Incarnation, false, 0
	if d.o.Versioned && d.hasOtherVersion(s.endpoint) {
		// The address may have been given to an endpoint of the other version. Only the
		// registration names the version.
		next.Version = registry.UnknownVersion
	}
	d.o.Scope.Counter("revived").Inc(1)
	d.o.Log.Info("restarted endpoint used", "endpoint", found.ID, "replaces", s.endpoint.ID, "address", s.endpoint.Address,
		"service", next.Service, "models", found.Models, "configuration", table.Version,
		"since_failure_ms", (d.o.Clock() - s.startedAt).Milliseconds())
	d.o.Registry.Apply(registry.ReplacementObserved{Endpoint: next, Replaces: s.endpoint.ID})
	return true
}

// reportUnconfirmed counts and logs, once for a search, that an endpoint is not used because
// the configuration may be out of date.
func (d *RestartDetector) reportUnconfirmed(s *search, found Identity, table *routing.Table) {
	if s.unconfirmedLogged {
		return
	}
	s.unconfirmedLogged = true
	d.o.Scope.Counter("table_unconfirmed").Inc(1)
	d.o.Log.Info("restarted endpoint not used", "endpoint", found.ID, "address", s.endpoint.Address, "configuration", table.Version,
		"reason", "a newer configuration may list another service with its models")
}

// hasOtherVersion reports whether endpoints of the service with another version are
// registered.
func (d *RestartDetector) hasOtherVersion(known registry.Endpoint) bool {
	return slices.ContainsFunc(d.o.Registry.Endpoints(), func(e registry.Endpoint) bool {
		return e.Service == known.Service && e.Version != known.Version
	})
}

// belongsToService reports whether the endpoint found at a known address
// belongs to the same service as its predecessor. Addresses of removed
// endpoints are reassigned to other services, so the endpoint has to be a model
// engine, and its models have to be served by this service alone. The table has to be the
// newest one.
func belongsToService(table *routing.Table, service routing.Service, found Identity) bool {
	if len(found.Models) == 0 || service.Engine == nil {
		return false
	}
	for name, other := range table.Services {
		if name != service.Name && other.Engine != nil && servesAny(other.Engine, found.Models) {
			return false
		}
	}
	return servesAny(service.Engine, found.Models)
}

func servesAny(engine *routing.Engine, models []string) bool {
	for _, model := range models {
		for _, own := range engine.Models {
			if model == own {
				return true
			}
		}
	}
	return false
}
