package suspect

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"
	"golang.org/x/time/rate"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/internal/wait"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/ring"
	"github.com/hibiscusstair/hibiscusstair/store"
)

const (
	keyPrefix    = "suspects/" // of the marks' keys in the store
	tickInterval = time.Second // between Tick events
	// writeQueueCapacity bounds the writes that wait for the store.
	writeQueueCapacity = 256
	// writesPerSecond and writeBurst keep the share of crash marks in the store's
	// write rate small; marks with two crashes are rare.
	writesPerSecond = 1
	writeBurst      = 8
	// retryDelay is the wait after a store call that failed.
	retryDelay = 5 * time.Second
	// writeAttempts bounds the attempts to write one mark; the peers have the mark
	// in any case.
	writeAttempts = 12
)

// Error is the class of the errors of New.
var Error = errs.Class("suspect")

// Options configures a Runner.
type Options struct {
	Store store.API // nil: marks are not persisted
	Log   *slog.Logger
	Scope tally.Scope
	Clock bootclock.Func
	// Wall is the wall clock, which dates marks in the store; nil is time.Now.
	Wall func() time.Time
}

// Runner makes a core safe for concurrent use and persists its marks. A caller
// has to see the effect of a crash before its next placement, so calls lock the
// core instead of passing through a queue; only writes to the store are queued.
type Runner struct {
	options Options
	mu      sync.Mutex
	core    *Core
	writes  *ring.Queue[PersistMark]

	crashes        tally.Counter
	cleared        tally.Counter
	writesDropped  tally.Counter
	writesDone     tally.Counter
	marked         tally.Gauge
	contentRefused tally.Counter
}

// New returns a runner; Run loads the marks from the store and writes new ones.
func New(o Options) (*Runner, error) {
	if o.Log == nil || o.Scope == nil || o.Clock == nil {
		return nil, Error.New("Log, Scope and Clock are required")
	}
	if o.Wall == nil {
		o.Wall = time.Now
	}
	scope := o.Scope
	return &Runner{
		options: o, core: NewCore(CoreOptions{}), writes: ring.New[PersistMark](writeQueueCapacity),
		crashes: scope.Counter("deaths"), cleared: scope.Counter("cleared"), writesDropped: scope.Counter("writes_dropped"),
		writesDone: scope.Counter("writes"), marked: scope.Gauge("marked"), contentRefused: scope.Counter("refused"),
	}, nil
}

// IsolationLevel returns the isolation that the content needs.
func (r *Runner) IsolationLevel(digest api.Digest) api.Isolation {
	r.mu.Lock()
	defer r.mu.Unlock()
	level := r.core.IsolationLevel(r.options.Clock(), digest)
	if level == api.IsolationRefused {
		r.contentRefused.Inc(1)
	}
	return level
}

// ReportCrash marks the content that the endpoint was running.
func (r *Runner) ReportCrash(endpoint api.EndpointID, domain api.FailureDomain, running []api.Digest) {
	r.crashes.Inc(1)
	r.options.Log.Warn("endpoint crashed while running content", "endpoint", string(endpoint), "contents", len(running))
	r.step(EndpointCrashed{Endpoint: endpoint, Domain: domain, Running: running})
}

// ReportCompleted clears the marks of content that completed.
func (r *Runner) ReportCompleted(digest api.Digest) { r.step(ContentCompleted{Digest: digest}) }

// Collect returns changed marks for a peer, at most maxBytes, and counts them as sent.
func (r *Runner) Collect(maxBytes int) *peerpb.Deltas {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &peerpb.Deltas{Marks: r.core.Collect(r.options.Clock(), maxBytes)}
}

// Merge merges the marks of a peer.
func (r *Runner) Merge(deltas *peerpb.Deltas) {
	if len(deltas.GetMarks()) > 0 {
		r.step(MarksReceived{Marks: deltas.GetMarks()})
	}
}

func (r *Runner) step(ev Event) {
	r.mu.Lock()
	actions := r.core.Step(r.options.Clock(), ev)
	writes := make([]PersistMark, 0, len(actions))
	for _, action := range actions {
		writes = append(writes, action.(PersistMark))
	}
	r.marked.Update(float64(r.core.Len()))
	r.mu.Unlock()
	if r.options.Store == nil {
		return
	}
	for _, write := range writes {
		if !r.writes.TryPut(write) {
			r.writesDropped.Inc(1)
		}
	}
}

// Run loads the marks from the store once, and writes changed marks to it until
// the context ends.
func (r *Runner) Run(ctx context.Context) error {
	var jobs sync.WaitGroup
	defer jobs.Wait()
	if r.options.Store != nil {
		jobs.Go(func() { r.loadMarks(ctx) })
		jobs.Go(func() { r.writeMarks(ctx) })
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.step(Tick{})
		}
	}
}

// storedMark is the value of a mark's object in the store.
type storedMark struct {
	Crashes uint32 `json:"deaths"`
	Version uint64 `json:"version"`
	UnixMS  int64  `json:"unix_ms"`
}

// loadMarks merges the marks from the store. It retries while the store fails;
// until then only the marks of the peers apply.
func (r *Runner) loadMarks(ctx context.Context) {
	for {
		objects, _, err := r.options.Store.List(ctx, keyPrefix)
		if err == nil {
			r.mergeObjects(objects)
			return
		}
		r.options.Log.Warn("cannot load crash marks from the store; retrying", "error", err.Error())
		if !wait.For(ctx, retryDelay) {
			return
		}
	}
}

// mergeObjects merges the marks in the objects. It skips objects that cannot be
// decoded.
func (r *Runner) mergeObjects(objects []store.Object) {
	var marks []*peerpb.CrashMark
	for _, object := range objects {
		digest, err := hex.DecodeString(strings.TrimPrefix(object.Key, keyPrefix))
		var value storedMark
		if err != nil || json.Unmarshal(object.Value, &value) != nil {
			continue
		}
		age := max(r.options.Wall().UnixMilli()-value.UnixMS, 0)
		marks = append(marks, &peerpb.CrashMark{
			ContentDigest: digest, Deaths: value.Crashes, Version: value.Version, AgeMs: uint64(age),
		})
	}
	r.step(MarksReceived{Marks: marks})
}

func (r *Runner) writeMarks(ctx context.Context) {
	limiter := rate.NewLimiter(writesPerSecond, writeBurst)
	for {
		select {
		case <-ctx.Done():
			return
		case mark := <-r.writes.C():
			r.writeMark(ctx, limiter, mark)
		}
	}
}

func (r *Runner) writeMark(ctx context.Context, limiter *rate.Limiter, mark PersistMark) {
	for range writeAttempts {
		if limiter.Wait(ctx) != nil {
			return
		}
		err := r.storeMark(ctx, mark)
		if err == nil {
			r.writesDone.Inc(1)
			return
		}
		if !errors.Is(err, store.ErrConflict) && !wait.For(ctx, retryDelay) {
			return
		}
	}
	r.writesDropped.Inc(1)
}

// storeMark writes or deletes the mark's object, unless the store has a newer
// version of the mark.
func (r *Runner) storeMark(ctx context.Context, mark PersistMark) error {
	key := keyPrefix + hex.EncodeToString(mark.Digest[:])
	object, err := r.options.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	var have storedMark
	if object.Version != 0 && json.Unmarshal(object.Value, &have) == nil && have.Version > mark.Version {
		return nil
	}
	if mark.Delete {
		if object.Version == 0 {
			return nil
		}
		return r.options.Store.Delete(ctx, key, object.Version)
	}
	value, err := json.Marshal(storedMark{
		Crashes: mark.Crashes, Version: mark.Version, UnixMS: r.options.Wall().Add(-mark.Age).UnixMilli(),
	})
	if err != nil {
		return err
	}
	_, err = r.options.Store.Put(ctx, key, value, object.Version)
	return err
}
