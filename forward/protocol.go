package forward

import (
	"net/http"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// RequestInfo is what the header of a caller's request says.
type RequestInfo struct {
	// ID names this attempt of the caller; a repeated request has another one.
	ID     string
	APIKey string // of the client account; "" if none was sent
	// Timeout is how long the caller waits for the answer; 0 is not stated.
	Timeout time.Duration
	// LastEventID is the last event that the caller has of an earlier answer.
	LastEventID string
	// Session names the prompt's last part, which belongs to the request or its
	// session; "" is unknown.
	Session string
	// PromptTokens and OutputTokens are the sizes of a generation; 0 is unknown.
	PromptTokens int
	OutputTokens int
}

// TotalTokens is the memory that a generation needs at its end.
func (c RequestInfo) TotalTokens() int { return c.PromptTokens + c.OutputTokens }

// Attempt is what the system tells an endpoint beside the caller's request.
type Attempt struct {
	Endpoint api.EndpointID
	Account  api.AccountID // "" if the request is anonymous
	// RemainingTime is how long the answer is still of use; 0 is unlimited.
	RemainingTime time.Duration
	// LastEventID is where an answer goes on; "" is the beginning.
	LastEventID string
	// BackupAddress is the address of the engine that keeps a copy; "" is none.
	BackupAddress string
	// CopyAddress is the address of the engine whose copy of the run is used, and
	// CopyOf the run's name there; "" reads the prompt.
	CopyAddress   string
	CopyRequestID string
	// QueueRank orders the attempts that wait at an engine: 1 is admitted first,
	// lastRank last. 0 leaves it to the engine.
	QueueRank int
}

// ResponseInfo is what the header of an endpoint's answer says.
type ResponseInfo struct {
	// ID is the attempt that the answer belongs to; "" if it is not stated.
	ID string
	// NotExecuted says that the endpoint has not run the request.
	NotExecuted bool
	// Misdirected says that another endpoint has the address.
	Misdirected bool
	// Signed says that the endpoint vouches for the answer.
	Signed bool
}

// Protocol translates between HTTP headers and the types of this package.
type Protocol interface {
	DecodeRequest(r *http.Request) (RequestInfo, error)
	// EncodeAttempt sets what the system tells an endpoint and removes what
	// only the system may say.
	EncodeAttempt(header http.Header, a Attempt)
	DecodeResponse(r *http.Response) ResponseInfo
	// WriteRefusal writes an answer of the system's own.
	WriteRefusal(w http.ResponseWriter, call RequestInfo, err *reason.Error)
}
