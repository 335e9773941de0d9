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
	batchPrefix = "order-shards/"
	// defaultBatchShards is the number of objects that share all claims. More
	// shards hold more claims, fewer gather more claims in one write.
	defaultBatchShards = 64
	// maxShardBytes keeps a shard below the store's limit of 1 MB with room for
	// the outcomes of its claims.
	maxShardBytes = 900 << 10
	// dropInterval is how often a write looks for claims above ClaimKept.
	dropInterval = time.Minute
	// maxCommitTries bounds the writes of one batch that lose against other
	// instances.
	maxCommitTries = 16
)

var (
	errContended     = fmt.Errorf("%w: the shard is written by too many instances", store.ErrUnavailable)
	errShardNotRead  = fmt.Errorf("%w: the shard could not be read", store.ErrUnavailable)
	errShardInvalid  = fmt.Errorf("%w: the shard is malformed", store.ErrUnavailable)
	errClaimNotFound = fmt.Errorf("order: no claim: %w", store.ErrNotFound)
)

// batchClaims keeps many claims in one object per shard. While one write of a
// shard is under way, further changes of the shard queue up and go into the
// next write together. Conditional updates make writes of several instances to
// one shard safe.
type batchClaims struct {
	shards []*shard
}

func newBatchClaims(api store.API, shards int, wall func() time.Time) *batchClaims {
	b := &batchClaims{shards: make([]*shard, batchShards(shards))}
	for i := range b.shards {
		b.shards[i] = &shard{store: api, wall: wall, kept: ClaimRetention, key: fmt.Sprintf("%s%03d", batchPrefix, i)}
	}
	return b
}

func batchShards(option int) int {
	if option <= 0 {
		return defaultBatchShards
	}
	return option
}

func (b *batchClaims) shard(id string) *shard {
	number, err := strconv.ParseUint(id[:shardDigits], 16, 32)
	if err != nil {
		return b.shards[0] // ids are hexadecimal; any fixed shard is correct
	}
	return b.shards[number%uint64(len(b.shards))]
}

func (b *batchClaims) Create(ctx context.Context, id string, claim Claim) (uint64, error) {
	return b.change(ctx, id, &change{kind: changeCreate, id: id, claim: claim})
}

func (b *batchClaims) Update(ctx context.Context, id string, claim Claim, expect uint64) (uint64, error) {
	return b.change(ctx, id, &change{kind: changeUpdate, id: id, claim: claim, expect: expect})
}

func (b *batchClaims) Delete(ctx context.Context, id string, expect uint64) error {
	_, err := b.change(ctx, id, &change{kind: changeDelete, id: id, expect: expect})
	return err
}

func (b *batchClaims) Read(ctx context.Context, id string) (StoredClaim, error) {
	c := &change{kind: changeRead, id: id}
	_, err := b.change(ctx, id, c)
	if err != nil {
		return StoredClaim{}, err
	}
	return c.stored, nil
}

func (b *batchClaims) change(ctx context.Context, id string, c *change) (uint64, error) {
	c.done = make(chan struct{})
	b.shard(id).add(c)
	select {
	case <-c.done:
		return c.stored.Revision, c.err
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %v", store.ErrUnknown, ctx.Err())
	}
}

type changeKind int

const (
	changeRead changeKind = iota
	changeCreate
	changeUpdate
	changeDelete
)

// change is one queued operation and its result, which is set before done is
// closed.
type change struct {
	kind   changeKind
	id     string
	claim  Claim
	expect uint64
	done   chan struct{}
	stored StoredClaim
	err    error
}

// shardBody is the stored form of a shard. Sequence counts its writes; a
// claim's revision is the sequence of the write that changed it last.
type shardBody struct {
	Sequence uint64                     `json:"sequence"`
	Claims   map[string]json.RawMessage `json:"claims"`
}

// shard gathers the changes of one object.
type shard struct {
	store store.API
	wall  func() time.Time
	kept  time.Duration // age above which a claim is dropped
	key   string

	mu      sync.Mutex
	queue   []*change
	running bool

	// The following belong to the goroutine that is running.
	known   bool // body and version are what the store had at the last call
	body    shardBody
	version store.Version
	dropped time.Time // when old claims were dropped last
}

func (s *shard) add(c *change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, c)
	if !s.running {
		s.running = true
		go s.run()
	}
}

// run commits the queue until it is empty.
func (s *shard) run() {
	for {
		s.mu.Lock()
		batch := s.queue
		s.queue = nil
		s.running = len(batch) > 0
		s.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		s.commit(batch)
		for _, c := range batch {
			close(c.done)
		}
	}
}

// commit applies a batch with one conditional write, again after each write of
// another instance.
func (s *shard) commit(batch []*change) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	fresh := false
	for try := 0; try < maxCommitTries; try++ {
		if !s.known || !fresh && hasRead(batch) {
			if err := s.refresh(ctx); err != nil {
				fail(batch, err)
				return
			}
			fresh = true
		}
		next, applied, rejected := s.apply(batch)
		if rejected && !fresh {
			s.known = false // the copy may be older than the change's condition
			continue
		}
		if !applied {
			return
		}
		again := s.write(ctx, batch, next)
		if !again {
			return
		}
		fresh = false
	}
	fail(batch, errContended)
}

func hasRead(batch []*change) bool {
	for _, c := range batch {
		if c.kind == changeRead {
			return true
		}
	}
	return false
}

func (s *shard) refresh(ctx context.Context) error {
	object, err := s.store.Get(ctx, s.key)
	body := shardBody{Claims: make(map[string]json.RawMessage)}
	switch {
	case errors.Is(err, store.ErrNotFound):
		object.Version = 0
	case err != nil:
		return errShardNotRead
	case json.Unmarshal(object.Value, &body) != nil:
		return errShardInvalid
	}
	s.known, s.body, s.version = true, body, object.Version
	return nil
}

// apply evaluates the batch against the known body. It returns the changed
// body, whether anything changed, and whether a condition did not hold.
func (s *shard) apply(batch []*change) (next shardBody, applied, rejected bool) {
	next = shardBody{Sequence: s.body.Sequence + 1, Claims: maps.Clone(s.body.Claims)}
	if now := s.wall(); now.Sub(s.dropped) > dropInterval {
		s.dropped = now
		dropExpired(next.Claims, now, s.kept)
	}
	size := sizeOf(next.Claims)
	for _, c := range batch {
		if c.kind == changeRead {
			c.err = readOne(s.body, c) // without the unwritten changes of the batch
			continue
		}
		c.err = applyOne(&next, c, size)
		switch {
		case c.err != nil:
			rejected = true
		default:
			applied = true
			size += len(next.Claims[c.id])
		}
	}
	return next, applied, rejected
}

func readOne(body shardBody, c *change) error {
	raw, exists := body.Claims[c.id]
	if !exists {
		return errClaimNotFound
	}
	if json.Unmarshal(raw, &c.stored) != nil {
		return errShardInvalid
	}
	return nil
}

func applyOne(next *shardBody, c *change, size int) error {
	raw, exists := next.Claims[c.id]
	var current StoredClaim
	if exists && json.Unmarshal(raw, &current) != nil {
		return errShardInvalid
	}
	switch {
	case !exists && c.kind == changeDelete:
		return errClaimNotFound
	case c.kind == changeCreate && exists, c.kind != changeCreate && current.Revision != c.expect:
		return store.ErrConflict
	case c.kind == changeCreate && size > maxShardBytes:
		return errShardFull
	case c.kind == changeDelete:
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

// write stores the next body and reports whether the batch has to be applied
// again.
func (s *shard) write(ctx context.Context, batch []*change, next shardBody) (again bool) {
	value, err := json.Marshal(next)
	if err != nil {
		fail(batch, fmt.Errorf("%w: %v", store.ErrRefused, err))
		return false
	}
	version, err := s.store.Put(ctx, s.key, value, s.version)
	switch {
	case err == nil:
		s.body, s.version = next, version
		return false
	case errors.Is(err, store.ErrConflict):
		s.known = false
		return true
	}
	s.known = false
	for _, c := range batch {
		if c.err == nil && c.kind != changeRead {
			c.err = err
		}
	}
	return false
}

// fail gives a whole batch an error of a call without effect.
func fail(batch []*change, err error) {
	for _, c := range batch {
		c.err = err
	}
}

func dropExpired(claims map[string]json.RawMessage, wall time.Time, kept time.Duration) {
	for id, raw := range claims {
		var claim Claim
		if json.Unmarshal(raw, &claim) == nil && expired(claim, wall, kept) {
			delete(claims, id)
		}
	}
}

// claimOverhead is the size of an entry's id and punctuation.
const claimOverhead = 2*idBytes + 8

func sizeOf(claims map[string]json.RawMessage) int {
	size := 0
	for _, raw := range claims {
		size += len(raw) + claimOverhead
	}
	return size
}
