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
	// overloadBound is how long a caller waits for its whole answer.
	overloadBound = 3 * time.Second
	// overloadWarmUp is the time until the engines are full.
	overloadWarmUp = time.Second
	// tokensPerSecond of one slot of an engine of harness.Engine.
	tokensPerSecond = 100
)

// overload offers more than the engines can do and measures the tokens of
// answers that were whole in time, as a share of the engines' capacity.
func (r *runner) overload(ctx context.Context) error {
	for _, load := range r.loads {
		change := func(o *harness.Options) {
			for i := range o.Endpoints {
				if o.Endpoints[i].Models != nil {
					o.Endpoints[i].Slots = overloadSlots
					o.Endpoints[i].Arguments = append(o.Endpoints[i].Arguments, "--batch-slowdown", "0")
				}
			}
		}
		err := with(ctx, 3, overloadEngines, change, func(f *harness.Fleet, c *harness.Caller) error {
			share, n := r.offer(ctx, f, c, load)
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

// offer sends requests at a fixed rate, whatever becomes of them.
func (r *runner) offer(ctx context.Context, f *harness.Fleet, c *harness.Caller, load float64) (share float64, n int) {
	capacity := float64(overloadEngines * overloadSlots * tokensPerSecond)
	interval := time.Duration(float64(time.Second) * overloadTokens / (capacity * load))
	instances := f.Instances()
	start := time.Now()
	var streams []*harness.Stream
	var cancels []context.CancelFunc
	for next := start; next.Sub(start) < r.loadTime; next = next.Add(interval) {
		time.Sleep(time.Until(next))
		caller := *c
		caller.Instances = []string{instances[len(streams)%len(instances)].CallerAddress}
		caller.NoReconnect = true
		caller.RequestTimeout = overloadBound
		bounded, cancel := context.WithTimeout(ctx, overloadBound)
		cancels = append(cancels, cancel)
		streams = append(streams, caller.Open(bounded, request(len(streams), overloadTokens)))
	}
	good := 0
	for i, s := range streams {
		<-s.Done()
		if s.Complete() && s.CheckAllTokens() == nil {
			good += tokensWithin(s, start.Add(overloadWarmUp), start.Add(r.loadTime))
		}
		cancels[i]()
	}
	return float64(good) / (capacity * (r.loadTime - overloadWarmUp).Seconds()), len(streams)
}

// tokensWithin counts the tokens that were delivered in a span of time.
func tokensWithin(s *harness.Stream, from, to time.Time) int {
	n := 0
	for _, event := range s.Events() {
		if event.At.After(from) && event.At.Before(to) {
			n++
		}
	}
	return n
}
