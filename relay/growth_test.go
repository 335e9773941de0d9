package relay_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/internal/transfer"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/relay"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/storesync"
)

const (
	slowLink   = 10e6 / 8  // bytes per second of a small instance's link
	fastLink   = 200e6 / 8 // bytes per second of a large instance's link
	regionLink = 60e6 / 8  // bytes per second between two regions
	// growthBound is the time within which a version has to be in force.
	growthBound = 4 * time.Second
	linkChunk   = 16 << 10 // bytes
)

// link carries bytes in chunks, in the order in which they arrive.
type link struct {
	mu          sync.Mutex
	bytesPerSec float64
	freeAt      time.Time
}

func (l *link) reserve(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerSec * float64(time.Second)))
	return l.freeAt
}

// send sends n bytes over the links until the context ends.
func send(ctx context.Context, n int, links ...*link) error {
	for ; n > 0; n -= linkChunk {
		end := time.Now()
		for _, l := range links {
			if at := l.reserve(min(n, linkChunk)); at.After(end) {
				end = at
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(end)):
			transfer.Progress(ctx)
		}
	}
	return nil
}

// growingStore is a store in another region that serves one configuration.
type growingStore struct {
	mu       sync.Mutex
	table    *routing.Table
	revision uint64
	changed  chan struct{}
	region   *link
	calls    atomic.Int32 // including watches
	reads    atomic.Int32 // documents requested
	complete atomic.Int32 // documents sent completely
}

func (s *growingStore) put(table *routing.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = table
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *growingStore) state() (*routing.Table, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table, s.revision, s.changed
}

// storeReader reads the store over the links of one instance.
type storeReader struct {
	storesync.Store
	store *growingStore
	own   *link
}

func (r storeReader) ReadTable(ctx context.Context) (storesync.TableRead, error) {
	return r.read(ctx)
}

func (r storeReader) WatchTable(ctx context.Context, after storesync.Revision, wait time.Duration) (storesync.TableRead, error) {
	if _, revision, changed := r.store.state(); revision <= after.Number {
		select {
		case <-changed:
		case <-ctx.Done():
			return storesync.TableRead{}, ctx.Err()
		case <-time.After(wait):
			return storesync.TableRead{Revision: after}, nil
		}
	}
	return r.read(ctx)
}

// read transfers the document with the timeouts of the platform's client.
func (r storeReader) read(ctx context.Context) (storesync.TableRead, error) {
	ctx, cancel := transfer.WithBounds(ctx, transfer.Bounds{FirstByte: 500 * time.Millisecond, Stall: 500 * time.Millisecond, Total: 4 * time.Second})
	defer cancel()
	table, revision, _ := r.store.state()
	r.store.reads.Add(1)
	err := send(ctx, len(table.Document), r.store.region, r.own)
	if err == nil {
		r.store.complete.Add(1)
	}
	return storesync.TableRead{Table: table, Revision: at(revision)}, err
}

// linkedRelay serves the cache of an instance over its link and the caller's.
type linkedRelay struct {
	peerpb.Relay
	from, to *growingNode
}

func (r linkedRelay) WatchTable(ctx context.Context, request *peerpb.WatchRequest) (*peerpb.TableAnswer, error) {
	r.from.calls.Add(1)
	response, err := r.Relay.WatchTable(ctx, request)
	if r.from.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	return response, send(ctx, len(response.Document)+len(response.GzipDocument), r.from.link, r.to.link)
}

// growingNode is one instance that follows the configuration.
type growingNode struct {
	member api.Member
	link   *link
	cache  *relay.Cache
	table  *routing.CurrentTable
	cut    *storeCut
	silent atomic.Bool  // calls to it get no response
	calls  atomic.Int32 // received from other instances
	// joined is closed when the instance knows the others; nil is from its start.
	joined chan struct{}
}

// knownMembers returns the members that the instance knows.
func (n *growingNode) knownMembers(all []api.Member) []api.Member {
	if n.joined == nil {
		return all
	}
	select {
	case <-n.joined:
		return all
	default:
		return []api.Member{n.member}
	}
}

// growingFleet are instances of one region, which is not the store's.
type growingFleet struct {
	store      *growingStore
	nodes      []*growingNode
	members    []api.Member
	firstStart bool          // the fleet starts for the first time
	activation time.Duration // within which a configuration has to be in force
}

// newGrowingFleet returns a fleet in which the first instances of each failure
// domain in the order of leaders have slow links and the others fast ones.
func newGrowingFleet(domains, slow, fast int) *growingFleet {
	f := &growingFleet{store: &growingStore{changed: make(chan struct{}), region: &link{bytesPerSec: regionLink}}}
	f.store.put(growingTable(1, 100))
	for d := range domains {
		var ids []api.InstanceID
		for i := range slow + fast {
			ids = append(ids, api.InstanceID(fmt.Sprintf("front-%d-%d", d, i)))
		}
		for rank, id := range peer.Rank("read", ids) {
			n := &growingNode{
				link: &link{bytesPerSec: slowLink}, cut: newStoreCut(),
				cache: relay.NewCache(tally.NoopScope), table: &routing.CurrentTable{},
			}
			if rank >= slow {
				n.link.bytesPerSec = fastLink
			}
			n.member = api.Member{
				LinkMbps: uint32(n.link.bytesPerSec * 8 / 1e6),
				ID:       id, Address: string(id), State: api.MemberAlive, Place: api.Place{FailureDomain: api.FailureDomain(fmt.Sprint(d))},
			}
			f.nodes = append(f.nodes, n)
			f.members = append(f.members, n.member)
		}
	}
	return f
}

// growingTable returns a configuration of about 210 bytes a route, of which a
// tenth is left after compression.
func growingTable(version uint64, routes int) *routing.Table {
	t := table(version)
	random := rand.New(rand.NewPCG(version, 1))
	common := strings.Repeat(`"field":"value",`, 10)
	for range routes {
		t.Document = fmt.Appendf(t.Document, `{"name":"route-%x","prefix":"/%x/",%s}`, random.Uint64()>>16, random.Uint32(), common)
	}
	return t
}

func (f *growingFleet) client(caller *growingNode) func(address string) peerpb.Relay {
	return func(address string) peerpb.Relay {
		i := slices.IndexFunc(f.nodes, func(n *growingNode) bool { return n.member.Address == address })
		return linkedRelay{f.nodes[i].cache, f.nodes[i], caller}
	}
}

// follow runs the followers of the configuration of all instances.
func (f *growingFleet) follow(ctx context.Context) {
	began := time.Now()
	clock := func() time.Duration { return time.Hour + time.Since(began) }
	var followers []*storesync.Follower
	for _, n := range f.nodes {
		var follower *storesync.Follower
		source := relay.NewSource(relay.SourceOptions{
			Self: n.member, DirectStore: cuttableStore{storeReader{store: f.store, own: n.link}, n.cut, &f.store.calls},
			Members: func() []api.Member { return n.knownMembers(f.members) }, MembersKnown: n.joined, FirstStart: f.firstStart, RegionReaders: f.activation > 0, TableActivation: f.activation,
			RelayClient: f.client(n), DecodeTable: decode, UntilTableRead: func() time.Duration { return follower.TableContact().UntilOwnRead() }, AcceptStale: func() bool { return n.table.Load() == nil },
			Clock: clock, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		})
		follower = storesync.New(storesync.Options{
			Store: source, Table: n.table, Recorder: n.cache, TableActivation: f.activation, Clock: clock, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		})
		n.cache.SetContacts(follower.TableContact(), follower.EndpointContact())
		followers = append(followers, follower)
	}
	for _, follower := range followers {
		go func() { _ = follower.FollowTable(ctx) }()
	}
}

// followUntilSettled runs the followers and returns when all have read the configuration.
func (f *growingFleet) followUntilSettled(ctx context.Context) {
	f.follow(ctx)
	time.Sleep(5 * time.Second)
}

// timeUntil returns the time until a version is in force at all instances, at most
// growthBound.
func (f *growingFleet) timeUntil(version uint64) time.Duration {
	const step = 10 * time.Millisecond
	elapsed := time.Duration(0)
	for ; f.late(version) > 0 && elapsed < growthBound; elapsed += step {
		time.Sleep(step)
	}
	return elapsed
}

func (f *growingFleet) late(version uint64) int {
	late := 0
	for _, n := range f.nodes {
		if !n.silent.Load() && n.table.Version() < version {
			late++
		}
	}
	return late
}

// Guards against a configuration that comes late because all instances of a
// failure domain read it from the store at once when their leader's link is full.
func TestGrowthReachesAllInstancesInTime(t *testing.T) {
	for _, routes := range []int{2800, 5600} {
		for _, fast := range []int{0, 2} {
			t.Run(fmt.Sprintf("%d routes, %d fast links", routes, fast), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					f := newGrowingFleet(3, 12-fast, fast)
					f.followUntilSettled(ctx)
					if late := f.late(1); late > 0 {
						t.Fatalf("%d instances have no configuration", late)
					}
					for version := uint64(2); version <= 3; version++ {
						f.store.reads.Store(0)
						f.store.put(growingTable(version, routes))
						time.Sleep(growthBound)
						t.Logf("version %d: %d late, %d reads of the store", version, f.late(version), f.store.reads.Load())
						if late := f.late(version); late > 0 {
							t.Errorf("version %d is not in force at %d instances", version, late)
						}
						if reads := f.store.reads.Load(); reads > 3*2 {
							t.Errorf("version %d was read %d times from the store", version, reads)
						}
					}
				})
			})
		}
	}
}

// Guards against a leader whose own link delays the requests of its callers and the
// configuration of all others, although other instances have faster links.
func TestGrowthPassesOverFastLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newGrowingFleet(3, 10, 2)
		f.followUntilSettled(ctx)
		f.store.put(growingTable(2, 5600))
		elapsed := f.timeUntil(2)
		t.Logf("in force after %v", elapsed)
		if elapsed > time.Second {
			t.Errorf("in force after %v, although two instances of each failure domain have fast links", elapsed)
		}
	})
}

// Guards against all instances of a failure domain reading the store at once when
// their leader is silent.
func TestSilentLeaderIsReplacedByOneReader(t *testing.T) {
	for _, silent := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d silent", silent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newGrowingFleet(3, 12, 0)
				f.followUntilSettled(ctx)
				for i, n := range f.nodes {
					n.silent.Store(i%12 < silent)
				}
				f.store.reads.Store(0)
				f.store.put(growingTable(2, 2800))
				time.Sleep(growthBound)
				t.Logf("%d late, %d reads of the store", f.late(2), f.store.reads.Load())
				if late := f.late(2); late > 0 {
					t.Errorf("the configuration is not in force at %d instances", late)
				}
				// Silent instances still read the store themselves.
				if reads := int(f.store.reads.Load()); reads > 3*(silent+2) {
					t.Errorf("the configuration was read %d times from the store", reads)
				}
			})
		})
	}
}

// Guards against a reader whose calls grow with its failure domain, and against one read
// of the store for each failure domain of a region. Each instance of a failure domain of
// 56 sends two to four calls a second.
func TestLargeFailureDomainsReadThroughATree(t *testing.T) {
	for _, silent := range []int{0, 2} {
		t.Run(fmt.Sprintf("%d silent", silent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newGrowingFleet(3, 53, 3)
				f.activation = growthBound
				f.followUntilSettled(ctx)
				for i, n := range f.nodes {
					// The fast ones lead, and are the last of their failure domain here.
					n.silent.Store(i%56 >= 53 && i%56 < 53+silent)
					n.calls.Store(0)
				}
				f.store.complete.Store(0)
				const length = 10 * time.Second
				// One reader of a failure domain serves 110 calls a second.
				const maxServedCalls = 60
				time.Sleep(length)
				busiest := 0.0
				for _, n := range f.nodes {
					busiest = max(busiest, float64(n.calls.Load())/length.Seconds())
				}
				f.store.put(growingTable(2, 200))
				elapsed := f.timeUntil(2)
				t.Logf("busiest %.1f calls a second, in force after %v", busiest, elapsed)
				if elapsed >= growthBound {
					t.Errorf("not in force after %v", elapsed)
				}
				if silent == 0 && busiest > maxServedCalls {
					t.Errorf("an instance serves %.1f calls a second, want at most %d", busiest, maxServedCalls)
				}
			})
		})
	}
}
