package forward

import (
	"net/http"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// RequestInfo holds the decoded header fields of a caller's request.
type RequestInfo struct {
	// ID identifies this attempt of the caller; a retry by the caller has
	// another one.
	ID     string
	APIKey string // of the client account; "" if none was sent
	// Timeout is how long the caller waits for the response; 0 is not stated.
	Timeout time.Duration
	// LastEventID is the last event that the caller received of an earlier
	// response.
	LastEventID string
	// Session identifies the prompt's last part, which belongs to the request
	// or its session; "" is unknown.
	Session string
	// PromptTokens and OutputTokens are the sizes of a generation; 0 is
	// unknown.
	PromptTokens int
	OutputTokens int
}

// TotalTokens is the KV cache size that a generation needs at its end, in
// tokens.
func (c RequestInfo) TotalTokens() int { return c.PromptTokens + c.OutputTokens }

// Attempt holds the header fields that the instance adds to a request to an
// endpoint.
type Attempt struct {
	Endpoint api.EndpointID
	Account  api.AccountID // "" if the request is anonymous
	// RemainingTime is the time until the deadline; 0 is no deadline.
	RemainingTime time.Duration
	// LastEventID is the event after which the response continues; "" starts at
	// the beginning.
	LastEventID string
	// BackupAddress is the address of the engine that keeps a backup copy of
	// the KV cache; "" is none.
	BackupAddress string
	// CopyAddress is the address of the engine whose backup copy is used, and
	// CopyRequestID the request that it belongs to there; "" prefills the
	// prompt.
	CopyAddress   string
	CopyRequestID string
	// QueueRank orders the attempts in an engine's queue: rank 1 is admitted
	// first, lowestQueueRank last. 0 leaves the order to the engine.
	QueueRank int
}

// ResponseInfo holds the decoded header fields of an endpoint's response.
type ResponseInfo struct {
	// ID is the attempt that the response belongs to; "" if it is not stated.
	ID string
	// NotExecuted is true if the endpoint did not run the request.
	NotExecuted bool
	// Misdirected is true if another endpoint now has the address.
	Misdirected bool
	// Signed is true if the response carries the endpoint's signature.
	Signed bool
}

// Protocol translates between HTTP headers and the types of this package.
type Protocol interface {
	DecodeRequest(r *http.Request) (RequestInfo, error)
	// EncodeAttempt sets the header fields of an attempt and removes reserved
	// fields that the caller sent.
	EncodeAttempt(header http.Header, a Attempt)
	DecodeResponse(r *http.Response) ResponseInfo
	// WriteRefusal writes an error response of the instance itself.
	WriteRefusal(w http.ResponseWriter, call RequestInfo, err *reason.Error)
}
