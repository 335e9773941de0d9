package order

import (
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/telemetry"
)

type metrics struct {
	reasons             *telemetry.ReasonCounters
	claimsWritten       map[State]tally.Counter
	sends               map[SendResult]tally.Counter
	outcomesNotRecorded tally.Counter
	claimsSwept         tally.Counter
	lookupFailures      tally.Counter // failed attempts of lookups, also those without a retry
}

var sendResultLabels = map[SendResult]string{
	SendSkipped:  "skipped",
	SendRefused:  "refused",
	SendRejected: "rejected",
	SendBooked:   "booked",
	SendUnknown:  "unknown",
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		reasons:             telemetry.NewReasonCounters(scope, "refusals"),
		claimsWritten:       make(map[State]tally.Counter),
		sends:               make(map[SendResult]tally.Counter),
		outcomesNotRecorded: scope.Counter("outcomes_not_recorded"),
		claimsSwept:         scope.Counter("claims_swept"),
		lookupFailures:      scope.Counter("lookup_retries"),
	}
	// Only updates are counted, so that StateClaimed is missing.
	for _, s := range []State{StateResolving, StateDone, StateRejected, StateNotRun, StateUnknown} {
		m.claimsWritten[s] = scope.Tagged(map[string]string{"state": string(s)}).Counter("claims_written")
	}
	for result, name := range sendResultLabels {
		m.sends[result] = scope.Tagged(map[string]string{"result": name}).Counter("sends")
	}
	return m
}

func (m *metrics) countClaimWritten(s State) {
	if counter, ok := m.claimsWritten[s]; ok {
		counter.Inc(1)
	}
}

func (m *metrics) countSend(r SendResult) { m.sends[r].Inc(1) }

func (m *metrics) countRefusal(err error) { m.reasons.Inc(reason.From(err).Reason) }
