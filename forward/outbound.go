package forward

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/hibiscusstair/hibiscusstair/registry"
)

// connectionHeaders concern one connection only (RFC 9110, section 7.6.1).
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// forwardable copies a header without what concerns one connection only.
func forwardable(header http.Header) http.Header {
	copied := header.Clone()
	for _, line := range header.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		copied.Del(name)
	}
	return copied
}

// outbound builds the request to an endpoint: the caller's method, target and
// body unchanged, and what the system adds.
func (h *Handler) outbound(ctx context.Context, req *request, endpoint registry.Endpoint, a Attempt) *http.Request {
	a.Endpoint = endpoint.ID
	a.Account = req.account
	a.RemainingTime = h.remaining(req)
	header := forwardable(req.inbound.Header)
	header.Del("Content-Length")
	if _, sent := header["User-Agent"]; !sent {
		// An empty value keeps net/http from adding its own.
		header["User-Agent"] = []string{""}
	}
	h.o.Protocol.EncodeAttempt(header, a)
	_, query, _ := strings.Cut(req.inbound.RequestURI, "?")
	out := &http.Request{
		Method: req.inbound.Method,
		URL: &url.URL{
			Scheme: "http", Host: endpoint.Address, Opaque: req.target,
			RawQuery: query, ForceQuery: strings.HasSuffix(req.inbound.RequestURI, "?"),
		},
		Host:   req.inbound.Host,
		Header: header,
	}
	if len(req.body) > 0 {
		// Without GetBody net/http cannot send the body again.
		out.Body = bodyOnce{bytes.NewReader(req.body)}
		out.ContentLength = int64(len(req.body))
	}
	return out.WithContext(ctx)
}

// bodyOnce is a request body that can be read once.
type bodyOnce struct{ *bytes.Reader }

// Close does nothing; the body is in memory.
func (bodyOnce) Close() error { return nil }

// copyAnswerHeader copies the header of an endpoint's answer to the caller's.
func copyAnswerHeader(w http.ResponseWriter, header http.Header) {
	to := w.Header()
	for name, values := range forwardable(header) {
		to[name] = values
	}
	if _, ok := to["Date"]; !ok {
		to["Date"] = nil
	}
}
