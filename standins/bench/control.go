package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/harness"
)

// tickets measures the time from the submission of a ticket until every instance
// reports it as active.
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
		r.results = append(r.results, latency.quantile("ticket_in_force_p99_ms", "3 instances", 99))
		return nil
	})
}

// control measures the network traffic, processor time and memory of idle
// instances.
func (r *runner) control(ctx context.Context) error {
	for _, nodes := range r.fleetSizes {
		err := withFleet(ctx, nodes, 2, nil, func(f *harness.Fleet, _ *harness.Caller) error {
			return r.measureIdle(ctx, f, nodes)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) measureIdle(ctx context.Context, f *harness.Fleet, nodes int) error {
	// Leaves out the traffic of the start, which isn't part of the steady state.
	time.Sleep(2 * time.Second)
	before, err := f.Usage(ctx)
	if err != nil {
		return err
	}
	time.Sleep(r.idleDuration)
	after, err := f.Usage(ctx)
	if err != nil {
		return err
	}
	seconds := after.At.Sub(before.At).Seconds() * float64(nodes)
	variant := fmt.Sprintf("%d nodes", nodes)
	r.add("control_bytes_per_s", variant, "bytes/s", float64(after.ControlBytes-before.ControlBytes)/seconds, nodes)
	r.add("control_cpu_share", variant, "cores", (after.CPU-before.CPU).Seconds()/seconds, nodes)
	r.add("control_rss_mb", variant, "MB", float64(after.RSSBytes)/float64(nodes)/1e6, nodes)
	return nil
}
