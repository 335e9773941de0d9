// Package peer connects instances: it signs and checks the messages of the
// twirp service, pools connections and counts the bytes on them.
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
	// authHeader carries the time and the signature of a message.
	authHeader = "Authorization"
	// maxSkew bounds the age of a signed message and the difference between
	// two instances' wall clocks. It limits how long a recorded message can be
	// sent again; all messages are also safe to repeat.
	maxSkew = 60 * time.Second
	// macBytes is the length that a signature is cut to; 128 bits keep the
	// header short and leave no practical chance to guess it.
	macBytes = 16
)

var errInvalidSignature = errors.New("peer: the answer has no valid signature")

// signer computes the signatures of requests and answers.
type signer struct {
	secret []byte
	now    func() time.Time
}

func (s signer) mac(parts ...string) string {
	h := hmac.New(sha256.New, s.secret)
	for _, part := range parts {
		// The length in front of each part keeps two divisions of the same
		// bytes apart.
		h.Write([]byte(strconv.Itoa(len(part))))
		h.Write([]byte{':'})
		h.Write([]byte(part))
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:macBytes])
}

func bodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return string(sum[:])
}

// signRequest returns the header value for a signRequest.
func (s signer) signRequest(method, path string, body []byte) string {
	at := strconv.FormatInt(s.now().UnixMilli(), 36)
	return at + "." + s.mac("request", method, path, bodyDigest(body), at)
}

// verifyRequest verifies the header of a request.
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

// signResponse returns the signature of an answer. It covers the request's header,
// so that a recorded answer does not fit another request.
func (s signer) signResponse(requestHeader string, status int, body []byte) string {
	return s.mac("response", requestHeader, strconv.Itoa(status), bodyDigest(body))
}
