package fleetsim

import (
	"fmt"
	"testing"
	"time"
)

const (
	// benchSeed makes a report repeatable.
	benchSeed    = 20261204
	benchTickets = 20
)

// BenchmarkTickets reports the time until a ticket is in force and the cost of
// the control plane, by the number of instances and the fault. Each iteration
// is a whole measurement; run it with -benchtime=1x.
func BenchmarkTickets(b *testing.B) {
	for _, instances := range []int{8, 64, 330} {
		for _, fault := range Faults() {
			b.Run(fmt.Sprintf("instances=%d/fault=%s", instances, fault), func(b *testing.B) {
				benchmarkTickets(b, TicketOptions{
					Instances: instances, Fault: fault, Tickets: benchTickets,
					Engines: 200, Accounts: 100, Seed: benchSeed,
				})
			})
		}
	}
}

// BenchmarkTicketsFullConfiguration reports the memory and the core share of an
// instance with the engines and accounts of the design target.
func BenchmarkTicketsFullConfiguration(b *testing.B) {
	benchmarkTickets(b, TicketOptions{
		Instances: 8, Fault: FaultNone, Tickets: benchTickets,
		Engines: 840, Accounts: 13000, Seed: benchSeed,
	})
}

// benchmarkTickets reports the last iteration's figures; with a fixed seed only
// the memory and the core share differ between iterations.
func benchmarkTickets(b *testing.B, o TicketOptions) {
	var r TicketReport
	for range b.N {
		var err error
		if r, err = MeasureTickets(o); err != nil {
			b.Fatal(err)
		}
	}
	milliseconds := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	b.ReportMetric(milliseconds(r.InForceP50), "in_force_p50_ms")
	b.ReportMetric(milliseconds(r.InForceP99), "in_force_p99_ms")
	b.ReportMetric(milliseconds(r.InForceMax), "in_force_max_ms")
	b.ReportMetric(milliseconds(r.RestrictP99), "restrict_p99_ms")
	b.ReportMetric(float64(r.NotInForce), "missed")
	b.ReportMetric(r.StoreCallsPerSecond, "store_calls/s")
	b.ReportMetric(r.StoreCallsPerTicket, "store_calls/ticket")
	b.ReportMetric(r.IdleBytesPerSecond, "idle_B/s")
	b.ReportMetric(r.MaxIdleBytesPerSecond, "idle_max_B/s")
	b.ReportMetric(r.BytesPerTicket, "B/ticket")
	b.ReportMetric(100*r.CPUShare, "core_%")
	b.ReportMetric(r.MemoryBytesPerInstance/1024, "KiB/instance")
}
