package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/routing"
)

const (
	// maxAnswerBytes bounds a plain answer, which is held whole before it is
	// passed on, so that a cut answer can still be repeated.
	maxAnswerBytes = 16 << 20
	// hedgeShare is the part of the target latency after which an idempotent
	// request without an answer is also sent to a second endpoint.
	hedgeShare = 0.5
	// busyPause is the advice to callers after a refusal by a busy endpoint.
	busyPause = 100 * time.Millisecond
)

// result is the end of one attempt.
type result struct {
	lease    *balance.Lease
	response *http.Response // nil if there was no answer
	body     []byte
	err      *reason.Error // nil if the endpoint answered
	outcome  balance.Outcome
}

// final reports whether the answer is passed on although attempts are left.
func (r result) final() bool {
	return r.err == nil && r.response.StatusCode < http.StatusInternalServerError
}

// plain is a plain request in progress.
type plain struct {
	h       *Handler
	req     *request
	ctx     context.Context
	results chan result
	flying  int
	hedge   *time.Timer
}

// servePlain serves a request whose answer is passed on as a whole.
func (h *Handler) servePlain(ctx context.Context, w http.ResponseWriter, req *request) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.o.RetryBudget.AddRequest(h.o.Clock(), req.service.Name)
	p := &plain{h: h, req: req, ctx: ctx, results: make(chan result, maxTried+1)}
	last := p.run()
	switch {
	case callerLeft(req.inbound):
		h.refusals.Inc(reason.CallerGone)
		req.log.Info("caller left", "attempts", req.attempts)
	case last.err != nil:
		h.refuse(w, req.call, req.log, last.err)
	default:
		h.deliver(w, req, last)
	}
}

// run sends attempts until there is a final result.
func (p *plain) run() result {
	if err := p.launch(); err != nil {
		return result{err: err}
	}
	p.hedge = time.NewTimer(p.hedgeDelay())
	defer p.hedge.Stop()
	var best result
	for {
		select {
		case r := <-p.results:
			p.flying--
			if r.final() {
				return r
			}
			best = better(best, r)
			if p.again(r) || p.flying > 0 {
				continue
			}
			return best
		case <-p.hedge.C:
			if p.mayRepeat(reason.EngineSilent) {
				_ = p.launch()
			}
		case <-p.ctx.Done():
			return result{err: p.expired()}
		}
	}
}

// hedgeDelay is how long the first attempt runs alone.
func (p *plain) hedgeDelay() time.Duration {
	if p.req.route.RetryPolicy != routing.RetryAlways || p.req.route.TargetLatency == 0 {
		return time.Hour
	}
	return time.Duration(float64(p.req.route.TargetLatency) * hedgeShare)
}

// better keeps the result that says most: an endpoint's own answer, then the
// failure of a request that may have run, then a refusal.
func better(a, b result) result {
	switch {
	case a.response == nil && a.err == nil:
		return b
	case a.err == nil:
		return a
	case b.err == nil:
		return b
	case a.err.Run != reason.RunNo:
		return a
	}
	return b
}

// again starts another attempt after a failed one if that is allowed.
func (p *plain) again(r result) bool {
	why := reason.EngineRefused
	if r.err != nil {
		why = r.err.Reason
	}
	ran := r.err == nil || r.err.Run != reason.RunNo
	if ran && p.req.route.RetryPolicy != routing.RetryAlways {
		return false
	}
	if p.h.refusedContent(p.req.digest) != nil {
		return false
	}
	if r.outcome == balance.Unreachable {
		// Nothing was sent, so the endpoint does not count.
		p.req.attempts--
	}
	return p.mayRepeat(why) && p.launch() == nil
}

func (p *plain) mayRepeat(why reason.Reason) bool {
	if p.req.attempts >= p.req.route.MaxAttempts || len(p.req.tried) > maxTried {
		return false
	}
	// The retry budget counts what reaches endpoints.
	if why != reason.ConnectFailed && !p.h.o.RetryBudget.TryRetry(p.h.o.Clock(), p.req.service.Name) {
		p.h.refusals.Inc(reason.RetryBudget)
		return false
	}
	p.h.retries.Inc(why)
	p.req.log.Info("repeating", "reason", why, "attempts", p.req.attempts)
	return true
}

// maxTried bounds the endpoints that are tried for one request, those included
// that could not be reached.
const maxTried = 6

// launch sends the request to one more endpoint.
func (p *plain) launch() *reason.Error {
	lease, err := p.h.o.Balance.Choose(p.req.work())
	if err != nil {
		return err.WithRetryAfter(returnPause(p.req.call.Timeout))
	}
	p.req.attempts++
	p.req.tried = append(p.req.tried, lease.Endpoint.ID)
	p.flying++
	number := p.req.attempts
	p.req.log.Info("attempt started", "attempt", number, "endpoint", lease.Endpoint.ID,
		"failure_domain", lease.Endpoint.Domain, "suspected", lease.Suspected, "in_flight", p.flying,
		"age_ms", (p.h.o.Clock() - p.req.received).Milliseconds(), "configuration", p.req.version)
	go func() {
		p.h.running.add(lease.Endpoint.ID, p.req.digest)
		r := p.h.attemptPlain(p.ctx, p.req, lease)
		p.h.settle(p.req, lease, r.outcome)
		p.h.logAttempt(p.req, number, r)
		p.results <- r
	}()
	return nil
}

// settle gives the place of an attempt back and draws the conclusions from how
// it ended.
func (h *Handler) settle(req *request, lease *balance.Lease, outcome balance.Outcome) {
	switch outcome {
	case balance.Interrupted:
		h.suspectDeath(lease, req.digest)
	case balance.Completed:
		h.completed(req.digest)
	}
	h.running.remove(lease.Endpoint.ID, req.digest)
	h.o.Balance.Release(lease, outcome)
}

// expired returns the final answer at the deadline.
func (p *plain) expired() *reason.Error {
	err := reason.New(reason.DeadlineExceeded, "no answer before the deadline")
	if p.flying > 0 {
		return err.WithRun(reason.RunUnknown)
	}
	return err
}

// logAttempt says how an attempt ended. One whose answer is passed on has no line
// of its own, since the request's last line names its endpoint and status.
func (h *Handler) logAttempt(req *request, number int, r result) {
	if r.final() {
		return
	}
	status, why := 0, reason.Reason("")
	if r.response != nil {
		status = r.response.StatusCode
	}
	if r.err != nil {
		why = r.err.Reason
	}
	req.log.Info("attempt ended", "attempt", number, "endpoint", r.lease.Endpoint.ID,
		"status", status, "reason", why, "suspected", r.lease.Suspected,
		"age_ms", (h.o.Clock() - req.received).Milliseconds())
}

// attemptPlain sends the request to one endpoint and reads the whole answer.
func (h *Handler) attemptPlain(ctx context.Context, req *request, lease *balance.Lease) result {
	r := result{lease: lease}
	// What runs at most once gets a connection that nothing was sent on: an
	// idle one may be closing, or bring a late answer to another request.
	fresh := req.route.RetryPolicy != routing.RetryAlways
	conn, err := h.o.Pool.Get(ctx, lease.Endpoint, fresh)
	if err != nil {
		r.outcome = balance.Unreachable
		if ctx.Err() != nil {
			r.outcome = balance.Cancelled
		}
		r.err = reason.New(reason.ConnectFailed, "no connection to the endpoint").WithRetryAfter(busyPause)
		return r
	}
	response, err := conn.RoundTrip(h.outbound(ctx, req, lease.Endpoint, Attempt{LastEventID: req.call.LastEventID}))
	if err != nil {
		conn.Close()
		r.err, r.outcome = h.broken(ctx, "the connection ended before the answer")
		return r
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	_ = response.Body.Close()
	answer := h.o.Protocol.DecodeResponse(response)
	if err != nil || (answer.ID != "" && answer.ID != req.call.ID) {
		conn.Close()
		r.err, r.outcome = h.broken(ctx, "the answer broke off or belongs to another request")
		return r
	}
	h.o.Pool.Put(conn, response)
	return h.judge(r, response, body, answer)
}

// judge classifies a whole answer.
func (h *Handler) judge(r result, response *http.Response, body []byte, answer ResponseInfo) result {
	switch {
	case answer.Misdirected:
		r.err = reason.New(reason.EndpointUnreachable, "another endpoint has the address").WithRetryAfter(busyPause)
		r.outcome = balance.Unreachable
	case answer.NotExecuted:
		r.err = reason.New(reason.EngineRefused, "the endpoint did not run the request").WithRetryAfter(busyPause)
		r.outcome = balance.Refused
	case !answer.Signed && response.StatusCode < http.StatusBadRequest:
		r.err = reason.New(reason.ChunkForeign, "the answer is not signed").WithRun(reason.RunUnknown)
		r.outcome = balance.Interrupted
	case response.StatusCode >= http.StatusInternalServerError:
		r.response, r.body, r.outcome = response, body, balance.Failed
	default:
		r.response, r.body, r.outcome = response, body, balance.Completed
	}
	return r
}

func (h *Handler) broken(ctx context.Context, message string) (*reason.Error, balance.Outcome) {
	switch ctx.Err() {
	case nil:
	case context.DeadlineExceeded:
		return reason.New(reason.DeadlineExceeded, "no answer before the deadline").WithRun(reason.RunUnknown), balance.TimedOut
	default:
		return reason.New(reason.HedgeLost, "the attempt was ended").WithRun(reason.RunUnknown), balance.Cancelled
	}
	return reason.New(reason.EngineClosed, "%s", message).WithRun(reason.RunUnknown), balance.Interrupted
}

// deliver passes an endpoint's answer on.
func (h *Handler) deliver(w http.ResponseWriter, req *request, r result) {
	copyAnswerHeader(w, r.response.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	w.WriteHeader(r.response.StatusCode)
	_, err := w.Write(r.body)
	age := h.o.Clock() - req.received
	h.latency.RecordDuration(age)
	req.log.Info("answered", "status", r.response.StatusCode, "endpoint", r.lease.Endpoint.ID,
		"attempts", req.attempts, "age_ms", age.Milliseconds(), "configuration", req.version, "delivered", err == nil)
}
