package bench

import (
	"context"
	"fmt"

	"github.com/hibiscusstair/hibiscusstair/standins/harness"
)

// recoveryVariant is a recovery mode or baseline of the instances.
type recoveryVariant struct {
	name, recoveryFlag string // recoveryFlag is the value of --recovery
	rounds             int    // faults of each kind
}

// recovery measures the resume latency and the cost of recovery for each recovery
// mode and for the baselines.
func (r *runner) recovery(ctx context.Context) error {
	variants := []recoveryVariant{{"eager", "eager", r.rounds}, {"sparing", "sparing", r.rounds}}
	if r.baselineRounds > 0 {
		variants = append(variants, recoveryVariant{"start_over", "start-over", r.baselineRounds})
		variants = append(variants, recoveryVariant{"fixed_timeout", "fixed-timeout", r.baselineRounds})
	}
	for _, v := range variants {
		err := withFleet(ctx, 3, 4, addArguments("--recovery", v.recoveryFlag), func(f *harness.Fleet, c *harness.Caller) error {
			return r.measureFaults(ctx, f, c, v)
		})
		if err != nil {
			return fmt.Errorf("%s: %w", v.name, err)
		}
	}
	return nil
}

// recoveryCost sums the cost of recoveries.
type recoveryCost struct {
	recomputedTokens, deliveredTokens int
	crossRegionBytes                  uint64
}

// measureFaults injects each kind of fault and adds the results of the variant.
func (r *runner) measureFaults(ctx context.Context, f *harness.Fleet, c *harness.Caller, v recoveryVariant) error {
	// The results keep the name freeze for a paused engine.
	faults := []struct {
		name  string
		fault harness.Fault
	}{{"kill", harness.KillServingEngine}, {"freeze", harness.PauseServingEngine}, {"instance_kill", harness.KillServingInstance}}
	n := 0 // number of the next generation
	var total recoveryCost
	for _, kind := range faults {
		latency := newHistogram()
		for range v.rounds {
			measurement := f.MeasureGenerations(ctx, r.openGenerations(ctx, f, c, &n), r.tokensBeforeFault, kind.fault)
			if measurement.Err != nil {
				return fmt.Errorf("%s: %w", kind.name, measurement.Err)
			}
			for _, resume := range measurement.ResumeLatencies {
				latency.add(resume)
			}
			total.recomputedTokens += measurement.RecomputedTokens
			total.deliveredTokens += measurement.DeliveredTokens
			total.crossRegionBytes += measurement.CrossRegionBytes
		}
		r.addResumeLatency(kind.name, v.name, latency)
	}
	r.add("extra_tokens_share", v.name, "share", float64(total.recomputedTokens)/float64(total.deliveredTokens), total.deliveredTokens)
	r.add("cross_region_bytes_per_token", v.name, "bytes", float64(total.crossRegionBytes)/float64(total.deliveredTokens), total.deliveredTokens)
	return nil
}

// addResumeLatency adds the results of one kind of fault.
func (r *runner) addResumeLatency(fault, variantName string, latency histogram) {
	switch fault {
	case "kill":
		r.results = append(r.results,
			latency.percentile("resume_kill_p50_ms", variantName, 50), latency.percentile("resume_kill_p99_ms", variantName, 99))
	case "freeze":
		r.results = append(r.results, latency.percentile("resume_freeze_p99_ms", variantName, 99))
	default:
		// The results of instance_kill have the names of kill and a variant of their
		// own.
		r.results = append(r.results,
			latency.percentile("resume_kill_p50_ms", variantName+", instance", 50), latency.percentile("resume_kill_p99_ms", variantName+", instance", 99))
	}
}

// openGenerations returns a function that starts the generations of one round,
// distributed over all instances. It continues the numbering of the generations
// in n.
func (r *runner) openGenerations(ctx context.Context, f *harness.Fleet, c *harness.Caller, n *int) func() []*harness.Stream {
	return func() []*harness.Stream {
		instances := f.Instances()
		var streams []*harness.Stream
		for range r.streams {
			caller := *c
			caller.InstanceAddresses = f.CallerAddresses(instances[*n%len(instances)].Spec.ID)
			streams = append(streams, caller.Open(ctx, newGeneration(*n, r.tokens)))
			*n++
		}
		return streams
	}
}
