package forward

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/quarantine"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/upstream"
)

// endpointActivity is when any endpoint last sent something to this instance.
type endpointActivity struct{ last atomic.Int64 }

func (a *endpointActivity) record(now time.Duration) { a.last.Store(int64(now)) }

func (a *endpointActivity) since(t time.Duration) bool { return time.Duration(a.last.Load()) > t }

// connect returns a connection to the endpoint. An endpoint that refuses it has
// crashed.
func (h *Handler) connect(ctx context.Context, endpoint registry.Endpoint, fresh bool) (*upstream.Conn, error) {
	conn, err := h.o.Pool.Get(ctx, endpoint, fresh)
	if errors.Is(err, syscall.ECONNREFUSED) {
		h.reportCrash(endpoint)
	}
	return conn, err
}

// concludeAttempt releases the lease of an attempt and keeps what may have crashed its
// endpoint, according to the outcome.
func (h *Handler) concludeAttempt(req *request, lease *balance.Lease, attempt *trackedAttempt, outcome balance.Outcome) {
	switch outcome {
	case balance.Interrupted, balance.TimedOut:
		req.interrupted.Store(true)
		h.attempts.end(h.o.Clock(), lease.Endpoint, attempt)
		go h.checkEndpoint(lease.Endpoint, attempt)
	case balance.Failed:
		h.attempts.end(h.o.Clock(), lease.Endpoint, attempt)
	case balance.Cancelled:
		// The parts of a prompt whose caller has left are not to blame.
		h.attempts.markServed(attempt)
		h.attempts.end(h.o.Clock(), lease.Endpoint, attempt)
	case balance.Completed:
		h.recordCompletion(req)
		h.attempts.complete(lease.Endpoint, attempt)
	default:
		h.attempts.remove(lease.Endpoint, attempt)
	}
	h.o.Balance.Release(lease, outcome)
}

// checkEndpoint checks whether an endpoint on which an attempt broke off or was silent
// accepts connections. A timeout alone is weak evidence of a crash, because a lost
// packet or a full link of this instance causes it too: it counts for a few seconds,
// for the content of the attempt, and only if other endpoints respond.
func (h *Handler) checkEndpoint(endpoint registry.Endpoint, attempt *trackedAttempt) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	began := h.o.Clock()
	conn, err := h.connect(ctx, endpoint, true)
	switch {
	case err == nil:
		h.o.Pool.PutUnused(conn)
	case errors.Is(err, syscall.ECONNREFUSED):
	case h.o.Quarantine != nil && h.activity.since(began):
		h.o.Quarantine.ReportCrash(quarantine.EngineCrashed{
			Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation, Domain: endpoint.Domain, Unconfirmed: true,
			Running: []quarantine.Request{{Content: attempt.request.Content, Rerun: attempt.request.Rerun}},
		})
	}
}

// reportMisdirected handles a response of another endpoint at the endpoint's address.
// The endpoint has ended before the attempt was sent, or never had the address.
func (h *Handler) reportMisdirected(endpoint registry.Endpoint, attempt *trackedAttempt, by api.EndpointID) {
	h.attempts.remove(endpoint, attempt)
	if by != "" && h.o.OnMisdirected != nil && h.o.OnMisdirected(endpoint, by) {
		return
	}
	h.reportCrash(endpoint)
}

// EndpointGone handles the end of an endpoint's registration. One that did not drain
// before has crashed, unless it never had its address.
func (h *Handler) EndpointGone(endpoint registry.Endpoint, refuted bool) {
	if !endpoint.Draining && !refuted {
		h.reportCrash(endpoint)
	}
	h.attempts.forget(endpoint)
}

// reportCrash reports the crash of an endpoint with the requests that it ran.
func (h *Handler) reportCrash(endpoint registry.Endpoint) {
	if h.o.OnCrash != nil {
		h.o.OnCrash(endpoint)
	}
	if h.o.Quarantine == nil {
		return
	}
	running := h.attempts.takeUnreported(h.o.Clock(), endpoint)
	if len(running) == 0 {
		return
	}
	h.o.Quarantine.ReportCrash(quarantine.EngineCrashed{
		Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation, Domain: endpoint.Domain, Running: running,
	})
}
