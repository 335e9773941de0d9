package generation

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	maxIdempotencyKeyBytes = 256
	nonceBytes             = 8
	defaultTemperature     = 1.0
	maxTemperature         = 2.0
	maxModelNameBytes      = 128 // of model, version and adapter each
)

// completionBody is the body of POST /v1/completions.
type completionBody struct {
	Model        string   `json:"model"`
	Version      string   `json:"version"`
	Adapter      string   `json:"adapter"`
	Prompt       string   `json:"prompt"`
	MaxTokens    int      `json:"max_tokens"`
	Temperature  *float64 `json:"temperature"`
	Seed         *int64   `json:"seed"`
	Stream       bool     `json:"stream"`
	PrefixTokens []uint32 `json:"prefix_tokens"`
}

func newFieldError(field, format string, args ...any) error {
	return reason.New(reason.BadRequest, format, args...).WithField(field)
}

func parseBody(data []byte, maxTokens int) (*completionBody, error) {
	var body completionBody
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return nil, reason.New(reason.BadRequest, "the body is not a completion request: %s", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, reason.New(reason.BadRequest, "the body has data after the JSON object")
	}
	return &body, body.validate(maxTokens)
}

func (b *completionBody) validate(maxTokens int) error {
	switch {
	case b.Model == "" || len(b.Model) > maxModelNameBytes:
		return newFieldError("model", "model is required and has at most %d bytes", maxModelNameBytes)
	case len(b.Version) > maxModelNameBytes:
		return newFieldError("version", "version has at most %d bytes", maxModelNameBytes)
	case len(b.Adapter) > maxModelNameBytes:
		return newFieldError("adapter", "adapter has at most %d bytes", maxModelNameBytes)
	case b.Prompt == "":
		return newFieldError("prompt", "prompt is required")
	case b.MaxTokens < 1 || b.MaxTokens > maxTokens:
		return newFieldError("max_tokens", "max_tokens is between 1 and %d", maxTokens)
	case b.Temperature != nil && (math.IsNaN(*b.Temperature) || *b.Temperature < 0 || *b.Temperature > maxTemperature):
		return newFieldError("temperature", "temperature is between 0 and %g", maxTemperature)
	case len(b.PrefixTokens) > b.MaxTokens:
		return newFieldError("prefix_tokens", "prefix_tokens has at most max_tokens entries")
	}
	return nil
}

func (b *completionBody) canonical() canonicalRequest {
	temperature := defaultTemperature
	if b.Temperature != nil {
		temperature = *b.Temperature
	}
	return canonicalRequest{
		Model: b.Model, Version: b.Version, Adapter: b.Adapter, Prompt: b.Prompt,
		MaxTokens: b.MaxTokens, Temperature: temperature, Seed: b.Seed,
	}
}

// requestHeaders holds the validated headers of a request.
type requestHeaders struct {
	idempotencyKey string
	timeout        time.Duration
	lastEventID    *EventID
}

func (r *Runner) parseHeaders(h http.Header) (requestHeaders, error) {
	parsed := requestHeaders{idempotencyKey: h.Get("Idempotency-Key"), timeout: r.o.RequestTimeout}
	if len(parsed.idempotencyKey) > maxIdempotencyKeyBytes {
		return parsed, newFieldError("Idempotency-Key", "Idempotency-Key has at most %d bytes", maxIdempotencyKeyBytes)
	}
	if text := h.Get("Request-Timeout-Ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > r.o.MaxTimeout.Milliseconds() {
			return parsed, newFieldError("Request-Timeout-Ms", "Request-Timeout-Ms is between 1 and %d", r.o.MaxTimeout.Milliseconds())
		}
		parsed.timeout = time.Duration(ms) * time.Millisecond
	}
	if text := h.Get("Last-Event-ID"); text != "" {
		id, err := ParseEventID(text)
		if err != nil {
			return parsed, err
		}
		parsed.lastEventID = &id
	}
	return parsed, nil
}

// newRequest creates the request of a validated body and derives its generation
// ID. A Last-Event-ID from another account, key or body does not match that ID
// and is refused.
func (r *Runner) newRequest(account api.Account, body *completionBody, headers requestHeaders) (*Request, error) {
	canonical := body.canonical()
	digest := contentDigest(canonical)
	request := &Request{
		Account:      account.ID,
		Model:        api.ModelRef{Model: body.Model, Version: body.Version, Adapter: body.Adapter},
		Prompt:       body.Prompt,
		MaxTokens:    body.MaxTokens,
		Temperature:  canonical.Temperature,
		Priority:     account.Priority,
		Stream:       body.Stream,
		Digest:       digest,
		Deadline:     r.o.Clock() + headers.timeout,
		LastEventID:  headers.lastEventID,
		CallerPrefix: body.PrefixTokens,
	}
	switch {
	case headers.idempotencyKey != "":
	case headers.lastEventID != nil:
		request.Nonce = headers.lastEventID.Nonce
	default:
		request.Nonce = newNonce()
	}
	request.ConnectionSalt = newSalt()
	request.Generation = generationID(account.ID, headers.idempotencyKey, request.Nonce, digest)
	request.Seed = derivedSeed(request.Generation)
	if body.Seed != nil {
		request.Seed = *body.Seed
	}
	request.PrefixBlocks = prefixBlockHashes(request.Model, request.Prompt)
	return request, r.validateResume(request)
}

func (r *Runner) validateResume(request *Request) error {
	resume := request.LastEventID
	if resume == nil {
		if request.CallerPrefix != nil {
			return newFieldError("prefix_tokens", "prefix_tokens needs a Last-Event-ID to be checked against")
		}
		return nil
	}
	switch {
	case !request.Stream:
		return newFieldError("Last-Event-ID", "only a streamed answer can be resumed")
	case resume.Generation != request.Generation || resume.Position >= request.MaxTokens:
		return reason.New(reason.EventIDInvalid, "the Last-Event-ID does not belong to this account, key and body").WithField("Last-Event-ID")
	}
	config := r.o.Config()
	if config.MayServe(resume.Endpoint, r.o.Half, request.Account, request.Model) {
		endpoint := config.Endpoints[resume.Endpoint]
		request.ResumeEndpoint = &endpoint
	}
	return nil
}

func newSalt() uint32 {
	var salt [4]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(salt[:])
	return binary.BigEndian.Uint32(salt[:])
}

func newNonce() string {
	var nonce [nonceBytes]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(nonce[:])
	return hex.EncodeToString(nonce[:])
}
