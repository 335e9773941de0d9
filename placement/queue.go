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

// accountShare is the part of a queue (1/n) that one account may fill.
const accountShare = 2

// waiter is a request that waits for an endpoint.
type waiter struct {
	id       uint64
	request  api.PlacementRequest
	deadline time.Duration
	since    time.Duration
	// blocked is why the last try failed.
	blocked reason.Reason
	gone    bool
	class   int
}

func (w *waiter) queue() int {
	queue := 2 * int(w.request.Priority)
	if !w.request.Recovery {
		queue++
	}
	return queue
}

// queueShare is one account's part of one queue.
type queueShare struct {
	queue   int
	account api.AccountID
}

func (w *waiter) share() queueShare { return queueShare{w.queue(), w.request.Account} }

// waitClass groups requests that are blocked for the same reasons.
type waitClass struct {
	kind       api.EndpointKind
	model      api.ModelRef
	account    api.AccountID
	queue      int
	regionOnly bool
}

// classes numbers the wait classes, so that a pass over a long queue compares
// numbers. Number 0 stands for a request without a class.
type classes struct {
	numbers map[waitClass]int
	// failed has the last pass in which the class could not be served.
	failed []uint64
	pass   uint64
}

func newClasses() classes {
	return classes{numbers: make(map[waitClass]int), failed: make([]uint64, 1)}
}

func (c *classes) number(class waitClass) int {
	number, ok := c.numbers[class]
	if !ok {
		number = len(c.failed)
		c.numbers[class] = number
		c.failed = append(c.failed, 0)
	}
	return number
}

// classify returns the number of the request's class.
func (c *Core) classify(w *waiter) int {
	request := &w.request
	if len(request.Exclude) > 0 || request.Isolation != api.IsolationNone {
		return 0
	}
	class := waitClass{kind: request.Kind, model: request.Model, queue: w.queue(), regionOnly: request.SameRegionOnly}
	if c.list(request).restricted {
		class.account = request.Account
	}
	return c.classes.number(class)
}

// reclassify numbers the classes anew after a change of the configuration.
func (c *Core) reclassify() {
	c.classes = newClasses()
	for _, w := range c.waiting {
		w.class = c.classify(w)
	}
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
	if c.queued[w.share()] >= bound/accountShare {
		c.letGo(w)
		c.refuse(w.id, reason.New(reason.Overloaded, "the account has %d requests waiting already", bound/accountShare).WithRetryAfter(time.Second))
		return
	}
	if len(c.waiting) == 0 {
		c.classes = newClasses()
	}
	w.class = c.classify(w)
	c.queued[w.share()]++
	c.queues[queue] = append(c.queues[queue], w)
	c.waiting[w.id] = w
}

// leave takes a request out of its queue. The slice is compacted later.
func (c *Core) leave(w *waiter) {
	w.gone = true
	c.queued[w.share()]--
	if c.queued[w.share()] == 0 {
		delete(c.queued, w.share())
	}
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
	c.classes.pass++
	served := false
	for _, w := range c.queues[queue] {
		if w.gone || (w.class != 0 && c.classes.failed[w.class] == c.classes.pass) {
			continue
		}
		if c.overdue(now, w) || !worthTrying(w) {
			continue
		}
		if c.try(now, w) {
			c.leave(w)
			served = true
			continue
		}
		c.classes.failed[w.class] = c.classes.pass
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
	return late || c.hopelessWait(now, w) || now-w.since >= waitBounds[w.request.Priority]
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
	if c.hopelessWait(now, w) {
		return reason.New(reason.DeadlineExceeded, "the answer would not be whole before the deadline (last obstacle: %s)", w.blocked).
			WithRetryAfter(time.Second)
	}
	return reason.New(w.blocked, "no endpoint within %s", waitBounds[w.request.Priority]).WithRetryAfter(time.Second)
}
