package relay

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/internal/backoff"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/storesync"
)

const (
	// peerBackoff is how long an instance is not asked after a failed read
	// through it.
	peerBackoff = 2 * time.Second
	// refusalBackoff replaces it for an instance that has lost the store itself, which
	// responds at once and may regain it.
	refusalBackoff = 750 * time.Millisecond
	// maxLeadersAsked is the number of instances that one read tries as its parent in
	// the tree of readers. A silent one takes up to 0.8 s.
	maxLeadersAsked = 3
	// maxPeersAsked is the number of other instances that one read tries while
	// the store is unreachable.
	maxPeersAsked = 2
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
	// AcceptStale reports whether data of any age is accepted from other
	// instances, which is the case until this instance has a configuration and
	// a list of registrations.
	AcceptStale func() bool
	// RegionReaders lets one instance of a large region read for all its failure
	// domains, if a configuration may take effect some seconds after it was written.
	RegionReaders bool
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
	direct        directBackoff
	mu            sync.Mutex
	leaderAddress string
}

var _ storesync.Store = (*Source)(nil)

// NewSource returns a source without failures.
func NewSource(o SourceOptions) *Source {
	return &Source{
		o: o, tree: readerTree{regionReaders: o.RegionReaders}, backoff: backoff.NewSet(o.Clock),
		tablePath: pathRecord{kind: "configuration"}, endpointPath: pathRecord{kind: "registrations"},
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

// readFunc reads a store.
type readFunc[T any] func(ctx context.Context, store storesync.Store) (T, error)

// readStore tries the leader, the store and other instances in this order until
// one responds. While the store is in backoff, other instances are tried before
// it, and the store only if directBackoff allows it.
func readStore[T any](ctx context.Context, s *Source, path *pathRecord, call readFunc[T]) (T, error) {
	s.awaitMembers(ctx)
	if response, err := readThroughLeaders(ctx, s, call); err == nil || isAnswer(err) {
		path.record(s.o.Log, pathLeader, nil)
		return response, err
	}
	preferPeers := s.direct.preferPeers(s.o.Clock())
	if preferPeers {
		if response, err := readThroughPeers(ctx, s, call); err == nil {
			path.record(s.o.Log, pathHelper, nil)
			return response, nil
		}
	}
	if !s.direct.allow(s.o.Clock(), s.readsForOthers() || s.o.AcceptStale()) {
		var response T
		path.record(s.o.Log, pathNone, errStoreBackoff)
		return response, errStoreBackoff
	}
	s.o.Scope.Counter("read_directly").Inc(1)
	response, err := readDirectly(ctx, s, path.current(), call)
	if errors.Is(err, errLeaderFound) {
		return readStore(ctx, s, path, call)
	}
	if err == nil || isAnswer(err) {
		path.record(s.o.Log, pathStore, nil)
		s.direct.recordResponse()
		return response, err
	}
	s.direct.recordFailure(s.o.Clock())
	if response, peerErr := readThroughPeers(ctx, s, call); peerErr == nil {
		path.record(s.o.Log, pathHelper, err)
		return response, nil
	}
	path.record(s.o.Log, pathNone, err)
	return response, err
}

// readThroughLeaders reads the store through the parent in the tree of readers. An
// instance that does not respond loses its place to the next one, which reads for the
// others instead.
func readThroughLeaders[T any](ctx context.Context, s *Source, call readFunc[T]) (T, error) {
	var response T
	err := errNoPeer
	for asked := 0; asked < maxLeadersAsked; {
		leader := s.leader()
		if leader == "" {
			return response, errNoPeer
		}
		response, err = call(ctx, s.storeAt(leader))
		if err == nil || isAnswer(err) {
			s.o.Scope.Counter("read_through_leader").Inc(1)
			return response, err
		}
		if isNotRead(err) && s.firstReadMayCome() {
			s.o.Scope.Counter("waits_for_first_read").Inc(1)
			continue
		}
		s.recordPeerFailure(leader, err)
		asked++
	}
	return response, err
}

// readThroughPeers reads the store through other instances, up to
// maxPeersAsked.
func readThroughPeers[T any](ctx context.Context, s *Source, call readFunc[T]) (T, error) {
	var response T
	err := errNoPeer
	for _, address := range s.selectPeers() {
		helper := s.storeAt(address)
		helper.helper, helper.acceptStale = true, s.o.AcceptStale()
		response, err = call(ctx, helper)
		if err == nil {
			s.o.Scope.Counter("read_through_helper").Inc(1)
			return response, nil
		}
		s.recordPeerFailure(address, err)
	}
	return response, err
}

// isRefusal reports whether an instance has responded that it does not reach the store.
func isRefusal(err error) bool {
	var code twirp.Error
	return errors.As(err, &code) && code.Code() == errThroughHelper.Code()
}

// isNotRead reports whether an instance has not read the store since its start.
func isNotRead(err error) bool {
	var code twirp.Error
	return errors.As(err, &code) && code.Code() == errNotRead.Code()
}

// isAnswer reports whether an error is what the store says of the requested revision.
func isAnswer(err error) bool {
	return errors.Is(err, storesync.ErrCompacted) || errors.Is(err, storesync.ErrRestored)
}

var errNoPeer = errors.New("no other instance to read the store through")

func (s *Source) storeAt(address string) *peerStore {
	wait := peerWatchWait
	if s.position().serves {
		wait = servingWatchWait
	}
	return &peerStore{relay: s.o.RelayClient(address), decode: s.o.DecodeTable, maxWait: wait, clock: s.o.Clock, scope: s.o.Scope}
}

// leader returns the address of the instance that this one reads through, or "" if it
// reads the store itself.
func (s *Source) leader() string {
	p := s.position()
	s.recordLeader(p.parent)
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

// recordLeader records the leader's address and logs a change; "" is this
// instance.
func (s *Source) recordLeader(leader string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if leader != s.leaderAddress {
		s.o.Log.Info("leader for store reads changed", "address", leader, "before", s.leaderAddress)
		s.leaderAddress = leader
	}
}

// selectPeers returns the addresses of up to maxPeersAsked other instances in
// random order. Instances of the same failure domain are chosen only if there are no
// others: they may have lost the store together.
func (s *Source) selectPeers() []string {
	var addresses, own []string
	for _, m := range s.o.Members() {
		if m.ID == s.o.Self.ID || !m.State.Reachable() || s.backoff.Contains(m.Address) {
			continue
		}
		if m.FailureDomain == s.o.Self.FailureDomain {
			own = append(own, m.Address)
			continue
		}
		addresses = append(addresses, m.Address)
	}
	if len(addresses) == 0 {
		addresses = own
	}
	if len(addresses) == 0 && s.o.SeedAddresses != nil {
		for _, seed := range s.o.SeedAddresses() {
			if seed != s.o.Self.Address && !s.backoff.Contains(seed) {
				addresses = append(addresses, seed)
			}
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(maxPeersAsked, len(addresses))]
}

// recordPeerFailure starts the backoff of an instance, so that there is at most
// one line for each instance and peerBackoff.
func (s *Source) recordPeerFailure(address string, err error) {
	s.o.Log.Info("store read through another instance failed", "address", address, "error", err)
	backoff := peerBackoff
	if isRefusal(err) {
		backoff = refusalBackoff
	}
	s.backoff.Start(address, backoff)
	s.o.Scope.Counter("relay_errors").Inc(1)
}
