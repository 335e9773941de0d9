package fleet

import (
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/telemetry"
)

type metrics struct {
	scope               tally.Scope
	exchanges           tally.Counter
	exchangeBytes       tally.Counter
	probes              tally.Counter
	expelled            tally.Counter
	duplicateIDs        tally.Counter
	incarnationRestarts tally.Counter
	failures            *telemetry.ReasonCounters
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:               scope,
		exchanges:           scope.Counter("exchanges"),
		exchangeBytes:       scope.Counter("exchange_bytes"),
		probes:              scope.Counter("probes"),
		expelled:            scope.Counter("expelled"),
		duplicateIDs:        scope.Counter("duplicates"),
		incarnationRestarts: scope.Counter("resets"),
		failures:            telemetry.NewReasonCounters(scope, "failures"),
	}
}

// updateMembers sets the gauges of the number of members by state.
func (m *metrics) updateMembers(members []api.Member) {
	counts := make(map[api.MemberState]int)
	for _, member := range members {
		counts[member.State]++
	}
	for state := api.MemberAlive; state <= api.MemberExpelled; state++ {
		m.scope.Tagged(map[string]string{"state": state.String()}).Gauge("members").Update(float64(counts[state]))
	}
}

// countChange counts a change of a member's state.
func (m *metrics) countChange(c MemberChanged) {
	m.scope.Tagged(map[string]string{"state": c.Member.State.String()}).Counter("changes").Inc(1)
}
