package order

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/reason"
)

// phase is the step that an operation is in.
type phase int

const (
	// phaseAnswering reads a claim in order to report it.
	phaseAnswering phase = iota
	// phaseClaiming creates the claim.
	phaseClaiming
	// phaseCreatePause waits to create the claim again after a refusal for the
	// store's rate.
	phaseCreatePause
	// phaseCheckingClaim reads the claim back after a lost answer or a conflict.
	phaseCheckingClaim
	// phaseClaimPause waits to read the claim back again.
	phaseClaimPause
	// phaseSending sends the order.
	phaseSending
	// phaseRaising rewrites the claim as resolving, which raises its revision.
	phaseRaising
	// phaseRaiseCheck reads the claim after a raise without a clear result.
	phaseRaiseCheck
	// phaseRaisePause waits to raise again.
	phaseRaisePause
	// phaseAsking asks the service.
	phaseAsking
	// phaseAskPause waits to ask again.
	phaseAskPause
	// phaseRecording writes the outcome.
	phaseRecording
	// phaseRecordCheck reads the claim after a write without a clear result.
	phaseRecordCheck
	// phaseRecordPause waits to read the claim and write again.
	phaseRecordPause
	// phaseAbandonCheck looks for a claim that was given up.
	phaseAbandonCheck
	// phaseAbandoning deletes the claim that was given up.
	phaseAbandoning
	// phaseAbandonPause waits to look for the claim again.
	phaseAbandonPause
	// phaseObserving waits until a foreign claim without an outcome is due.
	phaseObserving
	// phaseObserveCheck reads the foreign claim again.
	phaseObserveCheck
	// phaseEnded is the end.
	phaseEnded
)

// waits reports whether the operation waits for its time.
func (p phase) waits() bool {
	switch p {
	case phaseCreatePause, phaseClaimPause, phaseRaisePause, phaseAskPause, phaseRecordPause, phaseAbandonPause, phaseObserving:
		return true
	}
	return false
}

// beforeSend reports whether the order was not handed to Send yet.
func (p phase) beforeSend() bool {
	return p == phaseClaiming || p == phaseCreatePause || p == phaseCheckingClaim || p == phaseClaimPause
}

// op is one operation: an order of a caller, a question or a resolution.
type op struct {
	id    uint64
	order string
	phase phase
	query bool
	// own says that the operation made the claim or tries to.
	own     bool
	replied bool
	refusal *reason.Error
	digest  string

	// claim is the content that the operation writes or has read last.
	claim    Claim
	revision uint64
	// mayExist says that a create whose answer was lost may take effect.
	mayExist bool
	// conflicted says that another claim of the order was seen.
	conflicted bool
	// recheck says that an order recorded as unknown is looked up again.
	recheck bool
	// concluded says that the outcome is known and being recorded.
	concluded bool
	// given says that the claim was given up while its create was under way.
	given bool

	start    time.Duration
	notAfter time.Duration
	deadline time.Duration
	wakeAt   time.Duration
	limit    time.Duration
	pause    time.Duration
}

func (o *op) internal() bool { return o.id >= internalOps }
