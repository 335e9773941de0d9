package order

import (
	"context"
	"math/rand/v2"
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
)

// sweeper deletes claims that are older than ClaimKept. The shard is chosen at
// random, so that instances need not agree on who sweeps what.
func (r *Runner) sweepLoop(ctx context.Context) {
	if r.options.Batch {
		return // old claims are deleted with each write of their shard
	}
	ctx = store.Background(ctx)
	for {
		timer := time.NewTimer(sweepPause(r.fleetSize(ctx)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		r.sweep(ctx, rand.IntN(shardCount), time.Now())
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

// sweep deletes the old claims of one shard, each under the condition that it
// did not change since it was read.
func (r *Runner) sweep(ctx context.Context, shard int, wall time.Time) {
	objects, _, err := r.options.Store.List(ctx, shardPrefix(shard))
	if err != nil {
		return
	}
	for _, object := range objects {
		stored, err := decodeClaim(object)
		if err != nil || !expired(stored.Claim, wall) {
			continue
		}
		if r.options.Store.Delete(ctx, object.Key, object.Version) != nil {
			return // the next sweep of the shard continues
		}
		r.metrics.swept.Inc(1)
	}
}
