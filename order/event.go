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

// OrderSubmitted starts an order.
type OrderSubmitted struct {
	OpID    uint64
	OrderID string // names the order in the store and at the service
	Claim   Claim
	// Deadline is the boot clock time by which the caller needs an answer.
	Deadline time.Duration
	// PlacementError is set if no endpoint can take the order. A recorded outcome of
	// the key is reported even then.
	PlacementError *reason.Error
}

// StateRequested asks for the state of an order.
type StateRequested struct {
	OpID     uint64
	OrderID  string
	Deadline time.Duration
}

// UnresolvedClaimFound reports a claim without a certain outcome that a sweep came across.
type UnresolvedClaimFound struct {
	OrderID string
	Stored  StoredClaim
	Age     time.Duration
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

// ClaimWritten is the result of CreateClaim, UpdateClaim and DeleteClaim.
type ClaimWritten struct {
	OpID     uint64
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
	// ReadNotFound means that there is no claim.
	ReadNotFound
	// ReadFailed means that the store did not answer.
	ReadFailed
)

// ClaimRead is the result of ReadClaim.
type ClaimRead struct {
	OpID   uint64
	Result ReadResult
	Stored StoredClaim
	// Age is the age of the claim by the wall clock.
	Age time.Duration
}

// SendFinished is the result of Send.
type SendFinished struct {
	OpID    uint64
	Result  SendResult
	Receipt json.RawMessage
	Reason  reason.Reason // of a send that did not book the order
}

// BookingStatus says what a service reported about an order.
type BookingStatus int

// Results of a question to a service.
const (
	// BookingFound means that the order is booked.
	BookingFound BookingStatus = iota
	// BookingAbsentFenced means that the order is not booked and that the service
	// rejects the fencing number it was sent with from now on.
	BookingAbsentFenced
	// BookingAbsent means that the order is not booked yet.
	BookingAbsent
	// BookingCheckUnsupported means that the service cannot be asked.
	BookingCheckUnsupported
	// BookingFenceStale means that another resolver has set a higher fencing number.
	BookingFenceStale
	// BookingCheckFailed means that the service did not answer.
	BookingCheckFailed
)

// BookingChecked is the result of Ask.
type BookingChecked struct {
	OpID    uint64
	Result  BookingStatus
	Receipt json.RawMessage
}

// Tick passes the time.
type Tick struct{}

func (OrderSubmitted) isEvent()       {}
func (StateRequested) isEvent()       {}
func (UnresolvedClaimFound) isEvent() {}
func (ClaimWritten) isEvent()         {}
func (ClaimRead) isEvent()            {}
func (SendFinished) isEvent()         {}
func (BookingChecked) isEvent()       {}
func (Tick) isEvent()                 {}

// Action is an output of the core.
type Action interface{ isAction() }

// CreateClaim creates a claim if the order has none.
type CreateClaim struct {
	OpID    uint64
	OrderID string
	Claim   Claim
}

// ReadClaim reads the claim of an order.
type ReadClaim struct {
	OpID    uint64
	OrderID string
}

// UpdateClaim replaces a claim that has the expected revision.
type UpdateClaim struct {
	OpID             uint64
	OrderID          string
	Claim            Claim
	ExpectedRevision uint64
}

// DeleteClaim deletes a claim that has the expected revision.
type DeleteClaim struct {
	OpID             uint64
	OrderID          string
	ExpectedRevision uint64
}

// SendOrder sends the order once. The runner checks NotAfter by the boot clock
// right before the first byte.
type SendOrder struct {
	OpID     uint64
	OrderID  string
	Endpoint api.EndpointID
	Fence    uint64
	NotAfter time.Duration
}

// CheckBooking asks the service for the state of an order. With a Fence, a service that
// checks fencing numbers first rejects all lower ones.
type CheckBooking struct {
	OpID     uint64
	OrderID  string
	Endpoint api.EndpointID
	Fence    uint64
}

// ReplyToCaller answers the caller: with the claim if Refusal is nil.
type ReplyToCaller struct {
	OpID    uint64
	Claim   Claim
	Refusal *reason.Error
}

// EndOperation says that the operation needs nothing more.
type EndOperation struct {
	OpID uint64
	// OutcomeNotRecorded says that an outcome is known or open and could not be recorded.
	OutcomeNotRecorded bool
}

func (CreateClaim) isAction()   {}
func (ReadClaim) isAction()     {}
func (UpdateClaim) isAction()   {}
func (DeleteClaim) isAction()   {}
func (SendOrder) isAction()     {}
func (CheckBooking) isAction()  {}
func (ReplyToCaller) isAction() {}
func (EndOperation) isAction()  {}
