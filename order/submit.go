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

// replySlack is how much longer than its deadline a call waits for the core.
const replySlack = time.Second

func (r *Runner) postOrder(ctx context.Context, c *call) error {
	key, body, err := r.readOrder(c)
	if err != nil {
		return err
	}
	if err := r.mayStart(); err != nil {
		return err
	}
	if err := r.format.wait(ctx); err != nil {
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
		Kind: api.KindService, Account: c.account.ID, Priority: api.PriorityOrder, Bytes: len(body),
	})
	p := &pending{reply: make(chan ReplyToCaller, 1), body: body, endpoint: grant.Endpoint, account: c.account.ID}
	var refusal *reason.Error
	if placeErr != nil {
		refusal = reason.From(placeErr).WithRun(reason.RunNo)
	} else {
		p.grant = holdGrant(r.options.Placer, grant.ID)
		defer p.grant.release()
	}
	reply, err := r.submit(c, key, p, refusal)
	if err != nil {
		return err
	}
	if reply.Refusal != nil {
		return reply.Refusal
	}
	return answer(c, key, reply.Claim)
}

func (r *Runner) readOrder(c *call) (key string, body []byte, err error) {
	key = c.r.Header.Get("Idempotency-Key")
	if key == "" {
		return "", nil, reason.New(reason.KeyRequired, "an order needs an Idempotency-Key").WithField("Idempotency-Key")
	}
	if err := checkKey(key, "Idempotency-Key"); err != nil {
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

func (r *Runner) submit(c *call, key string, p *pending, refusal *reason.Error) (ReplyToCaller, error) {
	op := r.nextOp.Add(1)
	claim := Claim{
		Digest: bodyDigest(p.body), ClaimID: rand.Text(), Instance: r.options.Instance,
		Incarnation: r.options.Incarnation, Endpoint: p.endpoint.ID, State: StateClaimed, UnixMilli: time.Now().UnixMilli(),
	}
	if r.bodies.Add(int64(len(p.body))) > maxBodies {
		r.dropBody(p)
		p.grant.release()
		return ReplyToCaller{}, reason.New(reason.Overloaded, "too many orders are waiting").WithRetryAfter(time.Second)
	}
	event := OrderSubmitted{OpID: op, OrderID: DeriveID(c.account.ID, key), Claim: claim, Deadline: c.deadline, PlacementError: refusal}
	return r.await(c, op, p, event)
}

// await posts the event and waits for the core's reply.
func (r *Runner) await(c *call, op uint64, p *pending, event Event) (ReplyToCaller, error) {
	if !r.post(event, op, p) {
		return ReplyToCaller{}, reason.New(reason.Overloaded, "too many orders are waiting").WithRetryAfter(time.Second)
	}
	timer := time.NewTimer(c.deadline - r.options.Clock() + replySlack)
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

// answer replies to an order with its outcome.
func answer(c *call, key string, claim Claim) error {
	switch claim.State {
	case StateDone:
		httpapi.WriteJSON(c.w, http.StatusCreated, stateBody(key, claim))
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

func notRunReason(claim Claim) reason.Reason {
	if recorded := reason.Reason(claim.Reason); recorded.Help() != "" {
		return recorded
	}
	return reason.DispatchWindow
}

func (r *Runner) getOrder(ctx context.Context, c *call) error {
	key := c.r.PathValue("key")
	if err := checkKey(key, "key"); err != nil {
		return err
	}
	if err := r.format.wait(ctx); err != nil {
		return reason.From(err).WithRun(reason.RunUnknown)
	}
	op := r.nextOp.Add(1)
	p := &pending{reply: make(chan ReplyToCaller, 1)}
	reply, err := r.await(c, op, p, StateRequested{OpID: op, OrderID: DeriveID(c.account.ID, key), Deadline: c.deadline})
	if err != nil {
		return err
	}
	if reply.Refusal != nil {
		return reply.Refusal
	}
	httpapi.WriteJSON(c.w, http.StatusOK, stateBody(key, reply.Claim))
	return nil
}
