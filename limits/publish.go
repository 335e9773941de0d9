package limits

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// publishInterval bounds how often the demand of all accounts is looked at. One
// look at 13,000 accounts takes some milliseconds.
const publishInterval = 400 * time.Millisecond

// maxForward bounds the demand of others that waits to be passed on. What is
// older comes again with its next refresh.
const maxForward = 4096

// Collect returns up to limit entries for the peers: own demand first, accounts
// close to their limit before others, then the newest demand of others.
func (c *Core) Collect(now time.Duration, limit int) []PeerUsage {
	c.publishAll(now)
	usage := make([]PeerUsage, 0, min(limit, len(c.published)+len(c.forward)))
	for _, a := range c.published {
		if a.ownSends == 0 || len(usage) == limit {
			continue
		}
		usage = append(usage, a.own)
		a.sent(c.fleet.inContact(now))
	}
	for i := len(c.forward) - 1; i >= 0 && len(usage) < limit; i-- {
		entry := c.forward[i]
		if entry.sends > 0 && !entry.expired {
			usage = append(usage, entry.usage)
			entry.sends--
		}
	}
	return usage
}

// sent notes that a peer knows the own demand.
func (a *account) sent(inContact bool) {
	a.ownSends--
	if inContact {
		a.sharedRate = a.own.Rate
		a.sharedTokens = float64(a.own.Tokens)
	}
}

// publishAll renews the own entries. Accounts that were not used for long and
// are not published have no demand.
func (c *Core) publishAll(now time.Duration) {
	if now < c.publishAt {
		return
	}
	c.publishAt = now + publishInterval
	c.published = c.published[:0]
	for id, a := range c.accounts {
		idle := now-a.usedAt >= idleLifetime && a.inFlight == 0
		if idle && a.own.Rate == 0 && a.own.Tokens == 0 && a.ownSends == 0 {
			continue
		}
		c.publish(now, id, a)
		if a.ownSends > 0 {
			c.published = append(c.published, a)
		}
	}
	slices.SortFunc(c.published, func(x, y *account) int {
		if order := cmp.Compare(y.pressure(), x.pressure()); order != 0 {
			return order
		}
		return cmp.Compare(x.own.Account, y.own.Account)
	})
	c.prune()
}

// prune removes the entries that were passed on, and the oldest of too many.
func (c *Core) prune() {
	kept := c.forward[:0]
	for _, entry := range c.forward {
		if entry.sends > 0 && !entry.expired {
			kept = append(kept, entry)
		}
	}
	clear(c.forward[len(kept):])
	if excess := len(kept) - maxForward; excess > 0 {
		kept = append(kept[:0], kept[excess:]...)
	}
	c.forward = kept
}

// pressure is the published demand relative to the limit.
func (a *account) pressure() float64 {
	if a.configured.RequestsPerSecond <= 0 {
		return 0
	}
	return a.own.Rate / a.configured.RequestsPerSecond
}

// publish renews the own entry if the demand has changed or is due for a
// refresh. Demand within the floor is not worth an entry.
func (c *Core) publish(now time.Duration, id api.AccountID, a *account) {
	rate := a.demand.get(now)
	if rate < negligible {
		rate = 0
	}
	tokens := a.inFlight + int(a.refused.get(now)*tokensMemory.Seconds())
	if !a.publishable(now, rate, tokens, c.fleet.size, c.refresh()) {
		return
	}
	c.version = max(c.version+1, uint64((now + c.options.WallOffset).Milliseconds()))
	a.own = PeerUsage{Account: id, Instance: c.options.Instance, Rate: rate, Tokens: tokens, Version: c.version}
	a.ownAt = now
	a.ownSends = entrySends
}

func (a *account) publishable(now time.Duration, rate float64, tokens, size int, refresh time.Duration) bool {
	limited := a.configured.RequestsPerSecond > 0 || a.configured.TokensInFlight > 0
	if !limited {
		return false
	}
	floorRate := floorShare * a.configured.RequestsPerSecond / float64(size)
	floorTokens := floorShare * float64(a.configured.TokensInFlight) / float64(size)
	published := a.own.Rate > 0 || a.own.Tokens > 0
	within := rate <= floorRate && float64(tokens) <= floorTokens
	if within && !published {
		return false
	}
	if now-a.ownAt >= refresh {
		return true
	}
	noise := 2 * deviation(max(rate, a.own.Rate), memories[0])
	return differs(rate, a.own.Rate, max(floorRate, noise/changeShare)) ||
		differs(float64(tokens), float64(a.own.Tokens), floorTokens)
}

func differs(value, published, floor float64) bool {
	return math.Abs(value-published) > changeShare*max(published, floor, negligible)
}
