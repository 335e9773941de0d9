package order

import (
	"context"
	"net/http"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// maxLookupAttempts bounds how often one lookup is sent.
const maxLookupAttempts = 4

func (r *Runner) getLookup(ctx context.Context, c *call) error {
	id := c.r.PathValue("id")
	if err := checkKey(id, "id"); err != nil {
		return err
	}
	if err := r.mayStart(); err != nil {
		return err
	}
	admission, err := r.options.Admitter.Admit(ctx, api.AdmissionRequest{
		Account: c.account.ID, Priority: api.PriorityLookup, Deadline: c.deadline,
	})
	if err != nil {
		return err
	}
	defer r.options.Admitter.Release(admission)
	answer, err := r.lookup(ctx, c, lookupPath(id))
	if err != nil {
		return err
	}
	answer.write(c.w)
	return nil
}

// lookupAnswer is a service's answer that is passed on to the caller.
type lookupAnswer struct {
	status      int
	contentType string
	body        []byte
}

func (a lookupAnswer) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", a.contentType)
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// lookup asks one endpoint after the other until one answers. A lookup is
// idempotent, so that a lost answer can be asked for again.
func (r *Runner) lookup(ctx context.Context, c *call, path string) (lookupAnswer, error) {
	var tried []api.EndpointID
	var last error
	for attempt := 0; attempt < maxLookupAttempts && ctx.Err() == nil; attempt++ {
		if attempt > 0 && !r.options.Admitter.TryRetry(api.PriorityLookup) {
			r.metrics.reasons.Inc(reason.RetryBudget)
			return lookupAnswer{}, last
		}
		grant, err := r.placeLookup(ctx, c, tried)
		if err != nil {
			return lookupAnswer{}, firstError(last, err)
		}
		answer, err := r.lookupOnce(ctx, grant, path, attempt)
		if err == nil {
			return answer, nil
		}
		r.metrics.retries.Inc(1)
		last = err
		tried = append(tried, grant.Endpoint.ID)
	}
	if ctx.Err() != nil {
		last = reason.New(reason.DeadlineExceeded, "no service answered in time").WithRun(reason.RunUnknown)
	}
	return lookupAnswer{}, last
}

// placeLookup prefers an endpoint that was not tried. If there is none, a new
// connection to one that was tried can still work.
func (r *Runner) placeLookup(ctx context.Context, c *call, tried []api.EndpointID) (api.Grant, error) {
	request := api.PlacementRequest{
		Kind: api.KindService, Account: c.account.ID, Priority: api.PriorityLookup, Exclude: tried,
	}
	grant, err := r.options.Placer.Place(ctx, request)
	if err == nil || len(tried) == 0 {
		return grant, err
	}
	request.Exclude = nil
	return r.options.Placer.Place(ctx, request)
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// lookupOnce asks one endpoint. A silent one gets half of the remaining time,
// so that another can be asked; a retry uses a new connection.
func (r *Runner) lookupOnce(ctx context.Context, grant api.Grant, path string, attempt int) (lookupAnswer, error) {
	client := r.services.lookups
	if attempt > 0 {
		client = r.services.fresh
	}
	if deadline, ok := ctx.Deadline(); ok && attempt < maxLookupAttempts-1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
	}
	status, body, header, err := get(ctx, client, grant.Endpoint, path)
	switch {
	case err != nil:
		r.options.Placer.Release(grant.ID, api.OutcomeSuspected)
		return lookupAnswer{}, reason.New(reason.EndpointUnreachable, "the service did not answer").WithRun(reason.RunUnknown)
	case status >= http.StatusInternalServerError || status == http.StatusTooManyRequests:
		r.options.Placer.Release(grant.ID, api.OutcomeRefused)
		return lookupAnswer{}, reason.New(reason.EndpointUnreachable, "the service answered with status %d", status).
			WithRun(reason.RunUnknown)
	}
	r.options.Placer.Release(grant.ID, api.OutcomeCompleted)
	return lookupAnswer{status: status, contentType: contentType(header), body: body}, nil
}

func contentType(header http.Header) string {
	if value := header.Get("Content-Type"); value != "" {
		return value
	}
	return "application/json"
}
