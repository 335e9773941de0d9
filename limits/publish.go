package limits

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// publishInterval is the shortest time between two passes over the demand of all
// accounts. One pass over 13,000 accounts takes some milliseconds.
const publishInterval = 400 * time.Millisecond

// maxForwardEntries bounds the entries of peers that wait to be passed on. The
// oldest are dropped; their instances publish them again at the next refresh.
const maxForwardEntries = 4096

// Collect returns entries for a peer as long as take accepts them, and counts them as
// sent: first the demand of this instance, accounts close to their rate limit before
// others, then the newest entries of peers. An entry that is not accepted is skipped if
// it would be the first.
func (c *Core) Collect(now time.Duration, take func(PeerUsage) bool) []PeerUsage {
	c.publishAccounts(now)
	var usage []PeerUsage
	for _, a := range c.toPublish {
		if a.sendsLeft == 0 {
			continue
		}
		if take(a.published) {
			usage = append(usage, a.published)
			a.recordSend(c.fleet.inContact(now))
		} else if len(usage) > 0 {
			return usage
		}
	}
	for _, entry := range slices.Backward(c.toForward) {
		if entry.sendsLeft == 0 || entry.expired {
			continue
		}
		if take(entry.usage) {
			usage = append(usage, entry.usage)
			entry.sendsLeft--
		} else if len(usage) > 0 {
			return usage
		}
	}
	return usage
}

// recordSend records that the account's demand was sent to a peer.
func (a *account) recordSend(inContact bool) {
	a.sendsLeft--
	// Without contact it is not known whether a peer has received it.
	if inContact {
		a.sentRate = a.published.Rate
		a.sentTokens = float64(a.published.Tokens)
	}
}

// publishAccounts updates the published demand of all accounts. It skips accounts
// that are idle and not published, since they have no demand.
func (c *Core) publishAccounts(now time.Duration) {
	if now < c.nextPublishAt {
		return
	}
	c.nextPublishAt = now + publishInterval
	c.toPublish = c.toPublish[:0]
	for id, a := range c.accounts {
		idle := now-a.lastUsedAt >= idleAccountTTL && a.tokensInFlight == 0
		if idle && a.published.Rate == 0 && a.published.Tokens == 0 && a.sendsLeft == 0 {
			continue
		}
		c.publishAccount(now, id, a)
		if a.sendsLeft > 0 {
			c.toPublish = append(c.toPublish, a)
		}
	}
	slices.SortFunc(c.toPublish, func(x, y *account) int {
		if order := cmp.Compare(y.rateUse(), x.rateUse()); order != 0 {
			return order
		}
		return cmp.Compare(x.published.Account, y.published.Account)
	})
	c.pruneForward()
}

// pruneForward removes the entries that were sent often enough or have expired,
// and the oldest ones above maxForwardEntries.
func (c *Core) pruneForward() {
	kept := c.toForward[:0]
	for _, entry := range c.toForward {
		if entry.sendsLeft > 0 && !entry.expired {
			kept = append(kept, entry)
		}
	}
	clear(c.toForward[len(kept):])
	if excess := len(kept) - maxForwardEntries; excess > 0 {
		kept = append(kept[:0], kept[excess:]...)
	}
	c.toForward = kept
}

// rateUse returns the published rate relative to the account's rate limit.
func (a *account) rateUse() float64 {
	if a.configured.RequestsPerSecond <= 0 {
		return 0
	}
	return a.published.Rate / a.configured.RequestsPerSecond
}

// publishAccount publishes the demand of an account if it has changed or is due
// for a refresh. Demand within the floor needs no entry.
func (c *Core) publishAccount(now time.Duration, id api.AccountID, a *account) {
	rate := a.demand.get(now)
	if rate < minDemand {
		rate = 0
	}
	// The rate times the time constant gives the tokens that were refused recently.
	tokens := a.tokensInFlight + int(a.refusedTokens.get(now)*refusedTokensTimeConstant.Seconds())
	if !a.shouldPublish(now, rate, tokens, c.fleet.size, c.refreshInterval()) {
		return
	}
	c.lastVersion = max(c.lastVersion+1, uint64((now + c.options.WallOffset).Milliseconds()))
	a.published = PeerUsage{Account: id, Instance: c.options.Instance, Rate: rate, Tokens: tokens, Version: c.lastVersion}
	a.publishedAt = now
	a.sendsLeft = gossipSends
}

// shouldPublish reports whether the demand needs a new entry.
func (a *account) shouldPublish(now time.Duration, rate float64, tokens, fleetSize int, refreshInterval time.Duration) bool {
	limited := a.configured.RequestsPerSecond > 0 || a.configured.TokensInFlight > 0
	if !limited {
		return false
	}
	floorRate := floorShare * a.configured.RequestsPerSecond / float64(fleetSize)
	floorTokens := floorShare * float64(a.configured.TokensInFlight) / float64(fleetSize)
	published := a.published.Rate > 0 || a.published.Tokens > 0
	within := rate <= floorRate && float64(tokens) <= floorTokens
	if within && !published {
		return false
	}
	if now-a.publishedAt >= refreshInterval {
		return true
	}
	// A change within the noise of the estimate does not count; changedEnough
	// multiplies by publishThreshold.
	noise := 2 * rateDeviation(max(rate, a.published.Rate), demandTimeConstants[0])
	return changedEnough(rate, a.published.Rate, max(floorRate, noise/publishThreshold)) ||
		changedEnough(float64(tokens), float64(a.published.Tokens), floorTokens)
}

// changedEnough reports whether a value differs from the published one by more
// than publishThreshold, relative to the published value or the floor, whichever
// is larger.
func changedEnough(value, published, floor float64) bool {
	return math.Abs(value-published) > publishThreshold*max(published, floor, minDemand)
}
