package quarantine

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// memoryStore keeps refusals in memory. Tests that change its fields call update.
type memoryStore struct {
	mu       sync.Mutex
	entries  map[Part]StoredRefusal
	revision uint64
	err      error // of each call
	// unanswered makes a write fail that the store executes only after the delay.
	unanswered                    time.Duration
	lists, writes, deletes, calls int
}

func newMemoryStore() *memoryStore { return &memoryStore{entries: make(map[Part]StoredRefusal)} }

func (s *memoryStore) update(change func(*memoryStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *memoryStore) ListRefusals(context.Context) ([]StoredRefusal, int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	s.calls++
	return slices.Collect(maps.Values(s.entries)), 0, s.err
}

func (s *memoryStore) WriteRefusal(_ context.Context, refusal StoredRefusal) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.err != nil {
		return s.err
	}
	put := func() {
		s.revision++
		refusal.Revision = s.revision
		s.entries[refusal.Part] = refusal
	}
	if s.unanswered > 0 {
		time.AfterFunc(s.unanswered, func() { s.update(func(*memoryStore) { put() }) })
		return errors.New("no response")
	}
	if s.entries[refusal.Part].Revision != refusal.Revision {
		return errors.New("conflict")
	}
	s.writes++
	put()
	return nil
}

func (s *memoryStore) DeleteRefusal(_ context.Context, part Part) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.err != nil {
		return s.err
	}
	s.deletes++
	delete(s.entries, part)
	return nil
}

// state returns a copy of the entries, and the numbers of calls.
func (s *memoryStore) state() memoryStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	return memoryStore{entries: maps.Clone(s.entries), lists: s.lists, writes: s.writes, deletes: s.deletes, calls: s.calls}
}

const content = Part(0x1234)

// startInstance starts an instance that uses the store until the returned function is
// called.
func startInstance(t *testing.T, store *memoryStore, firstStart bool) (r *Runner, kill func()) {
	t.Helper()
	began := time.Now()
	r = New(Options{
		Self: "i", Clock: func() time.Duration { return time.Hour + time.Since(began) }, Log: slog.New(slog.DiscardHandler),
		Scope: tally.NoopScope, Store: store, NothingStored: func() (bool, bool) { return firstStart, time.Since(began) > keeperInterval },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = r.Keeper().Run(ctx) }()
	kill = func() { cancel(); <-done }
	t.Cleanup(kill)
	time.Sleep(time.Second)
	return r, kill
}

// crashEngines reports the crash of minCrashes engines that ran the content.
func crashEngines(r *Runner, running Request) {
	for i := range minCrashes {
		r.ReportCrash(EngineCrashed{
			Endpoint: api.EndpointID(fmt.Sprint("e", i, time.Now())), Domain: api.FailureDomain(fmt.Sprint("d", i)), Running: []Request{running},
		})
		time.Sleep(time.Second)
	}
}

func refused(r *Runner) bool { return r.Assess(Request{Content: content}).Refused() }

// TestRefusalOutlastsAllInstances guards against content that crashes engines again after
// each loss of all instances.
func TestRefusalOutlastsAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		r, kill := startInstance(t, store, true)
		crashEngines(r, Request{Content: content, Account: AccountOf("acme")})
		kill()
		for range 2 {
			r, kill = startInstance(t, store, false)
			if !refused(r) {
				t.Fatal("the content is not refused after a loss of all instances")
			}
			kill()
		}
		if writes := store.state().writes; writes != 1 {
			t.Errorf("%d writes, want one", writes)
		}
	})
}

// TestOneInstanceStoresARefusal guards against a call of each instance for each refusal.
func TestOneInstanceStoresARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		first, _ := startInstance(t, store, true)
		second, _ := startInstance(t, store, true)
		crashEngines(first, Request{Content: content})
		second.Merge(first.Snapshot())
		time.Sleep(time.Minute)
		if s := store.state(); !refused(second) || s.writes != 1 || s.lists != 1 {
			t.Errorf("%d writes and %d lists, want one of each", s.writes, s.lists)
		}
	})
}

// TestQuietInstancesDoNotCallTheStore guards against calls that are priced although no
// engine crashes.
func TestQuietInstancesDoNotCallTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		startInstance(t, store, true)
		time.Sleep(time.Hour)
		if calls := store.state().calls; calls != 0 {
			t.Errorf("an instance that starts for the first time made %d calls", calls)
		}
		startInstance(t, store, false)
		time.Sleep(time.Hour)
		if calls := store.state().calls; calls != 1 {
			t.Errorf("an instance that starts again made %d calls, want one", calls)
		}
	})
}

// TestServedContentIsNotRefusedAfterARestart guards against sound content that was blamed,
// and is refused again after instances have started anew.
func TestServedContentIsNotRefusedAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, restarted := range []bool{false, true} {
			store := newMemoryStore()
			r, kill := startInstance(t, store, true)
			crashEngines(r, Request{Content: content})
			if restarted {
				kill()
				r, kill = startInstance(t, store, false)
			}
			r.ReportCompleted(Request{Content: content})
			time.Sleep(2 * memberDelay)
			kill()
			r, _ = startInstance(t, store, false)
			if refused(r) || len(store.state().entries) != 0 {
				t.Errorf("served after a restart %v: the content is still refused", restarted)
			}
		}
	})
}

// TestServedContentThatCrashesEnginesAgainIsStored guards against content whose refusal is
// not stored anew after it was cleared.
func TestServedContentThatCrashesEnginesAgainIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		r, kill := startInstance(t, store, true)
		crashEngines(r, Request{Content: content})
		r.ReportCompleted(Request{Content: content})
		time.Sleep(2 * time.Second)
		crashEngines(r, Request{Content: content})
		time.Sleep(servedConfirmation)
		if !refused(r) {
			t.Fatal("the content is not refused again")
		}
		time.Sleep(time.Second)
		kill()
		r, _ = startInstance(t, store, false)
		if !refused(r) {
			t.Error("the content is not refused after a loss of all instances")
		}
	})
}

// TestStoredRefusalEnds guards against a refusal that outlives restarts for longer than one
// that is only in memory, and against entries that stay for good.
func TestStoredRefusalEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		r, kill := startInstance(t, store, true)
		crashEngines(r, Request{Content: content})
		kill()
		time.Sleep(recordLifetime - time.Minute)
		r, kill = startInstance(t, store, false)
		if !refused(r) {
			t.Error("the refusal ended early")
		}
		kill()
		time.Sleep(time.Minute)
		r, _ = startInstance(t, store, false)
		time.Sleep(2 * memberDelay)
		if refused(r) || len(store.state().entries) != 0 {
			t.Error("the refusal did not end with its crashes")
		}
	})
}

// TestUnavailableStoreCostsNoRefusal guards against requests that wait for the store, and
// against a refusal or a deletion that is lost while the store is away.
func TestUnavailableStoreCostsNoRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		store.update(func(s *memoryStore) { s.err = errors.New("unavailable") })
		r, kill := startInstance(t, store, false)
		crashEngines(r, Request{Content: content})
		time.Sleep(5 * time.Minute)
		if calls := store.state().calls; !refused(r) || calls > 50 {
			t.Errorf("%d calls to a store that is away for 5 min", calls)
		}
		store.update(func(s *memoryStore) { s.err = nil })
		time.Sleep(maxStoreBackoff)
		kill()
		r, _ = startInstance(t, store, false)
		if !refused(r) {
			t.Error("the refusal was not stored when the store was back")
		}
	})
}

// TestClearedRefusalIsNotStored guards against a refusal that is written when the store is
// back, although its content was served meanwhile.
func TestClearedRefusalIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		r, _ := startInstance(t, store, true)
		store.update(func(s *memoryStore) { s.err = errors.New("unavailable") })
		crashEngines(r, Request{Content: content})
		r.ReportCompleted(Request{Content: content})
		store.update(func(s *memoryStore) { s.err = nil })
		time.Sleep(2 * maxStoreBackoff)
		if s := store.state(); s.writes != 0 {
			t.Errorf("%d writes of a refusal that was cleared", s.writes)
		}
	})
}

// TestLateWriteDoesNotRestoreARefusal guards against a write that the store executes after
// the refusal was deleted.
func TestLateWriteDoesNotRestoreARefusal(t *testing.T) {
	for _, writtenAgain := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := newMemoryStore()
			store.unanswered = lateCallTime - time.Second
			r, _ := startInstance(t, store, true)
			crashEngines(r, Request{Content: content})
			if writtenAgain {
				store.update(func(s *memoryStore) { s.unanswered = 0 })
				time.Sleep(time.Second)
			}
			r.ReportCompleted(Request{Content: content})
			time.Sleep(3 * lateCallTime)
			if len(store.state().entries) != 0 {
				t.Errorf("a late write restored the refusal; written again before: %v", writtenAgain)
			}
		})
	}
}

// TestRestoredStoreGetsTheLatestChanges guards against an older copy of the store that
// brings back a refusal or loses one.
func TestRestoredStoreGetsTheLatestChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemoryStore()
		r, _ := startInstance(t, store, true)
		crashEngines(r, Request{Content: content})
		written := store.state().entries
		store.update(func(s *memoryStore) { clear(s.entries) })
		r.StoreRestored()
		time.Sleep(time.Second)
		if len(store.state().entries) != 1 {
			t.Error("the refusal is missing after a restore")
		}
		r.ReportCompleted(Request{Content: content})
		time.Sleep(time.Second)
		store.update(func(s *memoryStore) { s.entries = written })
		r.StoreRestored()
		time.Sleep(time.Second)
		if len(store.state().entries) != 0 {
			t.Error("the refusal is back after a restore")
		}
	})
}

// TestInvalidStoredRefusalsAreNotUsed guards against entries of another writer, or of a
// host with a wrong clock, for which requests are refused.
func TestInvalidStoredRefusalsAreNotUsed(t *testing.T) {
	now := time.UnixMilli(1e12)
	crashes := func(at time.Time, count int, part Part) []StoredCrash {
		var list []StoredCrash
		for i := range count {
			list = append(list, StoredCrash{Crash: uint64(i), Parts: []Part{part}, UnixMS: at.UnixMilli()})
		}
		return list
	}
	for name, c := range map[string]struct {
		refusal StoredRefusal
		valid   bool
	}{
		"sound":             {StoredRefusal{Part: 1, Crashes: crashes(now, minCrashes, 1)}, true},
		"clock ahead":       {StoredRefusal{Part: 1, Crashes: crashes(now.Add(3*time.Second), minCrashes, 1)}, true},
		"in the future":     {StoredRefusal{Part: 1, Crashes: crashes(now.Add(time.Hour), minCrashes, 1)}, false},
		"too few crashes":   {StoredRefusal{Part: 1, Crashes: crashes(now, minCrashes-1, 1)}, false},
		"too many crashes":  {StoredRefusal{Part: 1, Crashes: crashes(now, maxLastingCrashes+1, 1)}, false},
		"of another part":   {StoredRefusal{Part: 1, Crashes: crashes(now, minCrashes, 2)}, false},
		"without a part":    {StoredRefusal{Crashes: crashes(now, minCrashes, 0)}, false},
		"without any crash": {StoredRefusal{Part: 1}, false},
	} {
		if err := c.refusal.check(now); (err == nil) != c.valid {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestStoredRefusalsAreBounded guards against an account whose contents displace those of
// others, and against a store that fills.
func TestStoredRefusalsAreBounded(t *testing.T) {
	now := time.UnixMilli(1e12)
	var existing []StoredRefusal
	add := func(account uint64) writePlan {
		part := Part(len(existing) + 1)
		added := StoredRefusal{Part: part, Account: account}
		for i := range minCrashes {
			added.Crashes = append(added.Crashes, StoredCrash{Crash: uint64(i), Parts: []Part{part}, UnixMS: now.UnixMilli() + int64(part)})
		}
		plan := planWrite(now, existing, added)
		existing = append(existing, added)
		return plan
	}
	for account := range uint64(maxStored / maxStoredPerAccount) {
		for range maxStoredPerAccount {
			if plan := add(account); len(plan.remove) != 0 {
				t.Fatalf("%d entries, of which %v is removed", len(existing), plan.remove)
			}
		}
	}
	if plan := add(3); len(plan.remove) != 1 || plan.remove[0].Account != 3 || plan.remove[0].Part != 3*maxStoredPerAccount+1 {
		t.Errorf("an account with too many entries removes %v", plan.remove)
	}
	existing = existing[:maxStored]
	if plan := add(100); len(plan.remove) != 1 || plan.remove[0].Account != 0 || plan.remove[0].Part != 1 {
		t.Errorf("a full store removes %v", plan.remove)
	}
	now = now.Add(recordLifetime + time.Minute)
	if plan := add(100); len(plan.remove) != maxStored+1 {
		t.Errorf("%d expired entries are removed, want all", len(plan.remove))
	}
}
