package limits

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// TestCollectKeepsToSize guards against usage that is counted as sent in a message that is
// dropped because it is too large.
func TestCollectKeepsToSize(t *testing.T) {
	const accounts, maxBytes = 30, 200
	core, _ := benchCore(accounts, 1)
	received := make(map[api.AccountID]bool)
	now := time.Second
	for range accounts * gossipSends {
		now += publishInterval
		deltas := &peerpb.Deltas{}
		for _, usage := range core.Collect(now, usageBudget(maxBytes)) {
			received[usage.Account] = true
			deltas.Usage = append(deltas.Usage, encodeUsage(usage))
		}
		if size := proto.Size(deltas); size > maxBytes {
			t.Fatalf("message of %d bytes, want at most %d", size, maxBytes)
		}
	}
	if len(received) != accounts {
		t.Fatalf("usage of %d of %d accounts received", len(received), accounts)
	}
}

// atMost returns a function that takes the given number of entries.
func atMost(count int) func(PeerUsage) bool {
	return func(PeerUsage) bool { count--; return count >= 0 }
}
