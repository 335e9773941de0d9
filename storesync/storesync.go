// Package storesync keeps the configuration and the registry of endpoints up
// to date from the platform's store, and from other instances while the store
// does not answer.
package storesync

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/routing"
)

const (
	// tableWait is how long one watch of the configuration waits. A watch can
	// miss changes while the store drops its history; the next one starts at the
	// revision of the last change seen and so reports them or is refused. Two
	// waits fit into the 2.5 s within which a version has to be in force.
	tableWait = time.Second
	// endpointWait is the same for registrations.
	endpointWait = 1200 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 150 * time.Millisecond
	// startPause is the same while there is no configuration to serve with.
	startPause = 30 * time.Millisecond
	// absentPause is the pause while the store has no configuration yet.
	absentPause = 250 * time.Millisecond
	// gatherPause is the pause between two watches of registrations, so that
	// registrations that change together cost one call.
	gatherPause = 150 * time.Millisecond
	// tableLost is the time without an answer about the configuration after which
	// it counts as lost. An answer through another instance may be as old as the
	// waits of two watches, and a version has to be in force after 2.5 s.
	tableLost = 1800 * time.Millisecond
	// endpointsLost is the same for registrations, whose watches wait longer.
	endpointsLost = 2400 * time.Millisecond
)

// ErrCompacted says that the store no longer has the changes since a revision.
var ErrCompacted = errors.New("the history since the revision is gone")

// TableRead is an answer about the configuration.
type TableRead struct {
	Table    *routing.Table // nil if there is none or it has not changed
	Revision uint64
	// Age is the time since the store answered; it is 0 for a direct answer.
	Age time.Duration
	// MayBeStale says that the answer may be older than what the store has.
	MayBeStale bool
}

// EndpointList is the complete list of registrations.
type EndpointList struct {
	Endpoints    []registry.Endpoint
	Revision     uint64
	DecodeErrors []error
	Age          time.Duration
	MayBeStale   bool
}

// EndpointChanges are the changes of registrations after a revision.
type EndpointChanges struct {
	Events       []registry.Event
	Revision     uint64
	DecodeErrors []error
	Age          time.Duration
}

// Recorder keeps what was read for other instances.
type Recorder interface {
	RecordTable(table *routing.Table, revision uint64)
	RecordList(list EndpointList)
	RecordChanges(changes EndpointChanges)
}

// Store is the client of the platform's store.
type Store interface {
	ReadTable(ctx context.Context) (TableRead, error)
	WatchTable(ctx context.Context, after uint64, wait time.Duration) (TableRead, error)
	ListEndpoints(ctx context.Context) (EndpointList, error)
	WatchEndpoints(ctx context.Context, after uint64, wait time.Duration) (EndpointChanges, error)
}

// Options configures a Follower.
type Options struct {
	Store    Store
	Table    *routing.CurrentTable
	Registry *registry.Registry
	Recorder Recorder
	Clock    bootclock.Func
	Log      *slog.Logger
	Scope    tally.Scope
}

// Follower follows the store.
type Follower struct {
	o         Options
	table     *StoreContact
	endpoints *StoreContact
	listed    atomic.Bool
	// known is closed once there is a configuration and a list of endpoints.
	known     chan struct{}
	knownOnce sync.Once
	hasList   atomic.Bool
}

// New returns a follower that has not yet reached the store, which counts as
// lost until then.
func New(o Options) *Follower {
	return &Follower{
		o:         o,
		table:     newContact("configuration", o.Clock, tableLost),
		endpoints: newContact("registrations", o.Clock, endpointsLost),
		known:     make(chan struct{}),
	}
}

// TableContact returns the contact with the store about the configuration.
func (f *Follower) TableContact() *StoreContact { return f.table }

// EndpointContact returns the contact with the store about registrations.
func (f *Follower) EndpointContact() *StoreContact { return f.endpoints }

// Synced is closed once a configuration is in force and a list of the
// registrations has been read, from wherever.
func (f *Follower) Synced() <-chan struct{} { return f.known }

// noteKnown closes the channel of Known if both have been read.
func (f *Follower) noteKnown() {
	if f.hasList.Load() && f.o.Table.Load() != nil {
		f.knownOnce.Do(func() { close(f.known) })
	}
}

// HasListedEndpoints reports whether the registrations have been read from the store.
func (f *Follower) HasListedEndpoints() bool { return f.listed.Load() }

// FollowTable keeps the configuration up to date until the context ends.
func (f *Follower) FollowTable(ctx context.Context) error {
	revision := uint64(0)
	for ctx.Err() == nil {
		read, err := f.readTable(ctx, revision)
		switch {
		case errors.Is(err, ErrCompacted):
			f.count("table_compacted")
			revision = 0
			continue
		case err != nil:
			f.failed(ctx, f.table, err)
			continue
		}
		if read.Table != nil {
			f.apply(read.Table, "store")
		}
		if read.MayBeStale {
			// It serves until the store answers, and is read again.
			pause(ctx, retryPause)
			continue
		}
		f.succeeded(f.table, read.Age)
		f.o.Recorder.RecordTable(read.Table, read.Revision)
		revision = read.Revision
		if revision == 0 {
			pause(ctx, absentPause)
		}
	}
	return ctx.Err()
}

func (f *Follower) readTable(ctx context.Context, revision uint64) (TableRead, error) {
	f.count("store_calls")
	if revision == 0 {
		return f.o.Store.ReadTable(ctx)
	}
	return f.o.Store.WatchTable(ctx, revision, tableWait)
}

// ApplyPeerTable puts a configuration from another instance into force if it is newer.
func (f *Follower) ApplyPeerTable(table *routing.Table) { f.apply(table, "instance") }

func (f *Follower) apply(table *routing.Table, source string) {
	before := f.o.Table.Version()
	if !f.o.Table.Apply(table) {
		return
	}
	f.noteKnown()
	f.o.Scope.Gauge("configuration_version").Update(float64(table.Version))
	f.o.Log.Info("configuration in force", "version", table.Version, "before", before,
		"routes", table.RouteCount(), "source", source, "store_age_ms", f.table.Age().Milliseconds())
}

// FollowEndpoints keeps the registry up to date until the context ends.
func (f *Follower) FollowEndpoints(ctx context.Context) error {
	revision := uint64(0)
	for ctx.Err() == nil {
		next, err := f.readEndpoints(ctx, revision)
		switch {
		case errors.Is(err, ErrCompacted):
			f.count("registrations_compacted")
			revision = 0
			continue
		case err != nil:
			f.failed(ctx, f.endpoints, err)
			continue
		}
		if next != revision {
			revision = next
			pause(ctx, gatherPause)
		}
	}
	return ctx.Err()
}

func (f *Follower) readEndpoints(ctx context.Context, revision uint64) (uint64, error) {
	f.count("store_calls")
	if revision == 0 {
		list, err := f.o.Store.ListEndpoints(ctx)
		if err != nil {
			return 0, err
		}
		f.unreadable(list.DecodeErrors)
		if list.MayBeStale {
			f.o.Registry.Apply(registry.PeerListReceived{Endpoints: list.Endpoints})
			f.noteList()
			pause(ctx, retryPause)
			return 0, nil
		}
		f.succeeded(f.endpoints, list.Age)
		f.o.Recorder.RecordList(list)
		f.o.Registry.Apply(registry.EndpointsListed{Endpoints: list.Endpoints})
		f.listed.Store(true)
		f.noteList()
		return list.Revision, nil
	}
	changes, err := f.o.Store.WatchEndpoints(ctx, revision, endpointWait)
	if err != nil {
		return 0, err
	}
	f.unreadable(changes.DecodeErrors)
	f.succeeded(f.endpoints, changes.Age)
	f.o.Recorder.RecordChanges(changes)
	f.o.Registry.Apply(registry.StoreResponded{})
	for _, event := range changes.Events {
		f.o.Registry.Apply(event)
	}
	return changes.Revision, nil
}

func (f *Follower) noteList() {
	f.hasList.Store(true)
	f.noteKnown()
}

func (f *Follower) unreadable(errors []error) {
	for _, err := range errors {
		f.count("registrations_unreadable")
		f.o.Log.Warn("registration skipped", "error", err)
	}
}

// succeeded notes an answer of the store, which others may have passed on.
func (f *Follower) succeeded(contact *StoreContact, age time.Duration) {
	contact.answer(age)
	if !contact.Lost() && contact.noted.CompareAndSwap(true, false) {
		f.o.Log.Info("store regained", "reading", contact.kind)
	}
}

func (f *Follower) failed(ctx context.Context, contact *StoreContact, err error) {
	if ctx.Err() != nil {
		return
	}
	f.count("store_errors")
	if contact.Lost() && contact.noted.CompareAndSwap(false, true) {
		f.o.Log.Warn("store lost", "reading", contact.kind, "error", err, "age_ms", contact.Age().Milliseconds())
	}
	if f.o.Table.Load() == nil {
		pause(ctx, startPause)
		return
	}
	pause(ctx, retryPause)
}

func (f *Follower) count(name string) { f.o.Scope.Counter(name).Inc(1) }

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
