package generation

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// Action is an output of the core.
type Action interface{ action() }

// RequestPlacement asks for an endpoint. The result is PlacementGranted or
// PlacementFailed.
type RequestPlacement struct {
	Generation string
	Attempt    uint64
	Digest     api.Digest
	Request    api.PlacementRequest
	// Retry means that the placement counts against the retry budget.
	Retry    bool
	Deadline time.Duration // boot clock
}

// CancelPlacement cancels a RequestPlacement that is no longer needed.
type CancelPlacement struct {
	Generation string
	Attempt    uint64
}

// OpenStream sends a request to an engine. The stream of the response arrives as
// ChunkReceived and StreamClosed.
type OpenStream struct {
	Generation string
	Attempt    uint64
	RequestID  string
	Request    *Request
	Endpoint   api.Endpoint
	Prefix     []uint32 // tokens that the engine continues
	// NewConnection forbids the use of a pooled connection.
	NewConnection bool
}

// ReattachStream continues an existing stream of an engine on a new connection.
type ReattachStream struct {
	Generation string
	Attempt    uint64
	RequestID  string
	Endpoint   api.Endpoint
	From       int // position of the first token to receive
}

// ProbeEndpoint checks the health of an endpoint on a new connection.
type ProbeEndpoint struct {
	Endpoint api.Endpoint
}

// CloseStream ends the connection of an attempt.
type CloseStream struct {
	Generation string
	Attempt    uint64
	RequestID  string
	Endpoint   api.Endpoint
	// Cancel also tells the engine to drop the stream; otherwise the engine
	// keeps it for a reattachment.
	Cancel bool
}

// MarkSuspect puts an endpoint under suspicion and drops the pooled connections
// to it.
type MarkSuspect struct {
	Endpoint api.Endpoint
}

// ReleaseGrant returns a grant to placement.
type ReleaseGrant struct {
	Grant   uint64
	Outcome api.Outcome
}

// ReportProgress reports to placement how many more tokens of a grant were
// delivered.
type ReportProgress struct {
	Grant  uint64
	Tokens int
}

// ReportCrash reports the crash of an endpoint with the content that it was
// running.
type ReportCrash struct {
	Endpoint api.Endpoint
	Running  []api.Digest
}

// ReportCompleted reports content that an engine ran to its end without a crash.
type ReportCompleted struct {
	Digest api.Digest
}

// DeliverToken passes one token, the end of the response or both to a caller.
type DeliverToken struct {
	Conn         uint64
	EventID      EventID
	Text         string
	Token        uint32
	HasToken     bool
	FinishReason string
}

// DiscardResponse tells a caller connection to discard the tokens that it
// collected of a response that is not streamed.
type DiscardResponse struct {
	Conn uint64
}

// FinishResponse ends the response on a caller connection; Err is nil for a
// complete response.
type FinishResponse struct {
	Conn       uint64
	Generation string
	Err        *reason.Error
}

// FetchPrefix asks the peers for the tokens of a generation.
type FetchPrefix struct {
	Generation string
}

// NotifyTakeover tells the instance that served the generation before that this
// instance serves it now.
type NotifyTakeover struct {
	Instance   api.InstanceID
	Generation string
	Attempt    uint64
}

// SendCheckpoint sends the delivered tokens to a peer, which stores them.
type SendCheckpoint struct {
	Generation string
	From       int      // position of the first token; above 0 if the tokens before are not known
	Tokens     []uint32 // all known tokens; the slice is not modified later
	Ended      bool     // the response is complete
}

// RecordResume records a generation that continued after an interruption.
type RecordResume struct {
	Generation string
	// Latency is the time from the interruption (for silence: from the last chunk)
	// to the next token that the caller receives.
	Latency time.Duration
	// Recomputed is the number of tokens that an engine processed again.
	Recomputed int
}

// RecordStep adds a step to the trace of a generation and counts its reason, if
// it has one.
type RecordStep struct {
	Generation string
	Step       string
	Reason     reason.Reason
	Attempt    uint64
	Endpoint   api.EndpointID
	Position   int
}

func (RequestPlacement) action() {}
func (CancelPlacement) action()  {}
func (OpenStream) action()       {}
func (ReattachStream) action()   {}
func (ProbeEndpoint) action()    {}
func (CloseStream) action()      {}
func (MarkSuspect) action()      {}
func (ReleaseGrant) action()     {}
func (ReportProgress) action()   {}
func (ReportCrash) action()      {}
func (ReportCompleted) action()  {}
func (DeliverToken) action()     {}
func (DiscardResponse) action()  {}
func (FinishResponse) action()   {}
func (FetchPrefix) action()      {}
func (NotifyTakeover) action()   {}
func (SendCheckpoint) action()   {}
func (RecordResume) action()     {}
func (RecordStep) action()       {}
