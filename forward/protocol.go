package forward

import (
	"net/http"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// Call is what the header of a caller's request says.
type Call struct {
	// ID names this attempt of the caller; a repeated request has another one.
	ID  string
	Key string // of the client account; "" if none was sent
	// Patience is how long the caller waits for the answer; 0 is not stated.
	Patience time.Duration
	// LastEvent is the last event that the caller has of an earlier answer.
	LastEvent string
	// Session names the prompt's last part, which belongs to the request or its
	// session; "" is unknown.
	Session string
	// PromptTokens and OutputTokens are the sizes of a generation; 0 is unknown.
	PromptTokens int
	OutputTokens int
}

// Tokens is the memory that a generation needs at its end.
func (c Call) Tokens() int { return c.PromptTokens + c.OutputTokens }

// Attempt is what the system tells an endpoint beside the caller's request.
type Attempt struct {
	Endpoint api.EndpointID
	Account  api.AccountID // "" if the request is anonymous
	// Remaining is how long the answer is still of use; 0 is unlimited.
	Remaining time.Duration
	// LastEvent is where an answer goes on; "" is the beginning.
	LastEvent string
	// BackupTo is the address of the engine that keeps a copy; "" is none.
	BackupTo string
	// CopyAt is the address of the engine whose copy of the run is used, and
	// CopyOf the run's name there; "" reads the prompt.
	CopyAt string
	CopyOf string
	// QueueRank orders the attempts that wait at an engine: 1 is admitted first,
	// lastRank last. 0 leaves it to the engine.
	QueueRank int
}

// Answer is what the header of an endpoint's answer says.
type Answer struct {
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
	DecodeCall(r *http.Request) (Call, error)
	// EncodeAttempt sets what the system tells an endpoint and removes what
	// only the system may say.
	EncodeAttempt(header http.Header, a Attempt)
	DecodeAnswer(r *http.Response) Answer
	// WriteRefusal writes an answer of the system's own.
	WriteRefusal(w http.ResponseWriter, call Call, err *reason.Error)
}
