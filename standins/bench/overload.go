package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/harness"
)

const (
	overloadEngines = 2
	overloadSlots   = 4
	overloadTokens  = 50
	// overloadTimeout is how long a caller waits for the complete response.
	overloadTimeout = 3 * time.Second
	// overloadWarmUp is left out of the measurement; all slots of the engines are
	// in use after it.
	overloadWarmUp = time.Second
	// tokensPerSecond is the rate of one slot of an engine that harness starts.
	tokensPerSecond = 100
)

// overload offers a multiple of the engines' capacity and measures the goodput: the
// tokens of responses that were complete in time, as a share of the capacity.
func (r *runner) overload(ctx context.Context) error {
	for _, load := range r.loadFactors {
		change := func(o *harness.Options) {
			for i := range o.Endpoints {
				if o.Endpoints[i].Models != nil {
					o.Endpoints[i].Slots = overloadSlots
					o.Endpoints[i].Arguments = append(o.Endpoints[i].Arguments, "--batch-slowdown", "0")
				}
			}
		}
		err := withFleet(ctx, 3, overloadEngines, change, func(f *harness.Fleet, c *harness.Caller) error {
			share, n := r.offerLoad(ctx, f, c, load)
			name := "goodput_share"
			if load == 4 {
				name = "goodput_share_at_4x"
			}
			r.add(name, fmt.Sprintf("%gx", load), "share", share, n)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// offerLoad sends requests at a fixed rate that doesn't depend on their outcome.
func (r *runner) offerLoad(ctx context.Context, f *harness.Fleet, c *harness.Caller, load float64) (share float64, n int) {
	capacity := float64(overloadEngines * overloadSlots * tokensPerSecond)
	interval := time.Duration(float64(time.Second) * overloadTokens / (capacity * load))
	instances := f.Instances()
	start := time.Now()
	var streams []*harness.Stream
	var cancels []context.CancelFunc
	for next := start; next.Sub(start) < r.overloadDuration; next = next.Add(interval) {
		time.Sleep(time.Until(next))
		caller := *c
		caller.Instances = []string{instances[len(streams)%len(instances)].CallerAddress}
		caller.NoReconnect = true
		caller.RequestTimeout = overloadTimeout
		bounded, cancel := context.WithTimeout(ctx, overloadTimeout)
		cancels = append(cancels, cancel)
		streams = append(streams, caller.Open(bounded, request(len(streams), overloadTokens)))
	}
	good := 0
	for i, s := range streams {
		<-s.Done()
		if s.Complete() && s.CheckAllTokens() == nil {
			good += tokensBetween(s, start.Add(overloadWarmUp), start.Add(r.overloadDuration))
		}
		cancels[i]()
	}
	return float64(good) / (capacity * (r.overloadDuration - overloadWarmUp).Seconds()), len(streams)
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
