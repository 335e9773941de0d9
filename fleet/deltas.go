package fleet

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// maxDeltaBytes limits what all delta sources together add to one message. The
// idle traffic of an instance is to stay below 7 KB/s. At about 16 sent and received
// messages per second that leaves about 200 bytes per message besides HTTP headers
// and member entries.
const maxDeltaBytes = 200

// deltaSources collects the changes of all delta sources for a message and distributes
// received changes to them.
type deltaSources struct {
	sources    []DeltaSource
	nextSource atomic.Uint64
}

// collectInto adds the sources' changes to the message. Each message starts with the
// next source in turn, so that no source uses up the budget of the others.
func (d *deltaSources) collectInto(into *peerpb.Deltas) {
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
		if size > remainingBytes { // the source does not keep to the limit
			continue
		}
		remainingBytes -= size
		proto.Merge(into, add)
	}
}

// snapshotInto adds the whole state of the sources that provide it.
func (d *deltaSources) snapshotInto(into *peerpb.Deltas) {
	for _, source := range d.sources {
		if s, ok := source.(Snapshotter); ok && into != nil {
			proto.Merge(into, s.Snapshot())
		}
	}
}

// distribute passes the changes of a received message to all sources.
func (d *deltaSources) distribute(from *peerpb.Deltas) {
	if from == nil {
		return
	}
	for _, source := range d.sources {
		source.Merge(from)
	}
}
