//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["poison"] = poisonAfterKills }

const (
	// contact is the bound contact-ms of the settings.
	contact = 3 * time.Second
	// poisonPath is the path of the lookup that crashes each desk which begins to run it.
	poisonPath = "/lookup/poison"
	// poisonInterval is the time between two requests with it, and poisonRound their number
	// before and after each kill.
	poisonInterval, poisonRound = 3 * time.Second, 6
	// soundInterval is the time between two sound orders.
	soundInterval = 30 * time.Millisecond
)

// poisonAfterKills sends a lookup that crashes each desk which begins to run it, again and
// again, and kills all machines of the system twice in between.
func poisonAfterKills(l *lab) (string, error) {
	if err := l.begin(); err != nil {
		return "", err
	}
	l.putManifest(7)
	crashOn := func(path string) (bool, time.Duration) { return path == poisonPath, 20 * time.Millisecond }
	if err := l.addDesks(func(string) time.Duration { return deskWork }, crashOn); err != nil {
		return "", err
	}
	if err := l.addGateways(6); err != nil {
		return "", err
	}
	time.Sleep(contact + 500*time.Millisecond)
	sound := l.startSoundOrders()
	number := 0
	l.sendPoison(&number)
	for range 2 {
		if l.trouble {
			sound.pause.Store(true)
			if err := l.killAll(); err != nil {
				return "", err
			}
			sound.pause.Store(false)
		}
		time.Sleep(contact + time.Second) // until the machines are in touch
		l.sendPoison(&number)
	}
	sound.stop()
	crashes, late := l.lateRetries(poisonPath)
	l.record.add("the lookup reached engines %d times, %d of them over %s after it had crashed the third", crashes, late, contact)
	l.record.add("%d of %d sound orders that an engine had begun to run got no 200", sound.lost.Load(), sound.sent.Load())
	if late > 3 {
		return fmt.Sprintf("BUDGET: a request that crashes engines reached engines in %d retries later than contact-ms after it had crashed the third", late), nil
	}
	return "", nil
}

// sendPoison sends one round of the lookup, each to the next machine.
func (l *lab) sendPoison(number *int) {
	var group sync.WaitGroup
	for range poisonRound {
		*number++
		r := request{id: fmt.Sprintf("c%015x", *number), method: http.MethodGet, path: poisonPath, deadline: orderTimeLimit}
		g := l.gateways[*number%len(l.gateways)]
		group.Go(func() { l.sendOnce(g, r) })
		time.Sleep(poisonInterval)
	}
	group.Wait()
}

// soundOrders are orders that crash nothing, sent beside the lookup.
type soundOrders struct {
	pause      atomic.Bool // while the machines are killed
	sent, lost atomic.Int64
	stop       func()
}

func (l *lab) startSoundOrders() *soundOrders {
	s := &soundOrders{}
	done := make(chan struct{})
	var group sync.WaitGroup
	s.stop = func() {
		close(done)
		group.Wait()
	}
	group.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(soundInterval):
			}
			if s.pause.Load() {
				continue
			}
			group.Go(func() { l.sendSound(s, i) })
		}
	})
	return s
}

func (l *lab) sendSound(s *soundOrders, i int) {
	c, err := openChannel(l.gateways[i%len(l.gateways)].front)
	if err != nil {
		return
	}
	defer c.close()
	r := request{id: fmt.Sprintf("a%015x", i), method: http.MethodPost, path: "/order/sound", body: fmt.Sprint("order ", i), deadline: orderTimeLimit}
	s.sent.Add(1)
	if a := c.send(r); a.status != http.StatusOK && !s.pause.Load() && l.ran(r.id) {
		s.lost.Add(1)
		l.record.add("sound order %s had begun to run: %s", r.id, a)
	}
}
