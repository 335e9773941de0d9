package rollout

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// twoVersions returns n endpoints each of v1 and the later v2, in domains a and b.
func twoVersions(n int) []Endpoint {
	var list []Endpoint
	for i := range 2 * n {
		version := Version(fmt.Sprint("v", 1+i/n))
		list = append(list, Endpoint{
			ID: api.EndpointID(fmt.Sprint("e", i)), Incarnation: int64(1 + i/n), Service: "s", Version: version,
			Domain: api.FailureDomain([]string{"a", "b"}[i%2]),
		})
	}
	return list
}

func running(share float64) Grant {
	return Grant{Service: "s", To: "v2", Phase: PhaseCanary, Share: share, State: StateRunning, ValidFor: GrantLifetime}
}

// newVersionShare returns the share of 10,000 requests that may go to v2.
func newVersionShare(t *testing.T, s *Selection, now time.Duration) float64 {
	t.Helper()
	n := 0
	for i := range 10_000 {
		allowed := s.Allowed(now, "s", fmt.Sprint(i))
		if len(allowed) != 1 || allowed[0] != "v1" && allowed[0] != "v2" {
			t.Fatalf("allowed %v", allowed)
		}
		if allowed[0] == "v2" {
			n++
		}
	}
	return float64(n) / 10_000
}

// TestCutOffInstanceUsesBaseVersion guards against requests to the new version from an
// instance that has no valid grant.
func TestCutOffInstanceUsesBaseVersion(t *testing.T) {
	s := NewSelection("i", 1)
	s.SetEndpoints(0, twoVersions(10))
	if got := newVersionShare(t, s, 0); got != 0 {
		t.Fatalf("share without a grant: %v", got)
	}
	s.SetGrant(0, running(0.3))
	if got := newVersionShare(t, s, GrantLifetime-1); got < 0.28 || got > 0.32 {
		t.Fatalf("share with a grant of 0.3: %v", got)
	}
	if got := newVersionShare(t, s, GrantLifetime); got != 0 {
		t.Fatalf("share with an expired grant: %v", got)
	}
	s.SetGrant(5*time.Second, Grant{Service: "s", To: "v2", State: StateReverted, ValidFor: GrantLifetime})
	if got := newVersionShare(t, s, 5*time.Second); got != 0 {
		t.Fatalf("share after a revert: %v", got)
	}
	s.SetGrant(8*time.Second, Grant{Service: "s", To: "v2", State: StateComplete, Share: 1, ValidFor: GrantLifetime})
	if got := newVersionShare(t, s, time.Hour); got != 1 {
		t.Fatalf("share after completion: %v", got)
	}
}

// TestVersionWithoutOrderReceivesNothing guards against requests to a version that no
// rollout has allowed, also after the revert of another one and after the endpoints of
// the old version have restarted.
func TestVersionWithoutOrderReceivesNothing(t *testing.T) {
	s := NewSelection("i", 1)
	endpoints := twoVersions(3)
	s.SetEndpoints(0, endpoints[:3])
	if got := s.Allowed(0, "s", "r"); got != nil {
		t.Fatalf("one version is restricted to %v", got)
	}
	third := Endpoint{ID: "x", Incarnation: 3, Service: "s", Version: "v3"}
	for i := range 3 {
		endpoints[i].Incarnation = 9
	}
	s.SetEndpoints(0, append(endpoints, third))
	s.SetGrant(0, Grant{Service: "s", To: "v2", State: StateReverted, ValidFor: GrantLifetime})
	for _, now := range []time.Duration{0, time.Hour} {
		if got := newVersionShare(t, s, now); got != 0 {
			t.Fatalf("share at %v: %v", now, got)
		}
	}
	s.SetEndpoints(0, endpoints[3:])
	if got := s.Allowed(0, "s", "r"); got != nil {
		t.Fatalf("the only version left is restricted to %v", got)
	}
}

// TestInstancesAgreeOnCanary guards against a canary that is spread over all endpoints
// because each instance chooses others, and against requests that change versions when
// the share grows.
func TestInstancesAgreeOnCanary(t *testing.T) {
	one, other := NewSelection("i", 1), NewSelection("j", 1)
	endpoints := twoVersions(20)
	one.SetEndpoints(0, endpoints)
	slices.Reverse(endpoints)
	other.SetEndpoints(0, endpoints)
	g := running(0.1)
	g.CanaryEngines = 4
	one.SetGrant(0, g)
	other.SetGrant(0, g)
	if !maps.Equal(one.Excluded("s"), other.Excluded("s")) || len(one.Excluded("s")) != 16 {
		t.Fatalf("excluded: %v and %v", one.Excluded("s"), other.Excluded("s"))
	}
	other.SetGrant(0, running(0.5))
	for i := range 1000 {
		id := fmt.Sprint(i)
		if one.Allowed(0, "s", id)[0] == "v2" && other.Allowed(0, "s", id)[0] != "v2" {
			t.Fatalf("request %s leaves the new version at a larger share", id)
		}
	}
	if got := one.Continue("s", "v2"); !slices.Equal(got, []string{"v2"}) {
		t.Fatalf("continuation of v2 on %v", got)
	}
	if got := one.Continue("s", "v0"); !slices.Equal(got, []string{"v1"}) {
		t.Fatalf("continuation of a version that is gone on %v", got)
	}
}

// TestDomainCrashIsNoFailure guards against a version that is blamed for the crash of a
// failure domain, and against one that is excused although it crashes its endpoints.
func TestDomainCrashIsNoFailure(t *testing.T) {
	for _, test := range []struct {
		name    string
		crashed []int // endpoints; 0 to 9 are v1, the others v2; even ones are in domain a
		failed  uint64
	}{
		{"domain", []int{0, 2, 10, 12}, 0},
		{"one endpoint", []int{10}, 1},
		{"one version in a domain with both", []int{10, 12, 14, 16}, 1},
		{"other domain", []int{1, 3, 11, 10}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := NewSelection("i", 1)
			endpoints := twoVersions(10)
			s.SetEndpoints(0, endpoints)
			out := Outcome{Request: "r", Endpoint: "e10", Incarnation: 2}
			s.Record(0, "s", "route", "v2", out)
			out.Kind = OutcomeBroken
			s.Record(time.Second, "s", "route", "v2", out)
			for _, i := range test.crashed {
				s.EndpointCrashed(1500*time.Millisecond, endpoints[i].ID, endpoints[i].Incarnation)
			}
			if c := s.Reports(1900 * time.Millisecond)[0].Counts[0]; c.Failures+c.Crashed != 0 || c.Running != 0 {
				t.Fatalf("counted too early: %+v", c)
			}
			c := s.Reports(3 * time.Second)[0].Counts[0]
			if c.Failures != test.failed || c.Crashed != 1-test.failed || c.Sent != 1 {
				t.Fatalf("counts: %+v", c)
			}
		})
	}
}

// TestWaitingRequestsAreReported guards against a slow version that is found only when
// its responses arrive, and against refusals that count as failures.
func TestWaitingRequestsAreReported(t *testing.T) {
	s := NewSelection("i", 1)
	s.SetEndpoints(0, twoVersions(3))
	out := Outcome{Request: "slow", Endpoint: "e4", Target: 4 * time.Second}
	s.Record(0, "s", "route", "v2", out)
	out.Request = "refused"
	s.Record(0, "s", "route", "v2", out)
	out.Kind = OutcomeRefused
	s.Record(0, "s", "route", "v2", out)
	c := s.Reports(2 * time.Second)[0].Counts[0]
	if c.Latency != [latencyBuckets]uint64{5: 1} || c.Responses != 0 || c.Failures != 0 || c.Running != 1 {
		t.Fatalf("counts: %+v", c)
	}
	s.Record(4*time.Second, "s", "route", "v2", Outcome{Kind: OutcomeStarted, Request: "slow"})
	c = s.Reports(20 * time.Second)[0].Counts[0]
	if c.Latency != [latencyBuckets]uint64{6: 1} || c.Responses != 1 {
		t.Fatalf("counts: %+v", c)
	}
}
