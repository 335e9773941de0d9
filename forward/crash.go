package forward

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/quarantine"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/upstream"
)

const (
	// attributionWindow is how long after its end an attempt without a good end counts
	// as the possible cause if its endpoint is found to have ended too. A silent
	// endpoint is removed from the registry after three heartbeat intervals, 3.6 s,
	// and the watch that reports it may be late.
	attributionWindow = 8 * time.Second
	// maxEndedAttempts bounds the ended attempts that are remembered for an endpoint.
	maxEndedAttempts = 256
)

// trackedAttempt is an attempt of a request at an endpoint.
type trackedAttempt struct {
	request quarantine.Request
	sent    bool // the request was sent, at least in part
	// served is true once the engine has generated servedAfterEvents events.
	served  bool
	endedAt time.Duration // 0 while it runs
	// reported is true once its endpoint was reported as crashed.
	reported bool
}

// evidence returns what the endpoint may have crashed with.
func (a *trackedAttempt) evidence() quarantine.Request {
	if a.served {
		return quarantine.Request{Content: a.request.Content}
	}
	return a.request
}

// incarnation identifies one start of an endpoint.
type incarnation struct {
	id      api.EndpointID
	started int64
}

func incarnationOf(e registry.Endpoint) incarnation {
	return incarnation{id: e.ID, started: e.Incarnation}
}

// attemptTracker knows the attempts that run on each endpoint, and those that have
// ended there without a good end. They are the possible causes if the endpoint is
// found to have crashed, in whatever way and however late.
type attemptTracker struct {
	mu       sync.Mutex
	attempts map[incarnation][]*trackedAttempt
}

func (t *attemptTracker) add(endpoint registry.Endpoint, request quarantine.Request) *trackedAttempt {
	added := &trackedAttempt{request: request}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := incarnationOf(endpoint)
	t.attempts[key] = append(t.attempts[key], added)
	return added
}

// markSent has to be called before the request is sent.
func (t *attemptTracker) markSent(a *trackedAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.sent = true
}

func (t *attemptTracker) markServed(a *trackedAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.served = true
}

// remove removes an attempt that ended well or was not executed.
func (t *attemptTracker) remove(endpoint registry.Endpoint, removed *trackedAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeWhere(incarnationOf(endpoint), func(a *trackedAttempt) bool { return a == removed })
}

// end keeps an attempt without a good end for attributionWindow, if it was sent.
func (t *attemptTracker) end(now time.Duration, endpoint registry.Endpoint, ended *trackedAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ended.endedAt = now
	key := incarnationOf(endpoint)
	surplus := -maxEndedAttempts
	for _, a := range t.attempts[key] {
		if a.endedAt != 0 {
			surplus++
		}
	}
	t.removeWhere(key, func(a *trackedAttempt) bool {
		if a == ended && !a.sent {
			return true
		}
		if a.endedAt == 0 {
			return false
		}
		surplus--
		return surplus >= 0 || now-a.endedAt > attributionWindow
	})
}

func (t *attemptTracker) removeWhere(key incarnation, remove func(*trackedAttempt) bool) {
	t.attempts[key] = slices.DeleteFunc(t.attempts[key], remove)
	if len(t.attempts[key]) == 0 {
		delete(t.attempts, key)
	}
}

// takeUnreported returns the requests that the endpoint may have crashed with and that
// were not returned before.
func (t *attemptTracker) takeUnreported(now time.Duration, endpoint registry.Endpoint) []quarantine.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	var requests []quarantine.Request
	for _, a := range t.attempts[incarnationOf(endpoint)] {
		if !a.sent || a.reported || a.endedAt != 0 && now-a.endedAt > attributionWindow {
			continue
		}
		a.reported = true
		requests = append(requests, a.evidence())
	}
	return requests
}

// forget drops what is known of an endpoint.
func (t *attemptTracker) forget(endpoint registry.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.attempts, incarnationOf(endpoint))
}

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
		h.attempts.remove(lease.Endpoint, attempt)
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
			Running: []quarantine.Request{{Content: attempt.request.Content}},
		})
	}
}

// reportMisdirected handles a response of another endpoint at the endpoint's address.
// The endpoint has ended before the attempt was sent.
func (h *Handler) reportMisdirected(endpoint registry.Endpoint, attempt *trackedAttempt) {
	h.attempts.remove(endpoint, attempt)
	h.reportCrash(endpoint)
}

// EndpointGone handles the end of an endpoint's registration. One that did not drain
// before has crashed.
func (h *Handler) EndpointGone(endpoint registry.Endpoint) {
	if !endpoint.Draining {
		h.reportCrash(endpoint)
	}
	h.attempts.forget(endpoint)
}

// reportCrash reports the crash of an endpoint with the requests that it ran.
func (h *Handler) reportCrash(endpoint registry.Endpoint) {
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
