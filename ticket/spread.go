package ticket

import (
	"sort"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

const (
	// gossipSuccessors and gossipRandomPeers are the numbers of peers that an
	// instance offers a new head to. Offers to four random peers reach all but about
	// 2% of the instances in a few hops. Offers to the two successors on the hash
	// ring reach the rest, unless both predecessors of an instance failed.
	gossipSuccessors  = 2
	gossipRandomPeers = 4
	// gossipRetries is the number of further offers after failed ones.
	gossipRetries = 4
	// maxOfferBytes limits the ticket bodies in an offer. Peers fetch larger ones,
	// so that they are not sent to each instance several times.
	maxOfferBytes = 8 << 10
)

// gossip is the state of offering the applied head to peers.
type gossip struct {
	version     uint64                  // of the offered head
	offered     map[api.InstanceID]bool // peers that were offered this head
	retriesLeft int
}

// startGossip offers the newly applied head to some peers.
func (c *Core) startGossip() {
	if c.applied.version == 0 || c.applied.version == c.gossip.version {
		return
	}
	c.gossip = gossip{version: c.applied.version, offered: make(map[api.InstanceID]bool), retriesLeft: gossipRetries}
	for _, m := range c.gossipTargets() {
		c.offerTo(m)
	}
}

// gossipTargets returns the successors on the hash ring and random peers.
func (c *Core) gossipTargets() []api.Member {
	peers := c.reachablePeers()
	if len(peers) <= gossipSuccessors+gossipRandomPeers {
		return peers
	}
	own := peer.Score("ring", c.options.Instance)
	distance := make(map[api.InstanceID]uint64, len(peers))
	for _, m := range peers {
		distance[m.ID] = peer.Score("ring", m.ID) - own // wraps around the ring
	}
	sort.Slice(peers, func(i, j int) bool { return distance[peers[i].ID] < distance[peers[j].ID] })
	rest := peers[gossipSuccessors:]
	c.random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return peers[:gossipSuccessors+gossipRandomPeers]
}

func (c *Core) offerTo(m api.Member) {
	c.gossip.offered[m.ID] = true
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

// handleOfferDone retries a failed offer: first with the same peer, then with
// others.
func (c *Core) handleOfferDone(_ time.Duration, e OfferDone) {
	if e.OK || e.HeadVersion != c.gossip.version || c.gossip.retriesLeft == 0 {
		return
	}
	c.gossip.retriesLeft--
	// Retry the same peer first: over a lossy link the second attempt usually
	// succeeds.
	if m, known := c.member(e.To); known && m.State.Reachable() && c.gossip.retriesLeft >= gossipRetries/2 {
		c.offerTo(m)
		return
	}
	for _, m := range c.gossipTargets() {
		if !c.gossip.offered[m.ID] {
			c.offerTo(m)
			return
		}
	}
}

// handleOffer processes a head that a peer offers, or fetches the head if the
// peer sent only its version.
func (c *Core) handleOffer(now time.Duration, e HeadOffered) {
	if c.ready && e.HeadVersion <= c.applied.version && !c.options.applyOlderHead {
		return
	}
	if e.Request == nil {
		target := c.catchup.target
		if !c.catchup.fetching && (target == nil || target.version < e.HeadVersion) {
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
