package placement

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// peerTTL is how long an instance is counted after its last delta.
	peerTTL = 30 * time.Second
	// peakTTL is how long the share of the link is computed from the former
	// number of instances after that number dropped. Otherwise an instance that
	// lost contact with its peers would use the whole budget.
	peakTTL = 10 * time.Minute
	// maxTrackedInstances bounds the table, so that a faulty peer cannot fill the
	// memory with instance identifiers.
	maxTrackedInstances = 4096
)

// fleetSize tracks the number of live instances. Without a source it counts the
// instances that sent deltas recently.
type fleetSize struct {
	liveInstances func() int
	lastDeltaAt   map[api.InstanceID]time.Duration
	peakCount     int
	peakAt        time.Duration
}

func newFleetSize(instances func() int) fleetSize {
	return fleetSize{liveInstances: instances, lastDeltaAt: make(map[api.InstanceID]time.Duration)}
}

// recordSenders records the instances that the loads of a delta come from.
func (f *fleetSize) recordSenders(now time.Duration, loads []PeerLoad) {
	if f.liveInstances != nil {
		return
	}
	for _, load := range loads {
		if _, known := f.lastDeltaAt[load.Instance]; known || len(f.lastDeltaAt) < maxTrackedInstances {
			f.lastDeltaAt[load.Instance] = now
		}
	}
}

// count returns the number of live instances, including this one.
func (f *fleetSize) count(now time.Duration) int {
	if f.liveInstances != nil {
		return max(1, f.liveInstances())
	}
	for id, at := range f.lastDeltaAt {
		if now-at > peerTTL {
			delete(f.lastDeltaAt, id)
		}
	}
	return 1 + len(f.lastDeltaAt)
}

// peak returns the highest count within about the last peakTTL.
func (f *fleetSize) peak(now time.Duration) int {
	count := f.count(now)
	if count >= f.peakCount || now-f.peakAt > peakTTL {
		f.peakCount = count
		f.peakAt = now
	}
	return f.peakCount
}
