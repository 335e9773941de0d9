// Package routing holds the active configuration of routed requests: the route of
// a request, the services of a route, and the client account of a key. A Table is
// immutable and replaced as a whole.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// RetryPolicy says what may be sent again after a failure. It follows from the
// configuration of the route, never from the request's method.
type RetryPolicy int

// Values of RetryPolicy.
const (
	// RetryNever is for requests that run at most once.
	RetryNever RetryPolicy = iota
	// RetryAlways is for idempotent requests.
	RetryAlways
	// RetryFromLastEvent is for event streams that can be resumed after the last
	// event that was delivered.
	RetryFromLastEvent
)

// WeightedService is a service of a route. It gets requests in proportion to its
// weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Route says how requests to a host and path prefix are served.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	RetryPolicy RetryPolicy
	// Stream says that the response is a stream of events.
	Stream bool
	// Timeout bounds the time that a caller waits for the response; 0 means no
	// bound.
	Timeout time.Duration
	// TargetLatency is the time within which a response is on time. For a stream
	// it counts until the first event.
	TargetLatency time.Duration
	// TargetEventGap is the longest pause between two events that is on time.
	TargetEventGap time.Duration
	Priority       int // 0 is the highest
	// MaxAttempts bounds the number of endpoints that one request is sent to.
	MaxAttempts int
	// AllowAnonymous admits requests without a key.
	AllowAnonymous bool
	Services       []WeightedService
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name           string
	MaxConnections int // per endpoint, of all callers; 0 means unknown
	HealthPath     string
	// Engine describes the engines of a model service; nil for a plain service.
	Engine *Engine
}

// Engine describes the engines of a service.
type Engine struct {
	Slots      int // generations at a time per engine
	KVCapacity int // tokens per engine
	Models     []string
	// SupportsBackups says that an engine can replicate the KV cache of a running
	// generation to another engine.
	SupportsBackups bool
	// BackupTTL is how long an engine keeps a backup after its last update.
	BackupTTL time.Duration
}

// Limits bounds what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Account is a client account with its keys.
type Account struct {
	ID   api.AccountID
	Keys []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// PriorityOn returns the priority of the account's requests on a route; 0 is the
// highest.
func (a Account) PriorityOn(route Route) int {
	if a.HasPriority {
		return a.Priority
	}
	return route.Priority
}

// Table is one version of the routing configuration.
type Table struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
	// Document is the encoded form that the table was decoded from. Instances send
	// it to each other.
	Document []byte
	// DecodeTime is how long decoding took, including waits for the processor.
	DecodeTime time.Duration

	byHost      map[string][]Route // longest prefix first
	accounts    map[string]Account // by key
	requiresKey bool
}

// New returns the table of a configuration. If accounts is nil, requests need no
// key. With an empty list no key is valid, so only routes that allow anonymous
// requests admit any.
func New(version uint64, routes []Route, services []Service, accounts []Account, limits Limits) *Table {
	t := &Table{
		Version:     version,
		Services:    make(map[string]Service, len(services)),
		Limits:      limits,
		byHost:      make(map[string][]Route),
		accounts:    make(map[string]Account),
		requiresKey: accounts != nil,
	}
	for _, service := range services {
		t.Services[service.Name] = service
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, account := range accounts {
		for _, key := range account.Keys {
			t.accounts[key] = account
		}
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Account returns the account that a key belongs to.
func (t *Table) Account(key string) (Account, bool) {
	account, ok := t.accounts[key]
	return account, ok
}

// RequiresKey reports whether requests need the key of an account.
func (t *Table) RequiresKey() bool { return t.requiresKey }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	total := 0
	for _, list := range t.byHost {
		total += len(list)
	}
	return total
}

// LatencyTarget returns the lowest latency target of the routes to a service; 0 is none.
func (t *Table) LatencyTarget(service string) time.Duration {
	lowest := time.Duration(0)
	for _, routes := range t.byHost {
		for _, route := range routes {
			selects := slices.ContainsFunc(route.Services, func(w WeightedService) bool { return w.Service == service })
			if selects && route.TargetLatency > 0 && (lowest == 0 || route.TargetLatency < lowest) {
				lowest = route.TargetLatency
			}
		}
	}
	return lowest
}

// SelectService returns the service of the route for a request identifier. Every
// instance selects the same service, so that a retry of the request goes to the
// same one.
func (r Route) SelectService(request string) string {
	total := 0
	for _, weighted := range r.Services {
		total += max(0, weighted.Weight)
	}
	if total == 0 {
		if len(r.Services) == 0 {
			return ""
		}
		return r.Services[0].Service
	}
	point := int(xxhash.Sum64String(request) % uint64(total))
	for _, weighted := range r.Services {
		point -= max(0, weighted.Weight)
		if point < 0 {
			return weighted.Service
		}
	}
	return ""
}
