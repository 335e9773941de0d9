package order

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscusstair/hibiscusstair/store/storetest"
)

// sweepWorld is a simulation of claims over days, with instances whose wall
// clocks are up to half a day wrong.
type sweepWorld struct {
	choose  chooser
	store   *storetest.Store
	now     time.Time
	errors  []time.Duration
	claims  []ClaimStore
	sweeper sweeper
	batch   bool
	first   map[string]time.Time // true time of each claim
}

const sweepInstances = 3

func newSweepWorld(choose chooser, batch bool, kept time.Duration, unconditional bool) *sweepWorld {
	w := &sweepWorld{
		choose: choose, store: storetest.New(), now: time.UnixMilli(0), batch: batch, first: make(map[string]time.Time),
	}
	w.sweeper = sweeper{store: w.store, kept: kept, unconditional: unconditional}
	for i := 0; i < sweepInstances; i++ {
		w.errors = append(w.errors, time.Duration(choose.intn(25)-12)*time.Hour)
		w.claims = append(w.claims, w.writer(i, kept))
	}
	return w
}

func (w *sweepWorld) writer(i int, kept time.Duration) ClaimStore {
	if !w.batch {
		return NewClaimStore(w.store)
	}
	claims := newBatchClaims(w.store, 2, func() time.Time { return w.wall(i) })
	for _, s := range claims.shards {
		s.kept = kept
	}
	return claims
}

func (w *sweepWorld) wall(i int) time.Time { return w.now.Add(w.errors[i]) }

func (w *sweepWorld) create(i, key int) {
	id := DeriveID("account", fmt.Sprint("key", key))
	claim := Claim{ClaimID: fmt.Sprint(w.now), State: StateDone, UnixMilli: w.wall(i).UnixMilli()}
	if _, err := w.claims[i].Create(context.Background(), id, claim); err == nil {
		w.first[id] = w.now
	}
}

// sweep can be paused between its list and its deletes, while another sweep
// deletes a claim and its key is used again.
func (w *sweepWorld) sweep(i int) {
	ctx := context.Background()
	paused := w.choose.intn(2) == 0
	w.store.SetFaultHook(func(c storetest.Call) storetest.Fault {
		if c.Method != storetest.Delete || !paused {
			return storetest.Fault{}
		}
		paused = false
		_ = w.store.Delete(ctx, c.Key, c.ExpectedVersion)
		for key := 0; key < 4; key++ {
			w.create(0, key)
		}
		return storetest.Fault{}
	})
	w.sweeper.shard(ctx, claimPrefix, w.wall(i))
	w.store.SetFaultHook(nil)
}

func (w *sweepWorld) run(steps int) error {
	for i := 0; i < steps; i++ {
		n := w.choose.intn(sweepInstances)
		switch w.choose.intn(4) {
		case 0:
			w.now = w.now.Add(time.Duration(w.choose.intn(30)) * time.Hour)
		case 1:
			w.sweep(n)
		default:
			w.create(n, w.choose.intn(4))
		}
		if err := w.check(); err != nil {
			return err
		}
	}
	return nil
}

func (w *sweepWorld) check() error {
	for id, first := range w.first {
		if age := w.now.Sub(first); age <= KeyTTL {
			if _, err := w.claims[0].Read(context.Background(), id); err != nil {
				return fmt.Errorf("the claim of a key that is live since %v is gone: %w", age, err)
			}
		}
	}
	return nil
}

const sweepSteps = 40

// Guards against the loss of the claim of a live key, after which a repeated
// order would be sent again.
func TestClaimOfLiveKeyIsKept(t *testing.T) {
	for name, batch := range map[string]bool{"single": false, "batch": true} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				if err := newSweepWorld(rapidChooser{t}, batch, ClaimRetention, false).run(sweepSteps); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// Shows that the property notices a sweep that comes too early and one that
// deletes without regard to the version.
func TestSweepPropertyNoticesFaults(t *testing.T) {
	for _, fault := range []struct {
		name          string
		batch         bool
		kept          time.Duration
		unconditional bool
	}{
		{"early, single", false, KeyTTL, false},
		{"early, batch", true, KeyTTL, false},
		{"unconditional", false, ClaimRetention, true},
	} {
		t.Run(fault.name, func(t *testing.T) {
			var err error
			for seed := uint64(0); seed < 2000 && err == nil; seed++ {
				choose := seededChooser{rand.New(rand.NewPCG(seed, 1))}
				err = newSweepWorld(choose, fault.batch, fault.kept, fault.unconditional).run(sweepSteps)
			}
			NewWithT(t).Expect(err).To(HaveOccurred(), "the property does not notice a sweep that is %s", fault.name)
		})
	}
}
