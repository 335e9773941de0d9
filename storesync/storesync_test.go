package storesync_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
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

// fakeStore holds a configuration and registrations with a history that can be
// compacted.
type fakeStore struct {
	mu             sync.Mutex
	revision       uint64
	table          *routing.Table
	tableRevision  uint64
	endpoints      map[string]registry.Endpoint
	events         []registry.Event
	eventRevisions []uint64
	oldest         uint64 // earlier revisions are compacted
	watchesEmpty   bool   // watches miss all changes
	err            error
	tableErr       error // fails watches of the configuration only
	mayBeStale     bool
	era            uint64
}

// at returns a revision of the current era.
func (s *fakeStore) at(number uint64) storesync.Revision {
	return storesync.Revision{Era: s.era, Number: number}
}

func (s *fakeStore) putTable(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.table, s.tableRevision = routing.New(version, nil, nil, nil, routing.Limits{}), s.revision
}

func (s *fakeStore) appendEvent(e registry.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.events = append(s.events, e)
	s.eventRevisions = append(s.eventRevisions, s.revision)
}

func (s *fakeStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeStore) ReadTable(context.Context) (storesync.TableRead, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storesync.TableRead{Table: s.table, Revision: s.at(s.revision), MayBeStale: s.mayBeStale}, s.err
}

func (s *fakeStore) WatchTable(_ context.Context, after storesync.Revision, _ time.Duration) (storesync.TableRead, error) {
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.err != nil || s.tableErr != nil:
		return storesync.TableRead{}, errDown
	case after.Number < s.oldest && !s.watchesEmpty:
		return storesync.TableRead{}, storesync.ErrCompacted
	case after.Era < s.era:
		return storesync.TableRead{}, storesync.ErrRestored
	case s.tableRevision > after.Number && !s.watchesEmpty:
		return storesync.TableRead{Table: s.table, Revision: s.at(s.revision)}, nil
	}
	return storesync.TableRead{Revision: after}, nil
}

func (s *fakeStore) ListEndpoints(context.Context) (storesync.EndpointList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := storesync.EndpointList{Revision: s.at(s.revision), MayBeStale: s.mayBeStale}
	for _, e := range s.endpoints {
		list.Endpoints = append(list.Endpoints, e)
	}
	return list, s.err
}

func (s *fakeStore) WatchEndpoints(_ context.Context, after storesync.Revision, _ time.Duration) (storesync.EndpointChanges, error) {
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.err != nil:
		return storesync.EndpointChanges{}, s.err
	case after.Number < s.oldest && !s.watchesEmpty:
		return storesync.EndpointChanges{}, storesync.ErrCompacted
	case after.Era < s.era:
		return storesync.EndpointChanges{}, storesync.ErrRestored
	}
	changes := storesync.EndpointChanges{Revision: after}
	for i, e := range s.events {
		if s.eventRevisions[i] > after.Number && !s.watchesEmpty {
			changes.Events = append(changes.Events, e)
			changes.Revision = s.at(s.eventRevisions[i])
		}
	}
	return changes, nil
}

// discardRecorder records nothing.
type discardRecorder struct{}

func (discardRecorder) RecordTable(*routing.Table, storesync.Revision) {}
func (discardRecorder) RecordList(storesync.EndpointList)              {}
func (discardRecorder) RecordChanges(storesync.EndpointChanges)        {}

func endpoint(id string) registry.Endpoint {
	return registry.Endpoint{ID: api.EndpointID(id), Incarnation: 1, Service: "s", Address: id + ":1", Slots: 1}
}

var _ = Describe("Follower", func() {
	var (
		store    *fakeStore
		current  *routing.CurrentTable
		entries  *registry.Registry
		follower *storesync.Follower
		restores atomic.Int32
	)

	start := func() {
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { _ = follower.FollowTable(ctx) })
		group.Go(func() { _ = follower.FollowEndpoints(ctx) })
		DeferCleanup(func() { cancel(); group.Wait() })
	}

	BeforeEach(func() {
		restores.Store(0)
		store = &fakeStore{revision: 1, endpoints: map[string]registry.Endpoint{"a": endpoint("a")}}
		current = &routing.CurrentTable{}
		entries = registry.New(registry.Options{
			Clock: bootclock.Now, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, OnChange: func(registry.Change) {},
		})
		follower = storesync.New(storesync.Options{
			Store: store, Table: current, Registry: entries, Recorder: discardRecorder{}, OnRestore: func() { restores.Add(1) },
			Clock: bootclock.Now, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		})
	})

	It("follows the configuration and the registrations", func() {
		store.putTable(3)
		start()
		Eventually(current.Version).Should(BeEquivalentTo(3))
		Eventually(entries.Endpoints).Should(HaveLen(1))
		store.putTable(8)
		store.appendEvent(registry.EndpointChanged{Endpoint: endpoint("b")})
		Eventually(current.Version).Should(BeEquivalentTo(8))
		Eventually(entries.Endpoints).Should(HaveLen(2))
		Expect(follower.HasCurrentList()).To(BeTrue())
		Expect(follower.TableContact().Lost()).To(BeFalse())
	})

	It("waits for the first configuration", func() {
		start()
		Consistently(current.Version, "50ms").Should(BeZero())
		store.putTable(1)
		Eventually(current.Version).Should(BeEquivalentTo(1))
	})

	// Guards against placing requests while only the configuration, or no
	// endpoint, is known.
	It("closes Synced when both the configuration and the endpoints are known", func() {
		start()
		Eventually(entries.Endpoints).Should(HaveLen(1))
		Consistently(follower.Synced(), "30ms").ShouldNot(BeClosed())
		store.putTable(1)
		Eventually(follower.Synced()).Should(BeClosed())
		Expect(entries.Endpoints()).To(HaveLen(1))
		Expect(current.Version()).To(BeEquivalentTo(1))
	})

	// Guards against a version that is never read because the watch missed it
	// and the store has compacted the history since.
	It("reads changes that its watches missed and whose history was compacted", func() {
		store.putTable(3)
		start()
		Eventually(current.Version).Should(BeEquivalentTo(3))
		Eventually(entries.Endpoints).Should(HaveLen(1))
		store.update(func() { store.watchesEmpty = true })
		time.Sleep(30 * time.Millisecond)
		store.putTable(4)
		store.update(func() { store.endpoints["b"] = endpoint("b"); store.revision += 5; store.oldest = store.revision })
		time.Sleep(30 * time.Millisecond)
		store.update(func() { store.watchesEmpty = false })
		Eventually(current.Version).Should(BeEquivalentTo(4))
		Eventually(entries.Endpoints).Should(HaveLen(2))
	})

	It("counts the store contact as lost until the first response and after an outage", func() {
		store.putTable(3)
		store.update(func() { store.err = errDown })
		Expect(follower.TableContact().Lost()).To(BeTrue())
		start()
		Consistently(follower.TableContact().Lost, "50ms").Should(BeTrue())
		store.update(func() { store.err = nil })
		Eventually(follower.TableContact().Lost).Should(BeFalse())
		// The outage begins only after the configuration was applied.
		Eventually(current.Version).Should(BeEquivalentTo(3))
		store.update(func() { store.err = errDown })
		Eventually(follower.TableContact().Lost, "3s").Should(BeTrue())
		Expect(current.Version()).To(BeEquivalentTo(3))
	})

	// Guards against an outdated configuration that counts as current because
	// the store responds about registrations.
	It("tracks the contact about the configuration separately", func() {
		store.putTable(3)
		start()
		Eventually(follower.TableContact().Lost).Should(BeFalse())
		store.update(func() { store.tableErr = errDown })
		Eventually(follower.TableContact().Lost, "3s").Should(BeTrue())
		Expect(follower.EndpointContact().Lost()).To(BeFalse())
	})

	// Guards against an instance that serves with stale data and counts it as
	// current.
	It("serves with stale data and keeps reading the store", func() {
		store.putTable(3)
		store.update(func() { store.mayBeStale = true })
		start()
		Eventually(current.Version).Should(BeEquivalentTo(3))
		Eventually(entries.Endpoints).Should(HaveLen(1))
		Expect(follower.TableContact().Lost()).To(BeTrue())
		store.putTable(4)
		store.update(func() { store.mayBeStale = false })
		Eventually(current.Version).Should(BeEquivalentTo(4))
		Eventually(follower.TableContact().Lost).Should(BeFalse())
	})

	Context("when the store is restored from a copy", func() {
		// restore starts an era in which the revision goes back and the registrations are
		// those of the copy.
		restore := func(revision uint64) {
			store.update(func() {
				store.era++
				store.revision, store.oldest = revision, 0
				store.events, store.eventRevisions = nil, nil
			})
		}

		register := func(id string) {
			store.update(func() { store.endpoints[id] = endpoint(id) })
			store.appendEvent(registry.EndpointChanged{Endpoint: endpoint(id)})
		}

		BeforeEach(func() {
			store.update(func() { store.era, store.revision = 1, 40 })
			store.putTable(3)
			start()
			Eventually(current.Version).Should(BeEquivalentTo(3))
			Eventually(entries.Endpoints).Should(HaveLen(1))
		})

		// Guards against waiting for a revision that the store reaches only much later.
		It("follows changes at revisions below those of the earlier era", func() {
			restore(10)
			store.putTable(4)
			Eventually(current.Version).Should(BeEquivalentTo(4))
			register("b")
			Eventually(entries.Endpoints).Should(HaveLen(2))
			Expect(restores.Load()).To(BeEquivalentTo(1))
		})

		// Guards against changes that are missed since their revisions had been given out before.
		It("reads what changed below a revision that was given out again", func() {
			store.update(func() {
				store.era++
				store.endpoints["b"] = endpoint("b")
				store.events, store.eventRevisions = nil, nil
				store.revision += 20
				store.table, store.tableRevision = routing.New(4, nil, nil, nil, routing.Limits{}), 30
			})
			Eventually(current.Version).Should(BeEquivalentTo(4))
			Eventually(entries.Endpoints).Should(HaveLen(2))
		})

		It("keeps the configuration if that of the copy is older", func() {
			restore(10)
			store.putTable(2)
			Consistently(current.Version, "100ms").Should(BeEquivalentTo(3))
		})

		// Guards against a response of the earlier era that arrives late, for example through another instance.
		It("ignores responses of the earlier era", func() {
			restore(10)
			store.putTable(4)
			Eventually(current.Version).Should(BeEquivalentTo(4))
			register("b")
			Eventually(entries.Endpoints).Should(HaveLen(2))
			store.update(func() { store.era-- })
			register("late")
			Consistently(entries.Endpoints, "300ms").Should(HaveLen(2))
		})
	})
})
