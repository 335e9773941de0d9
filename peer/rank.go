package peer

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// Score returns the rendezvous hash of an instance for a key.
func Score(key string, id api.InstanceID) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(string(id))
	return h.Sum64()
}

// Rank returns the instances sorted by their score for the key, lowest first.
// Instances that know the same members agree on their order without communication.
func Rank(key string, ids []api.InstanceID) []api.InstanceID {
	ranked := make([]api.InstanceID, len(ids))
	copy(ranked, ids)
	scores := make(map[api.InstanceID]uint64, len(ids))
	for _, id := range ids {
		scores[id] = Score(key, id)
	}
	sort.Slice(ranked, func(i, j int) bool {
		a, b := scores[ranked[i]], scores[ranked[j]]
		if a != b {
			return a < b
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}
