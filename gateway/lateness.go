package gateway

import (
	"context"
	"time"

	"github.com/hibiscusstair/hibiscusstair/bootclock"
)

const (
	// latenessInterval is the interval of the timer whose lateness is measured.
	latenessInterval = 100 * time.Millisecond
	// reportedLateness is the lateness from which a line is logged. The shortest
	// timers of requests and of calls to other instances are a few times longer.
	reportedLateness = 150 * time.Millisecond
	// latenessReportPause is the minimum time between two lines.
	latenessReportPause = time.Second
)

// measureLateness reports how late a timer fires. A process that waits for its
// processor is late; one that waits for its link is not.
func (g *Gateway) measureLateness(ctx context.Context) error {
	lateness := g.o.Metrics.Scope.Gauge("timer_lateness_seconds")
	timer := time.NewTimer(latenessInterval)
	defer timer.Stop()
	var reportedAt, highest time.Duration
	due := bootclock.Now() + latenessInterval
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		now := bootclock.Now()
		late := max(0, now-due)
		lateness.Update(late.Seconds())
		highest = max(highest, late)
		if highest >= reportedLateness && now-reportedAt >= latenessReportPause {
			g.o.Log.Warn("timers fired late", "late_ms", highest.Milliseconds())
			reportedAt, highest = now, 0
		}
		due = now + latenessInterval
		timer.Reset(latenessInterval)
	}
}
