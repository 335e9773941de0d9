//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// Sizes and times of the case leavingBackup.
const (
	leavingEngines = 8 // of which two leave, a quarter
	leavingStreams = 32
	leavingEvents  = 200
	streamLimit    = 25 * time.Second
	// leaveAfter is when the two engines report that they leave, after the streams began.
	leaveAfter = 2500 * time.Millisecond
	// firstExit and secondExit are when they exit after that. An engine serves for drain-ms
	// after its report and a little longer, at times many seconds.
	firstExit  = drainBound + 200*time.Millisecond
	secondExit = drainBound + 3500*time.Millisecond
)

// leavingBackup lets two engines leave at the same time. One exits a little earlier than
// the other, which keeps copies of some of its streams. Rule DRAIN: no request reaches an
// engine later than drain-ms after the store has accepted that it leaves.
func leavingBackup(s setting) (bool, error) {
	f, err := startStore(s.rec)
	if err != nil {
		return false, err
	}
	defer f.stop()
	kept := &copies{kept: make(map[string]time.Time)}
	var engines []*engine
	for i := range leavingEngines {
		e, err := startEngine(f, kept, fmt.Sprintf("i-%d", i+1), modelService, zones[i%len(zones)], "", time.Now().UnixMilli())
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	f.putManifest(1, []route{{
		Name: "stream", Host: host, Prefix: "/stream/", Type: "streaming", TimeoutMS: int(streamLimit.Milliseconds()), TargetMS: 4500, GapMS: 700,
		Priority: 1, Service: modelService, MaxAttempts: 2, Resumable: true, Sticky: true,
	}})
	if err := f.startInstances(s, 3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // all are in touch: contact-ms and more
	outcomes := make([]outcome, leavingStreams)
	var callers sync.WaitGroup
	for i := range outcomes {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			attempt := fmt.Sprintf("%016x", 0xa0000+i)
			outcomes[i] = sendStream(f.instances[i%len(f.instances)], attempt, "/stream/x", leavingEvents, streamLimit)
			o := outcomes[i]
			s.rec.line("caller of %s: status %d, %d of %d events, complete %v, error %v", o.attempt, o.status, o.events, leavingEvents, o.complete, o.err)
		})
	}
	time.Sleep(leaveAfter)
	first, second, pairs := mostCopied(engines)
	if pairs == 0 {
		return false, errors.New("no stream has a copy")
	}
	s.rec.line("%d streams run on %s and have a copy on %s", pairs, first.id, second.id)
	if s.trouble {
		second.drain()
		first.drain()
		time.Sleep(firstExit)
		first.exit(true)
		time.Sleep(secondExit - firstExit)
		second.exit(true)
	}
	callers.Wait()
	lost := 0
	for _, o := range outcomes {
		if !o.complete {
			lost++
		}
	}
	late := 0
	for _, e := range []*engine{first, second} {
		for _, a := range e.taken() {
			if !e.drainingAt.IsZero() && a.at.After(e.drainingAt.Add(drainBound)) {
				late++
				s.rec.line("DRAIN: %s reached %s %d ms after the store had accepted that it leaves; drain-ms is %d",
					a.attempt, e.id, a.at.Sub(e.drainingAt).Milliseconds(), drainBound.Milliseconds())
			}
		}
	}
	s.rec.line("%d requests reached a leaving engine too late; %d of %d streams were not complete", late, lost, leavingStreams)
	fmt.Printf("%d requests reached a leaving engine too late; %d of %d streams were not complete\n", late, lost, leavingStreams)
	if !s.trouble && lost > 0 {
		return false, errors.New("streams were lost without trouble")
	}
	return late > 0, nil
}

// mostCopied returns the two engines of which the second keeps most copies of the streams
// of the first.
func mostCopied(engines []*engine) (first, second *engine, count int) {
	for _, e := range engines {
		found := make(map[string]int)
		for _, a := range e.taken() {
			found[a.backup]++
		}
		for _, other := range engines {
			if n := found[other.address]; n > count {
				first, second, count = e, other, n
			}
		}
	}
	return first, second, count
}
