package rollout

import "time"

// latencyBounds are the upper bounds of the buckets of a latency histogram but the last,
// relative to the latency target of the route. A factor of two separates a version
// that is several times slower from the spread of one that is not.
var latencyBounds = [latencyBuckets - 1]float64{1. / 16, 1. / 8, 1. / 4, 1. / 2, 1, 2, 4}

// defaultTarget replaces the latency target of a route that has none.
const defaultTarget = 4 * time.Second

// latencyBucket returns the bucket of a latency.
func latencyBucket(latency, target time.Duration) int {
	if target <= 0 {
		target = defaultTarget
	}
	relative := float64(latency) / float64(target)
	for i, bound := range latencyBounds {
		if relative < bound {
			return i
		}
	}
	return latencyBuckets - 1
}
