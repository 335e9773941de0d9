package suspect

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/store"
)

func TestSuspect(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "suspect")
}

func content(n int) (digest api.Digest) {
	digest[0], digest[1], digest[2] = byte(n), byte(n>>8), byte(n>>16)
	return digest
}

var _ = Describe("crash marks", func() {
	var c *Core
	BeforeEach(func() { c = NewCore(CoreOptions{}) })
	crash := func(at time.Duration, endpoint, domain string, running ...int) {
		var digests []api.Digest
		for _, n := range running {
			digests = append(digests, content(n))
		}
		c.Step(at, EndpointCrashed{Endpoint: api.EndpointID(endpoint), Domain: api.FailureDomain(domain), Running: digests})
	}

	// Guards against a poison request that is never refused.
	It("isolate content more with each crash and refuse it after three", func() {
		for i, want := range []api.Isolation{api.IsolationSeparate, api.IsolationExclusive, api.IsolationRefused} {
			at := time.Duration(i) * 5 * time.Second
			crash(at, fmt.Sprint("e", i), "d1", 1, 10+i)
			Expect(c.IsolationLevel(at+refusalDelay, content(1))).To(Equal(want))
			Expect(c.IsolationLevel(at, content(10+i))).To(Equal(api.IsolationSeparate))
		}
	})

	// Guards against a refusal that each further crash delays.
	It("refuse content that goes on crashing engines", func() {
		interval := refusalDelay / 2
		at := time.Duration(0)
		for i := range 10 {
			at = time.Duration(i) * interval
			crash(at, fmt.Sprint("e", i), fmt.Sprint("d", i), 1)
		}
		Expect(c.IsolationLevel(at, content(1))).To(Equal(api.IsolationRefused))
	})

	// Guards against the same at an instance that learns the crashes from another.
	It("refuse content that goes on crashing engines of other instances", func() {
		interval := refusalDelay / 2
		other := NewCore(CoreOptions{})
		at := time.Duration(0)
		for i := range 10 {
			at = time.Duration(i) * interval
			crash(at, fmt.Sprint("e", i), fmt.Sprint("d", i), 1)
			other.Step(at, MarksReceived{Marks: c.Collect(at, 1000)})
		}
		Expect(other.IsolationLevel(at, content(1))).To(Equal(api.IsolationRefused))
	})

	// Guards against two poison requests that are never refused since both crash an engine at the same moments.
	It("refuse two contents that crash different engines at the same moments, at all instances", func() {
		other := NewCore(CoreOptions{})
		at := time.Duration(0)
		for i := range crashesForRefusal {
			at = time.Duration(i) * 5 * time.Second
			crash(at, fmt.Sprint("a", i), fmt.Sprint("da", i), 1)
			crash(at, fmt.Sprint("b", i), fmt.Sprint("db", i), 2)
			other.Step(at, MarksReceived{Marks: c.Collect(at, 1000)})
		}
		at += refusalDelay
		for _, core := range []*Core{c, other} {
			Expect(core.IsolationLevel(at, content(1))).To(Equal(api.IsolationRefused))
			Expect(core.IsolationLevel(at, content(2))).To(Equal(api.IsolationRefused))
		}
	})

	// Guards against a poison request that crashes engines of one domain in quick
	// succession and is mistaken for a failure of the domain.
	It("refuse only the content that crashes engines of one domain one after the other", func() {
		for i := range 4 {
			running := []int{1, 100 + i, 200 + i}
			if i >= 2 {
				running = []int{1}
			}
			crash(time.Duration(i)*300*time.Millisecond, fmt.Sprint("e", i), "d1", running...)
		}
		now := time.Second + refusalDelay
		Expect(c.IsolationLevel(now, content(1))).To(Equal(api.IsolationRefused))
		for i := range 4 {
			Expect(c.IsolationLevel(now, content(100+i))).To(Equal(api.IsolationNone))
		}
	})

	// Guards against refusing content that ran on many endpoints of a failure
	// domain when the domain fails.
	It("do not refuse content that ran on all endpoints of a failed domain", func() {
		for i := range 8 {
			crash(time.Duration(i)*120*time.Millisecond, fmt.Sprint("e", i), "d1", 1, 50+i)
		}
		Expect(c.IsolationLevel(time.Second+refusalDelay, content(1))).To(BeNumerically("<", api.IsolationRefused))
	})

	// Guards against isolating content further because of a repeated report.
	It("count a crash that is reported twice only once", func() {
		crash(0, "e1", "d1", 1)
		crash(time.Millisecond, "e1", "d1", 1, 2)
		Expect(c.IsolationLevel(0, content(1))).To(Equal(api.IsolationSeparate))
		Expect(c.IsolationLevel(0, content(2))).To(Equal(api.IsolationSeparate))
	})

	// Guards against a permanent refusal.
	It("decrease the count by one after each interval without a crash", func() {
		for i := range 3 {
			crash(time.Duration(i)*2*time.Second, fmt.Sprint("e", i), "d1", 1)
		}
		at := 4 * time.Second
		Expect(c.IsolationLevel(at+decayInterval-1, content(1))).To(Equal(api.IsolationRefused))
		Expect(c.IsolationLevel(at+decayInterval, content(1))).To(Equal(api.IsolationExclusive))
		c.Step(at+3*decayInterval, Tick{})
		Expect(c.Len()).To(BeZero())
	})
})

// memoryStore implements the part of the store that the runner uses. It counts
// the writes.
type memoryStore struct {
	store.API
	mu       sync.Mutex
	objects  map[string]store.Object
	version  store.Version
	writes   int
	failGets int // number of next Get calls that fail
}

func (s *memoryStore) takeFailure() bool {
	s.failGets--
	return s.failGets >= 0
}

func (s *memoryStore) Get(_ context.Context, key string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.takeFailure() {
		return store.Object{}, store.ErrUnavailable
	}
	object, ok := s.objects[key]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return object, nil
}

func (s *memoryStore) Put(_ context.Context, key string, value []byte, expect store.Version) (store.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != expect {
		return 0, store.ErrConflict
	}
	s.writes++
	s.version++
	s.objects[key] = store.Object{Key: key, Version: s.version, Value: value}
	return s.version, nil
}

func (s *memoryStore) Delete(_ context.Context, key string, expect store.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != expect {
		return store.ErrConflict
	}
	s.writes++
	delete(s.objects, key)
	return nil
}

func (s *memoryStore) List(_ context.Context, prefix string) ([]store.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []store.Object
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			list = append(list, object)
		}
	}
	return list, 1, nil
}

// TestPersistence guards against losing marks when all instances restart, and
// against writing marks with a single crash to the store.
func TestPersistence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &memoryStore{objects: make(map[string]store.Object), failGets: 2}
		began := time.Now()
		run := func() (*Runner, func()) {
			r, err := New(Options{
				Store: s, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Scope: tally.NoopScope,
				Clock: func() time.Duration { return time.Since(began) },
			})
			g.Expect(err).NotTo(HaveOccurred())
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() { _ = r.Run(ctx); close(ended) }()
			synctest.Wait()
			return r, func() { cancel(); <-ended }
		}
		first, stop := run()
		first.ReportCrash("e1", "d1", []api.Digest{content(1), content(2), content(3)})
		time.Sleep(2 * time.Second)
		first.ReportCrash("e2", "d2", []api.Digest{content(1)})
		time.Sleep(time.Minute)
		stop()
		g.Expect(s.writes).To(Equal(1))
		g.Expect(s.objects).To(HaveKey(keyPrefix + hex.EncodeToString(append([]byte{1}, make([]byte, 15)...))))

		second, stop := run()
		g.Expect(second.IsolationLevel(content(1))).To(Equal(api.IsolationExclusive))
		g.Expect(second.IsolationLevel(content(2))).To(Equal(api.IsolationNone))
		second.ReportCompleted(content(1))
		time.Sleep(time.Minute)
		stop()
		g.Expect(s.objects).To(BeEmpty())
	})
}
