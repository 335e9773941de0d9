package placement

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// peerLifetime is how long an instance counts after its last delta.
	peerLifetime = 30 * time.Second
	// peakLifetime is how long the link's share is held after the fleet seems
	// to shrink. An instance that lost contact with its peers would otherwise
	// take the whole budget.
	peakLifetime = 10 * time.Minute
	// maxInstances bounds the table against a faulty peer.
	maxInstances = 4096
)

// fleet estimates the number of instances.
type fleet struct {
	instances func() int
	last      map[api.InstanceID]time.Duration
	highest   int
	highestAt time.Duration
}

func newFleet(instances func() int) fleet {
	return fleet{instances: instances, last: make(map[api.InstanceID]time.Duration)}
}

func (f *fleet) seen(now time.Duration, loads []PeerLoad) {
	if f.instances != nil {
		return
	}
	for _, load := range loads {
		if _, known := f.last[load.Instance]; known || len(f.last) < maxInstances {
			f.last[load.Instance] = now
		}
	}
}

// count returns the number of instances, this one included.
func (f *fleet) count(now time.Duration) int {
	if f.instances != nil {
		return max(1, f.instances())
	}
	for id, at := range f.last {
		if now-at > peerLifetime {
			delete(f.last, id)
		}
	}
	return 1 + len(f.last)
}

// peak returns the highest number of instances of the last while.
func (f *fleet) peak(now time.Duration) int {
	count := f.count(now)
	if count >= f.highest || now-f.highestAt > peakLifetime {
		f.highest = count
		f.highestAt = now
	}
	return f.highest
}
