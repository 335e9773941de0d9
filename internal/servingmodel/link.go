package servingmodel

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/placement"
)

// LinkOptions describes one run of the link model: a region loses its engines
// and all its generations continue over the billed link, beside new work.
type LinkOptions struct {
	BytesPerSecond float64
	// Continuations are the continuations at the moment of the loss, NewRequestsPerSecond
	// the new generations that could only run in the other region.
	Continuations        int
	NewRequestsPerSecond float64
	BytesPerRequest      int
	Seed                 uint64
	Duration             time.Duration
}

// DefaultLinkOptions returns the setting of the measurements: a sixth of 30 Mbit/s for
// one of six instances.
func DefaultLinkOptions(seed uint64) LinkOptions {
	return LinkOptions{BytesPerSecond: 625000, Continuations: 200, NewRequestsPerSecond: 40, BytesPerRequest: 40000, Seed: seed, Duration: time.Minute}
}

// LinkResult is the outcome of one run.
type LinkResult struct {
	// BudgetBytes is what the bucket allowed over the run, its burst included.
	BudgetBytes float64
	// ContinuationBytes and NewBytes went over the link.
	ContinuationBytes int
	NewBytes          int
	// StartedContinuations counts the continuations that started, LastContinuationAt when the
	// last one did.
	StartedContinuations int
	LastContinuationAt   time.Duration
	// PeakBudgetShare is the highest use in any window of 10 s relative to what the
	// bucket allows in it.
	PeakBudgetShare float64
}

const (
	linkWindow  = 10 * time.Second
	linkBurst   = 2 * time.Second
	linkService = 10 * time.Second
	farEngines  = 12
	farSlots    = 64
	recoveryIDs = 1 << 32
)

type transfer struct {
	at    time.Duration
	bytes int
}

// SimulateLink runs the model once.
func SimulateLink(o LinkOptions) LinkResult {
	t := newTimeline()
	random := rand.New(rand.NewPCG(o.Seed, 4))
	core := placement.NewCore(placement.CoreOptions{
		Instance: "i1", Half: modelHalf, Place: localPlace, Seed: o.Seed, LinkBytesPerSecond: o.BytesPerSecond,
	})
	var engines []api.Endpoint
	for i := range farEngines {
		engines = append(engines, engine(i, farSlots, farPlace))
	}
	var result LinkResult
	var transfers []transfer
	var step func(event placement.Event)
	step = func(event placement.Event) {
		for _, action := range slices.Clone(core.Step(t.now, event)) {
			granted, ok := action.(placement.PlacementGranted)
			if !ok {
				continue
			}
			id := granted.Grant.ID
			t.after(linkService, func() { step(placement.GrantReleased{ID: id, Outcome: api.OutcomeCompleted}) })
			transfers = append(transfers, transfer{t.now, o.BytesPerRequest})
			if granted.Grant.ID >= recoveryIDs {
				result.ContinuationBytes += o.BytesPerRequest
				result.StartedContinuations++
				result.LastContinuationAt = t.now - modelStart
			} else {
				result.NewBytes += o.BytesPerRequest
			}
		}
	}
	request := api.PlacementRequest{
		Kind: api.KindEngine, Model: modelRef, Account: "a", Priority: api.PriorityInteractive, Tokens: 500, Bytes: o.BytesPerRequest,
	}
	step(placement.ConfigChanged{Config: configuration(engines)})
	t.every(20*time.Millisecond, func() { step(placement.Tick{}) })
	id := uint64(0)
	var arrive func()
	arrive = func() {
		id++
		step(placement.PlacementRequested{ID: id, Request: request})
		t.after(time.Duration(random.ExpFloat64()/o.NewRequestsPerSecond*float64(time.Second)), arrive)
	}
	t.after(0, arrive)
	t.after(5*time.Second, func() {
		recovery := request
		recovery.Recovery = true
		for i := range o.Continuations {
			step(placement.PlacementRequested{ID: uint64(recoveryIDs + i), Request: recovery})
		}
	})
	t.runUntil(modelStart + o.Duration)
	result.BudgetBytes = o.BytesPerSecond * (o.Duration + linkBurst).Seconds()
	result.PeakBudgetShare = peakShare(transfers, o.BytesPerSecond)
	return result
}

// peakShare returns the highest use of any window.
func peakShare(transfers []transfer, rate float64) float64 {
	allowed := rate * (linkWindow + linkBurst).Seconds()
	highest, sum, first := 0.0, 0, 0
	for _, t := range transfers {
		sum += t.bytes
		for transfers[first].at < t.at-linkWindow {
			sum -= transfers[first].bytes
			first++
		}
		highest = max(highest, float64(sum)/allowed)
	}
	return highest
}
