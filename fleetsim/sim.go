package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	fleetTickInterval  = 100 * time.Millisecond
	ticketTickInterval = 25 * time.Millisecond
	// ExchangeOverheadBytes is what HTTP headers add to a request and its answer: 220
	// bytes on loopback, more with longer addresses.
	ExchangeOverheadBytes = 240
	// storeTimeout is when a call to an unreachable store fails.
	storeTimeout = 3 * time.Second
	// ticketCallTimeout, exchangeTimeout and probeTimeout are when a lost message is
	// noticed, as in packages ticket and peer.
	ticketCallTimeout = time.Second
	exchangeTimeout   = 1500 * time.Millisecond
	probeTimeout      = 500 * time.Millisecond
)

// Options configures a simulation.
type Options struct {
	Instances int
	// Regions and DomainsPerRegion place the instances in turn.
	Regions          int
	DomainsPerRegion int
	// SameRegionDelay and CrossRegion are one-way delays.
	SameRegionDelay  time.Duration
	CrossRegionDelay time.Duration
	StoreDelay       time.Duration // of a whole call
	// ListLag is how long a killed instance stays on the platform's list.
	ListLag time.Duration
	// MessageLossRate is the probability that a message is lost, each way.
	MessageLossRate float64
	Seed            uint64
	// StartSpread is the time over which the instances start.
	StartSpread time.Duration
	Overrides   CoreOverrides
}

// DefaultOptions are the delays of Kitakyushu with a number of instances.
func DefaultOptions(instances int) Options {
	return Options{
		Instances: instances, Regions: 3, DomainsPerRegion: 2,
		SameRegionDelay: time.Millisecond, CrossRegionDelay: 8 * time.Millisecond,
		StoreDelay: 5 * time.Millisecond, ListLag: 3 * time.Second,
		Seed: 20261204, StartSpread: time.Second,
	}
}

// Sim is a fleet of instances.
type Sim struct {
	options            Options
	clock              clock
	random             *rand.Rand
	store              *simStore
	nodes              []*Node
	byAddr             map[string]*Node
	lastSubmission     uint64
	pendingSubmissions map[uint64]func(error)
	// afterEvent is called after each event of an instance.
	afterEvent func(*Node)
	// measureTime says that the time in the cores is measured.
	measureTime  bool
	startedNodes int
}

// New returns a simulation with all instances starting.
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

func newSim(o Options) *Sim {
	s := &Sim{
		options:            o,
		random:             rand.New(rand.NewPCG(o.Seed, 1)),
		byAddr:             make(map[string]*Node),
		pendingSubmissions: make(map[uint64]func(error)),
	}
	s.clock.now = startTime
	s.store = newSimStore(s, o.StoreDelay)
	return s
}

func (s *Sim) place(i int) api.Place {
	region := i % s.options.Regions
	domain := i / s.options.Regions % s.options.DomainsPerRegion
	return api.Place{
		Region:        api.Region(fmt.Sprintf("r%d", region)),
		FailureDomain: api.FailureDomain(fmt.Sprintf("r%d-d%d", region, domain)),
	}
}

// Run lets simulated time pass.
func (s *Sim) Run(d time.Duration) { s.clock.runUntil(s.clock.now + d) }

// RunUntil lets time pass until the condition holds, at most for the bound, and
// reports whether it holds.
func (s *Sim) RunUntil(bound time.Duration, holds func() bool) bool {
	end := s.clock.now + bound
	for !holds() {
		if s.clock.now >= end {
			return false
		}
		s.Run(10 * time.Millisecond)
	}
	return true
}

// Ready reports whether all running instances take new work and know each other.
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

// delay is the one-way delay between two places.
func (s *Sim) delay(a, b api.Place) time.Duration {
	if a.Region == b.Region {
		return s.options.SameRegionDelay
	}
	return s.options.CrossRegionDelay
}

// send delivers a request to the instance at an address and its answer back.
// serve returns the answer's size in bytes and a function that the sender runs;
// fail runs when either is lost.
func (s *Sim) send(from *Node, address string, timeout time.Duration, size int, serve func(to *Node) (int, func()), fail func()) {
	from.trafficBytes += int64(size) + ExchangeOverheadBytes
	to := s.byAddr[address]
	ended := false
	s.clock.after(timeout, func() {
		if !ended {
			ended = true
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
			answerSize, done := serve(to)
			to.trafficBytes += int64(size) + ExchangeOverheadBytes + int64(answerSize)
			if s.lost(to, from) {
				return
			}
			s.clock.after(delay, func() {
				if ended || from.killed {
					return
				}
				ended = true
				from.trafficBytes += int64(answerSize)
				from.deliver(done)
			})
		})
	})
}

func (s *Sim) lost(from, to *Node) bool {
	if !s.connected(from, to) {
		return true
	}
	return s.options.MessageLossRate > 0 && s.random.Float64() < s.options.MessageLossRate
}

// connected reports whether no partition separates two instances.
func (s *Sim) connected(a, b *Node) bool { return a.partition == b.partition }
