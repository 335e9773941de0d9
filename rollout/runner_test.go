package rollout_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/rollout"
)

var errUnreachable = errors.New("not reachable")

// orderStore holds the order of one service.
type orderStore struct {
	mu       sync.Mutex
	order    rollout.Order
	calls    int
	writer   string // address of the instance that wrote last
	silent   bool   // writes are executed without a response
	finished chan struct{}
}

// clientStore is the store as one instance sees it.
type clientStore struct {
	*orderStore
	address string
}

func (s *orderStore) read() rollout.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.order
}

func (s clientStore) ListRollouts(context.Context) ([]rollout.Order, uint64, error) {
	order := s.read()
	return []rollout.Order{order}, order.Revision, nil
}

func (s clientStore) WatchRollouts(ctx context.Context, after uint64, wait time.Duration) ([]rollout.Order, uint64, error) {
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		if order := s.read(); order.Revision > after {
			return []rollout.Order{order}, order.Revision, nil
		}
	}
	return nil, after, nil
}

func (s clientStore) WriteStatus(_ context.Context, _ string, revision uint64, status rollout.Status) (rollout.Order, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if revision != s.order.Revision {
		return s.order, rollout.ErrConflict
	}
	s.order.Revision++
	s.order.Status = status
	s.writer = s.address
	if status.State.Final() {
		close(s.finished)
	}
	if s.silent {
		s.silent = false
		return rollout.Order{}, errUnreachable
	}
	return s.order, nil
}

// testWriter writes the log to that of the test.
type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) {
	w.t.Log(strings.TrimSpace(string(p)))
	return len(p), nil
}

// runnerFleet are runners that call each other directly.
type runnerFleet struct {
	store   *orderStore
	runners map[string]*rollout.Runner
	stops   map[string]context.CancelFunc
	cutOff  sync.Map // addresses that others do not reach and that reach no others
	reports atomic.Int64
	sent    [3]atomic.Int64 // by version, of all and of the instances that are cut off
}

// reportClient calls an instance on behalf of another one.
type reportClient struct {
	fleet    *runnerFleet
	from, to string
}

func (c reportClient) Report(ctx context.Context, r *peerpb.RolloutReport) (*peerpb.RolloutGrant, error) {
	c.fleet.reports.Add(1)
	for _, address := range []string{c.from, c.to} {
		if _, cut := c.fleet.cutOff.Load(address); cut {
			return nil, errUnreachable
		}
	}
	return c.fleet.runners[c.to].Server().Report(ctx, r)
}

func newRunnerFleet(t *testing.T, size int, duration time.Duration) *runnerFleet {
	f := &runnerFleet{
		store:   &orderStore{order: rollout.Order{Service: "s", To: "v2", Duration: duration, Revision: 7}, silent: true, finished: make(chan struct{})},
		runners: make(map[string]*rollout.Runner), stops: make(map[string]context.CancelFunc),
	}
	var members []api.Member
	for i := range size {
		name := fmt.Sprint("i", i)
		members = append(members, api.Member{ID: api.InstanceID(name), Address: name, State: api.MemberAlive})
	}
	for _, m := range members {
		f.runners[m.Address] = rollout.NewRunner(rollout.RunnerOptions{
			Self: m.ID, Incarnation: 1, Bounds: rollout.CoreOptions{ExposeShare: 0.1, ExposeSlack: 50, RollbackTimeout: 5 * time.Second},
			Members: func() []api.Member { return members }, HasPeers: true,
			Client: func(address string) peerpb.Rollouts { return reportClient{f, m.Address, address} },
			Store:  clientStore{f.store, m.Address}, Clock: bootclock.Now, Log: slog.New(slog.NewTextHandler(testWriter{t}, nil)), Scope: tally.NoopScope,
		})
		f.addEndpoints(m.Address, "v1", 6, 1)
	}
	var group sync.WaitGroup
	for address, runner := range f.runners {
		ctx, cancel := context.WithCancel(context.Background())
		f.stops[address] = cancel
		group.Go(func() { _ = runner.Run(ctx) })
		t.Cleanup(cancel)
	}
	t.Cleanup(func() {
		for _, stop := range f.stops {
			stop()
		}
		group.Wait()
	})
	return f
}

func (f *runnerFleet) addEndpoints(address, version string, count int, incarnation int64) {
	for i := range count {
		f.runners[address].ApplyChange(registry.Change{Kind: registry.Added, Endpoint: registry.Endpoint{
			ID: api.EndpointID(fmt.Sprint(version, "-", i)), Incarnation: incarnation, Service: "s", Version: version,
			Domain: api.FailureDomain(fmt.Sprint("d", i%3)), Slots: 8,
		}})
	}
}

// startRollout registers endpoints of the second version everywhere.
func (f *runnerFleet) startRollout() {
	for address := range f.runners {
		f.addEndpoints(address, "v2", 6, 2)
	}
}

// serve sends requests through all instances until the rollout is over and settled. bad
// says whether the n-th request to the new version fails.
func (f *runnerFleet) serve(ctx context.Context, bad func(n int64) bool) {
	var group sync.WaitGroup
	defer group.Wait()
	for address, runner := range f.runners {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprint(address, "-", n)
				version := "v1"
				if allowed := runner.Allowed("s", id); allowed != nil {
					version = allowed[0]
				}
				outcome := rollout.Outcome{Kind: rollout.OutcomeSent, Request: id, Endpoint: api.EndpointID(version + "-0"), Target: time.Second}
				runner.Record("s", "r", version, outcome)
				time.Sleep(8 * time.Millisecond)
				outcome.Kind = rollout.OutcomeCompleted
				f.sent[0].Add(1)
				if version == "v2" {
					if _, cut := f.cutOff.Load(address); cut {
						f.sent[2].Add(1)
					}
					if bad(f.sent[1].Add(1)) {
						outcome.Kind = rollout.OutcomeFailed
					}
				}
				runner.Record("s", "r", version, outcome)
			}
		})
	}
}

func (f *runnerFleet) awaitEnd(t *testing.T, within time.Duration) rollout.Order {
	t.Helper()
	select {
	case <-f.store.finished:
	case <-time.After(within):
		t.Errorf("the rollout is not over after %s: %+v", within, f.store.read())
	}
	return f.store.read()
}

// Guards against a rollout that stays where it is since the instance that coordinates it
// is killed, or since a write of its status had no response.
func TestRolloutCompletesAlthoughItsCoordinatorIsKilled(t *testing.T) {
	t.Parallel()
	f := newRunnerFleet(t, 4, 12*time.Second)
	ctx, stop := context.WithCancel(context.Background())
	var load sync.WaitGroup
	defer load.Wait()
	defer stop()
	f.startRollout()
	load.Go(func() { f.serve(ctx, func(int64) bool { return false }) })
	time.Sleep(5 * time.Second)
	f.store.mu.Lock()
	writer := f.store.writer
	f.store.mu.Unlock()
	if writer == "" {
		t.Fatal("no status was written")
	}
	f.cutOff.Store(writer, true)
	f.stops[writer]()
	order := f.awaitEnd(t, 8*time.Second)
	if order.Status.State != rollout.StateComplete || order.Status.To != "v2" {
		t.Errorf("the status is %+v", order.Status)
	}
	if f.store.writer == writer {
		t.Errorf("%s still writes", writer)
	}
}

// Guards against a bad version that gets more than its share while some instances are
// cut off, and against requests after it was reverted.
func TestBadVersionIsRevertedWithinItsExposure(t *testing.T) {
	t.Parallel()
	f := newRunnerFleet(t, 6, 20*time.Second)
	f.cutOff.Store("i1", true)
	f.cutOff.Store("i4", true)
	ctx, stop := context.WithCancel(context.Background())
	var load sync.WaitGroup
	defer load.Wait()
	defer stop()
	f.startRollout()
	load.Go(func() { f.serve(ctx, func(n int64) bool { return n%3 == 0 }) })
	order := f.awaitEnd(t, 15*time.Second)
	if order.Status.State != rollout.StateReverted || order.Status.To != "v2" {
		t.Errorf("the status is %+v", order.Status)
	}
	time.Sleep(2500 * time.Millisecond) // grants expire
	if cut := f.sent[2].Load(); cut > 0 {
		t.Errorf("%d requests were sent to the new version by instances that are cut off", cut)
	}
	settled := f.sent[1].Load()
	time.Sleep(time.Second)
	all, exposed := f.sent[0].Load(), f.sent[1].Load()
	t.Logf("%d of %d requests were sent to the bad version", exposed, all)
	if float64(exposed) > 0.1*float64(all)+50 {
		t.Errorf("%d of %d requests were sent to the bad version", exposed, all)
	}
	if exposed > settled {
		t.Errorf("%d requests were sent after the version was reverted", exposed-settled)
	}
}

// Guards against calls, which are priced, for services without a rollout.
func TestOneVersionNeedsNoCalls(t *testing.T) {
	t.Parallel()
	f := newRunnerFleet(t, 3, 10*time.Second)
	time.Sleep(1500 * time.Millisecond)
	if allowed := f.runners["i0"].Allowed("s", "x"); allowed != nil {
		t.Errorf("requests are restricted to %v", allowed)
	}
	if reports, calls := f.reports.Load(), f.store.calls; reports != 0 || calls != 0 {
		t.Errorf("%d reports and %d calls of the store", reports, calls)
	}
	f.runners["i0"].ApplyChange(registry.Change{Kind: registry.Added, Endpoint: registry.Endpoint{
		ID: "x", Incarnation: 3, Service: "s", Version: registry.UnknownVersion, Domain: "d0",
	}})
	if allowed := f.runners["i0"].Allowed("s", "x"); allowed != nil {
		t.Errorf("requests are restricted to %v by an endpoint of an unknown version", allowed)
	}
}

// Guards against a former coordinator that completes a version by the few responses that
// it knew of, while another instance coordinates.
func TestFormerCoordinatorDecidesNothing(t *testing.T) {
	core := rollout.NewCore(rollout.CoreOptions{ExposeShare: 0.1, ExposeSlack: 50, RollbackTimeout: 5 * time.Second})
	core.Step(0, rollout.EndpointsCounted{Service: "s", Engines: map[rollout.Version]int{"v1": 4, "v2": 4}})
	core.Step(0, rollout.ReportReceived{Report: rollout.Report{Instance: "i", Service: "s"}})
	core.Step(0, rollout.OrderRead{Order: rollout.Order{Service: "s", To: "v2", Duration: 8 * time.Second, Revision: 3}})
	for now := 2 * time.Second; now < 20*time.Second; now += 100 * time.Millisecond {
		if actions := core.Step(now, rollout.Tick{}); len(actions) > 0 {
			t.Fatalf("after %s: %+v", now, actions)
		}
	}
}
