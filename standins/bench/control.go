package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/harness"
)

// tickets measures the time from the submission of a ticket until every instance
// reports it as accepted.
func (r *runner) tickets(ctx context.Context) error {
	const instances = 3
	return withFleet(ctx, instances, 2, nil, func(f *harness.Fleet, _ *harness.Caller) error {
		latency := newHistogram()
		for n := range r.ticketCount {
			ticket := f.NextTicket()
			start := time.Now()
			status, body, err := f.PutTicket(ctx, fmt.Sprintf("instance-%d", 1+n%instances), ticket)
			if err != nil || status >= 300 {
				return fmt.Errorf("ticket %d: status %d: %s: %w", ticket.Number, status, body, err)
			}
			if err := f.WaitTicketAccepted(ctx, ticket.Number); err != nil {
				return err
			}
			latency.add(time.Since(start))
		}
		r.results = append(r.results, latency.percentile("ticket_in_force_p99_ms", "3 instances", 99))
		return nil
	})
}

// control measures the network traffic, the CPU time and the memory of an idle
// instance for several fleet sizes.
func (r *runner) control(ctx context.Context) error {
	for _, instances := range r.fleetSizes {
		err := withFleet(ctx, instances, 2, nil, func(f *harness.Fleet, _ *harness.Caller) error {
			return r.measureIdle(ctx, f, instances)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) measureIdle(ctx context.Context, f *harness.Fleet, instances int) error {
	// settleTime leaves out the traffic of the start, which isn't part of the steady
	// state.
	const settleTime = 2 * time.Second
	time.Sleep(settleTime)
	before, err := f.Usage(ctx)
	if err != nil {
		return err
	}
	time.Sleep(r.idleDuration)
	after, err := f.Usage(ctx)
	if err != nil {
		return err
	}
	instanceSeconds := after.At.Sub(before.At).Seconds() * float64(instances)
	variant := fmt.Sprintf("%d nodes", instances)
	r.add("control_bytes_per_s", variant, "bytes/s", float64(after.ControlBytes-before.ControlBytes)/instanceSeconds, instances)
	r.add("control_cpu_share", variant, "cores", (after.CPU-before.CPU).Seconds()/instanceSeconds, instances)
	r.add("control_rss_mb", variant, "MB", float64(after.RSSBytes)/float64(instances)/1e6, instances)
	return nil
}
