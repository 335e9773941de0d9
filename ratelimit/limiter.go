package ratelimit

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/internal/backoff"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

const (
	// permitTimeout bounds the request for a permit. A round trip between regions
	// takes 16 ms; an instance with a fifth of a core may respond late.
	permitTimeout = 150 * time.Millisecond
	// granterBackoff is how long an instance is not asked after a failed request.
	granterBackoff = time.Second
	// maxGrantersAsked is the number of instances that one request for a permit
	// asks.
	maxGrantersAsked = 2
	// noGranterWait is the wait if no instance that grants permits responds.
	noGranterWait = 200 * time.Millisecond
	// expireInterval is the time between removals of old limits.
	expireInterval = 10 * time.Second
)

// Options configures a Limiter.
type Options struct {
	Self api.InstanceID
	// Members returns the known instances.
	Members func() []api.Member
	// PermitClient returns the client of an instance, by its address.
	PermitClient func(address string) peerpb.Permits
	// OnChange is called when the limit of an endpoint begins or ends. It must not
	// block.
	OnChange func(e Endpoint, limited bool)
	// OnUrgent is called when other instances should learn of a change at once. It
	// must not block.
	OnUrgent func()
	Clock    bootclock.Func
	Log      *slog.Logger
	Scope    tally.Scope
}

// Limiter records limits and acquires permits, from this instance or from the one
// that grants them. It is safe for concurrent use.
type Limiter struct {
	o         Options
	startedAt time.Duration
	backoff   *backoff.Set // of other instances, by address
	mu        sync.Mutex
	// The fields below are guarded by mu.
	core   *Core
	roster *roster
}

// New returns a limiter without limits.
func New(o Options) *Limiter {
	return &Limiter{o: o, startedAt: o.Clock(), core: NewCore(), roster: newRoster(o.Self), backoff: backoff.NewSet(o.Clock)}
}

func endpointOf(e registry.Endpoint) Endpoint {
	return Endpoint{ID: e.ID, Incarnation: e.Incarnation}
}

// RecordLimit records that a response of the endpoint has named a limit, in
// requests per second.
func (l *Limiter) RecordLimit(e registry.Endpoint, perSecond float64) {
	l.record(Limit{Endpoint: endpointOf(e), PerSecond: perSecond, At: l.o.Clock()})
}

// RecordNoLimit records that a response of the endpoint has named no limit.
func (l *Limiter) RecordNoLimit(e registry.Endpoint) {
	l.record(Limit{Endpoint: endpointOf(e), Ended: true, At: l.o.Clock()})
}

// record applies a limit and passes a change on.
func (l *Limiter) record(next Limit) {
	l.mu.Lock()
	before, limitedBefore := l.core.Limit(next.Endpoint)
	changed := l.core.Record(next)
	after, limited := l.core.Limit(next.Endpoint)
	if limited != limitedBefore && l.o.OnChange != nil {
		l.o.OnChange(next.Endpoint, limited)
	}
	l.mu.Unlock()
	if !changed {
		return
	}
	l.o.Scope.Counter("limits_changed").Inc(1)
	l.o.Log.Info("endpoint limit changed", "endpoint", next.Endpoint.ID, "limited", limited,
		"per_second", after.PerSecond, "before", before.PerSecond, "age_ms", (l.o.Clock() - next.At).Milliseconds())
	if l.o.OnUrgent != nil {
		l.o.OnUrgent()
	}
}

// Forget removes an endpoint that is gone.
func (l *Limiter) Forget(e registry.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.Forget(endpointOf(e))
}

// Limited reports whether the endpoint limits its requests.
func (l *Limiter) Limited(e registry.Endpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, limited := l.core.Limit(endpointOf(e))
	return limited
}

// Acquire takes the permit for one request to the endpoint. It returns 0 if the
// request may be sent, otherwise the time after which to ask again.
func (l *Limiter) Acquire(ctx context.Context, target registry.Endpoint) time.Duration {
	e := endpointOf(target)
	l.mu.Lock()
	known, limited := l.core.Limit(e)
	l.mu.Unlock()
	if !limited {
		return 0
	}
	for range maxGrantersAsked {
		next := l.granter(e)
		if next.id == l.o.Self {
			return l.count("local", l.grant(e))
		}
		decision, err := l.ask(ctx, next.address, known)
		if err == nil {
			return l.count("remote", decision)
		}
		if ctx.Err() != nil {
			break
		}
		l.recordFailure(next, err)
	}
	l.o.Scope.Counter("permits_unavailable").Inc(1)
	return noGranterWait
}

// count counts a decision of this instance (local) or another one (remote) and
// returns the wait until the next request for a permit; 0 is granted.
func (l *Limiter) count(source string, d Decision) time.Duration {
	scope := l.o.Scope.Tagged(map[string]string{"granter": source})
	if d.Granted {
		scope.Counter("permits_granted").Inc(1)
		return 0
	}
	scope.Counter("permits_denied").Inc(1)
	return d.Wait
}

// grant decides about a permit as the instance that grants it.
func (l *Limiter) grant(e Endpoint) Decision {
	share := l.order(e).shareOf(l.o.Self)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Grant(l.o.Clock(), e, share)
}

// ask asks another instance for a permit.
func (l *Limiter) ask(ctx context.Context, address string, known Limit) (Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	response, err := l.o.PermitClient(address).Acquire(ctx, &peerpb.PermitRequest{Limit: toProto(l.o.Clock(), known)})
	if err != nil {
		return Decision{}, err
	}
	if newer, ok := fromProto(l.o.Clock(), response.GetNewer()); ok {
		l.record(newer)
	}
	wait := time.Duration(response.GetWaitMs()) * time.Millisecond
	return Decision{Granted: response.GetGranted(), Wait: min(max(wait, time.Millisecond), maxWait)}, nil
}

// granter returns the instance to ask for a permit: the first of the order that is
// not in backoff, or this instance if there is none.
func (l *Limiter) granter(e Endpoint) granter {
	eligible := func(g granter) bool { return g.id == l.o.Self || !l.backoff.Contains(g.address) }
	if g, ok := l.order(e).first(eligible); ok {
		return g
	}
	return granter{id: l.o.Self}
}

func (l *Limiter) order(e Endpoint) order {
	members, now := l.o.Members(), l.o.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roster.order(now, e, members, now-l.startedAt < joinTime)
}

// recordFailure starts the backoff of an instance, so that there is at most one
// line for each instance and granterBackoff.
func (l *Limiter) recordFailure(g granter, err error) {
	l.o.Scope.Counter("permit_errors").Inc(1)
	l.o.Log.Info("permit request failed", "member", string(g.id), "error", err)
	l.backoff.Start(g.address, granterBackoff)
}

// Collect returns changed limits for another instance, at most maxBytes.
func (l *Limiter) Collect(maxBytes int) *peerpb.Deltas {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Collect(l.o.Clock(), maxBytes)
}

// Snapshot returns all limits for an instance that has just started.
func (l *Limiter) Snapshot() *peerpb.Deltas {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Snapshot(l.o.Clock())
}

// Merge applies the limits of another instance.
func (l *Limiter) Merge(deltas *peerpb.Deltas) {
	for _, message := range deltas.GetLimits() {
		if next, ok := fromProto(l.o.Clock(), message); ok {
			l.record(next)
		}
	}
}

// Run removes old limits until the context ends.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.mu.Lock()
			l.core.Expire(l.o.Clock())
			l.mu.Unlock()
		}
	}
}
