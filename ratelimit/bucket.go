package ratelimit

import "time"

const (
	// burstTime times the rate is the number of permits that an idle endpoint
	// saves up, but at least minBurst: an instance that is told to ask again may have
	// no request at that time.
	burstTime = 500 * time.Millisecond
	minBurst  = 2.0
	// maxWait bounds the advice when to ask again. Callers give up a request
	// that may be retried after a second or two.
	maxWait = 2 * time.Second
)

// bucket is the token bucket of one endpoint. It starts empty when the limit begins,
// also at instances that do not grant its permits: an endpoint that was idle gets
// its next request at once whichever instance then grants.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
	// nextSlot is the time that the next instance which is not granted a permit is
	// told to ask again. The times are a token apart, so that instances return one
	// after the other.
	nextSlot time.Duration
}

func newBucket(now time.Duration) *bucket { return &bucket{updatedAt: now} }

// take takes a permit at a rate in requests per second.
func (b *bucket) take(now time.Duration, rate float64) Decision {
	burst := max(minBurst, rate*burstTime.Seconds())
	b.tokens = min(burst, b.tokens+rate*max(0, now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens >= 1 {
		b.tokens--
		return Decision{Granted: true}
	}
	perToken := time.Duration(float64(time.Second) / rate)
	refilled := now + time.Duration((1-b.tokens)*float64(perToken))
	slot := min(max(refilled, b.nextSlot), now+maxWait)
	b.nextSlot = slot + perToken
	return Decision{Wait: max(time.Millisecond, slot-now)}
}
