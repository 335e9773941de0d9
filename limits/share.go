package limits

import (
	"math"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// floorShare is the part of a limit that is divided evenly, whatever the
	// demand, so that an instance can serve an account's first requests. A
	// larger floor leaves more of the limit unused under skew.
	floorShare = 0.05
	// evenSpare is the part of the unused limit that is divided evenly. With all
	// of it, 29% of the requests of an account at 80% of its limit were refused
	// under 80/20 demand over 330 instances; with none, 32% under even demand.
	evenSpare = 0.5
	// chance is the number of standard deviations of an estimate that count as
	// chance.
	chance = 3
	// tokensMemory is the time constant of the tokens of refused requests.
	tokensMemory = 5 * time.Second
	// contactBound is how long after its last delta an instance counts as in
	// contact. Peers exchange every second.
	contactBound = 3 * time.Second
	// refreshInterval is when unchanged demand is published again. It grows with
	// the fleet by refreshPerInstance, so that the traffic of one account on all
	// instances does not.
	refreshInterval    = 4 * time.Second
	refreshPerInstance = 60 * time.Millisecond
	// usageLifetime is the shortest time after which a peer's demand is
	// forgotten; refreshesLost is how many refreshes may be lost before.
	usageLifetime = 15 * time.Second
	refreshesLost = 3
	// entrySends is how often an instance passes a changed entry on. Each
	// instance has about eight exchanges a second, and six sends by every
	// instance that has the entry reach all but 0.3% of the fleet.
	entrySends = 6
	// tombstoneLifetime is how long the version of forgotten demand is kept, so
	// that a late delta does not bring it back.
	tombstoneLifetime = 5 * time.Minute
	// changeShare is the relative change of demand that is published.
	changeShare = 0.1
	// maxPeers bounds the entries of one account against a faulty peer.
	maxPeers = 4096
	// negligible is the demand below which an estimate counts as 0.
	negligible = 1e-4
)

// memories are the time constants of the demand estimates. An instance that
// sees a request of an account every few seconds needs a long one.
var memories = [...]time.Duration{30 * time.Second, 5 * time.Second, time.Second}

// estimate is an exponentially decaying mean per second.
type estimate struct {
	memory time.Duration
	value  float64
	at     time.Duration
}

func (e *estimate) decay(now time.Duration) {
	if now > e.at {
		e.value *= math.Exp(-(now - e.at).Seconds() / e.memory.Seconds())
		e.at = now
	}
}

func (e *estimate) add(now time.Duration, amount float64) {
	e.decay(now)
	e.value += amount / e.memory.Seconds()
}

func (e *estimate) get(now time.Duration) float64 {
	e.decay(now)
	return e.value
}

// deviation is the standard deviation of the estimate of a rate of requests
// that arrive independently.
func deviation(rate float64, memory time.Duration) float64 {
	return math.Sqrt(rate / (2 * memory.Seconds()))
}

// demand estimates the requests per second over several memories.
type demand [len(memories)]estimate

func newDemand() demand {
	var d demand
	for i, memory := range memories {
		d[i].memory = memory
	}
	return d
}

func (d *demand) add(now time.Duration) {
	for i := range d {
		d[i].add(now, 1)
	}
}

// get returns the steadiest estimate that the more recent ones do not refute.
func (d *demand) get(now time.Duration) float64 {
	rate := d[0].get(now)
	for i := 1; i < len(d); i++ {
		recent := d[i].get(now)
		if math.Abs(recent-rate) > chance*deviation(max(recent, rate), d[i].memory) {
			rate = recent
		}
	}
	return rate
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
	demand     demand
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

func (c *Core) newAccount(now time.Duration, configured api.Account) *account {
	return &account{
		configured: configured,
		credit:     c.evenBurst(configured.RequestsPerSecond),
		creditAt:   now,
		demand:     newDemand(),
		refused:    estimate{memory: tokensMemory},
	}
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
	if !inContact && now-c.fleet.contactAt > c.lifetime() {
		// The peers have divided this instance's part among themselves by now.
		return min(known, limit/size)
	}
	return known
}

// knownShare is the part of a limit by the demand of all instances as of the
// last contact. As long as the demand is below the limit, the rest is divided
// partly evenly, for instances whose demand is not known yet, and partly in
// proportion. Over all instances the parts sum up to the limit.
func (c *Core) knownShare(a *account, limit, own, peers float64) float64 {
	size := float64(c.fleet.size)
	floor := floorShare * limit / size
	total := own + peers
	silent := max(0, size-float64(a.publishers)-1)
	divisible := limit * (1 - floorShare*silent/size)
	if total > divisible {
		return max(floor, divisible*own/total)
	}
	spare := divisible - total
	even := evenSpare * spare / size
	if own <= 0 {
		return floor + even
	}
	return max(floor, own+even+(1-evenSpare)*spare*own/total)
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
		a = c.newAccount(now, configured)
		c.accounts[u.Account] = a
	}
	if a.peers == nil {
		a.peers = make(map[api.InstanceID]*peerUsage)
	}
	known, ok := a.peers[u.Instance]
	if !ok && len(a.peers) >= maxPeers {
		return
	}
	if ok && u.Version <= known.usage.Version && !c.options.faults.acceptOldUsage {
		return
	}
	if ok {
		known.sends = 0
	}
	entry := &peerUsage{usage: u, receivedAt: now, sends: entrySends}
	a.peers[u.Instance] = entry
	c.forward = append(c.forward, entry)
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
		if !p.expired && age >= c.lifetime() {
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

// refresh returns the time between publications of unchanged demand.
func (c *Core) refresh() time.Duration {
	return max(refreshInterval, time.Duration(c.fleet.size)*refreshPerInstance)
}

// lifetime returns when demand that is not published again is forgotten.
func (c *Core) lifetime() time.Duration { return max(usageLifetime, refreshesLost*c.refresh()) }
