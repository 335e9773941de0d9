package generation

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// Request is a validated completion request of a caller.
type Request struct {
	Generation     string
	Nonce          string // "" if the request has a key
	ConnectionSalt uint32 // random; see epochSaltBits and newStreamName
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
	// LastEventID is the event ID to resume after; nil for a request from the
	// beginning.
	LastEventID *EventID
	// CallerPrefix holds the caller's tokens up to the Last-Event-ID; nil if the
	// caller sent none.
	CallerPrefix []uint32
	// ResumeEndpoint is the endpoint that the Last-Event-ID names, if it is
	// configured.
	ResumeEndpoint *api.Endpoint
}

// Chunk is one event of an engine's stream. Attempt and RequestID are those that
// the engine sent and have to be compared with the attempt's own.
type Chunk struct {
	RequestID    string
	Attempt      uint64
	Position     int
	HasToken     bool
	Token        uint32
	Text         string
	FinishReason string
	Malformed    bool
}

// Event is an input of the core.
type Event interface{ event() }

// CallerConnected is a caller's request on a new connection.
type CallerConnected struct {
	Conn    uint64
	Request *Request
}

// PlacementGranted is the result of a RequestPlacement: an endpoint was granted.
type PlacementGranted struct {
	Generation string
	Attempt    uint64
	Grant      api.Grant
}

// PlacementFailed is the result of a RequestPlacement: no endpoint was granted.
type PlacementFailed struct {
	Generation string
	Attempt    uint64
	Err        *reason.Error
}

// ChunkReceived is a chunk that arrived on the connection of an attempt.
type ChunkReceived struct {
	Generation string
	Attempt    uint64
	Chunk      Chunk
}

// CloseKind is the way in which the connection of an attempt ended.
type CloseKind int

// Values of CloseKind.
const (
	// ClosedAfterSend: the stream ended, normally or early, after the request may
	// have been sent.
	ClosedAfterSend CloseKind = iota
	// ClosedConnectFailed: no connection was made and nothing was sent.
	ClosedConnectFailed
	// ClosedNotStarted: the engine refused the request before it started to run it.
	ClosedNotStarted
	// ClosedStreamNotFound: the engine does not have the stream to reattach to.
	ClosedStreamNotFound
	// ClosedErrorResponse: the engine sent any other error response.
	ClosedErrorResponse
)

// StreamClosed is the end of the connection of an attempt.
type StreamClosed struct {
	Generation string
	Attempt    uint64
	Kind       CloseKind
}

// ProbeFinished is the result of a probe on a new connection.
type ProbeFinished struct {
	Endpoint api.EndpointID
	Alive    bool
	// Crashed means that the connection failed at once, for example because it was
	// refused or closed: no engine runs at the address. A probe that times out does
	// not prove this.
	Crashed bool
}

// PrefixFetched is the result of a FetchPrefix.
type PrefixFetched struct {
	Generation string
	Tokens     []uint32 // nil: no peer stores any
}

// CallerDisconnected is the end of a caller's connection.
type CallerDisconnected struct {
	Conn   uint64
	Reason reason.Reason
}

// GenerationTakenOver means that another instance serves the generation now,
// under the given attempt number.
type GenerationTakenOver struct {
	Generation string
	Attempt    uint64
}

// Tick checks deadlines and timeouts.
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
