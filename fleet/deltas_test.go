package fleet

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// greedySource offers as many loads as it may.
type greedySource struct{ name string }

func (s greedySource) Collect(max int) *peerpb.Deltas {
	deltas := &peerpb.Deltas{}
	for {
		deltas.Loads = append(deltas.Loads, &peerpb.Load{Endpoint: s.name})
		if proto.Size(deltas) > max {
			deltas.Loads = deltas.Loads[:len(deltas.Loads)-1]
			return deltas
		}
	}
}

func (greedySource) Merge(*peerpb.Deltas) {}

// oversized ignores the budget.
type oversized struct{ greedySource }

func (s oversized) Collect(int) *peerpb.Deltas { return s.greedySource.Collect(10 * deltaBytes) }

// TestDeltaBudget guards against control traffic above its bound and against a
// source that uses up the budget of the others.
func TestDeltaBudget(t *testing.T) {
	budget := &deltaBudget{sources: []DeltaSource{greedySource{"a"}, greedySource{"b"}, oversized{greedySource{"c"}}}}
	seen := make(map[string]int)
	for range 30 {
		message := &peerpb.Deltas{}
		budget.attach(message)
		if size := proto.Size(message); size > deltaBytes {
			t.Fatalf("%d bytes of deltas, allowed are %d", size, deltaBytes)
		}
		for _, load := range message.Loads {
			seen[load.Endpoint]++
		}
	}
	if seen["a"] == 0 || seen["b"] == 0 || seen["c"] != 0 {
		t.Fatalf("loads by source: %v", seen)
	}
}
