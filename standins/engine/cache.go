package engine

import (
	"container/list"
	"math/rand/v2"
	"strconv"
	"time"
)

// maxCacheEvents is the capacity of the event log, in events. The older half is
// dropped when the log is full.
const maxCacheEvents = 4096

// CacheEvent reports that a block was stored in the prefix cache or evicted.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Kind  string `json:"kind"`  // stored or evicted
	Block string `json:"block"` // hash in hexadecimal
	at    time.Time
}

// prefixCache is an LRU cache of prompt blocks. Like that of a real engine, its
// event log is delayed and incomplete.
type prefixCache struct {
	capacity      int
	eventDelay    time.Duration
	eventLossRate float64
	random        *rand.Rand
	lru           *list.List // most recently used first; values are block hashes
	blocks        map[uint64]*list.Element
	events        []CacheEvent
	lastSeq       uint64
}

func newPrefixCache(o Options) *prefixCache {
	return &prefixCache{
		capacity:      o.CacheBlocks,
		eventDelay:    o.CacheEventDelay,
		eventLossRate: o.CacheEventLossRate,
		random:        rand.New(rand.NewPCG(o.Seed, 1)),
		lru:           list.New(),
		blocks:        make(map[uint64]*list.Element),
	}
}

// lookUpAndStore returns how many leading blocks were cached, and marks all blocks
// as most recently used, storing those that are missing.
func (c *prefixCache) lookUpAndStore(now time.Time, blocks []uint64) int {
	hits := 0
	for hits < len(blocks) && c.blocks[blocks[hits]] != nil {
		hits++
	}
	for _, block := range blocks {
		c.store(now, block)
	}
	return hits
}

func (c *prefixCache) store(now time.Time, block uint64) {
	if element := c.blocks[block]; element != nil {
		c.lru.MoveToFront(element)
		return
	}
	if c.capacity <= 0 {
		return
	}
	if len(c.blocks) >= c.capacity {
		oldest := c.lru.Back()
		c.lru.Remove(oldest)
		delete(c.blocks, oldest.Value.(uint64))
		c.logEvent(now, "evicted", oldest.Value.(uint64))
	}
	c.blocks[block] = c.lru.PushFront(block)
	c.logEvent(now, "stored", block)
}

// logEvent appends an event to the log or loses it with the probability
// eventLossRate. Lost events have a number too, so that a reader can detect the gap.
func (c *prefixCache) logEvent(now time.Time, kind string, block uint64) {
	c.lastSeq++
	if c.random.Float64() < c.eventLossRate {
		return
	}
	c.events = append(c.events, CacheEvent{Seq: c.lastSeq, Kind: kind, Block: strconv.FormatUint(block, 16), at: now})
	if len(c.events) > maxCacheEvents {
		c.events = append([]CacheEvent(nil), c.events[maxCacheEvents/2:]...)
	}
}

// eventsAfter returns the events with a higher sequence number than seq that
// are older than the event delay.
func (c *prefixCache) eventsAfter(now time.Time, seq uint64) []CacheEvent {
	visible := []CacheEvent{}
	for _, event := range c.events {
		if event.Seq > seq && now.Sub(event.at) >= c.eventDelay {
			visible = append(visible, event)
		}
	}
	return visible
}
