package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/fleet"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// TestMinorityIsNoMajority guards against an instance that decides alone, or with a few
// others that are cut off with it, what only the fleet can know.
func TestMinorityIsNoMajority(t *testing.T) {
	states := func(list ...api.MemberState) []api.Member {
		members := []api.Member{{ID: "self", State: api.MemberAlive}}
		for i, state := range list {
			members = append(members, api.Member{ID: api.InstanceID(fmt.Sprint("m", i)), State: state})
		}
		return members
	}
	alive, suspect, dead, left := api.MemberAlive, api.MemberSuspect, api.MemberDead, api.MemberLeft
	for name, c := range map[string]struct {
		before, now []api.Member
		after       time.Duration
		want        bool
	}{
		"no other known":        {states(), states(), time.Second, false},
		"all alive":             {states(alive, alive), states(alive, alive), time.Second, true},
		"others suspect":        {states(alive, alive), states(suspect, suspect), time.Second, false},
		"one of two others":     {states(alive, alive), states(alive, dead), time.Second, true},
		"half":                  {states(alive, alive, alive), states(alive, dead, suspect), time.Second, false},
		"others left":           {states(alive, alive, alive, alive), states(alive, left, left, left), time.Second, true},
		"others died long ago":  {states(alive, alive, alive, alive), states(alive, dead, dead, dead), time.Hour, true},
		"all others died early": {states(alive, alive), states(dead, dead), time.Hour, false},
	} {
		recent := fleet.NewRecentMembers("self", 0)
		recent.Update(time.Second, c.before)
		recent.Update(time.Second+c.after, c.now)
		if have := recent.HasMajority(); have != c.want {
			t.Errorf("%s: majority %v, want %v", name, have, c.want)
		}
	}
}

// TestIsolatedInstanceHasNoNeighbours guards against an isolated instance of a large fleet
// that counts members as reachable which it has not asked.
func TestIsolatedInstanceHasNoNeighbours(t *testing.T) {
	d := newCoreDriver()
	if d.core.Status(d.now).NeighboursInContact != true {
		t.Error("both neighbours were in contact, but do not count")
	}
	d.now += 2 * time.Second
	d.receive("b", testMember("b", peerpb.MemberState_MEMBER_STATE_ALIVE))
	if d.core.Status(d.now).NeighboursInContact {
		t.Error("one of two neighbours counts as most of them")
	}
}
