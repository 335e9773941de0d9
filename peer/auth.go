// Package peer implements the transport between instances: it signs and verifies
// the requests and responses of the twirp services in peerpb, pools connections,
// and counts the bytes on them. It also ranks instances by rendezvous hashing.
package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// authHeader carries the time and signature of a request, or the signature of
	// a response.
	authHeader = "Authorization"
	// maxSkew bounds the age of a signed request plus the difference between the
	// wall clocks of two instances. It limits how long a recorded request can be
	// replayed; all requests are also idempotent.
	maxSkew = 60 * time.Second
	// macBytes is the length of the truncated signature. 128 bits keep the header
	// short and cannot be guessed in practice.
	macBytes = 16
)

var errInvalidSignature = errors.New("peer: response has no valid signature")

// signer computes the signatures of requests and responses with a shared secret, and
// verifies those of requests. signedTransport verifies those of responses.
type signer struct {
	secret []byte
	now    func() time.Time
}

// mac returns the truncated HMAC-SHA256 of the parts in base64.
func (s signer) mac(parts ...string) string {
	h := hmac.New(sha256.New, s.secret)
	for _, part := range parts {
		// The length prefix makes the encoding unambiguous: without it, different
		// parts with the same concatenation would have the same signature.
		h.Write([]byte(strconv.Itoa(len(part))))
		h.Write([]byte{':'})
		h.Write([]byte(part))
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:macBytes])
}

// bodyDigest returns the SHA-256 digest of a body.
func bodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return string(sum[:])
}

// signRequest returns the value of authHeader for a request.
func (s signer) signRequest(method, path string, body []byte) string {
	at := strconv.FormatInt(s.now().UnixMilli(), 36)
	return at + "." + s.mac("request", method, path, bodyDigest(body), at)
}

// verifyRequest checks the signature and the time in authHeader of a request.
func (s signer) verifyRequest(header, method, path string, body []byte) error {
	at, mac, ok := strings.Cut(header, ".")
	if !ok {
		return reason.New(reason.PeerUnauthorized, "the message is not signed")
	}
	want := s.mac("request", method, path, bodyDigest(body), at)
	if !hmac.Equal([]byte(want), []byte(mac)) {
		return reason.New(reason.PeerUnauthorized, "the signature does not belong to the message")
	}
	ms, err := strconv.ParseInt(at, 36, 64)
	if err != nil {
		return reason.New(reason.PeerUnauthorized, "the time of the message is malformed")
	}
	if skew := s.now().Sub(time.UnixMilli(ms)).Abs(); skew > maxSkew {
		return reason.New(reason.PeerUnauthorized, "the message's time differs by %s", skew.Round(time.Second))
	}
	return nil
}

// signResponse returns the value of authHeader for a response. The signature covers
// the value of authHeader of the request, so that a recorded response is not valid
// for another request.
func (s signer) signResponse(requestAuth string, status int, body []byte) string {
	return s.mac("response", requestAuth, strconv.Itoa(status), bodyDigest(body))
}
