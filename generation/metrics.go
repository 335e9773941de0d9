package generation

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/telemetry"
)

type metrics struct {
	reasons           *telemetry.ReasonCounters
	liveGenerations   tally.Gauge
	resumes           tally.Counter
	recomputedTokens  tally.Counter
	deliveredTokens   tally.Counter
	resumeLatency     tally.Histogram
	firstTokenLatency tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		reasons:           telemetry.NewReasonCounters(scope, "reasons"),
		liveGenerations:   scope.Gauge("live"),
		resumes:           scope.Counter("resumes"),
		recomputedTokens:  scope.Counter("recomputed_tokens"),
		deliveredTokens:   scope.Counter("delivered_tokens"),
		resumeLatency:     scope.Histogram("resume_latency", tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.5, 20)),
		firstTokenLatency: scope.Histogram("first_token", tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.5, 24)),
	}
}

func (m *metrics) countReason(action RecordStep) {
	if action.Reason != "" {
		m.reasons.Inc(action.Reason)
	}
}

func (m *metrics) countError(err *reason.Error) { m.reasons.Inc(err.Reason) }

func (m *metrics) recordResume(action RecordResume) {
	m.resumes.Inc(1)
	m.recomputedTokens.Inc(int64(action.Recomputed))
	m.resumeLatency.RecordDuration(action.Latency)
}
