package limits

import (
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/telemetry"
)

// metrics holds the counters and gauges of the runner.
type metrics struct {
	refusals        *telemetry.ReasonCounters
	admitted        tally.Counter
	retriesAllowed  tally.Counter
	retriesRefused  tally.Counter
	deltasDropped   tally.Counter
	admissions      tally.Gauge
	accounts        tally.Gauge
	shedInteractive tally.Gauge
	shedDraft       tally.Gauge
	retries         tally.Gauge
	contact         tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		refusals:        telemetry.NewReasonCounters(scope, "refusals"),
		admitted:        scope.Counter("admitted"),
		retriesAllowed:  scope.Counter("retries_allowed"),
		retriesRefused:  scope.Counter("retries_refused"),
		deltasDropped:   scope.Counter("deltas_dropped"),
		admissions:      scope.Gauge("admissions"),
		accounts:        scope.Gauge("accounts"),
		shedInteractive: scope.Gauge("shed_interactive"),
		shedDraft:       scope.Gauge("shed_draft"),
		retries:         scope.Gauge("retries_available"),
		contact:         scope.Gauge("in_contact"),
	}
}

func (m *metrics) updateGauges(s Summary) {
	m.admissions.Update(float64(s.Admissions))
	m.accounts.Update(float64(s.Accounts))
	m.shedInteractive.Update(s.ShedInteractive)
	m.shedDraft.Update(s.ShedDraft)
	m.retries.Update(s.RetriesAvailable)
	contact := 0.0
	if s.InContact {
		contact = 1
	}
	m.contact.Update(contact)
}
