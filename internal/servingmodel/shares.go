package servingmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/limits"
)

// Skew is the distribution of a client account's requests over the instances.
type Skew string

// Distributions of requests: equal, 80% on a fifth of the instances, all on one
// instance, and all on one instance that changes every skewMovingPeriod.
const (
	SkewUniform        Skew = "uniform"
	SkewPareto         Skew = "80/20"
	SkewSingleInstance Skew = "all on one"
	SkewMoving         Skew = "moving"
	skewMovingPeriod        = 20 * time.Second
)

// Skews lists all distributions.
var Skews = []Skew{SkewUniform, SkewPareto, SkewSingleInstance, SkewMoving}

// RateShareOptions configures one run of the rate share simulation: the instances
// enforce the rate limit of a client account together by exchanging usage.
type RateShareOptions struct {
	Instances int
	Skew      Skew
	// RequestsPerSecond is the rate limit of the account, OfferedFactor the rate of
	// its requests relative to the limit.
	RequestsPerSecond float64
	OfferedFactor     float64
	Seed              uint64
	Duration          time.Duration
	// EntriesPerExchange limits the entries sent in one direction of an exchange.
	EntriesPerExchange int
}

// DefaultRateShareOptions returns the options of the benchmarks.
func DefaultRateShareOptions(instances int, skew Skew, seed uint64) RateShareOptions {
	return RateShareOptions{
		Instances: instances, Skew: skew, RequestsPerSecond: 100, OfferedFactor: 2, Seed: seed,
		Duration: 3 * time.Minute, EntriesPerExchange: 128,
	}
}

// RateShareResult is the result of one run. The first 20 s count only in
// EntriesPerSecond and RefusedShare.
type RateShareResult struct {
	// RateError is the relative deviation of the admitted rate from the limit.
	RateError float64
	// HighestError and LowestError are the extremes of this deviation in windows
	// of 10 s.
	HighestError float64
	LowestError  float64
	// EntriesPerSecond is the mean number of usage entries that one instance sends
	// per second.
	EntriesPerSecond float64
	// RefusedShare is the share of the requests that were refused.
	RefusedShare float64
}

const (
	// rateWarmup is the start of a run that the deviations from the limit leave out.
	rateWarmup = 20 * time.Second
	// rateWindow is the length of the windows of HighestError and LowestError.
	rateWindow = 10 * time.Second
	// ringNeighbours is the number of neighbours on the ring with which an instance
	// exchanges usage every second.
	ringNeighbours = 3
	// exchangeDelay is the time that a message takes.
	exchangeDelay = 10 * time.Millisecond
)

type rateShareSimulation struct {
	options           RateShareOptions
	scheduler         *scheduler
	random            *rand.Rand
	cores             []*limits.Core
	nextID            uint64
	admittedPerWindow []int // requests by window of rateWindow
	sentEntries       int
	offeredRequests   int
	refusedRequests   int
}

// SimulateRateShares runs the rate share simulation once.
func SimulateRateShares(o RateShareOptions) RateShareResult {
	r := &rateShareSimulation{options: o, scheduler: newScheduler(), random: rand.New(rand.NewPCG(o.Seed, rateShareStream))}
	r.admittedPerWindow = make([]int, int((rateWarmup+o.Duration)/rateWindow)+1)
	config := newConfig(nil, api.Account{ID: "a", RequestsPerSecond: o.RequestsPerSecond})
	for i := range o.Instances {
		core := limits.NewCore(limits.CoreOptions{Instance: api.InstanceID(fmt.Sprintf("i%03d", i)), WallOffset: time.Hour})
		core.Step(r.scheduler.now, limits.ConfigChanged{Config: config})
		core.Step(r.scheduler.now, limits.FleetResized{Instances: o.Instances})
		r.cores = append(r.cores, core)
		offset := time.Duration(r.random.Float64() * float64(time.Second))
		r.scheduler.after(offset, func() { r.exchangeEverySecond(i) })
	}
	r.scheduleArrival()
	r.scheduler.runUntil(simulationStart + rateWarmup + o.Duration)
	return r.summarize()
}

// exchangeEverySecond exchanges usage between an instance and its neighbours on a
// ring and one random instance, and schedules the next exchange after a second.
func (r *rateShareSimulation) exchangeEverySecond(i int) {
	r.cores[i].Step(r.scheduler.now, limits.Tick{})
	count := len(r.cores)
	for n := 1; n <= min(ringNeighbours, count-1); n++ {
		r.exchange(i, (i+n)%count)
	}
	r.exchange(i, (i+1+r.random.IntN(count-1))%count)
	r.scheduler.after(time.Second, func() { r.exchangeEverySecond(i) })
}

// exchange sends usage in both directions.
func (r *rateShareSimulation) exchange(i, j int) {
	r.sendUsage(i, j)
	r.sendUsage(j, i)
}

func (r *rateShareSimulation) sendUsage(from, to int) {
	left := r.options.EntriesPerExchange
	usage := r.cores[from].Collect(r.scheduler.now, func(limits.PeerUsage) bool { left--; return left >= 0 })
	r.sentEntries += len(usage)
	r.scheduler.after(exchangeDelay, func() { r.cores[to].Step(r.scheduler.now, limits.PeerUsageReceived{Usage: usage}) })
}

func (r *rateShareSimulation) scheduleArrival() {
	gapSeconds := r.random.ExpFloat64() / (r.options.RequestsPerSecond * r.options.OfferedFactor)
	r.scheduler.after(time.Duration(gapSeconds*float64(time.Second)), func() {
		r.nextID++
		r.offeredRequests++
		request := api.AdmissionRequest{Account: "a", Priority: api.PriorityInteractive}
		core := r.cores[r.selectInstance()]
		for _, action := range core.Step(r.scheduler.now, limits.AdmissionRequested{ID: r.nextID, Request: request}) {
			if _, ok := action.(limits.RequestAdmitted); ok {
				r.admittedPerWindow[(r.scheduler.now-simulationStart)/rateWindow]++
			} else {
				r.refusedRequests++
			}
		}
		core.Step(r.scheduler.now, limits.AdmissionReleased{ID: r.nextID})
		r.scheduleArrival()
	})
}

// selectInstance returns the index of the instance that receives a request.
func (r *rateShareSimulation) selectInstance() int {
	count := len(r.cores)
	busyInstances := max(1, count/5)
	switch r.options.Skew {
	case SkewPareto:
		if r.random.Float64() < 0.8 {
			return r.random.IntN(busyInstances)
		}
		return busyInstances + r.random.IntN(count-busyInstances)
	case SkewSingleInstance:
		return 0
	case SkewMoving:
		return int((r.scheduler.now-simulationStart)/skewMovingPeriod) % count
	default:
		return r.random.IntN(count)
	}
}

func (r *rateShareSimulation) summarize() RateShareResult {
	first := int(rateWarmup / rateWindow)
	last := first + int(r.options.Duration/rateWindow)
	result := RateShareResult{RefusedShare: float64(r.refusedRequests) / float64(max(1, r.offeredRequests)), HighestError: math.Inf(-1), LowestError: math.Inf(1)}
	expected := r.options.RequestsPerSecond * rateWindow.Seconds()
	sum := 0
	for _, count := range r.admittedPerWindow[first:last] {
		sum += count
		deviation := float64(count)/expected - 1
		result.HighestError = max(result.HighestError, deviation)
		result.LowestError = min(result.LowestError, deviation)
	}
	result.RateError = float64(sum)/(r.options.RequestsPerSecond*r.options.Duration.Seconds()) - 1
	seconds := (rateWarmup + r.options.Duration).Seconds()
	result.EntriesPerSecond = float64(r.sentEntries) / seconds / float64(len(r.cores))
	return result
}
