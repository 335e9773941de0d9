package order

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hibiscusstair/hibiscusstair/store"
)

// ClaimStore writes and reads claims. Errors are those of package store; a
// conflict on Create or Update means that the claim has another revision.
type ClaimStore interface {
	Create(ctx context.Context, id string, claim Claim) (revision uint64, err error)
	Read(ctx context.Context, id string) (StoredClaim, error)
	Update(ctx context.Context, id string, claim Claim, expect uint64) (revision uint64, err error)
	Delete(ctx context.Context, id string, expect uint64) error
}

const (
	claimPrefix = "orders/"
	// shardDigits is the number of hexadecimal digits of the order id that name
	// its shard. 4096 shards keep the list of one shard small for the sweep.
	shardDigits = 3
)

// errShardFull says that an object has no room for another claim.
var errShardFull = errors.New("order: the shard is full")

func shardPrefix(shard int) string {
	return fmt.Sprintf("%s%0*x/", claimPrefix, shardDigits, shard)
}

func claimKey(id string) string {
	return claimPrefix + id[:shardDigits] + "/" + id
}

// NewClaimStore returns a writer that keeps each claim in an object of its own.
func NewClaimStore(api store.API) ClaimStore { return &singleClaims{store: api} }

// NewBatchClaimStore returns a writer that keeps many claims in each of a number of
// objects; 0 stands for the default number. wall is the wall clock.
func NewBatchClaimStore(api store.API, shards int, wall func() time.Time) ClaimStore {
	return newBatchClaims(api, shards, wall)
}

// singleClaims keeps each claim in an object of its own.
type singleClaims struct {
	store store.API
}

func (s *singleClaims) Create(ctx context.Context, id string, claim Claim) (uint64, error) {
	return s.Update(ctx, id, claim, 0)
}

func (s *singleClaims) Read(ctx context.Context, id string) (StoredClaim, error) {
	object, err := s.store.Get(ctx, claimKey(id))
	if err != nil {
		return StoredClaim{}, err
	}
	return decodeClaim(object)
}

func (s *singleClaims) Update(ctx context.Context, id string, claim Claim, expect uint64) (uint64, error) {
	value, err := json.Marshal(claim)
	if err != nil {
		return 0, fmt.Errorf("order: encode claim: %w", errors.Join(err, store.ErrRefused))
	}
	version, err := s.store.Put(ctx, claimKey(id), value, store.Version(expect))
	return uint64(version), err
}

func (s *singleClaims) Delete(ctx context.Context, id string, expect uint64) error {
	return s.store.Delete(ctx, claimKey(id), store.Version(expect))
}

func decodeClaim(object store.Object) (StoredClaim, error) {
	stored := StoredClaim{Revision: uint64(object.Version)}
	if err := json.Unmarshal(object.Value, &stored.Claim); err != nil {
		return StoredClaim{}, fmt.Errorf("order: claim is malformed: %w", err)
	}
	return stored, nil
}
