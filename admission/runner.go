package admission

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

const (
	// retryInterval is the time between two attempts to place a request while no engine
	// has room, spread by retryJitter in both directions.
	retryInterval = 100 * time.Millisecond
	retryJitter   = 0.3
	// shutdownRetryAfter is the Retry-After of requests that wait when the instance stops;
	// other instances serve them.
	shutdownRetryAfter = 50 * time.Millisecond
	// maxHistogramRank is the last rank with a histogram of its own.
	maxHistogramRank = 4
)

// Trial is one attempt to place a request.
type Trial struct {
	Limits Limits
	// MaxQueries bounds the load queries.
	MaxQueries int
	// Freed are engines at which generations of this instance have ended just now.
	Freed []registry.Endpoint
	// Overdue says that the request has waited for more than a quarter of its slack. It
	// does not wait any longer if no engine reports its load.
	Overdue bool
	// Waited is how long the request has waited in the queue.
	Waited time.Duration
}

// Result is the result of a Trial.
type Result struct {
	// Placed says that an engine has taken the request. Otherwise the request waits, or
	// ends if Err is set.
	Placed bool
	Err    *reason.Error
	// Queries is the number of load queries.
	Queries int
}

// PlaceFunc attempts to place a request. It ends soon after its context.
type PlaceFunc func(ctx context.Context, trial Trial) Result

// Options configures a Runner.
type Options struct {
	Clock bootclock.Func
	Log   *slog.Logger
	Scope tally.Scope
}

// Runner holds the queues of all services. It is safe for concurrent use.
type Runner struct {
	o        Options
	mu       sync.Mutex
	services map[string]*serviceQueue
	stopped  bool
	queued   int // requests that wait, of all services
	budget   QueryBudget
	sequence uint64            // of the last request that was queued
	waits    []tally.Histogram // by rank

	limitsHit, refusedOnArrival, refusedAfterWait tally.Counter
}

// serviceQueue is the queue of one service.
type serviceQueue struct {
	core        *Core
	waiting     map[string]*waiter
	dispatching bool          // a dispatcher runs
	wake        chan struct{} // has an element if the dispatcher should try at once
	trying      *waiter       // the dispatcher attempts to place it
}

// waiter is a request in the queue.
type waiter struct {
	ctx      context.Context
	request  Request
	capacity int
	place    PlaceFunc
	since    time.Duration
	placed   bool               // set before the element of done is sent
	done     chan *reason.Error // receives one element at the end of the wait
}

// New returns a runner without requests.
func New(o Options) *Runner {
	r := &Runner{
		o: o, services: make(map[string]*serviceQueue),
		limitsHit:        o.Scope.Counter("limits_hit"),
		refusedOnArrival: o.Scope.Tagged(map[string]string{"cause": "arrival"}).Counter("refused"),
		refusedAfterWait: o.Scope.Tagged(map[string]string{"cause": "wait"}).Counter("refused"),
	}
	for _, counter := range []tally.Counter{r.limitsHit, r.refusedOnArrival, r.refusedAfterWait} {
		counter.Inc(0) // exports it
	}
	buckets := tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 12)
	for rank := range maxHistogramRank + 1 {
		r.waits = append(r.waits, o.Scope.Tagged(map[string]string{"rank": strconv.Itoa(rank)}).Histogram("wait", buckets))
	}
	return r
}

// Stop refuses all waiting requests and those that would wait from now on.
func (r *Runner) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	for _, q := range r.services {
		for id, w := range q.waiting {
			if w != q.trying { // otherwise the dispatcher finishes it
				q.core.Remove(id)
				r.finish(q, w, stopRefusal())
			}
		}
	}
}

func stopRefusal() *reason.Error {
	return reason.New(reason.ShuttingDown, "the instance stops").WithRetryAfter(shutdownRetryAfter)
}

// Admit places a request of a service whose engines have the memory, in tokens. It returns
// once place has placed it, with a refusal, or with neither if the context has ended. A
// request that finds room at once does not wait.
func (r *Runner) Admit(ctx context.Context, service string, request Request, capacity int, place PlaceFunc) (placed bool, _ *reason.Error) {
	r.mu.Lock()
	q := r.queue(service)
	now := r.o.Clock()
	q.core.RecordArrival(request)
	r.budget.Earn()
	request.Arrived = q.core.FirstArrival(now, request)
	if !q.core.HasAhead(request.Rank) {
		limits := q.core.Limits(now, request, capacity)
		queries := max(minArrivalQueries, r.budget.Available(now))
		r.mu.Unlock()
		result := place(ctx, Trial{Limits: limits, MaxQueries: queries})
		r.mu.Lock()
		r.budget.Spend(result.Queries)
		if result.Placed || result.Err != nil {
			q.core.Forget(request)
			r.mu.Unlock()
			if result.Placed {
				r.recordWait(request.Rank, 0)
			}
			return result.Placed, result.Err
		}
		r.limitsHit.Inc(1)
	}
	w := &waiter{ctx: ctx, request: request, capacity: capacity, place: place, since: r.o.Clock(), done: make(chan *reason.Error, 1)}
	refusal := r.enqueue(q, w)
	r.mu.Unlock()
	if refusal != nil {
		return false, refusal
	}
	// The dispatcher ends the wait, because its last attempt has to be over by then.
	stop := context.AfterFunc(ctx, q.signal)
	defer stop()
	err := <-w.done
	return w.placed, err
}

func (r *Runner) queue(service string) *serviceQueue {
	q := r.services[service]
	if q == nil {
		q = &serviceQueue{core: NewCore(), waiting: make(map[string]*waiter), wake: make(chan struct{}, 1)}
		r.services[service] = q
	}
	return q
}

// enqueue adds a request to the queue and starts a dispatcher if none runs.
func (r *Runner) enqueue(q *serviceQueue, w *waiter) *reason.Error {
	if r.stopped {
		return stopRefusal()
	}
	id := w.request.ID
	r.sequence++ // callers may send two requests with one ID
	w.request.ID += "/" + strconv.FormatUint(r.sequence, 10)
	if refusal := q.core.Enqueue(w.since, w.request); refusal != nil {
		r.refusedOnArrival.Inc(1)
		return refusal
	}
	q.waiting[w.request.ID] = w
	r.addQueued(1)
	r.o.Log.Info("request queued", "request", id, "rank", w.request.Rank, "queued", len(q.waiting),
		"slack_ms", q.core.slack(w.since, w.request).Milliseconds())
	if !q.dispatching {
		q.dispatching = true
		go r.dispatch(q)
	}
	q.signal()
	return nil
}

func (q *serviceQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// dispatch places the requests of a queue until it is empty.
func (r *Runner) dispatch(q *serviceQueue) {
	for {
		w, trial, ok := r.nextTrial(q)
		if !ok {
			return
		}
		if r.conclude(q, w, w.place(w.ctx, trial)) {
			continue
		}
		pause := time.Duration(float64(retryInterval) * (1 - retryJitter + 2*retryJitter*rand.Float64()))
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-q.wake:
			timer.Stop()
		}
	}
}

// nextTrial returns the request to place next. It returns false if the queue is empty,
// which ends the dispatcher.
func (r *Runner) nextTrial(q *serviceQueue) (*waiter, Trial, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Clock()
	for id, w := range q.waiting {
		if w.ctx.Err() != nil {
			q.core.Remove(id)
			r.finish(q, w, nil)
		}
	}
	for id, refusal := range q.core.Expire(now) {
		r.refusedAfterWait.Inc(1)
		r.finish(q, q.waiting[id], refusal)
	}
	next, ok := q.core.Next(now)
	if !ok {
		q.dispatching = false
		return nil, Trial{}, false
	}
	w := q.waiting[next.ID]
	trial := Trial{
		Limits: q.core.QueueLimits(now, next, w.capacity), MaxQueries: r.budget.Available(now),
		Freed: q.core.TakeFreed(now), Waited: now - w.since,
		Overdue: q.core.Overdue(now, next),
	}
	q.trying = w
	return w, trial, true
}

// conclude records the result of a trial. It reports whether the request was placed or
// has ended.
func (r *Runner) conclude(q *serviceQueue, w *waiter, result Result) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Spend(result.Queries)
	q.trying = nil
	if !result.Placed && result.Err == nil && r.stopped {
		result.Err = stopRefusal()
	}
	if !result.Placed && result.Err == nil {
		r.limitsHit.Inc(1)
		return false
	}
	now := r.o.Clock()
	if result.Placed {
		w.placed = true
		q.core.Placed(now, w.request.ID)
		r.recordWait(w.request.Rank, now-w.since)
	} else {
		q.core.Remove(w.request.ID)
	}
	r.finish(q, w, result.Err)
	return true
}

func (r *Runner) finish(q *serviceQueue, w *waiter, err *reason.Error) {
	delete(q.waiting, w.request.ID)
	r.addQueued(-1)
	w.done <- err
}

func (r *Runner) addQueued(n int) {
	r.queued += n
	r.o.Scope.Gauge("queued").Update(float64(r.queued))
}

func (r *Runner) recordWait(rank int, waited time.Duration) {
	r.waits[min(max(rank, 0), maxHistogramRank)].RecordDuration(waited)
}

// RecordFirstEvent records the time from a placement to the first event.
func (r *Runner) RecordFirstEvent(service string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue(service).core.RecordFirstEvent(d)
}

// RecordEnd records the end of a generation of this instance, which has room for another
// now, and its duration; 0 if its response was not complete.
func (r *Runner) RecordEnd(service string, endpoint registry.Endpoint, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.queue(service)
	if d > 0 {
		q.core.RecordDuration(d)
	}
	if len(q.waiting) > 0 {
		q.core.RecordFreed(r.o.Clock(), endpoint)
		q.signal()
	}
}
