package order

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hibiscusstair/hibiscusstair/store"
)

// ClaimStore writes and reads claims by order ID. Errors wrap those of package
// store, except errShardFull and decoding errors. store.ErrConflict means that the
// claim has another revision than expected, or that it exists already.
type ClaimStore interface {
	Create(ctx context.Context, id string, claim Claim) (revision uint64, err error)
	Read(ctx context.Context, id string) (StoredClaim, error)
	Update(ctx context.Context, id string, claim Claim, expectedRevision uint64) (revision uint64, err error)
	Delete(ctx context.Context, id string, expectedRevision uint64) error
}

const (
	claimKeyPrefix = "orders/"
	// shardDigits is the number of leading hexadecimal digits of the order ID that
	// select its shard. With 4096 shards the list of one shard stays small for the
	// sweep.
	shardDigits = 3
)

var errShardFull = errors.New("order: the claim shard is full")

func shardPrefix(shard int) string {
	return fmt.Sprintf("%s%0*x/", claimKeyPrefix, shardDigits, shard)
}

func claimKey(id string) string {
	return claimKeyPrefix + id[:shardDigits] + "/" + id
}

// NewClaimStore returns a ClaimStore that keeps each claim in an object of its
// own.
func NewClaimStore(api store.API) ClaimStore { return &singleClaimStore{store: api} }

// NewBatchClaimStore returns a ClaimStore that divides the claims among a number
// of shards, each stored as one object; 0 means defaultBatchShards. wall is the
// wall clock.
func NewBatchClaimStore(api store.API, shards int, wall func() time.Time) ClaimStore {
	return newBatchClaimStore(api, shards, wall)
}

// singleClaimStore keeps each claim in an object of its own.
type singleClaimStore struct {
	store store.API
}

func (s *singleClaimStore) Create(ctx context.Context, id string, claim Claim) (uint64, error) {
	return s.Update(ctx, id, claim, 0)
}

func (s *singleClaimStore) Read(ctx context.Context, id string) (StoredClaim, error) {
	object, err := s.store.Get(ctx, claimKey(id))
	if err != nil {
		return StoredClaim{}, err
	}
	return decodeClaim(object)
}

func (s *singleClaimStore) Update(ctx context.Context, id string, claim Claim, expectedRevision uint64) (uint64, error) {
	value, err := json.Marshal(claim)
	if err != nil {
		return 0, fmt.Errorf("order: encode claim: %w", errors.Join(err, store.ErrRefused))
	}
	version, err := s.store.Put(ctx, claimKey(id), value, store.Version(expectedRevision))
	return uint64(version), err
}

func (s *singleClaimStore) Delete(ctx context.Context, id string, expectedRevision uint64) error {
	return s.store.Delete(ctx, claimKey(id), store.Version(expectedRevision))
}

func decodeClaim(object store.Object) (StoredClaim, error) {
	stored := StoredClaim{Revision: uint64(object.Version)}
	if err := json.Unmarshal(object.Value, &stored.Claim); err != nil {
		return StoredClaim{}, fmt.Errorf("order: decode claim: %w", err)
	}
	return stored, nil
}
