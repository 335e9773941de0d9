package order

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/reason"
)

func (c *Core) written(o *op, e ClaimWritten) {
	switch o.phase {
	case phaseClaiming:
		c.created(o, e)
	case phaseRaising:
		c.raised(o, e)
	case phaseRecording:
		c.recorded(o, e)
	case phaseAbandoning:
		c.abandoned(o, e)
	}
}

func (c *Core) read(o *op, e ClaimRead) {
	switch o.phase {
	case phaseAnswering:
		c.answer(o, e)
	case phaseCheckingClaim:
		c.claimChecked(o, e)
	case phaseRaiseCheck:
		c.raiseChecked(o, e)
	case phaseRecordCheck:
		c.recordChecked(o, e)
	case phaseAbandonCheck:
		c.abandonChecked(o, e)
	case phaseObserveCheck:
		c.observeChecked(o, e)
	}
}

func (c *Core) wake(o *op) {
	switch o.phase {
	case phaseCreatePause:
		c.create(o)
	case phaseClaimPause:
		c.readFor(o, phaseCheckingClaim)
	case phaseRaisePause:
		c.readFor(o, phaseRaiseCheck)
	case phaseAskPause:
		c.ask(o)
	case phaseRecordPause:
		c.readFor(o, phaseRecordCheck)
	case phaseAbandonPause:
		c.readFor(o, phaseAbandonCheck)
	case phaseObserving:
		c.readFor(o, phaseObserveCheck)
	}
}

// created handles the result of the claim's create.
func (c *Core) created(o *op, e ClaimWritten) {
	if o.given {
		o.mayExist = o.mayExist || e.Result != WriteRefused && e.Result != WriteConflict
		c.forget(o)
		return
	}
	switch e.Result {
	case WriteOK:
		c.holds(o, e.Revision)
	case WriteConflict:
		if c.options.trustConflict {
			c.holds(o, o.revision)
			return
		}
		o.conflicted = true
		c.readFor(o, phaseCheckingClaim)
	case WriteUnknown:
		o.mayExist = true
		c.readFor(o, phaseCheckingClaim)
	case WriteRefused:
		c.createRefused(o, e.Reason)
	}
}

// createRefused tries again within the window if only the store's rate is used
// up.
func (c *Core) createRefused(o *op, why reason.Reason) {
	if why != reason.StoreRateLimited || c.now >= o.notAfter {
		c.giveUpClaim(o, why, false)
		return
	}
	c.pause(o, phaseCreatePause)
	o.wakeAt = min(o.wakeAt, o.notAfter)
}

// holds continues with a claim that is known to be the operation's own.
func (c *Core) holds(o *op, revision uint64) {
	o.revision = revision
	o.pause = 0
	if c.now >= o.notAfter && !c.options.trustExpiredClaim {
		c.conclude(o, StateNotRun, reason.DispatchWindow)
		return
	}
	o.phase = phaseSending
	notAfter := o.notAfter
	if c.options.trustExpiredClaim {
		notAfter = 1 << 62
	}
	c.do(SendOrder{OpID: o.id, OrderID: o.order, Endpoint: o.claim.Endpoint, Fence: revision, NotAfter: notAfter})
}

// claimChecked handles the read back after a lost answer or a conflict.
func (c *Core) claimChecked(o *op, e ClaimRead) {
	if o.given {
		c.forget(o)
		return
	}
	switch {
	case e.Result == ReadFailed:
		c.claimPause(o)
	case e.Result == ReadNotFound:
		c.createAgain(o)
	case e.Stored.ClaimID == o.claim.ClaimID:
		c.ownClaimRead(o, e.Stored)
	default:
		c.foreignClaim(o, e)
	}
}

// createAgain repeats the create. Both writes carry the same claim and exclude
// each other, so that it does not matter which takes effect.
func (c *Core) createAgain(o *op) {
	if c.now >= o.notAfter {
		c.giveUpClaim(o, reason.StoreUnavailable, false)
		return
	}
	c.create(o)
}

func (c *Core) claimPause(o *op) {
	if c.now >= o.notAfter {
		c.giveUpClaim(o, reason.StoreUnavailable, false)
		return
	}
	c.pause(o, phaseClaimPause)
	o.wakeAt = min(o.wakeAt, o.notAfter)
}

// ownClaimRead continues with the own claim. A resolver may have changed it
// already; then it must not be sent.
func (c *Core) ownClaimRead(o *op, stored StoredClaim) {
	o.revision = stored.Revision
	if stored.State == StateClaimed {
		c.holds(o, stored.Revision)
		return
	}
	if stored.State.Final() {
		c.reply(o, stored.Claim)
		c.end(o, false)
		return
	}
	c.conclude(o, StateNotRun, reason.DispatchWindow)
}

// foreignClaim answers with the claim of another request. The own claim lost
// and cannot take effect while the other one exists.
func (c *Core) foreignClaim(o *op, e ClaimRead) {
	c.answerClaim(o, e)
	c.end(o, false)
}

// giveUpClaim refuses an order that was not handed to Send and never will be.
// A store call that is under way continues with forget.
func (c *Core) giveUpClaim(o *op, why reason.Reason, underWay bool) {
	refusal := reason.New(why, "the order was not claimed in time and is not sent").WithRetryAfter(time.Second)
	if o.conflicted {
		refusal = refusal.WithRun(reason.RunUnknown)
	}
	c.refuse(o, refusal)
	if c.options.dropOnDeadline {
		o.notAfter = o.start + DispatchWindow
		return
	}
	o.given = true
	c.given++
	o.limit = c.now + abandonLimit
	if !underWay {
		c.forget(o)
	}
}

// forget ends a refused order, after deleting its claim if it may exist.
func (c *Core) forget(o *op) {
	if !o.mayExist {
		c.end(o, false)
		return
	}
	c.readFor(o, phaseAbandonCheck)
}

func (c *Core) abandonChecked(o *op, e ClaimRead) {
	switch {
	case e.Result != ReadFound:
		// A write whose answer was lost can still be on its way.
		c.abandonPause(o)
	case e.Stored.ClaimID != o.claim.ClaimID:
		c.end(o, false)
	case e.Stored.State == StateClaimed:
		o.phase = phaseAbandoning
		c.do(DeleteClaim{OpID: o.id, OrderID: o.order, ExpectedRevision: e.Stored.Revision})
	case e.Stored.State.Final():
		c.end(o, false)
	default:
		o.revision = e.Stored.Revision
		c.conclude(o, StateNotRun, reason.StoreUnavailable)
	}
}

func (c *Core) abandoned(o *op, e ClaimWritten) {
	if e.Result == WriteOK {
		c.end(o, false)
		return
	}
	c.abandonPause(o)
}

func (c *Core) abandonPause(o *op) {
	if c.now >= o.limit {
		c.end(o, false)
		return
	}
	c.pause(o, phaseAbandonPause)
}

// answer reports the claim that was read for a question or for an order that
// has no endpoint.
func (c *Core) answer(o *op, e ClaimRead) {
	switch {
	case e.Result == ReadFound:
		c.answerClaim(o, e)
	case o.refusal != nil:
		c.refuse(o, o.refusal)
	case e.Result == ReadNotFound:
		c.refuse(o, reason.New(reason.NotFound, "no order has the key"))
	default:
		c.refuse(o, reason.New(reason.StoreUnavailable, "the claim could not be read").
			WithRun(reason.RunUnknown).WithRetryAfter(time.Second))
	}
	c.end(o, false)
}

// answerClaim reports a recorded claim and takes care of it if its outcome is
// open.
func (c *Core) answerClaim(o *op, e ClaimRead) {
	switch {
	case !o.query && e.Stored.Digest != o.digest:
		c.refuse(o, sameKey(e.Stored.Claim, o.digest))
	default:
		c.reply(o, e.Stored.Claim)
	}
	if holder, ok := c.holders[o.order]; ok && holder != o {
		return
	}
	c.observe(o.order, e.Stored, e.Age)
}
