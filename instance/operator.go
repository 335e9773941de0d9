package instance

import (
	"crypto/subtle"
	"net/http"

	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// readiness is the body of /readyz.
type readiness struct {
	Ready  bool          `json:"ready"`
	Reason reason.Reason `json:"reason,omitempty"`
	Ticket uint64        `json:"ticket"`
}

func (i *Instance) serveReadyz(w http.ResponseWriter, _ *http.Request) {
	config := i.ticket.Config()
	state := readiness{Ready: true}
	if config != nil {
		state.Ticket = config.Ticket
	}
	if err := i.checkServing(); err != nil {
		state.Ready = false
		state.Reason = reason.From(err).Reason
		httpapi.WriteJSON(w, http.StatusServiceUnavailable, state)
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, state)
}

// checkServing returns nil if new requests may start: the instance is not draining,
// its membership in the fleet is confirmed by the store or a peer, and it has a
// configuration. Otherwise it
// returns the reason.
func (i *Instance) checkServing() error {
	if i.draining.Load() {
		return reason.New(reason.ShuttingDown, "the instance is draining")
	}
	if err := i.fleet.CheckServing(); err != nil {
		return err
	}
	if !i.ticket.Ready() {
		return reason.New(reason.NotReady, "no configuration from the store or a peer yet")
	}
	return nil
}

// requireOperatorToken wraps a handler that accepts only requests with the
// operators' bearer token.
func (i *Instance) requireOperatorToken(next http.HandlerFunc) http.HandlerFunc {
	want := []byte(i.settings.OperatorTokenSHA256)
	return func(w http.ResponseWriter, r *http.Request) {
		have := []byte(httpapi.CredentialSHA256(httpapi.BearerToken(r)))
		if subtle.ConstantTimeCompare(want, have) != 1 {
			httpapi.WriteError(w, reason.New(reason.Unauthenticated, "the operators' bearer token is needed"))
			return
		}
		next(w, r)
	}
}

func (i *Instance) serveEndpoints(w http.ResponseWriter, _ *http.Request) {
	httpapi.WriteJSON(w, http.StatusOK, i.placement.Endpoints())
}

func (i *Instance) serveEngineControl(w http.ResponseWriter, _ *http.Request) {
	httpapi.WriteJSON(w, http.StatusOK, i.enginectl.Status())
}

func (i *Instance) registerOperatorRoutes() {
	mux := i.operatorMux
	mux.Handle("GET /metrics", i.metrics.Handler())
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", i.serveReadyz)
	mux.HandleFunc("GET /v1/endpoints", i.requireOperatorToken(i.serveEndpoints))
	mux.HandleFunc("GET /v1/enginectl", i.requireOperatorToken(i.serveEngineControl))
	mux.HandleFunc("GET /v1/streams", i.requireOperatorToken(i.generation.ResumedStreamsHandler().ServeHTTP))
	mux.HandleFunc("GET /v1/requests/{id}", i.requireOperatorToken(i.generation.TraceHandler().ServeHTTP))
	i.ticket.Register(mux)
}
