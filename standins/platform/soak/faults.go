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
	// faultPause is the longest pause between two faults; they overlap.
	faultPause = 1500 * time.Millisecond
	// lapseTime is the silence after which a registration ends.
	lapseTime = 1200 * time.Millisecond
)

// injectUntil starts faults until the context ends and then waits until all of
// them have healed.
func (s *soak) injectUntil(ctx context.Context) {
	faults := []func(*rand.Rand){
		s.crashDomain, s.silenceEngines, s.drainEngine, s.killInstance, s.pauseInstance, s.stopInstance, s.hangup,
		s.cutStore, s.storeDown, s.storeSlow, s.storeDeaf, s.changeConfiguration, s.revokeKeys, s.faultyDesk, s.killAll,
	}
	var group sync.WaitGroup
	for ctx.Err() == nil {
		seed := s.random.Uint64()
		fault := faults[s.random.IntN(len(faults))]
		group.Go(func() { fault(rand.New(rand.NewPCG(seed, 2))) })
		pause := time.Duration(s.random.Int64N(int64(faultPause)))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	group.Wait()
}

func upTo(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// crashDomain ends most engines of a failure domain at once. They start again
// under new identifiers at the same addresses.
func (s *soak) crashDomain(random *rand.Rand) {
	chosen := deployment.Domain(random.IntN(3))
	s.note("crash of the engines in %s", chosen)
	restart := s.CrashDomain(chosen, func() bool { return random.IntN(10) == 0 })
	time.Sleep(upTo(random, 500*time.Millisecond, lapseTime))
	for _, err := range restart() {
		s.note("engine did not start: %s", err)
	}
}

// silenceEngines freezes connections to one engine, so that nothing arrives and
// nothing is reset.
func (s *soak) silenceEngines(random *rand.Rand) {
	i := random.IntN(len(s.Engines))
	s.note("silence of engine %d", i)
	s.Links[i].Freeze("", random.IntN(2) == 0, cutproxy.Up, cutproxy.Down)
	time.Sleep(upTo(random, 500*time.Millisecond, 3*time.Second))
	s.Links[i].Cut("")
	s.Links[i].Heal("")
}

// drainEngine lets an engine leave and come back.
func (s *soak) drainEngine(random *rand.Rand) {
	e := s.Engines[random.IntN(len(s.Engines))]
	s.note("an engine of %s leaves", e.Domain)
	e.Drain()
	time.Sleep(2500 * time.Millisecond)
	for range 40 {
		if e.Idle() {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	id := e.Crash()
	e.Lapse(id)
	if err := e.Start(); err != nil {
		s.note("engine did not start: %s", err)
	}
}

// withInstance runs a fault on one instance that no other fault holds.
func (s *soak) withInstance(random *rand.Rand, what string, fault func(*deployment.Node, *harness.Process)) {
	n := s.Nodes[random.IntN(len(s.Nodes))]
	process := n.Process()
	if !process.Alive() {
		return
	}
	s.note("%s: %s", n.Name, what)
	fault(n, process)
}

func (s *soak) killInstance(random *rand.Rand) {
	s.withInstance(random, "killed", func(_ *deployment.Node, p *harness.Process) { p.Kill() })
}

func (s *soak) pauseInstance(random *rand.Rand) {
	s.withInstance(random, "paused", func(_ *deployment.Node, p *harness.Process) {
		p.Pause()
		time.Sleep(upTo(random, 200*time.Millisecond, 3*time.Second))
		p.Continue()
	})
}

func (s *soak) stopInstance(random *rand.Rand) {
	s.withInstance(random, "told to stop", func(_ *deployment.Node, p *harness.Process) {
		p.Terminate()
		if random.IntN(3) == 0 {
			time.Sleep(upTo(random, 10*time.Millisecond, time.Second))
			p.Hangup()
		}
	})
}

func (s *soak) hangup(random *rand.Rand) {
	s.withInstance(random, "told to reload", func(_ *deployment.Node, p *harness.Process) { p.Hangup() })
}

func (s *soak) killAll(random *rand.Rand) {
	if random.IntN(3) > 0 {
		return
	}
	s.note("all instances killed")
	for _, n := range s.Nodes {
		n.Process().Kill()
	}
}

func (s *soak) cutStore(random *rand.Rand) {
	n := s.Nodes[random.IntN(len(s.Nodes))]
	s.note("%s: cut off from the store", n.Name)
	switch random.IntN(3) {
	case 0:
		n.StoreLink.Cut("")
	case 1:
		n.StoreLink.Freeze("", true, cutproxy.Up, cutproxy.Down)
	default:
		n.StoreLink.Freeze("", true, cutproxy.Down)
	}
	time.Sleep(upTo(random, 500*time.Millisecond, 5*time.Second))
	n.StoreLink.Cut("")
	n.StoreLink.Heal("")
}

func (s *soak) storeDown(random *rand.Rand) {
	s.note("the store is down")
	s.Store.SetDown(true)
	time.Sleep(upTo(random, 500*time.Millisecond, 4*time.Second))
	s.Store.SetDown(false)
}

func (s *soak) storeSlow(random *rand.Rand) {
	s.note("the store is slow")
	s.Store.SetDelay(200 * time.Millisecond)
	time.Sleep(upTo(random, 500*time.Millisecond, 4*time.Second))
	s.Store.SetDelay(0)
}

func (s *soak) storeDeaf(*rand.Rand) {
	s.note("watches are deaf, then the history goes")
	s.Store.SetDeaf(true)
	s.Configure()
	time.Sleep(time.Second)
	s.Store.SetDeaf(false)
}

func (s *soak) changeConfiguration(random *rand.Rand) {
	s.note("versions in quick succession")
	for range 1 + random.IntN(5) {
		s.Configure()
		time.Sleep(30 * time.Millisecond)
	}
}

func (s *soak) revokeKeys(*rand.Rand) {
	s.note("a key is taken away")
	gone, at := s.Revoke()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed[gone] = at
}

// faultyDesk makes the desk fail a part of its requests in one way.
func (s *soak) faultyDesk(random *rand.Rand) {
	s.note("the desk fails")
	shares := []interface{ Store(int32) }{&s.DeskFaults.Fail, &s.DeskFaults.Lose, &s.DeskFaults.Hang, &s.DeskFaults.Cut, &s.DeskFaults.Foreign}
	chosen := shares[random.IntN(len(shares))]
	chosen.Store(20)
	time.Sleep(upTo(random, time.Second, 4*time.Second))
	chosen.Store(0)
}
