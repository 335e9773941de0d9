package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscusstair/hibiscusstair/fleetsim"
	"github.com/hibiscusstair/hibiscusstair/internal/servingmodel"
	"github.com/hibiscusstair/hibiscusstair/order/orderbench"
)

// modelSeed makes the results of the models reproducible.
const modelSeed = 20261204

// fleetModel simulates many instances in one process with the cores of the fleet
// and ticket packages, also for fleet sizes that one machine can't run as
// processes.
func (r *runner) fleetModel(ctx context.Context) error {
	for i, instances := range r.modelFleetSizes {
		for _, fault := range fleetsim.Faults() {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			// Faults are measured at the largest size only, because all of them
			// together take minutes.
			largest := i == len(r.modelFleetSizes)-1
			if fault != fleetsim.FaultNone && (r.modelWithoutFaults || !largest) {
				continue
			}
			report, err := fleetsim.MeasureTickets(fleetsim.TicketOptions{
				Instances: instances, Fault: fault, Tickets: r.modelTickets,
				Engines: r.modelEngines, Accounts: r.modelAccounts, Seed: modelSeed,
			})
			if err != nil {
				return err
			}
			r.addFleetModel(report)
		}
	}
	return nil
}

func (r *runner) addFleetModel(report fleetsim.TicketReport) {
	variant := fmt.Sprintf("%d nodes (model), fault %s", report.Instances, report.Fault)
	n := report.Tickets * report.Instances
	r.add("ticket_in_force_p50_ms", variant, "ms", milliseconds(report.InForceP50), n)
	r.add("ticket_in_force_p99_ms", variant, "ms", milliseconds(report.InForceP99), n)
	r.add("ticket_in_force_max_ms", variant, "ms", milliseconds(report.InForceMax), n)
	r.add("ticket_restrict_max_ms", variant, "ms", milliseconds(report.RestrictMax), n)
	r.add("ticket_missed", variant, "count", float64(report.NotInForce), n)
	r.add("ticket_store_calls", variant, "calls/ticket", report.StoreCallsPerTicket, report.Tickets)
	if report.Fault != fleetsim.FaultNone {
		return
	}
	variant = fmt.Sprintf("%d nodes (model)", report.Instances)
	r.add("control_bytes_per_s", variant, "bytes/s", report.IdleBytesPerSecond, report.Instances)
	r.add("control_cpu_share", variant, "cores", report.CPUShare, report.Instances)
	r.add("control_state_mb", variant, "MB", report.MemoryBytesPerInstance/1e6, report.Instances)
	r.add("control_store_calls_per_s", variant, "calls/s", report.StoreCallsPerSecond, report.Instances)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// servingModels simulates serving with the cores of the placement and limits
// packages and a simulated clock.
func (r *runner) servingModels(context.Context) error {
	for _, loadFactor := range r.loadFactors {
		for _, protected := range []bool{true, false} {
			r.addOverloadModel(loadFactor, protected)
		}
	}
	for _, instances := range r.rateShareFleetSizes {
		for _, skew := range servingmodel.Skews {
			result := servingmodel.SimulateRateShares(servingmodel.DefaultRateShareOptions(instances, skew, modelSeed))
			variant := fmt.Sprintf("%d nodes (model), demand %s", instances, skew)
			r.add("account_rate_error", variant, "share", result.RateError, instances)
			r.add("account_rate_error_highest_10s", variant, "share", result.HighestError, instances)
		}
	}
	for _, affinity := range []bool{true, false} {
		result := servingmodel.SimulateAffinity(servingmodel.DefaultAffinityOptions(affinity, modelSeed))
		r.add("prefix_hit_share", fmt.Sprintf("affinity %t (model)", affinity), "share", result.HitShare, 1)
	}
	// The peak is the highest use of the link budget in any 10 s.
	link := servingmodel.SimulateLink(servingmodel.DefaultLinkOptions(modelSeed))
	r.add("link_peak_share", "recovery (model)", "share", link.PeakBudgetShare, link.StartedContinuations)
	return nil
}

func (r *runner) addOverloadModel(loadFactor float64, protected bool) {
	result := servingmodel.SimulateOverload(servingmodel.DefaultOverloadOptions(loadFactor, protected, modelSeed))
	name := "goodput_share"
	if loadFactor == 4 {
		name = "goodput_share_at_4x"
	}
	variant := fmt.Sprintf("%gx (model), shedding and retry budget %t", loadFactor, protected)
	r.add(name, variant, "share", result.GoodputShare, result.OfferedRequests)
	r.add("attempts_per_request", variant, "attempts", float64(result.Attempts)/float64(result.OfferedRequests), result.OfferedRequests)
}

// claimWriters compares the two methods to write claims, one object per claim and
// batches, with an in-memory store. The quick benchmark runs each method with one
// combination of options, so that it has the same result names as the full
// benchmark.
func (r *runner) claimWriters(ctx context.Context) error {
	if r.allClaimOptions {
		return orderbench.RunAll(ctx, r.claimDuration, r.addClaims)
	}
	for _, batch := range []bool{false, true} {
		result, err := orderbench.Run(ctx, orderbench.Options{
			BatchClaims: batch, BatchClaimShards: 4, Instances: 1, Callers: 8, StoreLatency: 2 * time.Millisecond, Duration: r.claimDuration,
		})
		if err != nil {
			return err
		}
		r.addClaims(result)
	}
	return nil
}

func (r *runner) addClaims(result orderbench.Result) {
	writeMethod := "one object per claim"
	if result.BatchClaims {
		writeMethod = fmt.Sprintf("claims gathered in %d shards", result.BatchClaimShards)
	}
	variant := fmt.Sprintf("%s, %d callers, %d instances, store %s", writeMethod, result.Callers, result.Instances, result.StoreLatency)
	orders := int(result.Orders)
	r.add("orders_per_second", variant, "orders/s", result.OrdersPerSecond, orders)
	r.add("order_p99_ms", variant, "ms", milliseconds(result.LatencyP99), orders)
	r.add("order_store_calls", variant, "calls/order", result.StoreCallsPerOrder, orders)
}
