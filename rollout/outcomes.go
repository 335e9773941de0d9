package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// crashWindow is the time within which an instance learns the crashes of endpoints
	// that crash together.
	crashWindow = 1500 * time.Millisecond
	// brokenHold is how long a broken request is held before it is counted. An instance
	// has few requests at each endpoint, so it learns most crashes from the registry and
	// from other instances, within about a second.
	brokenHold = 1500 * time.Millisecond
	// minDomainCrashes is the number of endpoints of different software that crash
	// together when their failure domain fails, and minVersionCrashes that of endpoints
	// of one version. Fewer can be endpoints that a version crashes by itself.
	minDomainCrashes  = 2
	minVersionCrashes = 3
)

// countKey identifies counts of a service.
type countKey struct {
	route   string
	version Version
}

// attempt is a request that runs at an endpoint.
type attempt struct {
	service  string
	key      countKey
	endpoint Endpoint
	sentAt   time.Duration
	target   time.Duration
	started  bool
	cold     bool
}

// brokenAttempt is a request whose connection broke and which is not counted yet.
type brokenAttempt struct {
	at       time.Duration
	service  string
	key      countKey
	started  bool
	endpoint Endpoint
}

// incarnation identifies one incarnation of an endpoint.
type incarnation struct {
	id    api.EndpointID
	start int64
}

// outcomes counts the requests of one instance.
type outcomes struct {
	counts   map[string]map[countKey]*RouteCounts // by service
	attempts map[string]*attempt                  // by identifier
	broken   []brokenAttempt                      // the oldest first
}

// forget removes the counts of a service. Its running requests are no longer counted.
func (o *outcomes) forget(service string) {
	delete(o.counts, service)
	for id, a := range o.attempts {
		if a.service == service {
			delete(o.attempts, id)
		}
	}
	o.broken = slices.DeleteFunc(o.broken, func(b brokenAttempt) bool { return b.service == service })
}

func newOutcomes() outcomes {
	return outcomes{counts: make(map[string]map[countKey]*RouteCounts), attempts: make(map[string]*attempt)}
}

func (o *outcomes) of(service string, key countKey) *RouteCounts {
	byKey := o.counts[service]
	if byKey == nil {
		byKey = make(map[countKey]*RouteCounts)
		o.counts[service] = byKey
	}
	c := byKey[key]
	if c == nil {
		c = &RouteCounts{Route: key.route, Version: key.version}
		byKey[key] = c
	}
	return c
}

// sent counts a request that starts.
func (o *outcomes) sent(now time.Duration, id string, a attempt) {
	if o.attempts[id] != nil {
		return
	}
	a.sentAt = now
	o.attempts[id] = &a
	c := o.of(a.service, a.key)
	c.Sent++
	c.Running++
}

// record counts a later outcome of a request. One that has not been sent, or has ended,
// is ignored.
func (o *outcomes) record(now time.Duration, out Outcome) {
	a := o.attempts[out.Request]
	if a == nil {
		return
	}
	c := o.of(a.service, a.key)
	switch out.Kind {
	case OutcomeSent:
		return
	case OutcomeStarted:
		o.begin(now, c, a)
		return
	case OutcomeLateGap:
		c.LateGaps++
		return
	case OutcomeCompleted:
		o.begin(now, c, a)
	case OutcomeFailed:
		if !a.started {
			c.Responses++
		}
		c.Failures++
	case OutcomeBroken:
		o.broken = append(o.broken, brokenAttempt{
			at: now, service: a.service, key: a.key, started: a.started, endpoint: a.endpoint,
		})
	case OutcomeRefused, OutcomeAbandoned:
	}
	c.Running--
	delete(o.attempts, out.Request)
}

func (o *outcomes) begin(now time.Duration, c *RouteCounts, a *attempt) {
	if a.started {
		return
	}
	a.started = true
	c.Responses++
	if !a.cold {
		c.Latency[latencyBucket(now-a.sentAt, a.target)]++
	}
}

// settleBroken counts the broken requests that are older than brokenHold as failed, or
// as crashed if their failure domain failed.
func (o *outcomes) settleBroken(now time.Duration, domainFailed func(time.Duration, Endpoint) bool) {
	settled := 0
	for _, b := range o.broken {
		if now-b.at < brokenHold {
			break
		}
		settled++
		c := o.of(b.service, b.key)
		if domainFailed(b.at, b.endpoint) {
			c.Crashed++
			continue
		}
		if !b.started {
			c.Responses++
		}
		c.Failures++
	}
	o.broken = slices.Delete(o.broken, 0, settled)
}

// report returns the counts of a service in a stable order, with the requests that wait.
func (o *outcomes) report(now time.Duration, service string) []RouteCounts {
	counts := make(map[countKey]RouteCounts, len(o.counts[service]))
	for key, c := range o.counts[service] {
		counts[key] = *c
	}
	for _, a := range o.attempts {
		if a.service == service && !a.started && !a.cold {
			c := counts[a.key]
			c.Latency[latencyBucket(now-a.sentAt, a.target)]++
			counts[a.key] = c
		}
	}
	list := make([]RouteCounts, 0, len(counts))
	for _, c := range counts {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b RouteCounts) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Version, b.Version))
	})
	return list
}
