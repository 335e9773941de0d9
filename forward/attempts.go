package forward

import (
	"slices"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/quarantine"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

const (
	// attributionWindow is how long after its end an attempt without a good end counts
	// as the possible cause if its endpoint is found to have ended too. A silent
	// endpoint is removed from the registry after three heartbeat intervals, 3.6 s,
	// and the watch that reports it may be late.
	attributionWindow = 8 * time.Second
	// crashMemory is how long an endpoint that was found to have crashed is remembered
	// if its registration does not end.
	crashMemory = 10 * time.Minute
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
	// afterCrash is true if its endpoint was found to have crashed before.
	afterCrash bool
	// reported is true once its endpoint was reported as crashed.
	reported bool
}

// evidence returns what the endpoint may have crashed with.
func (a *trackedAttempt) evidence() quarantine.Request {
	if a.served {
		return quarantine.Request{Content: a.request.Content, Rerun: a.request.Rerun}
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
	// crashedAt is when endpoints were last found to have crashed. Another endpoint may
	// be at their address.
	crashedAt map[incarnation]time.Duration
}

func newAttemptTracker() attemptTracker {
	return attemptTracker{attempts: make(map[incarnation][]*trackedAttempt), crashedAt: make(map[incarnation]time.Duration)}
}

func (t *attemptTracker) add(endpoint registry.Endpoint, request quarantine.Request) *trackedAttempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := incarnationOf(endpoint)
	_, crashed := t.crashedAt[key]
	added := &trackedAttempt{request: request, afterCrash: crashed}
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

// complete removes an attempt that its endpoint has completed, which shows that the
// endpoint has not crashed.
func (t *attemptTracker) complete(endpoint registry.Endpoint, completed *trackedAttempt) {
	t.remove(endpoint, completed)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.crashedAt, incarnationOf(endpoint))
}

// end keeps an attempt without a good end for attributionWindow, if it was sent.
func (t *attemptTracker) end(now time.Duration, endpoint registry.Endpoint, ended *trackedAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := incarnationOf(endpoint)
	if !ended.sent {
		t.removeWhere(key, func(a *trackedAttempt) bool { return a == ended })
		return
	}
	ended.endedAt = now
	endedCount := 0
	t.removeWhere(key, func(a *trackedAttempt) bool {
		if a.endedAt != 0 {
			endedCount++
		}
		return a.endedAt != 0 && now-a.endedAt > attributionWindow
	})
	if endedCount > maxEndedAttempts {
		t.removeFirstEnded(key)
	}
}

func (t *attemptTracker) removeFirstEnded(key incarnation) {
	if i := slices.IndexFunc(t.attempts[key], func(a *trackedAttempt) bool { return a.endedAt != 0 }); i >= 0 {
		t.attempts[key] = slices.Delete(t.attempts[key], i, i+1)
	}
}

func (t *attemptTracker) removeWhere(key incarnation, remove func(*trackedAttempt) bool) {
	t.attempts[key] = slices.DeleteFunc(t.attempts[key], remove)
	if len(t.attempts[key]) == 0 {
		delete(t.attempts, key)
	}
}

// takeUnreported records that the endpoint has crashed. It returns the requests that it
// may have crashed with and that were not returned before.
func (t *attemptTracker) takeUnreported(now time.Duration, endpoint registry.Endpoint) []quarantine.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := incarnationOf(endpoint)
	t.recordCrash(now, key)
	var requests []quarantine.Request
	for _, a := range t.attempts[key] {
		if !a.sent || a.afterCrash || a.reported || a.endedAt != 0 && now-a.endedAt > attributionWindow {
			continue
		}
		a.reported = true
		requests = append(requests, a.evidence())
	}
	return requests
}

func (t *attemptTracker) recordCrash(now time.Duration, crashed incarnation) {
	t.crashedAt[crashed] = now
	for key, at := range t.crashedAt {
		if now-at > crashMemory {
			delete(t.crashedAt, key)
		}
	}
}

// forget drops what is known of an endpoint.
func (t *attemptTracker) forget(endpoint registry.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.attempts, incarnationOf(endpoint))
	delete(t.crashedAt, incarnationOf(endpoint))
}
