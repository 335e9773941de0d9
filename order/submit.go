package order

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/store"
)

func (r *Runner) postOrder(ctx context.Context, c *call) error {
	key := c.r.Header.Get("Idempotency-Key")
	if key == "" {
		return reason.New(reason.KeyRequired, "an order needs an Idempotency-Key").WithField("Idempotency-Key")
	}
	if err := checkKey(key, "Idempotency-Key"); err != nil {
		return err
	}
	body, err := httpapi.ReadBody(c.w, c.r, r.options.MaxBodyBytes)
	if err != nil {
		return err
	}
	if !json.Valid(body) {
		return reason.New(reason.BadRequest, "the body has to be JSON").WithField("body")
	}
	if err := r.options.Gate(); err != nil {
		return err
	}
	admission, err := r.options.Admitter.Admit(ctx, api.AdmissionRequest{
		Account: c.account.ID, Priority: api.PriorityOrder, Deadline: c.deadline,
	})
	if err != nil {
		return err
	}
	defer r.options.Admitter.Release(admission)
	grant, err := r.options.Placer.Place(ctx, api.PlacementRequest{
		Kind: api.KindService, Account: c.account.ID, Priority: api.PriorityOrder, Bytes: len(body),
	})
	if err != nil {
		return err
	}
	outcome := api.OutcomeCompleted
	defer func() { r.options.Placer.Release(grant.ID, outcome) }()
	return r.runOrder(ctx, c, key, body, grant.Endpoint)
}

func (r *Runner) runOrder(ctx context.Context, c *call, key string, body []byte, endpoint api.Endpoint) error {
	start := r.options.Clock()
	id := orderID(c.account.ID, key)
	claim := Claim{
		Digest: bodyDigest(body), ClaimID: rand.Text(), Instance: r.options.Instance,
		Incarnation: r.options.Incarnation, Endpoint: endpoint.ID, State: StateClaimed, UnixMilli: time.Now().UnixMilli(),
	}
	revision, err := r.claims.Create(ctx, id, claim)
	if errors.Is(err, store.ErrConflict) {
		return r.recorded(ctx, c, key, id, claim.Digest)
	}
	if err != nil {
		return reason.New(reason.StoreUnavailable, "the claim could not be written").WithRetryAfter(time.Second)
	}
	mayWrite := func() error {
		if r.options.Clock()-start >= DispatchWindow || !r.options.Config().MayDispatch(endpoint.ID, r.options.Half) {
			return errNotSent
		}
		return nil
	}
	result, receipt, _ := send(ctx, outgoing{endpoint: endpoint, id: id, fence: revision, body: body, mayWrite: mayWrite})
	claim.State, claim.Receipt = outcomeOf(result), receipt
	_, _ = r.claims.Update(context.WithoutCancel(ctx), id, claim, revision)
	return answer(c, key, claim)
}

func (r *Runner) recorded(ctx context.Context, c *call, key, id, digest string) error {
	stored, err := r.claims.Read(ctx, id)
	if err != nil {
		return reason.New(reason.StoreUnavailable, "the claim could not be read").WithRun(reason.RunUnknown)
	}
	if stored.Digest != digest {
		return reason.New(reason.KeyReused, "the Idempotency-Key was used with another body")
	}
	return answer(c, key, stored.Claim)
}

func outcomeOf(result SendResult) State {
	switch result {
	case SendBooked:
		return StateDone
	case SendRejected:
		return StateRejected
	case SendSkipped, SendRefused:
		return StateNotRun
	default:
		return StateUnknown
	}
}

// answer replies to an order with its outcome.
func answer(c *call, key string, claim Claim) error {
	switch claim.State {
	case StateDone:
		httpapi.WriteJSON(c.w, http.StatusCreated, StateBody{Key: key, State: claim.State, Run: reason.RunYes, Receipt: claim.Receipt})
		return nil
	case StateRejected:
		return reason.New(reason.OrderRejected, "the service refused the order")
	case StateNotRun:
		return reason.New(reason.DispatchWindow, "the order was not sent")
	case StateUnknown:
		return reason.New(reason.OrderUnknown, "the order may have run; ask for its state").WithRun(reason.RunUnknown)
	default:
		return reason.New(reason.OrderInProgress, "the order is being dispatched").WithRun(reason.RunUnknown).WithRetryAfter(time.Second)
	}
}

func (r *Runner) getOrder(ctx context.Context, c *call) error {
	key := c.r.PathValue("key")
	if err := checkKey(key, "key"); err != nil {
		return err
	}
	stored, err := r.claims.Read(ctx, orderID(c.account.ID, key))
	if errors.Is(err, store.ErrNotFound) {
		return reason.New(reason.NotFound, "no order has the key")
	}
	if err != nil {
		return reason.New(reason.StoreUnavailable, "the claim could not be read").WithRun(reason.RunUnknown)
	}
	return writeStored(c, key, stored.Claim)
}
