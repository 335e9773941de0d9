package order

import (
	"context"
	"net/http"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// maxLookupAttempts bounds how many endpoints one lookup tries.
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
	for attempt := 0; attempt < maxLookupAttempts; attempt++ {
		if attempt > 0 && !r.options.Admitter.AllowRetry(api.PriorityLookup) {
			return lookupAnswer{}, reason.New(reason.RetryBudget, "the retry budget is used up").WithRun(reason.RunUnknown)
		}
		grant, err := r.options.Placer.Place(ctx, api.PlacementRequest{
			Kind: api.KindService, Account: c.account.ID, Priority: api.PriorityLookup, Exclude: tried,
		})
		if err != nil {
			return lookupAnswer{}, firstError(last, err)
		}
		answer, err := r.lookupOnce(ctx, grant, path)
		if err == nil {
			return answer, nil
		}
		last = err
		tried = append(tried, grant.Endpoint.ID)
		if ctx.Err() != nil {
			break
		}
	}
	return lookupAnswer{}, last
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

func (r *Runner) lookupOnce(ctx context.Context, grant api.Grant, path string) (lookupAnswer, error) {
	status, body, header, err := r.services.get(ctx, grant.Endpoint, path)
	switch {
	case err != nil:
		r.options.Placer.Release(grant.ID, api.OutcomeDied)
		return lookupAnswer{}, reason.New(reason.EndpointUnreachable, "the service did not answer").WithRun(reason.RunUnknown)
	case status >= http.StatusInternalServerError || status == http.StatusTooManyRequests:
		r.options.Placer.Release(grant.ID, api.OutcomeRefused)
		return lookupAnswer{}, reason.New(reason.EndpointUnreachable, "the service answered with status %d", status)
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
