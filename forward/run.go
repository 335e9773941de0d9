package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/routing"
)

// runMessage is a message from the goroutine of a run: the response header, an
// event, or the end of the response.
type runMessage struct {
	response *http.Response
	event    event
	complete bool // the response ended after a complete event
	err      error
}

// run is one attempt at one engine.
type run struct {
	lease          *balance.Lease
	cancel         context.CancelFunc
	messages       chan runMessage
	stall          stallDetector
	header         http.Header // of the engine's response
	fromBackup     bool        // continues from the backup copy on the engine
	eventsReceived int
}

// executeRun sends the request and passes the response to r.messages event by
// event.
func (h *Handler) executeRun(ctx context.Context, r *run, out *http.Request) {
	defer close(r.messages)
	send := func(m runMessage) bool {
		select {
		case r.messages <- m:
			return true
		case <-ctx.Done():
			return false
		}
	}
	conn, err := h.o.Pool.Get(ctx, r.lease.Endpoint, true)
	if err != nil {
		send(runMessage{err: errConnect})
		return
	}
	defer conn.Close()
	response, err := conn.RoundTrip(out)
	if err != nil {
		send(runMessage{err: err})
		return
	}
	defer func() { _ = response.Body.Close() }()
	if !send(runMessage{response: response}) {
		return
	}
	events := newEventReader(response.Body)
	for {
		next, err := events.next()
		if errors.Is(err, io.EOF) {
			send(runMessage{complete: true})
			return
		}
		if !send(runMessage{event: next, err: err}) || err != nil {
			return
		}
	}
}

// errConnect means that no connection was established, so nothing was sent.
var errConnect = errors.New("no connection to the endpoint")

// runResult is how a run ended.
type runResult struct {
	// complete is true if the response ended after its last event.
	complete bool
	// lossReason is why the run ended although another engine may continue the
	// response.
	lossReason *reason.Error
	// finalError is why the response cannot continue.
	finalError *reason.Error
	outcome    balance.Outcome
}

// deliverRun forwards the events of a run to the caller. It returns true when
// the response is complete; otherwise s.lossReason says why the run ended.
func (s *stream) deliverRun(r *run) (bool, *reason.Error) {
	s.h.running.add(r.lease.Endpoint.ID, s.req.digest)
	end := s.processMessages(r)
	r.cancel()
	s.h.concludeAttempt(s.req, r.lease, end.outcome)
	if end.lossReason != nil {
		s.recordLoss(r, end.lossReason)
	}
	return end.complete, end.finalError
}

// processMessages handles the messages of a run until it ends.
func (s *stream) processMessages(r *run) runResult {
	timer := time.NewTimer(firstProbeDelay)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return runResult{finalError: s.deadlineError(), outcome: balance.Cancelled}
		case <-timer.C:
			if s.checkStall(r, timer) {
				lost := reason.New(reason.EngineSilent, "the engine sent nothing within the bound").WithRun(reason.RunUnknown)
				return runResult{lossReason: lost, outcome: balance.TimedOut}
			}
		case next, open := <-r.messages:
			if !open {
				return runResult{finalError: s.deadlineError(), outcome: balance.Cancelled}
			}
			if end := s.handleMessage(r, next); end != nil {
				return *end
			}
		}
	}
}

// handleMessage handles one message from a run. It returns nil while the run
// goes on.
func (s *stream) handleMessage(r *run, next runMessage) *runResult {
	switch {
	case next.response != nil:
		r.header = next.response.Header
		return s.handleHeader(r, next.response)
	case next.complete:
		return &runResult{complete: true, outcome: balance.Completed}
	case next.err != nil:
		return s.handleError(next.err)
	}
	return s.handleEvent(r, next.event)
}

// handleHeader handles the response header. It returns a result if the engine
// did not run the request or if the response is not a stream.
func (s *stream) handleHeader(r *run, response *http.Response) *runResult {
	info := s.h.o.Protocol.DecodeResponse(response)
	lost := func(why reason.Reason, run reason.RunStatus, outcome balance.Outcome, message string) *runResult {
		s.mayHaveRun = s.mayHaveRun || run != reason.RunNo
		err := reason.New(why, "%s", message).WithRun(run)
		if run == reason.RunNo {
			err = err.WithRetryAfter(busyRetryAfter)
		}
		return &runResult{lossReason: err, outcome: outcome}
	}
	switch {
	case info.Misdirected:
		return lost(reason.EndpointUnreachable, reason.RunNo, balance.Unreachable, "another endpoint has the address")
	case info.NotExecuted:
		return lost(reason.EngineRefused, reason.RunNo, balance.Refused, "the engine did not run the request")
	case info.ID != "" && info.ID != s.req.info.ID:
		return lost(reason.ChunkForeign, reason.RunUnknown, balance.Interrupted, "the answer belongs to another request")
	case response.StatusCode == http.StatusOK:
		return nil
	case response.StatusCode >= http.StatusInternalServerError || s.headerWritten:
		return lost(reason.EngineRefused, reason.RunYes, balance.Failed, "the engine answered with a failure")
	}
	// An error response of the engine below status 500 is forwarded unchanged.
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return lost(reason.EngineClosed, reason.RunUnknown, balance.Interrupted, "the answer broke off")
	}
	s.headerWritten = true
	s.h.deliverResponse(s.w, s.req, result{lease: r.lease, response: response, body: body})
	return &runResult{complete: true, outcome: balance.Completed}
}

func (s *stream) handleError(err error) *runResult {
	if errors.Is(err, errConnect) {
		// Nothing was sent, so the engine does not count as an attempt.
		s.req.attempts--
		lost := reason.New(reason.ConnectFailed, "no connection to the engine").WithRetryAfter(busyRetryAfter)
		return &runResult{lossReason: lost, outcome: balance.Unreachable}
	}
	s.mayHaveRun = true
	lost := reason.New(reason.EngineClosed, "the engine's connection ended: %s", err).WithRun(reason.RunUnknown)
	return &runResult{lossReason: lost, outcome: balance.Interrupted}
}

// handleEvent forwards an event unless the caller already has it.
func (s *stream) handleEvent(r *run, e event) *runResult {
	s.mayHaveRun = true
	r.eventsReceived++
	now := s.h.o.Clock()
	r.stall.recordEvent(now)
	s.h.o.Balance.RecordResponse(r.lease)
	if e.hasID {
		switch {
		case e.id <= s.lastEventID:
			return nil
		case e.id != s.lastEventID+1 && s.lastEventID > 0:
			lost := reason.New(reason.ChunkSkipped, "event %d follows event %d", e.id, s.lastEventID).WithRun(reason.RunYes)
			return &runResult{lossReason: lost, outcome: balance.Interrupted}
		}
	}
	s.writeHeader(r, now)
	s.recordResume(r, e, now)
	if err := s.writeEvent(e.raw); err != nil {
		s.callerWriteFailed = true
		final := reason.New(reason.SlowCaller, "the caller's connection failed: %s", err).WithRun(reason.RunYes)
		return &runResult{finalError: final, outcome: balance.Cancelled}
	}
	if e.hasID {
		s.lastEventID = e.id
	}
	return nil
}

// writeHeader writes the response header of the first engine that produced an
// event.
func (s *stream) writeHeader(r *run, now time.Duration) {
	if s.headerWritten {
		return
	}
	s.headerWritten = true
	copyResponseHeader(s.w, r.header)
	s.w.Header().Del("Content-Length")
	s.w.WriteHeader(http.StatusOK)
	s.h.latency.RecordDuration(now - s.req.received)
	s.req.log.Info("response started", "endpoint", r.lease.Endpoint.ID, "after_event", s.lastEventID,
		"age_ms", (now - s.req.received).Milliseconds())
}

// recordResume records the gap in the stream that the loss of an engine caused.
func (s *stream) recordResume(r *run, e event, now time.Duration) {
	if s.lostAt == 0 {
		return
	}
	s.h.resume.RecordDuration(now - s.lostAt)
	s.req.log.Info("stream resumed", "endpoint", r.lease.Endpoint.ID, "event", e.id,
		"copied", r.fromBackup, "gap_ms", (now - s.lostAt).Milliseconds())
	s.lostAt = 0
}

// writeEvent writes an event to the caller and flushes it.
func (s *stream) writeEvent(raw []byte) error {
	// Only response writers of tests do not support deadlines, so the error is
	// ignored.
	_ = s.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write(raw); err != nil {
		return err
	}
	return s.controller.Flush()
}

// checkStall reports whether the run is abandoned. A probe opens a new
// connection, which the pool keeps if the engine accepts it.
func (s *stream) checkStall(r *run, timer *time.Timer) bool {
	now := s.h.o.Clock()
	decision, at := r.stall.nextAction(now)
	timer.Reset(max(time.Millisecond, at-now))
	switch decision {
	case actionFailOver:
		return s.req.route.RetryPolicy == routing.RetryFromLastEvent && !s.engineHasRequest(r, now)
	case actionProbe:
		return s.req.route.RetryPolicy == routing.RetryFromLastEvent && !s.probeEngine(r)
	}
	return false
}

// engineHasRequest reports whether an engine that has not sent its first event
// still has the request because it is busy with other prompts. A failover would
// repeat the prefill at an engine that is just as busy.
func (s *stream) engineHasRequest(r *run, now time.Duration) bool {
	if r.stall.prefilled || s.h.o.LoadProber == nil || !s.h.o.LoadProber.HasRequest(s.ctx, r.lease.Endpoint, s.req.info.ID) {
		return false
	}
	r.stall.silentSince = now
	s.req.log.Info("engine still has the request; waiting for its first event", "endpoint", r.lease.Endpoint.ID,
		"age_ms", (now - s.req.received).Milliseconds())
	return true
}

func (s *stream) probeEngine(r *run) bool {
	ctx, cancel := context.WithTimeout(s.ctx, probeTimeout)
	defer cancel()
	conn, err := s.h.o.Pool.Get(ctx, r.lease.Endpoint, true)
	if err == nil {
		s.h.o.Pool.PutUnused(conn)
		return true
	}
	if s.ctx.Err() != nil {
		return true
	}
	s.h.o.Balance.MarkSuspect(r.lease)
	s.req.log.Info("engine accepts no connections", "endpoint", r.lease.Endpoint.ID, "error", err)
	return false
}
