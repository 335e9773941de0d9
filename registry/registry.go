// Package registry knows the endpoints that have registered themselves in the
// store: which of them may get new work, which are leaving, and which are
// gone. The decisions are in Core, which has no I/O and no clock.
package registry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// reregistrationGrace is how long after the store's return a registration may be
	// missing before its endpoint counts as gone. The platform promises that a
	// living endpoint is back within about two seconds.
	reregistrationGrace = 2200 * time.Millisecond
	// outageThreshold is the time without an answer of the store after which a
	// missing registration may be due to the outage. It is above the interval of
	// quiet watches, about 1.7 s, and below the 3.6 s of silence after which the
	// platform ends a registration.
	outageThreshold = 2500 * time.Millisecond
)

// Endpoint is a registered endpoint.
type Endpoint struct {
	ID api.EndpointID
	// Incarnation is the time of the endpoint's start in Unix milliseconds. An
	// endpoint that starts again under its identifier has a higher one.
	Incarnation int64
	Service     string
	Address     string // IP number and port
	Domain      api.FailureDomain
	Slots       int
	// Draining says that the endpoint takes no new work.
	Draining bool
	// ColdRemaining is how long the endpoint remains slow after its start.
	ColdRemaining time.Duration
}

// Event is an input of the core.
type Event interface{ event() }

// EndpointsListed is the complete list of registrations.
type EndpointsListed struct{ Endpoints []Endpoint }

// EndpointChanged is a new or changed registration.
type EndpointChanged struct{ Endpoint Endpoint }

// EndpointRemoved is the end of a registration.
type EndpointRemoved struct{ ID api.EndpointID }

// StoreResponded says that the store has answered a call.
type StoreResponded struct{}

// Tick lets time pass.
type Tick struct{}

// PeerListReceived is a list from another instance. It only fills an empty table, since
// it may be older than what this instance knows.
type PeerListReceived struct{ Endpoints []Endpoint }

// ReplacementObserved is an endpoint that was found at the address of an earlier lifetime
// while the store does not answer.
type ReplacementObserved struct {
	Endpoint Endpoint
	Replaces api.EndpointID
}

func (ReplacementObserved) event() {}
func (EndpointsListed) event()     {}
func (EndpointChanged) event()     {}
func (EndpointRemoved) event()     {}
func (StoreResponded) event()      {}
func (Tick) event()                {}
func (PeerListReceived) event()    {}

// Change says what became of an endpoint.
type Change struct {
	Endpoint Endpoint
	Kind     ChangeKind
}

// ChangeKind names a change of an endpoint.
type ChangeKind string

// Kinds of change.
const (
	Added    ChangeKind = "added"
	Updated  ChangeKind = "updated"
	Leaving  ChangeKind = "leaving"
	Restored ChangeKind = "restored"
	Gone     ChangeKind = "gone"
	// Lapsed is a registration that is missing after an outage of the store.
	// The endpoint stays in use for returnTime.
	Lapsed ChangeKind = "lapsed"
)

type entry struct {
	endpoint Endpoint
	// expiresAt is when a lapsed registration counts as gone; 0 is not lapsed.
	expiresAt time.Duration
}

// Core holds the table. It is not safe for concurrent use.
type Core struct {
	entries map[api.EndpointID]*entry
	// byAddress lists the identifiers at an address, and lapsed those whose
	// registration has lapsed, so that a change costs the same in a large table.
	byAddress      map[string][]api.EndpointID
	lapsed         map[api.EndpointID]bool
	lastResponseAt time.Duration // last answer of the store
	recoveredAt    time.Duration // last return of the store after an outage
	storeResponded bool          // the store has answered at least once
	changes        []Change
}

// NewCore returns an empty table.
func NewCore() *Core {
	return &Core{
		entries:   make(map[api.EndpointID]*entry),
		byAddress: make(map[string][]api.EndpointID),
		lapsed:    make(map[api.EndpointID]bool),
	}
}

// Step handles one event and returns the changes. The slice is valid until the
// next Step.
func (c *Core) Step(now time.Duration, event Event) []Change {
	c.changes = c.changes[:0]
	switch e := event.(type) {
	case EndpointsListed:
		c.recordStoreResponse(now)
		c.applyList(now, e.Endpoints)
	case EndpointChanged:
		c.recordStoreResponse(now)
		c.applyRegistration(e.Endpoint)
	case EndpointRemoved:
		c.recordStoreResponse(now)
		c.handleMissing(now, e.ID)
	case StoreResponded:
		c.recordStoreResponse(now)
	case ReplacementObserved:
		if known, ok := c.entries[e.Replaces]; ok && known.endpoint.Address == e.Endpoint.Address {
			c.remove(known)
			c.applyRegistration(e.Endpoint)
		}
	case PeerListReceived:
		if len(c.entries) == 0 {
			for _, endpoint := range e.Endpoints {
				c.applyRegistration(endpoint)
			}
		}
	}
	c.expireLapsed(now)
	return c.changes
}

// Len returns the number of endpoints.
func (c *Core) Len() int { return len(c.entries) }

// Endpoints returns all endpoints in the order of their identifiers.
func (c *Core) Endpoints() []Endpoint {
	list := make([]Endpoint, 0, len(c.entries))
	for _, e := range c.entries {
		list = append(list, e.endpoint)
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

func (c *Core) recordStoreResponse(now time.Duration) {
	if c.storeResponded && now-c.lastResponseAt > outageThreshold {
		c.recoveredAt = now
	}
	c.storeResponded = true
	c.lastResponseAt = now
}

func (c *Core) applyList(now time.Duration, endpoints []Endpoint) {
	seen := make(map[api.EndpointID]bool, len(endpoints))
	for _, endpoint := range endpoints {
		seen[endpoint.ID] = true
		c.applyRegistration(endpoint)
	}
	for _, endpoint := range c.Endpoints() {
		if !seen[endpoint.ID] {
			c.handleMissing(now, endpoint.ID)
		}
	}
}

func (c *Core) applyRegistration(endpoint Endpoint) {
	known, ok := c.entries[endpoint.ID]
	if !ok {
		if c.supersede(endpoint) {
			return
		}
		c.entries[endpoint.ID] = &entry{endpoint: endpoint}
		c.indexAddress(endpoint)
		c.appendChange(endpoint, Added)
		return
	}
	before := known.endpoint
	if endpoint.Incarnation < before.Incarnation {
		return // a late message of an earlier lifetime
	}
	if moved := endpoint.Incarnation != before.Incarnation || endpoint.Address != before.Address; moved && c.supersede(endpoint) {
		c.remove(known)
		return
	}
	lapsed := known.expiresAt != 0
	known.expiresAt = 0
	delete(c.lapsed, endpoint.ID)
	c.unindexAddress(before)
	c.indexAddress(endpoint)
	known.endpoint = endpoint
	switch {
	case endpoint.Incarnation != before.Incarnation || endpoint.Address != before.Address:
		c.appendChange(before, Gone)
		c.appendChange(endpoint, Added)
	case endpoint.Draining && !before.Draining:
		c.appendChange(endpoint, Leaving)
	case lapsed:
		c.appendChange(endpoint, Restored)
	case endpoint != before:
		c.appendChange(endpoint, Updated)
	}
}

// supersede removes earlier lifetimes at the endpoint's address and reports
// whether the table has a later one there: an address has one endpoint.
func (c *Core) supersede(endpoint Endpoint) bool {
	for _, id := range slices.Clone(c.byAddress[endpoint.Address]) {
		if id == endpoint.ID {
			continue
		}
		other := c.entries[id].endpoint
		if other.Incarnation > endpoint.Incarnation {
			return true
		}
		if other.Incarnation < endpoint.Incarnation {
			c.remove(c.entries[other.ID])
		}
	}
	return false
}

// handleMissing handles a registration that is no longer there. In steady state the
// endpoint is gone; after an outage of the store it has time to come back.
func (c *Core) handleMissing(now time.Duration, id api.EndpointID) {
	known, ok := c.entries[id]
	if !ok || known.expiresAt != 0 {
		return
	}
	if c.recoveredAt == 0 || now-c.recoveredAt >= reregistrationGrace {
		c.remove(known)
		return
	}
	known.expiresAt = c.recoveredAt + reregistrationGrace
	c.lapsed[id] = true
	c.appendChange(known.endpoint, Lapsed)
}

func (c *Core) expireLapsed(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.lapsed)) {
		if known := c.entries[id]; now >= known.expiresAt {
			c.remove(known)
		}
	}
}

func (c *Core) indexAddress(endpoint Endpoint) {
	c.byAddress[endpoint.Address] = append(c.byAddress[endpoint.Address], endpoint.ID)
}

func (c *Core) unindexAddress(endpoint Endpoint) {
	left := slices.DeleteFunc(c.byAddress[endpoint.Address], func(id api.EndpointID) bool { return id == endpoint.ID })
	if len(left) == 0 {
		delete(c.byAddress, endpoint.Address)
		return
	}
	c.byAddress[endpoint.Address] = left
}

func (c *Core) remove(known *entry) {
	delete(c.entries, known.endpoint.ID)
	delete(c.lapsed, known.endpoint.ID)
	c.unindexAddress(known.endpoint)
	c.appendChange(known.endpoint, Gone)
}

func (c *Core) appendChange(endpoint Endpoint, kind ChangeKind) {
	c.changes = append(c.changes, Change{Endpoint: endpoint, Kind: kind})
}
