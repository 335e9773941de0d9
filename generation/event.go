package generation

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// Request is a checked request of a caller.
type Request struct {
	Generation  string
	Nonce       string // "" if the request has a key
	Salt        uint32 // random, one for each connection
	Account     api.AccountID
	Model       api.ModelRef
	Prompt      string
	MaxTokens   int
	Temperature float64
	Seed        int64
	Priority    api.Priority
	Stream      bool
	Digest      api.Digest
	Blocks      []uint64
	Deadline    time.Duration // boot clock
	// Resume is the Last-Event-ID; nil starts at the beginning.
	Resume *EventID
	// Prefix are the caller's tokens up to the Last-Event-ID; nil if not sent.
	Prefix []uint32
	// ResumeEndpoint is the configured endpoint that the Last-Event-ID names.
	ResumeEndpoint *api.Endpoint
}

// Chunk is one event of an engine's stream.
type Chunk struct {
	RequestID string
	Attempt   uint64
	Position  int
	HasToken  bool
	Token     uint32
	Text      string
	Finish    string
	Malformed bool
}

// Event is an input of the core.
type Event interface{ event() }

// Start is a new caller connection.
type Start struct {
	Conn    uint64
	Request *Request
}

// Placed is a granted endpoint.
type Placed struct {
	Generation string
	Attempt    uint64
	Grant      api.Grant
}

// PlaceFailed is a placement without a grant.
type PlaceFailed struct {
	Generation string
	Attempt    uint64
	Err        *reason.Error
}

// Received is a chunk on the connection of an attempt.
type Received struct {
	Generation string
	Attempt    uint64
	Chunk      Chunk
}

// CloseKind says how the connection of an attempt ended.
type CloseKind int

// Kinds of an ended connection.
const (
	// ClosedMidway is an end of the connection after the request was sent.
	ClosedMidway CloseKind = iota
	// ClosedConnect is a failure to connect; nothing was sent.
	ClosedConnect
	// ClosedRefused is a refusal by the engine before it started.
	ClosedRefused
	// ClosedUnknown is an engine's answer that it does not have the stream.
	ClosedUnknown
	// ClosedRejected is any other error answer.
	ClosedRejected
)

// Closed is the end of the connection of an attempt.
type Closed struct {
	Generation string
	Attempt    uint64
	Kind       CloseKind
}

// Probed is the result of a probe on a new connection.
type Probed struct {
	Endpoint api.EndpointID
	Alive    bool
	// Refused says that the connection was refused or closed at once, which
	// shows a death; a probe without an answer does not.
	Refused bool
}

// PrefixFetched is the answer of the peers.
type PrefixFetched struct {
	Generation string
	Tokens     []uint32 // nil: no peer has any
}

// CallerLeft is the end of a caller's connection.
type CallerLeft struct {
	Conn   uint64
	Reason reason.Reason
}

// TakenOver says that another instance serves the generation now.
type TakenOver struct {
	Generation string
	Attempt    uint64
}

// Tick lets time pass.
type Tick struct{}

func (Start) event()         {}
func (Placed) event()        {}
func (PlaceFailed) event()   {}
func (Received) event()      {}
func (Closed) event()        {}
func (Probed) event()        {}
func (PrefixFetched) event() {}
func (CallerLeft) event()    {}
func (TakenOver) event()     {}
func (Tick) event()          {}
