package fleet

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// maxDeltaBytes limits what all delta sources together add to one message. An
// instance sends and receives about 16 messages per second; at 7 KB/s, about
// 200 bytes per message remain besides headers and member entries.
const maxDeltaBytes = 200

// deltaBudget divides maxDeltaBytes of a message among the delta sources.
type deltaBudget struct {
	sources    []DeltaSource
	nextSource atomic.Uint64
}

// attach adds the sources' changes to the message. Each message starts with the
// next source in turn, so that no source uses up the budget of the others.
func (d *deltaBudget) attach(into *peerpb.Deltas) {
	if len(d.sources) == 0 || into == nil {
		return
	}
	first := int(d.nextSource.Add(1) % uint64(len(d.sources)))
	remainingBytes := maxDeltaBytes
	for i := range d.sources {
		source := d.sources[(first+i)%len(d.sources)]
		add := source.Collect(remainingBytes)
		if add == nil {
			continue
		}
		size := proto.Size(add)
		if size > remainingBytes {
			continue
		}
		remainingBytes -= size
		proto.Merge(into, add)
	}
}

// merge passes the changes of a received message to all sources.
func (d *deltaBudget) merge(from *peerpb.Deltas) {
	if from == nil {
		return
	}
	for _, source := range d.sources {
		source.Merge(from)
	}
}
