// Package relay shares what instances read from the store. They read through each
// other along a tree, so that one of a failure domain or region reads for all of them,
// and an instance that cannot reach the store still gets the configuration and
// registrations from others.
package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/storesync"
)

const (
	// maxLogEntries is the number of changes kept for instances that read
	// through this one.
	maxLogEntries = 2048
	// maxWatchWait bounds the wait of a watch call.
	maxWatchWait = time.Second
	// contactCheckInterval is how often a waiting call checks whether store
	// contact was lost.
	contactCheckInterval = 200 * time.Millisecond
	// maxContactChecks is the number of checks during which a caller waits for an
	// instance that had lost contact before the call. When the leader is lost, its
	// successor is asked before it has read the store.
	maxContactChecks = 2
)

// Cache holds what this instance last read from the store and serves it to
// other instances. It is safe for concurrent use.
type Cache struct {
	scope           tally.Scope
	tableContact    StoreContact
	endpointContact StoreContact

	mu                sync.Mutex
	table             *routing.Table
	compressed        *compressedDocument // of table
	tableRevision     storesync.Revision
	endpoints         map[api.EndpointID]registry.Endpoint
	endpointsRevision storesync.Revision
	changeLog         []logEntry
	changeLogStart    storesync.Revision // changeLog has all changes after this revision
	changed           chan struct{}      // closed and replaced when something is recorded
}

// logEntry is a change with the revision of the response that contained it.
type logEntry struct {
	revision storesync.Revision
	event    registry.Event
}

var (
	_ peerpb.Relay       = (*Cache)(nil)
	_ storesync.Recorder = (*Cache)(nil)
)

// NewCache returns an empty cache. What it sends is counted in the scope.
func NewCache(scope tally.Scope) *Cache {
	return &Cache{scope: scope, endpoints: make(map[api.EndpointID]registry.Endpoint), changed: make(chan struct{})}
}

// StoreContact is the state of contact with the store about one kind of object.
type StoreContact interface {
	Age() time.Duration
	Lost() bool
	// ThroughHelper reports whether the last response came through an instance that may
	// itself read through this one. It is not passed on.
	ThroughHelper() bool
}

// SetContacts sets the store contacts that give the age of the configuration
// and of the registrations. It has to be called before the cache serves calls.
func (c *Cache) SetContacts(table, endpoints StoreContact) {
	c.tableContact, c.endpointContact = table, endpoints
}

// RecordTable stores a configuration and the revision at which it was current.
func (c *Cache) RecordTable(table *routing.Table, revision storesync.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision.Before(c.tableRevision) {
		return
	}
	if table != nil && (c.table == nil || table.Version > c.table.Version) {
		c.table = table
		c.compressed = &compressedDocument{document: table.Document, scope: c.scope}
	}
	if revision != c.tableRevision {
		c.tableRevision = revision
		c.notifyWaiters()
	}
}

// RecordList stores the complete list of registrations.
func (c *Cache) RecordList(list storesync.EndpointList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if list.Revision.Before(c.endpointsRevision) {
		return
	}
	clear(c.endpoints)
	for _, endpoint := range list.Endpoints {
		c.endpoints[endpoint.ID] = endpoint
	}
	c.changeLog = nil
	c.changeLogStart, c.endpointsRevision = list.Revision, list.Revision
	c.notifyWaiters()
}

// RecordChanges stores changes of registrations.
func (c *Cache) RecordChanges(changes storesync.EndpointChanges) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.endpointsRevision.Before(changes.Revision) {
		return
	}
	for _, event := range changes.Events {
		c.recordEvent(event, changes.Revision)
	}
	c.endpointsRevision = changes.Revision
	if len(c.changeLog) > maxLogEntries {
		c.changeLogStart = c.changeLog[len(c.changeLog)-maxLogEntries-1].revision
		c.changeLog = slices.Clone(c.changeLog[len(c.changeLog)-maxLogEntries:])
	}
	c.notifyWaiters()
}

func (c *Cache) recordEvent(event registry.Event, revision storesync.Revision) {
	switch e := event.(type) {
	case registry.EndpointsListed:
		clear(c.endpoints)
		for _, endpoint := range e.Endpoints {
			c.endpoints[endpoint.ID] = endpoint
		}
		c.changeLog = nil
		c.changeLogStart = revision
		return
	case registry.EndpointChanged:
		c.endpoints[e.Endpoint.ID] = e.Endpoint
	case registry.EndpointRemoved:
		delete(c.endpoints, e.ID)
	}
	c.changeLog = append(c.changeLog, logEntry{revision: revision, event: event})
}

func (c *Cache) notifyWaiters() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// WatchTable implements peerpb.Relay. It waits for a configuration newer than
// the caller's revision and returns it, or a response without a document if the
// wait ends first. It fails while store contact is lost, unless the caller
// accepts any age.
func (c *Cache) WatchTable(ctx context.Context, r *peerpb.WatchRequest) (*peerpb.TableAnswer, error) {
	var response *peerpb.TableAnswer
	var compressed *compressedDocument
	err := c.wait(ctx, r, c.tableContact, func() bool { return c.table != nil }, func() bool {
		response = &peerpb.TableAnswer{Revision: r.GetAfter(), Era: r.GetAfterEra(), AgeMs: ageMS(c.tableContact)}
		if c.table == nil || !requestedAfter(r).Before(c.tableRevision) {
			return false
		}
		response.Revision, response.Era = c.tableRevision.Number, c.tableRevision.Era
		response.Document, compressed = c.table.Document, c.compressed
		return true
	})
	if err != nil || len(response.GetDocument()) == 0 {
		return response, err
	}
	if r.GetAcceptsGzip() {
		if data := compressed.bytes(); data != nil {
			response.Document, response.GzipDocument = nil, data
		}
	}
	c.scope.Counter("documents_sent").Inc(1)
	c.scope.Counter("document_bytes_sent").Inc(int64(len(response.GetDocument()) + len(response.GetGzipDocument())))
	return response, nil
}

// WatchEndpoints implements peerpb.Relay. It waits for changes of registrations
// after the caller's revision, as WatchTable does.
func (c *Cache) WatchEndpoints(ctx context.Context, r *peerpb.WatchRequest) (*peerpb.EndpointsAnswer, error) {
	var response *peerpb.EndpointsAnswer
	err := c.wait(ctx, r, c.endpointContact, func() bool { return c.endpointsRevision.Number != 0 }, func() bool {
		after := requestedAfter(r)
		response = &peerpb.EndpointsAnswer{Revision: r.GetAfter(), Era: r.GetAfterEra(), AgeMs: ageMS(c.endpointContact)}
		if !after.Before(c.endpointsRevision) {
			return false
		}
		response.Revision, response.Era = c.endpointsRevision.Number, c.endpointsRevision.Era
		if after.Before(c.changeLogStart) {
			response.Complete = true
			response.Changes = c.allEndpoints()
			return true
		}
		for _, entry := range c.changeLog {
			if after.Before(entry.revision) {
				response.Changes = append(response.Changes, encodeEvent(entry.event))
			}
		}
		return true
	})
	return response, err
}

func requestedAfter(r *peerpb.WatchRequest) storesync.Revision {
	return storesync.Revision{Era: r.GetAfterEra(), Number: r.GetAfter()}
}

func (c *Cache) allEndpoints() []*peerpb.EndpointChange {
	list := make([]*peerpb.EndpointChange, 0, len(c.endpoints))
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		list = append(list, encodeEvent(registry.EndpointChanged{Endpoint: c.endpoints[id]}))
	}
	return list
}

// ageMS returns the age of a contact, rounded up: a response must not be taken for younger
// than it is.
func ageMS(contact StoreContact) uint32 {
	return uint32(max(0, (contact.Age() + time.Millisecond - 1).Milliseconds()))
}

// wait calls poll with the lock held until it reports a newer revision or the
// caller's wait is over; both give nil. It returns errContactLost if store contact
// is lost meanwhile, or if it was lost before and is not restored within
// maxContactChecks, errThroughHelper if this instance reads through a helper, and
// errNotRead if there is still nothing to return, unless the caller accepts any age.
// hasData, called with the lock held too, reports whether this instance has read from
// the store. Until then its callers wait for its first read, so that a whole failure
// domain that starts at once does not read the store individually.
func (c *Cache) wait(ctx context.Context, r *peerpb.WatchRequest, contact StoreContact, hasData, poll func() bool) error {
	until := time.NewTimer(min(maxWatchWait, time.Duration(r.GetWaitMs())*time.Millisecond))
	defer until.Stop()
	check := time.NewTicker(contactCheckInterval)
	defer check.Stop()
	checksLeft := 0
	if contact.Lost() {
		checksLeft = maxContactChecks
	}
	expired := false
	for {
		c.mu.Lock()
		ready, found, changed := hasData(), poll(), c.changed
		c.mu.Unlock()
		lost := ready && contact.Lost() && !r.GetAnyAge()
		switch {
		case ready && contact.ThroughHelper() && !r.GetAnyAge():
			return errThroughHelper
		case lost && (checksLeft == 0 || expired):
			return errContactLost
		case found && !lost:
			return nil
		case expired && !ready && !r.GetAnyAge():
			return errNotRead
		case expired:
			return nil
		case !lost:
			checksLeft = 0
		}
		select {
		case <-changed:
		case <-check.C:
			checksLeft = max(0, checksLeft-1)
		case <-until.C:
			// The response has the age at the end of the wait.
			expired = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// errNotRead means that this instance has not read from the store since its start.
var errNotRead = twirp.NewError(twirp.FailedPrecondition, "the instance has not read the store yet")

// errThroughHelper means that this instance does not reach the store, and reads through an
// instance that may have its data from the caller.
var errThroughHelper = twirp.NewError(twirp.Unavailable, "the instance reads the store through a helper")

var errContactLost = twirp.NewError(twirp.Unavailable, "the store does not answer this instance")

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
		Version: e.Version,
	}
}

func decodeEndpoint(e *peerpb.RegisteredEndpoint) registry.Endpoint {
	return registry.Endpoint{
		ID: api.EndpointID(e.GetId()), Incarnation: e.GetIncarnation(), Service: e.GetService(), Address: e.GetAddress(),
		Domain: api.FailureDomain(e.GetFailureDomain()), Slots: int(e.GetSlots()), Draining: e.GetDraining(),
		ColdRemaining: time.Duration(e.GetColdMs()) * time.Millisecond,
		Version:       e.GetVersion(),
	}
}
