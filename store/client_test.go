package store_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/store"
)

func newClient(t *testing.T, handler http.HandlerFunc, change ...func(*store.Options)) *store.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	options := store.Options{URL: server.URL, Timeout: 5 * time.Second, Scope: tally.NoopScope, FleetSize: 1}
	for _, c := range change {
		c(&options)
	}
	client, err := store.New(options)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return client
}

// Guards against a write that net/http sends a second time, because a reused
// connection broke or because it followed a redirect.
func TestWriteIsSentOnce(t *testing.T) {
	g := NewWithT(t)
	var puts, redirected atomic.Int32
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodGet:
			w.Header().Set("ETag", `"1"`)
		case strings.HasSuffix(r.URL.Path, "/moved"):
			redirected.Add(1)
			http.Redirect(w, r, "/v1/objects/a", http.StatusTemporaryRedirect)
		default:
			puts.Add(1)
			_, _ = io.Copy(io.Discard, r.Body)
			conn, _, _ := http.NewResponseController(w).Hijack()
			_ = conn.Close()
		}
	})
	ctx := context.Background()
	_, err := client.Get(ctx, "a") // leaves a reusable connection
	g.Expect(err).NotTo(HaveOccurred())
	_, err = client.Put(ctx, "a", []byte("x"), 0)
	g.Expect(err).To(MatchError(store.ErrUnknown))
	g.Expect(puts.Load()).To(Equal(int32(1)))

	_, _ = client.Get(ctx, "a")
	_, err = client.Put(ctx, "moved", []byte("x"), 0)
	g.Expect(err).To(MatchError(store.ErrUnknown))
	g.Expect(client.Delete(ctx, "a", 1)).To(MatchError(store.ErrUnknown))
	g.Expect(puts.Load()).To(Equal(int32(2)))
	g.Expect(redirected.Load()).To(Equal(int32(1)))
}

// Guards against ErrUnavailable for a call that may have taken effect.
func TestErrorsByOutcome(t *testing.T) {
	g := NewWithT(t)
	var status atomic.Int32
	client := newClient(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(int(status.Load())) })
	for code, want := range map[int]error{
		404: store.ErrNotFound, 412: store.ErrConflict, 429: store.ErrRateLimited, 503: store.ErrUnavailable,
		410: store.ErrCompacted, 400: store.ErrRefused, 413: store.ErrRefused,
		408: store.ErrUnknown, 500: store.ErrUnknown, 502: store.ErrUnknown, 504: store.ErrUnknown, 307: store.ErrUnknown,
		200: store.ErrUnknown, // a success without a version
	} {
		status.Store(int32(code))
		_, err := client.Put(context.Background(), "a", nil, 1)
		g.Expect(err).To(MatchError(want), "status %d", code)
	}
	unresponsive := newClient(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		func(o *store.Options) { o.Timeout = 20 * time.Millisecond })
	_, err := unresponsive.Put(context.Background(), "a", nil, 0)
	g.Expect(err).To(MatchError(store.ErrUnknown))

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	_ = listener.Close()
	unreachable := newClient(t, nil, func(o *store.Options) { o.URL = "http://" + address })
	_, err = unreachable.Put(context.Background(), "a", nil, 0)
	g.Expect(err).To(MatchError(store.ErrUnavailable))
}

// Guards against reading responses of unlimited size, and against sending values above
// the store's limit or a delete without a version.
func TestSizeLimitsAndInvalidCalls(t *testing.T) {
	g := NewWithT(t)
	client := newClient(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", "1")
		_, _ = w.Write(make([]byte, 1<<20+1))
	})
	_, err := client.Get(context.Background(), "a")
	g.Expect(err).To(MatchError(store.ErrUnknown))
	_, err = client.Put(context.Background(), "a", make([]byte, 1<<20+1), 0)
	g.Expect(err).To(MatchError(store.ErrRefused))
	g.Expect(client.Delete(context.Background(), "a", 0)).To(MatchError(store.ErrRefused))
}

// Guards against an instance that exceeds its share of the store's call rate, and
// against low-priority calls that use up the share.
func TestRateLimits(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int32
	client := newClient(t, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set("ETag", "1")
	}, func(o *store.Options) { o.FleetWritesPerSecond = 1; o.FleetSize = 1000 })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lowPriority := 0
	for i := 0; i < 20; i++ {
		if _, err := client.Put(store.WithLowPriority(ctx), "a", nil, 1); err == nil {
			lowPriority++
		}
	}
	allowed := lowPriority
	for i := 0; i < 20; i++ {
		_, err := client.Put(ctx, "a", nil, 1)
		if err == nil {
			allowed++
			continue
		}
		g.Expect(errors.Is(err, store.ErrRateLimited)).To(BeTrue())
		break
	}
	// The burst is minBurst calls. Six of them find at least half of it left.
	g.Expect(lowPriority).To(BeNumerically("<=", 6))
	g.Expect(allowed).To(BeNumerically(">=", 10))
	g.Expect(calls.Load()).To(Equal(int32(allowed)))
}
