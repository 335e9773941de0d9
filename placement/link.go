package placement

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// linkBurst is how much of the link's rate may be saved up.
	linkBurst = 2 * time.Second
	// linkReserve is the part of the bucket that only recovery may use.
	linkReserve = 0.5
)

// bucket is the budget of the billed link in bytes.
type bucket struct {
	rate  float64
	level float64
	at    time.Duration
}

func newBucket(rate float64) bucket {
	return bucket{rate: rate, level: rate * linkBurst.Seconds()}
}

func (b *bucket) burst() float64 { return b.rate * linkBurst.Seconds() }

func (b *bucket) refill(now time.Duration) {
	if b.at != 0 && now > b.at {
		b.level += b.rate * (now - b.at).Seconds()
	}
	b.at = now
	b.level = min(b.level, b.burst())
}

func (b *bucket) setRate(now time.Duration, rate float64) {
	b.refill(now)
	b.rate = rate
	b.level = min(b.level, b.burst())
}

func (b *bucket) refund(bytes int) {
	b.level = min(b.level+float64(bytes), b.burst())
}

// affords reports whether the link's budget covers the request. A continuation
// larger than the whole bucket may use a full one and leaves a debt.
func (c *Core) affords(now time.Duration, request *api.PlacementRequest) bool {
	c.link.refill(now)
	bytes := float64(request.Bytes)
	reserve := linkReserve * c.link.burst()
	if request.Recovery {
		return c.link.level >= min(bytes, c.link.burst())
	}
	if c.options.faults.ignoreReserve {
		reserve = 0
	}
	return c.link.level-bytes >= reserve
}

func (c *Core) charge(now time.Duration, bytes int) {
	if c.options.faults.unlimitedLink {
		return
	}
	c.link.refill(now)
	c.link.level -= float64(bytes)
}
