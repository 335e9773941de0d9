package limits

import (
	"math"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// floorShare is the part of a limit that is divided evenly, independent of
	// demand, so that an instance can admit an account's first requests. A larger
	// floor leaves more of the limit unused when demand is skewed.
	floorShare = 0.05
	// evenSpareShare is the part of the unused limit that is divided evenly. With
	// 1, 29% of the requests of an account at 80% of its limit are refused under
	// skewed (80/20) demand over 330 instances; with 0, 32% under even demand.
	evenSpareShare = 0.5
	// significantDeviations is the difference between two estimates, in standard
	// deviations, above which it is not attributed to chance.
	significantDeviations = 3
	// refusedTokensTimeConstant is the time constant of the estimate of refused
	// tokens.
	refusedTokensTimeConstant = 5 * time.Second
	// contactTimeout is the time without a delta from any peer after which an
	// instance has lost contact. Peers exchange every second.
	contactTimeout = 3 * time.Second
	// minRefreshInterval is the shortest time between publications of unchanged
	// demand. The interval grows by refreshPerInstance with the size of the fleet,
	// so that the traffic of an account with demand at all instances does not grow
	// with it.
	minRefreshInterval = 4 * time.Second
	refreshPerInstance = 60 * time.Millisecond
	// minUsageTTL is the shortest time after which a peer's demand expires;
	// maxLostRefreshes is the number of refresh intervals after which it expires
	// in a large fleet.
	minUsageTTL      = 15 * time.Second
	maxLostRefreshes = 3
	// gossipSends is the number of times an instance sends a changed entry. Each
	// instance has about eight exchanges a second, and six sends by every
	// instance that has the entry reach all but 0.3% of the fleet.
	gossipSends = 6
	// tombstoneTTL is how long the version of expired demand is kept, so that a
	// late delta does not restore it.
	tombstoneTTL = 5 * time.Minute
	// publishThreshold is the relative change of demand from which it is published.
	publishThreshold = 0.1
	// maxPeersPerAccount bounds the peer entries of one account, so that a faulty
	// peer cannot exhaust memory.
	maxPeersPerAccount = 4096
	// minDemand is the rate per second below which an estimate counts as 0.
	minDemand = 1e-4
)

// demandTimeConstants are the time constants of the demand estimates, longest
// first. An instance that sees a request of an account only every few seconds
// needs a long one.
var demandTimeConstants = [...]time.Duration{30 * time.Second, 5 * time.Second, time.Second}

// decayingRate is an exponentially decaying mean of an amount per second.
type decayingRate struct {
	timeConstant time.Duration
	value        float64
	updatedAt    time.Duration
}

func (e *decayingRate) decay(now time.Duration) {
	if now > e.updatedAt {
		e.value *= math.Exp(-(now - e.updatedAt).Seconds() / e.timeConstant.Seconds())
		e.updatedAt = now
	}
}

func (e *decayingRate) add(now time.Duration, amount float64) {
	e.decay(now)
	e.value += amount / e.timeConstant.Seconds()
}

func (e *decayingRate) get(now time.Duration) float64 {
	e.decay(now)
	return e.value
}

// rateDeviation returns the standard deviation of the estimated rate of requests
// that arrive independently.
func rateDeviation(rate float64, timeConstant time.Duration) float64 {
	return math.Sqrt(rate / (2 * timeConstant.Seconds()))
}

// demandEstimate estimates the requests per second with several time constants.
type demandEstimate [len(demandTimeConstants)]decayingRate

func newDemandEstimate() demandEstimate {
	var d demandEstimate
	for i, timeConstant := range demandTimeConstants {
		d[i].timeConstant = timeConstant
	}
	return d
}

func (d *demandEstimate) add(now time.Duration) {
	for i := range d {
		d[i].add(now, 1)
	}
}

// get starts with the estimate of the longest time constant and moves to a more
// recent one that differs from it by more than chance explains. The result is
// steady and still follows a jump of the demand.
func (d *demandEstimate) get(now time.Duration) float64 {
	rate := d[0].get(now)
	for i := 1; i < len(d); i++ {
		recent := d[i].get(now)
		if math.Abs(recent-rate) > significantDeviations*rateDeviation(max(recent, rate), d[i].timeConstant) {
			rate = recent
		}
	}
	return rate
}

// peerEntry is the newest known demand of one peer.
type peerEntry struct {
	usage      PeerUsage
	receivedAt time.Duration
	sendsLeft  int
	// expired entries are tombstones: only their version counts.
	expired bool
}

// account is the state of one client account.
type account struct {
	configured      api.Account
	requestCredit   float64 // requests that may be admitted now
	creditUpdatedAt time.Duration
	tokensInFlight  int
	demand          demandEstimate
	refusedTokens   decayingRate // per second
	lastUsedAt      time.Duration

	// published is the last published demand of this instance; sentRate and
	// sentTokens are the part of it that was sent to a peer. This instance's share
	// is computed from what peers know.
	published   PeerUsage
	publishedAt time.Duration
	sendsLeft   int
	sentRate    float64
	sentTokens  float64

	peers map[api.InstanceID]*peerEntry
	// peerRate and peerTokens are the sums over the peers' entries, publishers is
	// the number of peers with demand.
	peerRate   float64
	peerTokens float64
	publishers int
}

func (c *Core) newAccount(now time.Duration, configured api.Account) *account {
	return &account{
		configured:      configured,
		requestCredit:   c.evenShareBurst(configured.RequestsPerSecond),
		creditUpdatedAt: now,
		demand:          newDemandEstimate(),
		refusedTokens:   decayingRate{timeConstant: refusedTokensTimeConstant},
	}
}

// fleet tracks the number of instances and the contact with them.
type fleet struct {
	size          int
	lastContactAt time.Duration
	// pendingSize is a smaller size that is not applied yet, seen since
	// pendingSince; 0 is none.
	pendingSize  int
	pendingSince time.Duration
}

// resize sets the number of live instances. An instance that loses contact sees
// all its peers fail and must not take over their shares, so a smaller number
// applies only after a message of a peer has arrived more than contactTimeout
// later.
func (f *fleet) resize(now time.Duration, instances int) {
	instances = max(1, instances)
	if instances >= f.size {
		f.size = instances
		f.pendingSize = 0
		return
	}
	if f.pendingSize == 0 {
		f.pendingSince = now
	}
	f.pendingSize = instances
}

// recordContact records a message from a peer.
func (f *fleet) recordContact(now time.Duration) {
	f.lastContactAt = max(now, 1)
	if f.pendingSize != 0 && now-f.pendingSince > contactTimeout {
		f.size = f.pendingSize
		f.pendingSize = 0
	}
}

// inContact reports whether the known demand of the peers is up to date. A fleet
// of one instance has no peers and is always in contact.
func (f *fleet) inContact(now time.Duration) bool {
	if f.size == 1 {
		return true
	}
	return f.lastContactAt != 0 && now-f.lastContactAt <= contactTimeout
}

// localShare returns this instance's share of a limit: at least an even part of
// the floor, and a part of the rest in proportion to the demand that peers know
// of. Instances that publish no demand keep their part of the floor. Without
// contact the last share remains, and after usageTTL at most an even share.
func (c *Core) localShare(now time.Duration, a *account, limit, ownDemand, peerDemand float64) float64 {
	size := float64(c.fleet.size)
	inContact := c.fleet.inContact(now)
	if c.fleet.size == 1 || (c.options.mutations.takeWholeLimitWithoutContact && !inContact) {
		return limit
	}
	known := c.shareByDemand(a, limit, ownDemand, peerDemand)
	if !inContact && now-c.fleet.lastContactAt > c.usageTTL() {
		// By now the demand of this instance has expired at the peers, and they
		// have divided its share among themselves.
		return min(known, limit/size)
	}
	return known
}

// shareByDemand returns the share of a limit that follows from the demand of all
// instances as of the last contact, in the unit of the limit. While the demand is
// below the limit, the unused part is divided partly evenly, for instances whose
// demand is not known yet, and partly in proportion to demand. The shares of all
// instances add up to the limit; they exceed it by at most floorShare of it where
// instances with little demand get the floor.
func (c *Core) shareByDemand(a *account, limit, ownDemand, peerDemand float64) float64 {
	size := float64(c.fleet.size)
	floor := floorShare * limit / size
	total := ownDemand + peerDemand
	unpublished := max(0, size-float64(a.publishers)-1)
	divisible := limit * (1 - floorShare*unpublished/size)
	if total > divisible {
		return max(floor, divisible*ownDemand/total)
	}
	spare := divisible - total
	even := evenSpareShare * spare / size
	if ownDemand <= 0 {
		return floor + even
	}
	return max(floor, ownDemand+even+(1-evenSpareShare)*spare*ownDemand/total)
}

// mergeUsage merges the entries of one exchange.
func (c *Core) mergeUsage(now time.Duration, usage []PeerUsage) {
	c.fleet.recordContact(now)
	for _, u := range usage {
		if u.Instance == c.options.Instance || !validUsage(u) {
			continue
		}
		c.mergeEntry(now, u)
	}
}

// validUsage reports whether the numbers can be summed up.
func validUsage(u PeerUsage) bool {
	return u.Rate >= 0 && !math.IsInf(u.Rate, 0) && !math.IsNaN(u.Rate) && u.Tokens >= 0
}

// mergeEntry stores a peer's entry if it is newer than the known one, and queues
// it for other peers.
func (c *Core) mergeEntry(now time.Duration, u PeerUsage) {
	if c.config == nil {
		return
	}
	configured, ok := c.config.Accounts[u.Account]
	if !ok {
		return
	}
	a, ok := c.accounts[u.Account]
	if !ok {
		a = c.newAccount(now, configured)
		c.accounts[u.Account] = a
	}
	if a.peers == nil {
		a.peers = make(map[api.InstanceID]*peerEntry)
	}
	known, ok := a.peers[u.Instance]
	if !ok && len(a.peers) >= maxPeersPerAccount {
		return
	}
	if ok && u.Version <= known.usage.Version && !c.options.mutations.acceptOldUsage {
		return
	}
	if ok {
		known.sendsLeft = 0 // only the new entry is passed on
	}
	entry := &peerEntry{usage: u, receivedAt: now, sendsLeft: gossipSends}
	a.peers[u.Instance] = entry
	c.toForward = append(c.toForward, entry)
	a.sumPeers()
}

// sumPeers computes the sums over the peers' demand.
func (a *account) sumPeers() {
	a.peerRate, a.peerTokens, a.publishers = 0, 0, 0
	for _, p := range a.peers {
		if p.expired || (p.usage.Rate == 0 && p.usage.Tokens == 0) {
			continue
		}
		a.peerRate += p.usage.Rate
		a.peerTokens += float64(p.usage.Tokens)
		a.publishers++
	}
}

// expirePeers expires demand that was not refreshed. Without contact nothing
// expires, so that the share of this instance does not change.
func (c *Core) expirePeers(now time.Duration, a *account) {
	if len(a.peers) == 0 || !c.fleet.inContact(now) {
		return
	}
	changed := false
	for id, p := range a.peers {
		age := now - p.receivedAt
		if !p.expired && age >= c.usageTTL() {
			p.expired = true
			changed = true
		}
		if age >= tombstoneTTL {
			delete(a.peers, id)
		}
	}
	if changed {
		a.sumPeers()
	}
}

// refreshInterval returns the time between publications of unchanged demand.
func (c *Core) refreshInterval() time.Duration {
	return max(minRefreshInterval, time.Duration(c.fleet.size)*refreshPerInstance)
}

// usageTTL returns the time after which demand that is not refreshed expires.
func (c *Core) usageTTL() time.Duration {
	return max(minUsageTTL, maxLostRefreshes*c.refreshInterval())
}
