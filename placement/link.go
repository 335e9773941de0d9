package placement

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// linkBurstTime determines the capacity of the bucket: what the link transfers
	// in this time.
	linkBurstTime = 2 * time.Second
	// recoveryReserveShare is the share of the bucket that only continuations may
	// use.
	recoveryReserveShare = 0.5
)

// linkBucket is a token bucket for the bytes sent over the billed link.
type linkBucket struct {
	bytesPerSecond float64
	availableBytes float64
	refilledAt     time.Duration
}

func newLinkBucket(rate float64) linkBucket {
	return linkBucket{bytesPerSecond: rate, availableBytes: rate * linkBurstTime.Seconds()}
}

func (b *linkBucket) capacity() float64 { return b.bytesPerSecond * linkBurstTime.Seconds() }

func (b *linkBucket) refill(now time.Duration) {
	if b.refilledAt != 0 && now > b.refilledAt {
		b.availableBytes += b.bytesPerSecond * (now - b.refilledAt).Seconds()
	}
	b.refilledAt = now
	b.availableBytes = min(b.availableBytes, b.capacity())
}

func (b *linkBucket) setRate(now time.Duration, rate float64) {
	b.refill(now)
	b.bytesPerSecond = rate
	b.availableBytes = min(b.availableBytes, b.capacity())
}

func (b *linkBucket) refund(bytes int) {
	b.availableBytes = min(b.availableBytes+float64(bytes), b.capacity())
}

// linkAllows reports whether the budget of the link covers the request. A
// continuation that exceeds the capacity of the bucket needs a full bucket and
// leaves a negative balance.
func (c *Core) linkAllows(now time.Duration, request *api.PlacementRequest) bool {
	c.linkBudget.refill(now)
	bytes := float64(request.Bytes)
	reserve := recoveryReserveShare * c.linkBudget.capacity()
	if request.Recovery {
		return c.linkBudget.availableBytes >= min(bytes, c.linkBudget.capacity())
	}
	if c.options.mutations.ignoreLinkReserve {
		reserve = 0
	}
	return c.linkBudget.availableBytes-bytes >= reserve
}

func (c *Core) chargeLink(now time.Duration, bytes int) {
	if c.options.mutations.unlimitedLink {
		return
	}
	c.linkBudget.refill(now)
	c.linkBudget.availableBytes -= float64(bytes)
}
