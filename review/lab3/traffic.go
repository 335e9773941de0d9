//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// kind is a kind of request of the sheet.
type kind string

const (
	draft  kind = "draft"
	order  kind = "order"
	lookup kind = "lookup"
)

// limits are the time limits of the kinds.
var limits = map[kind]time.Duration{draft: 25 * time.Second, order: 2 * time.Second, lookup: 2 * time.Second}

// counts are the requests of a kind.
type counts struct{ sent, served, refused, brokenOff int }

// traffic sends requests and counts them. It is safe for concurrent use.
type traffic struct {
	f     *fleet
	mu    sync.Mutex
	kinds map[kind]*counts
	group sync.WaitGroup
	stop  chan struct{}
}

func newTraffic(f *fleet) *traffic {
	return &traffic{f: f, kinds: map[kind]*counts{draft: {}, order: {}, lookup: {}}, stop: make(chan struct{})}
}

// every sends a group of requests of a kind at each interval until the end. text returns the
// request with a number.
func (t *traffic) every(began time.Time, interval time.Duration, size int, k kind, text func(n int) string) {
	t.group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-t.stop:
				return
			case <-time.After(time.Until(began.Add(time.Duration(n) * interval))):
			}
			for i := range size {
				number := n*size + i
				t.group.Go(func() { t.send(number, k, text(number)) })
			}
		}
	})
}

// send sends one request on a channel of its own to one of the instances.
func (t *traffic) send(n int, k kind, text string) {
	i, sentAt := t.f.instances[n%len(t.f.instances)], time.Now()
	a := t.f.call(i, text, limits[k])
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.kinds[k]
	c.sent++
	switch {
	case a.err != nil:
		c.brokenOff++
	case a.status == 200 && a.signature != "":
		c.served++
	case a.status == 429 || a.status == 503:
		c.refused++
	}
	if k == draft || a.status != 200 {
		t.f.record.addAt(sentAt, "request", "kind", k, "number", n, "instance", i.Name, "status", a.status, "bytes", len(a.body),
			"ended_after", time.Since(sentAt).Round(time.Millisecond), "error", a.err)
	}
}

// call sends a request on a new channel and returns the answer.
func (f *fleet) call(i *instance, text string, limit time.Duration) answer {
	c, err := openChannel(i.Front)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.conn.Close() }()
	if err := c.send(text); err != nil {
		return answer{err: err}
	}
	return c.receive(f.protocol, limit)
}

// end stops sending and waits for the answers.
func (t *traffic) end() {
	close(t.stop)
	t.group.Wait()
}

// starved applies Starved: whether a kind of request was served less than a quarter as often as all
// requests.
func (t *traffic) starved(k kind) bool {
	all := counts{}
	for _, name := range []kind{draft, order, lookup} {
		c := t.kinds[name]
		all.sent, all.served = all.sent+c.sent, all.served+c.served
		t.f.record.add("result", "kind", name, "sent", c.sent, "served", c.served, "refused", c.refused, "broken_off", c.brokenOff)
	}
	share, shareOfAll := ratio(t.kinds[k]), ratio(&all)
	t.f.record.add("result", "kind", k, "share_served", fmt.Sprintf("%.3f", share), "of_all", fmt.Sprintf("%.3f", shareOfAll))
	return share < shareOfAll/4
}

func ratio(c *counts) float64 { return float64(c.served) / float64(max(1, c.sent)) }

// desks sends the orders and lookups of the sheet: 35.1 and 14 a second.
func (t *traffic) desks(began time.Time) {
	p := t.f.protocol
	t.every(began, 28500*time.Microsecond, 1, order, func(n int) string {
		id := fmt.Sprintf("order-%04d", n)
		body := "an order of " + id
		return fmt.Sprintf(p.Order, id, id, len(body)) + body
	})
	t.every(began, 71400*time.Microsecond, 1, lookup, func(n int) string {
		id := fmt.Sprintf("lookup-%04d", n)
		return fmt.Sprintf(p.Lookup, id, id)
	})
}

// draftText returns a draft whose prompt begins with a part that others share.
func (p protocol) draftText(n, promptTokens, events int, sharedPart string) string {
	id := fmt.Sprintf("draft-%04d", n)
	body := "a prompt of " + id
	prefix := fmt.Sprintf("%s,%08x:%d", sharedPart, n, promptTokens)
	return fmt.Sprintf(p.Draft, id, id, promptTokens, events*tokensPerEvent, prefix, len(body)) + body
}
