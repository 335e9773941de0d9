// Package admission holds requests for model engines back while all engines have as many
// generations as they serve well, and decides which request is placed next. Core has no
// I/O and no clock; Runner connects it to package forward.
package admission

import (
	"math"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// maxQueued is the number of requests that wait at most. Each holds a body and a
	// connection.
	maxQueued = 256
	// defaultTarget applies to a route without a target latency.
	defaultTarget = 5 * time.Second
	// quantumTokens is what an account may place for each turn of the round robin; about
	// one generation.
	quantumTokens = 8192
	// maxTimeoutShare is the share of the caller's timeout within which the whole
	// response has to be expected.
	maxTimeoutShare = 0.8
	// maxRefusalShare bounds the Retry-After of a refusal as a share of the time that the
	// caller has left, so that it can come back.
	maxRefusalShare = 1.0 / 3
	// minRetryAfter is the least Retry-After of a refusal.
	minRetryAfter = 200 * time.Millisecond
	// stoppedFactor times the average time between placements without one means that the
	// average is out of date.
	stoppedFactor = 4
	// averageWeight is the weight of one observation in the moving averages.
	averageWeight = 0.2
	// tokensWeight is the weight of one request in the average size, which varies little
	// over time and much between requests.
	tokensWeight = 0.05
)

// Request is a request that waits for an engine.
type Request struct {
	ID      string
	Account api.AccountID
	// Content identifies the request over the returns of its caller; 0 is unknown.
	Content uint64
	Rank    int // 0 is the most urgent
	// Received is when this request arrived; Arrived is when its caller first sent it.
	Received, Arrived time.Duration
	// Target is the time from Arrived within which the first event is on time.
	Target time.Duration
	// Deadline is when the response is useless; 0 is never.
	Deadline time.Duration
	Tokens   int // engine memory that the generation needs
}

func (r Request) target() time.Duration {
	if r.Target <= 0 {
		return defaultTarget
	}
	return r.Target
}

// Core is the queue of one service. It is not safe for concurrent use.
type Core struct {
	ranks   map[int]*rankQueue
	byID    map[string]Request
	memory  returns
	firstIn time.Duration // since when the queue has not been empty

	// betweenPlacements is the moving average of the time between two placements while
	// requests wait, 0 if there was none; lastPlaced is the time of the last one.
	betweenPlacements time.Duration
	lastPlaced        time.Duration
	// firstEvent and duration are moving averages of the time from the placement to the
	// first event and to the end of the response.
	firstEvent, duration time.Duration
	// tokens is the moving average of the memory of a generation.
	tokens float64
	freed  []freedEngine // oldest first
}

// rankQueue holds the waiting requests of one rank by account. The accounts take turns.
type rankQueue struct {
	accounts []*accountQueue // in the order of their turns
}

type accountQueue struct {
	id       api.AccountID
	deficit  int // tokens that the account may place in its turn
	requests []Request
}

// NewCore returns an empty queue.
func NewCore() *Core {
	return &Core{ranks: make(map[int]*rankQueue), byID: make(map[string]Request), memory: newReturns()}
}

// Len returns the number of waiting requests.
func (c *Core) Len() int { return len(c.byID) }

// RecordArrival records the size of a request that has arrived, waiting or not.
func (c *Core) RecordArrival(r Request) {
	if c.tokens == 0 {
		c.tokens = float64(r.Tokens)
	}
	c.tokens += tokensWeight * (float64(r.Tokens) - c.tokens)
}

// FirstArrival returns when the caller of a request first sent it, if the request was
// refused before, otherwise when it was received.
func (c *Core) FirstArrival(now time.Duration, r Request) time.Duration {
	return c.memory.firstArrival(now, r)
}

// Forget drops what is remembered of a request that is served or does not wait.
func (c *Core) Forget(r Request) { c.memory.forget(r) }

// HasAhead reports whether a request waits that is placed before a new one of the rank.
func (c *Core) HasAhead(rank int) bool {
	for other := range c.ranks {
		if other <= rank {
			return true
		}
	}
	return false
}

// Enqueue adds a request, or returns its refusal if it cannot be served in time.
func (c *Core) Enqueue(now time.Duration, r Request) *reason.Error {
	wait := c.expectedWait(now, r)
	if len(c.byID) >= maxQueued {
		return c.refusal(now, r, wait, "the queue is full")
	}
	if !c.canServe(now+wait, r) {
		return c.refusal(now, r, wait, "the request would wait too long")
	}
	if len(c.byID) == 0 {
		c.firstIn = now
	}
	c.byID[r.ID] = r
	queue := c.ranks[r.Rank]
	if queue == nil {
		queue = &rankQueue{}
		c.ranks[r.Rank] = queue
	}
	account := queue.account(r.Account)
	account.requests = append(account.requests, r)
	return nil
}

func (q *rankQueue) account(id api.AccountID) *accountQueue {
	for _, a := range q.accounts {
		if a.id == id {
			return a
		}
	}
	added := &accountQueue{id: id}
	q.accounts = append(q.accounts, added)
	return added
}

// canServe reports whether a request that is placed at the given time can be complete
// within its limits.
func (c *Core) canServe(placed time.Duration, r Request) bool {
	if r.Deadline == 0 {
		return true
	}
	timeout := float64(r.Deadline - r.Received)
	return placed+c.firstEvent < r.Deadline &&
		placed+c.duration <= r.Received+time.Duration(timeout*maxTimeoutShare)
}

// expectedWait returns how long a request of the rank would wait.
func (c *Core) expectedWait(now time.Duration, r Request) time.Duration {
	ahead := 0
	for rank, queue := range c.ranks {
		if rank > r.Rank {
			continue
		}
		for _, account := range queue.accounts {
			ahead += len(account.requests)
		}
	}
	if ahead == 0 {
		return 0
	}
	interval := c.betweenPlacements
	if since := now - max(c.lastPlaced, c.firstIn); since > stoppedFactor*interval {
		interval = since // placements have stopped
	}
	return time.Duration(ahead) * interval
}

// refusal returns the refusal of a request, whose first arrival is remembered.
func (c *Core) refusal(now time.Duration, r Request, wait time.Duration, message string) *reason.Error {
	c.memory.remember(now, r)
	longest := time.Duration(float64(r.target()) * maxRefusalShare)
	if r.Deadline > 0 {
		longest = time.Duration(float64(r.Deadline-now) * maxRefusalShare)
	}
	wait = min(wait, time.Duration(float64(longest)/(1+retrySpread)))
	after := time.Duration(float64(wait) * spread(r.ID))
	return reason.New(reason.Overloaded, "%s", message).WithRetryAfter(max(minRetryAfter, after))
}

// Expire removes the requests that cannot be served in time any more and returns their
// refusals by request ID.
func (c *Core) Expire(now time.Duration) map[string]*reason.Error {
	var refusals map[string]*reason.Error
	for id, r := range c.byID {
		if c.canServe(now, r) {
			continue
		}
		if refusals == nil {
			refusals = make(map[string]*reason.Error)
		}
		refusals[id] = c.refusal(now, r, c.expectedWait(now, r), "the request has waited too long")
	}
	for id := range refusals {
		c.Remove(id)
	}
	return refusals
}

// Next returns the request to place now. It stays in the queue until Placed or Remove.
func (c *Core) Next(now time.Duration) (Request, bool) {
	if len(c.byID) == 0 {
		return Request{}, false
	}
	rank := -1
	for r := range c.ranks {
		if rank < 0 || r < rank {
			rank = r
		}
	}
	return c.ranks[rank].next(func(r Request) bool { return c.slack(now, r) >= 0 }, func(r Request) float64 {
		return float64(c.slack(now, r)) / float64(max(1, r.Tokens))
	}), true
}

// next returns the request whose account has the turn. Accounts whose requests would all
// be late wait for those with requests that can be on time.
func (q *rankQueue) next(onTime func(Request) bool, urgency func(Request) float64) Request {
	anyOnTime := false
	for _, account := range q.accounts {
		slices.SortStableFunc(account.requests, func(a, b Request) int {
			late, otherLate := !onTime(a), !onTime(b)
			switch {
			case late != otherLate && late:
				return 1
			case late != otherLate:
				return -1
			case urgency(a) < urgency(b):
				return -1
			case urgency(a) > urgency(b):
				return 1
			}
			return 0
		})
		anyOnTime = anyOnTime || onTime(account.requests[0])
	}
	mayPlace := func(a *accountQueue) bool { return !anyOnTime || onTime(a.requests[0]) }
	// Turns after which no account could place its request yet are given at once: a request
	// may declare any size.
	turns := math.MaxInt
	for _, account := range q.accounts {
		if mayPlace(account) {
			turns = min(turns, max(0, account.requests[0].Tokens-account.deficit-1)/quantumTokens)
		}
	}
	for _, account := range q.accounts {
		if mayPlace(account) {
			account.deficit += turns * quantumTokens
		}
	}
	for {
		first := q.accounts[0]
		head := first.requests[0]
		if mayPlace(first) {
			if first.deficit >= head.Tokens {
				return head
			}
			first.deficit += quantumTokens
			if first.deficit >= head.Tokens && len(q.accounts) == 1 {
				return head
			}
		}
		q.accounts = append(q.accounts[1:], first)
	}
}

// Placed removes a request that an engine has taken.
func (c *Core) Placed(now time.Duration, id string) {
	r, ok := c.byID[id]
	if !ok {
		return
	}
	c.memory.forget(r)
	since := now - max(c.lastPlaced, c.firstIn)
	c.lastPlaced = now
	c.betweenPlacements = average(c.betweenPlacements, since)
	for _, account := range c.ranks[r.Rank].accounts {
		if account.id == r.Account {
			account.deficit -= r.Tokens
		}
	}
	c.Remove(id)
}

// Remove removes a request that was not placed.
func (c *Core) Remove(id string) {
	r, ok := c.byID[id]
	if !ok {
		return
	}
	delete(c.byID, id)
	queue := c.ranks[r.Rank]
	for _, account := range queue.accounts {
		account.requests = slices.DeleteFunc(account.requests, func(other Request) bool { return other.ID == id })
	}
	queue.accounts = slices.DeleteFunc(queue.accounts, func(a *accountQueue) bool { return len(a.requests) == 0 })
	if len(queue.accounts) == 0 {
		delete(c.ranks, r.Rank)
	}
}

// RecordFirstEvent records the time from a placement to the first event.
func (c *Core) RecordFirstEvent(d time.Duration) { c.firstEvent = average(c.firstEvent, d) }

// RecordDuration records the time from a placement to the end of the response.
func (c *Core) RecordDuration(d time.Duration) { c.duration = average(c.duration, d) }

func average(old, observed time.Duration) time.Duration {
	if old == 0 {
		return observed
	}
	return old + time.Duration(averageWeight*float64(observed-old))
}
