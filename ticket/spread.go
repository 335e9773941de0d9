package ticket

import (
	"sort"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

const (
	// spreadSuccessors and spreadRandom are how many peers get a new head at
	// once. Four random peers reach all but about 2% in a few hops; the two
	// successors on the ring reach the rest unless both predecessors failed.
	spreadSuccessors = 2
	spreadRandom     = 4
	// spreadRetries is how many further peers are tried after failures.
	spreadRetries = 4
	// maxOfferBytes bounds the bodies in an offer. Larger ones are fetched, so
	// that they are not sent several times to each instance.
	maxOfferBytes = 8 << 10
)

// spread passes the applied head on.
type spread struct {
	version uint64 // being offered
	offered map[api.InstanceID]bool
	retries int
}

// startSpread offers the head that now applies to some peers.
func (c *Core) startSpread() {
	if c.applied.version == 0 || c.applied.version == c.spread.version {
		return
	}
	c.spread = spread{version: c.applied.version, offered: make(map[api.InstanceID]bool), retries: spreadRetries}
	for _, m := range c.spreadTargets() {
		c.offerTo(m)
	}
}

func (c *Core) spreadTargets() []api.Member {
	peers := c.reachable()
	if len(peers) <= spreadSuccessors+spreadRandom {
		return peers
	}
	own := peer.Score("ring", c.options.Instance)
	distance := make(map[api.InstanceID]uint64, len(peers))
	for _, m := range peers {
		distance[m.ID] = peer.Score("ring", m.ID) - own // wraps around the ring
	}
	sort.Slice(peers, func(i, j int) bool { return distance[peers[i].ID] < distance[peers[j].ID] })
	rest := peers[spreadSuccessors:]
	c.random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return peers[:spreadSuccessors+spreadRandom]
}

func (c *Core) offerTo(m api.Member) {
	c.spread.offered[m.ID] = true
	c.emit(PeerOffer{To: m.ID, Address: m.Address, Request: c.offer()})
}

func (c *Core) offer() *peerpb.OfferRequest {
	request := &peerpb.OfferRequest{
		From:        string(c.options.Instance),
		Address:     c.options.Address,
		Head:        c.applied.head.encode(),
		HeadVersion: c.applied.version,
	}
	size := 0
	for _, number := range c.applied.head.pending() {
		raw := c.bodies[number].raw
		size += len(raw)
		if size > maxOfferBytes {
			break
		}
		request.Tickets = append(request.Tickets, &peerpb.Ticket{Number: number, Body: raw})
	}
	return request
}

// offerDone tries another peer after a failure.
func (c *Core) offerDone(_ time.Duration, e OfferDone) {
	if e.OK || e.HeadVersion != c.spread.version || c.spread.retries == 0 {
		return
	}
	c.spread.retries--
	// The same peer first: over a lossy link the second attempt mostly works.
	if m, known := c.member(e.To); known && m.State.Reachable() && c.spread.retries >= spreadRetries/2 {
		c.offerTo(m)
		return
	}
	for _, m := range c.spreadTargets() {
		if !c.spread.offered[m.ID] {
			c.offerTo(m)
			return
		}
	}
}

// offered uses a head from a peer, or asks the peer for it.
func (c *Core) offered(now time.Duration, e HeadOffered) {
	if c.ready && e.HeadVersion <= c.applied.version && !c.options.adoptOlderHead {
		return
	}
	if e.Request == nil {
		wanted := c.catchup.wanted
		if !c.catchup.peerBusy && (wanted == nil || wanted.version < e.HeadVersion) {
			c.fetchFrom(e.Address)
		}
		return
	}
	head, err := decodeHead(e.Request.GetHead())
	if err != nil {
		c.emit(Note{Kind: NoteDecodeFailed, Err: err})
		return
	}
	c.addTickets(e.Request.GetTickets())
	c.learn(now, known{head: head, version: e.HeadVersion}, e.Address)
}
