package ticket

import (
	"errors"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/store"
)

const (
	// compactAbove is how many accepted tickets the head names before the older
	// ones are folded into a snapshot: about 70 minutes at 2,600 a day. The head
	// goes through each instance about 24 times per ticket, so that its list is
	// kept short.
	compactAbove = 128
	// compactKeep is how many of them stay named, so that an instance that was
	// away for half an hour needs no snapshot, and a diff has some history.
	compactKeep = 64
)

// compaction writes a snapshot and moves the head to it.
type compaction struct {
	busy    bool
	retryAt time.Duration
}

// tryCompact folds old accepted tickets into a snapshot. Only the first
// collector does, and only while nothing waits for acceptance.
func (c *Core) tryCompact(now time.Duration) {
	head := &c.applied.head
	if !c.ready || c.compact.busy || now < c.compact.retryAt || head.Accepted < head.Latest || len(head.Tickets) <= compactAbove {
		return
	}
	if order := c.collectorOrder(); !c.storeReached(now) || len(order) == 0 || order[0] != c.options.Instance {
		return
	}
	next := head.clone()
	cut := len(next.Tickets) - compactKeep
	next.Snapshot = next.Tickets[cut-1]
	next.Tickets = slices.Clone(next.Tickets[cut:])
	state := c.base.clone()
	for _, number := range head.Tickets[:cut] {
		state.apply(c.bodies[number].ticket)
	}
	parts := state.encodeSnapshot(next.Snapshot)
	next.SnapshotParts = len(parts)
	c.compact.busy = true
	c.writePart(next, parts, 0)
}

// writePart writes the parts one after the other, then the head. A part that
// exists is from an earlier attempt: the fold of the same tickets is the same.
func (c *Core) writePart(next Head, parts [][]byte, i int) {
	if i == len(parts) {
		c.writeCompacted(next)
		return
	}
	c.call(StoreCall{Op: StorePut, Key: snapshotKey(next.Snapshot, i), Value: parts[i]}, func(now time.Duration, r StoreDone) {
		if r.Err == nil || errors.Is(r.Err, store.ErrConflict) {
			c.writePart(next, parts, i+1)
			return
		}
		c.compactEnded(now)
	})
}

func (c *Core) writeCompacted(next Head) {
	expect := store.Version(c.applied.version)
	if c.applied.head.Latest != next.Latest || c.applied.head.Accepted != next.Accepted || c.applied.head.Snapshot >= next.Snapshot {
		c.compact.busy = false // the head moved meanwhile
		return
	}
	next.Held = slices.Clone(c.applied.head.Held)
	previous := c.applied.head.clone()
	c.call(StoreCall{Op: StorePut, Key: headKey, Value: next.encode(), Expect: expect}, func(now time.Duration, r StoreDone) {
		c.compactEnded(now)
		if r.Err == nil {
			c.learn(now, known{head: next, version: version(r.Object.Version)}, "")
			c.deleteSnapshot(&previous)
			return
		}
		c.readHead(now)
	})
}

// deleteSnapshot removes the parts that no head names any more. An instance that
// is just reading them reads the head again. A failure leaves an unused object.
func (c *Core) deleteSnapshot(head *Head) {
	for part := range head.SnapshotParts {
		key := snapshotKey(head.Snapshot, part)
		c.call(StoreCall{Op: StoreGet, Key: key}, func(_ time.Duration, r StoreDone) {
			if r.Err == nil {
				c.call(StoreCall{Op: StoreDelete, Key: key, Expect: r.Object.Version}, func(time.Duration, StoreDone) {})
			}
		})
	}
}

func (c *Core) compactEnded(now time.Duration) {
	c.compact.busy = false
	c.compact.retryAt = now + acceptRetry
}
