// Package soak runs real instances as processes against the platform's
// stand-in, injects faults from outside them, and checks the promises from what
// callers and endpoints see.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/deployment"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

// settleTime is how long the fleet has after the last fault before every request
// has to be served.
const settleTime = 6 * time.Second

// Options configures a run.
type Options struct {
	Seed      uint64
	Duration  time.Duration
	Instances int
	Engines   int
	// Callers is the number of callers that send one request after the other.
	Callers int
	// LogDirectory gets the logs.
	LogDirectory string
	// NoFaults injects no faults.
	NoFaults bool
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Requests   int
	Served     int
	Faults     []string // injected, in order
	Violations []string // promises that were broken
}

// soak is one run.
type soak struct {
	*deployment.Deployment
	o      Options
	random *rand.Rand

	mu       sync.Mutex
	removed  map[string]time.Time // key -> when the store had its removal
	outcomes []world.Outcome
	injected []string
	sequence int
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (Report, error) {
	s := &soak{o: o, random: rand.New(rand.NewPCG(o.Seed, 1)), removed: make(map[string]time.Time)}
	d, err := deployment.Start(deployment.Options{
		Instances: o.Instances, Engines: o.Engines, Model: world.FastEngine, Directory: o.LogDirectory,
		OnError: func(err error) { s.note("%s", err) },
	})
	if err != nil {
		return Report{Seed: o.Seed}, err
	}
	defer d.Close()
	s.Deployment = d
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { d.Run(ctx) })
	if err := d.WaitReady(ctx); err != nil {
		cancel()
		background.Wait()
		return Report{Seed: o.Seed}, err
	}
	s.play(ctx)
	broken := s.checkRecovery(ctx)
	cancel()
	background.Wait()
	return s.report(broken), nil
}

// play lets callers and faults run side by side for the duration.
func (s *soak) play(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.o.Duration)
	defer cancel()
	var group sync.WaitGroup
	for caller := range s.o.Callers {
		seed := rand.New(rand.NewPCG(s.o.Seed, uint64(caller)+100))
		group.Go(func() { s.callUntil(ctx, seed) })
	}
	if !s.o.NoFaults {
		group.Go(func() { s.injectUntil(ctx) })
	}
	group.Wait()
}

func (s *soak) note(format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.injected = append(s.injected, fmt.Sprintf(format, arguments...))
}
