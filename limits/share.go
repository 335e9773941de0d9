package limits

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// floorShare is the part of a limit that is divided evenly, whatever the
	// demand, so that an instance can serve an account's first requests. A
	// larger floor leaves more of the limit unused under skew.
	floorShare = 0.1
	// demandMemory is the time constant of the demand estimate.
	demandMemory = 5 * time.Second
	// contactBound is how long after its last delta an instance counts as in
	// contact. Peers exchange every second.
	contactBound = 3 * time.Second
	// refreshInterval is when unchanged demand is published again, usageLifetime
	// when a peer's demand is forgotten.
	refreshInterval = 4 * time.Second
	usageLifetime   = 15 * time.Second
	// tombstoneLifetime is how long the version of forgotten demand is kept, so
	// that a late delta does not bring it back.
	tombstoneLifetime = 5 * time.Minute
	// changeShare is the relative change of demand that is published.
	changeShare = 0.1
	// negligible is the demand below which an estimate counts as 0.
	negligible = 1e-4
)

// estimate is an exponentially decaying mean per second.
type estimate struct {
	value float64
	at    time.Duration
}

func (e *estimate) decay(now time.Duration) {
	if now > e.at {
		e.value *= math.Exp(-(now - e.at).Seconds() / demandMemory.Seconds())
		e.at = now
	}
}

func (e *estimate) add(now time.Duration, amount float64) {
	e.decay(now)
	e.value += amount / demandMemory.Seconds()
}

func (e *estimate) get(now time.Duration) float64 {
	e.decay(now)
	return e.value
}

// peerUsage is the newest known demand of one instance.
type peerUsage struct {
	usage      PeerUsage
	receivedAt time.Duration
	sends      int
	// expired entries keep their version only.
	expired bool
}

// account is the state of one client account.
type account struct {
	configured api.Account
	credit     float64
	creditAt   time.Duration
	inFlight   int
	demand     estimate
	refused    estimate // tokens of refused requests
	usedAt     time.Duration

	// own is the last published demand, sharedRate and sharedTokens the demand
	// that peers know of. The own share counts only what peers know.
	own          PeerUsage
	ownAt        time.Duration
	ownSends     int
	sharedRate   float64
	sharedTokens float64

	peers map[api.InstanceID]*peerUsage
	// peerRate, peerTokens and publishers sum up the peers' entries.
	peerRate   float64
	peerTokens float64
	publishers int
}

// fleet knows the number of instances and whether the contact to them is lost.
type fleet struct {
	size      int
	contactAt time.Duration
	// smaller is a size that the fleet seems to have shrunk to, 0 for none.
	smaller   int
	smallerAt time.Duration
}

// resize follows the number of live instances. An instance that loses contact
// sees its peers die and must not take their shares, so a smaller number only
// counts once the contact has outlasted it.
func (f *fleet) resize(now time.Duration, instances int) {
	instances = max(1, instances)
	if instances >= f.size {
		f.size = instances
		f.smaller = 0
		return
	}
	if f.smaller == 0 {
		f.smallerAt = now
	}
	f.smaller = instances
}

// contact notes a message of a peer.
func (f *fleet) contact(now time.Duration) {
	f.contactAt = max(now, 1)
	if f.smaller != 0 && now-f.smallerAt > contactBound {
		f.size = f.smaller
		f.smaller = 0
	}
}

// inContact reports whether the shares are up to date. An instance that never
// had a peer has nothing to share.
func (f *fleet) inContact(now time.Duration) bool {
	if f.size == 1 {
		return true
	}
	return f.contactAt != 0 && now-f.contactAt <= contactBound
}

// share returns this instance's part of a limit: at least an even part of the
// floor, and of the rest a part in proportion to the demand that peers know
// of. Instances that publish no demand keep their part of the floor. Without
// contact the last share stays in force, later at most an even one.
func (c *Core) share(now time.Duration, a *account, limit, own, peers float64) float64 {
	size := float64(c.fleet.size)
	inContact := c.fleet.inContact(now)
	if c.fleet.size == 1 || (c.options.faults.wholeWhenAlone && !inContact) {
		return limit
	}
	known := c.knownShare(a, limit, own, peers)
	if !inContact && now-c.fleet.contactAt > usageLifetime {
		// The peers have divided this instance's part among themselves by now.
		return min(known, limit/size)
	}
	return known
}

// knownShare is the part of a limit by the demand of all instances as of the
// last contact.
func (c *Core) knownShare(a *account, limit, own, peers float64) float64 {
	size := float64(c.fleet.size)
	floor := floorShare * limit / size
	total := own + peers
	if own <= 0 || total <= 0 {
		return floor
	}
	silent := max(0, size-float64(a.publishers)-1)
	divisible := limit * (1 - floorShare*silent/size)
	return max(floor, divisible*own/total)
}

func (c *Core) merge(now time.Duration, usage []PeerUsage) {
	c.fleet.contact(now)
	for _, u := range usage {
		if u.Instance == c.options.Instance || !valid(u) {
			continue
		}
		c.mergeUsage(now, u)
	}
}

// valid rejects numbers that would spoil the sums.
func valid(u PeerUsage) bool {
	return u.Rate >= 0 && !math.IsInf(u.Rate, 0) && !math.IsNaN(u.Rate) && u.Tokens >= 0
}

func (c *Core) mergeUsage(now time.Duration, u PeerUsage) {
	if c.config == nil {
		return
	}
	configured, ok := c.config.Accounts[u.Account]
	if !ok {
		return
	}
	a, ok := c.accounts[u.Account]
	if !ok {
		a = &account{configured: configured, credit: 1, creditAt: now}
		c.accounts[u.Account] = a
	}
	if a.peers == nil {
		a.peers = make(map[api.InstanceID]*peerUsage)
	}
	known, ok := a.peers[u.Instance]
	if ok && u.Version <= known.usage.Version && !c.options.faults.acceptOldUsage {
		return
	}
	a.peers[u.Instance] = &peerUsage{usage: u, receivedAt: now, sends: c.sends()}
	a.sum()
}

// sum adds up the demand of the peers.
func (a *account) sum() {
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

// expirePeers forgets demand that is not refreshed. Without contact everything
// stays as it was, and with it the own share.
func (c *Core) expirePeers(now time.Duration, a *account) {
	if len(a.peers) == 0 || !c.fleet.inContact(now) {
		return
	}
	changed := false
	for id, p := range a.peers {
		age := now - p.receivedAt
		if !p.expired && age >= usageLifetime {
			p.expired = true
			changed = true
		}
		if age >= tombstoneLifetime {
			delete(a.peers, id)
		}
	}
	if changed {
		a.sum()
	}
}

// sends returns how often a changed entry is passed on, about 3 log2 N.
func (c *Core) sends() int { return 3 * max(1, bits.Len(uint(c.fleet.size))) }

// Collect returns up to limit entries for the peers, own demand before that of
// others and accounts close to their limit first.
func (c *Core) Collect(now time.Duration, limit int) []PeerUsage {
	var due []candidate
	for id, a := range c.accounts {
		c.publish(now, id, a)
		if a.ownSends > 0 {
			due = append(due, candidate{account: a, urgency: 1 + a.pressure()})
		}
		for _, p := range a.peers {
			if p.sends > 0 && !p.expired {
				due = append(due, candidate{peer: p, urgency: float64(p.sends) / float64(c.sends()+1)})
			}
		}
	}
	slices.SortFunc(due, func(x, y candidate) int {
		if order := cmp.Compare(y.urgency, x.urgency); order != 0 {
			return order
		}
		return cmp.Compare(x.usage().Account, y.usage().Account)
	})
	due = due[:min(limit, len(due))]
	usage := make([]PeerUsage, 0, len(due))
	for _, d := range due {
		usage = append(usage, d.usage())
		d.sent(c.fleet.inContact(now))
	}
	return usage
}

// candidate is an entry that may be sent.
type candidate struct {
	account *account
	peer    *peerUsage
	urgency float64
}

func (d candidate) usage() PeerUsage {
	if d.account != nil {
		return d.account.own
	}
	return d.peer.usage
}

func (d candidate) sent(inContact bool) {
	if d.account == nil {
		d.peer.sends--
		return
	}
	d.account.ownSends--
	if inContact {
		d.account.sharedRate = d.account.own.Rate
		d.account.sharedTokens = float64(d.account.own.Tokens)
	}
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
	tokens := a.inFlight + int(a.refused.get(now)*demandMemory.Seconds())
	if !a.publishable(now, rate, tokens, c.fleet.size) {
		return
	}
	c.version = max(c.version+1, uint64((now + c.options.WallOffset).Milliseconds()))
	a.own = PeerUsage{Account: id, Instance: c.options.Instance, Rate: rate, Tokens: tokens, Version: c.version}
	a.ownAt = now
	a.ownSends = c.sends()
}

func (a *account) publishable(now time.Duration, rate float64, tokens, size int) bool {
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
	if now-a.ownAt >= refreshInterval {
		return true
	}
	return differs(rate, a.own.Rate, floorRate) || differs(float64(tokens), float64(a.own.Tokens), floorTokens)
}

func differs(value, published, floor float64) bool {
	return math.Abs(value-published) > changeShare*max(published, floor, negligible)
}
