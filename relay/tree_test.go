package relay

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// newTreeMembers returns members of a region with 1 to 6 failure domains.
func newTreeMembers(t *rapid.T) []api.Member {
	domains := rapid.IntRange(1, 6).Draw(t, "domains")
	var members []api.Member
	for d := range domains {
		for i := range rapid.IntRange(1, 70).Draw(t, "instances") {
			id := fmt.Sprintf("i-%d-%d", d, i)
			members = append(members, api.Member{
				ID: api.InstanceID(id), Address: id, State: api.MemberAlive,
				Place:    api.Place{Region: "r", FailureDomain: api.FailureDomain(fmt.Sprint(d))},
				LinkMbps: rapid.SampledFrom([]uint32{20, 200}).Draw(t, "link"),
			})
		}
	}
	return members
}

// Guards against instances that read through each other in a circle, and against a chain
// of readers in which data is too old at its end. Each instance knows only a part of the
// members.
func TestReadersFormATree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := newTreeMembers(t)
		tree := readerTree{regionReaders: rapid.Bool().Draw(t, "region readers")}
		parents := make(map[string]string)
		for _, self := range members {
			var known []api.Member
			for _, m := range members {
				if m.ID == self.ID || rapid.IntRange(0, 9).Draw(t, "known") > 0 {
					known = append(known, m)
				}
			}
			parents[self.Address] = tree.find(self, known, func(api.Member) bool { return false }).parent
		}
		for address := range parents {
			hops := 0
			for at := address; at != ""; at = parents[at] {
				if hops++; hops > len(members) {
					t.Fatalf("the chain of readers from %s has a cycle", address)
				}
			}
		}
	})
}

// Guards against an instance whose work grows with the fleet, and against more hops than
// the age of the data allows.
func TestReadersHaveFewFollowers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := newTreeMembers(t)
		tree := readerTree{regionReaders: true}
		parents, followers := make(map[string]string), make(map[string]int)
		serves := make(map[string]bool)
		domains := make(map[api.FailureDomain]int)
		for _, self := range members {
			p := tree.find(self, members, func(api.Member) bool { return false })
			parents[self.Address], serves[self.Address] = p.parent, p.serves
			followers[p.parent]++
			domains[self.FailureDomain]++
		}
		readers := len(domains)
		if readers >= minDomainsForRegionReader {
			readers = 1
		}
		if followers[""] != readers {
			t.Errorf("%d instances read the store, want %d", followers[""], readers)
		}
		for address, count := range followers {
			// The hash of a follower spreads them unevenly.
			if limit := 2*maxFollowers + len(domains); address != "" && count > limit {
				t.Errorf("%d instances read through %s, want at most %d", count, address, limit)
			}
			if address != "" && !serves[address] {
				t.Errorf("%s does not know that others read through it", address)
			}
		}
		for address := range parents {
			hops := 0
			for at := parents[address]; at != ""; at = parents[at] {
				hops++
			}
			if hops > 3 {
				t.Errorf("%s reads the store over %d other instances", address, hops)
			}
		}
	})
}
