package storetest

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/store"
)

// Guards against a fake that behaves better than the platform: a write whose response
// is lost has to take effect, a deferred write has to take effect later, and writes
// have to be checked for the expected version.
func TestWritesUnderFaults(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	s := New()
	s.LoseWriteResponses(1)
	_, err := s.Put(ctx, "a", []byte("1"), 0)
	g.Expect(err).To(MatchError(store.ErrUnknown))
	object, err := s.Get(ctx, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(object.Value).To(Equal([]byte("1")))

	s.SetFaultHook(func(c Call) Fault { return Fault{Defer: c.Method == Put} })
	_, err = s.Put(ctx, "a", []byte("2"), object.Version)
	g.Expect(err).To(MatchError(store.ErrUnknown))
	s.SetFaultHook(nil)
	unchanged, _ := s.Get(ctx, "a")
	g.Expect(unchanged.Value).To(Equal([]byte("1")))
	s.ApplyDeferredWrites()
	changed, _ := s.Get(ctx, "a")
	g.Expect(changed.Value).To(Equal([]byte("2")))

	_, err = s.Put(ctx, "a", nil, object.Version)
	g.Expect(err).To(MatchError(store.ErrConflict))
	s.SetUnavailable(true)
	_, err = s.Put(ctx, "a", nil, changed.Version)
	g.Expect(err).To(MatchError(store.ErrUnavailable))
	s.SetUnavailable(false)
	s.SetRateLimited(true)
	g.Expect(s.Delete(ctx, "a", changed.Version)).To(MatchError(store.ErrRateLimited))
}

// Guards against a watch that misses a change, returns earlier changes, or hides that
// its revision was compacted.
func TestWatch(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	s := New()
	_, _ = s.Put(ctx, "other", nil, 0)
	_, revision, err := s.List(ctx, "t/")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _, _ = s.Put(ctx, "t/1", []byte("x"), 0) }()
	changes, next, err := s.Watch(ctx, "t/", revision, time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changes).To(HaveLen(1))
	none, _, err := s.Watch(ctx, "t/", next, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(none).To(BeEmpty())
	s.Compact()
	_, _, err = s.Watch(ctx, "t/", revision, 0)
	g.Expect(err).To(MatchError(store.ErrCompacted))
}
