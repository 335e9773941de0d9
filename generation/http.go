package generation

import (
	"net/http"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// generationHeader tells the caller the ID for GET /v1/requests/{id}.
	generationHeader = "Generation-Id"
	// unavailableRetryAfter is the Retry-After of an instance that is starting,
	// stopping or overloaded.
	unavailableRetryAfter = time.Second
	// requestOverheadTokens is added to the tokens of each request in admission, so that
	// a prompt shorter than one token is not free.
	requestOverheadTokens = 1
)

// accountIndex finds an account by its credential.
type accountIndex struct {
	config             *api.Config
	byCredentialSHA256 map[string]api.Account
}

// authenticate returns the account that the request's credential belongs to.
func (r *Runner) authenticate(httpRequest *http.Request) (api.Account, error) {
	unknown := reason.New(reason.Unauthenticated, "no or an unknown credential")
	token := httpapi.BearerToken(httpRequest)
	config := r.o.Config()
	if config == nil || config.Ticket == 0 {
		return api.Account{}, reason.New(reason.NotReady, "no ticket is in force yet").WithRetryAfter(unavailableRetryAfter)
	}
	if token == "" {
		return api.Account{}, unknown
	}
	index := r.accountIndex.Load()
	if index == nil || index.config != config {
		index = &accountIndex{config: config, byCredentialSHA256: make(map[string]api.Account, len(config.Accounts))}
		for _, account := range config.Accounts {
			index.byCredentialSHA256[account.CredentialSHA256] = account
		}
		r.accountIndex.Store(index)
	}
	account, ok := index.byCredentialSHA256[httpapi.CredentialSHA256(token)]
	if !ok || account.Half != r.o.Half {
		return api.Account{}, unknown
	}
	return account, nil
}

// Handler serves POST /v1/completions.
func (r *Runner) Handler() http.Handler { return http.HandlerFunc(r.serveCompletion) }

func (r *Runner) serveCompletion(w http.ResponseWriter, httpRequest *http.Request) {
	r.activeRequests.Add(1)
	defer r.activeRequests.Add(-1)
	request, err := r.validateRequest(w, httpRequest)
	if err != nil {
		r.writeRefusal(w, err)
		return
	}
	w.Header().Set(generationHeader, request.Generation)
	admission, err := r.admit(httpRequest, request)
	if err != nil {
		r.traces.addRefusal(r.o.Clock(), request.Generation, reason.From(err).Reason)
		r.writeRefusal(w, err)
		return
	}
	defer r.o.Admitter.Release(admission)
	conn := newCallerConnection(r.nextConnectionID.Add(1), request.Stream)
	r.registerConnection(conn)
	defer r.unregisterConnection(conn)
	if !r.events.TryPut(CallerConnected{Conn: conn.id, Request: request}) {
		r.writeRefusal(w, reason.New(reason.Overloaded, "the event ring is full").WithRetryAfter(unavailableRetryAfter))
		return
	}
	s := newResponseWriter(r, w, httpRequest, request, conn)
	s.run()
}

func (r *Runner) writeRefusal(w http.ResponseWriter, err error) {
	refusal := reason.From(err)
	r.metrics.countError(refusal)
	httpapi.WriteError(w, refusal)
}

// validateRequest authenticates and parses a request. It makes all checks that do
// not need admission.
func (r *Runner) validateRequest(w http.ResponseWriter, httpRequest *http.Request) (*Request, error) {
	account, err := r.authenticate(httpRequest)
	if err != nil {
		return nil, err
	}
	if err := r.checkAccepting(); err != nil {
		return nil, err
	}
	h, err := r.parseHeaders(httpRequest.Header)
	if err != nil {
		return nil, err
	}
	data, err := httpapi.ReadBody(w, httpRequest, r.o.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	body, err := parseBody(data, r.o.MaxTokens)
	if err != nil {
		return nil, err
	}
	request, err := r.newRequest(account, body, h)
	if err != nil {
		return nil, err
	}
	if !r.isModelServed(request.Model) {
		return nil, reason.New(reason.ModelUnknown, "no configured endpoint serves the model, version and adapter").WithField("model")
	}
	return request, nil
}

// checkAccepting returns an error if the instance does not accept new requests.
func (r *Runner) checkAccepting() error {
	select {
	case <-r.started:
	default:
		return reason.New(reason.NotReady, "the instance starts").WithRetryAfter(unavailableRetryAfter)
	}
	if r.draining.Load() || r.ctx.Err() != nil {
		return reason.New(reason.ShuttingDown, "the instance is draining").WithRetryAfter(unavailableRetryAfter)
	}
	if r.o.CheckServing != nil {
		return r.o.CheckServing()
	}
	return nil
}

func (r *Runner) isModelServed(model api.ModelRef) bool {
	for _, endpoint := range r.o.Config().Endpoints {
		if endpoint.Kind == api.KindEngine && endpoint.Half == r.o.Half && endpoint.Serves(model) {
			return true
		}
	}
	return false
}

func (r *Runner) admit(httpRequest *http.Request, request *Request) (api.Admission, error) {
	if r.o.Marks.IsolationLevel(request.Digest) == api.IsolationRefused {
		return api.Admission{}, reason.New(reason.CrashSuspect, "engines died while they ran this content")
	}
	return r.o.Admitter.Admit(httpRequest.Context(), api.AdmissionRequest{
		Account:  request.Account,
		Priority: request.Priority,
		Tokens:   request.MaxTokens + len(request.Prompt)/promptBytesPerToken + requestOverheadTokens,
		Deadline: request.Deadline,
	})
}

func (r *Runner) registerConnection(conn *callerConnection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections[conn.id] = conn
}

func (r *Runner) unregisterConnection(conn *callerConnection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, conn.id)
}
