package placement

import (
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/telemetry"
)

// metrics counts what the runner does.
type metrics struct {
	refusals    *telemetry.ReasonCounters
	grants      tally.Counter
	crossRegion tally.Counter
	linkBytes   tally.Counter
	recoveries  tally.Counter
	probes      tally.Counter
	polls       tally.Counter
	pollFailed  tally.Counter
	pollSkipped tally.Counter
	dropped     tally.Counter
	waiting     tally.Gauge
	unusable    tally.Gauge
	linkLevel   tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		refusals:    telemetry.NewReasonCounters(scope, "refusals"),
		grants:      scope.Counter("grants"),
		crossRegion: scope.Counter("cross_region_grants"),
		linkBytes:   scope.Counter("link_bytes"),
		recoveries:  scope.Counter("recovery_grants"),
		probes:      scope.Counter("probes"),
		polls:       scope.Counter("polls"),
		pollFailed:  scope.Counter("poll_failures"),
		pollSkipped: scope.Counter("polls_skipped"),
		dropped:     scope.Counter("progress_dropped"),
		waiting:     scope.Gauge("waiting"),
		unusable:    scope.Gauge("unusable_endpoints"),
		linkLevel:   scope.Gauge("link_bytes_available"),
	}
}

func (m *metrics) granted(grant api.Grant, request api.PlacementRequest) {
	m.grants.Inc(1)
	if grant.CrossRegion {
		m.crossRegion.Inc(1)
		m.linkBytes.Inc(int64(request.Bytes))
	}
	if request.Recovery {
		m.recoveries.Inc(1)
	}
}

func (m *metrics) state(s Summary) {
	m.waiting.Update(float64(s.WaitingRequests))
	m.unusable.Update(float64(s.UnusableEndpoints))
	m.linkLevel.Update(s.LinkBytesAvailable)
}
