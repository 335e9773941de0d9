package relay

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/internal/backoff"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/storesync"
)

// SourceOptions configures a Source.
type SourceOptions struct {
	Self        api.Member
	DirectStore storesync.Store
	// Members returns the known instances.
	Members func() []api.Member
	// MembersKnown is closed when another instance has sent its member table; nil is
	// closed.
	MembersKnown <-chan struct{}
	// SeedAddresses returns the addresses of instances to ask before any member is
	// known; nil is none.
	SeedAddresses func() []string
	RelayClient   func(address string) peerpb.Relay
	DecodeTable   func(document []byte) (*routing.Table, error)
	// UntilTableRead and UntilEndpointsRead return the time after which this instance reads
	// the configuration and registrations itself if no other one has responded.
	UntilTableRead, UntilEndpointsRead func() time.Duration
	// AcceptStale reports whether data of any age is accepted from other
	// instances, which is the case until this instance has a configuration and
	// a list of registrations.
	AcceptStale func() bool
	// RegionReaders lets one instance of a large region read for all its failure
	// domains, if a configuration may take effect some seconds after it was written.
	RegionReaders bool
	// TableActivation is the time within which a new configuration has to become active;
	// 0 is unknown.
	TableActivation time.Duration
	// FirstStart says that the whole fleet starts for the first time, so that no caller
	// waits yet.
	FirstStart bool
	Clock      bootclock.Func
	Log        *slog.Logger
	Scope      tally.Scope
}

// Source reads the store along the cheapest path that works: through the
// instance that its place in the tree of readers says, directly, or through any
// other instance.
type Source struct {
	o             SourceOptions
	tree          readerTree
	backoff       *backoff.Set // of other instances, by address
	startOnce     sync.Once
	startedAt     time.Duration // first read
	tablePath     pathRecord
	endpointPath  pathRecord
	direct        *directBackoff
	mu            sync.Mutex
	parentAddress string
}

var _ storesync.Store = (*Source)(nil)

// NewSource returns a source without failures.
func NewSource(o SourceOptions) *Source {
	return &Source{
		o: o, tree: readerTree{regionReaders: o.RegionReaders}, backoff: backoff.NewSet(o.Clock),
		direct:       newDirectBackoff(o.TableActivation),
		tablePath:    pathRecord{kind: "configuration", untilOwnRead: o.UntilTableRead},
		endpointPath: pathRecord{kind: "registrations", untilOwnRead: o.UntilEndpointsRead},
	}
}

// ReadTable returns the newest configuration.
func (s *Source) ReadTable(ctx context.Context) (storesync.TableRead, error) {
	return readStore(ctx, s, &s.tablePath, func(ctx context.Context, store storesync.Store) (storesync.TableRead, error) {
		return store.ReadTable(ctx)
	})
}

// WatchTable waits for a newer configuration.
func (s *Source) WatchTable(ctx context.Context, after storesync.Revision, wait time.Duration) (storesync.TableRead, error) {
	return readStore(ctx, s, &s.tablePath, func(ctx context.Context, store storesync.Store) (storesync.TableRead, error) {
		return store.WatchTable(ctx, after, wait)
	})
}

// ListEndpoints returns all registrations.
func (s *Source) ListEndpoints(ctx context.Context) (storesync.EndpointList, error) {
	return readStore(ctx, s, &s.endpointPath, func(ctx context.Context, store storesync.Store) (storesync.EndpointList, error) {
		return store.ListEndpoints(ctx)
	})
}

// WatchEndpoints waits for changes of registrations.
func (s *Source) WatchEndpoints(ctx context.Context, after storesync.Revision, wait time.Duration) (storesync.EndpointChanges, error) {
	return readStore(ctx, s, &s.endpointPath, func(ctx context.Context, store storesync.Store) (storesync.EndpointChanges, error) {
		return store.WatchEndpoints(ctx, after, wait)
	})
}

func (s *Source) storeAt(address string) *peerStore {
	wait := peerWatchWait
	if s.position().serves {
		wait = servingWatchWait
	}
	return &peerStore{relay: s.o.RelayClient(address), decode: s.o.DecodeTable, maxWait: wait, clock: s.o.Clock, scope: s.o.Scope}
}

// parent returns the address of the instance that this one reads through, or "" if it
// reads the store itself.
func (s *Source) parent() string {
	p := s.position()
	s.recordParent(p.parent)
	return p.parent
}

func (s *Source) position() position {
	members := s.o.Members()
	return s.tree.find(s.self(members), members, func(m api.Member) bool { return s.backoff.Contains(m.Address) })
}

// readsForOthers reports whether this instance reads the store itself while all others
// respond.
func (s *Source) readsForOthers() bool {
	members := s.o.Members()
	return s.tree.find(s.self(members), members, func(api.Member) bool { return false }).parent == ""
}

// self returns this instance's own entry of the member table, which follows the
// settings, or that of the options before there is one.
func (s *Source) self(members []api.Member) api.Member {
	for _, m := range members {
		if m.ID == s.o.Self.ID {
			return m
		}
	}
	return s.o.Self
}

// recordParent records the parent's address and logs a change; "" is the store.
func (s *Source) recordParent(parent string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if parent != s.parentAddress {
		s.o.Log.Info("parent for store reads changed", "address", parent, "before", s.parentAddress)
		s.parentAddress = parent
	}
}
