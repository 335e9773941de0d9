package forward

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/hibiscusstair/hibiscusstair/registry"
)

// hopByHopHeaders are the header fields that are not forwarded: those of a
// single connection (RFC 9110, section 7.6.1) or of a proxy, and Expect,
// because the body has already been read.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEndHeader copies a header without its hop-by-hop fields.
func endToEndHeader(header http.Header) http.Header {
	copied := header.Clone()
	for _, line := range header.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		copied.Del(name)
	}
	return copied
}

// buildRequest builds the request to an endpoint: the caller's method, path,
// query and body unchanged, its header without the hop-by-hop fields, plus the
// header fields of the attempt.
func (h *Handler) buildRequest(ctx context.Context, req *request, endpoint registry.Endpoint, a Attempt) *http.Request {
	a.Endpoint = endpoint.ID
	a.Account = req.account
	a.RemainingTime = h.remainingTime(req)
	header := endToEndHeader(req.inbound.Header)
	header.Del("Content-Length")
	if _, sent := header["User-Agent"]; !sent {
		// An empty value prevents net/http from adding its own User-Agent.
		header["User-Agent"] = []string{""}
	}
	h.o.Protocol.EncodeAttempt(header, a)
	_, query, _ := strings.Cut(req.inbound.RequestURI, "?")
	out := &http.Request{
		Method: req.inbound.Method,
		URL: &url.URL{
			Scheme: "http", Host: endpoint.Address, Opaque: req.path,
			RawQuery: query, ForceQuery: strings.HasSuffix(req.inbound.RequestURI, "?"),
		},
		Host:   req.inbound.Host,
		Header: header,
	}
	if len(req.body) > 0 {
		// Without GetBody net/http cannot resend the body.
		out.Body = singleUseBody{bytes.NewReader(req.body)}
		out.ContentLength = int64(len(req.body))
	}
	return out.WithContext(ctx)
}

// singleUseBody is a request body that can be read once.
type singleUseBody struct{ *bytes.Reader }

// Close does nothing; the body is in memory.
func (singleUseBody) Close() error { return nil }

// copyResponseHeader copies the end-to-end header fields of an endpoint's
// response to the response for the caller.
func copyResponseHeader(w http.ResponseWriter, header http.Header) {
	to := w.Header()
	for name, values := range endToEndHeader(header) {
		to[name] = values
	}
	if _, ok := to["Date"]; !ok {
		// A nil value prevents net/http from adding a Date of its own.
		to["Date"] = nil
	}
}
