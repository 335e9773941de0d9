package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/internal/wait"
)

const (
	// maxExtraFaultInterval is the longest time between the starts of two faults of
	// injectExtraFaults.
	maxExtraFaultInterval = 4 * time.Second
	// drainTime is how long an engine serves on after it has said that it leaves.
	drainTime = 2500 * time.Millisecond
)

// injectExtraFaults starts random faults beside those of injectFaults, and waits until
// all have ended. They are drawn apart, so that a seed keeps its other faults.
func (s *soak) injectExtraFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 4))
	faults := []func(*rand.Rand){s.restoreStore, s.leaveWithoutRegistration, s.pauseDesk}
	var group sync.WaitGroup
	defer group.Wait()
	for wait.For(ctx, randomDuration(random, 0, maxExtraFaultInterval)) {
		seed := random.Uint64()
		fault := faults[random.IntN(len(faults))]
		group.Go(func() { fault(rand.New(rand.NewPCG(seed, 2))) })
	}
}

// restoreStore restores the store from a copy some seconds old. The operator and the
// endpoints write again what was lost, and stale registrations end.
func (s *soak) restoreStore(random *rand.Rand) {
	copied := s.Store.Copy()
	time.Sleep(randomDuration(random, 200*time.Millisecond, 4*time.Second))
	s.logFault("the store is restored from a copy")
	s.Store.SetDown(true)
	time.Sleep(randomDuration(random, 300*time.Millisecond, 2*time.Second))
	s.Store.Restore(copied)
	s.Store.SetDown(false)
	time.Sleep(randomDuration(random, 0, time.Second))
	s.RewriteConfiguration()
	time.Sleep(time.Second)
	s.EndStaleRegistrations()
}

// leaveWithoutRegistration lets an engine say in its responses that it leaves, while its
// registration stays as it is. It ends and starts again after drainTime.
func (s *soak) leaveWithoutRegistration(random *rand.Rand) {
	e := s.Engines[random.IntN(len(s.Engines))]
	s.logFault("an engine of %s says that it leaves", e.Domain)
	e.SetLeaving()
	time.Sleep(drainTime)
	id := e.Crash()
	e.Deregister(id)
	if err := e.Start(); err != nil {
		s.logFault("engine did not start: %s", err)
	}
}

// pauseDesk makes a desk reject all requests and ask to be left alone.
func (s *soak) pauseDesk(random *rand.Rand) {
	desk := s.Desks[random.IntN(len(s.Desks))]
	pause := randomDuration(random, 500*time.Millisecond, 3*time.Second)
	s.logFault("the desk of %s asks to be left alone for %s", desk.Domain, pause)
	desk.SetBusy(pause)
	time.Sleep(pause)
	desk.SetBusy(0)
}
