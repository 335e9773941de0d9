package ticket

import (
	"errors"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/store"
)

const (
	// maxQueuedSubmissions limits the submitted tickets that wait on one
	// instance.
	maxQueuedSubmissions = 16
	// submissionTimeout limits how long a submission is retried. After it the
	// operator can submit the same ticket again to learn its state.
	submissionTimeout = 8 * time.Second
	// submissionRetryDelay is the delay after a failed call to the store.
	submissionRetryDelay = 100 * time.Millisecond
	// maxPendingTickets limits the tickets that wait for acceptance.
	maxPendingTickets = 256
	// maxListedTickets limits the tickets that the head lists, because every
	// instance receives the head with each change. Compaction keeps the list much
	// shorter.
	maxListedTickets = 2048
)

// submission writes one ticket to the store: first the body, then the head that
// lists it. Each step can be retried: after a lost response the value is read back
// to find out whether the write took effect.
type submission struct {
	id       uint64
	raw      []byte // encoded ticket
	ticket   *Ticket
	deadline time.Duration
	// mayBeListed says that the response to the write of the head was lost, so
	// that the head may list the ticket.
	mayBeListed bool
	bodyWritten bool
	// validatedVersion is the version of the head that the ticket was validated
	// against.
	validatedVersion uint64
	// headReread says that the head was read from the store for this submission.
	headReread bool
}

func (c *Core) startSubmission(now time.Duration, e TicketSubmitted) {
	if !c.ready {
		c.emit(SubmitResult{ID: e.ID, Err: reason.New(reason.NotReady, "the instance has no tickets yet").WithRetryAfter(time.Second)})
		return
	}
	if len(c.submissions) >= maxQueuedSubmissions {
		c.emit(SubmitResult{ID: e.ID, Err: reason.New(reason.Overloaded, "%d tickets wait already", maxQueuedSubmissions).WithRetryAfter(time.Second)})
		return
	}
	s := &submission{id: e.ID, raw: e.Raw, ticket: e.Body, deadline: now + submissionTimeout}
	c.submissions = append(c.submissions, s)
	if len(c.submissions) == 1 {
		c.continueSubmission(now, s)
	}
}

// finishSubmission returns the result of the submission, which is the first one in
// the queue, and starts the next one.
func (c *Core) finishSubmission(now time.Duration, s *submission, err error, findings []Finding) {
	c.emit(SubmitResult{ID: s.id, Err: err, Findings: findings, Head: c.applied.head.clone()})
	c.submissions = c.submissions[1:]
	if len(c.submissions) > 0 {
		c.continueSubmission(now, c.submissions[0])
	}
}

// rereadHead reads the head from the store after a step failed. Normally the
// applied head is the newest one, and the conditional update fails if it is not.
func (c *Core) rereadHead(now time.Duration, s *submission) {
	s.headReread = true
	c.startStoreCall(StoreCall{Op: StoreGet, Key: headKey}, func(now time.Duration, r StoreDone) {
		if !c.handleHeadRead(now, r) {
			c.retrySubmission(now, s, r.Err, c.rereadHead)
			return
		}
		c.continueSubmission(now, s)
	})
}

// retrySubmission retries a step after a delay, or fails the submission if its
// deadline has passed.
func (c *Core) retrySubmission(now time.Duration, s *submission, cause error, step func(time.Duration, *submission)) {
	if now >= s.deadline {
		c.finishSubmission(now, s, c.timeoutError(s, cause), nil)
		return
	}
	s.scheduleStep(c, now+submissionRetryDelay, step)
}

// scheduleStep runs the step at the first tick at or after the time.
func (s *submission) scheduleStep(c *Core, at time.Duration, step func(time.Duration, *submission)) {
	c.timers = append(c.timers, timer{at: at, run: func(now time.Duration) { step(now, s) }})
}

// timeoutError returns the error of a submission whose deadline has passed.
func (c *Core) timeoutError(s *submission, cause error) error {
	r := reason.StoreUnavailable
	if errors.Is(cause, store.ErrRateLimited) {
		r = reason.StoreRateLimited
	}
	if s.mayBeListed {
		return reason.New(r, "the store's answer was lost; the ticket may be written: send the same ticket again to find out").WithRun(reason.RunUnknown).WithRetryAfter(time.Second)
	}
	return reason.New(r, "the ticket was not written").WithRetryAfter(time.Second)
}

// continueSubmission compares the submitted number with the head and starts the
// next step. It waits while a newer head is being read.
func (c *Core) continueSubmission(now time.Duration, s *submission) {
	if c.catchup.target != nil {
		c.retrySubmission(now, s, nil, c.continueSubmission)
		return
	}
	number := s.ticket.Number
	head := &c.applied.head
	switch {
	case head.lists(number):
		c.finishSubmission(now, s, c.checkSameTicket(number, c.tickets[number].ticket, s.ticket), nil)
	case number <= head.Snapshot:
		c.compareWithStoredBody(now, s, reason.TicketSuperseded)
	case number <= head.Latest:
		c.finishSubmission(now, s, reason.New(reason.TicketSuperseded, "the latest ticket is %d", head.Latest), nil)
	case len(head.pending()) >= maxPendingTickets || len(head.Tickets) >= maxListedTickets:
		// A full list is compacted only once no ticket is pending.
		c.finishSubmission(now, s, reason.New(reason.TicketPending, "%d tickets wait for acceptance", len(head.pending())).WithRetryAfter(time.Second), nil)
	default:
		c.validateSubmission(now, s)
	}
}

// checkSameTicket returns an error if the submitted ticket differs from the
// stored one with the same number.
func (c *Core) checkSameTicket(number uint64, stored, submitted *Ticket) error {
	if stored.digest() == submitted.digest() || c.options.skipCompare {
		return nil
	}
	return reason.New(reason.TicketConflict, "ticket %d has another body", number)
}

// latestState returns the state after all written tickets are accepted.
func (c *Core) latestState() *State {
	state := c.acceptedState.clone()
	for _, number := range c.applied.head.pending() {
		state.apply(c.tickets[number].ticket)
	}
	return state
}

func (c *Core) validateSubmission(now time.Duration, s *submission) {
	findings := Validate(s.ticket, c.latestState())
	if len(findings) > 0 && !s.headReread {
		c.rereadHead(now, s) // the ticket may be valid against a newer state
		return
	}
	if len(findings) > 0 {
		c.finishSubmission(now, s, reason.New(reason.TicketInvalid, "the ticket has %d findings", len(findings)), findings)
		return
	}
	s.validatedVersion = c.applied.version
	if s.bodyWritten {
		c.writeHeadWithTicket(now, s)
		return
	}
	c.writeTicketBody(now, s)
}

func (c *Core) writeTicketBody(_ time.Duration, s *submission) {
	c.startStoreCall(StoreCall{Op: StorePut, Key: ticketKey(s.ticket.Number), Value: s.raw}, func(now time.Duration, r StoreDone) {
		switch {
		case r.Err == nil:
			s.bodyWritten = true
			c.writeHeadWithTicket(now, s)
		case errors.Is(r.Err, store.ErrConflict), errors.Is(r.Err, store.ErrUnknown):
			c.compareWithStoredBody(now, s, reason.TicketConflict)
		default:
			c.retrySubmission(now, s, r.Err, c.rereadHead)
		}
	})
}

// compareWithStoredBody reads the stored body with the submitted number. A body
// with the same content is the same ticket, from an earlier attempt or from
// another operator. notFoundReason is the reason of the error if a ticket that the
// head's snapshot contains is not in the store.
func (c *Core) compareWithStoredBody(_ time.Duration, s *submission, notFoundReason reason.Reason) {
	number := s.ticket.Number
	c.startStoreCall(StoreCall{Op: StoreGet, Key: ticketKey(number)}, func(now time.Duration, r StoreDone) {
		if errors.Is(r.Err, store.ErrNotFound) && number > c.applied.head.Snapshot {
			c.retrySubmission(now, s, r.Err, c.rereadHead) // the write did not take effect
			return
		}
		if errors.Is(r.Err, store.ErrNotFound) {
			c.finishSubmission(now, s, reason.New(notFoundReason, "the latest ticket is %d", c.applied.head.Latest), nil)
			return
		}
		if r.Err != nil {
			c.retrySubmission(now, s, r.Err, c.rereadHead)
			return
		}
		stored, findings := Parse(r.Object.Value)
		if len(findings) > 0 {
			c.finishSubmission(now, s, reason.New(reason.TicketConflict, "ticket %d has a body that cannot be read", number), nil)
			return
		}
		if err := c.checkSameTicket(number, stored, s.ticket); err != nil || number <= c.applied.head.Snapshot {
			c.finishSubmission(now, s, err, nil)
			return
		}
		// All instances keep the bytes that are stored.
		s.raw, s.ticket, s.bodyWritten = r.Object.Value, stored, true
		c.writeHeadWithTicket(now, s)
	})
}

// writeHeadWithTicket adds the ticket to the head. From then on it counts as
// written.
func (c *Core) writeHeadWithTicket(now time.Duration, s *submission) {
	number := s.ticket.Number
	if s.validatedVersion != c.applied.version {
		c.continueSubmission(now, s) // the head has changed since the validation
		return
	}
	head := c.applied.head.clone()
	head.Latest = number
	head.Tickets = append(head.Tickets, number)
	if c.options.acceptOnWrite {
		head.Accepted = number
	}
	expect := store.Version(c.applied.version)
	c.startStoreCall(StoreCall{Op: StorePut, Key: headKey, Value: head.encode(), ExpectedVersion: expect}, func(now time.Duration, r StoreDone) {
		if r.Err != nil {
			c.handleHeadWriteError(now, s, r.Err)
			return
		}
		c.tickets[number] = &encodedTicket{raw: s.raw, ticket: s.ticket}
		c.handleNewerHead(now, versionedHead{head: head, version: versionNumber(r.Object.Version)}, "")
		c.finishSubmission(now, s, nil, nil)
	})
}

func (c *Core) handleHeadWriteError(now time.Duration, s *submission, err error) {
	switch {
	case errors.Is(err, store.ErrConflict):
		c.emit(Note{Kind: NoteHeadConflict, Ticket: s.ticket.Number})
	case errors.Is(err, store.ErrUnknown):
		s.mayBeListed = true
		c.emit(Note{Kind: NoteWriteResponseLost, Ticket: s.ticket.Number})
	}
	c.retrySubmission(now, s, err, c.rereadHead)
}

// timer runs a function at the first tick at or after a time.
type timer struct {
	at  time.Duration
	run func(now time.Duration)
}

func (c *Core) runTimers(now time.Duration) {
	due := make([]timer, 0, len(c.timers))
	c.timers = slices.DeleteFunc(c.timers, func(t timer) bool {
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
