package placement

const (
	// maxHintBlocks bounds the size of the table. At about 40 recorded blocks per
	// prompt it holds some 400 prompts.
	maxHintBlocks = 16384
	// holdersPerBlock is the number of endpoints recorded per block.
	holdersPerBlock = 3
	// leadingBlocks is the number of leading blocks that determine the affinity key
	// of a prompt that shares no recorded block with another prompt. A block value
	// is a running hash, so it identifies the whole prefix up to the block.
	leadingBlocks = 4
)

// blockHint records what is known about one prompt block.
type blockHint struct {
	holders    [holdersPerBlock]blockHolder
	nextHolder uint8
	// promptCount is the number of prompts that contained the block.
	promptCount uint32
	// referenced is the reference bit of the CLOCK eviction: the block survives
	// the next pass of the clock hand.
	referenced bool
}

// blockHolder is an endpoint whose prefix cache most likely contains a block.
// It is valid while its epoch equals the endpoint's hintEpoch.
type blockHolder struct {
	endpoint *endpoint
	epoch    uint32
}

func (h blockHolder) isCurrent() bool { return h.endpoint != nil && h.epoch == h.endpoint.hintEpoch }

// prefixHints records how often prompt blocks occur and which endpoints most
// likely have them in their prefix cache. Correctness doesn't depend on it: a
// wrong hint costs one prefill. Blocks are evicted by the CLOCK algorithm.
type prefixHints struct {
	blocks       map[uint64]blockHint
	clockEntries []uint64
	clockHand    int
}

func newPrefixHints() prefixHints {
	return prefixHints{blocks: make(map[uint64]blockHint)}
}

// isRecorded reports whether the block at the index is stored in the table. The
// distance between stored blocks grows with the index, so that a long prompt
// takes few entries.
func isRecorded(index int) bool {
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

// countPrompt counts one more prompt for each recorded block.
func (h *prefixHints) countPrompt(blocks []uint64) {
	for index, block := range blocks {
		if isRecorded(index) {
			hint := h.getOrCreate(block)
			hint.promptCount++
			hint.referenced = true
			h.blocks[block] = hint
		}
	}
}

// recordHolder adds the endpoint as a holder of all recorded blocks.
func (h *prefixHints) recordHolder(blocks []uint64, e *endpoint) {
	for index, block := range blocks {
		if isRecorded(index) {
			h.addHolder(block, e)
		}
	}
}

func (h *prefixHints) addHolder(block uint64, e *endpoint) {
	hint := h.getOrCreate(block)
	for _, holder := range hint.holders {
		if holder.endpoint == e && holder.isCurrent() {
			return
		}
	}
	hint.holders[hint.nextHolder%holdersPerBlock] = blockHolder{endpoint: e, epoch: e.hintEpoch}
	hint.nextHolder = (hint.nextHolder + 1) % holdersPerBlock
	h.blocks[block] = hint
}

// getOrCreate returns the entry of the block. If the table is full, a new entry
// replaces another block.
func (h *prefixHints) getOrCreate(block uint64) blockHint {
	if hint, ok := h.blocks[block]; ok {
		return hint
	}
	if len(h.clockEntries) < maxHintBlocks {
		h.clockEntries = append(h.clockEntries, block)
	} else {
		h.evictBlock()
		h.clockEntries[h.clockHand] = block
		h.clockHand = (h.clockHand + 1) % maxHintBlocks
	}
	h.blocks[block] = blockHint{}
	return blockHint{}
}

// evictBlock removes the next block that was not referenced since the last pass
// of the clock hand.
func (h *prefixHints) evictBlock() {
	for {
		block := h.clockEntries[h.clockHand]
		hint := h.blocks[block]
		if !hint.referenced {
			delete(h.blocks, block)
			return
		}
		hint.referenced = false
		h.blocks[block] = hint
		h.clockHand = (h.clockHand + 1) % maxHintBlocks
	}
}

func (h *prefixHints) removeHolder(block uint64, e *endpoint) {
	hint, ok := h.blocks[block]
	if !ok {
		return
	}
	for i, holder := range hint.holders {
		if holder.endpoint == e {
			hint.holders[i] = blockHolder{}
		}
	}
	h.blocks[block] = hint
}

// invalidateHolder invalidates all hints about the endpoint.
func (h *prefixHints) invalidateHolder(e *endpoint) { e.hintEpoch++ }

// affinityKey returns the deepest recorded block that at least two prompts
// contained, and its index. Requests that share a prefix get the same key on
// every instance.
func (h *prefixHints) affinityKey(blocks []uint64) (uint64, int) {
	for index := len(blocks) - 1; index >= 0; index-- {
		if isRecorded(index) && h.blocks[blocks[index]].promptCount >= 2 {
			return blocks[index], index
		}
	}
	index := min(leadingBlocks, len(blocks)) - 1
	return blocks[index], index
}

// deepestHolder returns the endpoint that accept allows and that holds the deepest
// recorded block of the prompt, and the index of this block, or nil and -1.
func (h *prefixHints) deepestHolder(blocks []uint64, accept func(*endpoint) bool) (*endpoint, int) {
	for index := len(blocks) - 1; index >= 0; index-- {
		if !isRecorded(index) {
			continue
		}
		for _, holder := range h.blocks[blocks[index]].holders {
			if holder.isCurrent() && accept(holder.endpoint) {
				return holder.endpoint, index
			}
		}
	}
	return nil, -1
}

// chooseByAffinity returns the usable endpoint that most likely has the prompt's
// prefix in its cache and is within the load bound, or nil. A holder of a block
// deeper than the affinity key comes first. Otherwise the endpoint with the highest
// rendezvous hash of the key is chosen. If that one is over the bound, a known
// holder is preferred to the endpoint with the next highest hash.
func (c *Core) chooseByAffinity(blocks []uint64, bound loadBound) *endpoint {
	key, keyDepth := c.hints.affinityKey(blocks)
	holder, holderDepth := c.hints.deepestHolder(blocks, func(e *endpoint) bool {
		return e.lastUsableSelection == c.selectionID && bound.allows(e)
	})
	if holder != nil && holderDepth > keyDepth {
		return holder
	}
	var highest, allowed *endpoint
	var highestScore, allowedScore uint64
	for _, e := range c.usable {
		score := hashPair(key, e.idHash)
		if highest == nil || score > highestScore {
			highest, highestScore = e, score
		}
		if bound.allows(e) && (allowed == nil || score > allowedScore) {
			allowed, allowedScore = e, score
		}
	}
	if highest != allowed && holder != nil {
		return holder
	}
	return allowed
}

// handleCacheEvents updates the hints from an engine's cache events. A gap in
// the sequence may hide evictions, so it invalidates all hints about the
// endpoint.
func (c *Core) handleCacheEvents(report CacheEventsReported) {
	e, ok := c.endpoints[report.Endpoint]
	if !ok {
		return
	}
	for _, event := range report.Events {
		if event.Sequence <= e.lastCacheSequence {
			continue
		}
		if e.lastCacheSequence != 0 && event.Sequence != e.lastCacheSequence+1 {
			c.hints.invalidateHolder(e)
		}
		e.lastCacheSequence = event.Sequence
		if event.Evicted {
			c.hints.removeHolder(event.Block, e)
		} else {
			c.hints.addHolder(event.Block, e)
		}
	}
}
