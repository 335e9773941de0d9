// Package forward serves routed requests: it admits a request, sends it to an
// endpoint of its route's service, repeats what may be repeated within the
// route's bounds and the retry budget, and gives exactly one final answer.
package forward

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/loadprobe"
	"github.com/hibiscusstair/hibiscusstair/prefixcache"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/telemetry"
	"github.com/hibiscusstair/hibiscusstair/upstream"
)

// defaultBodyBytes bounds a request body if the configuration does not.
const defaultBodyBytes = 4 << 20

// Options configures a Handler.
type Options struct {
	Protocol    Protocol
	Table       *routing.CurrentTable
	Balance     *balance.Balancer
	Pool        *upstream.Pool
	RetryBudget *RetryBudget
	// CrashMarks keeps suspicions on content that crashes endpoints; nil does
	// without.
	CrashMarks CrashMarks
	// LoadProber asks engines for their load before one is chosen; nil does without.
	LoadProber *loadprobe.Prober
	// PromptIndex finds the engines that hold a prompt; nil does without.
	PromptIndex *prefixcache.Index
	Clock       bootclock.Func
	Log         *slog.Logger
	Scope       tally.Scope
	// Synced is closed once the instance has a configuration and endpoints.
	// Requests that arrive earlier wait for it a little; nil does not wait.
	Synced <-chan struct{}
	// Stopping reports whether the instance is about to stop, and how long it
	// still runs.
	Stopping func() (bool, time.Duration)
}

// Handler serves routed requests.
type Handler struct {
	o        Options
	refusals *telemetry.ReasonCounters
	retries  *telemetry.ReasonCounters
	latency  tally.Histogram
	resume   tally.Histogram
	active   atomic.Int64
	running  inFlight
}

// New returns a handler.
func New(o Options) *Handler {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
	return &Handler{
		o:        o,
		running:  inFlight{runs: make(map[api.EndpointID][]api.Digest)},
		refusals: telemetry.NewReasonCounters(o.Scope, "refused"),
		retries:  telemetry.NewReasonCounters(o.Scope, "retried"),
		latency:  o.Scope.Histogram("answer_latency", buckets),
		resume:   o.Scope.Histogram("resume_latency", buckets),
	}
}

// ActiveRequests returns the number of requests without a final answer.
func (h *Handler) ActiveRequests() int { return int(h.active.Load()) }

// request is an admitted request.
type request struct {
	call     RequestInfo
	route    routing.Route
	service  routing.Service
	account  api.AccountID
	priority int // 0 is the highest
	received time.Duration
	// deadline is when the answer is of no more use; 0 is none.
	deadline time.Duration
	version  uint64
	inbound  *http.Request
	target   string // path as it was sent
	body     []byte
	digest   api.Digest
	log      *slog.Logger
	attempts int
	tried    []api.EndpointID
	// holders are engines that hold the prompt of a stream that the caller
	// continues.
	holders []api.EndpointID
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	stopping, left := h.o.Stopping()
	if stopping {
		w.Header().Set("Connection", "close")
	}
	received := h.o.Clock()
	call, err := h.o.Protocol.DecodeRequest(r)
	if err != nil {
		h.refuse(w, call, h.o.Log.With("request", call.ID), reason.From(err))
		return
	}
	h.awaitStart(r.Context(), call)
	req, refusal := h.admit(w, r, call, received)
	if refusal != nil {
		h.refuse(w, call, h.o.Log.With("request", call.ID), refusal)
		return
	}
	if stopping && left < needed(req) {
		h.refuse(w, call, req.log, reason.New(reason.ShuttingDown, "the instance stops before the answer").WithRetryAfter(stoppingPause))
		return
	}
	ctx, cancel := h.deadlineContext(r.Context(), req)
	defer cancel()
	if req.route.Stream {
		h.serveStream(ctx, w, req)
		return
	}
	h.servePlain(ctx, w, req)
}

// admit finds the route and the account of a request and reads its body.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request, call RequestInfo, received time.Duration) (*request, *reason.Error) {
	table := h.o.Table.Load()
	if table == nil {
		return nil, reason.New(reason.NotReady, "no configuration yet").WithRetryAfter(returnPause(call.Timeout))
	}
	target, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(target, "/") || strings.HasPrefix(target, "//") {
		return nil, reason.New(reason.NotFound, "the target is not a path")
	}
	route, ok := table.Match(r.Host, target)
	if !ok {
		return nil, reason.New(reason.NotFound, "no route for the host and path")
	}
	req := &request{
		call: call, route: route, received: received, version: table.Version,
		inbound: r, target: target, priority: route.Priority,
	}
	if table.RequiresKey() {
		account, ok := table.Account(call.APIKey)
		if !ok && !route.AllowAnonymous {
			return nil, reason.New(reason.Unauthenticated, "the key belongs to no account")
		}
		req.account = account.ID
		req.priority = account.PriorityOn(route)
	}
	req.service = table.Services[route.SelectService(call.ID)]
	if req.service.Name == "" {
		return nil, reason.New(reason.NoEndpoint, "the route has no service").WithRetryAfter(returnPause(call.Timeout))
	}
	req.deadline = deadline(received, call.Timeout, route.Timeout)
	limit := table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, reason.New(reason.TooLarge, "the body is larger than %d bytes", limit)
		}
		return nil, reason.New(reason.BadRequest, "the body could not be read")
	}
	req.body = body
	req.digest = digestOf(req.account, r.RequestURI, body)
	if refusal := h.refusedContent(req.digest); refusal != nil {
		return nil, refusal
	}
	req.log = h.o.Log.With("request", call.ID, "route", route.Name)
	return req, nil
}

const (
	// streamTime is how long an answer of 130 events takes with its prompt.
	streamTime = 6 * time.Second
	// stoppingPause is the advice to callers of an instance that stops; they
	// return to another one.
	stoppingPause = 50 * time.Millisecond
)

// needed is how long the instance has to run to answer the request.
func needed(req *request) time.Duration {
	if req.route.Stream {
		return streamTime
	}
	return 3 * req.route.TargetLatency
}

const (
	// shortestReturn and longestReturn bound the advice to callers while an
	// instance starts, which takes one to two seconds.
	shortestReturn = 200 * time.Millisecond
	longestReturn  = 2 * time.Second
	// returnShare is the part of the caller's patience that it is told to wait.
	// Callers return once or twice, so an early return is wasted.
	returnShare = 0.25
)

// returnPause is the advice when to come back after a refusal that lasts.
func returnPause(patience time.Duration) time.Duration {
	return min(longestReturn, max(shortestReturn, time.Duration(float64(patience)*returnShare)))
}

// deadline is the earlier of the caller's and the route's bound.
func deadline(received, patience, timeout time.Duration) time.Duration {
	bound := time.Duration(0)
	for _, limit := range []time.Duration{patience, timeout} {
		if limit > 0 && (bound == 0 || received+limit < bound) {
			bound = received + limit
		}
	}
	return bound
}

func (h *Handler) deadlineContext(ctx context.Context, req *request) (context.Context, context.CancelFunc) {
	if req.deadline == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, req.deadline-h.o.Clock())
}

// remaining returns how long the answer is still of use, 0 if unlimited.
func (h *Handler) remaining(req *request) time.Duration {
	if req.deadline == 0 {
		return 0
	}
	return max(time.Millisecond, req.deadline-h.o.Clock())
}

func (h *Handler) refuse(w http.ResponseWriter, call RequestInfo, log *slog.Logger, err *reason.Error) {
	h.refusals.Inc(err.Reason)
	log.Warn("refused", "reason", err.Reason, "run", err.Run, "message", err.Message,
		"retry_after_ms", err.RetryAfter.Milliseconds(), "configuration", h.o.Table.Version())
	h.o.Protocol.WriteRefusal(w, call, err)
}

// work describes the request to the balancer.
func (req *request) work() balance.Request {
	work := balance.Request{Service: req.service.Name, Session: req.call.Session, Prefer: req.holders, Exclude: req.tried}
	if req.service.Engine != nil {
		work.Tokens = max(1, req.call.TotalTokens())
	}
	return work
}

// callerLeft reports whether the caller has closed its connection.
func callerLeft(inbound *http.Request) bool { return inbound.Context().Err() != nil }
