package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer"
)

const (
	// maxFollowers is the number of instances that read through one instance, about.
	// The leader of a larger failure domain serves sub-leaders, which serve the others.
	maxFollowers = 16
	// minDomainsForRegionReader is the number of failure domains of a region from which
	// on their leaders read through one of them.
	minDomainsForRegionReader = 3
)

// readerTree decides through which instance an instance reads the store. The instances
// of a region are ordered by the speed of their links and then by rank, and each reads
// through one that comes before it in this order. So there are no cycles, even between
// instances that know different members.
type readerTree struct {
	// regionReaders lets the leaders of the failure domains of a large region read
	// through one of them. Data is older by one more hop then.
	regionReaders bool
}

// position is the place of an instance in the tree.
type position struct {
	// parent is the address of the instance to read through; "" is the store.
	parent string
	// serves says that other instances read through this one.
	serves bool
}

// find returns the position of an instance among the members of its region. Those for
// which excluded returns true are left out.
func (t readerTree) find(self api.Member, members []api.Member, excluded func(api.Member) bool) position {
	domain := []api.Member{self}
	first := make(map[api.FailureDomain]api.Member)
	for _, m := range members {
		if m.ID == self.ID || m.Region != self.Region || m.State != api.MemberAlive || excluded(m) {
			continue
		}
		if m.FailureDomain == self.FailureDomain {
			domain = append(domain, m)
			continue
		}
		if best, ok := first[m.FailureDomain]; !ok || compareReaders(m, best) < 0 {
			first[m.FailureDomain] = m
		}
	}
	slices.SortFunc(domain, compareReaders)
	rank := slices.IndexFunc(domain, func(m api.Member) bool { return m.ID == self.ID })
	subLeaders := subLeaderCount(len(domain))
	p := position{serves: rank == 0 || rank <= subLeaders}
	switch {
	case rank == 0 && t.regionReaders && len(first)+1 >= minDomainsForRegionReader:
		p.parent = regionReader(self, first)
	case rank == 0:
	case rank <= subLeaders || subLeaders == 0:
		p.parent = domain[0].Address
	default:
		p.parent = domain[1+int(xxhash.Sum64String(string(self.ID))%uint64(subLeaders))].Address
	}
	return p
}

// subLeaderCount returns the number of sub-leaders in a failure domain.
func subLeaderCount(instances int) int {
	if instances <= maxFollowers+1 {
		return 0
	}
	return (instances + maxFollowers - 1) / maxFollowers
}

// regionReader returns the address of the first of the leaders of a region, or "" if
// that is the instance itself. leaders are those of the other failure domains.
func regionReader(self api.Member, leaders map[api.FailureDomain]api.Member) string {
	best := self
	for _, m := range leaders {
		if compareReaders(m, best) < 0 {
			best = m
		}
	}
	if best.ID == self.ID {
		return ""
	}
	return best.Address
}

// compareReaders orders instances by the speed of their links, the fastest first, since
// a large configuration would delay callers' requests on a slow one, and then by rank.
func compareReaders(a, b api.Member) int {
	return cmp.Or(
		cmp.Compare(b.LinkMbps, a.LinkMbps),
		cmp.Compare(peer.Score("read", a.ID), peer.Score("read", b.ID)),
		cmp.Compare(a.ID, b.ID),
	)
}
