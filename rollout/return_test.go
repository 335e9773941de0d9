package rollout

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

// listStore is a store that lists orders and takes no writes.
type listStore struct{ orders []Order }

func (s *listStore) ListRollouts(context.Context) ([]Order, uint64, error) { return s.orders, 1, nil }

func (s *listStore) WatchRollouts(_ context.Context, after uint64, _ time.Duration) ([]Order, uint64, error) {
	return nil, after, nil
}

func (s *listStore) WriteStatus(context.Context, string, uint64, Status) (Order, error) {
	return Order{}, Error.New("down")
}

// newIdleRunner returns a runner that is not started, with three endpoints of each of two versions.
func newIdleRunner(clock func() time.Duration, store Store) *Runner {
	r := NewRunner(RunnerOptions{
		Self: "i", Incarnation: 1, Bounds: CoreOptions{ExposeShare: 0.1, ExposeSlack: 50, RollbackTimeout: 5 * time.Second},
		Members: func() []api.Member { return nil }, Store: store, Clock: clock, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
	})
	for i := range 6 {
		endpoint := registry.Endpoint{ID: api.EndpointID(fmt.Sprint(i)), Incarnation: int64(i/3 + 1), Service: "s", Version: []string{"v1", "v2"}[i/3], Domain: "d"}
		r.ApplyChange(registry.Change{Kind: registry.Added, Endpoint: endpoint})
	}
	return r
}

// Failure: an order is removed while this instance does not coordinate. Guards against the order
// of before being granted when reports return.
func TestRemovedOrderIsNotGrantedOnReturn(t *testing.T) {
	now := time.Hour
	clock := func() time.Duration { return now }
	s := &listStore{orders: []Order{{Service: "s", To: "v2", Duration: time.Hour, Revision: 5, Status: Status{State: StateRunning, To: "v2", Phase: PhaseRamp, Share: 0.5, StartedUnixMS: time.Now().UnixMilli()}}}}
	r := newIdleRunner(clock, s)
	report := Report{Instance: "i", Incarnation: 1, Service: "s"}
	list := func() { o, _, _ := s.ListRollouts(context.Background()); r.replaceOrders(o) }
	r.coordinate(report)
	list()
	if g, _ := r.coordinate(report); g.Share == 0 {
		t.Fatalf("nothing was granted: %+v", g)
	}
	now += 10 * time.Second
	if r.coordinates() {
		t.Fatal("coordinates")
	}
	r.forgetOrders()
	s.orders = nil // removed
	now += time.Minute
	g, _ := r.coordinate(report)
	if g.Share > 0 {
		t.Errorf("before the list: %+v", g)
	}
	list()
	g, _ = r.coordinate(report)
	if g.Share > 0 {
		t.Errorf("after the list without the order: %+v", g)
	}
}

// Failure: a status write is refused late, after a newer order was read. Guards against the return
// of the older order.
func TestLateConflictKeepsTheNewerOrder(t *testing.T) {
	c := NewCore(CoreOptions{ExposeShare: 0.1, ExposeSlack: 50})
	c.Step(0, EndpointsCounted{Service: "s", Engines: map[Version]int{"v1": 3, "v2": 3, "v3": 3}})
	o := Order{Service: "s", To: "v2", Duration: time.Hour, Revision: 7}
	c.Step(0, OrderRead{Order: o, UnixMS: 1e6}) // asks for a write at revision 7
	newer := Order{Service: "s", To: "v3", Duration: time.Hour, Revision: 9}
	c.Step(1, OrderRead{Order: newer, UnixMS: 1e6})
	other := o
	other.Revision, other.Status = 8, Status{State: StateRunning, To: "v2", Phase: PhaseRamp, Share: 0.5, StartedUnixMS: 1e6}
	c.Step(2, StatusConflict{Order: other, Based: 7, UnixMS: 1e6})
	for _, a := range c.Step(3, ReportReceived{Report: Report{Instance: "i", Service: "s"}}) {
		if g := a.(GrantShare).Grant; g.To != "v3" {
			t.Errorf("%+v", g)
		}
	}
}

// Failure: a status write is answered after its order was removed. Guards against a removed order
// that runs again.
func TestWriteAnsweredAfterTheRemovalOfItsOrder(t *testing.T) {
	c := NewCore(CoreOptions{ExposeShare: 0.1, ExposeSlack: 50})
	c.Step(0, EndpointsCounted{Service: "s", Engines: map[Version]int{"v1": 3, "v2": 3}})
	o := Order{Service: "s", To: "v2", Duration: time.Hour, Revision: 7}
	c.Step(0, OrderRead{Order: o, UnixMS: 1e6})
	c.Step(1, OrderRemoved{Service: "s"})
	o.Revision, o.Status = 8, Status{State: StateRunning, To: "v2", Phase: PhaseCanary, StartedUnixMS: 1e6}
	c.Step(2, StatusWritten{Order: o, UnixMS: 1e6})
	for _, a := range c.Step(3, ReportReceived{Report: Report{Instance: "i", Service: "s"}}) {
		if g := a.(GrantShare).Grant; g.To != "" {
			t.Errorf("%+v", g)
		}
	}
}

// Failure: each request crashes the only endpoint of the version. Guards against counts that are
// forgotten while it restarts.
func TestFailuresOutliveTheCrashOfAllEndpoints(t *testing.T) {
	s := NewSelection("i", 1)
	all := twoVersions(1)
	now := time.Duration(0)
	for round := range 10 {
		all[1].Incarnation = int64(100 + round)
		s.SetEndpoints(now, all)
		for n := range 3 {
			out := Outcome{Request: fmt.Sprint(round, n), Endpoint: "e1", Incarnation: all[1].Incarnation, Target: time.Second}
			s.Record(now, "s", "r", "v2", out)
			out.Kind = OutcomeBroken
			s.Record(now+100*time.Millisecond, "s", "r", "v2", out)
		}
		s.EndpointCrashed(now+100*time.Millisecond, "e1", all[1].Incarnation)
		s.SetEndpoints(now+200*time.Millisecond, all[:1])
		s.Reports(now + 1900*time.Millisecond)
		now += 2 * time.Second
	}
	s.SetEndpoints(now, all)
	reports := s.Reports(now + 2*time.Second)
	for _, c := range reports[0].Counts {
		if c.Version == "v2" && c.Failures >= 27 {
			return
		}
	}
	t.Errorf("the failures of the version were lost")
}

// Failure: each request crashes the only endpoint of the version. Guards against its completion.
func TestVersionThatCrashesAtEachRequestIsNotCompleted(t *testing.T) {
	s := NewSelection("i", 1)
	c := NewCore(CoreOptions{ExposeShare: 0.1, ExposeSlack: 50, RollbackTimeout: 5 * time.Second})
	all := twoVersions(2)
	all = all[:3] // two old engines, one new one
	now := time.Hour
	base := now
	s.SetEndpoints(now, all)
	c.Step(now, EndpointsCounted{Service: "s", Engines: map[Version]int{"v1": 2, "v2": 1}})
	o := Order{Service: "s", To: "v2", Duration: 40 * time.Second, Revision: 7, Status: Status{State: StateRunning, To: "v2", Phase: PhaseCanary, StartedUnixMS: 1e9}}
	c.Step(now, OrderRead{Order: o, UnixMS: 1e9})
	up, upAt, inc := true, now, int64(2)
	n, exposed := 0, 0
	state := StateRunning
	type end struct {
		at time.Duration
		o  Outcome
	}
	var ends []end
	for ; now-base < 40*time.Second && state == StateRunning; now += 20 * time.Millisecond {
		if !up && now >= upAt {
			up, inc = true, inc+1
			all[2].Incarnation = inc
			s.SetEndpoints(now, all)
		}
		n++
		id := fmt.Sprint(n)
		version, endpoint := "v1", api.EndpointID("e0")
		if a := s.Allowed(now, "s", id); up && a != nil && a[0] == "v2" {
			version, endpoint = "v2", "e2"
		}
		out := Outcome{Request: id, Endpoint: endpoint, Incarnation: 1, Target: time.Second}
		s.Record(now, "s", "r", version, out)
		if version == "v2" { // each request crashes the engine
			exposed++
			out.Kind = OutcomeBroken
			s.Record(now, "s", "r", version, out)
			s.EndpointCrashed(now, "e2", inc)
			up, upAt = false, now+300*time.Millisecond
			s.SetEndpoints(now, all[:2])
		} else {
			out.Kind = OutcomeCompleted
			ends = append(ends, end{now + 100*time.Millisecond, out})
		}
		for len(ends) > 0 && ends[0].at <= now {
			s.Record(now, "s", "r", "v1", ends[0].o)
			ends = ends[1:]
		}
		engines := map[Version]int{"v1": 2}
		if up {
			engines["v2"] = 1
		}
		c.Step(now, EndpointsCounted{Service: "s", Engines: engines})
		if (now-base)%(500*time.Millisecond) == 0 {
			for _, rep := range s.Reports(now) {
				for _, a := range c.Step(now, ReportReceived{Report: rep}) {
					if g, ok := a.(GrantShare); ok {
						s.SetGrant(now, g.Grant)
					}
				}
			}
		}
		for _, a := range c.Step(now, Tick{}) {
			if d, ok := a.(Decided); ok {
				t.Logf("%v %+v", now-base, d)
				if d.State.Final() {
					state = d.State
				}
			}
		}
	}
	t.Logf("%d requests, %d to the version, all of which crashed its engine; %s after %v", n, exposed, state, now-base)
	if state == StateComplete {
		t.Error("a version that crashes at each request was completed")
	}
}
