package generation

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// Action is an output of the core.
type Action interface{ action() }

// Place asks for an endpoint; the answer is Placed or PlaceFailed.
type RequestPlacement struct {
	Generation string
	Attempt    uint64
	Digest     api.Digest
	Request    api.PlacementRequest
	// Retry says that the retry budget has to allow it.
	Retry    bool
	Deadline time.Duration // boot clock
}

// CancelPlace withdraws a Place whose endpoint is no longer needed.
type CancelPlacement struct {
	Generation string
	Attempt    uint64
}

// Open sends a request to an engine; its stream arrives as Received and Closed.
type OpenStream struct {
	Generation string
	Attempt    uint64
	RequestID  string
	Request    *Request
	Endpoint   api.Endpoint
	Prefix     []uint32
	// Fresh demands a new connection.
	NewConnection bool
}

// Reattach continues an engine's stream on a new connection.
type ReattachStream struct {
	Generation string
	Attempt    uint64
	RequestID  string
	Endpoint   api.Endpoint
	From       int
}

// Probe asks an endpoint on a new connection whether it is alive.
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

// Suspect puts an endpoint under suspicion; pooled connections are dropped.
type MarkSuspect struct {
	Endpoint api.Endpoint
}

// Release gives a grant back.
type ReleaseGrant struct {
	Grant   uint64
	Outcome api.Outcome
}

// Progress reports delivered tokens of a grant.
type ReportProgress struct {
	Grant  uint64
	Tokens int
}

// Died reports the death of an endpoint with the content it was running.
type ReportCrash struct {
	Endpoint api.Endpoint
	Running  []api.Digest
}

// ContentCompleted reports content that an engine survived.
type ReportCompleted struct {
	Digest api.Digest
}

// Deliver passes one token to a caller.
type DeliverToken struct {
	Conn     uint64
	EventID  EventID
	Text     string
	Token    uint32
	HasToken bool
	Finish   string
}

// Restarted tells the connection to drop what it collected of an answer that
// is not streamed.
type DiscardResponse struct {
	Conn uint64
}

// Finish ends a caller's connection; Err is nil for a complete answer.
type FinishResponse struct {
	Conn       uint64
	Generation string
	Err        *reason.Error
}

// FetchPrefix asks the peers for the tokens of a generation.
type FetchPrefix struct {
	Generation string
}

// NotifyTakeover tells the origin instance that the generation is served here.
type NotifyTakeover struct {
	Instance   api.InstanceID
	Generation string
	Attempt    uint64
}

// Checkpoint hands the delivered tokens to a peer.
type SendCheckpoint struct {
	Generation string
	From       int      // position of the first token
	Tokens     []uint32 // all known tokens; the slice is not modified later
	Ended      bool
}

// Resumed measures a continuation.
type RecordResume struct {
	Generation string
	// Latency is from the loss (for silence: from the last token) to the next
	// token that the caller gets.
	Latency time.Duration
	// Recomputed counts tokens that an engine processed again.
	Recomputed int
}

// Note is one line of the trace; Counted also counts its reason.
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
