package fleetsim

import (
	"fmt"
	"testing"
	"time"
)

const (
	// benchSeed is fixed so that reports are reproducible.
	benchSeed    = 20261204
	benchTickets = 20 // tickets per measurement
)

// BenchmarkTickets reports the time until a ticket is accepted and the resource use
// of the control plane, by number of instances and fault. Each iteration is a whole
// measurement; run it with -benchtime=1x.
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

// BenchmarkTicketsFullConfiguration reports the memory and CPU use of an instance
// with the number of engines and client accounts of the design target.
func BenchmarkTicketsFullConfiguration(b *testing.B) {
	benchmarkTickets(b, TicketOptions{
		Instances: 8, Fault: FaultNone, Tickets: benchTickets,
		Engines: 840, Accounts: 13000, Seed: benchSeed,
	})
}

// benchmarkTickets reports the results of the last iteration. With a fixed seed only
// the memory and the CPU share differ between iterations.
func benchmarkTickets(b *testing.B, o TicketOptions) {
	var report TicketReport
	for range b.N {
		var err error
		if report, err = MeasureTickets(o); err != nil {
			b.Fatal(err)
		}
	}
	milliseconds := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	b.ReportMetric(milliseconds(report.InForceP50), "in_force_p50_ms")
	b.ReportMetric(milliseconds(report.InForceP99), "in_force_p99_ms")
	b.ReportMetric(milliseconds(report.InForceMax), "in_force_max_ms")
	b.ReportMetric(milliseconds(report.RestrictP99), "restrict_p99_ms")
	b.ReportMetric(float64(report.NotInForce), "missed")
	b.ReportMetric(report.StoreCallsPerSecond, "store_calls/s")
	b.ReportMetric(report.StoreCallsPerTicket, "store_calls/ticket")
	b.ReportMetric(report.IdleBytesPerSecond, "idle_B/s")
	b.ReportMetric(report.MaxIdleBytesPerSecond, "idle_max_B/s")
	b.ReportMetric(report.BytesPerTicket, "B/ticket")
	b.ReportMetric(100*report.CPUShare, "core_%")
	b.ReportMetric(report.MemoryBytesPerInstance/1024, "KiB/instance")
}
