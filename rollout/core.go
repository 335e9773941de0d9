package rollout

import (
	"maps"
	"slices"
	"time"
)

// CoreOptions bound the exposure to a new version; see gateway.RolloutSettings.
type CoreOptions struct {
	ExposeShare     float64
	ExposeSlack     int
	RollbackTimeout time.Duration
}

// maxLifetimeShare is the share of the rollback timeout for which a grant is valid at
// most. The rest is for counting a broken request, reporting it and the decision.
const maxLifetimeShare = 0.4

// grantLifetime returns how long grants are valid.
func (o CoreOptions) grantLifetime() time.Duration {
	if o.RollbackTimeout <= 0 {
		return GrantLifetime
	}
	return min(GrantLifetime, time.Duration(maxLifetimeShare*float64(o.RollbackTimeout)))
}

// Core coordinates the rollouts of the services whose instances report to this one. It
// has no I/O and no clock, and is not safe for concurrent use.
type Core struct {
	options  CoreOptions
	services map[string]*rollout
}

// NewCore returns a coordinator that knows no orders.
func NewCore(o CoreOptions) *Core {
	return &Core{options: o, services: make(map[string]*rollout)}
}

// Step applies an event at a time of the boot clock and returns what is to be done.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	switch ev := ev.(type) {
	case OrderRead:
		return c.of(ev.Order.Service).orderRead(now, ev)
	case OrderRemoved:
		if r := c.services[ev.Service]; r != nil {
			r.removeOrder()
		}
	case EndpointsCounted:
		c.of(ev.Service).engines = maps.Clone(ev.Engines)
	case ReportReceived:
		r := c.of(ev.Report.Service)
		if !r.reports.add(now, ev.Report) {
			return []Action{GrantShare{Instance: ev.Report.Instance, Grant: Grant{Service: r.service}}}
		}
		r.reportedAt = now
		return []Action{GrantShare{Instance: ev.Report.Instance, Grant: r.grant()}}
	case StatusWritten:
		r := c.of(ev.Order.Service)
		r.writing = false
		if !r.ordered {
			return nil // the order was removed since
		}
		return r.orderRead(now, OrderRead{Order: ev.Order, UnixMS: ev.UnixMS})
	case StatusConflict:
		r := c.of(ev.Order.Service)
		r.writing = false
		if !r.ordered {
			return nil
		}
		// The store was restored if it has an older order than the write was based on. An
		// order between that one and the one known was read meanwhile.
		return r.orderRead(now, OrderRead{Order: ev.Order, UnixMS: ev.UnixMS, Restored: ev.Order.Revision < ev.Based})
	case StatusFailed:
		if r := c.services[ev.Service]; r != nil {
			r.writing, r.failedAt = false, now
		}
	case Tick:
		return c.tick(now)
	}
	return nil
}

func (c *Core) of(service string) *rollout {
	r := c.services[service]
	if r == nil {
		r = &rollout{options: c.options, service: service, reports: newReports(), judge: newJudge()}
		c.services[service] = r
	}
	return r
}

func (c *Core) tick(now time.Duration) []Action {
	var actions []Action
	for _, service := range slices.Sorted(maps.Keys(c.services)) {
		// A former coordinator has old reports, by which it must not decide.
		if r := c.services[service]; now-r.reportedAt <= reportLifetime {
			actions = append(actions, r.tick(now)...)
		}
	}
	return actions
}

// Coordinating returns the services whose instances have reported lately, sorted. Their
// orders have to be read.
func (c *Core) Coordinating(now time.Duration) []string {
	var services []string
	for service, r := range c.services {
		if len(r.reports.last) > 0 && now-r.reportedAt < coordinatingTime {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// Ordered returns the services with a known order, sorted.
func (c *Core) Ordered() []string {
	var services []string
	for service, r := range c.services {
		if r.ordered {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// coordinatingTime is the time without reports after which an instance no longer
// coordinates a service. Its reports are then older than those of another coordinator.
const coordinatingTime = 5 * time.Second
