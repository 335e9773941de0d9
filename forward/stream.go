package forward

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/routing"
)

const (
	// messageBuffer is the number of messages that an attempt may buffer ahead
	// of the caller.
	messageBuffer = 16
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 5 * time.Second
)

// stream is a streamed response in progress.
type stream struct {
	h          *Handler
	req        *request
	ctx        context.Context
	w          http.ResponseWriter
	controller *http.ResponseController

	headerWritten bool  // the response header was written to the caller
	lastEventID   int64 // of the last event delivered to the caller
	// mayHaveRun is true if an engine may have run part of the request.
	mayHaveRun bool
	// backup is the lease of the engine with the backup of the current attempt;
	// nil is none.
	backup        *balance.Lease
	interruptedAt time.Duration // time of the last event before the interruption; 0 after a resume or if nothing was delivered
	failovers     int
	// reserved is true if the next failover is already within all limits and
	// counted in the retry budget.
	reserved bool
	// reservedLease is the lease of the engine for that failover; nil means the
	// engine with the backup.
	reservedLease     *balance.Lease
	interruption      *reason.Error // why the last attempt ended
	callerWriteFailed bool          // a write to the caller failed
	callerSlow        bool          // it failed because the caller does not read; see slowReaders
	admittedAt        time.Duration // when the admission queue placed the stream; 0 if it did not
	// version is the version on which the response runs, once it has begun.
	version string
	began   bool
	// unreachable is the number of engines in a row that accepted no connection.
	unreachable int
}

// serveStream serves a request with a streamed response. If an engine is lost
// and the route allows it, another engine continues the response.
func (h *Handler) serveStream(ctx context.Context, w http.ResponseWriter, req *request) {
	h.o.RetryBudget.AddRequest(h.o.Clock(), req.service.Name)
	if engine := req.service.Engine; engine != nil {
		h.o.Balance.SetKVCapacity(req.service.Name, engine.KVCapacity)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &stream{h: h, req: req, ctx: ctx, w: w, controller: http.NewResponseController(w)}
	s.lastEventID, _ = strconv.ParseInt(req.info.LastEventID, 10, 64)
	if req.info.LastEventID != "" {
		s.findHolders()
	}
	err := s.runUntilComplete()
	s.releaseBackup()
	s.releaseReserved()
	s.finish(err)
}

// findHolders looks for engines that hold the prompt's KV cache of a stream
// that the caller resumes after the loss of an instance.
func (s *stream) findHolders() {
	if s.h.o.PromptIndex == nil || s.req.info.LastPartID == "" || s.req.service.Engine == nil {
		return
	}
	holders := s.h.o.PromptIndex.FindHolders(s.ctx, s.req.service.Name, s.req.info.LastPartID)
	for _, holder := range holders {
		s.req.holders = append(s.req.holders, holder.Endpoint)
	}
	s.resumeVersion()
	s.req.log.Info("caller resumes a stream", "after_event", s.lastEventID, "holders", s.req.holders)
}

// runUntilComplete starts attempts until the response is complete or cannot
// continue.
func (s *stream) runUntilComplete() *reason.Error {
	for {
		r, err := s.startAttempt()
		if err != nil {
			return err
		}
		done, err := s.deliverAttempt(r)
		if done || err != nil {
			return err
		}
		if err := s.tryFailover(); err != nil {
			return err
		}
	}
}

// startAttempt starts an attempt at the engine with the backup of the last one,
// or at a new engine.
func (s *stream) startAttempt() (*streamAttempt, *reason.Error) {
	lease, fromBackup, err := s.placeAttempt()
	if err != nil {
		return nil, err
	}
	h, now := s.h, s.h.o.Clock()
	if refusal := s.startRefusal(); refusal != nil {
		h.o.Balance.Release(lease, balance.Cancelled)
		if s.mayHaveRun {
			refusal = refusal.WithRun(reason.RunUnknown)
		}
		return nil, refusal
	}
	attempt := Attempt{LastEventID: s.req.info.LastEventID}
	if s.lastEventID > 0 {
		attempt.LastEventID = strconv.FormatInt(s.lastEventID, 10)
	}
	if fromBackup {
		attempt.BackupSourceAddress, attempt.BackupSourceRequestID = lease.Endpoint.Address, s.req.info.ID
	}
	if s.req.service.Engine != nil {
		attempt.QueueRank = queueRank(s.req.priority)
	}
	if engine := s.req.service.Engine; engine != nil && engine.SupportsBackups && s.req.route.RetryPolicy == routing.RetryFromLastEvent {
		if s.backup = h.o.Balance.ChooseBackup(s.backupRequest(lease.Endpoint), lease.Endpoint); s.backup != nil {
			attempt.BackupTargetAddress = s.backup.Endpoint.Address
		}
	}
	s.req.attempts++
	ctx, cancel := context.WithCancel(s.ctx)
	r := &streamAttempt{
		counted: h.countAttempt(s.req, lease.Endpoint),
		lease:   lease, tracked: h.attempts.add(lease.Endpoint, s.req.running()), cancel: cancel, held: h.slow.openEvents(), messages: make(chan attemptMessage, messageBuffer), fromBackup: fromBackup,
		stall: stallDetector{targetEventGap: s.req.route.TargetEventGap, targetLatency: s.req.route.TargetLatency, silentSince: now, prefilled: fromBackup, hasBackup: attempt.BackupTargetAddress != ""},
	}
	s.req.log.Info("attempt started", "attempt", s.req.attempts, "endpoint", lease.Endpoint.ID, "version", lease.Endpoint.Version,
		"failure_domain", lease.Endpoint.Domain, "suspected", lease.Suspected,
		"content_state", s.req.assessment.State, "content_crashes", s.req.assessment.Crashes, "copied", fromBackup,
		"engine_runs", lease.Load.Running, "engine_prompts", lease.Load.Prefilling, "engine_tokens", lease.Load.Tokens,
		"reported", lease.LoadReported, "report_age_ms", lease.ReportAge.Milliseconds(),
		"backup", attempt.BackupTargetAddress, "after_event", s.lastEventID, "age_ms", (now - s.req.received).Milliseconds())
	go h.executeAttempt(ctx, r, h.buildRequest(ctx, s.req, lease.Endpoint, attempt))
	return r, nil
}

// startRefusal returns a refusal for an attempt that is about to start. A response that has
// begun continues as far as the stop of this instance lets it.
func (s *stream) startRefusal() *reason.Error {
	if s.headerWritten {
		return s.h.attemptRefusal(s.req)
	}
	return s.h.startRefusal(s.req)
}

// recordInterruption records an attempt that ended before the response was
// complete.
func (s *stream) recordInterruption(r *streamAttempt, why *reason.Error) {
	now := s.h.o.Clock()
	s.interruption = why
	if s.unreachable++; why.Reason != reason.ConnectFailed {
		s.unreachable = 0
	}
	s.req.tried = append(s.req.tried, r.lease.Endpoint.ID)
	if s.interruptedAt == 0 && s.headerWritten {
		s.interruptedAt = r.stall.silentSince
	}
	if r.eventsReceived == 0 {
		// An engine replicates a request to its backup only once it generates,
		// so there is no backup yet.
		s.releaseBackup()
	}
	s.req.log.Info("attempt interrupted", "attempt", s.req.attempts, "endpoint", r.lease.Endpoint.ID,
		"reason", why.Reason, "message", why.Message, "event", s.lastEventID,
		"silent_ms", (now - r.stall.silentSince).Milliseconds(), "age_ms", (now - s.req.received).Milliseconds())
}

func (s *stream) releaseBackup() {
	if s.backup != nil {
		s.h.o.Balance.Release(s.backup, balance.Cancelled)
		s.backup = nil
	}
}

// contextError returns the error of a request whose context has ended.
func (s *stream) contextError() *reason.Error {
	if callerDisconnected(s.req.inbound) {
		return reason.New(reason.CallerGone, "the caller closed its connection")
	}
	err := reason.New(reason.DeadlineExceeded, "the answer was not complete before the deadline")
	if s.mayHaveRun || s.req.attempts > 0 {
		return err.WithRun(reason.RunUnknown)
	}
	return err
}

// finish completes the request. A response that has started and cannot continue
// is aborted, so that it does not look complete.
func (s *stream) finish(err *reason.Error) {
	age := s.h.o.Clock() - s.req.received
	switch {
	case err == nil:
		s.extendWriteDeadline() // net/http writes the end of the response
		s.req.log.Info("response complete", "attempts", s.req.attempts, "events", s.lastEventID, "age_ms", age.Milliseconds(),
			"configuration", s.req.tableVersion)
		return
	case s.callerSlow && !callerDisconnected(s.req.inbound):
		s.h.refusals.Inc(reason.SlowCaller)
		s.req.log.Warn("response aborted", "reason", reason.SlowCaller, "message", err.Message, "attempts", s.req.attempts,
			"event", s.lastEventID, "age_ms", age.Milliseconds())
	// A failed write is counted as a disconnected caller, not under the reason of
	// err.
	case callerDisconnected(s.req.inbound) || s.callerWriteFailed:
		s.h.refusals.Inc(reason.CallerGone)
		s.req.log.Info("caller disconnected", "attempts", s.req.attempts, "event", s.lastEventID, "age_ms", age.Milliseconds())
	case !s.headerWritten:
		if s.mayHaveRun && err.Run == reason.RunNo {
			err = err.WithRun(reason.RunUnknown)
		}
		s.h.refuse(s.w, s.req.info, s.req.log, err)
		return
	default:
		s.h.refusals.Inc(err.Reason)
		s.req.log.Warn("response aborted", "reason", err.Reason, "message", err.Message, "attempts", s.req.attempts,
			"event", s.lastEventID, "age_ms", age.Milliseconds())
	}
	s.abort()
}

// abort closes the caller's connection without the end of the response. The panic with
// http.ErrAbortHandler is handled by net/http. The end of a response to an HTTP/1.0
// caller is that of its connection, so it is reset.
func (s *stream) abort() {
	if !s.req.inbound.ProtoAtLeast(1, 1) && s.headerWritten {
		s.resetConnection()
	}
	panic(http.ErrAbortHandler)
}

func (s *stream) resetConnection() {
	conn, _, err := s.controller.Hijack()
	if err != nil {
		s.req.log.Warn("cannot reset the caller's connection", "error", err)
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
