//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["zone"] = poisonInOneZone }

const (
	// poisonStream is the path of the request that crashes model engines.
	poisonStream = "/stream/poison"
	// poisonStreamInterval is the time between two requests with it, more than contact-ms.
	poisonStreamInterval = 4 * time.Second
	poisonStreams        = 6
	// poisonStreamRunTime is the time from its arrival at an engine until the engine ends.
	poisonStreamRunTime = 5 * time.Millisecond
)

// poisonInOneZone runs a deployment with all engines in one zone, and sends a request that
// crashes each engine which begins to run it every 4 s, beside sound narrations.
func poisonInOneZone(l *lab) (string, error) {
	if err := l.begin(); err != nil {
		return "", err
	}
	l.putManifest(7)
	crashOn := func(path string) (bool, time.Duration) { return l.trouble && path == poisonStream, poisonStreamRunTime }
	for range 9 {
		e := &engine{service: "narrator-pool", zone: zones[0], slots: 64, llm: true, events: 130, eventGap: 50 * time.Millisecond, crashOn: crashOn}
		if err := l.addEngine(e); err != nil {
			return "", err
		}
	}
	if err := l.addGateways(3); err != nil {
		return "", err
	}
	time.Sleep(contact + 500*time.Millisecond)
	var group sync.WaitGroup
	for i := range poisonStreams {
		for n := range 4 {
			group.Go(func() {
				time.Sleep(time.Duration(n) * poisonStreamInterval / 4)
				l.sendOnce(l.gateways[n%3], narration(fmt.Sprintf("d%07x%08x", i, n)))
			})
		}
		r := narration(fmt.Sprintf("c%015x", i))
		// The same prompt each time: its last part is that of the session.
		r.path, r.body = poisonStream, "a request that crashes engines"
		r.header[1] = name("token-usage") + ": 240,780"
		r.header[2] = name("prompt-prefix") + ": 5c1e07a2:200,badbad01:40"
		group.Go(func() { l.sendOnce(l.gateways[i%3], r) })
		time.Sleep(poisonStreamInterval)
	}
	group.Wait()
	runs, late := l.lateRetries(poisonStream)
	l.record.add("the request reached engines %d times, %d of them over %s after it had crashed the third", runs, late, contact)
	if late > 3 {
		return fmt.Sprintf("BUDGET: a request that crashes engines reached engines in %d retries later than contact-ms after it had crashed the third", late), nil
	}
	return "", nil
}
