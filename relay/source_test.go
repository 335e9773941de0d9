package relay_test

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/relay"
	"github.com/hibiscusstair/hibiscusstair/storesync"
)

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
			RelayClient: client, DecodeTable: decode, UntilTableRead: inContact, UntilEndpointsRead: inContact,
			AcceptStale: func() bool { return acceptStale },
			Clock:       func() time.Duration { return bootclock.Now() + time.Duration(clockOffset.Load()) },
			Log:         slog.New(slog.DiscardHandler), Scope: scope,
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
