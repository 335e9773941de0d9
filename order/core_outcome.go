package order

import (
	"encoding/json"
	"time"

	"github.com/hibiscusstair/hibiscusstair/reason"
)

// sendFinished handles the result of the only send of an order.
func (c *Core) sendFinished(o *operation, e SendFinished) {
	if o.phase != phaseSendingOrder {
		return
	}
	switch e.Result {
	case SendBooked:
		c.replyAndRecordWithReceipt(o, StateDone, "", e.Receipt)
	case SendRejected:
		c.replyAndRecordWithReceipt(o, StateRejected, e.Reason, e.Receipt)
	case SendSkipped, SendRefused:
		c.replyAndRecord(o, StateNotRun, e.Reason)
	default:
		if c.options.resendUnknown {
			c.sendClaimedOrder(o, o.revision)
			return
		}
		o.giveUpAt = c.now + resolutionTimeout
		c.markResolving(o)
	}
}

func (c *Core) replyAndRecord(o *operation, state State, why reason.Reason) {
	c.replyAndRecordWithReceipt(o, state, why, nil)
}

// replyAndRecordWithReceipt responds to the caller with the outcome and records it.
func (c *Core) replyAndRecordWithReceipt(o *operation, state State, why reason.Reason, receipt json.RawMessage) {
	if !o.outcomeKnown {
		o.outcomeKnown = true
		c.unrecordedOutcomeCount++
	}
	o.claim.State = state
	o.claim.Reason = string(why)
	o.claim.Receipt = receipt
	c.reply(o, o.claim)
	o.giveUpAt = c.now + recordTimeout
	o.backoff = 0
	c.recordOutcome(o)
}

func (c *Core) recordOutcome(o *operation) {
	o.phase = phaseRecordingOutcome
	o.claim.Writer = c.writerID(o)
	c.emit(UpdateClaim{OpID: o.id, OrderID: o.orderID, Claim: o.claim, ExpectedRevision: o.revision})
}

func (c *Core) recordFinished(o *operation, e ClaimWritten) {
	switch e.Result {
	case WriteOK:
		c.end(o, false)
	case WriteConflict:
		c.readClaim(o, phaseVerifyingOutcome)
	default:
		c.recordLater(o)
	}
}

// recordLater retries to record the outcome after a delay, until giveUpAt.
func (c *Core) recordLater(o *operation) {
	if c.now >= o.giveUpAt {
		c.end(o, true)
		return
	}
	c.scheduleRetry(o, phaseOutcomeBackoff)
}

// checkClaimAfterOutcome decides whether the outcome still has to be written
// after a write that did not return WriteOK.
func (c *Core) checkClaimAfterOutcome(o *operation, e ClaimRead) {
	switch {
	case e.Result == ReadFailed:
		c.recordLater(o)
	case e.Result == ReadNotFound || e.Stored.ClaimID != o.claim.ClaimID:
		c.end(o, true)
	case e.Stored.State == o.claim.State:
		c.end(o, false)
	case !mayReplace(e.Stored.State, o.claim.State):
		// Another operation recorded a different outcome. Unless that is StateDone,
		// this outcome counts as not recorded.
		c.end(o, e.Stored.State != StateDone)
	case o.claim.State == StateUnknown && e.Stored.Revision != o.revision && e.Stored.State == StateResolving:
		c.end(o, false) // another resolution is under way and may find a certain outcome
	default:
		o.revision = e.Stored.Revision
		c.recordOutcome(o)
	}
}

// mayReplace reports whether an outcome may replace a stored state. A caller may
// have been told StateUnknown, which only StateDone may replace.
func mayReplace(old, next State) bool {
	if old == StateUnknown {
		return next == StateDone
	}
	return !old.HasOutcome()
}

// markResolving rewrites the claim with StateResolving. Its new revision is a
// fencing token above the one that the order was sent with.
func (c *Core) markResolving(o *operation) {
	o.phase = phaseMarkingResolving
	o.claim.State = StateResolving
	o.claim.Writer = c.writerID(o)
	c.emit(UpdateClaim{OpID: o.id, OrderID: o.orderID, Claim: o.claim, ExpectedRevision: o.revision})
}

func (c *Core) markFinished(o *operation, e ClaimWritten) {
	switch e.Result {
	case WriteOK:
		o.revision = e.Revision
		o.backoff = 0
		c.checkBooking(o)
	case WriteConflict:
		c.readClaim(o, phaseVerifyingMark)
	default:
		c.markResolvingLater(o)
	}
}

// markResolvingLater retries to rewrite the claim after a delay, until giveUpAt.
func (c *Core) markResolvingLater(o *operation) {
	if c.now >= o.giveUpAt {
		c.end(o, true)
		return
	}
	c.scheduleRetry(o, phaseMarkBackoff)
}

// checkClaimAfterMark continues after a rewrite with StateResolving that did not
// return WriteOK.
func (c *Core) checkClaimAfterMark(o *operation, e ClaimRead) {
	switch {
	case e.Result == ReadFailed:
		c.markResolvingLater(o)
	case e.Result == ReadNotFound || e.Stored.ClaimID != o.claim.ClaimID:
		c.end(o, true)
	case e.Stored.State.HasOutcome():
		c.reply(o, e.Stored.Claim)
		c.end(o, false)
	case e.Stored.State == StateResolving && e.Stored.Writer == o.claim.Writer:
		o.revision = e.Stored.Revision
		c.checkBooking(o)
	case c.now >= o.giveUpAt:
		c.end(o, true)
	default:
		o.revision = e.Stored.Revision
		c.markResolving(o)
	}
}

// checkBooking asks the service whether the order is booked. The check of an order
// recorded as unknown does not fence, since it has not raised the revision.
func (c *Core) checkBooking(o *operation) {
	o.phase = phaseCheckingBooking
	fence := o.revision
	if o.isRecheck {
		fence = 0
	}
	c.emit(CheckBooking{OpID: o.id, OrderID: o.orderID, Endpoint: o.claim.Endpoint, Fence: fence})
}

// bookingChecked handles what the service reports about the order.
func (c *Core) bookingChecked(o *operation, e BookingChecked) {
	if o.phase != phaseCheckingBooking {
		return
	}
	switch {
	case e.Result == BookingFound:
		c.replyAndRecordWithReceipt(o, StateDone, "", e.Receipt)
	case o.isRecheck:
		c.end(o, false)
	case e.Result == BookingAbsentFenced || e.Result == BookingAbsent && c.options.trustUnfencedAbsence:
		// The reason says only that the order can no longer be sent; there is none for
		// an order that was fenced after it was sent.
		c.replyAndRecord(o, StateNotRun, reason.DispatchWindow)
	case e.Result == BookingFenceStale:
		// The other resolution may have recorded an outcome; the claim is read first.
		c.markResolvingLater(o)
	case e.Result == BookingCheckFailed:
		c.checkBookingLater(o)
	default: // BookingAbsent, BookingCheckUnsupported: a request on its way can still book the order
		c.replyAndRecord(o, StateUnknown, reason.OrderUnknown)
	}
}

// checkBookingLater asks the service again after a delay. After giveUpAt
// the operation ends, and the claim stays in StateResolving until a later request
// for the state of the order, or a sweep, starts another resolution.
func (c *Core) checkBookingLater(o *operation) {
	if c.now >= o.giveUpAt {
		c.end(o, true)
		return
	}
	c.scheduleRetry(o, phaseBookingBackoff)
}

// startResolution starts to find out the outcome of a stored claim without a certain
// outcome. Nothing starts above maxResolutions; a later request for the
// state of the order tries again.
func (c *Core) startResolution(orderID string, stored StoredClaim, age time.Duration) {
	state := stored.State
	_, running := c.resolutions[orderID]
	if running || state.HasOutcome() && state != StateUnknown || len(c.resolutions) >= maxResolutions {
		return
	}
	if state == StateUnknown && !c.reserveRecheck(orderID) {
		return
	}
	o := &operation{id: firstInternalOpID + c.internalOpCount, orderID: orderID, claim: stored.Claim, revision: stored.Revision, startedAt: c.now}
	c.internalOpCount++
	c.operations[o.id] = o
	c.resolutions[orderID] = o
	if state == StateUnknown {
		o.isRecheck = true
		o.giveUpAt = c.now // one attempt only
		c.checkBooking(o)
		return
	}
	o.phase = phaseWaitingForHolder
	o.retryAt = c.now + DispatchWindow + resolutionGracePeriod
	// The age says nothing about StateResolving: another instance may be resolving the
	// claim now.
	if state == StateClaimed && age > DispatchWindow+resolutionGracePeriod+maxClockSkew {
		o.retryAt = c.now
	}
}

// reserveRecheck reports whether an order recorded as unknown may be checked again,
// which takes minRecheckInterval since the last check. If so, it notes the time.
func (c *Core) reserveRecheck(orderID string) bool {
	if at, ok := c.lastRecheck[orderID]; ok && c.now-at < minRecheckInterval {
		return false
	}
	c.lastRecheck[orderID] = c.now
	return true
}

// unresolvedClaimRead resolves a claim that did not change during the wait for its
// holder, and waits again after a change.
func (c *Core) unresolvedClaimRead(o *operation, e ClaimRead) {
	switch {
	case e.Result != ReadFound || e.Stored.State.HasOutcome():
		c.end(o, false)
	case e.Stored.Revision != o.revision:
		o.revision = e.Stored.Revision
		o.claim = e.Stored.Claim
		o.phase = phaseWaitingForHolder
		o.retryAt = c.now + DispatchWindow + resolutionGracePeriod
	default:
		o.claim = e.Stored.Claim
		o.giveUpAt = c.now + resolutionTimeout
		c.markResolving(o)
	}
}
