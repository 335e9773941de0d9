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

// sweepScenario simulates claims over days, with instances whose wall clocks are
// wrong by up to half a day.
type sweepScenario struct {
	choices     choiceSource
	store       *storetest.Store
	now         time.Time
	clockErrors []time.Duration // of the wall clock of each instance
	claimStores []ClaimStore
	sweeper     sweeper
	batch       bool
	createdAt   map[string]time.Time // true creation time of each claim, by order ID
}

const sweepInstances = 3

func newSweepScenario(choices choiceSource, batch bool, retention time.Duration, ignoreVersions bool) *sweepScenario {
	s := &sweepScenario{
		choices: choices, store: storetest.New(), now: time.UnixMilli(0), batch: batch, createdAt: make(map[string]time.Time),
	}
	s.sweeper = sweeper{store: s.store, retention: retention, ignoreVersions: ignoreVersions}
	for i := 0; i < sweepInstances; i++ {
		s.clockErrors = append(s.clockErrors, time.Duration(choices.intn(25)-12)*time.Hour)
		s.claimStores = append(s.claimStores, s.newClaimStore(i, retention))
	}
	return s
}

func (s *sweepScenario) newClaimStore(instance int, retention time.Duration) ClaimStore {
	if !s.batch {
		return NewClaimStore(s.store)
	}
	claims := newBatchClaimStore(s.store, 2, func() time.Time { return s.wall(instance) })
	for _, shard := range claims.shards {
		shard.retention = retention
	}
	return claims
}

// wall returns the time of the wall clock of an instance.
func (s *sweepScenario) wall(instance int) time.Time { return s.now.Add(s.clockErrors[instance]) }

// create creates a claim for a key at an instance and notes the time if that succeeds.
func (s *sweepScenario) create(instance, key int) {
	id := DeriveID("account", fmt.Sprint("key", key))
	claim := Claim{ClaimID: fmt.Sprint(s.now), State: StateDone, UnixMilli: s.wall(instance).UnixMilli()}
	if _, err := s.claimStores[instance].Create(context.Background(), id, claim); err == nil {
		s.createdAt[id] = s.now
	}
}

// sweep lets an instance sweep all claims. Some sweeps pause between the list and
// the first delete, while another sweep deletes the claim and all keys are used
// again.
func (s *sweepScenario) sweep(instance int) {
	ctx := context.Background()
	pause := s.choices.intn(2) == 0
	s.store.SetFaultHook(func(c storetest.Call) storetest.Fault {
		if c.Method != storetest.Delete || !pause {
			return storetest.Fault{}
		}
		pause = false
		_ = s.store.Delete(ctx, c.Key, c.ExpectedVersion)
		for key := 0; key < 4; key++ {
			s.create(0, key)
		}
		return storetest.Fault{}
	})
	s.sweeper.sweepShard(ctx, claimKeyPrefix, s.wall(instance))
	s.store.SetFaultHook(nil)
}

func (s *sweepScenario) run(steps int) error {
	for i := 0; i < steps; i++ {
		instance := s.choices.intn(sweepInstances)
		switch s.choices.intn(4) {
		case 0:
			s.now = s.now.Add(time.Duration(s.choices.intn(30)) * time.Hour)
		case 1:
			s.sweep(instance)
		default:
			s.create(instance, s.choices.intn(4))
		}
		if err := s.checkValidKeys(); err != nil {
			return err
		}
	}
	return nil
}

// checkValidKeys returns an error if a claim is missing whose key is still valid.
func (s *sweepScenario) checkValidKeys() error {
	for id, createdAt := range s.createdAt {
		if age := s.now.Sub(createdAt); age <= KeyTTL {
			if _, err := s.claimStores[0].Read(context.Background(), id); err != nil {
				return fmt.Errorf("a key was first used %v ago and its claim cannot be read: %w", age, err)
			}
		}
	}
	return nil
}

const sweepStepsPerRun = 40

// Guards against the deletion of a claim whose key is still valid. An order with
// the same key would then be sent again.
func TestClaimOfValidKeyIsKept(t *testing.T) {
	for name, batch := range map[string]bool{"single": false, "batch": true} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				if err := newSweepScenario(rapidChoices{t}, batch, ClaimRetention, false).run(sweepStepsPerRun); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// Checks that the property detects a sweep that deletes claims too early, and one
// that deletes an object although its version changed.
func TestSweepMutationsAreDetected(t *testing.T) {
	for _, mutation := range []struct {
		name           string
		batch          bool
		retention      time.Duration
		ignoreVersions bool
	}{
		{"early deletes, single", false, KeyTTL, false},
		{"early deletes, batch", true, KeyTTL, false},
		{"unconditional deletes", false, ClaimRetention, true},
	} {
		t.Run(mutation.name, func(t *testing.T) {
			var err error
			for seed := uint64(0); seed < 2000 && err == nil; seed++ {
				choices := seededChoices{rand.New(rand.NewPCG(seed, 1))}
				err = newSweepScenario(choices, mutation.batch, mutation.retention, mutation.ignoreVersions).run(sweepStepsPerRun)
			}
			NewWithT(t).Expect(err).To(HaveOccurred(), "the property does not detect %s", mutation.name)
		})
	}
}
