//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["leave"] = clientsThatLeave }

const (
	// leaveOrders is the number of orders, of which every fifth client leaves (share 0.2).
	leaveOrders = 100
	// leaveAfter is when these clients leave: half the objective of an order.
	leaveAfter = 60 * time.Millisecond
)

// clientsThatLeave sends orders on channels of their own. Every fifth client gives up after
// half the objective: it closes its sending side (FIN) and reads until the channel ends.
func clientsThatLeave(l *lab) (string, error) {
	if err := l.begin(); err != nil {
		return "", err
	}
	l.putManifest(7)
	if err := l.addDesks(func(string) time.Duration { return deskWork }, nil); err != nil {
		return "", err
	}
	if err := l.addGateways(3); err != nil {
		return "", err
	}
	time.Sleep(contact + 500*time.Millisecond)
	answers := make([]answer, leaveOrders)
	var group sync.WaitGroup
	for i := range leaveOrders {
		time.Sleep(40 * time.Millisecond)
		group.Go(func() { answers[i] = l.orderAndLeave(i, l.trouble && i%5 == 0) })
	}
	group.Wait()
	unsigned := 0
	for i, a := range answers {
		l.record.add("order %s: %s", leaveID(i), a)
		if a.err == nil && a.status >= 200 && a.status < 300 && !a.signed {
			unsigned++
		}
	}
	if unsigned > 0 {
		return fmt.Sprintf("MIXED: %d clients got a success without an engine's signature and without a body", unsigned), nil
	}
	return "", nil
}

func leaveID(i int) string { return fmt.Sprintf("b%015x", i) }

func (l *lab) orderAndLeave(i int, leaves bool) answer {
	g := l.gateways[i%len(l.gateways)]
	c, err := openChannel(g.front)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	defer c.close()
	r := request{id: leaveID(i), method: http.MethodPost, path: "/order/night", body: fmt.Sprint("order ", i), deadline: orderTimeLimit}
	l.record.add("client sends order %s to %s", r.id, g.name)
	if err := c.write(r.head() + r.body); err != nil {
		return answer{err: err, at: time.Now()}
	}
	if leaves {
		time.Sleep(leaveAfter)
		l.record.add("client of %s leaves", r.id)
		_ = c.conn.(*net.TCPConn).CloseWrite()
	}
	return c.read(2 * time.Second)
}
