// Package httpapi contains the helpers that all HTTP interfaces of an instance
// share: JSON error bodies, bearer tokens and size-limited request bodies.
package httpapi

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscusstair/hibiscusstair/reason"
)

// ErrorBody is the JSON body of every error response and of the error event of a
// stream.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the content of ErrorBody.
type ErrorDetail struct {
	Reason  reason.Reason    `json:"reason"`
	Run     reason.RunStatus `json:"run"`
	Message string           `json:"message"`
	Field   string           `json:"field,omitempty"`
}

// NewErrorBody returns the body that describes the error.
func NewErrorBody(e *reason.Error) ErrorBody {
	return ErrorBody{Error: ErrorDetail{Reason: e.Reason, Run: e.Run, Message: e.Message, Field: e.Field}}
}

// WriteError writes an error response with the status code of the error's reason
// and with Retry-After in whole seconds.
func WriteError(w http.ResponseWriter, err error) {
	typed := reason.From(err)
	if typed.RetryAfter > 0 {
		seconds := int(math.Ceil(typed.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	WriteJSON(w, typed.Reason.HTTPStatus(), NewErrorBody(typed))
}

// WriteJSON writes a JSON response. Write errors are ignored, since they mean that
// the caller closed the connection.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// BearerToken returns the token of the Authorization header, or "".
func BearerToken(r *http.Request) string {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// CredentialSHA256 returns the hash under which a bearer token is configured. For an
// empty token it returns "", which no configured hash equals: if an operator
// configures the hash of an unset variable, requests without a token must still
// be refused.
func CredentialSHA256(token string) string {
	if token == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// bodyTimeout is how long a sender may take for its body. A body of the
// default limit, 4 MiB, needs 140 KB/s.
const bodyTimeout = 30 * time.Second

// ReadBody reads a request body of at most limit bytes within bodyTimeout.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	return readBody(w, r, limit, bodyTimeout)
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	body, err := ReadBodyWithin(w, r, limit, timeout)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, reason.New(reason.BadRequest, "the body did not arrive within %s", timeout)
	}
	return body, err
}

// ReadBodyWithin reads a request body of at most limit bytes. It returns
// os.ErrDeadlineExceeded if the body has not arrived within the timeout, and a reason.Error
// for any other failure.
func ReadBodyWithin(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	// The deadline is cleared after the body, since a read deadline that passes
	// during a streamed response would cancel the request. Errors are ignored:
	// only the response writers of tests do not support deadlines.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	var refusal *reason.Error
	if errors.As(err, &refusal) {
		return nil, refusal // by the reader of the body
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, reason.New(reason.TooLarge, "the body is larger than %d bytes", limit)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, os.ErrDeadlineExceeded
	}
	return nil, reason.New(reason.BadRequest, "the body could not be read")
}
