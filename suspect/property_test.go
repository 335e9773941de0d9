package suspect

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusstair/hibiscusstair/api"
	_ "github.com/hibiscusstair/hibiscusstair/internal/testseed"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// catches runs the property on the real core and on a wrong variant, which it
// has to reject.
func catches(t *testing.T, wrong variant, property func(variant, *rapid.T) error) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) {
		if err := property("", rt); err != nil {
			rt.Fatal(err)
		}
	})
	found := false
	rapid.Check(t, func(rt *rapid.T) { found = property(wrong, rt) != nil || found })
	if !found {
		t.Errorf("the property does not catch %s", wrong)
	}
}

// TestDomainFailureMarksNothing guards against isolating all content of a
// failure domain that died as a whole.
func TestDomainFailureMarksNothing(t *testing.T) {
	catches(t, ignoreDomainRule, func(v variant, rt *rapid.T) error {
		c := NewCore(Options{variant: v})
		endpoints := rapid.IntRange(2, 8).Draw(rt, "endpoints")
		at := time.Duration(0)
		var all []api.Digest
		for e := range endpoints {
			var running []api.Digest
			for range rapid.IntRange(0, 5).Draw(rt, "running") {
				running = append(running, content(len(all)))
				all = append(all, running[len(running)-1])
			}
			c.Step(at, Died{Endpoint: api.EndpointID(fmt.Sprint(e)), Domain: "d", Running: running})
			at += time.Duration(rapid.IntRange(0, 1000).Draw(rt, "gap ms")) * time.Millisecond
		}
		for _, digest := range all {
			if c.Level(at, digest) != api.IsolationNone {
				return fmt.Errorf("content %x is marked", digest)
			}
		}
		return nil
	})
}

// TestMergeConverges guards against instances that disagree for ever, or that
// bring back stale marks, when deltas arrive in different orders.
func TestMergeConverges(t *testing.T) {
	catches(t, ignoreVersions, func(v variant, rt *rapid.T) error {
		deltas := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) *peerpb.CrashMark {
			digest := content(rapid.IntRange(0, 2).Draw(rt, "digest"))
			return &peerpb.CrashMark{
				ContentDigest: digest[:], Deaths: rapid.Uint32Range(0, 3).Draw(rt, "deaths"),
				Version: rapid.Uint64Range(1, 5).Draw(rt, "version"), Cleared: rapid.Bool().Draw(rt, "cleared"),
			}
		}), 1, 12).Draw(rt, "deltas")
		one, other := NewCore(Options{variant: v}), NewCore(Options{variant: v})
		for _, m := range deltas {
			one.Step(0, Merged{Marks: []*peerpb.CrashMark{m}})
		}
		for _, m := range rapid.Permutation(deltas).Draw(rt, "order") {
			other.Step(0, Merged{Marks: []*peerpb.CrashMark{m, m}})
		}
		for n := range 3 {
			if a, b := one.Level(0, content(n)), other.Level(0, content(n)); a != b {
				return fmt.Errorf("content %d: %d and %d", n, a, b)
			}
		}
		return nil
	})
}

// TestCompletedContentIsClear guards against innocents that stay isolated
// after they completed, on the instance or on its peers.
func TestCompletedContentIsClear(t *testing.T) {
	catches(t, neverClear, func(v variant, rt *rapid.T) error {
		c, p := NewCore(Options{variant: v}), NewCore(Options{variant: v})
		at := time.Duration(0)
		for e := range rapid.IntRange(1, 4).Draw(rt, "deaths") {
			c.Step(at, Died{Endpoint: api.EndpointID(fmt.Sprint(e)), Domain: "d", Running: []api.Digest{content(1)}})
			at += 2 * domainWindow
		}
		p.Step(at, Merged{Marks: c.Collect(at, 10)})
		c.Step(at, Completed{Digest: content(1)})
		p.Step(at, Merged{Marks: c.Collect(at, 10)})
		if c.Level(at, content(1)) != api.IsolationNone || p.Level(at, content(1)) != api.IsolationNone {
			return fmt.Errorf("completed content is still marked")
		}
		return nil
	})
}

// TestSharedDeathsRefuseNobody guards against refusing an innocent content
// that another instance placed beside a poison request each time. Once the
// poison request dies without the other, it is refused, and only it.
func TestSharedDeathsRefuseNobody(t *testing.T) {
	catches(t, neverDoubt, func(v variant, rt *rapid.T) error {
		one, other := NewCore(Options{variant: v}), NewCore(Options{variant: v})
		at := time.Duration(0)
		exchange := func() {
			at += time.Second
			fromOne, fromOther := one.Collect(at, 100), other.Collect(at, 100)
			one.Step(at, Merged{Marks: fromOther})
			other.Step(at, Merged{Marks: fromOne})
			at += settleTime
		}
		poison, innocent := content(1), content(2)
		for e := range 3 {
			lag := time.Duration(rapid.IntRange(0, 200).Draw(rt, "lag ms")) * time.Millisecond
			one.Step(at, Died{Endpoint: api.EndpointID(fmt.Sprint(e)), Domain: "d", Running: []api.Digest{poison}})
			other.Step(at+lag, Died{Endpoint: api.EndpointID(fmt.Sprint(e)), Domain: "d", Running: []api.Digest{innocent}})
			exchange()
		}
		for _, c := range []*Core{one, other} {
			if c.Level(at, poison) != api.IsolationAlone || c.Level(at, innocent) != api.IsolationAlone {
				return fmt.Errorf("levels %d and %d after shared deaths", c.Level(at, poison), c.Level(at, innocent))
			}
		}
		one.Step(at, Died{Endpoint: "last", Domain: "d", Running: []api.Digest{poison}})
		exchange()
		for _, c := range []*Core{one, other} {
			if c.Level(at, poison) != api.IsolationRefused || c.Level(at, innocent) == api.IsolationRefused {
				return fmt.Errorf("levels %d and %d after a death alone", c.Level(at, poison), c.Level(at, innocent))
			}
		}
		return nil
	})
}
