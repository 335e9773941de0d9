package placement

import (
	"context"
	"errors"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// Place reserves a slot on an endpoint for the request. It waits for one until the
// context ends or the maximum wait of the priority has passed. Every grant has to
// be released.
func (r *Runner) Place(ctx context.Context, request api.PlacementRequest) (api.Grant, error) {
	for range maxPlaceAttempts {
		grant, err := r.placeOnce(ctx, request)
		if err != nil {
			return api.Grant{}, err
		}
		if isPermitted(r.options.Config(), grant.Endpoint.ID, r.options.Half, &request) {
			return grant, nil
		}
		// The grant is counted before the configuration is checked. So once a
		// restriction is published and ActiveGrants returns 0, no grant made under
		// the previous configuration will be used.
		r.postEvent(PlacementCancelled{ID: grant.ID})
	}
	return api.Grant{}, r.refuse(reason.EndpointLeaving, "the chosen endpoints left while the grants were made")
}

func (r *Runner) placeOnce(ctx context.Context, request api.PlacementRequest) (api.Grant, error) {
	id := r.lastRequestID.Add(1)
	reply := make(chan placementResult, 1)
	event := PlacementRequested{ID: id, Request: request, Deadline: r.bootDeadline(ctx)}
	if !r.messages.TryPut(message{event: event, reply: reply}) {
		return api.Grant{}, r.refuse(reason.Overloaded, "the placement ring is full")
	}
	select {
	case result := <-reply:
		if result.err != nil {
			return api.Grant{}, result.err
		}
		return result.grant, nil
	case <-ctx.Done():
		r.postEvent(PlacementCancelled{ID: id})
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			return api.Grant{}, r.refuse(reason.DeadlineExceeded, "no endpoint before the deadline")
		}
		return api.Grant{}, r.refuse(reason.CallerGone, "the request was cancelled before an endpoint was chosen")
	case <-r.stopped:
		return api.Grant{}, r.refuse(reason.ShuttingDown, "placement has stopped")
	}
}

// refuse counts a refusal and returns its error.
func (r *Runner) refuse(refusal reason.Reason, message string) error {
	r.metrics.refusals.Inc(refusal)
	return reason.New(refusal, "%s", message)
}

// bootDeadline converts the context's deadline to the boot clock; 0 is none.
func (r *Runner) bootDeadline(ctx context.Context) time.Duration {
	at, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return r.options.Clock() + time.Until(at)
}

// postEvent puts an event that must not be dropped into the message queue. It
// blocks while the queue is full, until Run ends.
func (r *Runner) postEvent(event Event) {
	_ = r.messages.PutUntil(r.stopped, message{event: event})
}

// queryCore lets Run call a function on the core. It returns false if the message
// queue is full, Run has ended or queryTimeout has passed. The function may still
// be called after a timeout, so it must not write to variables that the caller
// reads without synchronization.
func (r *Runner) queryCore(f func(core *Core, now time.Duration)) bool {
	done := make(chan struct{})
	m := message{query: func(core *Core, now time.Duration) {
		defer close(done)
		f(core, now)
	}}
	if !r.messages.TryPut(m) {
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

// ReportProgress reports tokens that were delivered for a grant. If the message
// queue is full, the report is dropped; the release of the grant corrects the
// count.
func (r *Runner) ReportProgress(grant uint64, tokens int) {
	if !r.messages.TryPut(message{event: TokensDelivered{ID: grant, Tokens: tokens}}) {
		r.metrics.droppedEvents.Inc(1)
	}
}

// Release ends a grant.
func (r *Runner) Release(grant uint64, outcome api.Outcome) {
	r.postEvent(GrantReleased{ID: grant, Outcome: outcome})
}

// MarkSuspect reports that an endpoint sent no data within the idle timeout of a
// stream. The endpoint gets no new work until a probe succeeds.
func (r *Runner) MarkSuspect(endpoint api.EndpointID) {
	r.postEvent(EndpointSilent{Endpoint: endpoint})
}

// ActiveGrants returns the number of grants on the endpoint that were not
// released yet.
func (r *Runner) ActiveGrants(endpoint api.EndpointID) int {
	return int(r.grantCounter(endpoint).Load())
}

// QueueDelay returns the queueing delay of the priority as of the last tick. It
// exceeds 0 only if at least half of the recent requests are delayed.
func (r *Runner) QueueDelay(priority api.Priority) time.Duration {
	if priority < 0 || int(priority) >= priorityCount {
		return 0
	}
	return time.Duration(r.queueDelays[priority].Load())
}

// Endpoints returns the state of all endpoints, or nil if Run doesn't respond in
// time.
func (r *Runner) Endpoints() []EndpointStatus {
	result := make(chan []EndpointStatus, 1)
	if !r.queryCore(func(core *Core, _ time.Duration) { result <- core.Status() }) {
		return nil
	}
	return <-result
}

// Collect returns changed endpoint loads to send to a peer, at most maxBytes, or none if
// Run doesn't respond in time.
func (r *Runner) Collect(maxBytes int) *peerpb.Deltas {
	result := make(chan []PeerLoad, 1)
	if !r.queryCore(func(core *Core, _ time.Duration) { result <- core.CollectLoads(maxBytes) }) {
		return &peerpb.Deltas{}
	}
	deltas := &peerpb.Deltas{}
	for _, load := range <-result {
		deltas.Loads = append(deltas.Loads, encodeLoad(load))
	}
	return deltas
}

func encodeLoad(load PeerLoad) *peerpb.Load {
	return &peerpb.Load{
		Endpoint:          string(load.Endpoint),
		Instance:          string(load.Instance),
		OutstandingTokens: uint64(load.OutstandingTokens),
		Running:           uint32(load.Running),
		Version:           load.Version,
		Dead:              load.Dead,
	}
}

// maxReportedTokens limits the tokens in a peer's report, so that a faulty peer
// cannot make sums overflow.
const maxReportedTokens = 1 << 40

// Merge applies changed endpoint loads from a peer. If the message queue is full,
// they are dropped; peers send each change several times.
func (r *Runner) Merge(deltas *peerpb.Deltas) {
	if len(deltas.GetLoads()) == 0 {
		return
	}
	loads := make([]PeerLoad, 0, len(deltas.Loads))
	for _, load := range deltas.Loads {
		loads = append(loads, PeerLoad{
			Endpoint:          api.EndpointID(load.Endpoint),
			Instance:          api.InstanceID(load.Instance),
			Running:           int(load.Running),
			OutstandingTokens: int(min(load.OutstandingTokens, maxReportedTokens)),
			Version:           load.Version,
			Dead:              load.Dead,
		})
	}
	if !r.messages.TryPut(message{event: PeerLoadsReceived{Loads: loads}}) {
		r.metrics.droppedEvents.Inc(1)
	}
}
