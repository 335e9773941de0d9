package placement

const (
	// hintCapacity bounds the remembered blocks. With about 40 recorded blocks
	// for a prompt this covers some 400 prompts.
	hintCapacity = 16384
	// hintHolders is the number of endpoints remembered for one block.
	hintHolders = 3
	// leadingBlocks is the part of a prompt that selects an endpoint as long as
	// nothing is known about the prompt.
	leadingBlocks = 4
)

// hint is what is known about one block.
type hint struct {
	holders [hintHolders]holder
	next    uint8
	// requests counts the prompts with the block.
	requests uint32
	// touched protects the block in the next round of eviction.
	touched bool
}

// holder is an endpoint that most likely holds a block, as long as its epoch is
// the endpoint's.
type holder struct {
	endpoint *endpoint
	epoch    uint32
}

func (h holder) valid() bool { return h.endpoint != nil && h.epoch == h.endpoint.hintEpoch }

// hints remembers prompt blocks: how often they occur and which endpoints most
// likely hold them. It is never relied on; a wrong hint costs a prefill.
type hints struct {
	blocks map[uint64]hint
	order  []uint64
	hand   int
}

func newHints() hints {
	return hints{blocks: make(map[uint64]hint)}
}

// recorded reports whether the block at the index is kept in the table. The
// distance grows with the depth, so that a long prompt costs few entries.
func recorded(index int) bool {
	switch {
	case index < 16:
		return true
	case index < 64:
		return index%4 == 3
	case index < 256:
		return index%16 == 15
	default:
		return index%64 == 63
	}
}

func (h *hints) count(blocks []uint64) {
	for index, block := range blocks {
		if recorded(index) {
			known := h.entry(block)
			known.requests++
			known.touched = true
			h.blocks[block] = known
		}
	}
}

func (h *hints) record(blocks []uint64, e *endpoint) {
	for index, block := range blocks {
		if recorded(index) {
			h.hold(block, e)
		}
	}
}

func (h *hints) hold(block uint64, e *endpoint) {
	known := h.entry(block)
	for _, have := range known.holders {
		if have.endpoint == e && have.valid() {
			return
		}
	}
	known.holders[known.next%hintHolders] = holder{endpoint: e, epoch: e.hintEpoch}
	known.next = (known.next + 1) % hintHolders
	h.blocks[block] = known
}

// entry returns the block's entry and makes room for it.
func (h *hints) entry(block uint64) hint {
	if known, ok := h.blocks[block]; ok {
		return known
	}
	if len(h.order) < hintCapacity {
		h.order = append(h.order, block)
	} else {
		h.evict()
		h.order[h.hand] = block
		h.hand = (h.hand + 1) % hintCapacity
	}
	h.blocks[block] = hint{}
	return hint{}
}

// evict removes the next block that was not touched since the last round.
func (h *hints) evict() {
	for {
		block := h.order[h.hand]
		known := h.blocks[block]
		if !known.touched {
			delete(h.blocks, block)
			return
		}
		known.touched = false
		h.blocks[block] = known
		h.hand = (h.hand + 1) % hintCapacity
	}
}

func (h *hints) forget(block uint64, e *endpoint) {
	known, ok := h.blocks[block]
	if !ok {
		return
	}
	for i, have := range known.holders {
		if have.endpoint == e {
			known.holders[i] = holder{}
		}
	}
	h.blocks[block] = known
}

// drop forgets everything about the endpoint.
func (h *hints) drop(e *endpoint) { e.hintEpoch++ }

// key returns the deepest block that other prompts have too, and its depth.
// Requests with a shared prefix get the same key on every instance.
func (h *hints) key(blocks []uint64) (uint64, int) {
	for index := len(blocks) - 1; index >= 0; index-- {
		if recorded(index) && h.blocks[blocks[index]].requests >= 2 {
			return blocks[index], index
		}
	}
	index := min(leadingBlocks, len(blocks)) - 1
	return blocks[index], index
}

// deepestHolder returns the acceptable endpoint that holds most of the prompt.
func (h *hints) deepestHolder(blocks []uint64, accept func(*endpoint) bool) (*endpoint, int) {
	for index := len(blocks) - 1; index >= 0; index-- {
		if !recorded(index) {
			continue
		}
		for _, have := range h.blocks[blocks[index]].holders {
			if have.valid() && accept(have.endpoint) {
				return have.endpoint, index
			}
		}
	}
	return nil, -1
}

// byAffinity returns the endpoint that most likely has the prompt's prefix in
// its cache and is not loaded beyond the bound, or nil.
func (c *Core) byAffinity(blocks []uint64, bound loadBound) *endpoint {
	key, depth := c.hints.key(blocks)
	holder, held := c.hints.deepestHolder(blocks, func(e *endpoint) bool {
		return e.pass == c.pass && bound.within(e)
	})
	if holder != nil && held > depth {
		return holder
	}
	var first, within *endpoint
	var firstScore, withinScore uint64
	for _, e := range c.usable {
		score := combine(key, e.hash)
		if first == nil || score > firstScore {
			first, firstScore = e, score
		}
		if bound.within(e) && (within == nil || score > withinScore) {
			within, withinScore = e, score
		}
	}
	if first != within && holder != nil {
		return holder
	}
	return within
}

// cacheReported takes cache events as hints. A gap may hide evictions, so
// everything known about the endpoint is dropped.
func (c *Core) cacheReported(report CacheReported) {
	e, ok := c.endpoints[report.Endpoint]
	if !ok {
		return
	}
	for _, event := range report.CacheEventsReported {
		if event.Sequence <= e.cacheLast {
			continue
		}
		if e.cacheLast != 0 && event.Sequence != e.cacheLast+1 {
			c.hints.drop(e)
		}
		e.cacheLast = event.Sequence
		if event.Evicted {
			c.hints.forget(event.Block, e)
		} else {
			c.hints.hold(event.Block, e)
		}
	}
}
