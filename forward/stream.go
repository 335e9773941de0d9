package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/routing"
)

const (
	// eventBuffer is the number of events that a run may be ahead of the caller.
	eventBuffer = 16
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 5 * time.Second
)

// stream is a streamed answer in progress.
type stream struct {
	h   *Handler
	req *request
	ctx context.Context
	w   http.ResponseWriter
	out *http.ResponseController

	begun bool  // the header was written
	last  int64 // last event delivered
	// ran says that an engine may have run a part of the request.
	ran bool
	// backup holds the copy of the current run; nil is none.
	backup *balance.Lease
	lostAt time.Duration // when the last run was lost; 0 is not lost
	moves  int
	lost   *reason.Error // why the last run ended
	broken bool          // the caller's connection failed
}

// serveStream serves a request whose answer is a series of events. The answer
// goes on at another engine when one is lost, if the route allows it.
func (h *Handler) serveStream(ctx context.Context, w http.ResponseWriter, req *request) {
	h.o.RetryBudget.AddRequest(h.o.Clock(), req.service.Name)
	if engine := req.service.Engine; engine != nil {
		h.o.Balance.SetKVCapacity(req.service.Name, engine.KVCapacity)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &stream{h: h, req: req, ctx: ctx, w: w, out: http.NewResponseController(w)}
	s.last, _ = strconv.ParseInt(req.call.LastEventID, 10, 64)
	if req.call.LastEventID != "" {
		s.findHolders()
	}
	err := s.serve()
	s.dropBackup()
	s.finish(err)
}

// findHolders looks for engines that hold the prompt of a stream which the
// caller continues after the loss of an instance.
func (s *stream) findHolders() {
	if s.h.o.PromptIndex == nil || s.req.call.Session == "" || s.req.service.Engine == nil {
		return
	}
	holders := s.h.o.PromptIndex.FindHolders(s.ctx, s.req.service.Name, s.req.call.Session)
	for _, holder := range holders {
		s.req.holders = append(s.req.holders, holder.Endpoint)
	}
	s.req.log.Info("caller continues a stream", "after_event", s.last, "holders", s.req.holders)
}

// serve runs attempts until the answer is complete or cannot go on.
func (s *stream) serve() *reason.Error {
	for {
		r, err := s.start()
		if err != nil {
			return err
		}
		done, err := s.follow(r)
		if done || err != nil {
			return err
		}
		if err := s.mayMove(); err != nil {
			return err
		}
	}
}

// mayMove decides whether the answer goes on at another engine. The retry budget
// counts what reaches engines, so a move after a failure to connect is free.
func (s *stream) mayMove() *reason.Error {
	refused := s.lost.Run == reason.RunNo
	switch {
	case s.ctx.Err() != nil:
		return s.expired()
	case !refused && s.req.route.RetryPolicy == routing.RetryNever:
		return s.lost
	case s.h.refusedContent(s.req.digest) != nil:
		s.h.refusals.Inc(reason.CrashSuspect)
		return s.lost
	case s.req.attempts >= s.req.route.MaxAttempts || s.moves >= maxMoves:
		return s.lost
	case s.lost.Reason != reason.ConnectFailed && !s.h.o.RetryBudget.TryRetry(s.h.o.Clock(), s.req.service.Name):
		s.h.refusals.Inc(reason.RetryBudget)
		return s.lost
	}
	s.moves++
	s.h.retries.Inc(s.lost.Reason)
	return nil
}

// maxMoves bounds the engines that one answer goes to, those included that
// were down.
const maxMoves = 8

// start opens a run at the engine that holds the copy of the last one, or at a
// new engine.
func (s *stream) start() (*run, *reason.Error) {
	lease, copied, err := s.place()
	if err != nil {
		return nil, err
	}
	h, now := s.h, s.h.o.Clock()
	attempt := Attempt{LastEventID: s.req.call.LastEventID}
	if s.last > 0 {
		attempt.LastEventID = strconv.FormatInt(s.last, 10)
	}
	if copied {
		attempt.CopyAddress, attempt.CopyRequestID = lease.Endpoint.Address, s.req.call.ID
	}
	if s.req.service.Engine != nil {
		attempt.QueueRank = queueRank(s.req.priority)
	}
	if engine := s.req.service.Engine; engine != nil && engine.SupportsBackups && s.req.route.RetryPolicy == routing.RetryFromLastEvent {
		if s.backup = h.o.Balance.ChooseBackup(s.req.work(), lease.Endpoint); s.backup != nil {
			attempt.BackupAddress = s.backup.Endpoint.Address
		}
	}
	s.req.attempts++
	ctx, cancel := context.WithCancel(s.ctx)
	r := &run{
		lease: lease, cancel: cancel, steps: make(chan step, eventBuffer), copied: copied,
		quiet: silence{gap: s.req.route.TargetEventGap, firstEvent: s.req.route.TargetLatency, since: now, started: copied, hasCopy: attempt.BackupAddress != ""},
	}
	s.req.log.Info("run started", "attempt", s.req.attempts, "endpoint", lease.Endpoint.ID,
		"failure_domain", lease.Endpoint.Domain, "suspected", lease.Suspected, "copied", copied,
		"engine_runs", lease.Load.Running, "engine_prompts", lease.Load.Prefilling, "engine_tokens", lease.Load.Tokens,
		"reported", lease.LoadReported, "report_age_ms", lease.ReportAge.Milliseconds(),
		"backup", attempt.BackupAddress, "after_event", s.last, "age_ms", (now - s.req.received).Milliseconds())
	go h.readRun(ctx, r, h.outbound(ctx, s.req, lease.Endpoint, attempt))
	return r, nil
}

// lose notes the end of a run without its answer's end.
func (s *stream) lose(r *run, why *reason.Error) {
	now := s.h.o.Clock()
	s.lost = why
	s.req.tried = append(s.req.tried, r.lease.Endpoint.ID)
	if s.lostAt == 0 && s.begun {
		s.lostAt = r.quiet.since
	}
	if r.events == 0 {
		// An engine copies a run once it generates.
		s.dropBackup()
	}
	s.req.log.Info("run lost", "attempt", s.req.attempts, "endpoint", r.lease.Endpoint.ID,
		"reason", why.Reason, "message", why.Message, "event", s.last,
		"silent_ms", (now - r.quiet.since).Milliseconds(), "age_ms", (now - s.req.received).Milliseconds())
}

func (s *stream) dropBackup() {
	if s.backup != nil {
		s.h.o.Balance.Release(s.backup, balance.Cancelled)
		s.backup = nil
	}
}

func (s *stream) expired() *reason.Error {
	if callerLeft(s.req.inbound) {
		return reason.New(reason.CallerGone, "the caller closed its connection")
	}
	err := reason.New(reason.DeadlineExceeded, "the answer was not complete before the deadline")
	if s.ran || s.req.attempts > 0 {
		return err.WithRun(reason.RunUnknown)
	}
	return err
}

// finish gives the final answer. An answer that has begun and cannot go on is
// cut, so that it does not look complete.
func (s *stream) finish(err *reason.Error) {
	age := s.h.o.Clock() - s.req.received
	switch {
	case err == nil:
		s.req.log.Info("answered", "attempts", s.req.attempts, "events", s.last, "age_ms", age.Milliseconds(),
			"configuration", s.req.version)
		return
	case callerLeft(s.req.inbound) || s.broken:
		s.h.refusals.Inc(reason.CallerGone)
		s.req.log.Info("caller left", "attempts", s.req.attempts, "event", s.last, "age_ms", age.Milliseconds())
	case !s.begun:
		if s.ran && err.Run == reason.RunNo {
			err = err.WithRun(reason.RunUnknown)
		}
		s.h.refuse(s.w, s.req.call, s.req.log, err)
		return
	default:
		s.h.refusals.Inc(err.Reason)
		s.req.log.Warn("answer cut", "reason", err.Reason, "message", err.Message, "attempts", s.req.attempts,
			"event", s.last, "age_ms", age.Milliseconds())
	}
	panic(http.ErrAbortHandler)
}
