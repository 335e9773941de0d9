package order

import (
	"encoding/json"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// Event is an input of the core. The result of an action carries the OpID of the
// action. An operation has at most one action under way.
type Event interface{ isEvent() }

// OrderSubmitted means that a caller submitted an order.
type OrderSubmitted struct {
	OpID    uint64
	OrderID string // identifies the order in the store and at the service
	Claim   Claim
	// Deadline is the boot clock time by which the caller needs a response.
	Deadline time.Duration
	// PlacementError is set if no endpoint can take the order. The outcome that is
	// recorded for its key is reported even then.
	PlacementError *reason.Error
}

// StateRequested means that a caller asked for the state of an order.
type StateRequested struct {
	OpID     uint64
	OrderID  string
	Deadline time.Duration
}

// UnresolvedClaimFound means that a sweep read a claim without an outcome or
// with the outcome StateUnknown.
type UnresolvedClaimFound struct {
	OrderID string
	Stored  StoredClaim
	Age     time.Duration // by the wall clock
}

// WriteResult says what is known after a write to the store.
type WriteResult int

// Results of a write.
const (
	// WriteOK means that the write took effect.
	WriteOK WriteResult = iota
	// WriteConflict means that the claim has another revision than expected, does not
	// exist or, for CreateClaim, exists already. The write had no effect.
	WriteConflict
	// WriteUnknown means that the write may have taken effect or may still take
	// effect.
	WriteUnknown
	// WriteRefused means that the write had no effect and will have none.
	WriteRefused
)

// ClaimWritten is the result of CreateClaim, UpdateClaim and DeleteClaim.
type ClaimWritten struct {
	OpID     uint64
	Result   WriteResult
	Revision uint64
	Reason   reason.Reason // set unless Result is WriteOK
}

// ReadResult says what a read found.
type ReadResult int

// Results of a read.
const (
	// ReadFound means that the claim was read.
	ReadFound ReadResult = iota
	// ReadNotFound means that there is no claim.
	ReadNotFound
	// ReadFailed means that the claim could not be read or decoded.
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

// SendFinished is the result of SendOrder.
type SendFinished struct {
	OpID    uint64
	Result  SendResult
	Receipt json.RawMessage
	Reason  reason.Reason // set unless Result is SendBooked
}

// BookingCheckResult says whether a service has booked an order.
type BookingCheckResult int

// Results of CheckBooking.
const (
	// BookingFound means that the order is booked.
	BookingFound BookingCheckResult = iota
	// BookingAbsentFenced means that the order is not booked and never will be:
	// the service rejects the fencing token that it was sent with.
	BookingAbsentFenced
	// BookingAbsent means that the order is not booked yet. A request that is
	// still on its way can book it.
	BookingAbsent
	// BookingCheckUnsupported means that the service has no way to report its
	// bookings or is no longer configured.
	BookingCheckUnsupported
	// BookingFenceStale means that another resolution has set a higher fencing
	// token at the service.
	BookingFenceStale
	// BookingCheckFailed means that no valid response came from the service.
	BookingCheckFailed
)

// BookingChecked is the result of CheckBooking.
type BookingChecked struct {
	OpID    uint64
	Result  BookingCheckResult
	Receipt json.RawMessage
}

// Tick lets the core act on deadlines and retry times that have passed.
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

// SendOrder sends the order once. The runner compares NotAfter with the boot
// clock right before it writes the first byte, and sends nothing if that time has
// been reached.
type SendOrder struct {
	OpID     uint64
	OrderID  string
	Endpoint api.EndpointID
	Fence    uint64 // fencing token: the revision of the claim
	NotAfter time.Duration
}

// CheckBooking asks the service whether it has booked an order. If Fence is not
// 0, a service that checks fencing tokens first rejects all lower ones.
type CheckBooking struct {
	OpID     uint64
	OrderID  string
	Endpoint api.EndpointID
	Fence    uint64
}

// ReplyToCaller responds to the caller: with the claim, or with Refusal, the error
// response of this instance.
type ReplyToCaller struct {
	OpID    uint64
	Claim   Claim
	Refusal *reason.Error
}

// EndOperation means that the operation has ended.
type EndOperation struct {
	OpID uint64
	// OutcomeNotRecorded says that the claim was left without its certain outcome:
	// the outcome could not be found out or could not be written.
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
