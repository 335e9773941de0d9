// Package registry keeps the table of the endpoints that are registered in the
// store. It reports which endpoints are added, draining or removed, and keeps
// endpoints in use whose registrations have lapsed in an outage of the store.
// Core makes the decisions; it has no I/O and no clock.
package registry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// reregistrationGrace is how long after the store's recovery a registration may
	// be missing before its endpoint counts as removed. The platform guarantees that a
	// running endpoint registers again within about two seconds.
	reregistrationGrace = 2200 * time.Millisecond
	// outageThreshold is the time without a response of the store after which a
	// missing registration may be due to an outage. It is above the interval
	// between responses of a watch without changes, about 1.7 s, and below the
	// 3.6 s without a renewal after which the platform ends a registration.
	outageThreshold = 2500 * time.Millisecond
)

// UnknownVersion is the version of an endpoint that was found at the address of another
// one, if it may be of any version.
const UnknownVersion = "?"

// Endpoint is a registered endpoint.
type Endpoint struct {
	ID api.EndpointID
	// Incarnation is the start time of the endpoint in Unix milliseconds. An
	// endpoint that restarts under the same identifier has a higher one.
	Incarnation int64
	Service     string
	Version     string // of the endpoint's software; "" is unknown
	Address     string // IP number and port
	Domain      api.FailureDomain
	Slots       int
	// Draining says that the endpoint accepts no new requests.
	Draining bool
	// ColdRemaining is how long the endpoint is still slow after its start.
	ColdRemaining time.Duration
}

// Same reports whether both are the same start of the same endpoint at the same address, in
// the same service. What an endpoint has shown, such as its load, holds for another one only
// if they are the same.
func (e Endpoint) Same(other Endpoint) bool {
	return e.ID == other.ID && e.Incarnation == other.Incarnation && e.Address == other.Address && e.Service == other.Service
}

// Event is an input of the core.
type Event interface{ event() }

// EndpointsListed carries the complete list of registrations.
type EndpointsListed struct{ Endpoints []Endpoint }

// EndpointChanged carries a new or changed registration.
type EndpointChanged struct{ Endpoint Endpoint }

// EndpointRemoved reports that a registration has ended.
type EndpointRemoved struct{ ID api.EndpointID }

// StoreResponded reports that the store has responded to a call.
type StoreResponded struct{}

// StoreRestored reports that the store was restored from a copy. Registrations that
// began since the copy are missing until their endpoints register again, and some that
// have ended since are back.
type StoreRestored struct{}

// Tick lets the core remove lapsed registrations whose grace period has ended.
type Tick struct{}

// PeerListReceived carries the list of another instance. It is only used while
// the table is empty, since it may be older than the table.
type PeerListReceived struct{ Endpoints []Endpoint }

// LeavingObserved reports that an endpoint has said to this instance that it leaves.
type LeavingObserved struct {
	ID          api.EndpointID
	Incarnation int64
}

// ReplacementObserved reports that another endpoint responds at the address of a
// registered one while the store is unreachable.
type ReplacementObserved struct {
	Endpoint Endpoint
	Replaces api.EndpointID
}

// ServicesListed carries the services of a version of the configuration.
type ServicesListed struct {
	Version  uint64
	Services []string
}

// AddressAnswered reports that a request to an endpoint was answered by another one, which
// has its address.
type AddressAnswered struct {
	Asked Endpoint
	By    api.EndpointID
}

func (ServicesListed) event()      {}
func (AddressAnswered) event()     {}
func (ReplacementObserved) event() {}
func (LeavingObserved) event()     {}
func (EndpointsListed) event()     {}
func (EndpointChanged) event()     {}
func (EndpointRemoved) event()     {}
func (StoreResponded) event()      {}
func (StoreRestored) event()       {}
func (Tick) event()                {}
func (PeerListReceived) event()    {}

// Change is a change of an endpoint in the table.
type Change struct {
	Endpoint Endpoint
	Kind     ChangeKind
	// Reassigned says of an endpoint that is gone that only its service has changed: it
	// has not ended.
	Reassigned bool
	// TakenBy is the endpoint that has the address of one that is gone; "" is none. Refuted
	// says that it has had it all along: the one that is gone ran no requests.
	TakenBy api.EndpointID
	Refuted bool
}

// ChangeKind names a change of an endpoint.
type ChangeKind string

// Kinds of change.
const (
	// Added means that the endpoint is new, or has a new incarnation, address or service.
	Added ChangeKind = "added"
	// Updated means that properties have changed that no index of the endpoints contains.
	Updated ChangeKind = "updated"
	// StartedDraining means that the endpoint accepts no new requests from now on.
	StartedDraining ChangeKind = "leaving"
	// Restored means that a lapsed registration is back.
	Restored ChangeKind = "restored"
	// Gone means that the endpoint was removed, or was replaced by the one that is added next.
	Gone ChangeKind = "gone"
	// Lapsed means that the registration is missing after an outage of the store.
	// The endpoint stays in use until reregistrationGrace after the store's
	// recovery.
	Lapsed ChangeKind = "lapsed"
)

type entry struct {
	endpoint Endpoint
	// expiresAt is when a lapsed registration counts as removed; 0 means not lapsed.
	expiresAt time.Duration
}

// Core holds the table of endpoints. It is not safe for concurrent use.
type Core struct {
	entries map[api.EndpointID]*entry
	// byAddress indexes the identifiers by address, and lapsed holds those whose
	// registration has lapsed, so that the cost of a change does not grow with the
	// table.
	byAddress      map[string][]api.EndpointID
	lapsed         map[api.EndpointID]bool
	lastResponseAt time.Duration // last response of the store
	recoveredAt    time.Duration // last recovery of the store after an outage
	storeResponded bool          // the store has responded at least once
	restoredAt     time.Duration // last restore of the store; 0 is none
	departed       map[api.EndpointID]departure
	// departuresCheckedAt is when departures were last forgotten.
	departuresCheckedAt time.Duration
	// fromCopy are registrations that had ended before the store was restored from a
	// copy that has them. They are ignored for copyGrace.
	fromCopy  map[api.EndpointID]Endpoint
	conflicts conflicts
	changes   []Change
}

// NewCore returns an empty table.
func NewCore() *Core {
	return &Core{
		entries:   make(map[api.EndpointID]*entry),
		byAddress: make(map[string][]api.EndpointID),
		lapsed:    make(map[api.EndpointID]bool),
		departed:  make(map[api.EndpointID]departure),
		fromCopy:  make(map[api.EndpointID]Endpoint),
		conflicts: newConflicts(),
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
		delete(c.fromCopy, e.Endpoint.ID)
		c.applyRegistration(now, e.Endpoint)
	case EndpointRemoved:
		c.recordStoreResponse(now)
		delete(c.fromCopy, e.ID)
		c.conflicts.forget(e.ID)
		c.handleMissing(now, e.ID)
	case StoreResponded:
		c.recordStoreResponse(now)
	case StoreRestored:
		c.recordStoreResponse(now)
		c.recoveredAt, c.restoredAt = now, now
	case ServicesListed:
		c.applyServices(now, e)
	case AddressAnswered:
		c.applyAnswer(now, e)
	case ReplacementObserved:
		c.applyReplacement(now, e)
	case LeavingObserved:
		if known, ok := c.entries[e.ID]; ok && known.endpoint.Incarnation == e.Incarnation && !known.endpoint.Draining {
			known.endpoint.Draining = true
			c.appendChange(known.endpoint, StartedDraining)
		}
	case PeerListReceived:
		if len(c.entries) == 0 {
			for _, endpoint := range e.Endpoints {
				c.applyRegistration(now, endpoint)
			}
		}
	}
	c.expireLapsed(now)
	c.expireDepartures(now)
	c.reinstate(now)
	return c.changes
}

// Len returns the number of endpoints in the table.
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
	clear(c.fromCopy)
	for _, endpoint := range endpoints {
		seen[endpoint.ID] = true
		if c.isFromCopy(now, endpoint) {
			c.fromCopy[endpoint.ID] = endpoint
			continue
		}
		c.applyRegistration(now, endpoint)
	}
	for _, endpoint := range c.Endpoints() {
		if !seen[endpoint.ID] {
			c.handleMissing(now, endpoint.ID)
		}
	}
	c.conflicts.forgetExcept(seen)
}

// applyRegistration adds or updates an endpoint. It reports at most one kind of
// change of the same incarnation: draining goes before restored, and restored
// before updated.
func (c *Core) applyRegistration(now time.Duration, endpoint Endpoint) {
	known, ok := c.entries[endpoint.ID]
	if !ok {
		if c.hasDrained(endpoint) || c.resolveAddress(now, endpoint) != "" {
			return
		}
		c.entries[endpoint.ID] = &entry{endpoint: endpoint}
		c.indexAddress(endpoint)
		c.appendChange(endpoint, Added)
		return
	}
	before := known.endpoint
	if endpoint.Incarnation < before.Incarnation {
		return // a late message about an earlier incarnation
	}
	if endpoint.Incarnation == before.Incarnation && endpoint.Incarnation != 0 && before.Draining {
		// An endpoint that drains does not become ready again; the store may have
		// lost its message.
		endpoint.Draining = true
	}
	if !endpoint.Same(before) {
		if by := c.resolveAddress(now, endpoint); by != "" {
			c.removeTaken(now, known, by)
			return
		}
	}
	lapsed := known.expiresAt != 0
	known.expiresAt = 0
	delete(c.lapsed, endpoint.ID)
	c.unindexAddress(before)
	c.indexAddress(endpoint)
	known.endpoint = endpoint
	switch {
	case !endpoint.Same(before):
		c.replace(now, before, endpoint)
	case endpoint.Draining && !before.Draining:
		c.appendChange(endpoint, StartedDraining)
	case lapsed:
		c.appendChange(endpoint, Restored)
	case endpoint != before:
		c.appendChange(endpoint, Updated)
	}
}

// handleMissing handles a registration that is missing from the store. In steady
// state the endpoint is removed; after an outage of the store it has time to
// register again.
func (c *Core) handleMissing(now time.Duration, id api.EndpointID) {
	known, ok := c.entries[id]
	if !ok || known.expiresAt != 0 {
		return
	}
	if c.recoveredAt == 0 || now-c.recoveredAt >= reregistrationGrace {
		c.remove(now, known)
		return
	}
	known.expiresAt = c.recoveredAt + reregistrationGrace
	c.lapsed[id] = true
	c.appendChange(known.endpoint, Lapsed)
}

func (c *Core) expireLapsed(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.lapsed)) {
		if known := c.entries[id]; now >= known.expiresAt {
			c.remove(now, known)
		}
	}
}

func (c *Core) remove(now time.Duration, known *entry) { c.removeTaken(now, known, "") }

// removeTaken removes an endpoint whose address another one has.
func (c *Core) removeTaken(now time.Duration, known *entry, by api.EndpointID) {
	c.recordDeparture(now, known.endpoint)
	delete(c.entries, known.endpoint.ID)
	delete(c.lapsed, known.endpoint.ID)
	c.unindexAddress(known.endpoint)
	refuted := by != "" && c.conflicts.isRefuted(known.endpoint)
	c.changes = append(c.changes, Change{Endpoint: known.endpoint, Kind: Gone, TakenBy: by, Refuted: refuted})
}

// replace reports that an entry has another endpoint than before, or another service.
func (c *Core) replace(now time.Duration, before, endpoint Endpoint) {
	reassigned := before.Incarnation == endpoint.Incarnation && before.Address == endpoint.Address
	if !reassigned {
		c.recordDeparture(now, before)
	}
	c.changes = append(c.changes, Change{Endpoint: before, Kind: Gone, Reassigned: reassigned})
	c.appendChange(endpoint, Added)
}

func (c *Core) appendChange(endpoint Endpoint, kind ChangeKind) {
	c.changes = append(c.changes, Change{Endpoint: endpoint, Kind: kind})
}
