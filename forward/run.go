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

// step is a message from a run: its answer's header, an event, or its end.
type step struct {
	response *http.Response
	event    event
	complete bool // the answer has ended after a whole event
	err      error
}

// run is one attempt at one engine.
type run struct {
	lease  *balance.Lease
	cancel context.CancelFunc
	steps  chan step
	quiet  silence
	header http.Header // of the engine's answer
	copied bool        // reads the copy that the engine keeps
	events int         // received
}

// readRun sends the request and hands the answer over event by event.
func (h *Handler) readRun(ctx context.Context, r *run, out *http.Request) {
	defer close(r.steps)
	send := func(s step) bool {
		select {
		case r.steps <- s:
			return true
		case <-ctx.Done():
			return false
		}
	}
	conn, err := h.o.Pool.Get(ctx, r.lease.Endpoint, true)
	if err != nil {
		send(step{err: errConnect})
		return
	}
	defer conn.Close()
	response, err := conn.RoundTrip(out)
	if err != nil {
		send(step{err: err})
		return
	}
	defer func() { _ = response.Body.Close() }()
	if !send(step{response: response}) {
		return
	}
	events := newEventReader(response.Body)
	for {
		next, err := events.next()
		if errors.Is(err, io.EOF) {
			send(step{complete: true})
			return
		}
		if !send(step{event: next, err: err}) || err != nil {
			return
		}
	}
}

// errConnect says that no connection was made, so nothing was sent.
var errConnect = errors.New("no connection to the endpoint")

// runEnd is how a run ended.
type runEnd struct {
	// complete says that the answer has ended after its last event.
	complete bool
	// lost is why the run ended although the answer may go on elsewhere.
	lost *reason.Error
	// final is why the answer cannot go on.
	final   *reason.Error
	outcome balance.Outcome
}

// follow delivers the events of a run. It returns true when the answer is
// complete; otherwise s.lost says why the run ended.
func (s *stream) follow(r *run) (bool, *reason.Error) {
	s.h.running.add(r.lease.Endpoint.ID, s.req.digest)
	end := s.receive(r)
	r.cancel()
	s.h.settle(s.req, r.lease, end.outcome)
	if end.lost != nil {
		s.lose(r, end.lost)
	}
	return end.complete, end.final
}

// receive handles what comes from a run until it ends.
func (s *stream) receive(r *run) runEnd {
	timer := time.NewTimer(firstProbe)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return runEnd{final: s.expired(), outcome: balance.Cancelled}
		case <-timer.C:
			if s.checkSilence(r, timer) {
				lost := reason.New(reason.EngineSilent, "the engine sent nothing within the bound").WithRun(reason.RunUnknown)
				return runEnd{lost: lost, outcome: balance.TimedOut}
			}
		case next, open := <-r.steps:
			if !open {
				return runEnd{final: s.expired(), outcome: balance.Cancelled}
			}
			if end := s.onStep(r, next); end != nil {
				return *end
			}
		}
	}
}

// onStep handles one message from a run and returns how the run ended, or nil.
func (s *stream) onStep(r *run, next step) *runEnd {
	switch {
	case next.response != nil:
		r.header = next.response.Header
		return s.onHeader(r, next.response)
	case next.complete:
		return &runEnd{complete: true, outcome: balance.Completed}
	case next.err != nil:
		return s.onError(next.err)
	}
	return s.onEvent(r, next.event)
}

// onHeader handles the answer's header. It returns the end of a run that did not
// begin, or of an answer that is not a stream.
func (s *stream) onHeader(r *run, response *http.Response) *runEnd {
	answer := s.h.o.Protocol.DecodeResponse(response)
	lost := func(why reason.Reason, run reason.RunStatus, outcome balance.Outcome, message string) *runEnd {
		s.ran = s.ran || run != reason.RunNo
		err := reason.New(why, "%s", message).WithRun(run)
		if run == reason.RunNo {
			err = err.WithRetryAfter(busyPause)
		}
		return &runEnd{lost: err, outcome: outcome}
	}
	switch {
	case answer.Misdirected:
		return lost(reason.EndpointUnreachable, reason.RunNo, balance.Unreachable, "another endpoint has the address")
	case answer.NotExecuted:
		return lost(reason.EngineRefused, reason.RunNo, balance.Refused, "the engine did not run the request")
	case answer.ID != "" && answer.ID != s.req.call.ID:
		return lost(reason.ChunkForeign, reason.RunUnknown, balance.Interrupted, "the answer belongs to another request")
	case response.StatusCode == http.StatusOK:
		return nil
	case response.StatusCode >= http.StatusInternalServerError || s.begun:
		return lost(reason.EngineRefused, reason.RunYes, balance.Failed, "the engine answered with a failure")
	}
	// The engine's own refusal is passed on as it is.
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return lost(reason.EngineClosed, reason.RunUnknown, balance.Interrupted, "the answer broke off")
	}
	s.begun = true
	s.h.deliver(s.w, s.req, result{lease: r.lease, response: response, body: body})
	return &runEnd{complete: true, outcome: balance.Completed}
}

func (s *stream) onError(err error) *runEnd {
	if errors.Is(err, errConnect) {
		// Nothing was sent, so the engine does not count as an attempt.
		s.req.attempts--
		lost := reason.New(reason.ConnectFailed, "no connection to the engine").WithRetryAfter(busyPause)
		return &runEnd{lost: lost, outcome: balance.Unreachable}
	}
	s.ran = true
	lost := reason.New(reason.EngineClosed, "the engine's connection ended: %s", err).WithRun(reason.RunUnknown)
	return &runEnd{lost: lost, outcome: balance.Interrupted}
}

// onEvent delivers an event unless the caller has it already.
func (s *stream) onEvent(r *run, e event) *runEnd {
	s.ran = true
	r.events++
	now := s.h.o.Clock()
	r.quiet.heard(now)
	s.h.o.Balance.RecordResponse(r.lease)
	if e.hasID {
		switch {
		case e.id <= s.last:
			return nil
		case e.id != s.last+1 && s.last > 0:
			lost := reason.New(reason.ChunkSkipped, "event %d follows event %d", e.id, s.last).WithRun(reason.RunYes)
			return &runEnd{lost: lost, outcome: balance.Interrupted}
		}
	}
	s.begin(r, now)
	s.noteResumed(r, e, now)
	if err := s.write(e.raw); err != nil {
		s.broken = true
		final := reason.New(reason.SlowCaller, "the caller's connection failed: %s", err).WithRun(reason.RunYes)
		return &runEnd{final: final, outcome: balance.Cancelled}
	}
	if e.hasID {
		s.last = e.id
	}
	return nil
}

// begin writes the header of the first engine that made an event.
func (s *stream) begin(r *run, now time.Duration) {
	if s.begun {
		return
	}
	s.begun = true
	copyAnswerHeader(s.w, r.header)
	s.w.Header().Del("Content-Length")
	s.w.WriteHeader(http.StatusOK)
	s.h.latency.RecordDuration(now - s.req.received)
	s.req.log.Info("answer begun", "endpoint", r.lease.Endpoint.ID, "after_event", s.last,
		"age_ms", (now - s.req.received).Milliseconds())
}

// noteResumed measures the pause that the loss of an engine caused.
func (s *stream) noteResumed(r *run, e event, now time.Duration) {
	if s.lostAt == 0 {
		return
	}
	s.h.resume.RecordDuration(now - s.lostAt)
	s.req.log.Info("stream resumed", "endpoint", r.lease.Endpoint.ID, "event", e.id,
		"copied", r.copied, "gap_ms", (now - s.lostAt).Milliseconds())
	s.lostAt = 0
}

// write passes an event on at once.
func (s *stream) write(raw []byte) error {
	// A writer without deadlines is for tests.
	_ = s.out.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write(raw); err != nil {
		return err
	}
	return s.out.Flush()
}

// checkSilence reports whether the run is given up. A probe is a new
// connection, which the pool keeps if the engine takes it.
func (s *stream) checkSilence(r *run, timer *time.Timer) bool {
	now := s.h.o.Clock()
	decision, at := r.quiet.next(now)
	timer.Reset(max(time.Millisecond, at-now))
	switch decision {
	case verdictMove:
		return s.req.route.RetryPolicy == routing.RetryFromLastEvent && !s.waits(r, now)
	case verdictProbe:
		return s.req.route.RetryPolicy == routing.RetryFromLastEvent && !s.probe(r)
	}
	return false
}

// waits reports whether an engine without a first event still has the request,
// since it is busy with the prompts of others. Moving would read the prompt at
// an engine that is as busy.
func (s *stream) waits(r *run, now time.Duration) bool {
	if r.quiet.started || s.h.o.LoadProber == nil || !s.h.o.LoadProber.HasRequest(s.ctx, r.lease.Endpoint, s.req.call.ID) {
		return false
	}
	r.quiet.since = now
	s.req.log.Info("engine still has the request", "endpoint", r.lease.Endpoint.ID,
		"age_ms", (now - s.req.received).Milliseconds())
	return true
}

func (s *stream) probe(r *run) bool {
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
	s.req.log.Info("engine does not take connections", "endpoint", r.lease.Endpoint.ID, "error", err)
	return false
}
