package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// fleetTickInterval and ticketTickInterval are the intervals of the runners in
	// packages fleet and ticket.
	fleetTickInterval  = 100 * time.Millisecond
	ticketTickInterval = 25 * time.Millisecond
	// ExchangeOverheadBytes is the size of the HTTP headers of an exchange, request
	// and response together: 220 bytes on loopback, more with longer addresses.
	ExchangeOverheadBytes = 240
	// Approximate encoded sizes of messages without variable content.
	probeRequestBytes  = 8
	probeResponseBytes = 24
	fetchRequestBytes  = 10
	offerResponseBytes = 4
	// pollInterval is the simulated time between two checks of the condition in
	// RunUntil.
	pollInterval = 10 * time.Millisecond
	// storeTimeout is the time after which a call to an unreachable store fails.
	storeTimeout = 3 * time.Second
	// ticketCallTimeout, exchangeTimeout and probeTimeout are the times after which
	// a call with a lost request or response fails, as in packages ticket and peer.
	ticketCallTimeout = time.Second
	exchangeTimeout   = 1500 * time.Millisecond
	probeTimeout      = 500 * time.Millisecond

	// neverDelisted and notListedYet are special values of Node.delistedAt.
	neverDelisted time.Duration = 0
	notListedYet  time.Duration = -1
)

// Options configures a simulation.
type Options struct {
	Instances int
	// The instances are distributed round-robin over Regions and, within a region,
	// over DomainsPerRegion failure domains.
	Regions          int
	DomainsPerRegion int
	// SameRegionDelay and CrossRegionDelay are one-way message delays.
	SameRegionDelay  time.Duration
	CrossRegionDelay time.Duration
	StoreDelay       time.Duration // round trip
	// ListLag is the time that a killed instance remains on the platform's instance
	// list.
	ListLag time.Duration
	// MessageLossRate is the probability that a request or a response is lost.
	MessageLossRate float64
	Seed            uint64
	// StartSpread is the time over which the instances start.
	StartSpread time.Duration
	Overrides   CoreOverrides
}

// DefaultOptions returns options for the number of instances with the network delays
// of the Kitakyushu deployment: one way, 1 ms within a region and 8 ms between
// regions.
func DefaultOptions(instances int) Options {
	return Options{
		Instances: instances, Regions: 3, DomainsPerRegion: 2,
		SameRegionDelay: time.Millisecond, CrossRegionDelay: 8 * time.Millisecond,
		StoreDelay: 5 * time.Millisecond, ListLag: 3 * time.Second,
		Seed: 20261204, StartSpread: time.Second,
	}
}

// Sim is a simulated fleet of instances.
type Sim struct {
	options            Options
	clock              clock
	random             *rand.Rand
	store              *simStore
	nodes              []*Node
	byAddress          map[string]*Node
	lastSubmissionID   uint64 // ID of the last ticket submission
	pendingSubmissions map[uint64]func(error)
	// afterEvent is called after each event of a process; it may be nil.
	afterEvent func(*Node)
	// measureCoreTime enables the measurement of the time spent in the cores.
	measureCoreTime bool
	addedNodes      int // processes added so far
}

// New returns a simulation in which all instances start within StartSpread.
func New(o Options) *Sim {
	s := newSim(o)
	for i := range o.Instances {
		place := s.place(i)
		half := api.Half("north")
		if i%2 == 1 {
			half = "south"
		}
		delay := time.Duration(0)
		if o.StartSpread > 0 {
			delay = time.Duration(s.random.Int64N(int64(o.StartSpread)))
		}
		s.addNode(fmt.Sprintf("i%03d", i), half, place, o.Overrides, delay)
	}
	return s
}

// newSim returns a simulation without instances.
func newSim(o Options) *Sim {
	s := &Sim{
		options:            o,
		random:             rand.New(rand.NewPCG(o.Seed, 1)),
		byAddress:          make(map[string]*Node),
		pendingSubmissions: make(map[uint64]func(error)),
	}
	s.clock.now = startTime
	s.store = newSimStore(s, o.StoreDelay)
	return s
}

// place returns the region and failure domain of the instance with the index.
func (s *Sim) place(i int) api.Place {
	region := i % s.options.Regions
	domain := i / s.options.Regions % s.options.DomainsPerRegion
	return api.Place{
		Region:        api.Region(fmt.Sprintf("r%d", region)),
		FailureDomain: api.FailureDomain(fmt.Sprintf("r%d-d%d", region, domain)),
	}
}

// Run advances the simulated time.
func (s *Sim) Run(d time.Duration) { s.clock.runUntil(s.clock.now + d) }

// RunUntil advances the simulated time until the condition holds or the timeout
// has passed, and reports whether it holds.
func (s *Sim) RunUntil(timeout time.Duration, condition func() bool) bool {
	end := s.clock.now + timeout
	for !condition() {
		if s.clock.now >= end {
			return false
		}
		s.Run(pollInterval)
	}
	return true
}

// Ready reports whether all running instances accept new work and know each other.
func (s *Sim) Ready() bool {
	running := 0
	for _, n := range s.nodes {
		if n.fleet == nil && !n.killed {
			return false // not started yet
		}
		if n.running() {
			running++
		}
	}
	for _, n := range s.nodes {
		if n.running() && (n.checkServing() != nil || n.reachableMembers() < running) {
			return false
		}
	}
	return true
}

// delay returns the one-way message delay between two places.
func (s *Sim) delay(a, b api.Place) time.Duration {
	if a.Region == b.Region {
		return s.options.SameRegionDelay
	}
	return s.options.CrossRegionDelay
}

// send delivers a request of size bytes to the process at the address, and the
// response back. serve runs at the receiver and returns the size of the response
// in bytes and a function that runs at the sender. If the request or the response
// is lost, fail runs at the sender after the timeout.
func (s *Sim) send(from *Node, address string, timeout time.Duration, size int, serve func(to *Node) (int, func()), fail func()) {
	from.trafficBytes += int64(size) + ExchangeOverheadBytes
	to := s.byAddress[address]
	finished := false
	s.clock.after(timeout, func() {
		if !finished {
			finished = true
			from.deliver(fail)
		}
	})
	if to == nil || s.lost(from, to) {
		return
	}
	delay := s.delay(from.place, to.place)
	s.clock.after(delay, func() {
		if to.killed || !s.connected(from, to) {
			return
		}
		to.deliver(func() {
			responseSize, done := serve(to)
			to.trafficBytes += int64(size) + ExchangeOverheadBytes + int64(responseSize)
			if s.lost(to, from) {
				return
			}
			s.clock.after(delay, func() {
				if finished || from.killed {
					return
				}
				finished = true
				from.trafficBytes += int64(responseSize)
				from.deliver(done)
			})
		})
	})
}

// lost decides whether a message between two processes is lost.
func (s *Sim) lost(from, to *Node) bool {
	if !s.connected(from, to) {
		return true
	}
	return s.options.MessageLossRate > 0 && s.random.Float64() < s.options.MessageLossRate
}

// connected reports whether two processes are in the same network partition.
func (s *Sim) connected(a, b *Node) bool { return a.partition == b.partition }
