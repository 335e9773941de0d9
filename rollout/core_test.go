package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// coordinator drives a core whose instances report the counts of two versions.
type coordinator struct {
	*Core
	now  time.Duration
	last Grant
}

func newCoordinator(o Order) *coordinator {
	c := &coordinator{Core: NewCore(CoreOptions{ExposeShare: 0.1, ExposeSlack: 50}), now: time.Hour}
	c.Step(c.now, EndpointsCounted{Service: "s", Engines: map[Version]int{"v1": 20, "v2": 20}})
	if o.Service != "" {
		c.Step(c.now, OrderRead{Order: o, UnixMS: c.now.Milliseconds()})
	}
	return c
}

func testOrder() Order {
	return Order{Service: "s", To: "v2", Duration: 12 * time.Second, Revision: 1}
}

// report lets ten instances report a tenth of the counts each, and returns the writes
// that the following tick asks for.
func (c *coordinator) report(counts ...RouteCounts) []WriteStatus {
	c.now += ReportInterval
	for i := range 10 {
		r := Report{Instance: api.InstanceID(fmt.Sprint(i)), Incarnation: 1, Service: "s", Counts: counts}
		for range 2 { // a report that arrives twice counts once
			c.last = c.Step(c.now, ReportReceived{Report: r})[0].(GrantShare).Grant
		}
	}
	return writes(c.Step(c.now, Tick{}))
}

func writes(actions []Action) []WriteStatus {
	var list []WriteStatus
	for _, a := range actions {
		if w, ok := a.(WriteStatus); ok {
			list = append(list, w)
		}
	}
	return list
}

func counted(version Version, responses, failures uint64) RouteCounts {
	return RouteCounts{Route: "r", Version: version, Sent: responses, Responses: responses, Failures: failures, Latency: [latencyBuckets]uint64{3: responses}}
}

// fail reports failures of the new version until it is reverted.
func (c *coordinator) fail(t *testing.T) {
	t.Helper()
	for i := range uint64(6) {
		c.report(counted("v1", 100*i, 0), counted("v2", 3*i, 2*i))
	}
	if c.last.State != StateReverted || c.last.Share != 0 {
		t.Fatalf("grant of a failing version: %+v", c.last)
	}
}

// TestNoOrderGrantsNothing guards against a share of a coordinator that knows no order.
func TestNoOrderGrantsNothing(t *testing.T) {
	c := newCoordinator(Order{})
	c.report(counted("v1", 100, 0))
	if c.last.To != "" || c.last.Share != 0 {
		t.Fatalf("grant without an order: %+v", c.last)
	}
}

// TestReportsAreNotCountedTwice guards against evidence that grows when a report arrives
// twice, and against counts that are lost when an instance restarts.
func TestReportsAreNotCountedTwice(t *testing.T) {
	c := newCoordinator(testOrder())
	for range 4 {
		c.report(counted("v1", 100, 0), counted("v2", 2, 1))
	}
	r := Report{Instance: "0", Incarnation: 2, Service: "s", Counts: []RouteCounts{counted("v2", 1, 0)}}
	c.Step(c.now, ReportReceived{Report: r})
	all := c.services["s"].reports.totals(c.now, "v2").byRoute[allRoutes]
	if all.new.Sent != 21 || all.new.Failures != 10 || all.old.Sent != 1000 {
		t.Fatalf("totals: %+v", all)
	}
}

// TestRevertStandsWhileStoreIsDown guards against a reverted version that receives
// requests again because the store has no status yet.
func TestRevertStandsWhileStoreIsDown(t *testing.T) {
	c := newCoordinator(testOrder())
	c.fail(t)
	c.Step(c.now, StatusFailed{Service: "s"})
	c.Step(c.now, OrderRead{Order: testOrder(), UnixMS: c.now.Milliseconds()})
	w := c.report(counted("v1", 600, 0), counted("v2", 18, 12))
	if len(w) != 1 || w[0].Status.State != StateReverted || c.last.State != StateReverted {
		t.Fatalf("writes %+v, grant %+v", w, c.last)
	}
	stored := testOrder()
	stored.Revision, stored.Status = 2, w[0].Status
	c.Step(c.now, StatusWritten{Order: stored, UnixMS: c.now.Milliseconds()})
	if w := c.report(); len(w) != 0 {
		t.Fatalf("writes after the final status: %+v", w)
	}
}

// TestFinalStatusOfAnotherCoordinatorWins guards against two coordinators that go on
// with different decisions.
func TestFinalStatusOfAnotherCoordinatorWins(t *testing.T) {
	for _, state := range []State{StateComplete, StateReverted} {
		c := newCoordinator(testOrder())
		if state == StateComplete {
			c.fail(t)
		}
		stored := testOrder()
		stored.Revision, stored.Status = 2, Status{State: state, To: "v2"}
		c.Step(c.now, StatusConflict{Order: stored, UnixMS: c.now.Milliseconds()})
		w := c.report()
		if c.last.State != state || len(w) != 0 {
			t.Fatalf("grant %+v, writes %+v after %s", c.last, w, state)
		}
	}
}

// TestSuccessorContinues guards against a coordinator that starts a rollout anew, or
// repeats one that was reverted, and against a second order for a version that is never
// carried out.
func TestSuccessorContinues(t *testing.T) {
	stored := testOrder()
	stored.Status = Status{State: StateRunning, To: "v2", Phase: PhaseRamp, Share: 0.25, StartedUnixMS: (time.Hour - 8*time.Second).Milliseconds()}
	c := newCoordinator(stored)
	c.report(counted("v1", 50, 0), counted("v2", 10, 0))
	if c.last.Share != 0.25 || c.last.Phase != PhaseRamp {
		t.Fatalf("grant of the successor: %+v", c.last)
	}
	for range 12 { // until 14 s after the start
		c.report(counted("v1", 50, 0), counted("v2", 10, 0))
	}
	if got := c.services["s"].status.State; got != StateComplete {
		t.Fatalf("state at the end: %s", got)
	}

	stored.Status.State = StateReverted
	c = newCoordinator(stored)
	c.report()
	if c.last.State != StateReverted || c.last.Share != 0 {
		t.Fatalf("grant after a revert: %+v", c.last)
	}
	again := testOrder()
	again.Revision = 9
	c.Step(c.now, OrderRead{Order: again, UnixMS: c.now.Milliseconds()})
	c.report()
	if c.last.State != StateRunning {
		t.Fatalf("grant after a second order: %+v", c.last)
	}
}

// TestVersionWithoutEndpointsIsNotCompleted guards against a service that loses its last
// endpoints because a rollout to nothing is completed.
func TestVersionWithoutEndpointsIsNotCompleted(t *testing.T) {
	c := newCoordinator(testOrder())
	c.Step(c.now, EndpointsCounted{Service: "s", Engines: map[Version]int{"v1": 20}})
	for range 40 {
		c.report(counted("v1", 100, 0))
	}
	if c.last.State != StateRunning || c.last.Share != 0 {
		t.Fatalf("grant: %+v", c.last)
	}
}

// TestCutOffCoordinatorDoesNotCompleteUnseenVersion guards against a version that a few
// instances without the store send all requests to although they have no responses.
func TestCutOffCoordinatorDoesNotCompleteUnseenVersion(t *testing.T) {
	c := newCoordinator(testOrder())
	for range 40 {
		c.report(counted("v1", 100, 0))
		c.Step(c.now, StatusFailed{Service: "s"})
	}
	if c.last.State == StateComplete || c.last.Share > 0.1 {
		t.Fatalf("grant: %+v", c.last)
	}
}
