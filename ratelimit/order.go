package ratelimit

import (
	"math"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/fleet"
	"github.com/hibiscusstair/hibiscusstair/peer"
)

const (
	// rosterInterval is the time between two updates of a roster.
	rosterInterval = time.Second
	// joinTime is the time after its start during which an instance does not count
	// itself among those that grant permits: others do not know it yet and ask
	// another instance.
	joinTime = 3 * time.Second
)

// order is the order in which instances grant the permits of one endpoint, as one
// instance sees it. Instances that know the same members agree on it.
type order struct {
	granters []granter // the live ones, not sorted
	// reachable is the share of the known instances that are live, at most 1. It is
	// 1 while they are the majority.
	reachable float64
}

// granter is an instance with its place in the order; the lowest score comes first.
type granter struct {
	id      api.InstanceID
	address string
	score   uint64
}

func (g granter) before(other granter) bool {
	return g.score < other.score || g.score == other.score && g.id < other.id
}

// roster knows the instances that were live lately.
type roster struct {
	self   api.InstanceID
	recent *fleet.RecentMembers
}

func newRoster(self api.InstanceID) *roster {
	return &roster{self: self, recent: fleet.NewRecentMembers(self, rosterInterval)}
}

// order returns the order for an endpoint. joining says that the other instances do
// not know this one yet.
func (r *roster) order(now time.Duration, e Endpoint, members []api.Member, joining bool) order {
	r.recent.Update(now, members)
	key := "limit/" + string(e.ID)
	o := order{granters: make([]granter, 0, len(members)+1), reachable: 1}
	if !joining {
		o.granters = append(o.granters, granter{id: r.self, score: peer.Score(key, r.self)})
	}
	for i := range members {
		m := &members[i]
		if m.ID != r.self && m.State == api.MemberAlive {
			o.granters = append(o.granters, granter{id: m.ID, address: m.Address, score: peer.Score(key, m.ID)})
		}
	}
	live, known := len(o.granters), r.recent.Count()
	if live*2 <= known && known > 1 {
		o.reachable = float64(max(1, live)) / float64(known)
	}
	return o
}

// first returns the first instance that is eligible, and false if there is none.
func (o order) first(eligible func(granter) bool) (granter, bool) {
	var best granter
	found := false
	for _, g := range o.granters {
		if (!found || g.before(best)) && eligible(g) {
			best, found = g, true
		}
	}
	return best, found
}

// shareOf returns the part of a limit that an instance grants. Each instance after
// the first grants half as much as the one before it, which may live although a
// caller cannot reach it. A minority of the known instances grants its share of the
// limit, since the others may be live too.
func (o order) shareOf(id api.InstanceID) float64 {
	return o.reachable * math.Pow(0.5, float64(o.rankOf(id)))
}

// rankOf returns the number of instances before one. One that is not in the order
// is taken for the second.
func (o order) rankOf(id api.InstanceID) int {
	i := slices.IndexFunc(o.granters, func(g granter) bool { return g.id == id })
	if i < 0 {
		return min(1, len(o.granters))
	}
	rank := 0
	for _, g := range o.granters {
		if g.before(o.granters[i]) {
			rank++
		}
	}
	return rank
}
