package relay_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/relay"
	"github.com/hibiscusstair/hibiscusstair/storesync"
)

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
