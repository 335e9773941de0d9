//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Names and times of the case reusedAddress.
const (
	otherService    = "annex-pool"
	reusedInstances = 3                       // of which the store turns one away
	reusedEngines   = 7                       // of which one crashes for good
	rejectTime      = 8900 * time.Millisecond // at most 9 s
	crashDelay      = 3 * time.Second         // the instance notices after 2.4 s that the store is away
	reuseDelay      = 2500 * time.Millisecond // reuse-after-s is 2
	entryLifetime   = 3600 * time.Millisecond // three pings of 1.2 s
	afterwards      = 12 * time.Second        // recover-s
	streamPause     = 60 * time.Millisecond
	shortEvents     = 20
	contactTime     = 3 * time.Second // contact-ms
)

// reusedAddress turns one instance away from the store, while an engine crashes for good and
// its address goes to an engine of another service. Rule ROUTE: that one runs no request of
// the first service.
func reusedAddress(s setting) (bool, error) {
	f, err := startStore(s.rec)
	if err != nil {
		return false, err
	}
	defer f.stop()
	gate, err := startGate(f.storeAddr)
	if err != nil {
		return false, err
	}
	f.gates, f.staleSeeds = map[int]*storeGate{0: gate}, true
	kept := &copies{kept: make(map[string]time.Time)}
	var engines []*engine
	for i := range reusedEngines {
		e, err := startEngine(f, kept, fmt.Sprintf("i-%d", i+1), modelService, zones[i%len(zones)], "", time.Now().UnixMilli())
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	routes := []route{{
		Name: "stream", Host: host, Prefix: "/stream/", Type: "streaming", TimeoutMS: int(streamLimit.Milliseconds()), TargetMS: 4500, GapMS: 700,
		Priority: 1, Service: modelService, MaxAttempts: 5, Resumable: true, Sticky: true,
	}}
	f.putManifest(1, routes)
	if err := f.startInstances(s, reusedInstances); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var sent, complete atomic.Int64
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(streamPause):
			}
			callers.Go(func() {
				o := sendStream(f.instances[i%reusedInstances], fmt.Sprintf("%016x", 0xc0000+i), "/stream/x", shortEvents, streamLimit)
				sent.Add(1)
				if o.complete {
					complete.Add(1)
				}
			})
		}
	})
	time.Sleep(time.Second)
	if s.trouble {
		gate.reject(true)
		s.rec.line("the store turns front-1 away")
	}
	f.services = append(f.services, otherService)
	f.putManifest(2, append(routes, route{
		Name: "annex", Host: host, Prefix: "/annex/", Type: "streaming", TimeoutMS: int(streamLimit.Milliseconds()), TargetMS: 4500, GapMS: 700,
		Priority: 1, Service: otherService, MaxAttempts: 5, Resumable: true, Sticky: true,
	}))
	time.Sleep(crashDelay)
	engines[0].exit(false)
	time.Sleep(reuseDelay)
	other, err := startEngine(f, kept, "i-9", otherService, engines[0].zone, engines[0].address, time.Now().UnixMilli())
	if err != nil {
		return false, err
	}
	time.Sleep(entryLifetime - reuseDelay)
	f.store.Delete("servers", engines[0].id)
	time.Sleep(rejectTime - crashDelay - entryLifetime)
	if s.trouble {
		gate.reject(false)
		s.rec.line("the store serves front-1 again")
	}
	back := time.Now()
	time.Sleep(afterwards)
	close(stop)
	callers.Wait()
	wrong, later := 0, 0
	for _, a := range other.taken() {
		wrong++
		if a.at.After(back.Add(contactTime)) {
			later++
		}
	}
	text := fmt.Sprintf("%d streams sent, %d complete; %d requests of /stream/ were run by %s, %d of them over contact-ms after the store was back",
		sent.Load(), complete.Load(), wrong, otherService, later)
	s.rec.line("%s", text)
	fmt.Println(text)
	return wrong > 0, nil
}
