package rollout

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// reportLifetime is how long a report says what runs now. Instances report every
	// ReportInterval.
	reportLifetime = 1500 * time.Millisecond
	// maxReporters bounds the reports that are kept for a service.
	maxReporters = 4096
)

// reporter identifies one run of an instance.
type reporter struct {
	instance    api.InstanceID
	incarnation uint64
}

// received is the last report of one run of an instance. Its counts replace those of
// the report before, so that a report that arrives twice counts once.
type received struct {
	at     time.Duration
	counts []RouteCounts
}

// reports holds the reports about a service.
type reports struct {
	last map[reporter]received
	// before holds what was counted for the new version before the order, if a former
	// order had the same version.
	before map[reporter][]RouteCounts
}

func newReports() reports {
	return reports{last: make(map[reporter]received), before: make(map[reporter][]RouteCounts)}
}

// add stores a report. It reports whether the report was accepted.
func (r *reports) add(now time.Duration, report Report) bool {
	key := reporter{instance: report.Instance, incarnation: report.Incarnation}
	if _, known := r.last[key]; !known && len(r.last) >= maxReporters {
		return false
	}
	r.last[key] = received{at: now, counts: report.Counts}
	return true
}

// restart begins an order: what was counted before it no longer counts.
func (r *reports) restart() {
	r.before = make(map[reporter][]RouteCounts, len(r.last))
	for key, report := range r.last {
		r.before[key] = report.counts
	}
}

// lost reports whether an instance that reported no longer does. It may be cut off and
// have requests running.
func (r *reports) lost(now time.Duration) bool {
	latest := make(map[api.InstanceID]time.Duration, len(r.last))
	for key, report := range r.last {
		latest[key.instance] = max(latest[key.instance], report.at)
	}
	for _, at := range latest {
		if now-at > reportLifetime {
			return true
		}
	}
	return false
}

// expire removes the reports of instances that no longer report, which count only while a
// rollout is running.
func (r *reports) expire(now time.Duration) {
	for key, report := range r.last {
		if now-report.at > coordinatingTime {
			delete(r.last, key)
			delete(r.before, key)
		}
	}
}

// totals are the sums of the counts over all instances, for the new version and the
// others.
type totals struct {
	byRoute map[string]pair
	// running and runningNew are the requests that run on the other versions and on the
	// new one, at the instances that report.
	running, runningNew int64
}

// pair holds the counts of the new version and of the others. The fields Route and
// Version are unused.
type pair struct{ old, new RouteCounts }

// allRoutes is the key of the sums over all routes. Routes have a name.
const allRoutes = ""

func (r *reports) totals(now time.Duration, to Version) totals {
	t := totals{byRoute: make(map[string]pair)}
	for key, report := range r.last {
		before := r.before[key]
		for _, c := range report.counts {
			switch {
			case now-report.at > reportLifetime:
			case c.Version == to:
				t.runningNew += c.Running
			default:
				t.running += c.Running
			}
			c = c.since(before)
			for _, route := range []string{allRoutes, c.Route} {
				p := t.byRoute[route]
				if c.Version == to {
					p.new = p.new.plus(c)
				} else {
					p.old = p.old.plus(c)
				}
				t.byRoute[route] = p
				if c.Route == allRoutes {
					break
				}
			}
		}
	}
	return t
}

// since returns the counts without those of an earlier report, unless the instance has
// started to count anew.
func (c RouteCounts) since(before []RouteCounts) RouteCounts {
	for _, b := range before {
		if b.Route == c.Route && b.Version == c.Version && b.Sent <= c.Sent && b.Responses <= c.Responses {
			return c.minus(b)
		}
	}
	return c
}

func (c RouteCounts) plus(other RouteCounts) RouteCounts {
	c.Sent += other.Sent
	c.Responses += other.Responses
	c.Failures += other.Failures
	c.Crashed += other.Crashed
	c.LateGaps += other.LateGaps
	c.Running += other.Running
	for i := range c.Latency {
		c.Latency[i] += other.Latency[i]
	}
	return c
}

// minus returns the growth of the counts. Those that have shrunk, since an instance no
// longer counts them, have not grown.
func (c RouteCounts) minus(other RouteCounts) RouteCounts {
	c.Sent = grown(c.Sent, other.Sent)
	c.Responses = grown(c.Responses, other.Responses)
	c.Failures = grown(c.Failures, other.Failures)
	c.Crashed = grown(c.Crashed, other.Crashed)
	c.LateGaps = grown(c.LateGaps, other.LateGaps)
	for i := range c.Latency {
		c.Latency[i] = grown(c.Latency[i], other.Latency[i])
	}
	return c
}

func grown(now, before uint64) uint64 {
	if now < before {
		return 0
	}
	return now - before
}

// begun is the number of requests in the latency histogram, and slower the number of
// those from a bucket on.
func (c RouteCounts) begun() uint64 { return c.slower(0) }

func (c RouteCounts) slower(bucket int) uint64 {
	sum := uint64(0)
	for _, n := range c.Latency[bucket:] {
		sum += n
	}
	return sum
}
