package fleet

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// greedySource fills the whole budget that it is given.
type greedySource struct{ name string }

func (s greedySource) Collect(maxBytes int) *peerpb.Deltas {
	deltas := &peerpb.Deltas{}
	for {
		deltas.Loads = append(deltas.Loads, &peerpb.Load{Endpoint: s.name})
		if proto.Size(deltas) > maxBytes {
			deltas.Loads = deltas.Loads[:len(deltas.Loads)-1]
			return deltas
		}
	}
}

func (greedySource) Merge(*peerpb.Deltas) {}

// oversizedSource ignores the budget.
type oversizedSource struct{ greedySource }

func (s oversizedSource) Collect(int) *peerpb.Deltas {
	return s.greedySource.Collect(10 * maxDeltaBytes)
}

// TestDeltaBudget checks that messages stay within maxDeltaBytes and that no
// source uses up the budget of the others.
func TestDeltaBudget(t *testing.T) {
	budget := &deltaSources{sources: []DeltaSource{greedySource{"a"}, greedySource{"b"}, oversizedSource{greedySource{"c"}}}}
	seen := make(map[string]int)
	for range 30 {
		message := &peerpb.Deltas{}
		budget.collectInto(message)
		if size := proto.Size(message); size > maxDeltaBytes {
			t.Fatalf("message has %d bytes of deltas, want at most %d", size, maxDeltaBytes)
		}
		for _, load := range message.Loads {
			seen[load.Endpoint]++
		}
	}
	if seen["a"] == 0 || seen["b"] == 0 || seen["c"] != 0 {
		t.Fatalf("loads by source: %v, want some of a and b and none of the oversized c", seen)
	}
}
