// Package servingmodel measures the decisions of placement and limits in
// discrete-event models that drive the real cores with a simulated clock and
// fixed seeds. A bench command calls its functions; nothing else uses it.
package servingmodel

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	modelHalf = api.Half("north")
	// modelStart keeps the simulated clock away from 0, which the cores use for
	// "never".
	modelStart = 10 * time.Second
)

var (
	modelRef   = api.ModelRef{Model: "dream", Version: "1"}
	localPlace = api.Place{Region: "east", FailureDomain: "east-1"}
	farPlace   = api.Place{Region: "west", FailureDomain: "west-1"}
)

// engine returns an engine of the model.
func engine(index, slots int, place api.Place) api.Endpoint {
	return api.Endpoint{
		ID:      api.EndpointID(fmt.Sprintf("e%03d", index)),
		Kind:    api.KindEngine,
		Address: "127.0.0.1:1",
		Place:   place,
		Half:    modelHalf,
		Models:  []api.ModelRef{modelRef},
		Slots:   slots,
	}
}

func configuration(endpoints []api.Endpoint, accounts ...api.Account) *api.Config {
	config := &api.Config{
		Ticket:    1,
		Endpoints: make(map[api.EndpointID]api.Endpoint),
		Accounts:  make(map[api.AccountID]api.Account),
	}
	for _, e := range endpoints {
		config.Endpoints[e.ID] = e
	}
	for _, a := range accounts {
		config.Accounts[a.ID] = a
	}
	return config
}

// scheduled is a function at a simulated time.
type scheduled struct {
	at    time.Duration
	order int
	run   func()
}

// timeline runs functions in the order of their times, then of their insertion.
type timeline struct {
	now   time.Duration
	queue eventHeap
	next  int
}

func newTimeline() *timeline { return &timeline{now: modelStart} }

func (t *timeline) after(delay time.Duration, run func()) {
	t.next++
	heap.Push(&t.queue, scheduled{at: t.now + delay, order: t.next, run: run})
}

// every repeats a function until the end.
func (t *timeline) every(interval time.Duration, run func()) {
	t.after(interval, func() {
		run()
		t.every(interval, run)
	})
}

// runUntil runs everything that is due before the end.
func (t *timeline) runUntil(end time.Duration) {
	for t.queue.Len() > 0 && t.queue[0].at < end {
		next := heap.Pop(&t.queue).(scheduled)
		t.now = next.at
		next.run()
	}
	t.now = end
}

type eventHeap []scheduled

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(scheduled)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
