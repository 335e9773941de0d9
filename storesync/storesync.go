// Package storesync keeps the configuration and the registry of endpoints up to
// date from the platform's store, or through other instances while the store is
// unreachable.
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
	"github.com/hibiscusstair/hibiscusstair/internal/transfer"
	"github.com/hibiscusstair/hibiscusstair/internal/wait"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/routing"
)

const (
	// tableWatchWait is the maximum wait of one watch of the configuration. A
	// watch can miss changes while the store drops its history; the next watch
	// starts at the revision of the last change seen, so it reports the missed
	// changes or is refused with ErrCompacted. Two waits fit into the 2.5 s
	// within which a new version has to become active.
	tableWatchWait = time.Second
	// endpointWatchWait is the same for registrations.
	endpointWatchWait = 1200 * time.Millisecond
	// retryDelay is the delay after a failed call.
	retryDelay = 150 * time.Millisecond
	// startRetryDelay replaces retryDelay while there is no configuration to
	// serve requests with.
	startRetryDelay = 30 * time.Millisecond
	// emptyStoreDelay is the delay between reads while the store has no
	// configuration yet.
	emptyStoreDelay = 250 * time.Millisecond
	// watchBatchDelay is the delay after a read of registrations that brought
	// changes, so that registrations that change together cost one call.
	watchBatchDelay = 150 * time.Millisecond
	// defaultTableContactTimeout is the time without a response about the
	// configuration after which the contact counts as lost. A response through
	// another instance may be as old as the waits of two watches, and a version
	// has to become active within 2.5 s.
	defaultTableContactTimeout = 1800 * time.Millisecond
	// tableContactShare is the share of a longer time to activate a version that
	// becomes the timeout.
	tableContactShare = 0.72
	// ownReadShare is the part of the time to activate a version after which an instance
	// without a response reads the store itself, however many others it has yet to ask. The
	// rest is for that read.
	ownReadShare = 0.82
	// defaultActivation replaces a time to activate a version that is unknown.
	defaultActivation = 4 * time.Second
	// minWatchWait replaces the waits while contact is lost, so that the next response
	// shows contact at once. An instance that takes over from another one may have lost
	// it.
	minWatchWait = 50 * time.Millisecond
	// endpointContactTimeout is the same for registrations, whose watches wait
	// longer.
	endpointContactTimeout = 2400 * time.Millisecond
)

// ErrCompacted means that the store no longer has the changes since a revision.
var ErrCompacted = errors.New("the store has compacted the history since the revision")

// ErrRestored means that the store was restored from a copy since a revision, so that
// changes since then cannot be told from earlier ones.
var ErrRestored = errors.New("the store was restored since the revision")

// errEarlierEra means that a response is of an era before the known one.
var errEarlierEra = errors.New("the response is older than the restore of the store")

// TableRead is the result of a read of the configuration.
type TableRead struct {
	Table    *routing.Table // nil if there is none or it has not changed
	Revision Revision
	// Age is the time since the store responded; 0 if it was read directly.
	Age time.Duration
	// MayBeStale is true if the result may be older than the store's state.
	MayBeStale bool
	// ThroughHelper is true if it was read through an instance that may itself read
	// through this one.
	ThroughHelper bool
}

// EndpointList is the complete list of registrations. A registration is the
// entry of an endpoint in the store.
type EndpointList struct {
	Endpoints    []registry.Endpoint
	Revision     Revision
	DecodeErrors []error
	Age          time.Duration
	MayBeStale   bool
	// ThroughHelper is as in TableRead.
	ThroughHelper bool
}

// EndpointChanges are the changes of registrations after a revision.
type EndpointChanges struct {
	Events       []registry.Event
	Revision     Revision
	DecodeErrors []error
	Age          time.Duration
	// ThroughHelper is as in TableRead.
	ThroughHelper bool
}

// Recorder stores what was read, so that other instances can read it.
type Recorder interface {
	RecordTable(table *routing.Table, revision Revision)
	RecordList(list EndpointList)
	RecordChanges(changes EndpointChanges)
}

// Store is a client of the platform's store.
type Store interface {
	ReadTable(ctx context.Context) (TableRead, error)
	WatchTable(ctx context.Context, after Revision, wait time.Duration) (TableRead, error)
	ListEndpoints(ctx context.Context) (EndpointList, error)
	WatchEndpoints(ctx context.Context, after Revision, wait time.Duration) (EndpointChanges, error)
}

// Options configures a Follower.
type Options struct {
	Store    Store
	Table    *routing.CurrentTable
	Registry *registry.Registry
	Recorder Recorder
	// TableActivation is the time within which a new configuration has to become
	// active; 0 is unknown.
	TableActivation time.Duration
	// OnTable is called when a configuration becomes active; nil is none.
	OnTable func(*routing.Table)
	// OnRestore is called when the store was restored from a copy; nil is none.
	OnRestore func()
	Clock     bootclock.Func
	Log       *slog.Logger
	Scope     tally.Scope
}

func (o Options) tableContactTimeout() time.Duration {
	return max(defaultTableContactTimeout, time.Duration(float64(o.TableActivation)*tableContactShare))
}

// ownReadAge returns the age of the last response about the configuration from which on an
// instance reads the store itself.
func (o Options) ownReadAge() time.Duration {
	activation := o.TableActivation
	if activation == 0 {
		activation = defaultActivation
	}
	return time.Duration(float64(activation) * ownReadShare)
}

// Follower applies the store's changes to the configuration and the registry.
type Follower struct {
	o               Options
	tableContact    *StoreContact
	endpointContact *StoreContact
	hasCurrentList  atomic.Bool // an up-to-date list of the registrations has been read
	// synced is closed once there is a configuration and a list of endpoints.
	synced     chan struct{}
	syncedOnce sync.Once
	hasAnyList atomic.Bool // a list has been read, which may be stale
}

// New returns a follower whose contacts count as lost until the store's first
// response.
func New(o Options) *Follower {
	return &Follower{
		o:               o,
		tableContact:    newContact("configuration", o.Clock, o.tableContactTimeout(), o.ownReadAge()),
		endpointContact: newContact("registrations", o.Clock, endpointContactTimeout, max(endpointContactTimeout, o.ownReadAge())),
		synced:          make(chan struct{}),
	}
}

// TableContact returns the store contact about the configuration.
func (f *Follower) TableContact() *StoreContact { return f.tableContact }

// EndpointContact returns the store contact about registrations.
func (f *Follower) EndpointContact() *StoreContact { return f.endpointContact }

// Synced returns a channel that is closed once a configuration is active and a
// list of the registrations has been read, from the store or another instance.
func (f *Follower) Synced() <-chan struct{} { return f.synced }

// checkSynced closes the Synced channel if both have been read.
func (f *Follower) checkSynced() {
	if f.hasAnyList.Load() && f.o.Table.Load() != nil {
		f.syncedOnce.Do(func() { close(f.synced) })
	}
}

// HasCurrentList reports whether an up-to-date list of the registrations has
// been read.
func (f *Follower) HasCurrentList() bool { return f.hasCurrentList.Load() }

// FollowTable keeps the configuration up to date until the context ends.
func (f *Follower) FollowTable(ctx context.Context) error {
	revision := Revision{}
	for ctx.Err() == nil {
		read, err := f.readTable(ctx, revision)
		if err == nil && read.Revision.Era < revision.Era && !read.MayBeStale {
			err = errEarlierEra
		}
		switch {
		case historyLost(err):
			f.count("table_compacted")
			revision.Number = 0
			continue
		case err != nil:
			f.recordFailureAndWait(ctx, f.tableContact, err)
			continue
		}
		if read.Table != nil {
			f.applyTable(read.Table, "store", read.Revision)
		}
		if read.MayBeStale {
			// A stale configuration is used until the store responds, and is
			// read again.
			wait.For(ctx, retryDelay)
			continue
		}
		f.recordSuccess(f.tableContact, read.Age, read.ThroughHelper)
		f.o.Recorder.RecordTable(read.Table, read.Revision)
		f.logRestore(f.tableContact, revision, read.Revision)
		revision = read.Revision
		if revision.Number == 0 {
			wait.For(ctx, emptyStoreDelay)
		}
	}
	return ctx.Err()
}

// historyLost reports whether a watch cannot continue, so that everything has to be
// read again.
func historyLost(err error) bool { return errors.Is(err, ErrCompacted) || errors.Is(err, ErrRestored) }

// logRestore logs that the store was restored between two reads.
func (f *Follower) logRestore(contact *StoreContact, before, now Revision) {
	if before.Era == now.Era || before.Number == 0 && before.Era == 0 {
		return
	}
	f.count("store_restored")
	f.o.Log.Warn("store was restored", "reading", contact.kind, "revision", now.String(), "before", before.String())
}

func (f *Follower) readTable(ctx context.Context, revision Revision) (TableRead, error) {
	f.count("store_calls")
	// Contact is not lost while a document arrives from the store: other
	// instances wait for it and do not read it themselves.
	ctx = transfer.Observe(ctx, transfer.Observer{OnPart: f.tableContact.recordPart, OnEnd: f.tableContact.recordEnd})
	read, err := f.callStore(ctx, revision)
	transfer.End(ctx, err == nil || historyLost(err))
	return read, err
}

func (f *Follower) callStore(ctx context.Context, revision Revision) (TableRead, error) {
	if revision.Number == 0 {
		return f.o.Store.ReadTable(ctx)
	}
	return f.o.Store.WatchTable(ctx, revision, watchWait(f.tableContact, tableWatchWait))
}

// watchWait returns the wait of the next watch.
func watchWait(contact *StoreContact, longest time.Duration) time.Duration {
	if contact.Lost() {
		return minWatchWait
	}
	return longest
}

// ApplyPeerTable activates a configuration from another instance if it is
// newer.
func (f *Follower) ApplyPeerTable(table *routing.Table) { f.applyTable(table, "instance", Revision{}) }

func (f *Follower) applyTable(table *routing.Table, source string, revision Revision) {
	before := f.o.Table.Version()
	if !f.o.Table.Apply(table) {
		return
	}
	if f.o.OnTable != nil {
		f.o.OnTable(table)
	}
	f.checkSynced()
	f.o.Scope.Gauge("configuration_version").Update(float64(table.Version))
	f.o.Log.Info("configuration activated", "version", table.Version, "before", before,
		"routes", table.RouteCount(), "source", source, "revision", revision.String(), "store_age_ms", f.tableContact.Age().Milliseconds(),
		"bytes", len(table.Document), "decode_ms", table.DecodeTime.Milliseconds())
}

// FollowEndpoints keeps the registry up to date until the context ends.
func (f *Follower) FollowEndpoints(ctx context.Context) error {
	revision := Revision{}
	for ctx.Err() == nil {
		next, err := f.syncEndpoints(ctx, revision)
		switch {
		case historyLost(err):
			f.count("registrations_compacted")
			revision.Number = 0
			continue
		case err != nil:
			f.recordFailureAndWait(ctx, f.endpointContact, err)
			continue
		}
		if next != revision {
			f.logRestore(f.endpointContact, revision, next)
			revision = next
			wait.For(ctx, watchBatchDelay)
		}
	}
	return ctx.Err()
}

// syncEndpoints reads and applies the list of registrations, or their changes
// after the revision. It returns the revision to continue from; number 0 is to list
// again.
func (f *Follower) syncEndpoints(ctx context.Context, revision Revision) (Revision, error) {
	f.count("store_calls")
	if revision.Number == 0 {
		list, err := f.o.Store.ListEndpoints(ctx)
		if err == nil && list.Revision.Era < revision.Era && !list.MayBeStale {
			err = errEarlierEra
		}
		if err != nil {
			return revision, err
		}
		f.logDecodeErrors(list.DecodeErrors)
		if list.MayBeStale {
			f.o.Registry.Apply(registry.PeerListReceived{Endpoints: list.Endpoints})
			f.recordAnyList()
			wait.For(ctx, retryDelay)
			return revision, nil
		}
		f.recordSuccess(f.endpointContact, list.Age, list.ThroughHelper)
		f.o.Recorder.RecordList(list)
		f.applyRestore(revision, list.Revision)
		f.o.Registry.Apply(registry.EndpointsListed{Endpoints: list.Endpoints})
		f.hasCurrentList.Store(true)
		f.recordAnyList()
		return list.Revision, nil
	}
	changes, err := f.o.Store.WatchEndpoints(ctx, revision, watchWait(f.endpointContact, endpointWatchWait))
	if err == nil && changes.Revision.Era < revision.Era {
		err = errEarlierEra
	}
	if err != nil {
		return revision, err
	}
	f.logDecodeErrors(changes.DecodeErrors)
	f.recordSuccess(f.endpointContact, changes.Age, changes.ThroughHelper)
	f.o.Recorder.RecordChanges(changes)
	f.applyRestore(revision, changes.Revision)
	f.o.Registry.Apply(registry.StoreResponded{})
	for _, event := range changes.Events {
		f.o.Registry.Apply(event)
	}
	return changes.Revision, nil
}

// applyRestore tells the registry that the store was restored between two reads.
func (f *Follower) applyRestore(before, now Revision) {
	if before.Era != 0 && before.Era < now.Era {
		f.o.Registry.Apply(registry.StoreRestored{})
		if f.o.OnRestore != nil {
			f.o.OnRestore()
		}
	}
}

func (f *Follower) recordAnyList() {
	f.hasAnyList.Store(true)
	f.checkSynced()
}

func (f *Follower) logDecodeErrors(errors []error) {
	for _, err := range errors {
		f.count("registrations_unreadable")
		f.o.Log.Warn("unreadable registration skipped", "error", err)
	}
}

// recordSuccess records a response of the store, which another instance may
// have relayed.
func (f *Follower) recordSuccess(contact *StoreContact, age time.Duration, throughHelper bool) {
	before := contact.Age()
	contact.recordResponse(age)
	contact.throughHelper.Store(throughHelper)
	if !contact.Lost() && contact.lossLogged.CompareAndSwap(true, false) {
		f.o.Log.Info("store contact restored", "reading", contact.kind, "age_ms", age.Milliseconds(), "age_before_ms", before.Milliseconds())
	}
}

// recordFailureAndWait records a failed call and waits before the next one.
func (f *Follower) recordFailureAndWait(ctx context.Context, contact *StoreContact, err error) {
	if ctx.Err() != nil {
		return
	}
	f.count("store_errors")
	if contact.Lost() && contact.lossLogged.CompareAndSwap(false, true) {
		f.o.Log.Warn("store contact lost", "reading", contact.kind, "error", err, "age_ms", contact.Age().Milliseconds())
	}
	if f.o.Table.Load() == nil {
		wait.For(ctx, startRetryDelay)
		return
	}
	wait.For(ctx, retryDelay)
}

func (f *Follower) count(name string) { f.o.Scope.Counter(name).Inc(1) }
