// Package soak runs real instances as processes against the stand-in for the
// platform, injects random faults from outside, and checks the guarantees to
// callers.
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

// recoveryTime is the time after the last fault within which the fleet has to
// recover, so that it serves every request.
const recoveryTime = 6 * time.Second

// Options configures a soak run.
type Options struct {
	Seed      uint64
	Duration  time.Duration
	Instances int
	Engines   int
	// Callers is the number of concurrent callers. Each sends one request after
	// the other.
	Callers int
	// LogDirectory is the directory for the logs and settings of the instances.
	LogDirectory string
	// NoFaults turns off fault injection.
	NoFaults bool
	// ExtraFaults adds the faults of injectExtraFaults.
	ExtraFaults bool
	// Rollout moves the engines to another version meanwhile, which is good or bad.
	Rollout bool
}

// Report is the result of a soak run.
type Report struct {
	Seed       uint64
	Requests   int
	Served     int
	Faults     []string // injected faults and failed restarts, in their order
	Violations []string // violated guarantees
}

// soak is the state of one run.
type soak struct {
	*deployment.Deployment
	options Options
	random  *rand.Rand

	mu          sync.Mutex
	revokedKeys map[string]time.Time // by API key: when the store had the revocation
	outcomes    []world.Outcome
	faultLog    []string
	rollout     *startedRollout // nil if there was none
	lastRequest int
}

// Run sends load and injects faults for the duration, and then checks the recovery
// of the fleet and the guarantees to callers.
func Run(ctx context.Context, o Options) (Report, error) {
	s := &soak{options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), revokedKeys: make(map[string]time.Time)}
	var contracts []string
	if o.Rollout {
		contracts = []string{deployment.ContractRollout}
	}
	d, err := deployment.Start(deployment.Options{
		Contracts: contracts,
		Instances: o.Instances, Engines: o.Engines, EngineParameters: world.FastEngine, LogDirectory: o.LogDirectory,
		OnError: func(err error) { s.logFault("%s", err) },
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
	s.runLoad(ctx)
	violations := append(s.rolloutViolations(), s.checkRecovery(ctx)...)
	cancel()
	background.Wait()
	return s.newReport(violations), nil
}

// runLoad runs the callers and the fault injection for the duration.
func (s *soak) runLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Duration)
	defer cancel()
	var group sync.WaitGroup
	for caller := range s.options.Callers {
		random := rand.New(rand.NewPCG(s.options.Seed, uint64(caller)+100))
		group.Go(func() { s.runCaller(ctx, random) })
	}
	if !s.options.NoFaults {
		group.Go(func() { s.injectFaults(ctx) })
	}
	if s.options.Rollout {
		group.Go(func() { s.rollOut(ctx) })
	}
	if s.options.ExtraFaults {
		group.Go(func() { s.injectExtraFaults(ctx) })
	}
	group.Wait()
}

func (s *soak) logFault(format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultLog = append(s.faultLog, fmt.Sprintf(format, arguments...))
}
