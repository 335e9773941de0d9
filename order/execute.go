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
	case SendOrder:
		p := r.pending(a.OpID)
		p.grant.holders.Add(1)
		r.async(ctx, func(ctx context.Context) Event { return r.sendOrder(ctx, a, p) })
	case CheckBooking:
		r.async(ctx, func(ctx context.Context) Event { return r.askService(ctx, a) })
	case ReplyToCaller:
		r.reply(a)
	case EndOperation:
		r.end(a)
	}
}

func (r *Runner) async(ctx context.Context, call func(context.Context) Event) {
	go func() {
		// An event is lost only if the runner ends.
		_ = r.events.Put(ctx, call(ctx))
	}()
}

func (r *Runner) reply(a ReplyToCaller) {
	if p := r.pending(a.OpID); p != nil {
		p.reply <- a // has room for the only reply
		p.grant.release()
	}
}

func (r *Runner) end(a EndOperation) {
	r.forget(a.OpID)
	if a.OutcomeNotRecorded {
		r.metrics.gaveUp.Inc(1)
		r.options.Log.Warn("outcome of an order is not recorded")
	}
}

func (r *Runner) createClaim(ctx context.Context, a CreateClaim) Event {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	revision, err := r.claims.Create(ctx, a.OrderID, a.Claim)
	return r.written(a.OpID, revision, err)
}

func (r *Runner) updateClaim(ctx context.Context, a UpdateClaim) Event {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	revision, err := r.claims.Update(ctx, a.OrderID, a.Claim, a.ExpectedRevision)
	event := r.written(a.OpID, revision, err)
	if event.Result == WriteOK {
		r.metrics.outcome(a.Claim.State)
	}
	return event
}

func (r *Runner) deleteClaim(ctx context.Context, a DeleteClaim) Event {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return r.written(a.OpID, 0, r.claims.Delete(ctx, a.OrderID, a.ExpectedRevision))
}

func (r *Runner) written(op, revision uint64, err error) ClaimWritten {
	event := ClaimWritten{OpID: op, Revision: revision}
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

func readEvent(ctx context.Context, claims ClaimStore, a ReadClaim, wall time.Time) ClaimRead {
	stored, err := claims.Read(ctx, a.OrderID)
	switch {
	case err == nil:
		age := wall.UnixMilli() - stored.UnixMilli
		return ClaimRead{OpID: a.OpID, Result: ReadFound, Stored: stored, Age: time.Duration(age) * time.Millisecond}
	case errors.Is(err, store.ErrNotFound):
		return ClaimRead{OpID: a.OpID, Result: ReadNotFound}
	default:
		return ClaimRead{OpID: a.OpID, Result: ReadFailed}
	}
}

func (r *Runner) sendOrder(ctx context.Context, a SendOrder, p *pending) Event {
	defer p.grant.release()
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var refused reason.Reason
	result, receipt, err := send(ctx, outgoing{
		endpoint: p.endpoint, id: a.OrderID, fence: a.Fence, body: p.body,
		mayWrite: func() error {
			refused = r.mayWrite(a, p)
			if refused != "" {
				return errNotSent
			}
			return nil
		},
	})
	r.dropBody(p) // the outcome can take minutes to record
	event := SendFinished{OpID: a.OpID, Result: result, Receipt: receipt, Reason: sendReason(result, err)}
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
		return api.OutcomeCrashed
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
func (r *Runner) mayWrite(a SendOrder, p *pending) reason.Reason {
	config := r.options.Config()
	switch {
	case r.options.Clock() >= a.NotAfter:
		return reason.DispatchWindow
	case r.options.CheckServing() != nil:
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
func (r *Runner) askService(ctx context.Context, a CheckBooking) Event {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	config := r.options.Config()
	if config == nil {
		return BookingChecked{OpID: a.OpID, Result: BookingCheckFailed}
	}
	endpoint, ok := config.Endpoints[a.Endpoint]
	if !ok {
		return BookingChecked{OpID: a.OpID, Result: BookingCheckUnsupported}
	}
	if a.Fence > 0 && endpoint.ChecksFence {
		return r.askFencing(ctx, a, endpoint)
	}
	if !endpoint.OffersLookup {
		return BookingChecked{OpID: a.OpID, Result: BookingCheckUnsupported}
	}
	result, receipt := r.bookedAt(ctx, endpoint, a.OrderID)
	return BookingChecked{OpID: a.OpID, Result: result, Receipt: receipt}
}

// askFencing raises the fencing number at the service first, so that "not
// booked" holds for good.
func (r *Runner) askFencing(ctx context.Context, a CheckBooking, endpoint api.Endpoint) Event {
	booked, err := r.services.fence(ctx, endpoint, a.OrderID, a.Fence)
	if errors.Is(err, errFenceOutdated) {
		return BookingChecked{OpID: a.OpID, Result: BookingFenceStale}
	}
	if err != nil {
		return BookingChecked{OpID: a.OpID, Result: BookingCheckFailed}
	}
	if !booked {
		return BookingChecked{OpID: a.OpID, Result: BookingAbsentFenced}
	}
	event := BookingChecked{OpID: a.OpID, Result: BookingFound}
	if endpoint.OffersLookup {
		_, event.Receipt = r.bookedAt(ctx, endpoint, a.OrderID)
	}
	return event
}

func (r *Runner) bookedAt(ctx context.Context, endpoint api.Endpoint, id string) (BookingStatus, json.RawMessage) {
	status, body, _, err := get(ctx, r.services.fresh, endpoint, "/orders/"+id)
	switch {
	case err != nil:
		return BookingCheckFailed, nil
	case status == http.StatusOK:
		return BookingFound, receipt(body, nil)
	case status == http.StatusNotFound:
		return BookingAbsent, nil
	case status == http.StatusMethodNotAllowed:
		return BookingCheckUnsupported, nil
	default:
		return BookingCheckFailed, nil
	}
}
