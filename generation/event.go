package generation

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// Request is a checked request of a caller.
type Request struct {
	Generation     string
	Nonce          string // "" if the request has a key
	ConnectionSalt uint32 // random, one for each connection
	Account        api.AccountID
	Model          api.ModelRef
	Prompt         string
	MaxTokens      int
	Temperature    float64
	Seed           int64
	Priority       api.Priority
	Stream         bool
	Digest         api.Digest
	PrefixBlocks   []uint64
	Deadline       time.Duration // boot clock
	// Resume is the Last-Event-ID; nil starts at the beginning.
	LastEventID *EventID
	// Prefix are the caller's tokens up to the Last-Event-ID; nil if not sent.
	CallerPrefix []uint32
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
type CallerConnected struct {
	Conn    uint64
	Request *Request
}

// Placed is a granted endpoint.
type PlacementGranted struct {
	Generation string
	Attempt    uint64
	Grant      api.Grant
}

// PlaceFailed is a placement without a grant.
type PlacementFailed struct {
	Generation string
	Attempt    uint64
	Err        *reason.Error
}

// Received is a chunk on the connection of an attempt.
type ChunkReceived struct {
	Generation string
	Attempt    uint64
	Chunk      Chunk
}

// CloseKind says how the connection of an attempt ended.
type CloseKind int

// Kinds of an ended connection.
const (
	// ClosedMidway is an end of the connection after the request was sent.
	ClosedAfterSend CloseKind = iota
	// ClosedConnect is a failure to connect; nothing was sent.
	ClosedConnectFailed
	// ClosedRefused is a refusal by the engine before it started.
	ClosedNotStarted
	// ClosedUnknown is an engine's answer that it does not have the stream.
	ClosedStreamNotFound
	// ClosedRejected is any other error answer.
	ClosedErrorResponse
)

// Closed is the end of the connection of an attempt.
type StreamClosed struct {
	Generation string
	Attempt    uint64
	Kind       CloseKind
}

// Probed is the result of a probe on a new connection.
type ProbeFinished struct {
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
type CallerDisconnected struct {
	Conn   uint64
	Reason reason.Reason
}

// TakenOver says that another instance serves the generation now.
type GenerationTakenOver struct {
	Generation string
	Attempt    uint64
}

// Tick lets time pass.
type Tick struct{}

func (CallerConnected) event()     {}
func (PlacementGranted) event()    {}
func (PlacementFailed) event()     {}
func (ChunkReceived) event()       {}
func (StreamClosed) event()        {}
func (ProbeFinished) event()       {}
func (PrefixFetched) event()       {}
func (CallerDisconnected) event()  {}
func (GenerationTakenOver) event() {}
func (Tick) event()                {}
