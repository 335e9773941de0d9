package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/cutproxy"
	"github.com/hibiscusstair/hibiscusstair/standins/harness"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/deployment"
)

const (
	// maxFaultInterval is the longest time between the starts of two faults.
	// Faults can overlap.
	maxFaultInterval = 1500 * time.Millisecond
	// maxCrashDuration is the longest time until crashed engines restart. The
	// platform removes the registration of a crashed endpoint after this time.
	maxCrashDuration = 1200 * time.Millisecond
)

// injectFaults starts random faults until the context ends and then waits until
// all of them have ended.
func (s *soak) injectFaults(ctx context.Context) {
	faults := []func(*rand.Rand){
		s.crashDomain, s.silenceEngine, s.drainEngine, s.killInstance, s.pauseInstance, s.stopInstance, s.reloadInstance,
		s.cutStore, s.storeDown, s.storeSlow, s.stallWatches, s.writeConfigurations, s.revokeKey, s.failDesk, s.limitDesks, s.killAll,
	}
	var group sync.WaitGroup
	for ctx.Err() == nil {
		seed := s.random.Uint64()
		fault := faults[s.random.IntN(len(faults))]
		group.Go(func() { fault(rand.New(rand.NewPCG(seed, 2))) })
		pause := time.Duration(s.random.Int64N(int64(maxFaultInterval)))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	group.Wait()
}

// randomDuration returns a duration of at least shortest and less than longest.
func randomDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

// crashDomain crashes most engines of a failure domain at once and later restarts
// them under new identifiers at the same addresses.
func (s *soak) crashDomain(random *rand.Rand) {
	domain := deployment.Domain(random.IntN(3))
	s.logFault("crash of the engines in %s", domain)
	restart := s.CrashDomain(domain, func() bool { return random.IntN(10) == 0 })
	time.Sleep(randomDuration(random, 500*time.Millisecond, maxCrashDuration))
	for _, err := range restart() {
		s.logFault("engine did not start: %s", err)
	}
}

// silenceEngine stalls the connections to one engine: no data arrives and no
// connection is reset. In half of the cases this includes new connections.
func (s *soak) silenceEngine(random *rand.Rand) {
	index := random.IntN(len(s.Engines))
	s.logFault("engine %d silent", index)
	s.EndpointProxies[index].Freeze("", random.IntN(2) == 0, cutproxy.Up, cutproxy.Down)
	time.Sleep(randomDuration(random, 500*time.Millisecond, 3*time.Second))
	// Close the stalled connections, so that held data is not delivered late.
	s.EndpointProxies[index].Cut("")
	s.EndpointProxies[index].Heal("")
}

// drainEngine drains an engine, stops it when it is idle and restarts it.
func (s *soak) drainEngine(random *rand.Rand) {
	e := s.Engines[random.IntN(len(s.Engines))]
	s.logFault("an engine of %s drains", e.Domain)
	e.StartDraining()
	time.Sleep(2500 * time.Millisecond)
	for range 40 {
		if e.Idle() {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	id := e.Crash()
	e.Deregister(id)
	if err := e.Start(); err != nil {
		s.logFault("engine did not start: %s", err)
	}
}

// injectIntoRandomInstance injects a fault into a random instance, unless its
// process has exited.
func (s *soak) injectIntoRandomInstance(random *rand.Rand, description string, inject func(*deployment.Instance, *harness.Process)) {
	instance := s.Instances[random.IntN(len(s.Instances))]
	process := instance.Process()
	if !process.Alive() {
		return
	}
	s.logFault("%s: %s", instance.Name, description)
	inject(instance, process)
}

func (s *soak) killInstance(random *rand.Rand) {
	s.injectIntoRandomInstance(random, "killed", func(_ *deployment.Instance, p *harness.Process) { p.Kill() })
}

func (s *soak) pauseInstance(random *rand.Rand) {
	s.injectIntoRandomInstance(random, "paused", func(_ *deployment.Instance, p *harness.Process) {
		p.Pause()
		time.Sleep(randomDuration(random, 200*time.Millisecond, 3*time.Second))
		p.Continue()
	})
}

func (s *soak) stopInstance(random *rand.Rand) {
	s.injectIntoRandomInstance(random, "SIGTERM", func(_ *deployment.Instance, p *harness.Process) {
		p.Terminate()
		if random.IntN(3) == 0 {
			time.Sleep(randomDuration(random, 10*time.Millisecond, time.Second))
			p.Hangup()
		}
	})
}

// reloadInstance changes the settings of an instance several times, with and without a
// signal. In between the file is broken for a while.
func (s *soak) reloadInstance(random *rand.Rand) {
	s.injectIntoRandomInstance(random, "settings change", func(instance *deployment.Instance, p *harness.Process) {
		for change := range 1 + random.IntN(4) {
			write := instance.BreakSettings
			if change%2 == 0 {
				write = func() error { return instance.WriteSettings(140 + random.IntN(20)) }
			}
			if err := write(); err != nil {
				s.logFault("%s: settings not written: %s", instance.Name, err)
			}
			if random.IntN(2) == 0 {
				p.Hangup()
			}
			time.Sleep(randomDuration(random, 10*time.Millisecond, 700*time.Millisecond))
		}
		if err := instance.WriteSettings(150); err != nil {
			s.logFault("%s: settings not written: %s", instance.Name, err)
		}
	})
}

// killAll kills all instances at once, in a third of its calls.
func (s *soak) killAll(random *rand.Rand) {
	if random.IntN(3) > 0 {
		return
	}
	s.logFault("all instances killed")
	for _, instance := range s.Instances {
		instance.Process().Kill()
	}
}

func (s *soak) cutStore(random *rand.Rand) {
	instance := s.Instances[random.IntN(len(s.Instances))]
	s.logFault("%s: disconnected from the store", instance.Name)
	switch random.IntN(3) {
	case 0:
		instance.StoreProxy.Cut("")
	case 1:
		instance.StoreProxy.Freeze("", true, cutproxy.Up, cutproxy.Down)
	default:
		instance.StoreProxy.Freeze("", true, cutproxy.Down)
	}
	time.Sleep(randomDuration(random, 500*time.Millisecond, 5*time.Second))
	instance.StoreProxy.Cut("")
	instance.StoreProxy.Heal("")
}

func (s *soak) storeDown(random *rand.Rand) {
	s.logFault("the store is down")
	s.Store.SetDown(true)
	time.Sleep(randomDuration(random, 500*time.Millisecond, 4*time.Second))
	s.Store.SetDown(false)
}

func (s *soak) storeSlow(random *rand.Rand) {
	s.logFault("the store is slow")
	s.Store.SetDelay(200 * time.Millisecond)
	time.Sleep(randomDuration(random, 500*time.Millisecond, 4*time.Second))
	s.Store.SetDelay(0)
}

func (s *soak) stallWatches(*rand.Rand) {
	s.logFault("the store's watches stall, then its history is dropped")
	s.Store.SetWatchesStalled(true)
	s.WriteConfiguration()
	time.Sleep(time.Second)
	s.Store.SetWatchesStalled(false)
}

func (s *soak) writeConfigurations(random *rand.Rand) {
	s.logFault("configuration versions in quick succession")
	for range 1 + random.IntN(5) {
		s.WriteConfiguration()
		time.Sleep(30 * time.Millisecond)
	}
}

func (s *soak) revokeKey(*rand.Rand) {
	s.logFault("an API key is revoked")
	key, revokedAt := s.ReplaceAPIKey()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revokedKeys[key] = revokedAt
}

// failDesk makes the desks fail 20 percent of their requests in one way.
func (s *soak) failDesk(random *rand.Rand) {
	s.logFault("the desks fail some requests")
	percentages := []interface{ Store(int32) }{&s.DeskFaults.FailPercent, &s.DeskFaults.LosePercent, &s.DeskFaults.HangPercent, &s.DeskFaults.TruncatePercent, &s.DeskFaults.ForeignPercent}
	percentage := percentages[random.IntN(len(percentages))]
	percentage.Store(20)
	time.Sleep(randomDuration(random, time.Second, 4*time.Second))
	percentage.Store(0)
}

// limitDesks makes all desks name a limit of their requests.
func (s *soak) limitDesks(random *rand.Rand) {
	s.logFault("the desks limit their requests")
	for _, desk := range s.Desks {
		desk.SetRateLimit(0.5 + 5*random.Float64())
	}
	time.Sleep(randomDuration(random, time.Second, 4*time.Second))
	for _, desk := range s.Desks {
		desk.SetRateLimit(0)
	}
}
