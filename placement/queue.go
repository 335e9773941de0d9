package placement

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	priorityCount = int(api.PriorityDraft) + 1
	// There are two queues per priority. Continuations have precedence over new
	// work, since their callers see a stalled stream.
	queueCount = 2 * priorityCount
)

// maxWaiting limits the waiting new requests of each priority: lookup, order,
// interactive, draft. Lookups and orders expire within seconds; a longer queue
// would only hold expired requests.
var maxWaiting = [priorityCount]int{256, 256, 512, 512}

// minPlaceWaitingInterval limits how often a new request causes an attempt to place
// all waiting ones.
const minPlaceWaitingInterval = time.Millisecond

// maxWaitingContinuations limits the waiting continuations of each priority. It is
// higher than maxWaiting because tokens were already spent on each of them.
const maxWaitingContinuations = 1024

// maxWait limits the wait of a request of each priority (lookup, order,
// interactive, draft), even if its deadline is later. Orders have to be sent within
// their dispatch window of 2 s.
var maxWait = [priorityCount]time.Duration{2 * time.Second, 2 * time.Second, 30 * time.Second, 2 * time.Minute}

// A client account may fill 1/accountQueueDivisor of a queue.
const accountQueueDivisor = 2

// waitingRequest is a request that waits for an endpoint.
type waitingRequest struct {
	id        uint64
	request   api.PlacementRequest
	deadline  time.Duration
	arrivedAt time.Duration
	// blockReason is why the last attempt found no endpoint.
	blockReason reason.Reason
	removed     bool
	classID     int
}

func (w *waitingRequest) queue() int {
	queue := 2 * int(w.request.Priority)
	if !w.request.Recovery {
		queue++
	}
	return queue
}

// accountQueue identifies the requests of one client account in one queue.
type accountQueue struct {
	queue   int
	account api.AccountID
}

func (w *waitingRequest) accountQueue() accountQueue {
	return accountQueue{w.queue(), w.request.Account}
}

// waitClass groups waiting requests with the same placement conditions: if one is
// blocked, so are the others.
type waitClass struct {
	kind       api.EndpointKind
	model      api.ModelRef
	account    api.AccountID
	queue      int
	regionOnly bool
}

// waitClasses assigns integer identifiers to wait classes, so that a pass over a
// long queue only compares integers. Identifier 0 is for requests without a class.
type waitClasses struct {
	ids map[waitClass]int
	// failedInPass holds, by class identifier, the last pass in which a request of
	// the class was not granted.
	failedInPass []uint64
	pass         uint64
}

func newWaitClasses() waitClasses {
	return waitClasses{ids: make(map[waitClass]int), failedInPass: make([]uint64, 1)}
}

func (c *waitClasses) id(class waitClass) int {
	id, ok := c.ids[class]
	if !ok {
		id = len(c.failedInPass)
		c.ids[class] = id
		c.failedInPass = append(c.failedInPass, 0)
	}
	return id
}

// classify returns the identifier of the request's wait class.
func (c *Core) classify(w *waitingRequest) int {
	request := &w.request
	if len(request.Exclude) > 0 || request.Isolation != api.IsolationNone {
		return 0
	}
	class := waitClass{kind: request.Kind, model: request.Model, queue: w.queue(), regionOnly: request.SameRegionOnly}
	if c.candidatesFor(request).accountRestricted {
		class.account = request.Account
	}
	return c.waitClasses.id(class)
}

// reclassify assigns new class identifiers after a change of the configuration.
func (c *Core) reclassify() {
	c.waitClasses = newWaitClasses()
	for _, w := range c.waiting {
		w.classID = c.classify(w)
	}
}

func (c *Core) enqueue(now time.Duration, w *waitingRequest) {
	queue := w.queue()
	limit := maxWaiting[w.request.Priority]
	if w.request.Recovery {
		limit = maxWaitingContinuations
	}
	if len(c.queues[queue]) >= limit {
		c.compactQueue(queue)
	}
	if len(c.queues[queue]) >= limit {
		c.clearReservation(w)
		c.refuse(w.id, reason.New(reason.Overloaded, "%d requests of the priority wait already", limit).WithRetryAfter(time.Second))
		return
	}
	if c.waitingPerAccount[w.accountQueue()] >= limit/accountQueueDivisor {
		c.clearReservation(w)
		c.refuse(w.id, reason.New(reason.Overloaded, "the account has %d requests waiting already", limit/accountQueueDivisor).WithRetryAfter(time.Second))
		return
	}
	if len(c.waiting) == 0 {
		c.waitClasses = newWaitClasses()
	}
	w.classID = c.classify(w)
	c.waitingPerAccount[w.accountQueue()]++
	c.queues[queue] = append(c.queues[queue], w)
	c.waiting[w.id] = w
}

// removeWaiting removes a request from the waiting ones. Its queue is compacted
// later.
func (c *Core) removeWaiting(w *waitingRequest) {
	w.removed = true
	c.waitingPerAccount[w.accountQueue()]--
	if c.waitingPerAccount[w.accountQueue()] == 0 {
		delete(c.waitingPerAccount, w.accountQueue())
	}
	c.clearReservation(w)
	delete(c.waiting, w.id)
}

func (c *Core) compactQueue(queue int) {
	list := c.queues[queue]
	kept := list[:0]
	for _, w := range list {
		if !w.removed {
			kept = append(kept, w)
		}
	}
	clear(list[len(kept):])
	c.queues[queue] = kept
}

// placeForEndpoint tries to place the waiting requests that may use the endpoint,
// after one of its slots became free.
func (c *Core) placeForEndpoint(now time.Duration, e *endpoint) {
	if len(c.waiting) == 0 || c.placeWaitingDue {
		return
	}
	for queue := range c.queues {
		c.placeQueue(now, queue, func(w *waitingRequest) bool { return c.canUse(now, e, w) })
	}
}

// canUse reports whether a waiting request may be granted because the endpoint
// has a free slot.
func (c *Core) canUse(now time.Duration, e *endpoint, w *waitingRequest) bool {
	if !e.dispatchable || e.config.Kind != w.request.Kind || !isEligible(e, &w.request) {
		return false
	}
	if w.request.Isolation == api.IsolationExclusive {
		// chooseIsolated decides whether the request can be granted.
		return true
	}
	if w.request.Kind == api.KindEngine && !e.config.Serves(w.request.Model) {
		return false
	}
	return c.blockReason(now, e, w) == ""
}

// placeAllWaiting tries to place all waiting requests, highest priority first.
func (c *Core) placeAllWaiting(now time.Duration) {
	c.placeWaitingDue = false
	c.lastPlaceWaitingAt = now
	if len(c.waiting) == 0 {
		return
	}
	for queue := range c.queues {
		c.placeQueue(now, queue, func(*waitingRequest) bool { return true })
	}
}

// placeQueue tries to place the requests of one queue that pass the filter, in order
// of arrival. After a request is not granted, the others of its class are skipped.
func (c *Core) placeQueue(now time.Duration, queue int, filter func(*waitingRequest) bool) {
	c.waitClasses.pass++
	granted := false
	for _, w := range c.queues[queue] {
		if w.removed || (w.classID != 0 && c.waitClasses.failedInPass[w.classID] == c.waitClasses.pass) {
			continue
		}
		if c.mustExpire(now, w) || !filter(w) {
			continue
		}
		if c.tryGrant(now, w) {
			c.removeWaiting(w)
			granted = true
			continue
		}
		c.waitClasses.failedInPass[w.classID] = c.waitClasses.pass
	}
	if granted {
		c.compactQueue(queue)
	}
}

// mustExpire reports whether a waiting request has to be refused: its deadline has
// passed, its response cannot be completed before the deadline, or it has waited
// for maxWait.
func (c *Core) mustExpire(now time.Duration, w *waitingRequest) bool {
	if c.options.mutations.neverExpire {
		return false
	}
	pastDeadline := w.deadline != 0 && now >= w.deadline
	return pastDeadline || c.cannotFinishInTime(now, w) || now-w.arrivedAt >= maxWait[w.request.Priority]
}

// expireWaiting refuses the waiting requests that must expire. None of them was
// sent to an endpoint.
func (c *Core) expireWaiting(now time.Duration) {
	for queue, list := range c.queues {
		expired := false
		for _, w := range list {
			if w.removed || !c.mustExpire(now, w) {
				continue
			}
			c.removeWaiting(w)
			c.refuse(w.id, c.expiryRefusal(now, w))
			expired = true
		}
		if expired {
			c.compactQueue(queue)
		}
	}
}

func (c *Core) expiryRefusal(now time.Duration, w *waitingRequest) *reason.Error {
	if w.deadline != 0 && now >= w.deadline {
		return reason.New(reason.DeadlineExceeded, "no endpoint before the deadline (last obstacle: %s)", w.blockReason)
	}
	if c.cannotFinishInTime(now, w) {
		return reason.New(reason.DeadlineExceeded, "the answer would not be whole before the deadline (last obstacle: %s)", w.blockReason).
			WithRetryAfter(time.Second)
	}
	return reason.New(w.blockReason, "no endpoint within %s", maxWait[w.request.Priority]).WithRetryAfter(time.Second)
}
