package order

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hibiscusstair/hibiscusstair/store"
)

const (
	// fleetSweepInterval is the mean time between two sweeps of a shard, which are
	// spread over all instances. In a small fleet minSweepInterval makes it longer.
	fleetSweepInterval = 3 * time.Hour
	// keyShardCount is the number of shards of claims that are stored as one object
	// each.
	keyShardCount = 1 << (4 * shardDigits)
	// minSweepInterval bounds the rate of list calls of one instance in a small
	// fleet.
	minSweepInterval = 5 * time.Second
	// minUnresolvedAge is the age from which a sweep resolves a claim without an
	// outcome. Until then its holder most likely still records the outcome.
	minUnresolvedAge = time.Minute
)

// sweepLoop sweeps one shard after the other: it deletes the claims that are older
// than ClaimRetention and has the core resolve claims without a certain outcome.
// Shards are chosen at random, so that instances need not agree on who sweeps which
// shard.
func (r *Runner) sweepLoop(ctx context.Context) {
	if r.options.BatchClaims {
		// Old claims are dropped with the writes of their shard. A claim without a
		// certain outcome is resolved only after a request for the state of its order.
		return
	}
	ctx = store.WithLowPriority(ctx)
	for {
		timer := time.NewTimer(nextSweepDelay(r.fleetSize(ctx)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		sweep := sweeper{store: r.options.Store, retention: ClaimRetention, onUnresolved: r.queueUnresolvedClaim}
		deleted := sweep.sweepShard(ctx, shardPrefix(rand.IntN(keyShardCount)), time.Now())
		r.metrics.claimsSwept.Inc(int64(deleted))
	}
}

// nextSweepDelay divides the sweeps among the instances. It varies by a quarter, so
// that instances that start together sweep at different times.
func nextSweepDelay(fleetSize int) time.Duration {
	delay := max(fleetSweepInterval*time.Duration(fleetSize)/keyShardCount, minSweepInterval)
	return delay - delay/4 + rand.N(delay/2)
}

// fleetSize returns the number of instances, and 1 if the list cannot be read;
// minSweepInterval then bounds the rate of this instance.
func (r *Runner) fleetSize(ctx context.Context) int {
	list, err := r.options.Store.Instances(ctx)
	if err != nil || len(list) == 0 {
		return 1
	}
	return len(list)
}

// sweeper deletes old claims that are stored as one object each.
type sweeper struct {
	store     store.API
	retention time.Duration
	// onUnresolved is called for each claim without a certain outcome.
	onUnresolved func(UnresolvedClaimFound)
	// ignoreVersions is a mutation for the property test: deletes remove the object
	// of the key even if it changed since it was read.
	ignoreVersions bool
}

// sweepShard deletes the old claims of one shard, reports those without a certain
// outcome, and returns the number of deleted claims. Each delete is conditional on
// the version that was read.
func (s sweeper) sweepShard(ctx context.Context, prefix string, wall time.Time) (deleted int) {
	objects, _, err := s.store.List(ctx, prefix)
	if err != nil {
		return 0
	}
	for _, object := range objects {
		stored, err := decodeClaim(object)
		if err != nil {
			continue
		}
		if !olderThan(stored.Claim, wall, s.retention) {
			s.reportUnresolved(object.Key, stored, wall)
			continue
		}
		if s.deleteClaim(ctx, object) != nil {
			return deleted // the rest is left to the next sweep of the shard
		}
		deleted++
	}
	return deleted
}

// reportUnresolved calls onUnresolved for a claim whose holder did not record a
// certain outcome within minUnresolvedAge.
func (s sweeper) reportUnresolved(key string, stored StoredClaim, wall time.Time) {
	age := time.Duration(wall.UnixMilli()-stored.UnixMilli) * time.Millisecond
	certain := stored.State.HasOutcome() && stored.State != StateUnknown
	if s.onUnresolved == nil || certain || age < minUnresolvedAge {
		return
	}
	s.onUnresolved(UnresolvedClaimFound{OrderID: key[strings.LastIndex(key, "/")+1:], Stored: stored, Age: age})
}

// queueUnresolvedClaim has the core resolve a claim. If the event queue is full,
// the claim is left to the next sweep of its shard.
func (r *Runner) queueUnresolvedClaim(e UnresolvedClaimFound) { _ = r.events.TryPut(e) }

func (s sweeper) deleteClaim(ctx context.Context, object store.Object) error {
	err := s.store.Delete(ctx, object.Key, object.Version)
	if !s.ignoreVersions || err == nil {
		return err
	}
	current, err := s.store.Get(ctx, object.Key)
	if err != nil {
		return err
	}
	return s.store.Delete(ctx, object.Key, current.Version)
}
