package bench

import (
	"context"
	"fmt"

	"github.com/hibiscusstair/hibiscusstair/standins/harness"
)

// recovery measures resume latency and the cost of recovery in each mode and
// with the baselines.
func (r *runner) recovery(ctx context.Context) error {
	variants := []struct{ name, setting string }{{"eager", "eager"}, {"sparing", "sparing"}}
	if r.baselines {
		variants = append(variants, struct{ name, setting string }{"start_over", "start-over"})
		variants = append(variants, struct{ name, setting string }{"fixed_timeout", "fixed-timeout"})
	}
	for _, v := range variants {
		err := with(ctx, 3, 4, argue("--recovery", v.setting), func(f *harness.Fleet, c *harness.Caller) error {
			return r.faults(ctx, f, c, v.name)
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

func (r *runner) faults(ctx context.Context, f *harness.Fleet, c *harness.Caller, variant string) error {
	faults := []struct {
		name  string
		fault harness.Fault
	}{{"kill", harness.KillEngine}, {"freeze", harness.FreezeEngine}, {"instance_kill", harness.KillInstance}}
	n := 0
	var total cost
	for _, kind := range faults {
		latency := newHistogram()
		for range r.rounds {
			o := f.Observe(ctx, r.open(ctx, f, c, &n), r.faultAt, kind.fault)
			if o.Err != nil {
				return fmt.Errorf("%s: %w", kind.name, o.Err)
			}
			for _, resume := range o.Resumes {
				latency.add(resume)
			}
			total.again += o.Again
			total.delivered += o.Delivered
			total.bytes += o.LinkBytes
		}
		r.resume(kind.name, variant, latency)
	}
	r.add("extra_tokens_share", variant, "share", float64(total.again)/float64(total.delivered), total.delivered)
	r.add("cross_region_bytes_per_token", variant, "bytes", float64(total.bytes)/float64(total.delivered), total.delivered)
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
			caller.Instances = f.Callers(instances[*n%len(instances)].Spec.ID)
			streams = append(streams, caller.Open(ctx, request(*n, r.tokens)))
			*n++
		}
		return streams
	}
}
