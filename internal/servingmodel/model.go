// Package servingmodel contains discrete-event simulations that measure the
// decisions of placement and limits. They run the real cores with a simulated
// clock and fixed seeds. Only the bench command uses this package.
package servingmodel

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	simulatedHalf = api.Half("north")
	// simulationStart is the start of the simulated clock. It is not 0, because 0
	// means "never" in the cores.
	simulationStart = 10 * time.Second
	// tickInterval is the time between two ticks of a placement core.
	tickInterval = 20 * time.Millisecond
	// Each simulation has a stream of random numbers of its own, so that runs with
	// the same seed are independent of each other.
	overloadStream  = 1
	rateShareStream = 2
	affinityStream  = 3
	linkStream      = 4
)

var (
	modelRef    = api.ModelRef{Model: "dream", Version: "1"}
	localPlace  = api.Place{Region: "east", FailureDomain: "east-1"}
	remotePlace = api.Place{Region: "west", FailureDomain: "west-1"}
)

// newEngine returns the configuration of a simulated engine.
func newEngine(index, slots int, place api.Place) api.Endpoint {
	return api.Endpoint{
		ID:      api.EndpointID(fmt.Sprintf("e%03d", index)),
		Kind:    api.KindEngine,
		Address: "127.0.0.1:1",
		Place:   place,
		Half:    simulatedHalf,
		Models:  []api.ModelRef{modelRef},
		Slots:   slots,
	}
}

func newConfig(endpoints []api.Endpoint, accounts ...api.Account) *api.Config {
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

// scheduledCall is a function to be called at a simulated time.
type scheduledCall struct {
	at       time.Duration
	sequence int
	run      func()
}

// scheduler calls functions in the order of their simulated times, then of their
// insertion.
type scheduler struct {
	now          time.Duration
	queue        callHeap
	lastSequence int
}

func newScheduler() *scheduler { return &scheduler{now: simulationStart} }

func (s *scheduler) after(delay time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.queue, scheduledCall{at: s.now + delay, sequence: s.lastSequence, run: run})
}

// every calls a function repeatedly until the end of the run.
func (s *scheduler) every(interval time.Duration, run func()) {
	s.after(interval, func() {
		run()
		s.every(interval, run)
	})
}

// runUntil calls all functions that are due before the end.
func (s *scheduler) runUntil(end time.Duration) {
	for s.queue.Len() > 0 && s.queue[0].at < end {
		next := heap.Pop(&s.queue).(scheduledCall)
		s.now = next.at
		next.run()
	}
	s.now = end
}

type callHeap []scheduledCall

func (h callHeap) Len() int { return len(h) }
func (h callHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h callHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *callHeap) Push(x any)   { *h = append(*h, x.(scheduledCall)) }
func (h *callHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
