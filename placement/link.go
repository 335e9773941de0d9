package placement

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// linkBurstTime determines the capacity of the bucket: the bytes that the full
	// rate allows in this time.
	linkBurstTime = 2 * time.Second
	// continuationReserveShare is the share of the capacity that only continuations
	// may use.
	continuationReserveShare = 0.5
)

// linkBudget is a token bucket for the bytes sent over the billed link.
type linkBudget struct {
	bytesPerSecond float64
	availableBytes float64
	refilledAt     time.Duration
}

func newLinkBudget(bytesPerSecond float64) linkBudget {
	return linkBudget{bytesPerSecond: bytesPerSecond, availableBytes: bytesPerSecond * linkBurstTime.Seconds()}
}

func (b *linkBudget) capacity() float64 { return b.bytesPerSecond * linkBurstTime.Seconds() }

func (b *linkBudget) refill(now time.Duration) {
	if b.refilledAt != 0 && now > b.refilledAt {
		b.availableBytes += b.bytesPerSecond * (now - b.refilledAt).Seconds()
	}
	b.refilledAt = now
	b.availableBytes = min(b.availableBytes, b.capacity())
}

func (b *linkBudget) setRate(now time.Duration, bytesPerSecond float64) {
	b.refill(now)
	b.bytesPerSecond = bytesPerSecond
	b.availableBytes = min(b.availableBytes, b.capacity())
}

func (b *linkBudget) refund(bytes int) {
	b.availableBytes = min(b.availableBytes+float64(bytes), b.capacity())
}

// linkAllows reports whether the budget of the link covers the request. Requests
// other than continuations have to leave the reserve in the bucket. A continuation
// that exceeds the capacity needs a full bucket and leaves a negative balance.
func (c *Core) linkAllows(now time.Duration, request *api.PlacementRequest) bool {
	c.linkBudget.refill(now)
	bytes := float64(request.LinkBytes)
	reserve := continuationReserveShare * c.linkBudget.capacity()
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
