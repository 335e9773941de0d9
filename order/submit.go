package order

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// replyGracePeriod is how much longer than the deadline of the caller a request
// waits for the core's reply. The core replies on its first tick after the deadline.
const replyGracePeriod = time.Second

func (r *Runner) postOrder(ctx context.Context, c *callerRequest) error {
	key, body, err := r.readOrder(c)
	if err != nil {
		return err
	}
	if err := r.checkAcceptsWork(); err != nil {
		return err
	}
	if err := r.claimFormat.waitUntilChecked(ctx); err != nil {
		return err
	}
	admission, err := r.options.Admitter.Admit(ctx, api.AdmissionRequest{
		Account: c.account.ID, Priority: api.PriorityOrder, Deadline: c.deadline,
	})
	if err != nil {
		return err
	}
	defer r.options.Admitter.Release(admission)
	grant, placeErr := r.options.Placer.Place(ctx, api.PlacementRequest{
		Kind: api.KindService, Account: c.account.ID, Priority: api.PriorityOrder, LinkBytes: len(body),
	})
	p := &pendingOperation{reply: make(chan ReplyToCaller, 1), body: body, endpoint: grant.Endpoint, account: c.account.ID}
	var placementError *reason.Error
	if placeErr != nil {
		placementError = reason.From(placeErr).WithRun(reason.RunNo)
	} else {
		p.grant = newGrantRef(r.options.Placer, grant.ID)
		defer p.grant.release()
	}
	reply, err := r.submitOrder(c, key, p, placementError)
	if err != nil {
		return err
	}
	if reply.Refusal != nil {
		return reply.Refusal
	}
	return writeOutcome(c, key, reply.Claim)
}

func (r *Runner) readOrder(c *callerRequest) (key string, body []byte, err error) {
	key = c.r.Header.Get("Idempotency-Key")
	if key == "" {
		return "", nil, reason.New(reason.KeyRequired, "an order needs an Idempotency-Key").WithField("Idempotency-Key")
	}
	if err := validateKey(key, "Idempotency-Key"); err != nil {
		return "", nil, err
	}
	body, err = httpapi.ReadBody(c.w, c.r, r.options.MaxBodyBytes)
	if err != nil {
		return "", nil, err
	}
	if !json.Valid(body) {
		return "", nil, reason.New(reason.BadRequest, "the body has to be JSON").WithField("body")
	}
	return key, body, nil
}

func (r *Runner) submitOrder(c *callerRequest, key string, p *pendingOperation, placementError *reason.Error) (ReplyToCaller, error) {
	opID := r.lastOpID.Add(1)
	claim := Claim{
		Digest: bodyDigest(p.body), ClaimID: rand.Text(), Instance: r.options.Instance,
		Incarnation: r.options.Incarnation, Endpoint: p.endpoint.ID, State: StateClaimed, UnixMilli: time.Now().UnixMilli(),
	}
	if r.unsentBodyBytes.Add(int64(len(p.body))) > maxUnsentBodyBytes {
		r.releaseBody(p)
		p.grant.release() // the core's reference
		return ReplyToCaller{}, reason.New(reason.Overloaded, "too many orders are waiting").WithRetryAfter(time.Second)
	}
	event := OrderSubmitted{OpID: opID, OrderID: DeriveID(c.account.ID, key), Claim: claim, Deadline: c.deadline, PlacementError: placementError}
	return r.awaitReply(c, opID, p, event)
}

// awaitReply queues the event and waits for the core's reply.
func (r *Runner) awaitReply(c *callerRequest, opID uint64, p *pendingOperation, event Event) (ReplyToCaller, error) {
	if !r.queueOperation(event, opID, p) {
		return ReplyToCaller{}, reason.New(reason.Overloaded, "too many orders are waiting").WithRetryAfter(time.Second)
	}
	timer := time.NewTimer(c.deadline - r.options.Clock() + replyGracePeriod)
	defer timer.Stop()
	unknown := reason.New(reason.OrderUnknown, "the order may have run; ask for its state").WithRun(reason.RunUnknown)
	select {
	case reply := <-p.reply:
		return reply, nil
	case <-c.r.Context().Done():
		return ReplyToCaller{}, reason.New(reason.CallerGone, "the caller closed its connection").WithRun(reason.RunUnknown)
	case <-r.stopped:
		return ReplyToCaller{}, unknown
	case <-timer.C:
		return ReplyToCaller{}, unknown
	}
}

// writeOutcome responds to an order with the outcome of its claim.
func writeOutcome(c *callerRequest, key string, claim Claim) error {
	switch claim.State {
	case StateDone:
		httpapi.WriteJSON(c.w, http.StatusCreated, newStateResponse(key, claim))
		return nil
	case StateRejected:
		return reason.New(reason.OrderRejected, "the service refused the order")
	case StateNotRun:
		return reason.New(notRunReason(claim), "the order was not run and the key is used up; send it with a new key")
	case StateUnknown:
		return reason.New(reason.OrderUnknown, "the order may have run; ask for its state").WithRun(reason.RunUnknown)
	default:
		return reason.New(reason.OrderInProgress, "the order is being dispatched").
			WithRun(reason.RunUnknown).WithRetryAfter(time.Second)
	}
}

// notRunReason returns the recorded reason of an order with StateNotRun. For a code
// that this version does not know, it returns DispatchWindow.
func notRunReason(claim Claim) reason.Reason {
	if recorded := reason.Reason(claim.Reason); recorded.Help() != "" {
		return recorded
	}
	return reason.DispatchWindow
}

func (r *Runner) getOrder(ctx context.Context, c *callerRequest) error {
	key := c.r.PathValue("key")
	if err := validateKey(key, "key"); err != nil {
		return err
	}
	if err := r.claimFormat.waitUntilChecked(ctx); err != nil {
		return reason.From(err).WithRun(reason.RunUnknown)
	}
	opID := r.lastOpID.Add(1)
	p := &pendingOperation{reply: make(chan ReplyToCaller, 1)}
	reply, err := r.awaitReply(c, opID, p, StateRequested{OpID: opID, OrderID: DeriveID(c.account.ID, key), Deadline: c.deadline})
	if err != nil {
		return err
	}
	if reply.Refusal != nil {
		return reply.Refusal
	}
	httpapi.WriteJSON(c.w, http.StatusOK, newStateResponse(key, reply.Claim))
	return nil
}
