//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the case steppedClock.
const (
	// clockStep is how far the clock of the engine's machine is ahead at its first start.
	clockStep = 2 * time.Second
	// crashAfter is when the engine crashes after that start, and restartAfter when it
	// starts again under its id, with the clock right again.
	crashAfter   = 500 * time.Millisecond
	restartAfter = 1200 * time.Millisecond
	// calmTime is the time from then until the engine leaves.
	calmTime = 10 * time.Second
	// exitAfter is when it exits after its report that it leaves.
	exitAfter  = drainBound + 3*time.Second
	orderLimit = 2 * time.Second
	orderPause = 10 * time.Millisecond
	// orderWork is how long an engine works on an order.
	orderWork = 60 * time.Millisecond
)

// steppedClock restarts an engine under its id while the clock of its machine jumps back, and
// lets it leave long after. Rule DRAIN.
func steppedClock(s setting) (bool, error) {
	f, err := startStore(s.rec)
	if err != nil {
		return false, err
	}
	defer f.stop()
	kept := &copies{kept: make(map[string]time.Time)}
	for i := 2; i <= 3; i++ {
		e, err := startEngine(f, kept, fmt.Sprintf("i-%d", i), plainService, zones[i%len(zones)], "", time.Now().UnixMilli())
		if err != nil {
			return false, err
		}
		e.workTime = orderWork
	}
	f.putManifest(1, []route{{
		Name: "order", Host: host, Prefix: "/order/", Type: "non_idempotent", TimeoutMS: int(orderLimit.Milliseconds()), TargetMS: 300,
		Priority: 2, Service: plainService, MaxAttempts: 1,
	}})
	if err := f.startInstances(s, 3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	born := time.Now().UnixMilli()
	if s.trouble {
		born += clockStep.Milliseconds()
	}
	leaving, err := startEngine(f, kept, "i-1", plainService, zones[0], "", born)
	if err != nil {
		return false, err
	}
	leaving.workTime = orderWork
	if s.trouble {
		time.Sleep(crashAfter)
		leaving.exit(false)
		time.Sleep(restartAfter - crashAfter)
		leaving, err = startEngine(f, kept, "i-1", plainService, zones[0], leaving.address, time.Now().UnixMilli())
		if err != nil {
			return false, err
		}
		leaving.workTime = orderWork
	}
	var sent, failed atomic.Int64
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(orderPause):
			}
			callers.Go(func() {
				o := sendPlain(f.instances[i%len(f.instances)], http.MethodPost, fmt.Sprintf("%016x", 0xb0000+i), "/order/x", orderLimit)
				sent.Add(1)
				if !o.complete {
					failed.Add(1)
					s.rec.line("order %s: status %d, error %v", o.attempt, o.status, o.err)
				}
			})
		}
	})
	time.Sleep(calmTime)
	before := failed.Load()
	leaving.drain()
	time.Sleep(exitAfter)
	leaving.exit(true)
	time.Sleep(2 * time.Second)
	close(stop)
	callers.Wait()
	late := 0
	for _, a := range leaving.taken() {
		if a.at.After(leaving.drainingAt.Add(drainBound)) {
			late++
			s.rec.line("DRAIN: %s reached %s %d ms after the store had accepted that it leaves", a.attempt, leaving.id, a.at.Sub(leaving.drainingAt).Milliseconds())
		}
	}
	s.rec.line("%d requests reached the leaving engine too late; %d orders sent, %d not answered with success before it left, %d after", late, sent.Load(), before, failed.Load()-before)
	fmt.Printf("%d requests reached the leaving engine too late; %d orders sent, %d not answered with success before it left, %d after\n", late, sent.Load(), before, failed.Load()-before)
	if len(leaving.taken()) == 0 {
		return false, errors.New("the engine got no request")
	}
	return late > 0, nil
}
