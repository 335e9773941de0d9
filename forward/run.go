package forward

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// attemptMessage is a message from the goroutine of an attempt: the response
// header, the whole body of a response that is no stream, an event, or the end
// of the response.
type attemptMessage struct {
	response *http.Response
	whole    bool // body is the whole body of response
	body     []byte
	event    event
	complete bool // the response ended after a complete event
	err      error
}

// streamAttempt is one attempt of a streamed request at one engine.
type streamAttempt struct {
	lease          *balance.Lease
	tracked        *trackedAttempt
	counted        *countedAttempt
	cancel         context.CancelFunc
	messages       chan attemptMessage
	stall          stallDetector
	header         http.Header // of the engine's response
	fromBackup     bool        // continues from the backup that the engine holds
	eventsReceived int         // that carried progress
	lastReceivedID int64       // highest event ID that this attempt received
	// endsWithConnection is true if the response has neither a length nor chunks.
	endsWithConnection bool
	hasEvent           bool // an event was received, with an ID or without
	held               *holding
	engine             engineProgress
}

// executeAttempt sends the request and passes the response to r.messages event
// by event.
func (h *Handler) executeAttempt(ctx context.Context, r *streamAttempt, out *http.Request) {
	defer close(r.messages)
	send := func(m attemptMessage) bool {
		select {
		case r.messages <- m:
			return true
		case <-ctx.Done():
			return false
		}
	}
	conn, err := h.connect(ctx, r.lease.Endpoint, true)
	if err != nil {
		send(attemptMessage{err: errConnect})
		return
	}
	defer conn.Close()
	r.engine.conn.Store(conn)
	h.attempts.markSent(r.tracked)
	response, err := conn.RoundTrip(out)
	if err != nil {
		send(attemptMessage{err: err})
		return
	}
	defer func() { _ = response.Body.Close() }()
	if !send(attemptMessage{response: response}) {
		return
	}
	if response.StatusCode != http.StatusOK {
		if !r.held.reserve(ctx, failureBytes(response), h.evictForRoom) {
			return
		}
		body, err := readBody(response)
		send(attemptMessage{response: response, whole: err == nil, body: body, err: err})
		return
	}
	events := newEventReader(response.Body)
	for {
		next, err := events.next()
		if errors.Is(err, io.EOF) {
			send(attemptMessage{complete: true})
			return
		}
		if !r.held.reserve(ctx, int64(len(next.raw)), h.evictForRoom) || !send(attemptMessage{event: next, err: err}) || err != nil {
			return
		}
	}
}

// errConnect means that no connection was established, so nothing was sent.
var errConnect = errors.New("no connection to the endpoint")

// attemptResult is how an attempt ended.
type attemptResult struct {
	// complete is true if the response ended after a complete event.
	complete bool
	// interruption is set if the attempt was interrupted and another engine may
	// continue the response.
	interruption *reason.Error
	// finalError is why the response cannot continue.
	finalError *reason.Error
	outcome    balance.Outcome
}

// deliverAttempt forwards the events of an attempt to the caller. It returns
// true when the response is complete; otherwise s.interruption says why the
// attempt ended.
func (s *stream) deliverAttempt(r *streamAttempt) (bool, *reason.Error) {
	end := s.processMessages(r)
	r.cancel()
	r.held.close()
	s.h.concludeAttempt(s.req, r.lease, r.tracked, end.outcome)
	s.recordFreedEngine(r, end)
	r.counted.end(end.outcome, cmp.Or(end.interruption, end.finalError))
	if end.interruption != nil {
		if end.interruption.Run != reason.RunNo {
			s.req.recordFailedVersion(r.lease.Endpoint.Version)
		}
		s.recordInterruption(r, end.interruption)
	}
	return end.complete, end.finalError
}

// processMessages handles the messages of an attempt until it ends.
func (s *stream) processMessages(r *streamAttempt) attemptResult {
	timer := time.NewTimer(firstProbeDelay)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return attemptResult{finalError: s.contextError(), outcome: balance.Cancelled}
		case <-timer.C:
			if refusal := s.refusedWhileWaiting(r); refusal != nil {
				return attemptResult{finalError: refusal, outcome: balance.Cancelled}
			}
			if s.handleStall(r, timer) {
				return attemptResult{interruption: engineSilentError(), outcome: balance.TimedOut}
			}
		case next, open := <-r.messages:
			if !open {
				return attemptResult{finalError: s.contextError(), outcome: balance.Cancelled}
			}
			if end := s.handleMessage(r, next); end != nil {
				return *end
			}
		}
	}
}

// handleMessage handles one message from an attempt. It returns nil while the
// attempt continues.
func (s *stream) handleMessage(r *streamAttempt, next attemptMessage) *attemptResult {
	switch {
	case next.whole:
		return s.deliverFailure(r, next)
	case next.err != nil:
		return s.handleError(next.err)
	case next.response != nil:
		r.header = next.response.Header
		r.endsWithConnection = next.response.ContentLength < 0 && len(next.response.TransferEncoding) == 0
		return s.handleHeader(r, next.response)
	case next.complete:
		return s.handleEnd(r)
	}
	return s.handleEvent(r, next.event)
}

// handleHeader handles the response header. It returns a result if the engine
// did not run the request or if its failure is not forwarded.
func (s *stream) handleHeader(r *streamAttempt, response *http.Response) *attemptResult {
	s.h.activity.record(s.h.o.Clock())
	info := s.h.o.Protocol.DecodeResponse(response)
	s.h.observeResponse(s.req, r.lease.Endpoint, info)
	interrupted := func(why reason.Reason, run reason.RunStatus, outcome balance.Outcome, message string) *attemptResult {
		s.mayHaveRun = s.mayHaveRun || run != reason.RunNo
		err := reason.New(why, "%s", message).WithRun(run)
		if run == reason.RunNo {
			err = err.WithRetryAfter(busyRetryAfter)
		}
		return &attemptResult{interruption: err, outcome: outcome}
	}
	switch {
	case info.Misdirected:
		s.h.reportMisdirected(r.lease.Endpoint, r.tracked, info.AnsweredBy)
		return interrupted(reason.EndpointUnreachable, reason.RunNo, balance.Unreachable, "another endpoint has the address")
	case info.NotExecuted:
		return interrupted(reason.EngineRefused, reason.RunNo, balance.Refused, "the engine did not run the request")
	case info.ID != "" && info.ID != s.req.info.ID:
		return interrupted(reason.ChunkForeign, reason.RunUnknown, balance.Interrupted, "the answer belongs to another request")
	case !info.Signed && response.StatusCode < http.StatusBadRequest:
		return interrupted(reason.ChunkForeign, reason.RunUnknown, balance.Interrupted, "the answer is not signed")
	case response.StatusCode == http.StatusOK:
		return nil
	case response.StatusCode >= http.StatusInternalServerError || s.headerWritten:
		return interrupted(reason.EngineRefused, reason.RunYes, balance.Failed, "the engine answered with a failure")
	}
	// The body of an error response follows in a message of its own.
	return nil
}

// deliverFailure forwards an error response of the engine below status 500
// unchanged.
func (s *stream) deliverFailure(r *streamAttempt, next attemptMessage) *attemptResult {
	s.headerWritten = true
	s.h.deliverResponse(s.w, s.req, result{lease: r.lease, response: next.response, body: next.body})
	return &attemptResult{complete: true, outcome: balance.Completed}
}

// handleEnd handles the end of a response after a complete event. A stream has
// at least one event, so that one without any was broken off. An engine that
// continues a stream may have no further event, but then only a length or the
// last chunk shows that nothing is missing.
func (s *stream) handleEnd(r *streamAttempt) *attemptResult {
	empty := !r.hasEvent && r.endsWithConnection
	if empty || (s.lastEventID == 0 && !s.headerWritten) {
		return s.handleError(errNoEvent)
	}
	s.writeHeader(r, s.h.o.Clock())
	return &attemptResult{complete: true, outcome: balance.Completed}
}

// errNoEvent means that a stream ended before its first event.
var errNoEvent = errors.New("the stream ended before its first event")

func (s *stream) handleError(err error) *attemptResult {
	if errors.Is(err, errConnect) {
		// Nothing was sent, so the engine does not count as an attempt.
		s.req.attempts--
		interruption := reason.New(reason.ConnectFailed, "no connection to the engine").WithRetryAfter(busyRetryAfter)
		return &attemptResult{interruption: interruption, outcome: balance.Unreachable}
	}
	s.mayHaveRun = true
	interruption := reason.New(reason.EngineClosed, "the engine's connection ended: %s", err).WithRun(reason.RunUnknown)
	return &attemptResult{interruption: interruption, outcome: balance.Interrupted}
}

// handleEvent forwards an event unless the caller already has it. A gap in the
// event IDs interrupts the attempt.
func (s *stream) handleEvent(r *streamAttempt, e event) *attemptResult {
	s.mayHaveRun = true
	r.hasEvent = true
	now := s.h.o.Clock()
	s.recordProgress(r, e, now)
	defer r.held.release(int64(len(e.raw)))
	if e.hasID {
		switch {
		case e.id <= s.lastEventID:
			return nil
		case e.id != s.lastEventID+1 && s.lastEventID > 0:
			interruption := reason.New(reason.ChunkSkipped, "event %d follows event %d", e.id, s.lastEventID).WithRun(reason.RunYes)
			return &attemptResult{interruption: interruption, outcome: balance.Interrupted}
		}
	}
	s.recordVersion(r.lease.Endpoint)
	s.writeHeader(r, now)
	s.recordResume(r, e, now)
	if err := s.writeEvent(r, e.raw); err != nil {
		if s.ctx.Err() != nil {
			return &attemptResult{finalError: s.contextError(), outcome: balance.Cancelled}
		}
		s.callerWriteFailed = true
		s.callerSlow = s.h.slow != nil && isSlowCaller(err)
		final := reason.New(reason.SlowCaller, "the caller's connection failed: %s", err).WithRun(reason.RunYes)
		return &attemptResult{finalError: final, outcome: balance.Cancelled}
	}
	if e.hasID {
		s.lastEventID = e.id
	}
	return nil
}

// recordProgress resets the stall detector if the event has a higher ID than
// all before it in the attempt. Comments, blank lines and repeated events could
// come without end; a replay up to the next event ends.
func (s *stream) recordProgress(r *streamAttempt, e event, now time.Duration) {
	if !e.hasID || e.id <= r.lastReceivedID {
		return
	}
	r.lastReceivedID = e.id
	r.eventsReceived++
	s.recordServed(r)
	s.recordAdmittedEvent(r, now)
	r.counted.event(now)
	r.stall.recordEvent(now)
	s.h.activity.record(now)
	s.h.o.Balance.RecordResponse(r.lease)
}

// writeHeader writes the response header of the first engine that produced an
// event.
func (s *stream) writeHeader(r *streamAttempt, now time.Duration) {
	if s.headerWritten {
		return
	}
	s.headerWritten = true
	copyResponseHeader(s.w, r.header)
	s.w.Header().Del("Content-Length")
	s.w.WriteHeader(http.StatusOK)
	s.h.responseLatency.RecordDuration(now - s.req.received)
	s.req.log.Info("response started", "endpoint", r.lease.Endpoint.ID, "after_event", s.lastEventID,
		"age_ms", (now - s.req.received).Milliseconds())
}

// recordResume records the gap in the stream that the interruption caused.
func (s *stream) recordResume(r *streamAttempt, e event, now time.Duration) {
	if s.interruptedAt == 0 {
		return
	}
	s.h.resumeLatency.RecordDuration(now - s.interruptedAt)
	s.req.log.Info("stream resumed", "endpoint", r.lease.Endpoint.ID, "event", e.id,
		"copied", r.fromBackup, "gap_ms", (now - s.interruptedAt).Milliseconds())
	s.interruptedAt = 0
}

// writeEvent writes an event to the caller and flushes it.
func (s *stream) writeEvent(r *streamAttempt, raw []byte) error {
	if err := s.h.slow.awaitCaller(s.ctx, s.req.inbound, len(raw), &r.engine); err != nil {
		return err
	}
	s.extendWriteDeadline()
	if _, err := s.w.Write(raw); err != nil {
		return err
	}
	return s.controller.Flush()
}

func engineSilentError() *reason.Error {
	return reason.New(reason.EngineSilent, "the engine sent nothing within the bound").WithRun(reason.RunUnknown)
}

// extendWriteDeadline gives the next write to the caller writeTimeout from now.
func (s *stream) extendWriteDeadline() {
	// The error is ignored: all response writers of net/http support deadlines,
	// those of tests may not.
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.h.writeTimeout()))
}
