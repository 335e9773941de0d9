package suspect

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/hibiscusstair/hibiscusstair/api"
	_ "github.com/hibiscusstair/hibiscusstair/internal/testseed"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// checkDetects checks that the property holds for the core, and that it does not
// hold for the core with the mutation.
func checkDetects(t *testing.T, broken mutation, property func(mutation, *rapid.T) error) {
	t.Helper()
	rapid.Check(t, func(rt *rapid.T) {
		if err := property("", rt); err != nil {
			rt.Fatal(err)
		}
	})
	found := false
	rapid.Check(t, func(rt *rapid.T) { found = property(broken, rt) != nil || found })
	if !found {
		t.Errorf("the property does not detect the mutation %s", broken)
	}
}

// TestDomainFailureMarksNothing guards against isolating all content of a
// failure domain that failed as a whole.
func TestDomainFailureMarksNothing(t *testing.T) {
	checkDetects(t, ignoreDomainRule, func(m mutation, rt *rapid.T) error {
		c := NewCore(CoreOptions{mutation: m})
		endpoints := rapid.IntRange(2, 8).Draw(rt, "endpoints")
		at := time.Duration(0)
		var all []api.Digest
		for e := range endpoints {
			var running []api.Digest
			for range rapid.IntRange(0, 5).Draw(rt, "running") {
				running = append(running, content(len(all)))
				all = append(all, running[len(running)-1])
			}
			c.Step(at, EndpointCrashed{Endpoint: api.EndpointID(fmt.Sprint(e)), Domain: "d", Running: running})
			at += time.Duration(rapid.IntRange(0, 1000).Draw(rt, "gap ms")) * time.Millisecond
		}
		for _, digest := range all {
			if c.IsolationLevel(at, digest) != api.IsolationNone {
				return fmt.Errorf("content %x is marked", digest)
			}
		}
		return nil
	})
}

// TestMergeConverges guards against instances that disagree permanently or
// restore stale marks when deltas arrive in different orders.
func TestMergeConverges(t *testing.T) {
	checkDetects(t, ignoreVersions, func(m mutation, rt *rapid.T) error {
		deltas := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) *peerpb.CrashMark {
			digest := content(rapid.IntRange(0, 2).Draw(rt, "digest"))
			return &peerpb.CrashMark{
				ContentDigest: digest[:], Deaths: rapid.Uint32Range(0, 3).Draw(rt, "deaths"),
				Version: rapid.Uint64Range(1, 5).Draw(rt, "version"), Cleared: rapid.Bool().Draw(rt, "cleared"),
			}
		}), 1, 12).Draw(rt, "deltas")
		one, other := NewCore(CoreOptions{mutation: m}), NewCore(CoreOptions{mutation: m})
		for _, mark := range deltas {
			one.Step(0, MarksReceived{Marks: []*peerpb.CrashMark{mark}})
		}
		for _, mark := range rapid.Permutation(deltas).Draw(rt, "order") {
			other.Step(0, MarksReceived{Marks: []*peerpb.CrashMark{mark, mark}})
		}
		for n := range 3 {
			if a, b := one.IsolationLevel(0, content(n)), other.IsolationLevel(0, content(n)); a != b {
				return fmt.Errorf("content %d: isolation level %d at one core, %d at the other", n, a, b)
			}
		}
		return nil
	})
}

// TestCompletedContentIsClear guards against content that stays isolated after it
// completed, at the instance or at its peers.
func TestCompletedContentIsClear(t *testing.T) {
	checkDetects(t, neverClear, func(m mutation, rt *rapid.T) error {
		c, p := NewCore(CoreOptions{mutation: m}), NewCore(CoreOptions{mutation: m})
		at := time.Duration(0)
		for e := range rapid.IntRange(1, 4).Draw(rt, "deaths") {
			c.Step(at, EndpointCrashed{Endpoint: api.EndpointID(fmt.Sprint(e)), Domain: "d", Running: []api.Digest{content(1)}})
			at += 2 * domainFailureWindow
		}
		p.Step(at, MarksReceived{Marks: c.Collect(at, 4096)})
		c.Step(at, ContentCompleted{Digest: content(1)})
		p.Step(at, MarksReceived{Marks: c.Collect(at, 4096)})
		if c.IsolationLevel(at, content(1)) != api.IsolationNone || p.IsolationLevel(at, content(1)) != api.IsolationNone {
			return fmt.Errorf("completed content is still marked")
		}
		return nil
	})
}

// TestSharedCrashesRefuseNoContent guards against refusing harmless content that
// another instance placed on the engine of a poison request each time. Once the
// poison request crashes an engine that does not run the other content, only the
// poison request is refused.
func TestSharedCrashesRefuseNoContent(t *testing.T) {
	checkDetects(t, ignoreSharedCrashes, func(m mutation, rt *rapid.T) error {
		one, other := NewCore(CoreOptions{mutation: m}), NewCore(CoreOptions{mutation: m})
		at := time.Duration(0)
		exchange := func() {
			at += time.Second
			fromOne, fromOther := one.Collect(at, 4096), other.Collect(at, 4096)
			one.Step(at, MarksReceived{Marks: fromOther})
			other.Step(at, MarksReceived{Marks: fromOne})
			at += refusalDelay
		}
		poison, harmless := content(1), content(2)
		for e := range 3 {
			lag := time.Duration(rapid.IntRange(0, 200).Draw(rt, "lag ms")) * time.Millisecond
			one.Step(at, EndpointCrashed{Endpoint: api.EndpointID(fmt.Sprint(e)), Domain: "d", Running: []api.Digest{poison}})
			other.Step(at+lag, EndpointCrashed{Endpoint: api.EndpointID(fmt.Sprint(e)), Domain: "d", Running: []api.Digest{harmless}})
			exchange()
		}
		for _, c := range []*Core{one, other} {
			if c.IsolationLevel(at, poison) != api.IsolationExclusive || c.IsolationLevel(at, harmless) != api.IsolationExclusive {
				return fmt.Errorf("poison request at level %d, harmless content at level %d after shared crashes", c.IsolationLevel(at, poison), c.IsolationLevel(at, harmless))
			}
		}
		one.Step(at, EndpointCrashed{Endpoint: "last", Domain: "d", Running: []api.Digest{poison}})
		exchange()
		for _, c := range []*Core{one, other} {
			if c.IsolationLevel(at, poison) != api.IsolationRefused || c.IsolationLevel(at, harmless) == api.IsolationRefused {
				return fmt.Errorf("poison request at level %d, harmless content at level %d after a crash by the poison request alone", c.IsolationLevel(at, poison), c.IsolationLevel(at, harmless))
			}
		}
		return nil
	})
}

// TestCollectKeepsToSize guards against marks that are counted as sent in a message that
// is dropped because it is too large.
func TestCollectKeepsToSize(t *testing.T) {
	const marks, maxBytes = 30, 200
	one, other := NewCore(CoreOptions{}), NewCore(CoreOptions{})
	for n := range marks {
		one.Step(0, EndpointCrashed{Endpoint: api.EndpointID(fmt.Sprint(n)), Domain: api.FailureDomain(fmt.Sprint(n)), Running: []api.Digest{content(n)}})
	}
	for range marks * gossipSends {
		deltas := &peerpb.Deltas{Marks: one.Collect(0, maxBytes)}
		if size := proto.Size(deltas); size > maxBytes {
			t.Fatalf("message of %d bytes, want at most %d", size, maxBytes)
		}
		other.Step(0, MarksReceived{Marks: deltas.Marks})
	}
	if other.Len() != marks {
		t.Fatalf("%d of %d marks received", other.Len(), marks)
	}
}
