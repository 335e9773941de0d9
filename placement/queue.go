package placement

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	priorityCount = int(api.PriorityDraft) + 1
	// queueCount has two queues for each priority: continuations go before new
	// work, since a caller watches a stream that stands still.
	queueCount = 2 * priorityCount
)

// queueBounds limits the waiting requests of each priority. Lookups and orders
// end within seconds; a longer queue would only collect expired requests.
var queueBounds = [priorityCount]int{256, 256, 512, 512}

// drainInterval bounds how often a new request makes all waiting ones be tried
// again.
const drainInterval = time.Millisecond

// recoveryBound limits waiting continuations of one priority. It is higher:
// each of them has cost tokens already.
const recoveryBound = 1024

// waitBounds limits the wait of a request whatever its deadline. Orders have to
// be sent within their dispatch window of 2 s.
var waitBounds = [priorityCount]time.Duration{2 * time.Second, 2 * time.Second, 30 * time.Second, 2 * time.Minute}

// waiter is a request that waits for an endpoint.
type waiter struct {
	id       uint64
	request  api.PlacementRequest
	deadline time.Duration
	since    time.Duration
	// blocked is why the last try failed.
	blocked reason.Reason
	gone    bool
}

func (w *waiter) queue() int {
	queue := 2 * int(w.request.Priority)
	if !w.request.Recovery {
		queue++
	}
	return queue
}

// waitClass groups requests that are blocked for the same reasons.
type waitClass struct {
	kind       api.EndpointKind
	model      api.ModelRef
	account    api.AccountID
	queue      int
	regionOnly bool
}

// class returns the request's class and whether it has one.
func (c *Core) class(w *waiter) (waitClass, bool) {
	request := &w.request
	if len(request.Exclude) > 0 || request.Isolation != api.IsolationNone {
		return waitClass{}, false
	}
	class := waitClass{kind: request.Kind, model: request.Model, queue: w.queue(), regionOnly: request.SameRegionOnly}
	if c.list(request).restricted {
		class.account = request.Account
	}
	return class, true
}

func (c *Core) enqueue(now time.Duration, w *waiter) {
	queue := w.queue()
	bound := queueBounds[w.request.Priority]
	if w.request.Recovery {
		bound = recoveryBound
	}
	if len(c.queues[queue]) >= bound {
		c.compact(queue)
	}
	if len(c.queues[queue]) >= bound {
		c.letGo(w)
		c.refuse(w.id, reason.New(reason.Overloaded, "%d requests of the priority wait already", bound).WithRetryAfter(time.Second))
		return
	}
	c.queues[queue] = append(c.queues[queue], w)
	c.waiting[w.id] = w
}

// leave takes a request out of its queue. The slice is compacted later.
func (c *Core) leave(w *waiter) {
	w.gone = true
	c.letGo(w)
	delete(c.waiting, w.id)
}

func (c *Core) compact(queue int) {
	list := c.queues[queue]
	kept := list[:0]
	for _, w := range list {
		if !w.gone {
			kept = append(kept, w)
		}
	}
	clear(list[len(kept):])
	c.queues[queue] = kept
}

// wake serves waiting requests after a place on the endpoint became free.
func (c *Core) wake(now time.Duration, e *endpoint) {
	if len(c.waiting) == 0 || c.recheck {
		return
	}
	for queue := range c.queues {
		c.serveQueue(now, queue, func(w *waiter) bool { return c.canUse(now, e, w) })
	}
}

// canUse reports whether a waiting request may profit from the endpoint.
func (c *Core) canUse(now time.Duration, e *endpoint, w *waiter) bool {
	if !e.dispatchable || e.configured.Kind != w.request.Kind || !eligible(e, &w.request) {
		return false
	}
	if w.request.Isolation == api.IsolationAlone {
		return true
	}
	if w.request.Kind == api.KindEngine && !e.configured.Serves(w.request.Model) {
		return false
	}
	return c.blocked(now, e, w) == ""
}

// drain tries all waiting requests, highest priority first.
func (c *Core) drain(now time.Duration) {
	c.recheck = false
	c.drained = now
	if len(c.waiting) == 0 {
		return
	}
	for queue := range c.queues {
		c.serveQueue(now, queue, func(*waiter) bool { return true })
	}
}

// serveQueue tries the requests of one queue in their order. After one of a
// class has failed, no other of the class is tried.
func (c *Core) serveQueue(now time.Duration, queue int, worthTrying func(*waiter) bool) {
	var failed map[waitClass]bool
	served := false
	for _, w := range c.queues[queue] {
		if w.gone || c.overdue(now, w) || !worthTrying(w) {
			continue
		}
		class, classed := c.class(w)
		if classed && failed[class] {
			continue
		}
		if c.try(now, w) {
			c.leave(w)
			served = true
			continue
		}
		if classed {
			if failed == nil {
				failed = make(map[waitClass]bool)
			}
			failed[class] = true
		}
	}
	if served {
		c.compact(queue)
	}
}

func (c *Core) overdue(now time.Duration, w *waiter) bool {
	if c.options.faults.expireNothing {
		return false
	}
	late := w.deadline != 0 && now >= w.deadline
	return late || now-w.since >= waitBounds[w.request.Priority]
}

// expire refuses the requests that did not start in time. None of them
// reached an endpoint.
func (c *Core) expire(now time.Duration) {
	for queue, list := range c.queues {
		expired := false
		for _, w := range list {
			if w.gone || !c.overdue(now, w) {
				continue
			}
			c.leave(w)
			c.refuse(w.id, c.expiry(now, w))
			expired = true
		}
		if expired {
			c.compact(queue)
		}
	}
}

func (c *Core) expiry(now time.Duration, w *waiter) *reason.Error {
	if w.deadline != 0 && now >= w.deadline {
		return reason.New(reason.DeadlineExceeded, "no endpoint before the deadline (last obstacle: %s)", w.blocked)
	}
	return reason.New(w.blocked, "no endpoint within %s", waitBounds[w.request.Priority]).WithRetryAfter(time.Second)
}

// OldestWait returns how long the first waiting request of the priority has
// waited.
func (c *Core) OldestWait(now time.Duration, priority api.Priority) time.Duration {
	oldest := time.Duration(0)
	for queue := 2 * int(priority); queue <= 2*int(priority)+1; queue++ {
		for _, w := range c.queues[queue] {
			if !w.gone {
				oldest = max(oldest, now-w.since)
				break
			}
		}
	}
	return oldest
}
