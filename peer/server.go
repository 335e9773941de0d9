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
	// PathPrefix is where the service is mounted. It is short because the path
	// is part of every message.
	PathPrefix = "/p"
	// maxMessageBytes bounds a message in either direction. It leaves room for
	// a snapshot of the configuration (below 1 MB) with its tickets.
	maxMessageBytes = 4 << 20
)

// NewHandler returns the handler of the peer listener. Messages without a valid
// signature are refused and counted. The relay is nil if the instance has none.
func NewHandler(server peerpb.Peer, relay peerpb.Relay, secret string, scope tally.Scope) http.Handler {
	mux := http.NewServeMux()
	prefix := twirp.WithServerPathPrefix(PathPrefix)
	services := []peerpb.TwirpServer{peerpb.NewPeerServer(server, prefix)}
	if relay != nil {
		services = append(services, peerpb.NewRelayServer(relay, prefix))
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

type handler struct {
	next    http.Handler
	signer  signer
	refused tally.Counter
}

func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := httpapi.ReadBody(w, r, maxMessageBytes)
	if err != nil {
		httpapi.WriteError(w, err)
		return
	}
	signature := r.Header.Get(authHeader)
	if err := h.signer.verifyRequest(signature, r.Method, r.URL.Path, body); err != nil {
		h.refused.Inc(1)
		httpapi.WriteError(w, err)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if r.Header.Get("Content-Type") == "" {
		r.Header.Set("Content-Type", "application/protobuf")
	}
	answer := &responseBuffer{header: make(http.Header), status: http.StatusOK}
	h.next.ServeHTTP(answer, r)
	h.write(w, signature, answer)
}

func (h *handler) write(w http.ResponseWriter, signature string, answer *responseBuffer) {
	header := w.Header()
	// Date and Content-Type are not needed between instances; leaving them out
	// saves about 70 bytes of each answer.
	header["Date"] = nil
	header["Content-Type"] = nil
	header.Set(authHeader, h.signer.signResponse(signature, answer.status, answer.body.Bytes()))
	header.Set("Content-Length", strconv.Itoa(answer.body.Len()))
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body.Bytes())
}

// responseBuffer holds an answer until it is signed.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *responseBuffer) Header() http.Header         { return b.header }
func (b *responseBuffer) WriteHeader(status int)      { b.status = status }
func (b *responseBuffer) Write(p []byte) (int, error) { return b.body.Write(p) }
