package ticket

import (
	"sort"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

const (
	// spreadSuccessors and spreadRandom are the numbers of peers that an instance
	// offers a new head to. Offers to four random peers reach all but about 2% of
	// the instances in a few hops. Offers to the two successors on the hash ring
	// reach the rest, unless both predecessors of an instance failed.
	spreadSuccessors = 2
	spreadRandom     = 4
	// spreadRetries is the number of further offers after failed ones.
	spreadRetries = 4
	// maxOfferBytes limits the ticket bodies in an offer. Peers fetch larger ones,
	// so that they are not sent to each instance several times.
	maxOfferBytes = 8 << 10
)

// spread is the state of offering the applied head to peers.
type spread struct {
	version uint64 // of the offered head
	offered map[api.InstanceID]bool
	retries int
}

// startSpread offers the newly applied head to some peers.
func (c *Core) startSpread() {
	if c.applied.version == 0 || c.applied.version == c.spread.version {
		return
	}
	c.spread = spread{version: c.applied.version, offered: make(map[api.InstanceID]bool), retries: spreadRetries}
	for _, m := range c.spreadTargets() {
		c.offerTo(m)
	}
}

// spreadTargets returns the successors on the hash ring and random peers.
func (c *Core) spreadTargets() []api.Member {
	peers := c.reachablePeers()
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
	c.emit(PeerOffer{To: m.ID, Address: m.Address, Request: c.newOffer()})
}

// newOffer returns an offer of the applied head with its pending tickets.
func (c *Core) newOffer() *peerpb.OfferRequest {
	request := &peerpb.OfferRequest{
		From:        string(c.options.Instance),
		Address:     c.options.Address,
		Head:        c.applied.head.encode(),
		HeadVersion: c.applied.version,
	}
	size := 0
	for _, number := range c.applied.head.pending() {
		raw := c.tickets[number].raw
		size += len(raw)
		if size > maxOfferBytes {
			break
		}
		request.Tickets = append(request.Tickets, &peerpb.Ticket{Number: number, Body: raw})
	}
	return request
}

// handleOfferDone retries a failed offer.
func (c *Core) handleOfferDone(_ time.Duration, e OfferDone) {
	if e.OK || e.HeadVersion != c.spread.version || c.spread.retries == 0 {
		return
	}
	c.spread.retries--
	// Retry the same peer first: over a lossy link the second attempt usually
	// succeeds.
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

// handleOffer processes a head that a peer offers, or fetches the head if the
// peer sent only its version.
func (c *Core) handleOffer(now time.Duration, e HeadOffered) {
	if c.ready && e.HeadVersion <= c.applied.version && !c.options.adoptOlderHead {
		return
	}
	if e.Request == nil {
		wanted := c.catchup.target
		if !c.catchup.fetching && (wanted == nil || wanted.version < e.HeadVersion) {
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
	c.handleNewerHead(now, versionedHead{head: head, version: e.HeadVersion}, e.Address)
}
