package placement

import (
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/telemetry"
)

// metrics holds the counters and gauges of the runner.
type metrics struct {
	refusals           *telemetry.ReasonCounters
	grants             tally.Counter
	crossRegionGrants  tally.Counter
	linkBytes          tally.Counter
	recoveryGrants     tally.Counter
	probes             tally.Counter
	polls              tally.Counter
	pollFailures       tally.Counter
	skippedPolls       tally.Counter
	droppedEvents      tally.Counter
	waitingRequests    tally.Gauge
	unusableEndpoints  tally.Gauge
	linkBytesAvailable tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		refusals:           telemetry.NewReasonCounters(scope, "refusals"),
		grants:             scope.Counter("grants"),
		crossRegionGrants:  scope.Counter("cross_region_grants"),
		linkBytes:          scope.Counter("link_bytes"),
		recoveryGrants:     scope.Counter("recovery_grants"),
		probes:             scope.Counter("probes"),
		polls:              scope.Counter("polls"),
		pollFailures:       scope.Counter("poll_failures"),
		skippedPolls:       scope.Counter("polls_skipped"),
		droppedEvents:      scope.Counter("progress_dropped"),
		waitingRequests:    scope.Gauge("waiting"),
		unusableEndpoints:  scope.Gauge("unusable_endpoints"),
		linkBytesAvailable: scope.Gauge("link_bytes_available"),
	}
}

func (m *metrics) countGrant(grant api.Grant, request api.PlacementRequest) {
	m.grants.Inc(1)
	if grant.CrossRegion {
		m.crossRegionGrants.Inc(1)
		m.linkBytes.Inc(int64(request.LinkBytes))
	}
	if request.Recovery {
		m.recoveryGrants.Inc(1)
	}
}

func (m *metrics) updateGauges(s Summary) {
	m.waitingRequests.Update(float64(s.WaitingRequests))
	m.unusableEndpoints.Update(float64(s.UnusableEndpoints))
	m.linkBytesAvailable.Update(s.LinkBytesAvailable)
}
