// Package forward serves routed requests. It admits a request, sends it to an
// endpoint of the route's service, retries within the limits of the route and
// the retry budget, and sends the caller exactly one final response.
package forward

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/admission"
	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/loadprobe"
	"github.com/hibiscusstair/hibiscusstair/prefixcache"
	"github.com/hibiscusstair/hibiscusstair/quarantine"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/rollout"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/telemetry"
	"github.com/hibiscusstair/hibiscusstair/upstream"
)

// Options configures a Handler.
type Options struct {
	Protocol    Protocol
	Table       *routing.CurrentTable
	Balance     *balance.Balancer
	Pool        *upstream.Pool
	RetryBudget *RetryBudget
	// OnLeaving is called when a response says that its endpoint leaves; nil ignores
	// it. The balancer has to choose no leaving endpoint.
	OnLeaving func(registry.Endpoint)
	// OnMisdirected is called when another endpoint has answered at the address of an
	// endpoint; nil ignores it. It reports whether the one that was asked never had it.
	OnMisdirected func(asked registry.Endpoint, by api.EndpointID) (refuted bool)
	// Permits limits the requests to endpoints that ask for it; nil limits none.
	Permits Permits
	// Quarantine tracks contents and prompt parts that crash endpoints; nil disables
	// the check.
	Quarantine Quarantine
	// Rollouts says which versions of a service's software the attempts may be sent to; nil
	// allows all.
	Rollouts rollout.Selector
	// OnCrash is called when an endpoint was found to have crashed; nil ignores it. It must
	// not block.
	OnCrash func(registry.Endpoint)
	// LoadProber queries engines for their load before one is chosen; nil
	// disables the queries.
	LoadProber *loadprobe.Prober
	// PromptIndex finds the engines that hold the KV cache of a prompt; nil
	// disables the lookup.
	PromptIndex *prefixcache.Index
	// Admission holds streams back while all engines are full; nil places them at once.
	Admission *admission.Runner
	Clock     bootclock.Func
	Log       *slog.Logger
	Scope     tally.Scope
	// Synced is closed once the instance has a configuration and endpoints.
	// Earlier requests wait for it, up to maxSyncWait; nil disables the wait.
	Synced <-chan struct{}
	// TableStale reports whether a newer configuration than the active one may be in force;
	// nil is never.
	TableStale func() bool
	// Stopping reports whether the instance is shutting down and the time left
	// until it exits.
	Stopping func() (bool, time.Duration)
	// MemoryBytes returns the memory that the process may use, of which request bodies get
	// a part; nil or 0 sets no limit.
	MemoryBytes func() int64
	// BoundSlowReaders bounds what is held for callers that read slowly.
	BoundSlowReaders bool
}

// Handler serves routed requests.
type Handler struct {
	o        Options
	refusals *telemetry.ReasonCounters
	retries  *telemetry.ReasonCounters
	// postponed counts stalls in which the stream could not fail over.
	postponed *telemetry.ReasonCounters
	// responseLatency is the time to the whole response of a plain request, and
	// to the response header of a stream.
	responseLatency tally.Histogram
	resumeLatency   tally.Histogram // gap in a stream that an interruption caused
	active          atomic.Int64
	attempts        attemptTracker
	activity        endpointActivity
	bodies          bodyMemory
	slow            *slowReaders // nil: not bounded
	countedAttempts atomic.Int64 // numbers them for Rollouts
	serveOrAbort    http.Handler // serve, which has to begin a response
}

// New returns a handler.
func New(o Options) *Handler {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
	h := &Handler{
		o:               o,
		attempts:        newAttemptTracker(),
		refusals:        telemetry.NewReasonCounters(o.Scope, "refused"),
		retries:         telemetry.NewReasonCounters(o.Scope, "retried"),
		postponed:       telemetry.NewReasonCounters(o.Scope, "failover_postponed"),
		responseLatency: o.Scope.Histogram("answer_latency", buckets),
		resumeLatency:   o.Scope.Histogram("resume_latency", buckets),
	}
	h.bodies.processBytes = o.MemoryBytes
	if o.MemoryBytes == nil {
		h.bodies.processBytes = func() int64 { return 0 }
	}
	h.slow = newSlowReaders(o)
	h.serveOrAbort = httpapi.RequireResponse(http.HandlerFunc(h.serve))
	return h
}

// ActiveRequests returns the number of requests without a final response.
func (h *Handler) ActiveRequests() int { return int(h.active.Load()) }

// request is an admitted request.
type request struct {
	info     RequestInfo
	route    routing.Route
	service  routing.Service
	account  api.AccountID
	priority int // 0 is the highest
	received time.Duration
	// deadline is the boot clock time after which the response is useless; 0 is
	// none.
	deadline     time.Duration
	tableVersion uint64
	inbound      *http.Request
	path         string // escaped path, byte for byte
	body         []byte
	memory       *bodyReservation // of body
	identity     quarantine.Request
	// interrupted is true once an attempt broke off or timed out.
	interrupted atomic.Bool
	// assessment is what crashes said about the identity when it was last checked.
	assessment quarantine.Assessment
	// trial is true for a request that may be sent to one endpoint although requests
	// with its content are refused.
	trial    bool
	log      *slog.Logger
	attempts int
	tried    []api.EndpointID
	// failedVersions are the versions on which attempts failed.
	failedVersions []string
	// holders are, for a stream that the caller resumes, the engines that hold
	// the KV cache of its prompt.
	holders []api.EndpointID
}

// running returns the identity for an attempt that begins now.
func (r *request) running() quarantine.Request {
	identity := r.identity
	identity.Rerun = r.interrupted.Load()
	return identity
}

// ServeHTTP serves one request of a caller. The connection is closed if the request ends
// without a response.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.serveOrAbort.ServeHTTP(w, r)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	if stopping, _ := h.o.Stopping(); stopping {
		w.Header().Set("Connection", "close")
	}
	received := h.o.Clock()
	info, err := h.o.Protocol.DecodeRequest(r)
	if err != nil {
		limitUnreadBody(w)
		h.refuse(w, info, h.o.Log.With("request", info.ID), reason.From(err))
		return
	}
	h.awaitSync(r.Context(), info)
	memory := &bodyReservation{ReadCloser: r.Body, memory: &h.bodies}
	defer memory.release()
	r.Body = memory
	req, refusal := h.admit(w, r, info, received, memory)
	if refusal != nil {
		limitUnreadBody(w)
		h.refuse(w, info, h.o.Log.With("request", info.ID), refusal)
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

// admit determines the route and the client account of a request and reads its
// body.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request, info RequestInfo, received time.Duration, memory *bodyReservation) (*request, *reason.Error) {
	table := h.o.Table.Load()
	if table == nil {
		return nil, reason.New(reason.NotReady, "no configuration yet").WithRetryAfter(retryAfter(info.Timeout))
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") {
		return nil, reason.New(reason.NotFound, "the target is not a path")
	}
	route, ok := table.Match(r.Host, path)
	if !ok {
		return nil, h.unknownRefusal(info, reason.New(reason.NotFound, "no route for the host and path"))
	}
	req := &request{
		info: info, route: route, received: received, tableVersion: table.Version,
		inbound: r, path: path, priority: route.Priority, memory: memory,
	}
	if table.RequiresKey() {
		account, ok := table.Account(info.APIKey)
		if !ok && !route.AllowAnonymous {
			return nil, h.unknownRefusal(info, reason.New(reason.Unauthenticated, "the key belongs to no account"))
		}
		req.account = account.ID
		req.priority = account.PriorityOn(route)
	}
	req.service = table.Services[route.SelectService(info.ID)]
	if req.service.Name == "" {
		return nil, reason.New(reason.NoEndpoint, "the route has no service").WithRetryAfter(retryAfter(info.Timeout))
	}
	req.deadline = earliestDeadline(received, info.Timeout, route.Timeout)
	if refusal := h.stopRefusal(req); refusal != nil {
		return nil, refusal
	}
	body, refusal := h.readCallerBody(w, req, table.Limits.MaxBodyBytes)
	if refusal != nil {
		return nil, refusal
	}
	req.body = body
	req.identity = newIdentity(req.account, contentDigest(req.account, r.Host, r.RequestURI, body), info.SharedPartIDs)
	req.log = h.o.Log.With("request", info.ID, "route", route.Name)
	if refusal := h.stopRefusal(req); refusal != nil {
		return nil, refusal
	}
	if refusal := h.admissionRefusal(req); refusal != nil {
		return nil, refusal
	}
	return req, nil
}

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After advice. An instance
	// needs one to two seconds to start.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// retryAfterShare is the share of its timeout that a caller is advised to
	// wait. Callers retry only once or twice, so an early retry is wasted.
	retryAfterShare = 0.25
)

// retryAfter returns the Retry-After advice for a refusal whose cause may last,
// in proportion to the caller's timeout.
func retryAfter(callerTimeout time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, time.Duration(float64(callerTimeout)*retryAfterShare)))
}

// unknownRefusal returns the refusal of a request that the active configuration does not
// allow. If a newer one may be in force, the caller is told to come back.
func (h *Handler) unknownRefusal(info RequestInfo, refusal *reason.Error) *reason.Error {
	if h.o.TableStale == nil || !h.o.TableStale() {
		return refusal
	}
	return reason.New(reason.StaleTable, "%s by a configuration that may be out of date", refusal.Message).WithRetryAfter(retryAfter(info.Timeout))
}

// earliestDeadline returns the earlier of the caller's and the route's
// deadline; 0 is none.
func earliestDeadline(received, callerTimeout, routeTimeout time.Duration) time.Duration {
	deadline := time.Duration(0)
	for _, limit := range []time.Duration{callerTimeout, routeTimeout} {
		if limit > 0 && (deadline == 0 || received+limit < deadline) {
			deadline = received + limit
		}
	}
	return deadline
}

func (h *Handler) deadlineContext(ctx context.Context, req *request) (context.Context, context.CancelFunc) {
	if req.deadline == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, req.deadline-h.o.Clock())
}

// remainingTime returns the time until the request's deadline; 0 is no
// deadline. A passed deadline gives 1 ms, because 0 means none.
func (h *Handler) remainingTime(req *request) time.Duration {
	if req.deadline == 0 {
		return 0
	}
	return max(time.Millisecond, req.deadline-h.o.Clock())
}

func (h *Handler) refuse(w http.ResponseWriter, info RequestInfo, log *slog.Logger, err *reason.Error) {
	h.refusals.Inc(err.Reason)
	log.Warn("request refused", "reason", err.Reason, "run", err.Run, "message", err.Message,
		"retry_after_ms", err.RetryAfter.Milliseconds(), "configuration", h.o.Table.Version())
	h.o.Protocol.WriteRefusal(w, info, err)
}

// balanceRequest describes the request to the balancer.
func (h *Handler) balanceRequest(req *request) balance.Request {
	request := balance.Request{Service: req.service.Name, Session: req.info.LastPartID, Prefer: req.holders, Exclude: req.tried}
	if req.service.Engine != nil {
		request.Tokens = max(1, req.info.TotalTokens())
	}
	h.restrictVersions(&request, req)
	return request
}

// callerDisconnected reports whether the caller has closed its connection.
func callerDisconnected(inbound *http.Request) bool { return inbound.Context().Err() != nil }
