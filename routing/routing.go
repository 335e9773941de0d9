// Package routing holds the configuration in force for routed requests: which
// route a request takes, which services a route may use, and which client
// account a key belongs to. A Table is immutable and replaced as a whole.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// RetryPolicy says what may be done again after a failure. It follows from the
// configuration of the route, never from the request's method.
type RetryPolicy int

// Values of Repeat.
const (
	// RetryNever is for requests that run at most once.
	RetryNever RetryPolicy = iota
	// RetryAlways is for idempotent requests.
	RetryAlways
	// RetryFromLastEvent is for event streams that go on after their last event.
	RetryFromLastEvent
)

// WeightedService is a service with its weight among the services of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Route says how one kind of request is served.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	RetryPolicy RetryPolicy
	// Stream says that the answer is a series of events.
	Stream bool
	// Timeout is the longest time that a caller is kept waiting; 0 is none.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is on time; for a
	// stream it runs to the first event.
	TargetLatency time.Duration
	// TargetGap is the longest pause between events that is on time.
	TargetGap time.Duration
	Priority  int // 0 is the highest
	// MaxAttempts bounds the endpoints that one request is sent to.
	MaxAttempts int
	// AllowAnonymous admits requests without a key.
	AllowAnonymous bool
	Services       []WeightedService
}

// Service is a group of endpoints that run the same requests.
type Service struct {
	Name           string
	MaxConnections int // of all callers at one endpoint; 0 is unknown
	HealthPath     string
	// Engine describes model engines; nil for a plain service.
	Engine *Engine
}

// Engine describes the engines of a service.
type Engine struct {
	Slots      int
	KVCapacity int // tokens
	Models     []string
	// Backups says that an engine copies a run's memory to another engine.
	Backups bool
	// BackupTTL is how long a copy is kept after its last part.
	BackupTTL time.Duration
}

// Limits bound what a caller may send.
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
	// Priority replaces the route's priority if HasPriority is set.
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

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
	// Document is the encoded form that the table was decoded from, which
	// instances hand to each other.
	Document []byte

	byHost      map[string][]Route // longest prefix first
	accounts    map[string]Account // by key
	requiresKey bool
}

// New returns the table of a configuration. Accounts of nil mean that requests
// carry no keys.
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

// Match returns the route with the longest prefix that begins the path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Account returns the account that holds a key.
func (t *Table) Account(key string) (Account, bool) {
	account, ok := t.accounts[key]
	return account, ok
}

// RequiresKey reports whether requests have to carry a key.
func (t *Table) RequiresKey() bool { return t.requiresKey }

// Routes returns the number of routes.
func (t *Table) Routes() int {
	total := 0
	for _, list := range t.byHost {
		total += len(list)
	}
	return total
}

// SelectService returns the service of the route for a request. The same request gets
// the same service at every instance, so that a repeated request does not
// change services.
func (r Route) SelectService(request string) string {
	total := 0
	for _, share := range r.Services {
		total += max(0, share.Weight)
	}
	if total == 0 {
		if len(r.Services) == 0 {
			return ""
		}
		return r.Services[0].Service
	}
	point := int(xxhash.Sum64String(request) % uint64(total))
	for _, share := range r.Services {
		point -= max(0, share.Weight)
		if point < 0 {
			return share.Service
		}
	}
	return ""
}
