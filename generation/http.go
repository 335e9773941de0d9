package generation

import (
	"net/http"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// generationHeader tells the caller the id to ask GET /v1/requests/{id} for.
	generationHeader = "Generation-Id"
	// drainRetryAfter is the advice to callers of an instance that stops.
	drainRetryAfter = time.Second
	// promptTokenFloor is the least that a prompt counts in admission.
	promptTokenFloor = 1
)

// accountIndex finds an account by its credential.
type accountIndex struct {
	config  *api.Config
	byToken map[string]api.Account
}

// account authenticates a caller.
func (r *Runner) account(request *http.Request) (api.Account, error) {
	unknown := reason.New(reason.Unauthenticated, "no or an unknown credential")
	token := httpapi.BearerToken(request)
	config := r.o.Config()
	if config == nil || config.Ticket == 0 {
		return api.Account{}, reason.New(reason.NotReady, "no ticket is in force yet").WithRetryAfter(drainRetryAfter)
	}
	if token == "" {
		return api.Account{}, unknown
	}
	index := r.accounts.Load()
	if index == nil || index.config != config {
		index = &accountIndex{config: config, byToken: make(map[string]api.Account, len(config.Accounts))}
		for _, account := range config.Accounts {
			index.byToken[account.CredentialSHA256] = account
		}
		r.accounts.Store(index)
	}
	account, ok := index.byToken[httpapi.CredentialSHA256(token)]
	if !ok || account.Half != r.o.Half {
		return api.Account{}, unknown
	}
	return account, nil
}

// Handler serves POST /v1/completions.
func (r *Runner) Handler() http.Handler { return http.HandlerFunc(r.serve) }

func (r *Runner) serve(w http.ResponseWriter, request *http.Request) {
	r.active.Add(1)
	defer r.active.Add(-1)
	checked, err := r.accept(w, request)
	if err != nil {
		r.refuse(w, err)
		return
	}
	w.Header().Set(generationHeader, checked.Generation)
	admission, err := r.admit(request, checked)
	if err != nil {
		r.traces.refused(r.o.Clock(), checked.Generation, reason.From(err).Reason)
		r.refuse(w, err)
		return
	}
	defer r.o.Admitter.Release(admission)
	conn := newConnection(r.nextConn.Add(1), checked.Stream)
	r.register(conn)
	defer r.unregister(conn)
	if !r.events.Offer(Start{Conn: conn.id, Request: checked}) {
		r.refuse(w, reason.New(reason.Overloaded, "the event ring is full").WithRetryAfter(drainRetryAfter))
		return
	}
	s := newSender(r, w, request, checked, conn)
	s.run()
}

func (r *Runner) refuse(w http.ResponseWriter, err error) {
	typed := reason.From(err)
	r.metrics.refused(typed)
	httpapi.WriteError(w, typed)
}

// accept checks everything that needs no resources.
func (r *Runner) accept(w http.ResponseWriter, request *http.Request) (*Request, error) {
	account, err := r.account(request)
	if err != nil {
		return nil, err
	}
	if err := r.open(); err != nil {
		return nil, err
	}
	h, err := r.parseHeaders(request.Header)
	if err != nil {
		return nil, err
	}
	data, err := httpapi.ReadBody(w, request, r.o.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	body, err := parseBody(data, r.o.MaxTokens)
	if err != nil {
		return nil, err
	}
	checked, err := r.newRequest(account, body, h)
	if err != nil {
		return nil, err
	}
	if !r.served(checked.Model) {
		return nil, reason.New(reason.ModelUnknown, "no configured endpoint serves the model, version and adapter").WithField("model")
	}
	return checked, nil
}

// open reports whether new work may start.
func (r *Runner) open() error {
	select {
	case <-r.ready:
	default:
		return reason.New(reason.NotReady, "the instance starts").WithRetryAfter(drainRetryAfter)
	}
	if r.draining.Load() || r.ctx.Err() != nil {
		return reason.New(reason.ShuttingDown, "the instance is draining").WithRetryAfter(drainRetryAfter)
	}
	if r.o.Gate != nil {
		return r.o.Gate()
	}
	return nil
}

func (r *Runner) served(model api.ModelRef) bool {
	for _, endpoint := range r.o.Config().Endpoints {
		if endpoint.Kind == api.KindEngine && endpoint.Half == r.o.Half && endpoint.Serves(model) {
			return true
		}
	}
	return false
}

func (r *Runner) admit(request *http.Request, checked *Request) (api.Admission, error) {
	if r.o.Marks.IsolationLevel(checked.Digest) == api.IsolationRefused {
		return api.Admission{}, reason.New(reason.CrashSuspect, "engines died while they ran this content")
	}
	return r.o.Admitter.Admit(request.Context(), api.AdmissionRequest{
		Account:  checked.Account,
		Priority: checked.Priority,
		Tokens:   checked.MaxTokens + len(checked.Prompt)/promptTokenBytes + promptTokenFloor,
		Deadline: checked.Deadline,
	})
}

func (r *Runner) register(conn *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[conn.id] = conn
}

func (r *Runner) unregister(conn *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn.id)
}
