package order

import (
	"encoding/json"
	"time"

	"github.com/hibiscusstair/hibiscusstair/reason"
)

// sent handles the result of the single send.
func (c *Core) sent(o *op, e SendFinished) {
	if o.phase != phaseSending {
		return
	}
	switch e.Result {
	case SendBooked:
		c.concludeWith(o, StateDone, "", e.Receipt)
	case SendRejected:
		c.concludeWith(o, StateRejected, e.Reason, e.Receipt)
	case SendSkipped, SendRefused:
		c.conclude(o, StateNotRun, e.Reason)
	default:
		if c.options.resendUnknown {
			c.holds(o, o.revision)
			return
		}
		o.limit = c.now + resolveLimit
		c.raise(o)
	}
}

func (c *Core) conclude(o *op, state State, why reason.Reason) {
	c.concludeWith(o, state, why, nil)
}

// concludeWith answers the caller with the outcome and records it.
func (c *Core) concludeWith(o *op, state State, why reason.Reason, receipt json.RawMessage) {
	if !o.concluded {
		o.concluded = true
		c.unrecorded++
	}
	o.claim.State = state
	o.claim.Reason = string(why)
	o.claim.Receipt = receipt
	c.reply(o, o.claim)
	o.limit = c.now + recordLimit
	o.pause = 0
	c.record(o)
}

func (c *Core) record(o *op) {
	o.phase = phaseRecording
	o.claim.Writer = c.writeToken(o)
	c.do(UpdateClaim{OpID: o.id, OrderID: o.order, Claim: o.claim, ExpectedRevision: o.revision})
}

func (c *Core) recorded(o *op, e ClaimWritten) {
	switch e.Result {
	case WriteOK:
		c.end(o, false)
	case WriteConflict:
		c.readFor(o, phaseRecordCheck)
	default:
		c.recordPause(o)
	}
}

func (c *Core) recordPause(o *op) {
	if c.now >= o.limit {
		c.end(o, true)
		return
	}
	c.pause(o, phaseRecordPause)
}

// recordChecked decides whether the outcome still has to be written.
func (c *Core) recordChecked(o *op, e ClaimRead) {
	switch {
	case e.Result == ReadFailed:
		c.recordPause(o)
	case e.Result == ReadNotFound || e.Stored.ClaimID != o.claim.ClaimID:
		c.end(o, true)
	case e.Stored.State == o.claim.State:
		c.end(o, false)
	case !mayReplace(e.Stored.State, o.claim.State):
		c.end(o, e.Stored.State != StateDone)
	case o.claim.State == StateUnknown && e.Stored.Revision != o.revision && e.Stored.State == StateResolving:
		c.end(o, false) // another resolver is at work and can learn more
	default:
		o.revision = e.Stored.Revision
		c.record(o)
	}
}

// mayReplace reports whether an outcome may be written over a state. A caller
// may have been told "unknown", which can become "done" only.
func mayReplace(old, next State) bool {
	if old == StateUnknown {
		return next == StateDone
	}
	return !old.Final()
}

// raise rewrites the claim as resolving. Its new revision is a fencing number
// above that of the send.
func (c *Core) raise(o *op) {
	o.phase = phaseRaising
	o.claim.State = StateResolving
	o.claim.Writer = c.writeToken(o)
	c.do(UpdateClaim{OpID: o.id, OrderID: o.order, Claim: o.claim, ExpectedRevision: o.revision})
}

func (c *Core) raised(o *op, e ClaimWritten) {
	switch e.Result {
	case WriteOK:
		o.revision = e.Revision
		o.pause = 0
		c.ask(o)
	case WriteConflict:
		c.readFor(o, phaseRaiseCheck)
	default:
		c.raisePause(o)
	}
}

func (c *Core) raisePause(o *op) {
	if c.now >= o.limit {
		c.end(o, true)
		return
	}
	c.pause(o, phaseRaisePause)
}

// raiseChecked continues after a raise without a clear result.
func (c *Core) raiseChecked(o *op, e ClaimRead) {
	switch {
	case e.Result == ReadFailed:
		c.raisePause(o)
	case e.Result == ReadNotFound || e.Stored.ClaimID != o.claim.ClaimID:
		c.end(o, true)
	case e.Stored.State.Final():
		c.reply(o, e.Stored.Claim)
		c.end(o, false)
	case e.Stored.State == StateResolving && e.Stored.Writer == o.claim.Writer:
		o.revision = e.Stored.Revision
		c.ask(o)
	case c.now >= o.limit:
		c.end(o, true)
	default:
		o.revision = e.Stored.Revision
		c.raise(o)
	}
}

func (c *Core) ask(o *op) {
	o.phase = phaseAsking
	fence := o.revision
	if o.recheck {
		fence = 0
	}
	c.do(CheckBooking{OpID: o.id, OrderID: o.order, Endpoint: o.claim.Endpoint, Fence: fence})
}

// asked handles what the service reports about the order.
func (c *Core) asked(o *op, e BookingChecked) {
	if o.phase != phaseAsking {
		return
	}
	switch {
	case e.Result == BookingFound:
		c.concludeWith(o, StateDone, "", e.Receipt)
	case o.recheck:
		c.end(o, false)
	case e.Result == BookingAbsentFenced || e.Result == BookingAbsent && c.options.trustAbsent:
		c.conclude(o, StateNotRun, reason.DispatchWindow)
	case e.Result == BookingFenceStale:
		c.raisePause(o)
	case e.Result == BookingCheckFailed:
		c.askPause(o)
	default:
		c.conclude(o, StateUnknown, reason.OrderUnknown)
	}
}

// askPause asks again later. After the limit the claim stays resolving, and a
// later question for it starts another resolution.
func (c *Core) askPause(o *op) {
	if c.now >= o.limit {
		c.end(o, true)
		return
	}
	c.pause(o, phaseAskPause)
}

// observe takes care of a recorded claim whose outcome is open. The bounded
// number of observers drops work that a later question repeats.
func (c *Core) observe(order string, stored StoredClaim, age time.Duration) {
	state := stored.State
	_, busy := c.observers[order]
	if busy || state.Final() && state != StateUnknown || len(c.observers) >= maxObservers {
		return
	}
	if state == StateUnknown && !c.mayRecheck(order) {
		return
	}
	o := &op{id: internalOps + c.nextOwn, order: order, claim: stored.Claim, revision: stored.Revision, start: c.now}
	c.nextOwn++
	c.ops[o.id] = o
	c.observers[order] = o
	if state == StateUnknown {
		o.recheck = true
		o.limit = c.now
		c.ask(o)
		return
	}
	o.phase = phaseObserving
	o.wakeAt = c.now + DispatchWindow + resolveGrace
	if state == StateClaimed && age > DispatchWindow+resolveGrace+maxClockError {
		o.wakeAt = c.now
	}
}

func (c *Core) mayRecheck(order string) bool {
	if at, ok := c.rechecked[order]; ok && c.now-at < recheckPause {
		return false
	}
	c.rechecked[order] = c.now
	return true
}

// observeChecked resolves a claim that did not change for the whole window.
func (c *Core) observeChecked(o *op, e ClaimRead) {
	switch {
	case e.Result != ReadFound || e.Stored.State.Final():
		c.end(o, false)
	case e.Stored.Revision != o.revision:
		o.revision = e.Stored.Revision
		o.claim = e.Stored.Claim
		o.phase = phaseObserving
		o.wakeAt = c.now + DispatchWindow + resolveGrace
	default:
		o.claim = e.Stored.Claim
		o.limit = c.now + resolveLimit
		c.raise(o)
	}
}
