package ticket

import (
	"errors"
	"time"

	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/store"
)

const (
	// fetchRetry is the pause after a failed read of tickets.
	fetchRetry = 200 * time.Millisecond
	// peersFirst is how long a starting instance asks peers before it reads
	// the store as well, so that a restart of many instances does not use up
	// the store's rate.
	peersFirst = time.Second
	// maxFetchBytes bounds the bodies of one answer; the receiver asks again
	// for the rest.
	maxFetchBytes = 1 << 20
)

// catchup is the way to a newer head: the tickets that it names are read from
// peers or from the store before it applies.
type catchup struct {
	wanted   *known
	sources  []string // peers that have the wanted head
	peerBusy bool
	// storeBusy counts reads from the store in flight.
	storeBusy int
	retryAt   time.Duration
	startedAt time.Duration
	started   bool
	// snapshot was read for the wanted head.
	snapshot       *State
	snapshotNumber uint64
	parts          map[int][]byte
}

// learn notes a head that somebody has. It applies once its tickets are here.
func (c *Core) learn(now time.Duration, next known, source string) {
	older := c.ready && next.version <= c.applied.version
	if older && !(c.options.adoptOlderHead && next.version != c.applied.version) {
		return
	}
	if c.catchup.wanted == nil || next.version > c.catchup.wanted.version {
		c.catchup.wanted = &next
		c.catchup.sources = nil
	}
	if source != "" && next.version == c.catchup.wanted.version {
		c.catchup.sources = append(c.catchup.sources, source)
	}
	c.advance(now)
}

// advance adopts the wanted head or reads what is missing for it.
func (c *Core) advance(now time.Duration) {
	if !c.ready && c.catchup.wanted == nil {
		c.bootstrap(now)
		return
	}
	wanted := c.catchup.wanted
	if wanted == nil {
		return
	}
	missing := c.missing(&wanted.head)
	needSnapshot := c.needSnapshot(&wanted.head)
	if len(missing) == 0 && !needSnapshot {
		c.catchup.wanted = nil
		c.catchup.sources = nil
		c.adopt(now, *wanted)
		return
	}
	if !c.catchup.peerBusy && len(c.catchup.sources) > 0 {
		source := c.catchup.sources[0]
		c.catchup.sources = c.catchup.sources[1:]
		c.fetchFrom(source)
	}
	if c.catchup.peerBusy || now < c.catchup.retryAt {
		return
	}
	c.catchup.retryAt = now + fetchRetry
	if peers := c.reachable(); len(peers) > 0 {
		c.fetchFrom(peers[c.random.IntN(len(peers))].Address)
	}
	if c.catchup.storeBusy == 0 {
		c.readMissing(wanted.head, missing, needSnapshot)
		// A newer head may name a newer snapshot than one that is gone.
		c.readHead(now)
	}
}

// bootstrap looks for a first head, with peers first.
func (c *Core) bootstrap(now time.Duration) {
	if !c.catchup.started {
		c.catchup.started = true
		c.catchup.startedAt = now
	}
	if now < c.catchup.retryAt {
		return
	}
	peers := c.reachable()
	c.catchup.retryAt = now + fetchRetry
	if !c.catchup.peerBusy && len(peers) > 0 {
		c.fetchFrom(peers[c.random.IntN(len(peers))].Address)
	}
	if now-c.catchup.startedAt >= peersFirst || len(peers) == 0 {
		c.readHead(now)
	}
}

func (c *Core) fetchFrom(address string) {
	c.catchup.peerBusy = true
	c.emit(PeerFetch{Address: address, Above: c.completeTo()})
}

// completeTo is the number up to which no ticket is missing here.
func (c *Core) completeTo() uint64 {
	complete := uint64(0)
	if c.ready {
		complete = c.applied.head.Latest
	}
	if c.catchup.wanted == nil {
		return complete
	}
	if c.catchup.snapshot != nil {
		complete = max(complete, c.catchup.snapshotNumber)
	}
	if c.needSnapshot(&c.catchup.wanted.head) {
		return complete
	}
	for _, number := range c.catchup.wanted.head.Tickets {
		if number <= complete {
			continue
		}
		if c.bodies[number] == nil {
			break
		}
		complete = number
	}
	return complete
}

func (c *Core) missing(head *Head) []uint64 {
	var missing []uint64
	for _, number := range head.Tickets {
		if c.bodies[number] == nil {
			missing = append(missing, number)
		}
	}
	return missing
}

// needSnapshot reports whether tickets that the head no longer names may be
// unknown here.
func (c *Core) needSnapshot(head *Head) bool {
	if head.Snapshot == 0 || c.ready && c.applied.head.Latest >= head.Snapshot {
		return false
	}
	return c.catchup.snapshot == nil || c.catchup.snapshotNumber != head.Snapshot
}

// readMissing reads tickets and snapshot parts from the store.
func (c *Core) readMissing(head Head, missing []uint64, snapshot bool) {
	for _, number := range missing {
		c.catchup.storeBusy++
		c.call(StoreCall{Op: StoreGet, Key: ticketKey(number)}, func(now time.Duration, r StoreDone) {
			c.catchup.storeBusy--
			if r.Err == nil {
				c.addBody(number, r.Object.Value)
			}
			c.advance(now)
		})
	}
	if snapshot {
		c.readSnapshot(head)
	}
}

func (c *Core) readSnapshot(head Head) {
	c.catchup.parts = make(map[int][]byte)
	for part := range head.SnapshotParts {
		c.catchup.storeBusy++
		c.call(StoreCall{Op: StoreGet, Key: snapshotKey(head.Snapshot, part)}, func(now time.Duration, r StoreDone) {
			c.catchup.storeBusy--
			if r.Err == nil {
				c.catchup.parts[part] = r.Object.Value
			}
			if len(c.catchup.parts) == head.SnapshotParts {
				c.useSnapshot(head.Snapshot, ordered(c.catchup.parts))
			}
			c.advance(now)
		})
	}
}

func ordered(parts map[int][]byte) [][]byte {
	list := make([][]byte, 0, len(parts))
	for _, i := range sortedKeys(parts) {
		list = append(list, parts[i])
	}
	return list
}

func (c *Core) useSnapshot(number uint64, parts [][]byte) {
	snapshot, err := decodeSnapshot(number, parts)
	if err != nil {
		c.emit(Note{Kind: NoteDecodeFailed, Ticket: number, Err: err})
		return
	}
	c.catchup.snapshot = snapshot
	c.catchup.snapshotNumber = number
}

// addBody keeps a ticket that the store or a peer returned.
func (c *Core) addBody(number uint64, raw []byte) {
	if c.bodies[number] != nil {
		return
	}
	t, findings := Parse(raw)
	if len(findings) > 0 || t.Number != number {
		c.emit(Note{Kind: NoteDecodeFailed, Ticket: number, Err: Error.New("the body of ticket %d cannot be read", number)})
		return
	}
	c.bodies[number] = &body{raw: raw, ticket: t}
}

// fetchIn answers a peer. The answer is complete up to the head that applies
// here, unless More is set.
func (c *Core) fetchIn(e FetchReceived) {
	if !c.ready {
		c.emit(PeerResponse{Err: reason.New(reason.NotReady, "the instance has no tickets yet")})
		return
	}
	head := &c.applied.head
	response := &peerpb.FetchTicketsResponse{
		Latest:      head.Latest,
		Accepted:    head.Accepted,
		Head:        head.encode(),
		HeadVersion: c.applied.version,
	}
	if e.Above < head.Snapshot {
		response.Snapshot = c.base.encodeSnapshot(head.Snapshot)
	}
	size := 0
	for _, number := range head.Tickets {
		if number <= e.Above {
			continue
		}
		raw := c.bodies[number].raw
		if size > 0 && size+len(raw) > maxFetchBytes {
			response.More = true
			break
		}
		size += len(raw)
		response.Tickets = append(response.Tickets, &peerpb.Ticket{Number: number, Body: raw})
	}
	c.emit(PeerResponse{Fetch: response})
}

func (c *Core) fetchDone(now time.Duration, e FetchDone) {
	c.catchup.peerBusy = false
	r := e.Response
	if r == nil {
		c.advance(now)
		return
	}
	c.addTickets(r.GetTickets())
	head, err := decodeHead(r.GetHead())
	if err != nil {
		c.emit(Note{Kind: NoteDecodeFailed, Err: err})
		return
	}
	if len(r.GetSnapshot()) > 0 {
		c.useSnapshot(head.Snapshot, r.GetSnapshot())
	}
	source := ""
	if r.GetMore() {
		source = e.Address
	}
	c.learn(now, known{head: head, version: r.GetHeadVersion()}, source)
}

func (c *Core) addTickets(tickets []*peerpb.Ticket) {
	for _, t := range tickets {
		c.addBody(t.GetNumber(), t.GetBody())
	}
}

// readHead reads the head from the store, one read at a time.
func (c *Core) readHead(now time.Duration) {
	if c.watch.reading {
		return
	}
	c.watch.reading = true
	c.call(StoreCall{Op: StoreGet, Key: headKey}, func(now time.Duration, r StoreDone) {
		c.watch.reading = false
		c.headRead(now, r)
	})
}

// headRead uses the result of a read of the head and reports success. It is no
// contact: only a watch also shows whether this instance is still registered.
func (c *Core) headRead(now time.Duration, r StoreDone) bool {
	if errors.Is(r.Err, store.ErrNotFound) {
		c.learn(now, known{}, "")
		return true
	}
	if r.Err != nil {
		return false
	}
	head, err := decodeHead(r.Object.Value)
	if err != nil {
		c.emit(Note{Kind: NoteDecodeFailed, Err: err})
		return false
	}
	c.learn(now, known{head: head, version: version(r.Object.Version)}, "")
	return true
}
