package order

import (
	"context"
	"encoding/json"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// keyPattern limits idempotency keys and lookup IDs to at most 128 characters,
// none of which needs escaping in a path or a log line.
var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._~:-]{1,128}$`)

// StateResponse is the response body for an order and for a request for the state
// of an order.
type StateResponse struct {
	Key     string           `json:"key"`
	State   State            `json:"state"`
	Run     reason.RunStatus `json:"run"`
	Reason  string           `json:"reason,omitempty"`
	Receipt json.RawMessage  `json:"receipt,omitempty"`
}

// stateInProgress is reported to callers for every claim without an outcome.
const stateInProgress State = "in_progress"

// Register adds the routes for orders and lookups to the mux for callers.
func (r *Runner) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/orders", r.httpHandler(r.postOrder))
	mux.HandleFunc("GET /v1/orders/{key}", r.httpHandler(r.getOrder))
	mux.HandleFunc("GET /v1/lookups/{id}", r.httpHandler(r.getLookup))
}

// callerRequest is one authenticated request of a caller.
type callerRequest struct {
	w        http.ResponseWriter
	r        *http.Request
	account  api.Account
	deadline time.Duration // boot clock
}

type handler func(ctx context.Context, c *callerRequest) error

// httpHandler wraps a handler: it counts the request in activeRequests and
// writes an error response if the handler returns an error.
func (r *Runner) httpHandler(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		r.activeRequests.Add(1)
		defer r.activeRequests.Add(-1)
		if err := r.authenticateAndServe(w, request, next); err != nil {
			r.metrics.countRefusal(err)
			httpapi.WriteError(w, err)
		}
	}
}

func (r *Runner) authenticateAndServe(w http.ResponseWriter, request *http.Request, next handler) error {
	config := r.options.Config()
	if config == nil || config.Ticket == 0 {
		return reason.New(reason.NotReady, "the instance has no configuration yet").WithRetryAfter(time.Second)
	}
	account, ok := r.account(config, httpapi.CredentialSHA256(httpapi.BearerToken(request)))
	if !ok || account.Half != r.options.Half {
		return reason.New(reason.Unauthenticated, "no account of this half has the credential")
	}
	timeout, err := r.requestTimeout(request)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(request.Context(), timeout)
	defer cancel()
	return next(ctx, &callerRequest{w: w, r: request, account: account, deadline: r.options.Clock() + timeout})
}

// requestTimeout returns the timeout that the request asks for, or the default.
func (r *Runner) requestTimeout(request *http.Request) (time.Duration, error) {
	text := request.Header.Get("Request-Timeout-Ms")
	if text == "" {
		return r.options.RequestTimeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > r.options.MaxTimeout.Milliseconds() {
		return 0, reason.New(reason.BadRequest, "Request-Timeout-Ms has to be a whole number from 1 to %d",
			r.options.MaxTimeout.Milliseconds()).WithField("Request-Timeout-Ms")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func validateKey(key, field string) error {
	if keyPattern.MatchString(key) {
		return nil
	}
	return reason.New(reason.BadRequest, "%s has to match %s", field, keyPattern).WithField(field)
}

func newStateResponse(key string, claim Claim) StateResponse {
	body := StateResponse{Key: key, State: claim.State, Run: runStatus(claim.State), Reason: claim.Reason, Receipt: claim.Receipt}
	if !claim.State.HasOutcome() {
		body.State = stateInProgress
	}
	return body
}

func runStatus(s State) reason.RunStatus {
	switch s {
	case StateDone:
		return reason.RunYes
	case StateNotRun, StateRejected:
		return reason.RunNo
	default:
		return reason.RunUnknown
	}
}
