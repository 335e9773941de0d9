package order

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/store"
)

const (
	// claimTimeout bounds one store call for a claim. A claim that takes longer
	// is outside the dispatch window anyway.
	claimTimeout = DispatchWindow
	// askTimeout bounds one question to a service.
	askTimeout = 2 * time.Second
)

// execute carries out an action. Calls run in their own goroutine, one for
// each operation at most, and post their result to the core.
func (r *Runner) execute(ctx context.Context, action Action) {
	switch a := action.(type) {
	case CreateClaim:
		r.async(ctx, func(ctx context.Context) Event { return r.createClaim(ctx, a) })
	case ReadClaim:
		r.async(ctx, func(ctx context.Context) Event { return r.readClaim(ctx, a) })
	case UpdateClaim:
		r.async(ctx, func(ctx context.Context) Event { return r.updateClaim(ctx, a) })
	case DeleteClaim:
		r.async(ctx, func(ctx context.Context) Event { return r.deleteClaim(ctx, a) })
	case Send:
		p := r.pending(a.Op)
		p.grant.holders.Add(1)
		r.async(ctx, func(ctx context.Context) Event { return r.sendOrder(ctx, a, p) })
	case Ask:
		r.async(ctx, func(ctx context.Context) Event { return r.askService(ctx, a) })
	case Reply:
		r.reply(a)
	case End:
		r.end(a)
	}
}

func (r *Runner) async(ctx context.Context, call func(context.Context) Event) {
	go func() {
		// An event is lost only if the runner ends.
		_ = r.events.Put(ctx, call(ctx))
	}()
}

func (r *Runner) reply(a Reply) {
	if p := r.pending(a.Op); p != nil {
		p.reply <- a // has room for the only reply
		p.grant.release()
	}
}

func (r *Runner) end(a End) {
	r.forget(a.Op)
	if a.GaveUp {
		r.metrics.gaveUp.Inc(1)
		r.options.Log.Warn("outcome of an order is not recorded")
	}
}

func (r *Runner) createClaim(ctx context.Context, a CreateClaim) Event {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	revision, err := r.claims.Create(ctx, a.ID, a.Claim)
	return r.written(a.Op, revision, err)
}

func (r *Runner) updateClaim(ctx context.Context, a UpdateClaim) Event {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	revision, err := r.claims.Update(ctx, a.ID, a.Claim, a.Expect)
	event := r.written(a.Op, revision, err)
	if event.Result == WriteOK {
		r.metrics.outcome(a.Claim.State)
	}
	return event
}

func (r *Runner) deleteClaim(ctx context.Context, a DeleteClaim) Event {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return r.written(a.Op, 0, r.claims.Delete(ctx, a.ID, a.Expect))
}

func (r *Runner) written(op, revision uint64, err error) Written {
	event := Written{Op: op, Revision: revision}
	switch {
	case err == nil:
		return event
	case errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound):
		event.Result, event.Reason = WriteConflict, reason.StoreConflict
	case errors.Is(err, store.ErrRateLimited):
		event.Result, event.Reason = WriteRefused, reason.StoreRateLimited
	case errors.Is(err, errShardFull):
		event.Result, event.Reason = WriteRefused, reason.Overloaded
	case errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrRefused):
		event.Result, event.Reason = WriteRefused, reason.StoreUnavailable
	default:
		event.Result, event.Reason = WriteUnknown, reason.StoreUnavailable
	}
	r.metrics.reasons.Inc(event.Reason)
	return event
}

func (r *Runner) readClaim(ctx context.Context, a ReadClaim) Event {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return readEvent(ctx, r.claims, a, time.Now())
}

func readEvent(ctx context.Context, claims Claims, a ReadClaim, wall time.Time) Read {
	stored, err := claims.Read(ctx, a.ID)
	switch {
	case err == nil:
		age := wall.UnixMilli() - stored.UnixMilli
		return Read{Op: a.Op, Result: ReadFound, Stored: stored, Age: time.Duration(age) * time.Millisecond}
	case errors.Is(err, store.ErrNotFound):
		return Read{Op: a.Op, Result: ReadAbsent}
	default:
		return Read{Op: a.Op, Result: ReadFailed}
	}
}

func (r *Runner) sendOrder(ctx context.Context, a Send, p *pending) Event {
	defer p.grant.release()
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var refused reason.Reason
	result, receipt, err := send(ctx, outgoing{
		endpoint: p.endpoint, id: a.ID, fence: a.Fence, body: p.body,
		mayWrite: func() error {
			refused = r.mayWrite(a, p)
			if refused != "" {
				return errNotSent
			}
			return nil
		},
	})
	r.dropBody(p) // the outcome can take minutes to record
	event := Sent{Op: a.Op, Result: result, Receipt: receipt, Reason: sendReason(result, err)}
	if result == SendSkipped && errors.Is(err, errNotSent) && refused != "" {
		event.Reason = refused
	}
	p.grant.outcome.Store(int32(grantOutcome(result, event.Reason)))
	r.metrics.send(result)
	if err != nil {
		r.options.Log.Info("order was not confirmed", "endpoint", a.Endpoint, "account", p.account, "reason", event.Reason)
	}
	return event
}

// grantOutcome tells placement how the endpoint behaved.
func grantOutcome(result SendResult, why reason.Reason) api.Outcome {
	switch {
	case result == SendSkipped && why == reason.ConnectFailed:
		return api.OutcomeDied
	case result == SendSkipped:
		return api.OutcomeCancelled
	case result == SendRefused:
		return api.OutcomeRefused
	case result == SendUnknown:
		return api.OutcomeSuspected
	default:
		return api.OutcomeCompleted
	}
}

// mayWrite is the last check before the first byte: window, gate, ownership.
func (r *Runner) mayWrite(a Send, p *pending) reason.Reason {
	config := r.options.Config()
	switch {
	case r.options.Clock() >= a.NotAfter:
		return reason.DispatchWindow
	case r.options.Gate() != nil:
		return reason.Fenced
	case !config.MayDispatch(a.Endpoint, r.options.Half) || !config.Endpoints[a.Endpoint].Admits(p.account):
		return reason.EndpointLeaving
	case config.Endpoints[a.Endpoint].Address != p.endpoint.Address:
		return reason.EndpointLeaving
	}
	return ""
}

func sendReason(result SendResult, err error) reason.Reason {
	switch {
	case err == nil:
		return ""
	case result == SendSkipped:
		return reason.ConnectFailed
	case result == SendRefused:
		return reason.EngineRefused
	case result == SendRejected:
		return reason.OrderRejected
	default:
		return reason.OrderUnknown
	}
}

// askService finds out whether the service has booked an order.
func (r *Runner) askService(ctx context.Context, a Ask) Event {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	config := r.options.Config()
	if config == nil {
		return Asked{Op: a.Op, Result: AskFailed}
	}
	endpoint, ok := config.Endpoints[a.Endpoint]
	if !ok {
		return Asked{Op: a.Op, Result: AskUnable}
	}
	if a.Fence > 0 && endpoint.ChecksFence {
		return r.askFencing(ctx, a, endpoint)
	}
	if !endpoint.OffersLookup {
		return Asked{Op: a.Op, Result: AskUnable}
	}
	result, receipt := r.bookedAt(ctx, endpoint, a.ID)
	return Asked{Op: a.Op, Result: result, Receipt: receipt}
}

// askFencing raises the fencing number at the service first, so that "not
// booked" holds for good.
func (r *Runner) askFencing(ctx context.Context, a Ask, endpoint api.Endpoint) Event {
	booked, err := r.services.fence(ctx, endpoint, a.ID, a.Fence)
	if errors.Is(err, errFenceOutdated) {
		return Asked{Op: a.Op, Result: AskOutdated}
	}
	if err != nil {
		return Asked{Op: a.Op, Result: AskFailed}
	}
	if !booked {
		return Asked{Op: a.Op, Result: AskFencedAbsent}
	}
	event := Asked{Op: a.Op, Result: AskBooked}
	if endpoint.OffersLookup {
		_, event.Receipt = r.bookedAt(ctx, endpoint, a.ID)
	}
	return event
}

func (r *Runner) bookedAt(ctx context.Context, endpoint api.Endpoint, id string) (AskResult, json.RawMessage) {
	status, body, _, err := get(ctx, r.services.fresh, endpoint, "/orders/"+id)
	switch {
	case err != nil:
		return AskFailed, nil
	case status == http.StatusOK:
		return AskBooked, receipt(body, nil)
	case status == http.StatusNotFound:
		return AskAbsent, nil
	case status == http.StatusMethodNotAllowed:
		return AskUnable, nil
	default:
		return AskFailed, nil
	}
}
