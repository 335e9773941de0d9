package order

import (
	"context"
	"net/http"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// maxLookupAttempts bounds the attempts of one lookup.
const maxLookupAttempts = 4

func (r *Runner) getLookup(ctx context.Context, c *callerRequest) error {
	id := c.r.PathValue("id")
	if err := validateKey(id, "id"); err != nil {
		return err
	}
	if err := r.checkAcceptsWork(); err != nil {
		return err
	}
	admission, err := r.options.Admitter.Admit(ctx, api.AdmissionRequest{
		Account: c.account.ID, Priority: api.PriorityLookup, Deadline: c.deadline,
	})
	if err != nil {
		return err
	}
	defer r.options.Admitter.Release(admission)
	response, err := r.lookup(ctx, c, lookupPath(id))
	if err != nil {
		return err
	}
	response.write(c.w)
	return nil
}

// lookupResponse is a service's response that is passed on to the caller.
type lookupResponse struct {
	status      int
	contentType string
	body        []byte
}

func (l lookupResponse) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", l.contentType)
	w.WriteHeader(l.status)
	_, _ = w.Write(l.body)
}

// lookup sends the request to one endpoint after the other until one responds. It
// may retry after a lost response, because lookups are idempotent.
func (r *Runner) lookup(ctx context.Context, c *callerRequest, path string) (lookupResponse, error) {
	var tried []api.EndpointID
	var lastErr error
	for attempt := 0; attempt < maxLookupAttempts && ctx.Err() == nil; attempt++ {
		if attempt > 0 && !r.options.Admitter.TryRetry(api.PriorityLookup) {
			r.metrics.reasons.Inc(reason.RetryBudget) // the caller gets the error of the last attempt
			return lookupResponse{}, lastErr
		}
		grant, err := r.placeLookup(ctx, c, tried)
		if err != nil {
			return lookupResponse{}, firstError(lastErr, err)
		}
		response, err := r.tryLookup(ctx, grant, path, attempt)
		if err == nil {
			return response, nil
		}
		r.metrics.lookupFailures.Inc(1)
		lastErr = err
		tried = append(tried, grant.Endpoint.ID)
	}
	if ctx.Err() != nil {
		lastErr = reason.New(reason.DeadlineExceeded, "no service answered in time").WithRun(reason.RunUnknown)
	}
	return lookupResponse{}, lastErr
}

// placeLookup prefers an endpoint that was not tried. If there is none, it takes
// one that was tried, where a new connection can still succeed.
func (r *Runner) placeLookup(ctx context.Context, c *callerRequest, tried []api.EndpointID) (api.Grant, error) {
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

// tryLookup sends the request to one endpoint. Every attempt but the last gets
// half of the remaining time, so that another endpoint can be tried if this one
// does not respond. A retry uses a new connection.
func (r *Runner) tryLookup(ctx context.Context, grant api.Grant, path string, attempt int) (lookupResponse, error) {
	client := r.serviceClient.pooled
	if attempt > 0 {
		client = r.serviceClient.unpooled
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
		return lookupResponse{}, reason.New(reason.EndpointUnreachable, "the service did not answer").WithRun(reason.RunUnknown)
	case status >= http.StatusInternalServerError || status == http.StatusTooManyRequests:
		r.options.Placer.Release(grant.ID, api.OutcomeRefused)
		return lookupResponse{}, reason.New(reason.EndpointUnreachable, "the service answered with status %d", status).
			WithRun(reason.RunUnknown)
	}
	r.options.Placer.Release(grant.ID, api.OutcomeCompleted)
	return lookupResponse{status: status, contentType: contentType(header), body: body}, nil
}

func contentType(header http.Header) string {
	if value := header.Get("Content-Type"); value != "" {
		return value
	}
	return "application/json"
}
