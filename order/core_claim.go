package order

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/reason"
)

// claimWritten passes the result of a store write to the handler of the phase.
func (c *Core) claimWritten(o *operation, e ClaimWritten) {
	switch o.phase {
	case phaseCreatingClaim:
		c.createFinished(o, e)
	case phaseMarkingResolving:
		c.markFinished(o, e)
	case phaseRecordingOutcome:
		c.recordFinished(o, e)
	case phaseDeletingAbandoned:
		c.abandonedDeleteFinished(o, e)
	}
}

// claimRead passes the result of a store read to the handler of the phase.
func (c *Core) claimRead(o *operation, e ClaimRead) {
	switch o.phase {
	case phaseReadingForReply:
		c.replyFromRead(o, e)
	case phaseVerifyingCreate:
		c.checkClaimAfterCreate(o, e)
	case phaseVerifyingMark:
		c.checkClaimAfterMark(o, e)
	case phaseVerifyingOutcome:
		c.checkClaimAfterOutcome(o, e)
	case phaseFindingAbandoned:
		c.abandonedClaimRead(o, e)
	case phaseReadingUnresolved:
		c.unresolvedClaimRead(o, e)
	}
}

// retry continues an operation at the end of its waiting phase.
func (c *Core) retry(o *operation) {
	switch o.phase {
	case phaseCreateBackoff:
		c.createClaim(o)
	case phaseVerifyCreateBackoff:
		c.readClaim(o, phaseVerifyingCreate)
	case phaseMarkBackoff:
		c.readClaim(o, phaseVerifyingMark)
	case phaseBookingBackoff:
		c.checkBooking(o)
	case phaseOutcomeBackoff:
		c.readClaim(o, phaseVerifyingOutcome)
	case phaseAbandonBackoff:
		c.readClaim(o, phaseFindingAbandoned)
	case phaseWaitingForHolder:
		c.readClaim(o, phaseReadingUnresolved)
	}
}

// createFinished handles the result of CreateClaim.
func (c *Core) createFinished(o *operation, e ClaimWritten) {
	if o.claimAbandoned {
		o.claimMayExist = o.claimMayExist || e.Result != WriteRefused && e.Result != WriteConflict
		c.startDeletingAbandoned(o)
		return
	}
	switch e.Result {
	case WriteOK:
		c.sendClaimedOrder(o, e.Revision)
	case WriteConflict:
		if c.options.trustConflict {
			c.sendClaimedOrder(o, o.revision)
			return
		}
		o.sawConflict = true
		c.readClaim(o, phaseVerifyingCreate)
	case WriteUnknown:
		o.claimMayExist = true
		c.readClaim(o, phaseVerifyingCreate)
	case WriteRefused:
		c.claimCreateRefused(o, e.Reason)
	}
}

// claimCreateRefused retries within the dispatch window if the create was
// refused because of the store's rate limit, and refuses the order otherwise.
func (c *Core) claimCreateRefused(o *operation, why reason.Reason) {
	if why != reason.StoreRateLimited || c.now >= o.sendNotAfter {
		c.abandonClaim(o, why, false)
		return
	}
	c.scheduleRetry(o, phaseCreateBackoff)
	o.retryAt = min(o.retryAt, o.sendNotAfter)
}

// sendClaimedOrder sends the order of a claim that is known to be the
// operation's own, unless its dispatch window has passed.
func (c *Core) sendClaimedOrder(o *operation, revision uint64) {
	o.revision = revision
	o.backoff = 0
	if c.now >= o.sendNotAfter && !c.options.trustExpiredClaim {
		c.replyAndRecord(o, StateNotRun, reason.DispatchWindow)
		return
	}
	o.phase = phaseSendingOrder
	notAfter := o.sendNotAfter
	if c.options.trustExpiredClaim {
		notAfter = 1 << 62 // no limit
	}
	c.emit(SendOrder{OpID: o.id, OrderID: o.orderID, Endpoint: o.claim.Endpoint, Fence: revision, NotAfter: notAfter})
}

// checkClaimAfterCreate handles the read after a create whose response was lost
// or that met a conflict.
func (c *Core) checkClaimAfterCreate(o *operation, e ClaimRead) {
	if o.claimAbandoned {
		c.startDeletingAbandoned(o) // reads the claim again, for its handler
		return
	}
	switch {
	case e.Result == ReadFailed:
		c.verifyCreateLater(o)
	case e.Result == ReadNotFound:
		c.retryCreate(o)
	case e.Stored.ClaimID == o.claim.ClaimID:
		c.continueWithOwnClaim(o, e.Stored)
	default:
		c.replyWithOtherClaim(o, e)
	}
}

// retryCreate sends the create again. It does not matter which of the two writes
// takes effect: both carry the same claim, and only one of them can succeed.
func (c *Core) retryCreate(o *operation) {
	if c.now >= o.sendNotAfter {
		c.abandonClaim(o, reason.StoreUnavailable, false)
		return
	}
	c.createClaim(o)
}

func (c *Core) verifyCreateLater(o *operation) {
	if c.now >= o.sendNotAfter {
		c.abandonClaim(o, reason.StoreUnavailable, false)
		return
	}
	c.scheduleRetry(o, phaseVerifyCreateBackoff)
	o.retryAt = min(o.retryAt, o.sendNotAfter)
}

// continueWithOwnClaim continues after a read that found the operation's own
// claim. If a resolution has changed the claim, the order must not be sent.
func (c *Core) continueWithOwnClaim(o *operation, stored StoredClaim) {
	o.revision = stored.Revision
	if stored.State == StateClaimed {
		c.sendClaimedOrder(o, stored.Revision)
		return
	}
	if stored.State.HasOutcome() {
		c.reply(o, stored.Claim)
		c.end(o, false)
		return
	}
	// The outcome is certain: only this operation could send the order, and it did not.
	c.replyAndRecord(o, StateNotRun, reason.DispatchWindow)
}

// replyWithOtherClaim responds with the claim that another request created.
// The operation's own create cannot take effect while that claim exists.
func (c *Core) replyWithOtherClaim(o *operation, e ClaimRead) {
	c.replyWithClaim(o, e)
	c.end(o, false)
}

// abandonClaim refuses an order that was not sent and never will be, and deletes
// its claim. If a store call of the operation is under way, the claim is deleted
// after its result.
func (c *Core) abandonClaim(o *operation, why reason.Reason, storeCallUnderWay bool) {
	refusal := reason.New(why, "the order was not claimed in time and is not sent").WithRetryAfter(time.Second)
	if o.sawConflict { // the order of the other claim with the same key may have been sent
		refusal = refusal.WithRun(reason.RunUnknown)
	}
	c.refuse(o, refusal)
	if c.options.sendAfterRefusal {
		o.sendNotAfter = o.startedAt + DispatchWindow
		return
	}
	o.claimAbandoned = true
	c.abandonedClaimCount++
	o.giveUpAt = c.now + abandonTimeout
	if !storeCallUnderWay {
		c.startDeletingAbandoned(o)
	}
}

// startDeletingAbandoned ends the operation of a refused order if no claim can
// exist. Otherwise it reads the claim in order to delete it.
func (c *Core) startDeletingAbandoned(o *operation) {
	if !o.claimMayExist {
		c.end(o, false)
		return
	}
	c.readClaim(o, phaseFindingAbandoned)
}

func (c *Core) abandonedClaimRead(o *operation, e ClaimRead) {
	switch {
	case e.Result != ReadFound:
		// The read failed, or a create whose response was lost may still take effect.
		c.deleteAbandonedLater(o)
	case e.Stored.ClaimID != o.claim.ClaimID:
		c.end(o, false)
	case e.Stored.State == StateClaimed:
		o.phase = phaseDeletingAbandoned
		c.emit(DeleteClaim{OpID: o.id, OrderID: o.orderID, ExpectedRevision: e.Stored.Revision})
	case e.Stored.State.HasOutcome():
		c.end(o, false)
	default:
		// Another instance resolves the claim. The order was not sent, so that its
		// outcome is certain.
		o.revision = e.Stored.Revision
		c.replyAndRecord(o, StateNotRun, reason.StoreUnavailable)
	}
}

func (c *Core) abandonedDeleteFinished(o *operation, e ClaimWritten) {
	if e.Result == WriteOK {
		c.end(o, false)
		return
	}
	c.deleteAbandonedLater(o)
}

func (c *Core) deleteAbandonedLater(o *operation) {
	if c.now >= o.giveUpAt {
		c.end(o, false)
		return
	}
	c.scheduleRetry(o, phaseAbandonBackoff)
}

// replyFromRead responds to a request for the state of an order, or to an order
// for which placement found no endpoint, with the claim that was read.
func (c *Core) replyFromRead(o *operation, e ClaimRead) {
	switch {
	case e.Result == ReadFound:
		c.replyWithClaim(o, e)
	case o.placementError != nil:
		c.refuse(o, o.placementError)
	case e.Result == ReadNotFound:
		c.refuse(o, reason.New(reason.NotFound, "no order has the key"))
	default:
		c.refuse(o, reason.New(reason.StoreUnavailable, "the claim could not be read").
			WithRun(reason.RunUnknown).WithRetryAfter(time.Second))
	}
	c.end(o, false)
}

// replyWithClaim responds with a stored claim. It starts the resolution of a claim
// without a certain outcome, unless a submission of the order is running on this
// instance, which records the outcome itself.
func (c *Core) replyWithClaim(o *operation, e ClaimRead) {
	switch {
	case !o.isStateRequest && e.Stored.Digest != o.digest:
		c.refuse(o, duplicateKeyError(e.Stored.Claim, o.digest))
	default:
		c.reply(o, e.Stored.Claim)
	}
	if submission, ok := c.submissions[o.orderID]; ok && submission != o {
		return
	}
	c.startResolution(o.orderID, e.Stored, e.Age)
}
