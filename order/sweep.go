package order

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hibiscusstair/hibiscusstair/store"
)

const (
	// sweepRound is the time in which the fleet looks at every shard once.
	sweepRound = 3 * time.Hour
	// shardCount follows from shardDigits.
	shardCount = 1 << (4 * shardDigits)
	// minSweepPause bounds the lists of one instance in a small fleet.
	minSweepPause = 5 * time.Second
	// openAfter is the age from which a sweep resolves a claim without an
	// outcome. Until then its holder most likely still records it.
	openAfter = time.Minute
)

// sweepLoop deletes claims that are older than ClaimKept. The shard is chosen at
// random, so that instances need not agree on who sweeps what.
func (r *Runner) sweepLoop(ctx context.Context) {
	if r.options.BatchClaims {
		return // old claims are deleted with each write of their shard
	}
	ctx = store.WithLowPriority(ctx)
	for {
		timer := time.NewTimer(sweepPause(r.fleetSize(ctx)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		sweep := sweeper{store: r.options.Store, kept: ClaimRetention, open: r.found}
		deleted := sweep.shard(ctx, shardPrefix(rand.IntN(shardCount)), time.Now())
		r.metrics.swept.Inc(int64(deleted))
	}
}

// sweepPause divides the round among the instances and varies by a quarter, so
// that instances that start together spread out.
func sweepPause(fleet int) time.Duration {
	pause := max(sweepRound*time.Duration(fleet)/shardCount, minSweepPause)
	return pause - pause/4 + rand.N(pause/2)
}

func (r *Runner) fleetSize(ctx context.Context) int {
	list, err := r.options.Store.Instances(ctx)
	if err != nil || len(list) == 0 {
		return 1
	}
	return len(list)
}

// sweeper deletes old claims of the single writer.
type sweeper struct {
	store store.API
	kept  time.Duration
	// open is called for each claim without a certain outcome.
	open func(UnresolvedClaimFound)
	// unconditional is a fault that a test switches on: it deletes whatever has
	// the key by then.
	unconditional bool
}

// shard deletes the old claims of one shard, each under the condition that it
// did not change since it was read, and returns their number.
func (s sweeper) shard(ctx context.Context, prefix string, wall time.Time) (deleted int) {
	objects, _, err := s.store.List(ctx, prefix)
	if err != nil {
		return 0
	}
	for _, object := range objects {
		stored, err := decodeClaim(object)
		if err != nil {
			continue
		}
		if !expired(stored.Claim, wall, s.kept) {
			s.report(object.Key, stored, wall)
			continue
		}
		if s.remove(ctx, object) != nil {
			return deleted // the next sweep of the shard continues
		}
		deleted++
	}
	return deleted
}

// report passes on a claim whose holder did not record an outcome in time.
func (s sweeper) report(key string, stored StoredClaim, wall time.Time) {
	age := time.Duration(wall.UnixMilli()-stored.UnixMilli) * time.Millisecond
	certain := stored.State.Final() && stored.State != StateUnknown
	if s.open == nil || certain || age < openAfter {
		return
	}
	s.open(UnresolvedClaimFound{OrderID: key[strings.LastIndex(key, "/")+1:], Stored: stored, Age: age})
}

// found has the core take care of an open claim. A full ring drops it until the
// next sweep of the shard.
func (r *Runner) found(f UnresolvedClaimFound) { _ = r.events.TryPut(f) }

func (s sweeper) remove(ctx context.Context, object store.Object) error {
	err := s.store.Delete(ctx, object.Key, object.Version)
	if !s.unconditional || err == nil {
		return err
	}
	current, err := s.store.Get(ctx, object.Key)
	if err != nil {
		return err
	}
	return s.store.Delete(ctx, object.Key, current.Version)
}
