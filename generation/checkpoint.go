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
	// checkpointTimeout bounds one call to a peer. The call after a failed one
	// sends its tokens again.
	checkpointTimeout = time.Second
	// fetchPrefixTimeout is short because a caller waits for the result.
	fetchPrefixTimeout = 300 * time.Millisecond
	// takeoverTimeout bounds the call that notifies the previous instance.
	takeoverTimeout = time.Second
	// prefixTTL is how long an instance stores a prefix after its last update.
	prefixTTL = 60 * time.Second
	// maxStoredTokens bounds the tokens of all stored prefixes. At 4 bytes per token
	// they take 4 MB.
	maxStoredTokens = 1 << 20
)

// checkpointPeer selects the peer that stores the prefix of a generation by
// rendezvous hashing over the instances in the other failure domains of the
// origin's region.
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

// checkpointPeerCandidates returns the peers that checkpointPeer selects for each
// place that the origin may have had. The origin may be missing from live, so its
// place is not known.
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
		// The origin's failure domain may have no live instance.
		add(api.Place{Region: p.Place.Region})
	}
	return list
}

// sentPrefix is what the latest checkpoint of a generation covered. It is removed
// if the call failed.
type sentPrefix struct {
	peer api.InstanceID
	next int // first position that was not sent
}

// checkpointSender sends delivered tokens to peers on its own goroutine, so that
// add does not block the event loop. Only the latest checkpoint of each generation
// is pending, which bounds the queue by the number of generations.
type checkpointSender struct {
	runner         *Runner
	mu             sync.Mutex
	pending        map[string]SendCheckpoint // by generation ID
	flushRequested chan struct{}
	sent           map[string]sentPrefix // by generation ID; used by run only
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
			delete(s.sent, prefix.Generation) // the next call sends all tokens
		}
		return true
	})
}

// delta returns the tokens that the peer does not have yet and records them as
// sent.
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

// prefixStore stores the prefixes that other instances send in checkpoints,
// bounded in time and size.
type prefixStore struct {
	mu          sync.Mutex
	byID        map[string]*list.Element
	updateOrder *list.List // of *storedPrefix, least recently updated first
	tokenCount  int        // of all prefixes
}

func newPrefixStore() *prefixStore {
	return &prefixStore{byID: make(map[string]*list.Element), updateOrder: list.New()}
}

func (s *prefixStore) store(now time.Duration, p *peerpb.Prefix) {
	s.mu.Lock()
	defer s.mu.Unlock()
	element := s.byID[p.Generation]
	if element == nil {
		if p.From > 0 {
			return // the tokens before From are missing
		}
		element = s.updateOrder.PushBack(&storedPrefix{generation: p.Generation})
		s.byID[p.Generation] = element
	}
	stored := element.Value.(*storedPrefix)
	stored.expiresAt = now + prefixTTL
	s.updateOrder.MoveToBack(element)
	from := int(min(p.From, uint64(len(stored.tokens)+1)))
	if from <= len(stored.tokens) && (from == 0 || from+len(p.Tokens) > len(stored.tokens)) {
		s.tokenCount -= len(stored.tokens)
		stored.tokens = append(stored.tokens[:from:from], p.Tokens...)
		s.tokenCount += len(stored.tokens)
	}
	for s.tokenCount > maxStoredTokens {
		s.drop(s.updateOrder.Front())
	}
}

func (s *prefixStore) drop(element *list.Element) {
	stored := s.updateOrder.Remove(element).(*storedPrefix)
	delete(s.byID, stored.generation)
	s.tokenCount -= len(stored.tokens)
}

func (s *prefixStore) expire(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for element := s.updateOrder.Front(); element != nil; element = s.updateOrder.Front() {
		if element.Value.(*storedPrefix).expiresAt > now {
			return
		}
		s.drop(element)
	}
}

func (s *prefixStore) get(generation string) ([]uint32, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	element := s.byID[generation]
	if element == nil {
		return nil, false
	}
	return append([]uint32(nil), element.Value.(*storedPrefix).tokens...), true
}

// StoreCheckpoint stores the tokens that a peer sent.
func (r *Runner) StoreCheckpoint(request *peerpb.CheckpointRequest) {
	now := r.o.Clock()
	for _, prefix := range request.Prefixes {
		r.prefixes.store(now, prefix)
	}
}

// StoredPrefix returns the tokens that are stored for a generation.
func (r *Runner) StoredPrefix(generation string) ([]uint32, bool) { return r.prefixes.get(generation) }

// fetchPrefix posts the longest prefix that this instance or one of the peers
// stores.
func (r *Runner) fetchPrefix(action FetchPrefix) {
	longest, _ := r.StoredPrefix(action.Generation)
	if r.o.Peers != nil {
		longest = r.fetchFromPeers(action.Generation, longest)
	}
	r.post(PrefixFetched{Generation: action.Generation, Tokens: longest})
}

func (r *Runner) fetchFromPeers(generation string, longest []uint32) []uint32 {
	ctx, cancel := context.WithTimeout(r.ctx, fetchPrefixTimeout)
	defer cancel()
	var calls sync.WaitGroup
	var mu sync.Mutex
	for _, p := range checkpointPeerCandidates(r.o.Peers.Live(), generation) {
		if p.ID == r.o.Instance {
			continue
		}
		calls.Go(func() {
			response, err := r.o.Peers.Client(p.Address).FetchPrefix(ctx, &peerpb.FetchPrefixRequest{Generation: generation})
			if err != nil || !response.Found {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if len(response.Tokens) > len(longest) {
				longest = response.Tokens
			}
		})
	}
	calls.Wait()
	return longest
}

// notifyTakeover tells the previous instance, if it is alive, to end its caller
// connection.
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
		// If the call fails, the previous instance learns of the takeover from the
		// engine, which ends its stream with finish reason "superseded".
		_, _ = r.o.Peers.Client(p.Address).Takeover(ctx, request)
		return
	}
}
