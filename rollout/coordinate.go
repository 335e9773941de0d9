package rollout

import (
	"context"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer"
)

// sendReports sends the reports of all services with several versions.
func (r *Runner) sendReports(ctx context.Context, now time.Duration) {
	r.mu.Lock()
	reports := r.current(now).Reports(now)
	r.mu.Unlock()
	for _, report := range reports {
		r.tasks.Go(func() { r.report(ctx, report) })
	}
}

// report sends one report to the coordinator of its service, or to the next instance if
// that one does not respond, and applies the grant.
func (r *Runner) report(ctx context.Context, report Report) {
	for range maxCoordinatorsAsked {
		next := r.coordinator(report.Service)
		at := r.o.Clock() // the grant may have been decided right after this
		if next.ID == r.o.Self {
			if grant, ok := r.coordinate(report); ok {
				r.applyGrant(at, grant)
			}
			return
		}
		grant, ok, err := r.ask(ctx, next.Address, report)
		if err == nil {
			if ok {
				r.applyGrant(at, grant)
			}
			return
		}
		if ctx.Err() != nil {
			return
		}
		r.o.Scope.Counter("report_errors").Inc(1)
		r.o.Log.Info("rollout report failed", "service", report.Service, "member", next.ID, "error", err)
		r.backoff.Start(next.Address, coordinatorBackoff)
	}
}

// ask sends a report to an instance. It returns false if that one gives no grants.
func (r *Runner) ask(ctx context.Context, address string, report Report) (Grant, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r.o.Scope.Counter("reports").Inc(1)
	m, err := r.o.Client(address).Report(ctx, reportToProto(report))
	if err != nil || m.GetNotCoordinator() {
		return Grant{}, false, err
	}
	grant := grantFromProto(m)
	if grant.Service != report.Service {
		return Grant{}, false, Error.New("the grant is for the service %q", grant.Service)
	}
	return grant, true, nil
}

// coordinator returns the first live instance in the order of the service that is not in
// backoff. Instances that know the same members agree on it.
func (r *Runner) coordinator(service string) api.Member {
	key := "rollout/" + service
	self := api.Member{ID: r.o.Self}
	best, bestScore, found := self, uint64(0), false
	consider := func(m api.Member) {
		if score := peer.Score(key, m.ID); !found || score < bestScore || score == bestScore && m.ID < best.ID {
			best, bestScore, found = m, score, true
		}
	}
	if r.o.Clock()-r.startedAt >= selfReportDelay {
		consider(self)
	}
	for _, m := range r.o.Members() {
		if m.ID != r.o.Self && m.State == api.MemberAlive && !r.backoff.Contains(m.Address) {
			consider(m)
		}
	}
	return best
}

// applyGrant applies a grant and logs what it changes.
func (r *Runner) applyGrant(at time.Duration, g Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, known := r.grants[g.Service]
	r.grants[g.Service] = g
	r.current(r.o.Clock()).SetGrant(at, g)
	r.o.Scope.Tagged(map[string]string{"service": g.Service}).Gauge("share").Update(g.Share)
	if known && before.To == g.To && before.State == g.State && before.Phase == g.Phase || !known && g.To == "" {
		return
	}
	r.o.Scope.Counter("grants_changed").Inc(1)
	r.o.Log.Info("rollout grant changed", "service", g.Service, "to", g.To, "state", g.State, "phase", g.Phase,
		"share", g.Share, "canary_endpoints", g.CanaryEngines, "phase_before", before.Phase)
}

// coordinate passes a report to the core and returns the grant. It returns false if too few
// instances report to this one: it is one of a minority that is cut off, and any number of
// them would each grant a share.
func (r *Runner) coordinate(report Report) (Grant, bool) {
	members := r.o.Members()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Clock()
	service := report.Service
	r.quorum.update(now, members)
	if !r.quorum.add(now, service, report.Instance, r.o.HasPeers) {
		r.o.Scope.Counter("reports_without_quorum").Inc(1)
		return Grant{}, false
	}
	r.countEngines(now, service)
	r.giveOrder(now, service)
	grant := Grant{Service: service}
	for _, action := range r.core.Step(now, ReportReceived{Report: report}) {
		if share, ok := action.(GrantShare); ok {
			grant = share.Grant
			continue
		}
		r.perform(action)
	}
	if r.orders == nil {
		// An order that was read while this instance coordinated before may have changed or
		// be gone. A revert stands.
		if grant.State != StateReverted {
			grant = Grant{Service: service, ValidFor: grant.ValidFor}
		}
		select {
		case r.asked <- struct{}{}:
		default:
		}
	}
	return grant, true
}

// countEngines tells the core how many endpoints of each version a service has. mu has to
// be locked.
func (r *Runner) countEngines(now time.Duration, service string) {
	counts := make(map[Version]int)
	for _, e := range r.endpoints {
		if e.Service == service && !e.Draining {
			counts[e.Version]++
		}
	}
	r.step(now, EndpointsCounted{Service: service, Engines: counts})
}

// giveOrder gives the core the order of a service that it coordinates, unless it has it.
// mu has to be locked.
func (r *Runner) giveOrder(now time.Duration, service string) {
	order, ok := r.orders[service]
	if !ok || r.given[service] {
		return
	}
	r.given[service] = true
	r.step(now, OrderRead{Order: order, UnixMS: time.Now().UnixMilli(), Restored: r.restored})
}

// step passes an event to the core and performs the actions. mu has to be locked.
func (r *Runner) step(now time.Duration, event Event) {
	for _, action := range r.core.Step(now, event) {
		r.perform(action)
	}
}

// perform starts an action of the core. mu has to be locked.
func (r *Runner) perform(action Action) {
	switch a := action.(type) {
	case WriteStatus:
		if !r.running {
			r.step(r.o.Clock(), StatusFailed{Service: a.Service})
			return
		}
		ctx := r.ctx
		r.tasks.Go(func() { r.writeStatus(ctx, a) })
	case Decided:
		r.o.Scope.Tagged(map[string]string{"reason": string(a.Reason), "state": string(a.State)}).Counter("decided").Inc(1)
		r.o.Log.Info("rollout decided", "service", a.Service, "to", a.To, "state", a.State, "phase", a.Phase, "share", a.Share,
			"reason", a.Reason, "route", a.Route, "old_responses", a.Old.Responses, "old_bad", a.Old.Bad,
			"new_responses", a.New.Responses, "new_bad", a.New.Bad)
	}
}

// tick lets the core decide.
func (r *Runner) tick(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, service := range r.core.Coordinating(now) {
		r.countEngines(now, service)
	}
	r.step(now, Tick{})
}
