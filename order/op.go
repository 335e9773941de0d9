package order

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/reason"
)

// operationPhase is the step that an operation is in.
type operationPhase int

const (
	// phaseReadingForReply reads the claim in order to report it to the caller.
	phaseReadingForReply operationPhase = iota
	// phaseCreatingClaim creates the claim.
	phaseCreatingClaim
	// phaseCreateBackoff waits to create the claim again after the store's rate
	// limit refused it.
	phaseCreateBackoff
	// phaseVerifyingCreate reads the claim after a create whose response was lost
	// or that met a conflict.
	phaseVerifyingCreate
	// phaseVerifyCreateBackoff waits to read the claim again.
	phaseVerifyCreateBackoff
	// phaseSendingOrder sends the order.
	phaseSendingOrder
	// phaseMarkingResolving rewrites the claim with StateResolving, which raises
	// its revision.
	phaseMarkingResolving
	// phaseVerifyingMark reads the claim after a rewrite that did not return WriteOK.
	phaseVerifyingMark
	// phaseMarkBackoff waits to read the claim and rewrite it again.
	phaseMarkBackoff
	// phaseCheckingBooking asks the service whether the order is booked.
	phaseCheckingBooking
	// phaseBookingBackoff waits to ask the service again.
	phaseBookingBackoff
	// phaseRecordingOutcome writes the outcome to the claim.
	phaseRecordingOutcome
	// phaseVerifyingOutcome reads the claim after a write that did not return WriteOK.
	phaseVerifyingOutcome
	// phaseOutcomeBackoff waits to read the claim and write the outcome again.
	phaseOutcomeBackoff
	// phaseFindingAbandoned reads an abandoned claim, which may not exist yet.
	phaseFindingAbandoned
	// phaseDeletingAbandoned deletes an abandoned claim.
	phaseDeletingAbandoned
	// phaseAbandonBackoff waits to read an abandoned claim again.
	phaseAbandonBackoff
	// phaseWaitingForHolder leaves a claim without an outcome to its holder, or to the
	// instance that resolves it, for a dispatch window and a grace period.
	phaseWaitingForHolder
	// phaseReadingUnresolved reads such a claim again after the wait.
	phaseReadingUnresolved
	// phaseEnded means that the operation has ended.
	phaseEnded
)

// isWaiting reports whether the operation waits until retryAt.
func (p operationPhase) isWaiting() bool {
	switch p {
	case phaseCreateBackoff, phaseVerifyCreateBackoff, phaseMarkBackoff, phaseBookingBackoff, phaseOutcomeBackoff, phaseAbandonBackoff, phaseWaitingForHolder:
		return true
	}
	return false
}

// isCreatingClaim reports whether the operation creates its claim or verifies the
// creation. No SendOrder action was emitted until then.
func (p operationPhase) isCreatingClaim() bool {
	return p == phaseCreatingClaim || p == phaseCreateBackoff || p == phaseVerifyingCreate || p == phaseVerifyCreateBackoff
}

// operation is one unit of work of the core: the order of a caller, a caller's
// request for the state of an order, or the resolution of a claim.
type operation struct {
	id             uint64
	orderID        string
	phase          operationPhase
	isStateRequest bool
	// ownsClaim says that the operation created the claim or tries to.
	ownsClaim      bool
	replied        bool
	placementError *reason.Error // set if no endpoint can take the order
	digest         string        // of the order's body

	// claim is the content that the operation writes or has read last.
	claim    Claim
	revision uint64
	// claimMayExist says that a create has taken effect or may still do so.
	claimMayExist bool
	// sawConflict says that the create met another claim of the order.
	sawConflict bool
	// isRecheck says that the operation checks the booking of an order whose
	// recorded outcome is unknown.
	isRecheck bool
	// outcomeKnown says that the outcome is known and being recorded.
	outcomeKnown bool
	// claimAbandoned says that the order was refused before it was sent and that
	// its claim has to be deleted if it exists.
	claimAbandoned bool

	// The following are boot clock times, but for backoff.
	startedAt    time.Duration // read only by the mutation sendAfterRefusal
	sendNotAfter time.Duration // the order must not be sent at or after this time
	deadline     time.Duration // of the caller
	retryAt      time.Duration // end of a waiting phase
	giveUpAt     time.Duration // the current step is not retried at or after this time
	backoff      time.Duration // last delay between retries
}

// isInternal reports whether the core started the operation itself, so that no
// caller waits for a reply.
func (o *operation) isInternal() bool { return o.id >= firstInternalOpID }
