package peer

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// PathPrefix is the path prefix of the services. It is short because every
	// request contains it.
	PathPrefix = "/p"
	// maxMessageBytes bounds the body of a request or response. It has room for a
	// configuration snapshot (below 1 MB) with its tickets.
	maxMessageBytes = 4 << 20
)

// NewHandler returns the handler of the peer listener. It refuses and counts
// requests without a valid signature. relay, permits and rollouts are nil if the
// instance does not serve these services.
func NewHandler(server peerpb.Peer, relay peerpb.Relay, permits peerpb.Permits, rollouts peerpb.Rollouts, secret string, scope tally.Scope) http.Handler {
	mux := http.NewServeMux()
	prefix := twirp.WithServerPathPrefix(PathPrefix)
	services := []peerpb.TwirpServer{peerpb.NewPeerServer(server, prefix)}
	if relay != nil {
		services = append(services, peerpb.NewRelayServer(relay, prefix))
	}
	if permits != nil {
		services = append(services, peerpb.NewPermitsServer(permits, prefix))
	}
	if rollouts != nil {
		services = append(services, peerpb.NewRolloutsServer(rollouts, prefix))
	}
	for _, service := range services {
		mux.Handle(service.PathPrefix(), service)
	}
	h := &handler{
		next:    mux,
		signer:  signer{secret: []byte(secret), now: time.Now},
		refused: scope.Tagged(map[string]string{"reason": string(reason.PeerUnauthorized)}).Counter("refused"),
	}
	return h
}

// handler verifies requests, passes them to the twirp services, and signs the
// responses.
type handler struct {
	next    http.Handler
	signer  signer
	refused tally.Counter
}

func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Errors before the verification are sent without a signature; the caller
	// returns errInvalidSignature with their status.
	body, err := httpapi.ReadBody(w, r, maxMessageBytes)
	if err != nil {
		httpapi.WriteError(w, err)
		return
	}
	authValue := r.Header.Get(authHeader)
	if err := h.signer.verifyRequest(authValue, r.Method, r.URL.Path, body); err != nil {
		h.refused.Inc(1)
		httpapi.WriteError(w, err)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if r.Header.Get("Content-Type") == "" {
		r.Header.Set("Content-Type", "application/protobuf")
	}
	response := &responseBuffer{header: make(http.Header), status: http.StatusOK}
	h.next.ServeHTTP(response, r)
	h.writeSigned(w, authValue, response)
}

// writeSigned signs and sends a response.
func (h *handler) writeSigned(w http.ResponseWriter, authValue string, response *responseBuffer) {
	header := w.Header()
	// Instances do not need Date and Content-Type; omitting them saves about 70
	// bytes per response.
	header["Date"] = nil
	header["Content-Type"] = nil
	header.Set(authHeader, h.signer.signResponse(authValue, response.status, response.body.Bytes()))
	header.Set("Content-Length", strconv.Itoa(response.body.Len()))
	w.WriteHeader(response.status)
	_, _ = w.Write(response.body.Bytes())
}

// responseBuffer buffers a response until it is signed.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *responseBuffer) Header() http.Header         { return b.header }
func (b *responseBuffer) WriteHeader(status int)      { b.status = status }
func (b *responseBuffer) Write(p []byte) (int, error) { return b.body.Write(p) }
