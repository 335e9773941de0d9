package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// recentWindow is the period of which the rates of the old version are also
	// considered. A crash of a failure domain or a burst hits both versions.
	recentWindow = 5 * time.Second
	// maxSlowRate is the rate of slow responses that the old version has at most, by
	// the bound that separates slow responses from others.
	maxSlowRate = 0.15
	// minControl is the number of responses of the old version from which its
	// latencies say which responses are slow.
	minControl = 20
	// controlShare is the share of the new version up to which latencies are compared.
	// Above it the old version has too little load.
	controlShare = 0.75
	// latencyWeight makes the limits for slow responses and late gaps stricter: they
	// are frequent, so that a test starts anew every few responses, and come in groups.
	latencyWeight = 0.5
	// manyBad bad responses at a rate above manyRatio times that of the old version
	// revert at once.
	manyBad   = 20
	manyRatio = 3.0
)

// Alternative rates of failures, and of slow responses and late gaps. Endpoints of a
// sound version with somewhat more load than the others can have four times as many
// responses above a bound, so only large rates count.
var (
	failureAlternatives = []float64{0.04, 0.15, 0.5}
	latencyAlternatives = []float64{0.5, 0.8}
)

// finding is evidence against the new version.
type finding struct {
	reason   Reason
	route    string
	score    float64
	old, new Evidence
}

// judge compares the versions of one rollout over time.
type judge struct {
	history []sample // the oldest first, within recentWindow
	scores  map[judgedKey]*score
	buckets map[string]int // of slow responses, by route
}

type judgedKey struct {
	reason Reason
	route  string
}

// sample is what was counted up to a time.
type sample struct {
	at time.Duration
	totals
}

func newJudge() *judge {
	return &judge{scores: make(map[judgedKey]*score), buckets: make(map[string]int)}
}

// observe applies the totals at a time. latency says whether slow responses and late
// gaps are judged now.
func (j *judge) observe(now time.Duration, t totals, latency bool) {
	for len(j.history) > 1 && now-j.history[1].at >= recentWindow {
		j.history = j.history[1:]
	}
	last, first := sample{}, sample{}
	if len(j.history) > 0 {
		last, first = j.history[len(j.history)-1], j.history[0]
	}
	for _, route := range slices.Sorted(maps.Keys(t.byRoute)) {
		p := t.byRoute[route]
		grown := p.new.minus(last.byRoute[route].new)
		recent := p.old.minus(first.byRoute[route].old)
		j.score(ReasonFailures, route).add(failures(grown), worseRate(failures(p.old), failures(recent)), failureAlternatives, 1)
		if !latency {
			continue
		}
		if route == allRoutes {
			j.score(ReasonLateGaps, route).add(lateGaps(grown), worseRate(lateGaps(p.old), lateGaps(recent)), latencyAlternatives, latencyWeight)
			continue
		}
		bucket := slowBucket(p.old)
		if j.buckets[route] != bucket {
			// Evidence about another bound says nothing about this one.
			j.buckets[route] = bucket
			clear(*j.score(ReasonSlow, route))
			clear(*j.score(ReasonSlow, allRoutes))
		}
		slowNew := slowSince(p.new, last.byRoute[route].new, bucket)
		// When the share falls, the responses that become slow belong to more requests than
		// have been sent since.
		slowNew.Responses = max(slowNew.Responses, grown.Responses)
		slowOld := worseRate(slow(p.old, bucket), slowSince(p.old, first.byRoute[route].old, bucket))
		// Routes differ in latency, so that all together are only compared route by route:
		// otherwise a version that happens to get more requests of a slow route is slow.
		for _, key := range []string{route, allRoutes} {
			j.score(ReasonSlow, key).add(slowNew, slowOld, latencyAlternatives, latencyWeight)
		}
		j.score(ReasonLateGaps, route).add(lateGaps(grown), worseRate(lateGaps(p.old), lateGaps(recent)), latencyAlternatives, latencyWeight)
	}
	j.history = append(j.history, sample{at: now, totals: t})
}

func (j *judge) score(reason Reason, route string) *score {
	key := judgedKey{reason: reason, route: route}
	if j.scores[key] == nil {
		j.scores[key] = &score{}
	}
	return j.scores[key]
}

// worst returns the strongest evidence against the new version that has enough
// responses.
func (j *judge) worst() finding {
	var worst finding
	if len(j.history) == 0 {
		return worst
	}
	latest := j.history[len(j.history)-1].totals
	for _, route := range slices.Sorted(maps.Keys(latest.byRoute)) {
		p := latest.byRoute[route]
		for _, reason := range []Reason{ReasonFailures, ReasonSlow, ReasonLateGaps} {
			f := finding{reason: reason, route: route, score: j.score(reason, route).max()}
			f.old, f.new = latest.evidence(reason, route)
			if reason == ReasonFailures {
				f.new.Bad = p.new.Failures
			}
			if f.new.Responses >= minResponses && f.new.Bad >= minBad && f.score > worst.score {
				worst = f
			}
		}
	}
	return worst
}

// cleared reports whether the new version has enough responses without failures that it
// hardly fails clearedRate of them. Streams that still run may fail and count half.
func cleared(p pair) bool {
	bad := float64(p.new.Failures)
	good := max(0, float64(p.new.Responses)-bad-max(0, float64(p.new.Running))/2)
	rate := rateOf(failures(p.old))
	worse := min(max(clearedRate, minRatio*rate), 0.9)
	return bad*math.Log(worse/rate)+good*math.Log((1-worse)/(1-rate)) <= clearing
}

// manyFailures returns a finding if the failures of the recent window alone revert the
// new version.
func (j *judge) manyFailures() (finding, bool) {
	if len(j.history) == 0 {
		return finding{}, false
	}
	first, latest := j.history[0], j.history[len(j.history)-1]
	for _, route := range slices.Sorted(maps.Keys(latest.byRoute)) {
		p := latest.byRoute[route]
		recent := failures(p.new.minus(first.byRoute[route].new))
		old := failures(p.old)
		rate := worseRate(old, failures(p.old.minus(first.byRoute[route].old)))
		if recent.Bad >= manyBad && float64(recent.Bad) > manyRatio*rate*float64(recent.Responses) {
			return finding{reason: ReasonFailures, route: route, score: maxScore, old: old, new: recent}, true
		}
	}
	return finding{}, false
}

// evidence returns the counts that a finding is about.
func (t totals) evidence(reason Reason, route string) (old, new Evidence) {
	p := t.byRoute[route]
	switch {
	case reason == ReasonFailures:
		return failures(p.old), failures(p.new)
	case reason == ReasonLateGaps:
		return lateGaps(p.old), lateGaps(p.new)
	}
	for name, p := range t.byRoute {
		if name != allRoutes && (name == route || route == allRoutes) {
			bucket := slowBucket(p.old)
			old, new = old.plus(slow(p.old, bucket)), new.plus(slow(p.new, bucket))
		}
	}
	return old, new
}

func (e Evidence) plus(other Evidence) Evidence {
	return Evidence{Responses: e.Responses + other.Responses, Bad: e.Bad + other.Bad}
}

// failures leaves out as many failures as there were crashed requests: when a failure
// domain crashes, some instances learn too late that others of its endpoints crashed too.
func failures(c RouteCounts) Evidence {
	return Evidence{Responses: c.Responses, Bad: grown(c.Failures, c.Crashed)}
}

func slow(c RouteCounts, bucket int) Evidence {
	return Evidence{Responses: c.begun(), Bad: c.slower(bucket)}
}

// slowSince returns the growth of what slow returns. A request that waits moves from
// bucket to bucket, so the sums are compared.
func slowSince(c, before RouteCounts, bucket int) Evidence {
	return Evidence{Responses: grown(c.begun(), before.begun()), Bad: grown(c.slower(bucket), before.slower(bucket))}
}

func lateGaps(c RouteCounts) Evidence {
	return Evidence{Responses: c.Responses, Bad: c.LateGaps}
}

// slowBucket returns the first bucket of slow responses: the lowest from which on the
// old version has at most maxSlowRate of its responses.
func slowBucket(old RouteCounts) int {
	if old.begun() < minControl {
		return latencyBuckets - 1
	}
	for bucket := 1; bucket < latencyBuckets; bucket++ {
		if float64(old.slower(bucket)) <= maxSlowRate*float64(old.begun()) {
			return bucket
		}
	}
	return latencyBuckets - 1
}

// worseRate returns the higher rate of two periods.
func worseRate(all, recent Evidence) float64 {
	rate := rateOf(all)
	// Few responses give no rate of their own.
	if recent.Responses >= minResponses {
		rate = max(rate, rateOf(recent))
	}
	return rate
}
