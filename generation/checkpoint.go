package generation

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

const (
	// checkpointTimeout bounds one call; the next one carries what it lost.
	checkpointTimeout = time.Second
	// fetchTimeout bounds the question for a prefix while a caller waits.
	fetchTimeout = 300 * time.Millisecond
	// takeoverTimeout bounds the notice to the origin instance.
	takeoverTimeout = time.Second
	// holdTime is how long a peer keeps a prefix after its last update.
	holdTime = 60 * time.Second
	// maxHeldTokens bounds the memory of held prefixes to 4 MB.
	maxHeldTokens = 1 << 20
)

// prefixPeer returns the peer that holds the prefix of a generation: in
// another failure domain of the same region, by rendezvous hashing.
func prefixPeer(live []PeerInfo, origin api.Place, generation string) (PeerInfo, bool) {
	var best PeerInfo
	var bestScore uint64
	found := false
	for _, p := range live {
		if p.Place.Region != origin.Region || p.Place.FailureDomain == origin.FailureDomain {
			continue
		}
		score := xxhash.Sum64String(generation + "\x00" + string(p.ID))
		if !found || score > bestScore || score == bestScore && p.ID < best.ID {
			best, bestScore, found = p, score, true
		}
	}
	return best, found
}

// prefixPeers returns the peers that hold the prefix for any place that the
// origin, which may be gone from the list, can have had.
func prefixPeers(live []PeerInfo, generation string) []PeerInfo {
	var list []PeerInfo
	seen := make(map[api.InstanceID]bool)
	places := make(map[api.Place]bool)
	add := func(place api.Place) {
		if places[place] {
			return
		}
		places[place] = true
		holder, ok := prefixPeer(live, place, generation)
		if ok && !seen[holder.ID] {
			seen[holder.ID] = true
			list = append(list, holder)
		}
	}
	for _, p := range live {
		add(p.Place)
		// No instance may be left of the origin's failure domain.
		add(api.Place{Region: p.Place.Region})
	}
	return list
}

type sentState struct {
	peer api.InstanceID
	upto int
}

// checkpointSender hands delivered tokens to peers beside the loop. Only the
// latest state of each generation waits, so the queue is bounded by the number
// of generations.
type checkpointSender struct {
	r       *Runner
	mu      sync.Mutex
	pending map[string]Checkpoint
	wake    chan struct{}
	sent    map[string]sentState // owned by run
}

func newCheckpointSender(r *Runner) *checkpointSender {
	return &checkpointSender{
		r: r, pending: make(map[string]Checkpoint), sent: make(map[string]sentState), wake: make(chan struct{}, 1),
	}
}

func (s *checkpointSender) add(c Checkpoint) {
	s.mu.Lock()
	s.pending[c.Generation] = c
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *checkpointSender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.flush(ctx)
		}
	}
}

func (s *checkpointSender) flush(ctx context.Context) {
	s.mu.Lock()
	pending := s.pending
	s.pending = make(map[string]Checkpoint, len(pending))
	s.mu.Unlock()
	live := s.r.o.Peers.Live()
	batches := make(map[string]*peerpb.CheckpointRequest)
	for id, c := range pending {
		target, ok := prefixPeer(live, s.r.o.Place, id)
		if !ok {
			continue
		}
		batch := batches[target.Address]
		if batch == nil {
			batch = &peerpb.CheckpointRequest{From: string(s.r.o.Instance)}
			batches[target.Address] = batch
		}
		batch.Prefixes = append(batch.Prefixes, s.delta(target.ID, c))
	}
	var calls sync.WaitGroup
	var failed sync.Map
	for address, batch := range batches {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
			defer cancel()
			if _, err := s.r.o.Peers.Client(address).Checkpoint(ctx, batch); err != nil {
				failed.Store(address, batch)
			}
		})
	}
	calls.Wait()
	failed.Range(func(_, value any) bool {
		for _, prefix := range value.(*peerpb.CheckpointRequest).Prefixes {
			delete(s.sent, prefix.Generation) // the next call sends everything
		}
		return true
	})
}

// delta returns what the peer lacks of a generation.
func (s *checkpointSender) delta(target api.InstanceID, c Checkpoint) *peerpb.Prefix {
	from := c.From
	if last, ok := s.sent[c.Generation]; ok && last.peer == target && last.upto >= c.From {
		from = min(last.upto, c.From+len(c.Tokens))
	}
	s.sent[c.Generation] = sentState{peer: target, upto: c.From + len(c.Tokens)}
	if c.Ended {
		delete(s.sent, c.Generation)
	}
	return &peerpb.Prefix{Generation: c.Generation, From: uint64(from), Tokens: c.Tokens[from-c.From:], Ended: c.Ended}
}

type heldPrefix struct {
	generation string
	tokens     []uint32
	until      time.Duration
}

// holder keeps the prefixes that other instances hand over, bounded in time
// and size.
type holder struct {
	mu     sync.Mutex
	byID   map[string]*list.Element
	oldest *list.List // of *heldPrefix, the least recently updated first
	tokens int
}

func newHolder() *holder {
	return &holder{byID: make(map[string]*list.Element), oldest: list.New()}
}

func (h *holder) store(now time.Duration, p *peerpb.Prefix) {
	h.mu.Lock()
	defer h.mu.Unlock()
	element := h.byID[p.Generation]
	if element == nil {
		if p.From > 0 {
			return // the part before is not here
		}
		element = h.oldest.PushBack(&heldPrefix{generation: p.Generation})
		h.byID[p.Generation] = element
	}
	held := element.Value.(*heldPrefix)
	held.until = now + holdTime
	h.oldest.MoveToBack(element)
	from := int(min(p.From, uint64(len(held.tokens)+1)))
	if from <= len(held.tokens) && (from == 0 || from+len(p.Tokens) > len(held.tokens)) {
		h.tokens -= len(held.tokens)
		held.tokens = append(held.tokens[:from:from], p.Tokens...)
		h.tokens += len(held.tokens)
	}
	for h.tokens > maxHeldTokens {
		h.drop(h.oldest.Front())
	}
}

func (h *holder) drop(element *list.Element) {
	held := h.oldest.Remove(element).(*heldPrefix)
	delete(h.byID, held.generation)
	h.tokens -= len(held.tokens)
}

func (h *holder) expire(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for element := h.oldest.Front(); element != nil; element = h.oldest.Front() {
		if element.Value.(*heldPrefix).until > now {
			return
		}
		h.drop(element)
	}
}

func (h *holder) get(generation string) ([]uint32, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	element := h.byID[generation]
	if element == nil {
		return nil, false
	}
	return append([]uint32(nil), element.Value.(*heldPrefix).tokens...), true
}

// StoreCheckpoint keeps the tokens that a peer hands over.
func (r *Runner) StoreCheckpoint(request *peerpb.CheckpointRequest) {
	now := r.o.Clock()
	for _, prefix := range request.Prefixes {
		r.holder.store(now, prefix)
	}
}

// StoredPrefix returns the tokens that are held for a generation.
func (r *Runner) StoredPrefix(generation string) ([]uint32, bool) { return r.holder.get(generation) }

// fetchPrefix asks the peers that can hold the prefix and reports the longest.
func (r *Runner) fetchPrefix(action FetchPrefix) {
	best, _ := r.StoredPrefix(action.Generation)
	if r.o.Peers != nil {
		best = r.askPeers(action.Generation, best)
	}
	r.post(PrefixFetched{Generation: action.Generation, Tokens: best})
}

func (r *Runner) askPeers(generation string, best []uint32) []uint32 {
	ctx, cancel := context.WithTimeout(r.ctx, fetchTimeout)
	defer cancel()
	var calls sync.WaitGroup
	var mu sync.Mutex
	for _, p := range prefixPeers(r.o.Peers.Live(), generation) {
		if p.ID == r.o.Instance {
			continue
		}
		calls.Go(func() {
			answer, err := r.o.Peers.Client(p.Address).FetchPrefix(ctx, &peerpb.FetchPrefixRequest{Generation: generation})
			if err != nil || !answer.Found {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if len(answer.Tokens) > len(best) {
				best = answer.Tokens
			}
		})
	}
	calls.Wait()
	return best
}

// notifyTakeover tells the origin instance, if it lives, to end its connection.
func (r *Runner) notifyTakeover(action NotifyTakeover) {
	if r.o.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, takeoverTimeout)
	defer cancel()
	for _, p := range r.o.Peers.Live() {
		if p.ID != action.Instance {
			continue
		}
		request := &peerpb.TakeoverRequest{Generation: action.Generation, Attempt: action.Attempt, From: string(r.o.Instance)}
		// Without the notice the origin learns it from the engine's stream.
		_, _ = r.o.Peers.Client(p.Address).Takeover(ctx, request)
		return
	}
}
