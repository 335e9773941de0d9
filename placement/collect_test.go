package placement

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// TestCollectLoadsKeepsToSize guards against loads that are counted as sent in a message
// that is dropped because it is too large.
func TestCollectLoadsKeepsToSize(t *testing.T) {
	const endpoints, maxBytes = 30, 200
	core, _ := benchCore(endpoints)
	for _, e := range core.sortedEndpoints {
		e.publishedLoad = publishedLoad{load: PeerLoad{Endpoint: e.config.ID, Instance: "i1", Version: 1}, remainingSends: 2}
	}
	received := make(map[api.EndpointID]bool)
	for range 2 * endpoints {
		deltas := &peerpb.Deltas{}
		for _, load := range core.CollectLoads(maxBytes) {
			received[load.Endpoint] = true
			deltas.Loads = append(deltas.Loads, encodeLoad(load))
		}
		if size := proto.Size(deltas); size > maxBytes {
			t.Fatalf("message of %d bytes, want at most %d", size, maxBytes)
		}
	}
	if len(received) != endpoints {
		t.Fatalf("loads of %d of %d endpoints received", len(received), endpoints)
	}
}
