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

// keyPattern limits keys and lookup ids to characters that need no escaping in
// a path or a log line, and to 128 of them.
var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._~:-]{1,128}$`)

// StateResponse is the answer to an order and to a question for its state.
type StateResponse struct {
	Key     string           `json:"key"`
	State   State            `json:"state"`
	Run     reason.RunStatus `json:"run"`
	Reason  string           `json:"reason,omitempty"`
	Receipt json.RawMessage  `json:"receipt,omitempty"`
}

// stateInProgress is reported for every claim without an outcome.
const stateInProgress State = "in_progress"

// Register adds the routes to the callers' mux.
func (r *Runner) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/orders", r.handle(r.postOrder))
	mux.HandleFunc("GET /v1/orders/{key}", r.handle(r.getOrder))
	mux.HandleFunc("GET /v1/lookups/{id}", r.handle(r.getLookup))
}

// call is one authenticated request.
type call struct {
	w        http.ResponseWriter
	r        *http.Request
	account  api.Account
	deadline time.Duration // boot clock
}

type handler func(ctx context.Context, c *call) error

func (r *Runner) handle(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		r.calls.Add(1)
		defer r.calls.Add(-1)
		if err := r.serve(w, request, next); err != nil {
			r.metrics.refused(err)
			httpapi.WriteError(w, err)
		}
	}
}

func (r *Runner) serve(w http.ResponseWriter, request *http.Request, next handler) error {
	config := r.options.Config()
	if config == nil || config.Ticket == 0 {
		return reason.New(reason.NotReady, "the instance has no configuration yet").WithRetryAfter(time.Second)
	}
	account, ok := r.account(config, httpapi.CredentialSHA256(httpapi.BearerToken(request)))
	if !ok || account.Half != r.options.Half {
		return reason.New(reason.Unauthenticated, "no account of this half has the credential")
	}
	timeout, err := r.timeout(request)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(request.Context(), timeout)
	defer cancel()
	return next(ctx, &call{w: w, r: request, account: account, deadline: r.options.Clock() + timeout})
}

func (r *Runner) timeout(request *http.Request) (time.Duration, error) {
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

func checkKey(key, field string) error {
	if keyPattern.MatchString(key) {
		return nil
	}
	return reason.New(reason.BadRequest, "%s has to match %s", field, keyPattern).WithField(field)
}

func stateBody(key string, claim Claim) StateResponse {
	body := StateResponse{Key: key, State: claim.State, Run: runOf(claim.State), Reason: claim.Reason, Receipt: claim.Receipt}
	if !claim.State.Final() {
		body.State = stateInProgress
	}
	return body
}

func runOf(s State) reason.RunStatus {
	switch s {
	case StateDone:
		return reason.RunYes
	case StateNotRun, StateRejected:
		return reason.RunNo
	default:
		return reason.RunUnknown
	}
}
