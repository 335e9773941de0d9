package order

import (
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/telemetry"
)

type metrics struct {
	reasons  *telemetry.ReasonCounters
	outcomes map[State]tally.Counter
	sends    map[SendResult]tally.Counter
	gaveUp   tally.Counter
	swept    tally.Counter
	retries  tally.Counter
}

var sendNames = map[SendResult]string{
	SendSkipped:  "skipped",
	SendRefused:  "refused",
	SendRejected: "rejected",
	SendBooked:   "booked",
	SendUnknown:  "unknown",
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		reasons:  telemetry.NewReasonCounters(scope, "refusals"),
		outcomes: make(map[State]tally.Counter),
		sends:    make(map[SendResult]tally.Counter),
		gaveUp:   scope.Counter("outcomes_not_recorded"),
		swept:    scope.Counter("claims_swept"),
		retries:  scope.Counter("lookup_retries"),
	}
	for _, s := range []State{StateResolving, StateDone, StateRejected, StateNotRun, StateUnknown} {
		m.outcomes[s] = scope.Tagged(map[string]string{"state": string(s)}).Counter("claims_written")
	}
	for result, name := range sendNames {
		m.sends[result] = scope.Tagged(map[string]string{"result": name}).Counter("sends")
	}
	return m
}

func (m *metrics) outcome(s State) {
	if counter, ok := m.outcomes[s]; ok {
		counter.Inc(1)
	}
}

func (m *metrics) send(r SendResult) { m.sends[r].Inc(1) }

func (m *metrics) refused(err error) { m.reasons.Inc(reason.From(err).Reason) }
