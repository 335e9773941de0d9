package placement

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// peerTTL is how long an instance is counted after its last load observation
	// was received.
	peerTTL = 30 * time.Second
	// peakTTL is how long the share of the link is still computed from the highest
	// number of instances after the number has dropped. Otherwise an instance that
	// lost contact with its peers would use the whole budget.
	peakTTL = 10 * time.Minute
	// maxTrackedInstances bounds the table, so that a faulty peer cannot fill the
	// memory with instance identifiers.
	maxTrackedInstances = 4096
)

// fleetSize tracks the number of live instances. If liveInstances is nil, it counts
// the instances whose load observations were received within peerTTL.
type fleetSize struct {
	liveInstances func() int
	lastSeenAt    map[api.InstanceID]time.Duration
	peakCount     int
	peakAt        time.Duration
}

func newFleetSize(instances func() int) fleetSize {
	return fleetSize{liveInstances: instances, lastSeenAt: make(map[api.InstanceID]time.Duration)}
}

// recordObservers records the instances that observed the loads.
func (f *fleetSize) recordObservers(now time.Duration, loads []PeerLoad) {
	if f.liveInstances != nil {
		return
	}
	for _, load := range loads {
		if _, known := f.lastSeenAt[load.Instance]; known || len(f.lastSeenAt) < maxTrackedInstances {
			f.lastSeenAt[load.Instance] = now
		}
	}
}

// count returns the number of live instances, including this one.
func (f *fleetSize) count(now time.Duration) int {
	if f.liveInstances != nil {
		return max(1, f.liveInstances())
	}
	for id, at := range f.lastSeenAt {
		if now-at > peerTTL {
			delete(f.lastSeenAt, id)
		}
	}
	return 1 + len(f.lastSeenAt)
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
