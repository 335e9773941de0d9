package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/upstream"
)

const (
	// maxResponseBytes bounds the body of a plain response, which is buffered
	// completely before it is forwarded, so that a truncated response can still
	// be retried. Bodies have about 1 KB. 64 bodies of this size take 32 MiB, a
	// quarter of the memory limit of the smallest instance (0.7 x 184 MB).
	maxResponseBytes = 512 << 10
	// hedgeShare is the share of the target latency after which a request that
	// may always be retried and has no response is also sent to a second
	// endpoint.
	hedgeShare = 0.5
	// noHedgeDelay is the hedge delay of a route without hedging.
	noHedgeDelay = time.Hour
	// busyRetryAfter is the Retry-After advice after a refusal by a busy
	// endpoint.
	busyRetryAfter = 100 * time.Millisecond
)

// result is the outcome of one attempt.
type result struct {
	lease    *balance.Lease
	tracked  *trackedAttempt
	response *http.Response // nil if there was no response
	body     []byte
	err      *reason.Error // nil if the endpoint responded
	outcome  balance.Outcome
}

// isFinal reports whether the response is forwarded even if attempts are left.
func (r result) isFinal() bool {
	return r.err == nil && r.response.StatusCode < http.StatusInternalServerError
}

// plainRequest is a request in progress whose response is not streamed.
type plainRequest struct {
	h        *Handler
	req      *request
	ctx      context.Context
	results  chan result
	inFlight int
	hedge    *time.Timer
	held     *holding // for the bodies of all attempts
	// lastVersion is the version of the endpoint of the last attempt.
	lastVersion string
}

// servePlain serves a request whose response is forwarded as a whole.
func (h *Handler) servePlain(ctx context.Context, w http.ResponseWriter, req *request) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.o.RetryBudget.AddRequest(h.o.Clock(), req.service.Name)
	p := &plainRequest{h: h, req: req, ctx: ctx, results: make(chan result, maxEndpointsTried+1), held: h.slow.openPlain()}
	defer p.held.close()
	last := result{err: h.reservePlain(ctx, req, p.held, firstPlainBytes)}
	if last.err == nil {
		last = p.run()
	}
	switch {
	case callerDisconnected(req.inbound):
		h.refusals.Inc(reason.CallerGone)
		req.log.Info("caller disconnected", "attempts", req.attempts)
	case last.err != nil:
		h.refuse(w, req.info, req.log, last.err)
	default:
		h.deliverResponse(w, req, last)
	}
}

// run starts attempts until there is a final result.
func (p *plainRequest) run() result {
	if err := p.startAttempt(p.h.balanceRequest(p.req)); err != nil {
		return result{err: err}
	}
	p.hedge = time.NewTimer(p.hedgeDelay())
	defer p.hedge.Stop()
	var best result
	for {
		select {
		case r := <-p.results:
			p.inFlight--
			if r.isFinal() {
				return r
			}
			best = preferredResult(best, r)
			if p.retryAfterFailure(r) || p.inFlight > 0 {
				continue
			}
			return best
		case <-p.hedge.C:
			p.startHedge()
		case <-p.ctx.Done():
			return result{err: p.deadlineError()}
		}
	}
}

// startHedge starts a second attempt beside one without a response, if a retry is
// allowed. It takes no permit of an endpoint that limits its requests: most hedged
// attempts are not needed.
func (p *plainRequest) startHedge() {
	if p.h.crashRefusal(p.req) != nil || !p.tryRetry(reason.EngineSilent) {
		return
	}
	p.req.recordFailedVersion(p.lastVersion)
	request := p.h.balanceRequest(p.req)
	request.OnlyUnlimited = true
	_ = p.startAttempt(request)
}

// hedgeDelay returns the delay before a hedged second attempt.
func (p *plainRequest) hedgeDelay() time.Duration {
	if p.req.route.RetryPolicy != routing.RetryAlways || p.req.route.TargetLatency == 0 {
		return noHedgeDelay
	}
	return time.Duration(float64(p.req.route.TargetLatency) * hedgeShare)
}

// preferredResult returns the more informative result: a response of an
// endpoint, then the failure of a request that may have run, then a refusal.
func preferredResult(a, b result) result {
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

// retryAfterFailure starts another attempt after a failed one if a retry is
// allowed.
func (p *plainRequest) retryAfterFailure(r result) bool {
	why := reason.EngineRefused
	if r.err != nil {
		why = r.err.Reason
	}
	if why == reason.Overloaded {
		return false // there was no memory for the response
	}
	ran := r.err == nil || r.err.Run != reason.RunNo
	if ran {
		p.req.recordFailedVersion(r.lease.Endpoint.Version)
	}
	if ran && p.req.route.RetryPolicy != routing.RetryAlways {
		return false
	}
	if r.outcome == balance.Unreachable {
		// Nothing was sent, so the endpoint does not count as an attempt.
		p.req.attempts--
	}
	if p.h.startRefusal(p.req) != nil {
		return false
	}
	return p.tryRetry(why) && p.startAttempt(p.h.balanceRequest(p.req)) == nil
}

// tryRetry reports whether a further attempt is allowed, and counts and logs it.
func (p *plainRequest) tryRetry(why reason.Reason) bool {
	if p.req.attempts >= p.req.route.MaxAttempts || len(p.req.tried) > maxEndpointsTried {
		return false
	}
	// The retry budget counts only requests that reach endpoints.
	if why != reason.ConnectFailed && !p.h.o.RetryBudget.TryRetry(p.h.o.Clock(), p.req.service.Name) {
		p.h.refusals.Inc(reason.RetryBudget)
		return false
	}
	p.h.retries.Inc(why)
	p.req.log.Info("starting a further attempt", "reason", why, "attempts", p.req.attempts)
	return true
}

// maxEndpointsTried is the number of tried endpoints above which no further one
// is tried for a request, including those that could not be reached.
const maxEndpointsTried = 6

// startAttempt sends the request to an endpoint chosen for it.
func (p *plainRequest) startAttempt(request balance.Request) *reason.Error {
	lease, err := p.h.chooseEndpoint(p.ctx, request)
	switch {
	case err != nil && err.RetryAfter > 0:
		return err
	case err != nil:
		return err.WithRetryAfter(retryAfter(p.req.info.Timeout))
	}
	if refusal := p.h.startRefusal(p.req); refusal != nil {
		p.h.o.Balance.Release(lease, balance.Cancelled)
		return refusal
	}
	tracked := p.h.attempts.add(lease.Endpoint, p.req.running())
	counted := p.h.countAttempt(p.req, lease.Endpoint)
	p.lastVersion = lease.Endpoint.Version
	p.req.attempts++
	p.req.tried = append(p.req.tried, lease.Endpoint.ID)
	p.inFlight++
	number := p.req.attempts
	p.req.log.Info("attempt started", "attempt", number, "endpoint", lease.Endpoint.ID, "version", lease.Endpoint.Version,
		"failure_domain", lease.Endpoint.Domain, "suspected", lease.Suspected,
		"content_state", p.req.assessment.State, "content_crashes", p.req.assessment.Crashes, "in_flight", p.inFlight,
		"age_ms", (p.h.o.Clock() - p.req.received).Milliseconds(), "configuration", p.req.tableVersion)
	go func() {
		r := p.h.sendPlain(p.ctx, p.req, lease, tracked, p.held)
		p.h.concludeAttempt(p.req, lease, tracked, r.outcome)
		counted.end(r.outcome, r.err)
		p.h.logAttempt(p.req, number, r)
		p.results <- r
	}()
	return nil
}

// deadlineError returns the error for a request that reached its deadline.
func (p *plainRequest) deadlineError() *reason.Error {
	err := reason.New(reason.DeadlineExceeded, "no answer before the deadline")
	if p.inFlight > 0 {
		return err.WithRun(reason.RunUnknown)
	}
	return err
}

// logAttempt logs how an attempt ended. An attempt whose response is forwarded
// is not logged here, because the request's last log line names its endpoint
// and status.
func (h *Handler) logAttempt(req *request, number int, r result) {
	if r.isFinal() {
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

// sendPlain sends the request to one endpoint and reads the whole response.
func (h *Handler) sendPlain(ctx context.Context, req *request, lease *balance.Lease, tracked *trackedAttempt, held *holding) result {
	r := result{lease: lease, tracked: tracked}
	// A request that must not be retried gets a new connection: an idle one may
	// be closing, or carry a late response to another request.
	fresh := req.route.RetryPolicy != routing.RetryAlways
	conn, err := h.connect(ctx, lease.Endpoint, fresh)
	if err != nil {
		r.outcome = balance.Unreachable
		if ctx.Err() != nil {
			r.outcome = balance.Cancelled
		}
		r.err = reason.New(reason.ConnectFailed, "no connection to the endpoint").WithRetryAfter(busyRetryAfter)
		return r
	}
	h.attempts.markSent(tracked)
	response, err := conn.RoundTrip(h.buildRequest(ctx, req, lease.Endpoint, Attempt{LastEventID: req.info.LastEventID}))
	if err != nil {
		conn.Close()
		message := "the connection ended before the answer"
		if errors.Is(err, upstream.ErrInvalidStatus) {
			message = err.Error()
		}
		r.err, r.outcome = h.attemptError(ctx, message)
		return r
	}
	h.activity.record(h.o.Clock())
	body, err := h.readHeldBody(ctx, req, held, response)
	_ = response.Body.Close()
	info := h.o.Protocol.DecodeResponse(response)
	h.observeResponse(req, lease.Endpoint, info)
	var noMemory *reason.Error
	if errors.As(err, &noMemory) && ctx.Err() == nil {
		conn.Close()
		r.err, r.outcome = noMemory.WithRun(reason.RunUnknown), balance.Cancelled
		return r
	}
	if err != nil || (info.ID != "" && info.ID != req.info.ID) {
		conn.Close()
		r.err, r.outcome = h.attemptError(ctx, "the answer broke off, is too large or belongs to another request")
		return r
	}
	h.o.Pool.Put(conn, response)
	return h.classifyResponse(r, response, body, info)
}

// errResponseTooLarge means that the body of a plain response exceeds
// maxResponseBytes.
var errResponseTooLarge = errors.New("the body of the response is too large")

// readBody reads the whole body of a plain response.
func readBody(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	return body, err
}

// classifyResponse derives the result of an attempt from a complete response.
func (h *Handler) classifyResponse(r result, response *http.Response, body []byte, info ResponseInfo) result {
	switch {
	case info.Misdirected:
		h.reportMisdirected(r.lease.Endpoint, r.tracked, info.AnsweredBy)
		r.err = reason.New(reason.EndpointUnreachable, "another endpoint has the address").WithRetryAfter(busyRetryAfter)
		r.outcome = balance.Unreachable
	case info.NotExecuted:
		r.err = reason.New(reason.EngineRefused, "the endpoint did not run the request").WithRetryAfter(busyRetryAfter)
		r.outcome = balance.Refused
	case !info.Signed && response.StatusCode < http.StatusBadRequest:
		r.err = reason.New(reason.ChunkForeign, "the answer is not signed").WithRun(reason.RunUnknown)
		r.outcome = balance.Interrupted
	case response.StatusCode >= http.StatusInternalServerError:
		r.response, r.body, r.outcome = response, body, balance.Failed
	default:
		r.response, r.body, r.outcome = response, body, balance.Completed
	}
	return r
}

// attemptError returns the error and the outcome of an attempt without a usable
// response. message describes a failure that the end of the context did not
// cause.
func (h *Handler) attemptError(ctx context.Context, message string) (*reason.Error, balance.Outcome) {
	switch ctx.Err() {
	case nil:
	case context.DeadlineExceeded:
		return reason.New(reason.DeadlineExceeded, "no answer before the deadline").WithRun(reason.RunUnknown), balance.TimedOut
	default:
		return reason.New(reason.HedgeLost, "the attempt was ended").WithRun(reason.RunUnknown), balance.Cancelled
	}
	return reason.New(reason.EngineClosed, "%s", message).WithRun(reason.RunUnknown), balance.Interrupted
}

// deliverResponse forwards an endpoint's response to the caller.
func (h *Handler) deliverResponse(w http.ResponseWriter, req *request, r result) {
	copyResponseHeader(w, r.response.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	w.WriteHeader(r.response.StatusCode)
	err := h.writeBody(w, req, r.body)
	if h.slow != nil && isSlowCaller(err) {
		h.abortSlowPlain(req)
	}
	age := h.o.Clock() - req.received
	h.responseLatency.RecordDuration(age)
	req.log.Info("response complete", "status", r.response.StatusCode, "endpoint", r.lease.Endpoint.ID,
		"attempts", req.attempts, "age_ms", age.Milliseconds(), "configuration", req.tableVersion, "delivered", err == nil)
}
