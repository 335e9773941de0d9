//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["several"] = severalPoisons }

const (
	// severalContents is the number of lookups, each with a content of its own, that crash
	// the desks which begin to run them. They are sent at the same time, again and again.
	severalContents = 4
	severalInterval = 3 * time.Second
	severalDuration = 92 * time.Second
	// severalRunTime is the time from the arrival of such a lookup until the desk ends.
	severalRunTime = 100 * time.Millisecond
	severalPrefix  = "/lookup/poison-"
)

// severalPoisons sends several lookups that crash desks at the same time, each to another
// machine, beside sound orders.
func severalPoisons(l *lab) (string, error) {
	if err := l.begin(); err != nil {
		return "", err
	}
	l.putManifest(7)
	crashOn := func(path string) (bool, time.Duration) {
		return l.trouble && strings.HasPrefix(path, severalPrefix), severalRunTime
	}
	if err := l.addDesks(func(string) time.Duration { return deskWork }, crashOn); err != nil {
		return "", err
	}
	if err := l.addGateways(4); err != nil {
		return "", err
	}
	time.Sleep(contact + 500*time.Millisecond)
	sound := l.startSoundOrders()
	var group sync.WaitGroup
	number := 0
	for until := time.Now().Add(severalDuration); time.Now().Before(until); time.Sleep(severalInterval) {
		for content := range severalContents {
			number++
			r := request{id: fmt.Sprintf("c%015x", number), method: http.MethodGet, path: fmt.Sprint(severalPrefix, content), deadline: orderTimeLimit}
			g := l.gateways[number%len(l.gateways)]
			group.Go(func() { l.sendOnce(g, r) })
		}
	}
	group.Wait()
	sound.stop()
	worst, broken := 0, 0
	for content := range severalContents {
		reached, late := l.lateRetries(fmt.Sprint(severalPrefix, content))
		l.record.add("lookup %d reached engines %d times, %d of them over %s after it had crashed the third", content, reached, late, contact)
		worst = max(worst, late)
		if late > 3 {
			broken++
		}
	}
	l.record.add("%d of %d sound orders that an engine had begun to run got no 200", sound.lost.Load(), sound.sent.Load())
	if broken > 0 {
		return fmt.Sprintf("BUDGET: %d requests that crash engines reached engines in more than three retries later than contact-ms after they had crashed the third, at most %d",
			broken, worst), nil
	}
	return "", nil
}
