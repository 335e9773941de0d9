package order

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/store"
)

const (
	shardKeyPrefix = "order-shards/"
	// defaultBatchShards is the number of objects that hold all claims. More shards
	// hold more claims; fewer shards combine more claims into one write.
	defaultBatchShards = 64
	// maxShardBytesForCreate is the size above which a shard takes no new claims. It leaves
	// room for the outcomes of its claims below the store's limit of 1 MB.
	maxShardBytesForCreate = 900 << 10
	// minDropExpiredInterval is the shortest time between two writes of a shard that drop
	// the claims older than ClaimRetention.
	minDropExpiredInterval = time.Minute
	// maxCommitAttempts bounds the attempts to write one batch. An attempt fails if
	// another instance has written the shard.
	maxCommitAttempts = 16
)

var (
	errShardContended   = fmt.Errorf("%w: every write of the claim shard met a conflict", store.ErrUnavailable)
	errShardUnavailable = fmt.Errorf("%w: the claim shard could not be read", store.ErrUnavailable)
	errShardMalformed   = fmt.Errorf("%w: the claim shard could not be decoded", store.ErrUnavailable)
	errClaimNotFound    = fmt.Errorf("order: the order has no claim: %w", store.ErrNotFound)
)

// batchClaimStore keeps many claims in one object per shard. While a write of a
// shard is under way, further requests for the shard queue up and go into the
// next write together. Conditional updates make writes of several instances to
// one shard safe.
type batchClaimStore struct {
	shards []*claimShard
}

func newBatchClaimStore(api store.API, shards int, wall func() time.Time) *batchClaimStore {
	b := &batchClaimStore{shards: make([]*claimShard, batchShardCount(shards))}
	for i := range b.shards {
		b.shards[i] = &claimShard{store: api, wall: wall, retention: ClaimRetention, key: fmt.Sprintf("%s%03d", shardKeyPrefix, i)}
	}
	return b
}

func batchShardCount(option int) int {
	if option <= 0 {
		return defaultBatchShards
	}
	return option
}

func (b *batchClaimStore) shard(id string) *claimShard {
	number, err := strconv.ParseUint(id[:shardDigits], 16, 32)
	if err != nil {
		return b.shards[0] // does not happen, as IDs are hexadecimal; any fixed shard is correct
	}
	return b.shards[number%uint64(len(b.shards))]
}

func (b *batchClaimStore) Create(ctx context.Context, id string, claim Claim) (uint64, error) {
	return b.submit(ctx, id, &claimRequest{kind: requestCreate, id: id, claim: claim})
}

func (b *batchClaimStore) Update(ctx context.Context, id string, claim Claim, expectedRevision uint64) (uint64, error) {
	return b.submit(ctx, id, &claimRequest{kind: requestUpdate, id: id, claim: claim, expectedRevision: expectedRevision})
}

func (b *batchClaimStore) Delete(ctx context.Context, id string, expectedRevision uint64) error {
	_, err := b.submit(ctx, id, &claimRequest{kind: requestDelete, id: id, expectedRevision: expectedRevision})
	return err
}

func (b *batchClaimStore) Read(ctx context.Context, id string) (StoredClaim, error) {
	c := &claimRequest{kind: requestRead, id: id}
	_, err := b.submit(ctx, id, c)
	if err != nil {
		return StoredClaim{}, err
	}
	return c.stored, nil
}

func (b *batchClaimStore) submit(ctx context.Context, id string, c *claimRequest) (uint64, error) {
	c.done = make(chan struct{})
	b.shard(id).enqueue(c)
	select {
	case <-c.done:
		return c.stored.Revision, c.err
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %v", store.ErrUnknown, ctx.Err())
	}
}

type requestKind int

const (
	requestRead requestKind = iota
	requestCreate
	requestUpdate
	requestDelete
)

// claimRequest is one queued read or change of a claim. Its result, stored and
// err, is set before done is closed.
type claimRequest struct {
	kind             requestKind
	id               string
	claim            Claim
	expectedRevision uint64
	done             chan struct{}
	stored           StoredClaim
	err              error
}

// shardBody is the stored form of a shard. Sequence counts its writes; a
// claim's revision is the sequence of the write that changed it last.
type shardBody struct {
	Sequence uint64                     `json:"sequence"`
	Claims   map[string]json.RawMessage `json:"claims"`
}

// claimShard is one object with many claims. It combines the requests for them into
// batches.
type claimShard struct {
	store     store.API
	wall      func() time.Time
	retention time.Duration // claims older than this are dropped
	key       string

	mu      sync.Mutex
	queue   []*claimRequest
	running bool

	// The following belong to the goroutine that executes run.
	cached           bool // body and version hold what the last load or write left in the store
	body             shardBody
	version          store.Version
	expiredDroppedAt time.Time
}

func (s *claimShard) enqueue(c *claimRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, c)
	if !s.running {
		s.running = true
		go s.run()
	}
}

// run commits the queue until it is empty.
func (s *claimShard) run() {
	for {
		s.mu.Lock()
		batch := s.queue
		s.queue = nil
		s.running = len(batch) > 0
		s.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		s.commitBatch(batch)
		for _, c := range batch {
			close(c.done)
		}
	}
}

// commitBatch applies a batch with at most one successful conditional write. It
// retries after a conflict with the write of another instance.
func (s *claimShard) commitBatch(batch []*claimRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	fresh := false // the body was loaded by this commit, so that reads and failed conditions are reliable
	for attempt := 0; attempt < maxCommitAttempts; attempt++ {
		if !s.cached || !fresh && hasRead(batch) {
			if err := s.load(ctx); err != nil {
				failBatch(batch, err)
				return
			}
			fresh = true
		}
		next, applied, failed := s.applyBatch(batch)
		if failed && !fresh {
			s.cached = false // the cached body may be older than the expected revision
			continue
		}
		if !applied {
			return
		}
		conflict := s.write(ctx, batch, next)
		if !conflict {
			return
		}
		fresh = false
	}
	failBatch(batch, errShardContended)
}

func hasRead(batch []*claimRequest) bool {
	for _, c := range batch {
		if c.kind == requestRead {
			return true
		}
	}
	return false
}

func (s *claimShard) load(ctx context.Context) error {
	object, err := s.store.Get(ctx, s.key)
	body := shardBody{Claims: make(map[string]json.RawMessage)}
	switch {
	case errors.Is(err, store.ErrNotFound):
		object.Version = 0
	case err != nil:
		return errShardUnavailable
	case json.Unmarshal(object.Value, &body) != nil:
		return errShardMalformed
	}
	s.cached, s.body, s.version = true, body, object.Version
	return nil
}

// applyBatch evaluates the batch against the cached body. It returns the changed
// body, whether any change was applied, and whether any change failed.
func (s *claimShard) applyBatch(batch []*claimRequest) (next shardBody, applied, failed bool) {
	next = shardBody{Sequence: s.body.Sequence + 1, Claims: maps.Clone(s.body.Claims)}
	if now := s.wall(); now.Sub(s.expiredDroppedAt) > minDropExpiredInterval {
		s.expiredDroppedAt = now
		dropExpired(next.Claims, now, s.retention)
	}
	size := encodedBytes(next.Claims)
	for _, c := range batch {
		if c.kind == requestRead {
			c.err = readClaimFrom(s.body, c) // without the unwritten changes of the batch
			continue
		}
		c.err = applyRequest(&next, c, size)
		switch {
		case c.err != nil:
			failed = true
		default:
			applied = true
			size += len(next.Claims[c.id])
		}
	}
	return next, applied, failed
}

func readClaimFrom(body shardBody, c *claimRequest) error {
	raw, exists := body.Claims[c.id]
	if !exists {
		return errClaimNotFound
	}
	if json.Unmarshal(raw, &c.stored) != nil {
		return errShardMalformed
	}
	return nil
}

// applyRequest applies one change to the next body. size is an estimate of the encoded
// body in bytes; updates and deletes in the same batch do not lower it.
func applyRequest(next *shardBody, c *claimRequest, size int) error {
	raw, exists := next.Claims[c.id]
	var current StoredClaim
	if exists && json.Unmarshal(raw, &current) != nil {
		return errShardMalformed
	}
	switch {
	case !exists && c.kind == requestDelete:
		return errClaimNotFound
	case c.kind == requestCreate && exists, c.kind != requestCreate && current.Revision != c.expectedRevision:
		return store.ErrConflict
	case c.kind == requestCreate && size > maxShardBytesForCreate:
		return errShardFull
	case c.kind == requestDelete:
		delete(next.Claims, c.id)
		return nil
	}
	c.stored = StoredClaim{Claim: c.claim, Revision: next.Sequence}
	encoded, err := json.Marshal(c.stored)
	if err != nil {
		return fmt.Errorf("%w: %v", store.ErrRefused, err)
	}
	next.Claims[c.id] = encoded
	return nil
}

// write stores the next body. It reports whether the write met a conflict, after
// which the batch has to be applied again.
func (s *claimShard) write(ctx context.Context, batch []*claimRequest, next shardBody) (conflict bool) {
	value, err := json.Marshal(next)
	if err != nil {
		failBatch(batch, fmt.Errorf("%w: %v", store.ErrRefused, err))
		return false
	}
	version, err := s.store.Put(ctx, s.key, value, s.version)
	switch {
	case err == nil:
		s.body, s.version = next, version
		return false
	case errors.Is(err, store.ErrConflict):
		s.cached = false
		return true
	}
	s.cached = false
	for _, c := range batch {
		if c.err == nil && c.kind != requestRead { // reads were served from the cached body
			c.err = err
		}
	}
	return false
}

// failBatch sets the error of every request of a batch. The caller ensures that none
// took effect.
func failBatch(batch []*claimRequest, err error) {
	for _, c := range batch {
		c.err = err
	}
}

// dropExpired deletes the claims that are older than the retention.
func dropExpired(claims map[string]json.RawMessage, wall time.Time, retention time.Duration) {
	for id, raw := range claims {
		var claim Claim
		if json.Unmarshal(raw, &claim) == nil && olderThan(claim, wall, retention) {
			delete(claims, id)
		}
	}
}

// claimOverheadBytes is the size of the order ID and the punctuation of an entry
// in an encoded shard.
const claimOverheadBytes = 2*hashBytes + 8

func encodedBytes(claims map[string]json.RawMessage) int {
	size := 0
	for _, raw := range claims {
		size += len(raw) + claimOverheadBytes
	}
	return size
}
