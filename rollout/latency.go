package rollout

import "time"

// latencyBounds are the upper bounds of the buckets of a latency histogram but the last,
// relative to the latency target of the route. Responses usually begin after 0.2 to 0.4
// of the target; there the bounds are a factor of 1.5 apart, which separates a version
// that is several times slower from the spread of one that is not.
var latencyBounds = [latencyBuckets - 1]float64{1. / 32, 1. / 12, 0.2, 0.3, 0.45, 0.7, 1.2}

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
