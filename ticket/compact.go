package ticket

import (
	"errors"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/store"
)

const (
	// compactThresholdTickets is the number of accepted tickets that the head
	// lists before the older ones are moved to a snapshot: about 70 minutes of
	// tickets at 2,600 a day. The list is kept short because the head passes
	// through each instance about 24 times per ticket.
	compactThresholdTickets = 128
	// compactRetainedTickets is the number of accepted tickets that the head still
	// lists after compaction, so that an instance that was disconnected for half an
	// hour needs no snapshot and operators can diff recent tickets.
	compactRetainedTickets = 64
)

// compaction is the state of writing a snapshot and moving the head to it.
type compaction struct {
	writing bool          // an attempt is running
	retryAt time.Duration // no attempt before this time
}

// tryCompact moves old accepted tickets to a snapshot. Only the first collector
// does so, and only while no ticket waits for acceptance.
func (c *Core) tryCompact(now time.Duration) {
	head := &c.applied.head
	if !c.ready || c.compaction.writing || now < c.compaction.retryAt || head.Accepted < head.Latest || len(head.Tickets) <= compactThresholdTickets {
		return
	}
	if order := c.collectorOrder(); !c.storeReachable(now) || len(order) == 0 || order[0] != c.options.Instance {
		return
	}
	next := head.clone()
	compactedCount := len(next.Tickets) - compactRetainedTickets
	next.Snapshot = next.Tickets[compactedCount-1]
	next.Tickets = slices.Clone(next.Tickets[compactedCount:])
	state := c.snapshotState.clone()
	for _, number := range head.Tickets[:compactedCount] {
		state.apply(c.tickets[number].ticket)
	}
	parts := state.encodeSnapshot(next.Snapshot)
	next.SnapshotParts = len(parts)
	c.compaction.writing = true
	c.writeSnapshotPart(next, parts, 0)
}

// writeSnapshotPart writes the parts from i on one after the other, then the
// head. A part that exists already is from an earlier attempt and has the same
// content, because the same tickets result in the same state.
func (c *Core) writeSnapshotPart(next Head, parts [][]byte, i int) {
	if i == len(parts) {
		c.writeCompactedHead(next)
		return
	}
	c.startStoreCall(StoreCall{Op: StorePut, Key: snapshotKey(next.Snapshot, i), Value: parts[i]}, func(now time.Duration, r StoreDone) {
		if r.Err == nil || errors.Is(r.Err, store.ErrConflict) {
			c.writeSnapshotPart(next, parts, i+1)
			return
		}
		c.finishCompaction(now)
	})
}

func (c *Core) writeCompactedHead(next Head) {
	expect := store.Version(c.applied.version)
	if c.applied.head.Latest != next.Latest || c.applied.head.Accepted != next.Accepted || c.applied.head.Snapshot >= next.Snapshot {
		c.compaction.writing = false // the head has changed since the compaction started
		return
	}
	next.Held = slices.Clone(c.applied.head.Held)
	previous := c.applied.head.clone()
	c.startStoreCall(StoreCall{Op: StorePut, Key: headKey, Value: next.encode(), ExpectedVersion: expect}, func(now time.Duration, r StoreDone) {
		c.finishCompaction(now)
		if r.Err == nil {
			c.handleNewerHead(now, versionedHead{head: next, version: versionNumber(r.Object.Version)}, "")
			c.deleteSnapshot(&previous)
			return
		}
		c.readHead(now)
	})
}

// deleteSnapshot deletes the parts of a replaced snapshot. An instance that is
// still reading them reads the head again. Each part is read first, because the
// delete needs its version. A failed delete leaves an unused object in the store.
func (c *Core) deleteSnapshot(head *Head) {
	for part := range head.SnapshotParts {
		key := snapshotKey(head.Snapshot, part)
		c.startStoreCall(StoreCall{Op: StoreGet, Key: key}, func(_ time.Duration, r StoreDone) {
			if r.Err == nil {
				c.startStoreCall(StoreCall{Op: StoreDelete, Key: key, ExpectedVersion: r.Object.Version}, func(time.Duration, StoreDone) {})
			}
		})
	}
}

// finishCompaction ends an attempt and delays the next one.
func (c *Core) finishCompaction(now time.Duration) {
	c.compaction.writing = false
	c.compaction.retryAt = now + headUpdateRetryDelay
}
