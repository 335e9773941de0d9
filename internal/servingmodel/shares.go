package servingmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/limits"
)

// Skew says how an account's demand is spread over the instances.
type Skew string

// Kinds of skew.
const (
	SkewUniform        Skew = "uniform"
	SkewPareto         Skew = "80/20"
	SkewSingleInstance Skew = "all on one"
	SkewMoving         Skew = "moving"
	movingPeriod            = 20 * time.Second
)

// Skews lists all kinds.
var Skews = []Skew{SkewUniform, SkewPareto, SkewSingleInstance, SkewMoving}

// RateShareOptions describes one run of the share model.
type RateShareOptions struct {
	Instances int
	Skew      Skew
	// RequestsPerSecond is the account's rate, Offered the demand relative to it.
	RequestsPerSecond float64
	OfferedFactor     float64
	Seed              uint64
	Duration          time.Duration
	// EntriesPerExchange bounds the entries of one exchange.
	EntriesPerExchange int
}

// DefaultRateShareOptions returns the setting of the measurements.
func DefaultRateShareOptions(instances int, skew Skew, seed uint64) RateShareOptions {
	return RateShareOptions{
		Instances: instances, Skew: skew, RequestsPerSecond: 100, OfferedFactor: 2, Seed: seed,
		Duration: 3 * time.Minute, EntriesPerExchange: 128,
	}
}

// RateShareResult is the outcome of one run, without its first 20 s.
type RateShareResult struct {
	// RateError is the admitted rate relative to the limit, less 1.
	RateError float64
	// HighestError and Lowest are the extremes of the error over windows of 10 s.
	HighestError float64
	LowestError  float64
	// EntriesPerSecond is the number of delta entries that one instance sends.
	EntriesPerSecond float64
	// RefusedShare is the part of the requests that were refused.
	RefusedShare float64
}

const (
	shareWarmup = 20 * time.Second
	shareWindow = 10 * time.Second
	// neighbours is the number of instances that one exchanges with a second,
	// and exchangeDelay how long that takes.
	neighbours    = 3
	exchangeDelay = 10 * time.Millisecond
)

type shareRun struct {
	options  RateShareOptions
	time     *timeline
	random   *rand.Rand
	cores    []*limits.Core
	nextID   uint64
	admitted []int // by window
	entries  int
	offered  int
	refused  int
}

// SimulateRateShares runs the model once.
func SimulateRateShares(o RateShareOptions) RateShareResult {
	r := &shareRun{options: o, time: newTimeline(), random: rand.New(rand.NewPCG(o.Seed, 2))}
	r.admitted = make([]int, int((shareWarmup+o.Duration)/shareWindow)+1)
	config := configuration(nil, api.Account{ID: "a", RequestsPerSecond: o.RequestsPerSecond})
	for i := range o.Instances {
		core := limits.NewCore(limits.CoreOptions{Instance: api.InstanceID(fmt.Sprintf("i%03d", i)), WallOffset: time.Hour})
		core.Step(r.time.now, limits.ConfigChanged{Config: config})
		core.Step(r.time.now, limits.FleetResized{Instances: o.Instances})
		r.cores = append(r.cores, core)
		offset := time.Duration(r.random.Float64() * float64(time.Second))
		r.time.after(offset, func() { r.exchanges(i) })
	}
	r.arrive()
	r.time.runUntil(modelStart + shareWarmup + o.Duration)
	return r.finish()
}

// exchanges lets one instance exchange every second with its neighbours on a
// ring and with one at random.
func (r *shareRun) exchanges(i int) {
	r.cores[i].Step(r.time.now, limits.Tick{})
	count := len(r.cores)
	for n := 1; n <= min(neighbours, count-1); n++ {
		r.exchange(i, (i+n)%count)
	}
	r.exchange(i, (i+1+r.random.IntN(count-1))%count)
	r.time.after(time.Second, func() { r.exchanges(i) })
}

// exchange passes deltas in both directions.
func (r *shareRun) exchange(i, j int) {
	r.deliver(i, j)
	r.deliver(j, i)
}

func (r *shareRun) deliver(from, to int) {
	usage := r.cores[from].Collect(r.time.now, r.options.EntriesPerExchange)
	r.entries += len(usage)
	r.time.after(exchangeDelay, func() { r.cores[to].Step(r.time.now, limits.PeerUsageReceived{Usage: usage}) })
}

func (r *shareRun) arrive() {
	gap := r.random.ExpFloat64() / (r.options.RequestsPerSecond * r.options.OfferedFactor)
	r.time.after(time.Duration(gap*float64(time.Second)), func() {
		r.nextID++
		r.offered++
		request := api.AdmissionRequest{Account: "a", Priority: api.PriorityInteractive}
		core := r.cores[r.target()]
		for _, action := range core.Step(r.time.now, limits.AdmissionRequested{ID: r.nextID, Request: request}) {
			if _, ok := action.(limits.RequestAdmitted); ok {
				r.admitted[(r.time.now-modelStart)/shareWindow]++
			} else {
				r.refused++
			}
		}
		core.Step(r.time.now, limits.AdmissionReleased{ID: r.nextID})
		r.arrive()
	})
}

// target selects the instance that a request arrives at.
func (r *shareRun) target() int {
	count := len(r.cores)
	few := max(1, count/5)
	switch r.options.Skew {
	case SkewPareto:
		if r.random.Float64() < 0.8 {
			return r.random.IntN(few)
		}
		return few + r.random.IntN(count-few)
	case SkewSingleInstance:
		return 0
	case SkewMoving:
		return int((r.time.now-modelStart)/movingPeriod) % count
	default:
		return r.random.IntN(count)
	}
}

func (r *shareRun) finish() RateShareResult {
	first := int(shareWarmup / shareWindow)
	last := first + int(r.options.Duration/shareWindow)
	result := RateShareResult{RefusedShare: float64(r.refused) / float64(max(1, r.offered)), HighestError: math.Inf(-1), LowestError: math.Inf(1)}
	expected := r.options.RequestsPerSecond * shareWindow.Seconds()
	sum := 0
	for _, count := range r.admitted[first:last] {
		sum += count
		deviation := float64(count)/expected - 1
		result.HighestError = max(result.HighestError, deviation)
		result.LowestError = min(result.LowestError, deviation)
	}
	result.RateError = float64(sum)/(r.options.RequestsPerSecond*r.options.Duration.Seconds()) - 1
	seconds := (shareWarmup + r.options.Duration).Seconds()
	result.EntriesPerSecond = float64(r.entries) / seconds / float64(len(r.cores))
	return result
}
