package bench

import (
	"context"
	"fmt"

	"github.com/hibiscusstair/hibiscusstair/standins/harness"
)

// variant is a setting of the instances' recovery.
type variant struct {
	name, setting string
	rounds        int
}

// recovery measures resume latency and the cost of recovery in each mode and
// with the baselines.
func (r *runner) recovery(ctx context.Context) error {
	variants := []variant{{"eager", "eager", r.rounds}, {"sparing", "sparing", r.rounds}}
	if r.baselineRounds > 0 {
		variants = append(variants, variant{"start_over", "start-over", r.baselineRounds})
		variants = append(variants, variant{"fixed_timeout", "fixed-timeout", r.baselineRounds})
	}
	for _, v := range variants {
		err := with(ctx, 3, 4, argue("--recovery", v.setting), func(f *harness.Fleet, c *harness.Caller) error {
			return r.faults(ctx, f, c, v)
		})
		if err != nil {
			return fmt.Errorf("%s: %w", v.name, err)
		}
	}
	return nil
}

// cost sums what recoveries cost.
type cost struct {
	again, delivered int
	bytes            uint64
}

func (r *runner) faults(ctx context.Context, f *harness.Fleet, c *harness.Caller, v variant) error {
	faults := []struct {
		name  string
		fault harness.Fault
	}{{"kill", harness.KillEngine}, {"freeze", harness.PauseEngine}, {"instance_kill", harness.KillInstance}}
	n := 0
	var total cost
	for _, kind := range faults {
		latency := newHistogram()
		for range v.rounds {
			o := f.MeasureGenerations(ctx, r.open(ctx, f, c, &n), r.faultAt, kind.fault)
			if o.Err != nil {
				return fmt.Errorf("%s: %w", kind.name, o.Err)
			}
			for _, resume := range o.ResumeLatencies {
				latency.add(resume)
			}
			total.again += o.RecomputedTokens
			total.delivered += o.DeliveredTokens
			total.bytes += o.CrossRegionBytes
		}
		r.resume(kind.name, v.name, latency)
	}
	r.add("extra_tokens_share", v.name, "share", float64(total.again)/float64(total.delivered), total.delivered)
	r.add("cross_region_bytes_per_token", v.name, "bytes", float64(total.bytes)/float64(total.delivered), total.delivered)
	return nil
}

func (r *runner) resume(fault, variant string, latency histogram) {
	switch fault {
	case "kill":
		r.results = append(r.results,
			latency.quantile("resume_kill_p50_ms", variant, 50), latency.quantile("resume_kill_p99_ms", variant, 99))
	case "freeze":
		r.results = append(r.results, latency.quantile("resume_freeze_p99_ms", variant, 99))
	default:
		r.results = append(r.results,
			latency.quantile("resume_kill_p50_ms", variant+", instance", 50), latency.quantile("resume_kill_p99_ms", variant+", instance", 99))
	}
}

// open starts the generations of one round over all instances.
func (r *runner) open(ctx context.Context, f *harness.Fleet, c *harness.Caller, n *int) func() []*harness.Stream {
	return func() []*harness.Stream {
		instances := f.Instances()
		var streams []*harness.Stream
		for range r.streams {
			caller := *c
			caller.Instances = f.CallerAddresses(instances[*n%len(instances)].Spec.ID)
			streams = append(streams, caller.Open(ctx, request(*n, r.tokens)))
			*n++
		}
		return streams
	}
}
