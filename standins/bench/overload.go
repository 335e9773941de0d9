package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/harness"
)

const (
	overloadEngines          = 2
	overloadSlotsPerEngine   = 4
	overloadTokensPerRequest = 50
	// overloadTimeout is how long a caller waits for the complete response.
	overloadTimeout = 3 * time.Second
	// overloadWarmUp is left out of the measurement, because the slots of the
	// engines are not yet filled at the start.
	overloadWarmUp = time.Second
	// tokensPerSecondPerSlot follows from the token interval of 10 ms of the engines
	// of harness, which a batch slowdown of 0 keeps in a full batch.
	tokensPerSecondPerSlot = 100
)

// overload offers a multiple of the engines' capacity and measures the goodput: the
// tokens of responses that were complete within overloadTimeout, as a share of the
// tokens that the engines can generate in the same time.
func (r *runner) overload(ctx context.Context) error {
	for _, loadFactor := range r.loadFactors {
		configure := func(o *harness.Options) {
			for i := range o.Endpoints {
				if o.Endpoints[i].Models != nil {
					o.Endpoints[i].Slots = overloadSlotsPerEngine
					o.Endpoints[i].Arguments = append(o.Endpoints[i].Arguments, "--batch-slowdown", "0")
				}
			}
		}
		err := withFleet(ctx, 3, overloadEngines, configure, func(f *harness.Fleet, c *harness.Caller) error {
			goodputShare, n := r.offerLoad(ctx, f, c, loadFactor)
			name := "goodput_share"
			if loadFactor == 4 {
				name = "goodput_share_at_4x"
			}
			r.add(name, fmt.Sprintf("%gx", loadFactor), "share", goodputShare, n)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// offerLoad sends requests at a fixed rate that doesn't depend on their outcome. It
// returns the goodput as a share of the capacity and the number of requests.
func (r *runner) offerLoad(ctx context.Context, f *harness.Fleet, c *harness.Caller, loadFactor float64) (goodputShare float64, n int) {
	capacity := float64(overloadEngines * overloadSlotsPerEngine * tokensPerSecondPerSlot)
	interval := time.Duration(float64(time.Second) * overloadTokensPerRequest / (capacity * loadFactor))
	instances := f.Instances()
	start := time.Now()
	var streams []*harness.Stream
	var cancels []context.CancelFunc
	for next := start; next.Sub(start) < r.overloadDuration; next = next.Add(interval) {
		time.Sleep(time.Until(next))
		caller := *c
		caller.InstanceAddresses = []string{instances[len(streams)%len(instances)].CallerAddress}
		caller.NoReconnect = true
		caller.RequestTimeout = overloadTimeout
		requestCtx, cancel := context.WithTimeout(ctx, overloadTimeout)
		cancels = append(cancels, cancel)
		streams = append(streams, caller.Open(requestCtx, newGeneration(len(streams), overloadTokensPerRequest)))
	}
	goodTokens := 0
	for i, s := range streams {
		<-s.Done()
		if s.Complete() && s.CheckAllTokens() == nil {
			goodTokens += tokensBetween(s, start.Add(overloadWarmUp), start.Add(r.overloadDuration))
		}
		cancels[i]()
	}
	return float64(goodTokens) / (capacity * (r.overloadDuration - overloadWarmUp).Seconds()), len(streams)
}

// tokensBetween returns the number of tokens that were delivered in the interval.
func tokensBetween(s *harness.Stream, from, to time.Time) int {
	n := 0
	for _, event := range s.Events() {
		if event.At.After(from) && event.At.Before(to) {
			n++
		}
	}
	return n
}
