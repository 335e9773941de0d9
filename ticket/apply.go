package ticket

import (
	"errors"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/store"
)

const (
	// maxApplies bounds the tickets that wait on one instance.
	maxApplies = 16
	// applyBound is how long an apply tries. After it the operator repeats the
	// same ticket to learn its state.
	applyBound = 8 * time.Second
	// applyRetry is the pause after a call to the store that failed.
	applyRetry = 100 * time.Millisecond
	// maxPending bounds the tickets that wait for acceptance.
	maxPending = 256
	// maxTickets bounds the numbers in the head, which every instance receives
	// with each change; compaction keeps it far lower.
	maxTickets = 2048
)

// applyJob writes one ticket: body first, then the head. Each step can be
// repeated, so that a lost answer is resolved by reading back.
type applyJob struct {
	id       uint64
	raw      []byte
	body     *Ticket
	deadline time.Duration
	// mayBeWritten says that the head may name the ticket although no answer
	// said so.
	mayBeWritten bool
	bodyWritten  bool
	// checked is the head version that the ticket was validated against.
	checked uint64
	// read says that the head was read from the store for this ticket.
	read bool
}

func (c *Core) startApply(now time.Duration, e TicketSubmitted) {
	if !c.ready {
		c.emit(SubmitResult{ID: e.ID, Err: reason.New(reason.NotReady, "the instance has no tickets yet").WithRetryAfter(time.Second)})
		return
	}
	if len(c.applies) >= maxApplies {
		c.emit(SubmitResult{ID: e.ID, Err: reason.New(reason.Overloaded, "%d tickets wait already", maxApplies).WithRetryAfter(time.Second)})
		return
	}
	job := &applyJob{id: e.ID, raw: e.Raw, body: e.Body, deadline: now + applyBound}
	c.applies = append(c.applies, job)
	if len(c.applies) == 1 {
		c.applyChecked(now, job)
	}
}

// finish replies and starts the next ticket.
func (c *Core) finish(now time.Duration, job *applyJob, err error, findings []Finding) {
	c.emit(SubmitResult{ID: job.id, Err: err, Findings: findings, Head: c.applied.head.clone()})
	c.applies = c.applies[1:]
	if len(c.applies) > 0 {
		c.applyChecked(now, c.applies[0])
	}
}

// applyHead reads the head after a step failed. Normally the head that applies
// here is the newest one, and the conditional update shows if it is not.
func (c *Core) applyHead(now time.Duration, job *applyJob) {
	job.read = true
	c.call(StoreCall{Op: StoreGet, Key: headKey}, func(now time.Duration, r StoreDone) {
		if !c.headRead(now, r) {
			c.retryApply(now, job, r.Err, c.applyHead)
			return
		}
		c.applyChecked(now, job)
	})
}

// retryApply repeats a step after a pause, or gives up at the deadline.
func (c *Core) retryApply(now time.Duration, job *applyJob, cause error, step func(time.Duration, *applyJob)) {
	if now >= job.deadline {
		c.finish(now, job, c.giveUp(job, cause), nil)
		return
	}
	job.wait(c, now+applyRetry, step)
}

// wait arranges for the step to run at a tick after the time.
func (job *applyJob) wait(c *Core, at time.Duration, step func(time.Duration, *applyJob)) {
	c.later = append(c.later, timer{at: at, run: func(now time.Duration) { step(now, job) }})
}

func (c *Core) giveUp(job *applyJob, cause error) error {
	r := reason.StoreUnavailable
	if errors.Is(cause, store.ErrRateLimited) {
		r = reason.StoreRateLimited
	}
	if job.mayBeWritten {
		return reason.New(r, "the store's answer was lost; the ticket may be written: send the same ticket again to find out").WithRun(reason.RunUnknown).WithRetryAfter(time.Second)
	}
	return reason.New(r, "the ticket was not written").WithRetryAfter(time.Second)
}

// applyChecked decides by the head, and waits while tickets that it names are
// still being read.
func (c *Core) applyChecked(now time.Duration, job *applyJob) {
	if c.catchup.wanted != nil {
		c.retryApply(now, job, nil, c.applyChecked)
		return
	}
	number := job.body.Number
	head := &c.applied.head
	switch {
	case head.names(number):
		c.finish(now, job, c.sameOrConflict(number, c.bodies[number].ticket, job.body), nil)
	case number <= head.Snapshot:
		c.compareStored(now, job, reason.TicketSuperseded)
	case number <= head.Latest:
		c.finish(now, job, reason.New(reason.TicketSuperseded, "the latest ticket is %d", head.Latest), nil)
	case len(head.pending()) >= maxPending || len(head.Tickets) >= maxTickets:
		c.finish(now, job, reason.New(reason.TicketPending, "%d tickets wait for acceptance", len(head.pending())).WithRetryAfter(time.Second), nil)
	default:
		c.applyValidated(now, job)
	}
}

func (c *Core) sameOrConflict(number uint64, have, want *Ticket) error {
	if have.digest() == want.digest() || c.options.skipCompare {
		return nil
	}
	return reason.New(reason.TicketConflict, "ticket %d has another body", number)
}

// latestState is the state once all written tickets are accepted.
func (c *Core) latestState() *State {
	state := c.state.clone()
	for _, number := range c.applied.head.pending() {
		state.apply(c.bodies[number].ticket)
	}
	return state
}

func (c *Core) applyValidated(now time.Duration, job *applyJob) {
	found := Validate(job.body, c.latestState())
	if len(found) > 0 && !job.read {
		c.applyHead(now, job) // a newer state may allow the ticket
		return
	}
	if len(found) > 0 {
		c.finish(now, job, reason.New(reason.TicketInvalid, "the ticket has %d findings", len(found)), found)
		return
	}
	job.checked = c.applied.version
	if job.bodyWritten {
		c.writeHead(now, job)
		return
	}
	c.writeBody(now, job)
}

func (c *Core) writeBody(_ time.Duration, job *applyJob) {
	c.call(StoreCall{Op: StorePut, Key: ticketKey(job.body.Number), Value: job.raw}, func(now time.Duration, r StoreDone) {
		switch {
		case r.Err == nil:
			job.bodyWritten = true
			c.writeHead(now, job)
		case errors.Is(r.Err, store.ErrConflict), errors.Is(r.Err, store.ErrUnknown):
			c.compareStored(now, job, reason.TicketConflict)
		default:
			c.retryApply(now, job, r.Err, c.applyHead)
		}
	})
}

// compareStored reads the stored body of the number: one with the same content
// is this ticket, from an earlier attempt or another operator.
func (c *Core) compareStored(_ time.Duration, job *applyJob, otherwise reason.Reason) {
	number := job.body.Number
	c.call(StoreCall{Op: StoreGet, Key: ticketKey(number)}, func(now time.Duration, r StoreDone) {
		if errors.Is(r.Err, store.ErrNotFound) && number > c.applied.head.Snapshot {
			c.retryApply(now, job, r.Err, c.applyHead) // the write did not take effect
			return
		}
		if errors.Is(r.Err, store.ErrNotFound) {
			c.finish(now, job, reason.New(otherwise, "the latest ticket is %d", c.applied.head.Latest), nil)
			return
		}
		if r.Err != nil {
			c.retryApply(now, job, r.Err, c.applyHead)
			return
		}
		have, found := Parse(r.Object.Value)
		if len(found) > 0 {
			c.finish(now, job, reason.New(reason.TicketConflict, "ticket %d has a body that cannot be read", number), nil)
			return
		}
		if err := c.sameOrConflict(number, have, job.body); err != nil || number <= c.applied.head.Snapshot {
			c.finish(now, job, err, nil)
			return
		}
		// All instances keep the bytes that are stored.
		job.raw, job.body, job.bodyWritten = r.Object.Value, have, true
		c.writeHead(now, job)
	})
}

// writeHead names the ticket in the head. From then on it counts as written.
func (c *Core) writeHead(now time.Duration, job *applyJob) {
	number := job.body.Number
	if job.checked != c.applied.version {
		c.applyChecked(now, job) // the head moved meanwhile
		return
	}
	head := c.applied.head.clone()
	head.Latest = number
	head.Tickets = append(head.Tickets, number)
	if c.options.acceptOnWrite {
		head.Accepted = number
	}
	expect := store.Version(c.applied.version)
	c.call(StoreCall{Op: StorePut, Key: headKey, Value: head.encode(), Expect: expect}, func(now time.Duration, r StoreDone) {
		if r.Err != nil {
			c.headNotWritten(now, job, r.Err)
			return
		}
		c.bodies[number] = &body{raw: job.raw, ticket: job.body}
		c.learn(now, known{head: head, version: version(r.Object.Version)}, "")
		c.finish(now, job, nil, nil)
	})
}

func (c *Core) headNotWritten(now time.Duration, job *applyJob, err error) {
	switch {
	case errors.Is(err, store.ErrConflict):
		c.emit(Note{Kind: NoteHeadConflict, Ticket: job.body.Number})
	case errors.Is(err, store.ErrUnknown):
		job.mayBeWritten = true
		c.emit(Note{Kind: NoteWriteResponseLost, Ticket: job.body.Number})
	}
	c.retryApply(now, job, err, c.applyHead)
}

// timer runs a step at a tick after its time.
type timer struct {
	at  time.Duration
	run func(now time.Duration)
}

func (c *Core) runTimers(now time.Duration) {
	due := make([]timer, 0, len(c.later))
	c.later = slices.DeleteFunc(c.later, func(t timer) bool {
		if t.at <= now {
			due = append(due, t)
			return true
		}
		return false
	})
	for _, t := range due {
		t.run(now)
	}
}
