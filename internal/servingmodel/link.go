package servingmodel

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/placement"
)

// LinkOptions configures one run of the link simulation: a region loses its engines,
// and all its generations continue over the billed link, together with new ones.
type LinkOptions struct {
	BytesPerSecond float64
	// Continuations is the number of generations that the engines were running,
	// NewRequestsPerSecond the rate of new ones, which can only run in the other
	// region.
	Continuations        int
	NewRequestsPerSecond float64
	BytesPerRequest      int
	Seed                 uint64
	Duration             time.Duration
}

// DefaultLinkOptions returns the options of the benchmarks: one of six instances,
// which has a sixth of 30 Mbit/s.
func DefaultLinkOptions(seed uint64) LinkOptions {
	return LinkOptions{BytesPerSecond: 625000, Continuations: 200, NewRequestsPerSecond: 40, BytesPerRequest: 40000, Seed: seed, Duration: time.Minute}
}

// LinkResult is the result of one run.
type LinkResult struct {
	// BudgetBytes is what the token bucket allows in the run, including its burst.
	BudgetBytes float64
	// ContinuationBytes and NewBytes were sent over the link.
	ContinuationBytes int
	NewBytes          int
	// StartedContinuations is the number of continuations that started, and
	// LastContinuationAt the time of the last start since the start of the run; the
	// region fails at regionFailureAt.
	StartedContinuations int
	LastContinuationAt   time.Duration
	// PeakBudgetShare is the highest number of bytes in any window of 10 s,
	// relative to what the token bucket allows in such a window.
	PeakBudgetShare float64
}

const (
	// linkPeakWindow is the length of the windows of PeakBudgetShare.
	linkPeakWindow = 10 * time.Second
	// linkBurstTime equals linkBurstTime of placement.
	linkBurstTime = 2 * time.Second
	// linkServiceTime is the time that a generation holds a slot.
	linkServiceTime = 10 * time.Second
	// regionFailureAt is the time from the start of the run to the loss of the
	// engines.
	regionFailureAt = 5 * time.Second
	// The other region has remoteEngines engines with remoteSlots slots each.
	remoteEngines = 12
	remoteSlots   = 64
	// Identifiers from firstContinuationID on belong to continuations.
	firstContinuationID = 1 << 32
)

type linkTransfer struct {
	at    time.Duration
	bytes int
}

// SimulateLink runs the link simulation once.
func SimulateLink(o LinkOptions) LinkResult {
	scheduler := newScheduler()
	random := rand.New(rand.NewPCG(o.Seed, linkStream))
	core := placement.NewCore(placement.CoreOptions{
		Instance: "i1", Half: simulatedHalf, Place: localPlace, Seed: o.Seed, LinkBytesPerSecond: o.BytesPerSecond,
	})
	var engines []api.Endpoint
	for i := range remoteEngines {
		engines = append(engines, newEngine(i, remoteSlots, remotePlace))
	}
	var result LinkResult
	var transfers []linkTransfer
	var handleEvent func(event placement.Event)
	handleEvent = func(event placement.Event) {
		for _, action := range slices.Clone(core.Step(scheduler.now, event)) {
			granted, ok := action.(placement.PlacementGranted)
			if !ok {
				continue
			}
			id := granted.Grant.ID
			scheduler.after(linkServiceTime, func() { handleEvent(placement.GrantReleased{ID: id, Outcome: api.OutcomeCompleted}) })
			transfers = append(transfers, linkTransfer{scheduler.now, o.BytesPerRequest})
			if granted.Grant.ID >= firstContinuationID {
				result.ContinuationBytes += o.BytesPerRequest
				result.StartedContinuations++
				result.LastContinuationAt = scheduler.now - simulationStart
			} else {
				result.NewBytes += o.BytesPerRequest
			}
		}
	}
	request := api.PlacementRequest{
		Kind: api.KindEngine, Model: modelRef, Account: "a", Priority: api.PriorityInteractive, Tokens: 500, LinkBytes: o.BytesPerRequest,
	}
	handleEvent(placement.ConfigChanged{Config: newConfig(engines)})
	scheduler.every(tickInterval, func() { handleEvent(placement.Tick{}) })
	id := uint64(0)
	var scheduleArrival func()
	scheduleArrival = func() {
		id++
		handleEvent(placement.PlacementRequested{ID: id, Request: request})
		scheduler.after(time.Duration(random.ExpFloat64()/o.NewRequestsPerSecond*float64(time.Second)), scheduleArrival)
	}
	scheduler.after(0, scheduleArrival)
	scheduler.after(regionFailureAt, func() {
		recovery := request
		recovery.Recovery = true
		for i := range o.Continuations {
			handleEvent(placement.PlacementRequested{ID: uint64(firstContinuationID + i), Request: recovery})
		}
	})
	scheduler.runUntil(simulationStart + o.Duration)
	result.BudgetBytes = o.BytesPerSecond * (o.Duration + linkBurstTime).Seconds()
	result.PeakBudgetShare = peakBudgetShare(transfers, o.BytesPerSecond)
	return result
}

// peakBudgetShare returns LinkResult.PeakBudgetShare of the transfers.
func peakBudgetShare(transfers []linkTransfer, bytesPerSecond float64) float64 {
	allowed := bytesPerSecond * (linkPeakWindow + linkBurstTime).Seconds()
	highest, sum, first := 0.0, 0, 0
	for _, t := range transfers {
		sum += t.bytes
		for transfers[first].at < t.at-linkPeakWindow {
			sum -= transfers[first].bytes
			first++
		}
		highest = max(highest, float64(sum)/allowed)
	}
	return highest
}
