package fleet

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// deltaBytes is what the other slices may add to one message. An instance sends
// and receives about 16 messages a second, so that 7 KB a second leave about
// 200 bytes for each besides headers and member entries.
const deltaBytes = 200

// deltaBudget divides the bytes of a message among the sources.
type deltaBudget struct {
	sources []DeltaSource
	turn    atomic.Uint64
}

// attach adds the sources' changes to the message. The source that goes first
// changes with each message, so that none uses up the budget of the others.
func (d *deltaBudget) attach(into *peerpb.Deltas) {
	if len(d.sources) == 0 || into == nil {
		return
	}
	first := int(d.turn.Add(1) % uint64(len(d.sources)))
	left := deltaBytes
	for i := range d.sources {
		source := d.sources[(first+i)%len(d.sources)]
		add := source.Collect(left)
		if add == nil {
			continue
		}
		size := proto.Size(add)
		if size > left {
			continue
		}
		left -= size
		proto.Merge(into, add)
	}
}

func (d *deltaBudget) merge(from *peerpb.Deltas) {
	if from == nil {
		return
	}
	for _, source := range d.sources {
		source.Merge(from)
	}
}
