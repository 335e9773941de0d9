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
	prefixTTL = 60 * time.Second
	// maxHeldTokens bounds the memory of held prefixes to 4 MB.
	maxStoredTokens = 1 << 20
)

// prefixPeer returns the peer that holds the prefix of a generation: in
// another failure domain of the same region, by rendezvous hashing.
func checkpointPeer(live []PeerInfo, origin api.Place, generation string) (PeerInfo, bool) {
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
func checkpointPeerCandidates(live []PeerInfo, generation string) []PeerInfo {
	var list []PeerInfo
	seen := make(map[api.InstanceID]bool)
	places := make(map[api.Place]bool)
	add := func(place api.Place) {
		if places[place] {
			return
		}
		places[place] = true
		peer, ok := checkpointPeer(live, place, generation)
		if ok && !seen[peer.ID] {
			seen[peer.ID] = true
			list = append(list, peer)
		}
	}
	for _, p := range live {
		add(p.Place)
		// No instance may be left of the origin's failure domain.
		add(api.Place{Region: p.Place.Region})
	}
	return list
}

type sentPrefix struct {
	peer api.InstanceID
	next int
}

// checkpointSender hands delivered tokens to peers beside the loop. Only the
// latest state of each generation waits, so the queue is bounded by the number
// of generations.
type checkpointSender struct {
	runner         *Runner
	mu             sync.Mutex
	pending        map[string]SendCheckpoint
	flushRequested chan struct{}
	sent           map[string]sentPrefix // owned by run
}

func newCheckpointSender(r *Runner) *checkpointSender {
	return &checkpointSender{
		runner: r, pending: make(map[string]SendCheckpoint), sent: make(map[string]sentPrefix), flushRequested: make(chan struct{}, 1),
	}
}

func (s *checkpointSender) add(c SendCheckpoint) {
	s.mu.Lock()
	s.pending[c.Generation] = c
	s.mu.Unlock()
	select {
	case s.flushRequested <- struct{}{}:
	default:
	}
}

func (s *checkpointSender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.flushRequested:
			s.flush(ctx)
		}
	}
}

func (s *checkpointSender) flush(ctx context.Context) {
	s.mu.Lock()
	pending := s.pending
	s.pending = make(map[string]SendCheckpoint, len(pending))
	s.mu.Unlock()
	live := s.runner.o.Peers.Live()
	batches := make(map[string]*peerpb.CheckpointRequest)
	for id, c := range pending {
		target, ok := checkpointPeer(live, s.runner.o.Place, id)
		if !ok {
			continue
		}
		batch := batches[target.Address]
		if batch == nil {
			batch = &peerpb.CheckpointRequest{From: string(s.runner.o.Instance)}
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
			if _, err := s.runner.o.Peers.Client(address).Checkpoint(ctx, batch); err != nil {
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
func (s *checkpointSender) delta(target api.InstanceID, c SendCheckpoint) *peerpb.Prefix {
	from := c.From
	if last, ok := s.sent[c.Generation]; ok && last.peer == target && last.next >= c.From {
		from = min(last.next, c.From+len(c.Tokens))
	}
	s.sent[c.Generation] = sentPrefix{peer: target, next: c.From + len(c.Tokens)}
	if c.Ended {
		delete(s.sent, c.Generation)
	}
	return &peerpb.Prefix{Generation: c.Generation, From: uint64(from), Tokens: c.Tokens[from-c.From:], Ended: c.Ended}
}

type storedPrefix struct {
	generation string
	tokens     []uint32
	expiresAt  time.Duration
}

// holder keeps the prefixes that other instances hand over, bounded in time
// and size.
type prefixStore struct {
	mu          sync.Mutex
	byID        map[string]*list.Element
	updateOrder *list.List // of *heldPrefix, the least recently updated first
	tokens      int
}

func newPrefixStore() *prefixStore {
	return &prefixStore{byID: make(map[string]*list.Element), updateOrder: list.New()}
}

func (h *prefixStore) store(now time.Duration, p *peerpb.Prefix) {
	h.mu.Lock()
	defer h.mu.Unlock()
	element := h.byID[p.Generation]
	if element == nil {
		if p.From > 0 {
			return // the part before is not here
		}
		element = h.updateOrder.PushBack(&storedPrefix{generation: p.Generation})
		h.byID[p.Generation] = element
	}
	stored := element.Value.(*storedPrefix)
	stored.expiresAt = now + prefixTTL
	h.updateOrder.MoveToBack(element)
	from := int(min(p.From, uint64(len(stored.tokens)+1)))
	if from <= len(stored.tokens) && (from == 0 || from+len(p.Tokens) > len(stored.tokens)) {
		h.tokens -= len(stored.tokens)
		stored.tokens = append(stored.tokens[:from:from], p.Tokens...)
		h.tokens += len(stored.tokens)
	}
	for h.tokens > maxStoredTokens {
		h.drop(h.updateOrder.Front())
	}
}

func (h *prefixStore) drop(element *list.Element) {
	stored := h.updateOrder.Remove(element).(*storedPrefix)
	delete(h.byID, stored.generation)
	h.tokens -= len(stored.tokens)
}

func (h *prefixStore) expire(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for element := h.updateOrder.Front(); element != nil; element = h.updateOrder.Front() {
		if element.Value.(*storedPrefix).expiresAt > now {
			return
		}
		h.drop(element)
	}
}

func (h *prefixStore) get(generation string) ([]uint32, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	element := h.byID[generation]
	if element == nil {
		return nil, false
	}
	return append([]uint32(nil), element.Value.(*storedPrefix).tokens...), true
}

// StoreCheckpoint keeps the tokens that a peer hands over.
func (r *Runner) StoreCheckpoint(request *peerpb.CheckpointRequest) {
	now := r.o.Clock()
	for _, prefix := range request.Prefixes {
		r.prefixes.store(now, prefix)
	}
}

// StoredPrefix returns the tokens that are held for a generation.
func (r *Runner) StoredPrefix(generation string) ([]uint32, bool) { return r.prefixes.get(generation) }

// fetchPrefix asks the peers that can hold the prefix and reports the longest.
func (r *Runner) fetchPrefix(action FetchPrefix) {
	best, _ := r.StoredPrefix(action.Generation)
	if r.o.Peers != nil {
		best = r.fetchFromPeers(action.Generation, best)
	}
	r.post(PrefixFetched{Generation: action.Generation, Tokens: best})
}

func (r *Runner) fetchFromPeers(generation string, best []uint32) []uint32 {
	ctx, cancel := context.WithTimeout(r.ctx, fetchTimeout)
	defer cancel()
	var calls sync.WaitGroup
	var mu sync.Mutex
	for _, p := range checkpointPeerCandidates(r.o.Peers.Live(), generation) {
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
