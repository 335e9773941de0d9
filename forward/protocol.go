package forward

import (
	"net/http"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// RequestInfo holds the decoded header fields of a caller's request.
type RequestInfo struct {
	// ID identifies the request; a retry by the caller has another ID.
	ID     string
	APIKey string // of the client account; "" if none was sent
	// Timeout is how long the caller waits for the response; 0 is not stated.
	Timeout time.Duration
	// LastEventID is the ID of the last event of an earlier response that the
	// caller received.
	LastEventID string
	// LastPartID identifies the last part of the prompt, which is specific to
	// the request or its session; "" is unknown.
	LastPartID string
	// SharedPartIDs identify the parts of the prompt before the last, which
	// requests of other sessions may have too.
	SharedPartIDs []string
	// PromptTokens and OutputTokens are the sizes of a generation; 0 is
	// unknown.
	PromptTokens int
	OutputTokens int
}

// TotalTokens is the KV cache size that a generation needs at its end, in
// tokens.
func (r RequestInfo) TotalTokens() int { return r.PromptTokens + r.OutputTokens }

// Attempt holds the header fields that the instance adds when it sends a
// request to one endpoint.
type Attempt struct {
	Endpoint api.EndpointID
	Account  api.AccountID // "" if the request is anonymous
	// RemainingTime is the time until the deadline; 0 is no deadline.
	RemainingTime time.Duration
	// LastEventID is the event after which the response continues; if it is "",
	// the response starts at the beginning.
	LastEventID string
	// BackupTargetAddress is the address of the engine that is to keep a backup
	// of the KV cache; "" is none.
	BackupTargetAddress string
	// BackupSourceAddress is the address of the engine whose backup is used,
	// and BackupSourceRequestID the request that it belongs to there; if they
	// are "", the engine prefills the prompt.
	BackupSourceAddress   string
	BackupSourceRequestID string
	// QueueRank orders the attempts in an engine's queue: rank 1 is admitted
	// first, lowestQueueRank last. 0 leaves the order to the engine.
	QueueRank int
}

// ResponseInfo holds the decoded header fields of an endpoint's response.
type ResponseInfo struct {
	// ID is the request that the response belongs to; "" if it is not stated.
	ID string
	// NotExecuted is true if the endpoint did not run the request.
	NotExecuted bool
	// Misdirected is true if another endpoint now has the address; AnsweredBy is its
	// identifier, "" if it is not stated.
	Misdirected bool
	AnsweredBy  api.EndpointID
	// Signed is true if the response carries the endpoint's signature.
	Signed bool
	// Leaving is true if the endpoint says that it leaves.
	Leaving bool
	// RetryAfter is the time for which an endpoint that rejected the request wants
	// none of this instance; 0 is none. RetryAfterErr says that it could not be read.
	RetryAfter    time.Duration
	RetryAfterErr error
	// RateLimit is the limit that the endpoint names; RateLimitErr says that it
	// could not be read.
	RateLimit    RateLimit
	RateLimitErr error
}

// RateLimit is the rate of requests that an endpoint takes from all instances
// together.
type RateLimit struct {
	Named     bool // false: the endpoint sets no limit
	PerSecond float64
}

// Protocol translates between HTTP headers and the types of this package.
type Protocol interface {
	// DecodeRequest reads the header of a caller's request. If a field is invalid,
	// it returns an error and the fields read before it.
	DecodeRequest(r *http.Request) (RequestInfo, error)
	// EncodeAttempt sets the header fields of an attempt and removes reserved
	// fields that the caller sent.
	EncodeAttempt(header http.Header, a Attempt)
	DecodeResponse(r *http.Response) ResponseInfo
	// WriteRefusal writes an error response of the instance itself.
	WriteRefusal(w http.ResponseWriter, info RequestInfo, err *reason.Error)
}
