package servingmodel

import (
	"fmt"
	"testing"
	"time"
)

const seed = 20261204

// simulateShortOverload runs a shorter overload simulation, so that the test takes
// only a few seconds with the race detector.
func simulateShortOverload(factor float64, protected bool) OverloadResult {
	o := DefaultOverloadOptions(factor, protected, seed)
	o.Duration = time.Minute
	return SimulateOverload(o)
}

// Guards against a collapse of the goodput under overload. The run without
// protection shows that the simulation overloads the engines at all.
func TestGoodputUnderOverload(t *testing.T) {
	for _, factor := range []float64{2, 4} {
		if r := simulateShortOverload(factor, true); r.GoodputShare < 0.9 {
			t.Errorf("goodput %.3f at %.1f times the capacity, want at least 0.9", r.GoodputShare, factor)
		}
	}
	if r := simulateShortOverload(4, false); r.GoodputShare > 0.5 {
		t.Errorf("goodput %.3f without protection, want at most 0.5: the simulation does not overload", r.GoodputShare)
	}
	if r := simulateShortOverload(0.5, true); r.SentRequests != r.OfferedRequests {
		t.Errorf("%d resends of %d requests at half the capacity, want none", r.SentRequests-r.OfferedRequests, r.OfferedRequests)
	}
}

// Guards against long waits of admitted requests under sustained overload. The run
// is as long as the benchmark, since shedding takes seconds to adapt to a sudden
// overload and waits are longer until then.
func TestWaitTimesUnderSustainedOverload(t *testing.T) {
	const maxWaitP95 = 1800 * time.Millisecond // target for the first token
	for _, factor := range []float64{2, 4} {
		r := SimulateOverload(DefaultOverloadOptions(factor, true, seed))
		if r.WaitP95 > maxWaitP95 || r.GoodputShare < 0.9 {
			t.Errorf("p95 of the wait times %s, goodput %.3f at %.1f times the capacity", r.WaitP95, r.GoodputShare, factor)
		}
	}
}

// Guards the rate limit of a client account across instances: for no distribution
// of its requests is the admitted rate far above or far below the limit.
func TestAccountRateAcrossInstances(t *testing.T) {
	for _, skew := range Skews {
		o := DefaultRateShareOptions(8, skew, seed)
		o.Duration = time.Minute
		r := SimulateRateShares(o)
		if r.HighestError > 0.05 || r.RateError < -0.12 {
			t.Errorf("%s: %+v", skew, r)
		}
	}
}

// Guards against affinity that doesn't find cached prefixes or that overloads one
// engine.
func TestAffinityHitsCachedPrefixes(t *testing.T) {
	o := DefaultAffinityOptions(true, seed)
	o.Requests = 4000
	with := SimulateAffinity(o)
	o.UseAffinity = false
	without := SimulateAffinity(o)
	if with.HitShare < 1.5*without.HitShare {
		t.Errorf("hit share %.3f with affinity, %.3f without", with.HitShare, without.HitShare)
	}
	if with.LoadImbalance > 1.3*without.LoadImbalance {
		t.Errorf("imbalance %.2f with affinity, %.2f without", with.LoadImbalance, without.LoadImbalance)
	}
}

// Guards against use of the billed link above its budget during recovery, and
// against new work that keeps continuations from starting.
func TestLinkBudgetUnderRecovery(t *testing.T) {
	r := SimulateLink(DefaultLinkOptions(seed))
	if r.PeakBudgetShare > 1 || float64(r.ContinuationBytes+r.NewBytes) > r.BudgetBytes {
		t.Errorf("link use above the budget: %+v", r)
	}
	if r.StartedContinuations != DefaultLinkOptions(seed).Continuations {
		t.Errorf("%d continuations started, want %d", r.StartedContinuations, DefaultLinkOptions(seed).Continuations)
	}
}

// The benchmarks report the results of the simulations. One iteration is one run.

func BenchmarkOverload(b *testing.B) {
	for _, factor := range []float64{0.5, 1, 2, 4} {
		for _, protected := range []bool{false, true} {
			b.Run(fmt.Sprintf("factor=%.1f/protected=%v", factor, protected), func(b *testing.B) {
				var r OverloadResult
				for range b.N {
					r = SimulateOverload(DefaultOverloadOptions(factor, protected, seed))
				}
				b.ReportMetric(r.GoodputShare, "goodput")
				b.ReportMetric(r.WastedShare, "wasted")
				b.ReportMetric(float64(r.SentRequests)/float64(r.OfferedRequests), "sent/offered")
				b.ReportMetric(r.WaitP95.Seconds(), "wait-p95-s")
				b.ReportMetric(r.WaitP99.Seconds(), "wait-p99-s")
			})
		}
	}
}

func BenchmarkRateShares(b *testing.B) {
	for _, instances := range []int{8, 330} {
		for _, offered := range []float64{0.8, 2} {
			for _, skew := range Skews {
				b.Run(fmt.Sprintf("instances=%d/offered=%.1f/%s", instances, offered, skew), func(b *testing.B) {
					o := DefaultRateShareOptions(instances, skew, seed)
					o.OfferedFactor = offered
					var r RateShareResult
					for range b.N {
						r = SimulateRateShares(o)
					}
					b.ReportMetric(100*r.RateError, "error-%")
					b.ReportMetric(100*r.LowestError, "lowest-%")
					b.ReportMetric(100*r.HighestError, "highest-%")
					b.ReportMetric(100*r.RefusedShare, "refused-%")
					b.ReportMetric(r.EntriesPerSecond, "entries/s")
				})
			}
		}
	}
}

func BenchmarkAffinity(b *testing.B) {
	for _, affinity := range []bool{false, true} {
		b.Run(fmt.Sprintf("affinity=%v", affinity), func(b *testing.B) {
			var r AffinityResult
			for range b.N {
				r = SimulateAffinity(DefaultAffinityOptions(affinity, seed))
			}
			b.ReportMetric(r.HitShare, "hit-share")
			b.ReportMetric(r.LoadImbalance, "highest/mean")
			b.ReportMetric(float64(r.WaitedRequests), "waited")
		})
	}
}

func BenchmarkLink(b *testing.B) {
	var r LinkResult
	for range b.N {
		r = SimulateLink(DefaultLinkOptions(seed))
	}
	b.ReportMetric(r.PeakBudgetShare, "peak/budget")
	b.ReportMetric(float64(r.ContinuationBytes), "recovery-bytes")
	b.ReportMetric(float64(r.NewBytes), "new-bytes")
	b.ReportMetric(r.LastContinuationAt.Seconds(), "last-continued-s")
}
