package relay_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/relay"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/storesync"
)

// at returns a revision of a store that names no era.
func at(number uint64) storesync.Revision { return storesync.Revision{Number: number} }

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

var errDown = errors.New("the store is down")

// fakeStore returns fixed values, or fails.
type fakeStore struct {
	down  atomic.Bool
	calls atomic.Int32
	wait  time.Duration // of the last watch
}

func (s *fakeStore) result() error {
	s.calls.Add(1)
	if s.down.Load() {
		return errDown
	}
	return nil
}

func (s *fakeStore) ReadTable(context.Context) (storesync.TableRead, error) {
	return storesync.TableRead{Table: table(9), Revision: at(50)}, s.result()
}

func (s *fakeStore) WatchTable(_ context.Context, after storesync.Revision, wait time.Duration) (storesync.TableRead, error) {
	s.wait = wait
	return storesync.TableRead{Revision: after}, s.result()
}

func (s *fakeStore) ListEndpoints(context.Context) (storesync.EndpointList, error) {
	return storesync.EndpointList{Endpoints: []registry.Endpoint{endpoint("direct")}, Revision: at(50)}, s.result()
}

func (s *fakeStore) WatchEndpoints(_ context.Context, after storesync.Revision, wait time.Duration) (storesync.EndpointChanges, error) {
	s.wait = wait
	return storesync.EndpointChanges{Revision: after}, s.result()
}

func table(version uint64) *routing.Table {
	t := routing.New(version, nil, nil, nil, routing.Limits{})
	t.Document = []byte{byte(version)}
	return t
}

// largeTable returns a configuration whose document is as long as one of 2,000
// routes.
func largeTable(version uint64) *routing.Table {
	t := table(version)
	t.Document = append(t.Document, bytes.Repeat([]byte(`{"name":"r","service":"s"},`), 16<<10)...)
	return t
}

// uncompressedRelay is an instance that knows nothing of compressed documents.
type uncompressedRelay struct{ peerpb.Relay }

func (r uncompressedRelay) WatchTable(ctx context.Context, request *peerpb.WatchRequest) (*peerpb.TableAnswer, error) {
	return r.Relay.WatchTable(ctx, &peerpb.WatchRequest{After: request.After, WaitMs: request.WaitMs, AnyAge: request.AnyAge})
}

// gzipRelay returns a fixed compressed document.
type gzipRelay struct {
	peerpb.Relay
	data []byte
}

func (r gzipRelay) WatchTable(context.Context, *peerpb.WatchRequest) (*peerpb.TableAnswer, error) {
	return &peerpb.TableAnswer{Revision: 20, GzipDocument: r.data}, nil
}

func gzipped(document []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(document)
	Expect(w.Close()).To(Succeed())
	return out.Bytes()
}

func decode(document []byte) (*routing.Table, error) { return table(uint64(document[0])), nil }

func endpoint(id string) registry.Endpoint {
	return registry.Endpoint{
		ID: api.EndpointID(id), Incarnation: 7, Service: "s", Address: "10.0.0.1:1", Domain: "d", Slots: 4,
		Draining: true, ColdRemaining: time.Second,
	}
}

// peerNode is another instance with its cache.
type peerNode struct {
	cache            *relay.Cache
	tableContactLost atomic.Bool // contact about the configuration
	age              time.Duration
	member           api.Member

	endpointContactLost atomic.Bool
	throughHelper       atomic.Bool
}

// fakeContact is the store contact of a node about one kind of object.
type fakeContact struct {
	n    *peerNode
	lost *atomic.Bool
}

func (c fakeContact) Age() time.Duration  { return c.n.age }
func (c fakeContact) Lost() bool          { return c.lost.Load() }
func (c fakeContact) ThroughHelper() bool { return c.n.throughHelper.Load() }

func newNode(name, domain string) *peerNode {
	n := &peerNode{cache: relay.NewCache(tally.NoopScope)}
	n.cache.SetContacts(fakeContact{n, &n.tableContactLost}, fakeContact{n, &n.endpointContactLost})
	server := httptest.NewServer(peerpb.NewRelayServer(n.cache))
	DeferCleanup(server.Close)
	n.member = api.Member{
		ID: api.InstanceID(name), Address: server.Listener.Addr().String(), State: api.MemberAlive,
		Place: api.Place{FailureDomain: api.FailureDomain(domain)},
	}
	return n
}

func client(address string) peerpb.Relay {
	return peerpb.NewRelayProtobufClient("http://"+address, &http.Client{})
}

var _ = Describe("Cache", func() {
	ctx := context.Background()
	var n *peerNode

	BeforeEach(func() {
		n = newNode("n", "d")
		n.cache.RecordTable(table(3), at(10))
		n.cache.RecordList(storesync.EndpointList{Endpoints: []registry.Endpoint{endpoint("a"), endpoint("b")}, Revision: at(10)})
	})

	It("returns only data newer than the caller's revision", func() {
		response, err := n.cache.WatchTable(ctx, &peerpb.WatchRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Document).To(Equal([]byte{3}))
		Expect(response.Revision).To(BeEquivalentTo(10))
		response, err = n.cache.WatchTable(ctx, &peerpb.WatchRequest{After: 10})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Document).To(BeEmpty())
		Expect(response.Revision).To(BeEquivalentTo(10))
	})

	It("responds to a waiting caller when a change is recorded", func() {
		go func() {
			time.Sleep(20 * time.Millisecond)
			n.cache.RecordChanges(storesync.EndpointChanges{Revision: at(12), Events: []registry.Event{registry.EndpointRemoved{ID: "a"}}})
		}()
		began := time.Now()
		response, err := n.cache.WatchEndpoints(ctx, &peerpb.WatchRequest{After: 10, WaitMs: 1000})
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(response.Complete).To(BeFalse())
		Expect(response.Changes).To(HaveLen(1))
		Expect(response.Changes[0].Gone).To(Equal("a"))
	})

	// Guards against a caller that misses changes which the log no longer has.
	It("sends the complete list to a caller whose revision precedes the log", func() {
		n.cache.RecordChanges(storesync.EndpointChanges{Revision: at(12), Events: []registry.Event{registry.EndpointRemoved{ID: "a"}}})
		response, err := n.cache.WatchEndpoints(ctx, &peerpb.WatchRequest{After: 4})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Complete).To(BeTrue())
		Expect(response.Changes).To(HaveLen(1))
		Expect(response.Changes[0].Changed.Id).To(Equal("b"))
	})

	// Guards against instances that trust each other's data while none of them
	// reaches the store.
	It("fails while store contact is lost, unless the caller accepts any age", func() {
		n.tableContactLost.Store(true)
		_, err := n.cache.WatchTable(ctx, &peerpb.WatchRequest{})
		Expect(err).To(HaveOccurred())
		_, err = n.cache.WatchTable(ctx, &peerpb.WatchRequest{AnyAge: true})
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against an outdated configuration that counts as current because
	// the registrations are.
	It("checks the store contact of the configuration and of the registrations separately", func() {
		n.tableContactLost.Store(true)
		_, err := n.cache.WatchEndpoints(ctx, &peerpb.WatchRequest{})
		Expect(err).NotTo(HaveOccurred())
		n.tableContactLost.Store(false)
		n.endpointContactLost.Store(true)
		_, err = n.cache.WatchTable(ctx, &peerpb.WatchRequest{})
		Expect(err).NotTo(HaveOccurred())
		_, err = n.cache.WatchEndpoints(ctx, &peerpb.WatchRequest{})
		Expect(err).To(HaveOccurred())
	})

	// Guards against instances that pass each other's data on in a circle.
	It("is not read through while it reads through a helper", func() {
		n.throughHelper.Store(true)
		began := time.Now()
		_, err := n.cache.WatchTable(ctx, &peerpb.WatchRequest{After: 10, WaitMs: 1000})
		Expect(err).To(HaveOccurred())
		_, err = n.cache.WatchEndpoints(ctx, &peerpb.WatchRequest{After: 10, WaitMs: 1000})
		Expect(err).To(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		_, err = n.cache.WatchTable(ctx, &peerpb.WatchRequest{AnyAge: true})
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a caller that waits for an instance which cannot read.
	It("ends a wait when store contact is lost", func() {
		time.AfterFunc(50*time.Millisecond, func() { n.tableContactLost.Store(true) })
		_, err := n.cache.WatchTable(ctx, &peerpb.WatchRequest{After: 10, WaitMs: 1000})
		Expect(err).To(HaveOccurred())
	})

	// Guards against all instances reading the store at once when a leader is lost:
	// its successor is asked before it has read the store.
	It("lets callers wait for an instance that is about to regain contact", func() {
		n.tableContactLost.Store(true)
		time.AfterFunc(50*time.Millisecond, func() {
			n.tableContactLost.Store(false)
			n.cache.RecordTable(table(4), at(12))
		})
		response, err := n.cache.WatchTable(ctx, &peerpb.WatchRequest{After: 10, WaitMs: 500})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Document).To(Equal([]byte{4}))
	})

	// All instances of a large fleet start at once. Guards against each of them
	// reading complete lists over the narrow link between regions, where all
	// the calls would then time out.
	It("lets callers wait for its first read", func() {
		starting := newNode("s", "d")
		starting.tableContactLost.Store(true)
		starting.endpointContactLost.Store(true)
		time.AfterFunc(50*time.Millisecond, func() {
			starting.tableContactLost.Store(false)
			starting.cache.RecordTable(table(3), at(10))
		})
		response, err := starting.cache.WatchTable(ctx, &peerpb.WatchRequest{WaitMs: 1000})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Document).To(Equal([]byte{3}))
		_, err = starting.cache.WatchEndpoints(ctx, &peerpb.WatchRequest{WaitMs: 50})
		Expect(err).To(HaveOccurred())
	})

	// Guards against going back to an older version or revision.
	It("keeps the newest recorded configuration", func() {
		n.cache.RecordTable(table(2), at(11))
		n.cache.RecordTable(table(1), at(5))
		response, _ := n.cache.WatchTable(ctx, &peerpb.WatchRequest{})
		Expect(response.Document).To(Equal([]byte{3}))
		Expect(response.Revision).To(BeEquivalentTo(11))
	})

	// Guards against callers that wait for a revision of a store that was restored from a copy.
	It("passes on what it read at a lower revision of a later era", func() {
		restored := storesync.Revision{Era: 2, Number: 4}
		n.cache.RecordTable(table(5), restored)
		n.cache.RecordList(storesync.EndpointList{Endpoints: []registry.Endpoint{endpoint("c")}, Revision: restored})
		tableRead, err := n.cache.WatchTable(ctx, &peerpb.WatchRequest{After: 10, AfterEra: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(tableRead.Document).To(Equal([]byte{5}))
		Expect([]uint64{tableRead.Era, tableRead.Revision}).To(Equal([]uint64{2, 4}))
		endpoints, err := n.cache.WatchEndpoints(ctx, &peerpb.WatchRequest{After: 10, AfterEra: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(endpoints.Complete).To(BeTrue())
		Expect(endpoints.Changes).To(HaveLen(1))
		Expect([]uint64{endpoints.Era, endpoints.Revision}).To(Equal([]uint64{2, 4}))
	})

	It("keeps what it read when a response of the earlier era arrives late", func() {
		n.cache.RecordTable(table(5), storesync.Revision{Era: 2, Number: 4})
		n.cache.RecordList(storesync.EndpointList{Endpoints: []registry.Endpoint{endpoint("c")}, Revision: storesync.Revision{Era: 2, Number: 4}})
		n.cache.RecordTable(table(4), storesync.Revision{Era: 1, Number: 30})
		n.cache.RecordList(storesync.EndpointList{Revision: storesync.Revision{Era: 1, Number: 30}})
		n.cache.RecordChanges(storesync.EndpointChanges{Revision: storesync.Revision{Era: 1, Number: 31}, Events: []registry.Event{registry.EndpointRemoved{ID: "c"}}})
		response, err := n.cache.WatchEndpoints(ctx, &peerpb.WatchRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Changes).To(HaveLen(1))
		Expect([]uint64{response.Era, response.Revision}).To(Equal([]uint64{2, 4}))
	})

	// Guards against a link of 10 Mbit/s that is filled for seconds by the same
	// large configuration for each instance of a failure domain.
	It("compresses a large configuration once for all callers that accept it", func() {
		scope := tally.NewTestScope("", nil)
		cache := relay.NewCache(scope)
		cache.SetContacts(fakeContact{n, &n.tableContactLost}, fakeContact{n, &n.endpointContactLost})
		large := largeTable(4)
		cache.RecordTable(large, at(11))
		for range 3 {
			response, err := cache.WatchTable(ctx, &peerpb.WatchRequest{AcceptsGzip: true})
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Document).To(BeEmpty())
			Expect(len(response.GzipDocument)).To(BeNumerically("<", len(large.Document)/10))
			reader, err := gzip.NewReader(bytes.NewReader(response.GzipDocument))
			Expect(err).NotTo(HaveOccurred())
			Expect(io.ReadAll(reader)).To(Equal(large.Document))
		}
		Expect(scope.Snapshot().Counters()["documents_compressed+"].Value()).To(BeEquivalentTo(1))
		cache.RecordTable(largeTable(5), at(12))
		response, err := cache.WatchTable(ctx, &peerpb.WatchRequest{AcceptsGzip: true, After: 11})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.GzipDocument).NotTo(BeEmpty())
		Expect(scope.Snapshot().Counters()["documents_compressed+"].Value()).To(BeEquivalentTo(2))
	})

	// Guards against documents that an older instance cannot read.
	It("sends the document as it is to callers that do not accept compression", func() {
		large := largeTable(4)
		n.cache.RecordTable(large, at(11))
		response, err := n.cache.WatchTable(ctx, &peerpb.WatchRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.GzipDocument).To(BeEmpty())
		Expect(response.Document).To(Equal(large.Document))
	})
})

var _ = Describe("Source", func() {
	ctx := context.Background()
	var (
		direct      *fakeStore
		members     []api.Member
		acceptStale bool
		clockOffset atomic.Int64
		scope       tally.TestScope
	)

	newSource := func() *relay.Source {
		return relay.NewSource(relay.SourceOptions{
			Self:        api.Member{ID: "self", Address: "127.0.0.1:1", Place: api.Place{FailureDomain: "d"}},
			DirectStore: direct,
			Members:     func() []api.Member { return members },
			RelayClient: client, DecodeTable: decode, AcceptStale: func() bool { return acceptStale },
			Clock: func() time.Duration { return bootclock.Now() + time.Duration(clockOffset.Load()) },
			Log:   slog.New(slog.DiscardHandler), Scope: scope,
		})
	}

	// newLeader returns an instance that ranks before "self" in its failure
	// domain.
	newLeader := func() *peerNode {
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			n := newNode(name, "d")
			n.cache.RecordTable(table(4), at(20))
			n.cache.RecordList(storesync.EndpointList{Endpoints: []registry.Endpoint{endpoint("relayed")}, Revision: at(20)})
			members = []api.Member{n.member}
			if _, err := newSource().ReadTable(ctx); err == nil && direct.calls.Load() == 0 {
				return n
			}
			direct.calls.Store(0)
		}
		Fail("no name ranks before self")
		return nil
	}

	BeforeEach(func() {
		direct, members, acceptStale = &fakeStore{}, nil, false
		scope = tally.NewTestScope("", nil)
		clockOffset.Store(0)
	})

	It("reads the store directly while there is no other instance", func() {
		read, err := newSource().ReadTable(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Table.Version).To(BeEquivalentTo(9))
	})

	// Guards against each instance of a failure domain reading the store itself.
	It("reads through the highest-ranked instance of its failure domain", func() {
		n := newLeader()
		n.age = 300 * time.Millisecond
		source := newSource()
		read, err := source.ReadTable(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Table.Version).To(BeEquivalentTo(4))
		Expect(read.Age).To(Equal(n.age))
		Expect(read.ThroughHelper).To(BeFalse())
		list, err := source.ListEndpoints(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Endpoints).To(Equal([]registry.Endpoint{endpoint("relayed")}))
		Expect(direct.calls.Load()).To(BeZero())
	})

	It("receives a large configuration compressed", func() {
		n := newLeader()
		large := largeTable(6)
		n.cache.RecordTable(large, at(30))
		read, err := newSource().ReadTable(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Table.Version).To(BeEquivalentTo(6))
		Expect(direct.calls.Load()).To(BeZero())
		received := scope.Snapshot().Counters()["document_bytes_received+"].Value()
		Expect(received).To(BeNumerically(">", 0))
		Expect(received).To(BeNumerically("<", len(large.Document)/10))
	})

	// Guards against instances of two versions that cannot read through each other
	// while all are replaced.
	It("reads through an instance that does not compress", func() {
		n := newLeader()
		n.cache.RecordTable(largeTable(6), at(30))
		older := httptest.NewServer(peerpb.NewRelayServer(uncompressedRelay{n.cache}))
		DeferCleanup(older.Close)
		members[0].Address = older.Listener.Addr().String()
		read, err := newSource().ReadTable(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Table.Version).To(BeEquivalentTo(6))
		Expect(direct.calls.Load()).To(BeZero())
	})

	// Guards against a response that uses up the memory of its receiver, and against
	// a part of a document that counts as the whole.
	It("reads the store directly when the leader's document cannot be decompressed", func() {
		n := newLeader()
		whole := gzipped(largeTable(6).Document)
		for _, data := range [][]byte{[]byte("{}"), whole[:len(whole)/2], gzipped(append([]byte{6}, make([]byte, 8<<20)...))} {
			broken := httptest.NewServer(peerpb.NewRelayServer(gzipRelay{n.cache, data}))
			DeferCleanup(broken.Close)
			members[0].Address = broken.Listener.Addr().String()
			read, err := newSource().ReadTable(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(read.Table.Version).To(BeEquivalentTo(9))
		}
	})

	// Guards against an instance that relies on a leader which cannot reach the
	// store.
	It("reads the store directly when the leader has lost store contact", func() {
		n := newLeader()
		n.tableContactLost.Store(true)
		read, err := newSource().ReadTable(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Table.Version).To(BeEquivalentTo(9))
	})

	// Guards against a silent store that is found only after a long wait, by one reader
	// after the other.
	It("waits briefly in its first watch of the store after it read through another", func() {
		n := newLeader()
		source := newSource()
		_, err := source.WatchTable(ctx, at(20), time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		_, err = source.WatchEndpoints(ctx, at(20), time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		n.tableContactLost.Store(true)
		n.endpointContactLost.Store(true)
		for _, watch := range []func() error{
			func() error { _, err := source.WatchTable(ctx, at(20), time.Second); return err },
			func() error { _, err := source.WatchEndpoints(ctx, at(20), time.Second); return err },
		} {
			Expect(watch()).To(Succeed())
			Expect(direct.wait).To(BeNumerically("<=", 100*time.Millisecond))
			Expect(watch()).To(Succeed())
			Expect(direct.wait).To(Equal(time.Second))
		}
	})

	// Guards against an instance that is cut off because only it cannot reach the
	// store.
	It("reads through an instance of another failure domain when the store is unreachable", func() {
		n := newNode("far", "other")
		n.cache.RecordTable(table(5), at(30))
		members = []api.Member{n.member}
		direct.down.Store(true)
		source := newSource()
		read, err := source.ReadTable(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Table.Version).To(BeEquivalentTo(5))
		Expect(read.MayBeStale).To(BeFalse())
		Expect(read.ThroughHelper).To(BeTrue())
		// The store is in backoff and not asked again.
		_, err = source.ReadTable(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(direct.calls.Load()).To(BeEquivalentTo(1))
	})

	// Guards against asking instances that may have lost the store together with this one.
	It("asks instances of other failure domains before those of its own", func() {
		own, far := newNode("zz", "d"), newNode("far", "other")
		far.cache.RecordTable(table(5), at(30))
		own.cache.RecordTable(table(4), at(20))
		direct.down.Store(true)
		// Peers are chosen at random, so the read is repeated.
		for range 10 {
			// A leaving instance is no leader.
			members = []api.Member{far.member, {ID: own.member.ID, Address: own.member.Address, Place: own.member.Place, State: api.MemberLeaving}}
			read, err := newSource().ReadTable(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(read.Table.Version).To(BeEquivalentTo(5))
		}
	})

	// Guards against replacing data by older data, and against an instance that
	// cannot serve although another one could give it data.
	It("accepts stale data only while it has none", func() {
		n := newNode("far", "other")
		n.cache.RecordTable(table(5), at(30))
		n.tableContactLost.Store(true)
		members = []api.Member{n.member}
		direct.down.Store(true)
		_, err := newSource().ReadTable(ctx)
		Expect(err).To(MatchError(errDown))
		acceptStale = true
		read, err := newSource().ReadTable(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(read.MayBeStale).To(BeTrue())
	})
})
