package fleetsim

import (
	"os"
	"testing"
)

// TestMeasureTrial prints the report of one case for a trial.
func TestMeasureTrial(t *testing.T) {
	if os.Getenv("TRIAL") == "" {
		t.Skip("set TRIAL")
	}
	for _, n := range []int{8, 64, 330} {
		for _, f := range Faults() {
			r, err := MeasureTickets(TicketOptions{Instances: n, Fault: f, Tickets: 20, Engines: 200, Accounts: 100, Seed: 1})
			t.Log(r, err)
		}
	}
}
