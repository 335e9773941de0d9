// Package telemetry provides the logger and the metrics scope of a process, and a
// log writer that never blocks requests.
package telemetry

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"github.com/hibiscusstair/hibiscusstair/reason"
)

// reportInterval is how often the scope passes its counts to the Prometheus
// registry.
const reportInterval = time.Second

// NewLogger returns a logger that writes JSON lines.
func NewLogger(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}

// formatDroppedNotice returns the log line that says how many lines were dropped.
func formatDroppedNotice(n int64) []byte {
	var line bytes.Buffer
	NewLogger(&line, slog.LevelInfo).Warn("log lines dropped", "lines", n)
	return line.Bytes()
}

// Metrics is the metrics scope of the process and the handler that Prometheus
// scrapes.
type Metrics struct {
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics whose names start with "hibiscusstair_".
func NewMetrics() *Metrics {
	registry := prom.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "hibiscusstair",
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		Scope:   scope,
		handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		closer:  closer,
	}
}

// Handler returns the handler that serves the metrics in the Prometheus format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close passes the last counts to the registry and stops the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// ReasonCounters counts events by reason.
type ReasonCounters struct {
	counters map[reason.Reason]tally.Counter
}

// NewReasonCounters creates a counter with the given name for each reason, with the
// reason as its label. Every counter is exported from the start, with the value 0.
func NewReasonCounters(scope tally.Scope, name string) *ReasonCounters {
	c := &ReasonCounters{counters: make(map[reason.Reason]tally.Counter)}
	for _, r := range reason.All() {
		c.counters[r] = scope.Tagged(map[string]string{"reason": string(r)}).Counter(name)
		c.counters[r].Inc(0)
	}
	return c
}

// Inc counts one event with the reason; an unknown reason counts as Internal.
func (c *ReasonCounters) Inc(r reason.Reason) {
	counter, ok := c.counters[r]
	if !ok {
		counter = c.counters[reason.Internal]
	}
	counter.Inc(1)
}
