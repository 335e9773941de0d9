//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["stop"] = stopWithSlowBodies }

const (
	// stopOrders is the number of orders that are sent to the machine that stops, each on
	// a channel that was open before.
	stopOrders = 40
	// deskWork is the longest work of an order in the sheet of yume-press.
	deskWork = 110 * time.Millisecond
	// beginAt is when the clients begin their orders, after the SIGTERM: later than the 3 s
	// within which a request may be cut at the end of grace-s.
	beginAt = 6900 * time.Millisecond
	// restAt is when the first client sends the rest of its body, and restStep the time
	// between two clients.
	restAt, restStep = 7600 * time.Millisecond, 8 * time.Millisecond
	orderTimeLimit   = 1200 * time.Millisecond
)

// addDesks adds the three engines of the order service.
func (l *lab) addDesks(work func(path string) time.Duration, crashOn func(path string) (bool, time.Duration)) error {
	for _, zone := range zones {
		if err := l.addEngine(&engine{service: "counter-desk", zone: zone, slots: 6, work: work, crashOn: crashOn}); err != nil {
			return err
		}
	}
	return nil
}

// addNarrators adds three model engines, whose streams of 130 events take about 9 s.
func (l *lab) addNarrators() error {
	for _, zone := range zones {
		if err := l.addEngine(&engine{service: "narrator-pool", zone: zone, slots: 64, llm: true, events: 130, eventGap: 70 * time.Millisecond}); err != nil {
			return err
		}
	}
	return nil
}

// narration is a client's request for a stream.
func narration(id string) request {
	return request{
		id: id, method: http.MethodPost, path: "/stream/night", body: "last night I dreamt", deadline: 25 * time.Second,
		header: []string{name("model") + ": m", name("token-usage") + ": 8200,780", name("prompt-prefix") + ": 5c1e07a2:200," + id + ":8000"},
	}
}

// stopWithSlowBodies stops one machine with SIGTERM while a narration runs there, which
// lasts longer than grace-s. Clients send orders to it on channels
// that they keep; the second half of each body follows the first after 0.7 to 1 s.
func stopWithSlowBodies(l *lab) (string, error) {
	if err := l.begin(); err != nil {
		return "", err
	}
	l.putManifest(7)
	if err := l.addDesks(func(string) time.Duration { return deskWork }, nil); err != nil {
		return "", err
	}
	if err := l.addNarrators(); err != nil {
		return "", err
	}
	if err := l.addGateways(3); err != nil {
		return "", err
	}
	time.Sleep(contact + 500*time.Millisecond) // until the machines are in touch
	g := l.gateways[0]
	channels := make([]*channel, stopOrders)
	for i := range channels {
		c, err := openChannel(g.front)
		if err != nil {
			return "", err
		}
		defer c.close()
		channels[i] = c
		first := request{id: fmt.Sprintf("a%015x", i), method: http.MethodPost, path: "/order/first", body: "order", deadline: orderTimeLimit}
		if a := c.send(first); a.status != http.StatusOK {
			return "", fmt.Errorf("an order before the disruption: %s", a)
		}
	}
	l.record.add("%d channels have served one order each and are kept", stopOrders)
	var group sync.WaitGroup
	group.Go(func() { l.sendOnce(g, narration("d000000000000001")) })
	time.Sleep(500 * time.Millisecond)
	began := time.Now()
	since := func(at time.Time) int64 { return at.Sub(began).Milliseconds() }
	if l.trouble {
		g.signal(syscall.SIGTERM)
	}
	answers := make([]answer, stopOrders)
	sent := make([]time.Time, stopOrders)
	for i, c := range channels {
		group.Go(func() {
			r := request{id: fmt.Sprintf("b%015x", i), method: http.MethodPost, path: "/order/slow-body", body: "first half second half", deadline: orderTimeLimit}
			half := len(r.body) / 2
			time.Sleep(time.Until(began.Add(beginAt)))
			err := c.write(r.head() + r.body[:half])
			if err == nil {
				time.Sleep(time.Until(began.Add(restAt + time.Duration(i)*restStep)))
				err = c.write(r.body[half:])
			}
			sent[i] = time.Now()
			if err != nil {
				answers[i] = answer{err: err, at: time.Now()}
				return
			}
			answers[i] = c.read(2 * time.Second)
		})
	}
	group.Wait()
	time.Sleep(300 * time.Millisecond)
	ran := make(map[string]bool)
	for _, a := range l.allArrivals() {
		ran[a.id] = ran[a.id] || a.run
	}
	lost, unread := 0, 0
	for i, a := range answers {
		id := fmt.Sprintf("b%015x", i)
		l.record.add("order %s: begun at %d ms, last byte sent at %d ms, passed on to an engine: %t; client at %d ms: %s",
			id, beginAt.Milliseconds(), since(sent[i]), ran[id], since(a.at), a)
		switch inTime := a.at.Sub(began) < beginAt+orderTimeLimit; {
		case ran[id] && a.err != nil && inTime:
			lost++
		case a.err != nil:
			unread++
		}
	}
	l.record.add("%d orders were passed on and not answered, %d channels were closed before the order was read", lost, unread)
	if lost > 0 {
		return fmt.Sprintf("LOST: %d orders were read and passed on to an engine, and their channel ended without an answer", lost), nil
	}
	return "", nil
}
