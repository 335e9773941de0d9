package engine

import (
	"container/list"
	"math/rand/v2"
	"strconv"
	"time"
)

// maxCacheEvents bounds the event log; older events are lost.
const maxCacheEvents = 4096

// CacheEvent tells of a block that entered or left the prefix cache.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Kind  string `json:"kind"` // stored or evicted
	Block string `json:"block"`
	at    time.Time
}

// prefixCache keeps the blocks used last. Its event log is late and has gaps.
type prefixCache struct {
	capacity int
	delay    time.Duration
	lossRate float64
	random   *rand.Rand
	order    *list.List // most recently used first; values are block hashes
	blocks   map[uint64]*list.Element
	events   []CacheEvent
	seq      uint64
}

func newPrefixCache(o Options) *prefixCache {
	return &prefixCache{
		capacity: o.CacheBlocks,
		delay:    o.CacheEventDelay,
		lossRate: o.CacheEventLossRate,
		random:   rand.New(rand.NewPCG(o.Seed, 1)),
		order:    list.New(),
		blocks:   make(map[uint64]*list.Element),
	}
}

// use returns how many leading blocks were cached, and stores all of them.
func (c *prefixCache) use(now time.Time, blocks []uint64) int {
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
		c.order.MoveToFront(element)
		return
	}
	if c.capacity <= 0 {
		return
	}
	if len(c.blocks) >= c.capacity {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.blocks, oldest.Value.(uint64))
		c.log(now, "evicted", oldest.Value.(uint64))
	}
	c.blocks[block] = c.order.PushFront(block)
	c.log(now, "stored", block)
}

// log gives every event a number, also those that are lost, so that a reader
// can see the gap.
func (c *prefixCache) log(now time.Time, kind string, block uint64) {
	c.seq++
	if c.random.Float64() < c.lossRate {
		return
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, Kind: kind, Block: strconv.FormatUint(block, 16), at: now})
	if len(c.events) > maxCacheEvents {
		c.events = append([]CacheEvent(nil), c.events[maxCacheEvents/2:]...)
	}
}

// after returns the events above the number that are old enough to be seen.
func (c *prefixCache) after(now time.Time, seq uint64) []CacheEvent {
	seen := []CacheEvent{}
	for _, event := range c.events {
		if event.Seq > seq && now.Sub(event.at) >= c.delay {
			seen = append(seen, event)
		}
	}
	return seen
}
