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
	// claimTimeout bounds one store call for a claim. An order whose claim takes
	// longer can no longer be sent within its dispatch window.
	claimTimeout = DispatchWindow
	// bookingCheckTimeout bounds all requests of one booking check.
	bookingCheckTimeout = 2 * time.Second
)

// execute carries out an action. Store and service calls run in goroutines of
// their own, at most one for each operation, and queue their result for the core.
func (r *Runner) execute(ctx context.Context, action Action) {
	switch a := action.(type) {
	case CreateClaim:
		r.runAsync(ctx, func(ctx context.Context) Event { return r.createClaim(ctx, a) })
	case ReadClaim:
		r.runAsync(ctx, func(ctx context.Context) Event { return r.readClaim(ctx, a) })
	case UpdateClaim:
		r.runAsync(ctx, func(ctx context.Context) Event { return r.updateClaim(ctx, a) })
	case DeleteClaim:
		r.runAsync(ctx, func(ctx context.Context) Event { return r.deleteClaim(ctx, a) })
	case SendOrder:
		p := r.pendingOperation(a.OpID)
		p.grant.refs.Add(1) // reference of the send, released by sendOrder
		r.runAsync(ctx, func(ctx context.Context) Event { return r.sendOrder(ctx, a, p) })
	case CheckBooking:
		r.runAsync(ctx, func(ctx context.Context) Event { return r.checkBooking(ctx, a) })
	case ReplyToCaller:
		r.replyToCaller(a)
	case EndOperation:
		r.endOperation(a)
	}
}

func (r *Runner) runAsync(ctx context.Context, call func(context.Context) Event) {
	go func() {
		// Put fails only when the context of Run has ended; then nothing reads events.
		_ = r.events.Put(ctx, call(ctx))
	}()
}

func (r *Runner) replyToCaller(a ReplyToCaller) {
	if p := r.pendingOperation(a.OpID); p != nil {
		p.reply <- a // does not block: the buffer has room for the only reply
		p.grant.release()
	}
}

func (r *Runner) endOperation(a EndOperation) {
	r.removePending(a.OpID)
	if a.OutcomeNotRecorded {
		r.metrics.outcomesNotRecorded.Inc(1)
		r.options.Log.Warn("order ended without a recorded outcome")
	}
}

func (r *Runner) createClaim(ctx context.Context, a CreateClaim) Event {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	revision, err := r.claims.Create(ctx, a.OrderID, a.Claim)
	return r.claimWrittenEvent(a.OpID, revision, err)
}

func (r *Runner) updateClaim(ctx context.Context, a UpdateClaim) Event {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	revision, err := r.claims.Update(ctx, a.OrderID, a.Claim, a.ExpectedRevision)
	event := r.claimWrittenEvent(a.OpID, revision, err)
	if event.Result == WriteOK {
		r.metrics.countClaimWritten(a.Claim.State)
	}
	return event
}

func (r *Runner) deleteClaim(ctx context.Context, a DeleteClaim) Event {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return r.claimWrittenEvent(a.OpID, 0, r.claims.Delete(ctx, a.OrderID, a.ExpectedRevision))
}

// claimWrittenEvent classifies the result of a store write.
func (r *Runner) claimWrittenEvent(opID, revision uint64, err error) ClaimWritten {
	event := ClaimWritten{OpID: opID, Revision: revision}
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
	return claimReadEvent(ctx, r.claims, a, time.Now())
}

func claimReadEvent(ctx context.Context, claims ClaimStore, a ReadClaim, wall time.Time) ClaimRead {
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

func (r *Runner) sendOrder(ctx context.Context, a SendOrder, p *pendingOperation) Event {
	defer p.grant.release()
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var forbidden reason.Reason
	result, receipt, err := sendOnce(ctx, outgoingOrder{
		endpoint: p.endpoint, id: a.OrderID, fence: a.Fence, body: p.body,
		check: func() error {
			forbidden = r.checkBeforeWrite(a, p)
			if forbidden != "" {
				return errSendForbidden
			}
			return nil
		},
	})
	r.releaseBody(p) // early, since recording the outcome can take minutes
	event := SendFinished{OpID: a.OpID, Result: result, Receipt: receipt, Reason: sendReason(result, err)}
	if result == SendSkipped && errors.Is(err, errSendForbidden) && forbidden != "" {
		event.Reason = forbidden
	}
	p.grant.outcome.Store(int32(grantOutcome(result, event.Reason)))
	r.metrics.countSend(result)
	if err != nil {
		r.options.Log.Info("order was not confirmed by the service", "endpoint", a.Endpoint, "account", p.account, "reason", event.Reason)
	}
	return event
}

// grantOutcome returns the outcome that is reported to placement with the release
// of the grant. A failed dial counts as a crash of the endpoint, and a send without
// a clear result puts the endpoint under suspicion.
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

// checkBeforeWrite checks, right before the first byte of an order is written, that
// the dispatch window is open, that the instance may start new work, and that the
// endpoint is still configured for this half and client account with the same address.
// It returns the reason why the order must not be sent, or "".
func (r *Runner) checkBeforeWrite(a SendOrder, p *pendingOperation) reason.Reason {
	config := r.options.Config()
	switch {
	case r.options.Clock() >= a.NotAfter:
		return reason.DispatchWindow
	case r.options.CheckServing() != nil:
		return reason.Fenced // no contact; unrelated to the fencing token of the order
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
		return reason.EngineRefused // the reason code is shared with engines
	case result == SendRejected:
		return reason.OrderRejected
	default:
		return reason.OrderUnknown
	}
}

// checkBooking finds out at the service whether it has booked an order.
func (r *Runner) checkBooking(ctx context.Context, a CheckBooking) Event {
	ctx, cancel := context.WithTimeout(ctx, bookingCheckTimeout)
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
		return r.fenceAndCheckBooking(ctx, a, endpoint)
	}
	if !endpoint.OffersLookup {
		return BookingChecked{OpID: a.OpID, Result: BookingCheckUnsupported}
	}
	result, receipt := r.fetchBooking(ctx, endpoint, a.OrderID)
	return BookingChecked{OpID: a.OpID, Result: result, Receipt: receipt}
}

// fenceAndCheckBooking raises the fencing token at the service and checks the
// booking with the same request. A result "not booked" is then final, since the
// service rejects the order from that moment on.
func (r *Runner) fenceAndCheckBooking(ctx context.Context, a CheckBooking, endpoint api.Endpoint) Event {
	booked, err := r.serviceClient.fence(ctx, endpoint, a.OrderID, a.Fence)
	if errors.Is(err, errFenceStale) {
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
		_, event.Receipt = r.fetchBooking(ctx, endpoint, a.OrderID)
	}
	return event
}

// fetchBooking asks a service that reports its bookings (OffersLookup) for an order.
func (r *Runner) fetchBooking(ctx context.Context, endpoint api.Endpoint, id string) (BookingCheckResult, json.RawMessage) {
	status, body, _, err := get(ctx, r.serviceClient.unpooled, endpoint, "/orders/"+id)
	switch {
	case err != nil:
		return BookingCheckFailed, nil
	case status == http.StatusOK:
		return BookingFound, normalizeReceipt(body, nil)
	case status == http.StatusNotFound:
		return BookingAbsent, nil
	case status == http.StatusMethodNotAllowed:
		return BookingCheckUnsupported, nil
	default:
		return BookingCheckFailed, nil
	}
}
