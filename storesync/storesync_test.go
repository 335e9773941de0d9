package storesync_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/storesync"
)

func TestStoreSync(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "storesync")
}

var errDown = errors.New("the store is down")

// fakeStore keeps a configuration and registrations with a history that can be
// dropped.
type fakeStore struct {
	mu        sync.Mutex
	revision  uint64
	table     *routing.Table
	tableAt   uint64
	endpoints map[string]registry.Endpoint
	events    []registry.Event
	eventsAt  []uint64
	oldest    uint64 // history before it is gone
	deaf      bool   // watches show nothing
	err       error
	tableErr  error // of calls about the configuration only
	old       bool
}

func (s *fakeStore) put(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.table, s.tableAt = routing.New(version, nil, nil, nil, routing.Limits{}), s.revision
}

func (s *fakeStore) event(e registry.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.events = append(s.events, e)
	s.eventsAt = append(s.eventsAt, s.revision)
}

func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeStore) ReadTable(context.Context) (storesync.TableRead, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storesync.TableRead{Table: s.table, Revision: s.revision, MayBeStale: s.old}, s.err
}

func (s *fakeStore) WatchTable(_ context.Context, after uint64, _ time.Duration) (storesync.TableRead, error) {
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.err != nil || s.tableErr != nil:
		return storesync.TableRead{}, errDown
	case after < s.oldest && !s.deaf:
		return storesync.TableRead{}, storesync.ErrCompacted
	case s.tableAt > after && !s.deaf:
		return storesync.TableRead{Table: s.table, Revision: s.revision}, nil
	}
	return storesync.TableRead{Revision: after}, nil
}

func (s *fakeStore) ListEndpoints(context.Context) (storesync.EndpointList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := storesync.EndpointList{Revision: s.revision, MayBeStale: s.old}
	for _, e := range s.endpoints {
		list.Endpoints = append(list.Endpoints, e)
	}
	return list, s.err
}

func (s *fakeStore) WatchEndpoints(_ context.Context, after uint64, _ time.Duration) (storesync.EndpointChanges, error) {
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.err != nil:
		return storesync.EndpointChanges{}, s.err
	case after < s.oldest && !s.deaf:
		return storesync.EndpointChanges{}, storesync.ErrCompacted
	}
	changes := storesync.EndpointChanges{Revision: after}
	for i, e := range s.events {
		if s.eventsAt[i] > after && !s.deaf {
			changes.Events = append(changes.Events, e)
			changes.Revision = s.eventsAt[i]
		}
	}
	return changes, nil
}

// noRecorder keeps nothing.
type noRecorder struct{}

func (noRecorder) RecordTable(*routing.Table, uint64)      {}
func (noRecorder) RecordList(storesync.EndpointList)       {}
func (noRecorder) RecordChanges(storesync.EndpointChanges) {}

func endpoint(id string) registry.Endpoint {
	return registry.Endpoint{ID: api.EndpointID(id), Incarnation: 1, Service: "s", Address: id + ":1", Slots: 1}
}

var _ = Describe("Follower", func() {
	var (
		store    *fakeStore
		current  *routing.CurrentTable
		entries  *registry.Registry
		follower *storesync.Follower
	)

	start := func() {
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { _ = follower.FollowTable(ctx) })
		group.Go(func() { _ = follower.FollowEndpoints(ctx) })
		DeferCleanup(func() { cancel(); group.Wait() })
	}

	BeforeEach(func() {
		store = &fakeStore{revision: 1, endpoints: map[string]registry.Endpoint{"a": endpoint("a")}}
		current = &routing.CurrentTable{}
		entries = registry.New(registry.Options{
			Clock: bootclock.Now, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, OnChange: func(registry.Change) {},
		})
		follower = storesync.New(storesync.Options{
			Store: store, Table: current, Registry: entries, Recorder: noRecorder{},
			Clock: bootclock.Now, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		})
	})

	It("follows the configuration and the registrations", func() {
		store.put(3)
		start()
		Eventually(current.Version).Should(BeEquivalentTo(3))
		Eventually(entries.Endpoints).Should(HaveLen(1))
		store.put(8)
		store.event(registry.EndpointChanged{Endpoint: endpoint("b")})
		Eventually(current.Version).Should(BeEquivalentTo(8))
		Eventually(entries.Endpoints).Should(HaveLen(2))
		Expect(follower.HasListedEndpoints()).To(BeTrue())
		Expect(follower.TableContact().Lost()).To(BeFalse())
	})

	It("waits for the first configuration", func() {
		start()
		Consistently(current.Version, "50ms").Should(BeZero())
		store.put(1)
		Eventually(current.Version).Should(BeEquivalentTo(1))
	})

	// Guards against requests that are placed while only the configuration, or
	// none of the endpoints, is known.
	It("says when both the configuration and the endpoints are known", func() {
		start()
		Eventually(entries.Endpoints).Should(HaveLen(1))
		Consistently(follower.Synced(), "30ms").ShouldNot(BeClosed())
		store.put(1)
		Eventually(follower.Synced()).Should(BeClosed())
		Expect(entries.Endpoints()).To(HaveLen(1))
		Expect(current.Version()).To(BeEquivalentTo(1))
	})

	// Guards against a version that stays unknown because the watch was deaf when
	// it came and its history is gone.
	It("learns what came while watches were deaf and the history was dropped", func() {
		store.put(3)
		start()
		Eventually(current.Version).Should(BeEquivalentTo(3))
		Eventually(entries.Endpoints).Should(HaveLen(1))
		store.set(func() { store.deaf = true })
		time.Sleep(30 * time.Millisecond)
		store.put(4)
		store.set(func() { store.endpoints["b"] = endpoint("b"); store.revision += 5; store.oldest = store.revision })
		time.Sleep(30 * time.Millisecond)
		store.set(func() { store.deaf = false })
		Eventually(current.Version).Should(BeEquivalentTo(4))
		Eventually(entries.Endpoints).Should(HaveLen(2))
	})

	It("counts the store as lost until its first answer and after a silence", func() {
		store.put(3)
		store.set(func() { store.err = errDown })
		Expect(follower.TableContact().Lost()).To(BeTrue())
		start()
		Consistently(follower.TableContact().Lost, "50ms").Should(BeTrue())
		store.set(func() { store.err = nil })
		Eventually(follower.TableContact().Lost).Should(BeFalse())
		// Either read ends the loss; the outage begins after both.
		Eventually(current.Version).Should(BeEquivalentTo(3))
		store.set(func() { store.err = errDown })
		Eventually(follower.TableContact().Lost, "3s").Should(BeTrue())
		Expect(current.Version()).To(BeEquivalentTo(3))
	})

	// Guards against an old configuration that counts as fresh because the store
	// answers about registrations.
	It("counts the configuration as lost by itself", func() {
		store.put(3)
		start()
		Eventually(follower.TableContact().Lost).Should(BeFalse())
		store.set(func() { store.tableErr = errDown })
		Eventually(follower.TableContact().Lost, "3s").Should(BeTrue())
		Expect(follower.EndpointContact().Lost()).To(BeFalse())
	})

	// Guards against an instance that serves with old values and believes that
	// they are new.
	It("serves with old values and goes on asking", func() {
		store.put(3)
		store.set(func() { store.old = true })
		start()
		Eventually(current.Version).Should(BeEquivalentTo(3))
		Eventually(entries.Endpoints).Should(HaveLen(1))
		Expect(follower.TableContact().Lost()).To(BeTrue())
		store.put(4)
		store.set(func() { store.old = false })
		Eventually(current.Version).Should(BeEquivalentTo(4))
		Eventually(follower.TableContact().Lost).Should(BeFalse())
	})
})
