package rollout

import (
	"math"
	"time"
)

// writeRetryInterval is the time after a failed write of a status until it is tried
// again.
const writeRetryInterval = 300 * time.Millisecond

// rollout is what a coordinator knows of one service.
type rollout struct {
	options    CoreOptions
	service    string
	reports    reports
	judge      *judge
	engines    map[Version]int
	reportedAt time.Duration

	ordered bool
	order   Order // as last read, with the status in the store
	// status is the status that the coordinator has decided.
	status    Status
	startedAt time.Duration // of the rollout, by the boot clock; may be negative
	unixAhead int64         // Unix milliseconds at the zero of the boot clock
	steppedAt time.Duration // when the share last changed
	// joinedAt is when this coordinator got the order.
	joinedAt time.Duration
	// observedAt is when the reports were last compared.
	observedAt time.Duration
	latest     totals
	seen       rate
	writing    bool
	failedAt   time.Duration
	// suspected says that there is weak evidence against the version. It gets few
	// requests until the evidence is strong or gone.
	suspected bool
	// unconfirmed says that the version was let pass with few responses, for which the
	// store has to accept the status first. A coordinator that is cut off has few
	// responses of any version.
	unconfirmed bool
}

// rate estimates the requests per second of a service.
type rate struct {
	perSecond float64
	sent      uint64
	at        time.Duration
	known     bool
}

// rateWindow is the time over which the rate is averaged.
const rateWindow = 2 * time.Second

// update applies the number of requests that were sent until a time.
func (r *rate) update(now time.Duration, sent uint64) {
	if r.known && now > r.at {
		elapsed := (now - r.at).Seconds()
		weight := 1 - math.Exp(-elapsed/rateWindow.Seconds())
		if r.perSecond == 0 {
			weight = 1 // the first interval
		}
		r.perSecond += weight * (float64(grown(sent, r.sent))/elapsed - r.perSecond)
	}
	r.sent, r.at, r.known = sent, now, true
}

func (r *rollout) unixMS(at time.Duration) int64 { return r.unixAhead + at.Milliseconds() }

func (r *rollout) bootTime(unixMS int64) time.Duration {
	return time.Duration(unixMS-r.unixAhead) * time.Millisecond
}

// orderRead applies an order as it is in the store. An order for the same version whose
// final status is gone was written anew, unless the store lost the status.
func (r *rollout) orderRead(now time.Duration, ev OrderRead) []Action {
	o := ev.Order
	if r.ordered && o.Revision < r.order.Revision && !ev.Restored {
		return nil
	}
	r.unixAhead = ev.UnixMS - now.Milliseconds()
	// A status about another version is left from an order before.
	if o.Status.To != o.To {
		o.Status = Status{}
	}
	again := r.order.Status.State.Final() && o.Status.State == "" && !ev.Restored
	isNew := !r.ordered || r.order.To != o.To || again
	r.ordered, r.order = true, o
	if isNew {
		return r.begin(now)
	}
	return r.adopt(now)
}

// begin starts with an order that was not known.
func (r *rollout) begin(now time.Duration) []Action {
	r.joinedAt, r.steppedAt = now, now
	r.judge = newJudge()
	r.latest, r.seen, r.observedAt = totals{}, rate{}, now-ReportInterval
	r.writing, r.suspected, r.unconfirmed = false, false, false
	if r.order.Status.State == "" {
		r.reports.restart()
		r.startedAt = now
		r.status = Status{State: StateRunning, To: r.order.To, Phase: PhaseCanary, StartedUnixMS: r.unixMS(now)}
		return append(r.write(now), r.decided(ReasonOrdered, finding{}))
	}
	r.status = r.order.Status
	r.startedAt = r.bootTime(r.status.StartedUnixMS)
	if r.status.StartedUnixMS == 0 {
		r.startedAt = now
		r.status.StartedUnixMS = r.unixMS(now)
	}
	return []Action{r.decided(ReasonAdopted, finding{})}
}

// adopt applies a status that another coordinator may have written: a final one always,
// otherwise the earlier start and the later phase.
func (r *rollout) adopt(now time.Duration) []Action {
	stored := r.order.Status
	if stored.State == "" {
		return r.write(now)
	}
	if stored.StartedUnixMS != 0 && stored.StartedUnixMS < r.status.StartedUnixMS {
		r.status.StartedUnixMS = stored.StartedUnixMS
		r.startedAt = r.bootTime(stored.StartedUnixMS)
	}
	decided := r.status.State == StateReverted && stored.State == StateRunning
	further := stored.State.Final() && stored.State != r.status.State ||
		r.status.State == StateRunning && stored.State == StateRunning && progress(stored) > progress(r.status)
	if decided || !further {
		return r.write(now)
	}
	r.status = stored
	r.steppedAt = now
	return []Action{r.decided(ReasonAdopted, finding{})}
}

// progress orders the statuses of a running rollout.
func progress(s Status) float64 {
	switch s.Phase {
	case PhaseRamp:
		return 1 + s.Share
	case PhaseDrained:
		return 3
	}
	return 0
}

func (r *rollout) removeOrder() {
	r.ordered, r.writing = false, false
	r.order, r.status = Order{}, Status{}
}

// write asks for a write if the status in the store is another one. The share of the
// canary phase changes often and is not written.
func (r *rollout) write(now time.Duration) []Action {
	if r.writing || !r.ordered || r.order.Status.State.Final() || r.failedAt != 0 && now-r.failedAt < writeRetryInterval {
		return nil
	}
	stored := r.order.Status
	if stored.State == r.status.State && progress(stored) >= progress(r.status) {
		return nil
	}
	r.writing = true
	status := r.status
	status.Share = r.share()
	return []Action{WriteStatus{Service: r.service, Revision: r.order.Revision, Status: status}}
}

// tick compares the versions and moves to the next phase.
func (r *rollout) tick(now time.Duration) []Action {
	if !r.ordered || r.status.State != StateRunning {
		r.reports.expire(now)
		return r.write(now)
	}
	// The first comparison needs the reports of all instances.
	if now-r.joinedAt < joinTime {
		return r.write(now)
	}
	if now-r.observedAt >= ReportInterval {
		r.observe(now)
	}
	return append(r.decide(now), r.write(now)...)
}

// observe sums the reports.
func (r *rollout) observe(now time.Duration) {
	r.observedAt = now
	r.latest = r.reports.totals(now, r.order.To)
	all := r.latest.byRoute[allRoutes]
	r.seen.update(now, all.new.Sent+all.old.Sent)
	r.judge.observe(now, r.latest, r.status.Share <= controlShare)
	if r.status.Phase == PhaseCanary {
		r.status.Share = r.canaryShare(now)
	}
}

func (r *rollout) decided(reason Reason, f finding) Decided {
	return Decided{
		Service: r.service, To: r.order.To, State: r.status.State, Phase: r.status.Phase, Share: r.share(),
		Reason: reason, Route: f.route, Old: f.old, New: f.new,
	}
}
