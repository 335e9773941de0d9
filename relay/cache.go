// Package relay passes on what instances read from the store, so that one
// instance of a failure domain reads for all of them, and so that an instance
// which the store does not answer still learns what others know.
package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/storesync"
)

const (
	// maxLog is the number of changes that are kept for instances which follow.
	maxLog = 2048
	// longestWait bounds a call that waits.
	longestWait = time.Second
	// lostCheck is how often a waiting call looks whether the store was lost.
	lostCheck = 200 * time.Millisecond
)

// Cache holds what this instance has last read, for others to follow. It is
// safe for concurrent use.
type Cache struct {
	tableContact    StoreContact
	endpointContact StoreContact

	mu            sync.Mutex
	table         *routing.Table
	tableRevision uint64
	endpoints     map[api.EndpointID]registry.Endpoint
	revision      uint64
	log           []logged
	logFrom       uint64 // the log has all changes after this revision
	changed       chan struct{}
}

// logged is a change with the revision of the answer that brought it.
type logged struct {
	revision uint64
	event    registry.Event
}

var (
	_ peerpb.Relay       = (*Cache)(nil)
	_ storesync.Recorder = (*Cache)(nil)
)

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{endpoints: make(map[api.EndpointID]registry.Endpoint), changed: make(chan struct{})}
}

// StoreContact knows how old the last answer of the store about a kind of object is.
type StoreContact interface {
	Age() time.Duration
	Lost() bool
}

// SetContacts sets where the cache asks how old its configuration and its
// registrations are.
func (c *Cache) SetContacts(table, endpoints StoreContact) {
	c.tableContact, c.endpointContact = table, endpoints
}

// RecordTable notes a configuration and the revision that it is true for.
func (c *Cache) RecordTable(table *routing.Table, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision < c.tableRevision {
		return
	}
	if table != nil && (c.table == nil || table.Version > c.table.Version) {
		c.table = table
	}
	if revision != c.tableRevision {
		c.tableRevision = revision
		c.wake()
	}
}

// RecordList notes the complete list of registrations.
func (c *Cache) RecordList(list storesync.EndpointList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if list.Revision < c.revision {
		return
	}
	clear(c.endpoints)
	for _, endpoint := range list.Endpoints {
		c.endpoints[endpoint.ID] = endpoint
	}
	c.log = nil
	c.logFrom, c.revision = list.Revision, list.Revision
	c.wake()
}

// RecordChanges notes changes of registrations.
func (c *Cache) RecordChanges(changes storesync.EndpointChanges) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if changes.Revision <= c.revision {
		return
	}
	for _, event := range changes.Events {
		c.record(event, changes.Revision)
	}
	c.revision = changes.Revision
	if len(c.log) > maxLog {
		c.logFrom = c.log[len(c.log)-maxLog-1].revision
		c.log = slices.Clone(c.log[len(c.log)-maxLog:])
	}
	c.wake()
}

func (c *Cache) record(event registry.Event, revision uint64) {
	switch e := event.(type) {
	case registry.EndpointsListed:
		clear(c.endpoints)
		for _, endpoint := range e.Endpoints {
			c.endpoints[endpoint.ID] = endpoint
		}
		c.log = nil
		c.logFrom = revision
		return
	case registry.EndpointChanged:
		c.endpoints[e.Endpoint.ID] = e.Endpoint
	case registry.EndpointRemoved:
		delete(c.endpoints, e.ID)
	}
	c.log = append(c.log, logged{revision: revision, event: event})
}

func (c *Cache) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// WatchTable serves the relay call.
func (c *Cache) WatchTable(ctx context.Context, r *peerpb.WatchRequest) (*peerpb.TableAnswer, error) {
	var answer *peerpb.TableAnswer
	err := c.wait(ctx, r, c.tableContact, func() bool { return c.table != nil }, func() bool {
		answer = &peerpb.TableAnswer{Revision: c.tableRevision, AgeMs: ageMS(c.tableContact)}
		if c.table == nil || c.tableRevision <= r.GetAfter() {
			answer.Revision = r.GetAfter()
			return false
		}
		answer.Document = c.table.Document
		return true
	})
	return answer, err
}

// WatchEndpoints serves the relay call.
func (c *Cache) WatchEndpoints(ctx context.Context, r *peerpb.WatchRequest) (*peerpb.EndpointsAnswer, error) {
	var answer *peerpb.EndpointsAnswer
	err := c.wait(ctx, r, c.endpointContact, func() bool { return c.revision != 0 }, func() bool {
		answer = &peerpb.EndpointsAnswer{Revision: r.GetAfter(), AgeMs: ageMS(c.endpointContact)}
		if c.revision <= r.GetAfter() {
			return false
		}
		answer.Revision = c.revision
		if r.GetAfter() < c.logFrom {
			answer.Complete = true
			answer.Changes = c.all()
			return true
		}
		for _, entry := range c.log {
			if entry.revision > r.GetAfter() {
				answer.Changes = append(answer.Changes, encodeEvent(entry.event))
			}
		}
		return true
	})
	return answer, err
}

func (c *Cache) all() []*peerpb.EndpointChange {
	list := make([]*peerpb.EndpointChange, 0, len(c.endpoints))
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		list = append(list, encodeEvent(registry.EndpointChanged{Endpoint: c.endpoints[id]}))
	}
	return list
}

func ageMS(contact StoreContact) uint32 { return uint32(max(0, contact.Age().Milliseconds())) }

// wait calls look, under the lock, until it reports something newer or the
// caller's wait is over. An instance that has read nothing yet lets its callers
// wait for what it reads first, so that a whole failure domain that starts at
// once does not read the store by itself.
func (c *Cache) wait(ctx context.Context, r *peerpb.WatchRequest, contact StoreContact, known, look func() bool) error {
	until := time.NewTimer(min(longestWait, time.Duration(r.GetWaitMs())*time.Millisecond))
	defer until.Stop()
	check := time.NewTicker(lostCheck)
	defer check.Stop()
	for {
		c.mu.Lock()
		started, found, changed := known(), look(), c.changed
		c.mu.Unlock()
		if started && contact.Lost() && !r.GetAnyAge() {
			return errLost
		}
		if found {
			return nil
		}
		select {
		case <-changed:
		case <-check.C:
		case <-until.C:
			if !started && !r.GetAnyAge() {
				return errLost
			}
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

var errLost = twirp.NewError(twirp.Unavailable, "the store does not answer this instance")

func encodeEvent(event registry.Event) *peerpb.EndpointChange {
	switch e := event.(type) {
	case registry.EndpointChanged:
		return &peerpb.EndpointChange{Changed: encodeEndpoint(e.Endpoint)}
	case registry.EndpointRemoved:
		return &peerpb.EndpointChange{Gone: string(e.ID)}
	}
	return &peerpb.EndpointChange{}
}

func encodeEndpoint(e registry.Endpoint) *peerpb.RegisteredEndpoint {
	return &peerpb.RegisteredEndpoint{
		Id: string(e.ID), Incarnation: e.Incarnation, Service: e.Service, Address: e.Address,
		FailureDomain: string(e.Domain), Slots: uint32(e.Slots), Draining: e.Draining, ColdMs: uint32(e.ColdRemaining.Milliseconds()),
	}
}

func decodeEndpoint(e *peerpb.RegisteredEndpoint) registry.Endpoint {
	return registry.Endpoint{
		ID: api.EndpointID(e.GetId()), Incarnation: e.GetIncarnation(), Service: e.GetService(), Address: e.GetAddress(),
		Domain: api.FailureDomain(e.GetFailureDomain()), Slots: int(e.GetSlots()), Draining: e.GetDraining(),
		ColdRemaining: time.Duration(e.GetColdMs()) * time.Millisecond,
	}
}
