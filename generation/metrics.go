package generation

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/telemetry"
)

type metrics struct {
	reasons    *telemetry.ReasonCounters
	live       tally.Gauge
	resumes    tally.Counter
	recomputed tally.Counter
	delivered  tally.Counter
	latency    tally.Histogram
	firstToken tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		reasons:    telemetry.NewReasonCounters(scope, "reasons"),
		live:       scope.Gauge("live"),
		resumes:    scope.Counter("resumes"),
		recomputed: scope.Counter("recomputed_tokens"),
		delivered:  scope.Counter("delivered_tokens"),
		latency:    scope.Histogram("resume_latency", tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.5, 20)),
		firstToken: scope.Histogram("first_token", tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.5, 24)),
	}
}

func (m *metrics) note(n Note) {
	if n.Reason != "" {
		m.reasons.Inc(n.Reason)
	}
}

func (m *metrics) refused(err *reason.Error) { m.reasons.Inc(err.Reason) }

func (m *metrics) resumed(a Resumed) {
	m.resumes.Inc(1)
	m.recomputed.Inc(int64(a.Recomputed))
	m.latency.RecordDuration(a.Latency)
}
