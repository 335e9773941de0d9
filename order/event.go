package order

import (
	"encoding/json"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// Event is an input of the core. Every result carries the operation whose
// action it answers; an operation has one action under way at most.
type Event interface{ isEvent() }

// Submit starts an order.
type Submit struct {
	Op    uint64
	ID    string // names the order in the store and at the service
	Claim Claim
	// Deadline is the boot clock time by which the caller needs an answer.
	Deadline time.Duration
	// Refusal is set if no endpoint can take the order. A recorded outcome of
	// the key is reported even then.
	Refusal *reason.Error
}

// Query asks for the state of an order.
type Query struct {
	Op       uint64
	ID       string
	Deadline time.Duration
}

// Found reports a claim without a certain outcome that a sweep came across.
type Found struct {
	ID     string
	Stored Stored
	Age    time.Duration
}

// WriteResult says what is known after a write to the store.
type WriteResult int

// Results of a write.
const (
	// WriteOK means that the write took effect.
	WriteOK WriteResult = iota
	// WriteConflict means that the claim has another revision.
	WriteConflict
	// WriteUnknown means that the write may have taken effect or may still do.
	WriteUnknown
	// WriteRefused means that the write had no effect and will have none.
	WriteRefused
)

// Written is the result of CreateClaim, UpdateClaim and DeleteClaim.
type Written struct {
	Op       uint64
	Result   WriteResult
	Revision uint64
	Reason   reason.Reason // of a refusal
}

// ReadResult says what a read found.
type ReadResult int

// Results of a read.
const (
	// ReadFound means that the claim was read.
	ReadFound ReadResult = iota
	// ReadAbsent means that there is no claim.
	ReadAbsent
	// ReadFailed means that the store did not answer.
	ReadFailed
)

// Read is the result of ReadClaim.
type Read struct {
	Op     uint64
	Result ReadResult
	Stored Stored
	// Age is the age of the claim by the wall clock.
	Age time.Duration
}

// Sent is the result of Send.
type Sent struct {
	Op      uint64
	Result  SendResult
	Receipt json.RawMessage
	Reason  reason.Reason // of a send that did not book the order
}

// AskResult says what a service reported about an order.
type AskResult int

// Results of a question to a service.
const (
	// AskBooked means that the order is booked.
	AskBooked AskResult = iota
	// AskFencedAbsent means that the order is not booked and that the service
	// rejects the fencing number it was sent with from now on.
	AskFencedAbsent
	// AskAbsent means that the order is not booked yet.
	AskAbsent
	// AskUnable means that the service cannot be asked.
	AskUnable
	// AskOutdated means that another resolver has set a higher fencing number.
	AskOutdated
	// AskFailed means that the service did not answer.
	AskFailed
)

// Asked is the result of Ask.
type Asked struct {
	Op      uint64
	Result  AskResult
	Receipt json.RawMessage
}

// Tick passes the time.
type Tick struct{}

func (Submit) isEvent()  {}
func (Query) isEvent()   {}
func (Found) isEvent()   {}
func (Written) isEvent() {}
func (Read) isEvent()    {}
func (Sent) isEvent()    {}
func (Asked) isEvent()   {}
func (Tick) isEvent()    {}

// Action is an output of the core.
type Action interface{ isAction() }

// CreateClaim creates a claim if the order has none.
type CreateClaim struct {
	Op    uint64
	ID    string
	Claim Claim
}

// ReadClaim reads the claim of an order.
type ReadClaim struct {
	Op uint64
	ID string
}

// UpdateClaim replaces a claim that has the expected revision.
type UpdateClaim struct {
	Op     uint64
	ID     string
	Claim  Claim
	Expect uint64
}

// DeleteClaim deletes a claim that has the expected revision.
type DeleteClaim struct {
	Op     uint64
	ID     string
	Expect uint64
}

// Send sends the order once. The runner checks NotAfter by the boot clock
// right before the first byte.
type Send struct {
	Op       uint64
	ID       string
	Endpoint api.EndpointID
	Fence    uint64
	NotAfter time.Duration
}

// Ask asks the service for the state of an order. With a Fence, a service that
// checks fencing numbers first rejects all lower ones.
type Ask struct {
	Op       uint64
	ID       string
	Endpoint api.EndpointID
	Fence    uint64
}

// Reply answers the caller: with the claim if Refusal is nil.
type Reply struct {
	Op      uint64
	Claim   Claim
	Refusal *reason.Error
}

// End says that the operation needs nothing more.
type End struct {
	Op uint64
	// GaveUp says that an outcome is known or open and could not be recorded.
	GaveUp bool
}

func (CreateClaim) isAction() {}
func (ReadClaim) isAction()   {}
func (UpdateClaim) isAction() {}
func (DeleteClaim) isAction() {}
func (Send) isAction()        {}
func (Ask) isAction()         {}
func (Reply) isAction()       {}
func (End) isAction()         {}
