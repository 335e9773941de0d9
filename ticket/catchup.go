package ticket

import (
	"errors"
	"time"

	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/store"
)

const (
	// fetchRetryDelay is the time between two attempts to read tickets.
	fetchRetryDelay = 200 * time.Millisecond
	// peersOnlyPeriod is how long a starting instance reads only from peers, so
	// that a restart of many instances does not exhaust the store's rate limit.
	peersOnlyPeriod = time.Second
	// maxFetchBytes limits the ticket bodies in one response; the receiver fetches
	// the rest with further requests.
	maxFetchBytes = 1 << 20
)

// catchup is the state of reading the tickets of a newer head from peers or from
// the store. The head is applied once its tickets are known.
type catchup struct {
	target   *versionedHead // nil: the newest known head is applied
	sources  []string       // addresses of peers that have the target
	fetching bool           // a fetch from a peer is in flight
	// storeReads is the number of reads from the store in flight.
	storeReads         int
	retryAt            time.Duration
	bootstrapStartedAt time.Duration
	bootstrapStarted   bool
	// snapshot is the state of the last snapshot that was read.
	snapshot       *State
	snapshotNumber uint64
	snapshotParts  map[int][]byte // read so far, by index
}

// handleNewerHead makes the head the target if it is newer than the present
// target and the applied head, and continues the catchup. source, if not empty, is
// the address of a peer that has the head; it is kept if the head is the target.
func (c *Core) handleNewerHead(now time.Duration, next versionedHead, source string) {
	older := c.ready && next.version <= c.applied.version
	if older && !(c.options.applyOlderHead && next.version != c.applied.version) {
		return
	}
	if c.catchup.target == nil || next.version > c.catchup.target.version {
		c.catchup.target = &next
		c.catchup.sources = nil
	}
	if source != "" && next.version == c.catchup.target.version {
		c.catchup.sources = append(c.catchup.sources, source)
	}
	c.advanceCatchup(now)
}

// advanceCatchup applies the target if its tickets and snapshot are known;
// otherwise it reads what is missing.
func (c *Core) advanceCatchup(now time.Duration) {
	if !c.ready && c.catchup.target == nil {
		c.bootstrap(now)
		return
	}
	target := c.catchup.target
	if target == nil {
		return
	}
	missing := c.missingTickets(&target.head)
	needSnapshot := c.needsSnapshot(&target.head)
	if len(missing) == 0 && !needSnapshot {
		c.catchup.target = nil
		c.catchup.sources = nil
		c.applyHead(now, *target)
		return
	}
	if !c.catchup.fetching && len(c.catchup.sources) > 0 {
		source := c.catchup.sources[0]
		c.catchup.sources = c.catchup.sources[1:]
		c.fetchFrom(source)
	}
	if c.catchup.fetching || now < c.catchup.retryAt {
		return
	}
	c.catchup.retryAt = now + fetchRetryDelay
	if peers := c.reachablePeers(); len(peers) > 0 {
		c.fetchFrom(peers[c.random.IntN(len(peers))].Address)
	}
	if c.catchup.storeReads == 0 {
		c.readFromStore(target.head, missing, needSnapshot)
		// Compaction deletes replaced snapshots: if the target's snapshot was deleted,
		// a newer head has another one.
		c.readHead(now)
	}
}

// bootstrap reads the first head: from peers, and after peersOnlyPeriod from the
// store as well.
func (c *Core) bootstrap(now time.Duration) {
	if !c.catchup.bootstrapStarted {
		c.catchup.bootstrapStarted = true
		c.catchup.bootstrapStartedAt = now
	}
	if now < c.catchup.retryAt {
		return
	}
	peers := c.reachablePeers()
	c.catchup.retryAt = now + fetchRetryDelay
	if !c.catchup.fetching && len(peers) > 0 {
		c.fetchFrom(peers[c.random.IntN(len(peers))].Address)
	}
	if now-c.catchup.bootstrapStartedAt >= peersOnlyPeriod || len(peers) == 0 {
		c.readHead(now)
	}
}

func (c *Core) fetchFrom(address string) {
	c.catchup.fetching = true
	c.emit(PeerFetch{Address: address, Above: c.highestCompleteTicket()})
}

// highestCompleteTicket returns the number up to which this instance knows all
// tickets.
func (c *Core) highestCompleteTicket() uint64 {
	complete := uint64(0)
	if c.ready {
		complete = c.applied.head.Latest
	}
	if c.catchup.target == nil {
		return complete
	}
	if c.catchup.snapshot != nil {
		complete = max(complete, c.catchup.snapshotNumber)
	}
	if c.needsSnapshot(&c.catchup.target.head) {
		return complete
	}
	for _, number := range c.catchup.target.head.Tickets {
		if number <= complete {
			continue
		}
		if c.tickets[number] == nil {
			break
		}
		complete = number
	}
	return complete
}

// missingTickets returns the tickets of the head that are not known.
func (c *Core) missingTickets(head *Head) []uint64 {
	var missing []uint64
	for _, number := range head.Tickets {
		if c.tickets[number] == nil {
			missing = append(missing, number)
		}
	}
	return missing
}

// needsSnapshot reports whether tickets that are only in the head's snapshot may
// be unknown.
func (c *Core) needsSnapshot(head *Head) bool {
	if head.Snapshot == 0 || c.ready && c.applied.head.Latest >= head.Snapshot {
		return false
	}
	return c.catchup.snapshot == nil || c.catchup.snapshotNumber != head.Snapshot
}

// readFromStore reads tickets and, if withSnapshot is set, the snapshot from the
// store.
func (c *Core) readFromStore(head Head, missing []uint64, withSnapshot bool) {
	for _, number := range missing {
		c.catchup.storeReads++
		c.startStoreCall(StoreCall{Op: StoreGet, Key: ticketKey(number)}, func(now time.Duration, r StoreDone) {
			c.catchup.storeReads--
			if r.Err == nil {
				c.addTicket(number, r.Object.Value)
			}
			c.advanceCatchup(now)
		})
	}
	if withSnapshot {
		c.readSnapshotParts(head)
	}
}

// readSnapshotParts reads all parts of the head's snapshot from the store.
func (c *Core) readSnapshotParts(head Head) {
	c.catchup.snapshotParts = make(map[int][]byte)
	for part := range head.SnapshotParts {
		c.catchup.storeReads++
		c.startStoreCall(StoreCall{Op: StoreGet, Key: snapshotKey(head.Snapshot, part)}, func(now time.Duration, r StoreDone) {
			c.catchup.storeReads--
			if r.Err == nil {
				c.catchup.snapshotParts[part] = r.Object.Value
			}
			if len(c.catchup.snapshotParts) == head.SnapshotParts {
				c.keepSnapshot(head.Snapshot, partsInOrder(c.catchup.snapshotParts))
			}
			c.advanceCatchup(now)
		})
	}
}

// partsInOrder returns the snapshot parts sorted by index.
func partsInOrder(parts map[int][]byte) [][]byte {
	list := make([][]byte, 0, len(parts))
	for _, i := range sortedKeys(parts) {
		list = append(list, parts[i])
	}
	return list
}

// keepSnapshot decodes a snapshot and keeps it for the target.
func (c *Core) keepSnapshot(number uint64, parts [][]byte) {
	snapshot, err := decodeSnapshot(number, parts)
	if err != nil {
		c.emit(Note{Kind: NoteDecodeFailed, Ticket: number, Err: err})
		return
	}
	c.catchup.snapshot = snapshot
	c.catchup.snapshotNumber = number
}

// addTicket parses and keeps a ticket that the store or a peer returned.
func (c *Core) addTicket(number uint64, raw []byte) {
	if c.tickets[number] != nil {
		return
	}
	t, findings := Parse(raw)
	if len(findings) > 0 || t.Number != number {
		c.emit(Note{Kind: NoteDecodeFailed, Ticket: number, Err: Error.New("body of ticket %d has number %d and %d findings", number, t.Number, len(findings))})
		return
	}
	c.tickets[number] = &encodedTicket{raw: raw, ticket: t}
}

// handleFetch responds to a peer that fetches tickets. The response is complete
// up to the applied head unless More is set.
func (c *Core) handleFetch(e FetchReceived) {
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
		response.Snapshot = c.snapshotState.encodeSnapshot(head.Snapshot)
	}
	size := 0
	for _, number := range head.Tickets {
		if number <= e.Above {
			continue
		}
		raw := c.tickets[number].raw
		if size > 0 && size+len(raw) > maxFetchBytes {
			response.More = true
			break
		}
		size += len(raw)
		response.Tickets = append(response.Tickets, &peerpb.Ticket{Number: number, Body: raw})
	}
	c.emit(PeerResponse{Fetch: response})
}

func (c *Core) handleFetchDone(now time.Duration, e FetchDone) {
	c.catchup.fetching = false
	r := e.Response
	if r == nil {
		c.advanceCatchup(now)
		return
	}
	c.addTickets(r.GetTickets())
	head, err := decodeHead(r.GetHead())
	if err != nil {
		c.emit(Note{Kind: NoteDecodeFailed, Err: err})
		return
	}
	if len(r.GetSnapshot()) > 0 {
		c.keepSnapshot(head.Snapshot, r.GetSnapshot())
	}
	source := ""
	if r.GetMore() {
		source = e.Address // the peer has the remaining tickets
	}
	c.handleNewerHead(now, versionedHead{head: head, version: r.GetHeadVersion()}, source)
}

func (c *Core) addTickets(tickets []*peerpb.Ticket) {
	for _, t := range tickets {
		c.addTicket(t.GetNumber(), t.GetBody())
	}
}

// readHead reads the head from the store, one read at a time.
func (c *Core) readHead(now time.Duration) {
	if c.watch.readingHead {
		return
	}
	c.watch.readingHead = true
	c.startStoreCall(StoreCall{Op: StoreGet, Key: headKey}, func(now time.Duration, r StoreDone) {
		c.watch.readingHead = false
		c.handleHeadRead(now, r)
	})
}

// handleHeadRead processes the result of a read of the head and reports success.
// It does not record a store contact: only a list or watch of the control prefix
// also shows whether this instance is still registered.
func (c *Core) handleHeadRead(now time.Duration, r StoreDone) bool {
	if errors.Is(r.Err, store.ErrNotFound) {
		c.handleNewerHead(now, versionedHead{}, "")
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
	c.handleNewerHead(now, versionedHead{head: head, version: versionNumber(r.Object.Version)}, "")
	return true
}
