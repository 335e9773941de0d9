package placement

import (
	"context"
	"errors"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// Place reserves a place for the work. It waits until the context ends.
func (r *Runner) Place(ctx context.Context, request api.PlacementRequest) (api.Grant, error) {
	for range placeTries {
		grant, err := r.placeOnce(ctx, request)
		if err != nil {
			return api.Grant{}, err
		}
		if mayUse(r.options.Config(), grant.Endpoint.ID, r.options.Half, &request) {
			return grant, nil
		}
		// The grant was counted before this check of the configuration. Whoever
		// publishes a restriction and then sees ActiveGrants at 0 can therefore be
		// sure that no earlier grant will be used.
		r.post(PlacementCancelled{ID: grant.ID})
	}
	return api.Grant{}, r.refused(reason.EndpointLeaving, "the chosen endpoints left while the grants were made")
}

func (r *Runner) placeOnce(ctx context.Context, request api.PlacementRequest) (api.Grant, error) {
	id := r.lastID.Add(1)
	reply := make(chan answer, 1)
	event := PlacementRequested{ID: id, Request: request, Deadline: r.deadline(ctx)}
	if !r.ring.Offer(message{event: event, reply: reply}) {
		return api.Grant{}, r.refused(reason.Overloaded, "the placement ring is full")
	}
	select {
	case a := <-reply:
		if a.err != nil {
			return api.Grant{}, a.err
		}
		return a.grant, nil
	case <-ctx.Done():
		r.post(PlacementCancelled{ID: id})
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			return api.Grant{}, r.refused(reason.DeadlineExceeded, "no endpoint before the deadline")
		}
		return api.Grant{}, r.refused(reason.CallerGone, "the request was cancelled before an endpoint was chosen")
	case <-r.stopped:
		return api.Grant{}, r.refused(reason.ShuttingDown, "placement has stopped")
	}
}

func (r *Runner) refused(why reason.Reason, message string) error {
	r.metrics.refusals.Inc(why)
	return reason.New(why, "%s", message)
}

// deadline converts the context's deadline to the boot clock.
func (r *Runner) deadline(ctx context.Context) time.Duration {
	at, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return r.options.Clock() + time.Until(at)
}

// post hands over an event that must not be dropped, and waits for room until
// Run ends.
func (r *Runner) post(event Event) {
	_ = r.ring.PutUntil(r.stopped, message{event: event})
}

// query runs a function on the core and reports false if Run does not answer
// in time.
func (r *Runner) query(f func(core *Core, now time.Duration)) bool {
	done := make(chan struct{})
	m := message{query: func(core *Core, now time.Duration) {
		defer close(done)
		f(core, now)
	}}
	if !r.ring.Offer(m) {
		return false
	}
	timer := time.NewTimer(queryTimeout)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-r.stopped:
	case <-timer.C:
	}
	return false
}

// ReportProgress reports tokens that the work of a grant has delivered. When the
// ring is full the report is dropped; the release corrects the count.
func (r *Runner) ReportProgress(grant uint64, tokens int) {
	if !r.ring.Offer(message{event: TokensDelivered{ID: grant, Tokens: tokens}}) {
		r.metrics.dropped.Inc(1)
	}
}

// Release ends a grant.
func (r *Runner) Release(grant uint64, outcome api.Outcome) {
	r.post(GrantReleased{ID: grant, Outcome: outcome})
}

// MarkSuspect reports that an endpoint was silent beyond a stream's bound.
func (r *Runner) MarkSuspect(endpoint api.EndpointID) { r.post(EndpointSilent{Endpoint: endpoint}) }

// ActiveGrants returns the number of grants in use on the endpoint.
func (r *Runner) ActiveGrants(endpoint api.EndpointID) int {
	return int(r.counter(endpoint).Load())
}

// QueueDelay returns how long the first waiting request of the priority has
// waited, as of the last tick.
func (r *Runner) QueueDelay(priority api.Priority) time.Duration {
	if priority < 0 || int(priority) >= priorityCount {
		return 0
	}
	return time.Duration(r.oldest[priority].Load())
}

// Endpoints returns the state of all endpoints, or nil if Run does not answer.
func (r *Runner) Endpoints() []EndpointStatus {
	result := make(chan []EndpointStatus, 1)
	if !r.query(func(core *Core, _ time.Duration) { result <- core.Status() }) {
		return nil
	}
	return <-result
}

// Collect returns up to limit changed loads for the peers.
func (r *Runner) Collect(limit int) *peerpb.Deltas {
	result := make(chan []PeerLoad, 1)
	if !r.query(func(core *Core, _ time.Duration) { result <- core.CollectLoads(limit) }) {
		return &peerpb.Deltas{}
	}
	deltas := &peerpb.Deltas{}
	for _, load := range <-result {
		deltas.Loads = append(deltas.Loads, &peerpb.Load{
			Endpoint:          string(load.Endpoint),
			Instance:          string(load.Instance),
			OutstandingTokens: uint64(load.Tokens),
			Running:           uint32(load.Running),
			Version:           load.Version,
			Dead:              load.Dead,
		})
	}
	return deltas
}

// maxReported bounds the counts of a delta, so that a faulty peer cannot make
// sums overflow.
const maxReported = 1 << 40

// Merge takes changes from a peer. When the ring is full they are dropped; the
// peer passes each change on several times.
func (r *Runner) Merge(deltas *peerpb.Deltas) {
	if len(deltas.GetLoads()) == 0 {
		return
	}
	loads := make([]PeerLoad, 0, len(deltas.Loads))
	for _, load := range deltas.Loads {
		loads = append(loads, PeerLoad{
			Endpoint: api.EndpointID(load.Endpoint),
			Instance: api.InstanceID(load.Instance),
			Running:  int(load.Running),
			Tokens:   int(min(load.OutstandingTokens, maxReported)),
			Version:  load.Version,
			Dead:     load.Dead,
		})
	}
	if !r.ring.Offer(message{event: PeerLoadsReceived{Loads: loads}}) {
		r.metrics.dropped.Inc(1)
	}
}
