package placement

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// grant is a place that is in use.
type grant struct {
	endpoint *endpoint
	tokens   int
	bytes    int
	marked   bool
	model    api.ModelRef
	// since, asked and recovery describe the work for the estimate of answers.
	since    time.Duration
	asked    int
	recovery bool
}

// Core decides. It has no I/O, clock, goroutine or global randomness.
type Core struct {
	options   CoreOptions
	config    *api.Config
	endpoints map[api.EndpointID]*endpoint
	ordered   []*endpoint
	byModel   map[api.ModelRef]*candidates
	services  candidates
	grants    map[uint64]grant
	actions   []Action
	random    *rand.Rand
	self      uint64

	waiting map[uint64]*waiter
	queues  [queueCount][]*waiter
	// recheck says that something other than a release may have made room, so
	// that all waiting requests are tried at the end of the step.
	recheck bool
	drained time.Duration
	// failed says that a first probe may be due before the next tick.
	failed bool

	// queued counts the waiting requests of each account and queue.
	queued   map[queueShare]int
	arrivals arrivals
	classes  classes

	estimates  map[api.ModelRef]*estimate
	link       bucket
	hints      hints
	aloneGrant uint64
	meanTokens float64
	instances  int

	usable     []*endpoint
	pass       uint64
	spread     bool // continuations keep to each endpoint's share
	sampleAt   time.Duration
	sampleNext int
	probes     uint64
	polls      pollBudget
}

// NewCore returns a core without a configuration.
func NewCore(o CoreOptions) *Core {
	self := xxhash.Sum64String(string(o.Instance))
	return &Core{
		options:   o,
		endpoints: make(map[api.EndpointID]*endpoint),
		byModel:   make(map[api.ModelRef]*candidates),
		grants:    make(map[uint64]grant),
		waiting:   make(map[uint64]*waiter),
		queued:    make(map[queueShare]int),
		arrivals:  newArrivals(),
		classes:   newClasses(),
		estimates: make(map[api.ModelRef]*estimate),
		random:    rand.New(rand.NewPCG(o.Seed, self)),
		self:      self,
		link:      newBucket(o.LinkBytesPerSecond),
		hints:     newHints(),
		instances: 1,
	}
}

// Step handles one event. The returned slice is valid until the next Step.
func (c *Core) Step(now time.Duration, event Event) []Action {
	c.actions = c.actions[:0]
	switch e := event.(type) {
	case Tick:
		c.tick(now)
	case ConfigChanged:
		c.configure(e.Config)
		c.reclassify()
		c.recheck = true
	case PlacementRequested:
		c.place(now, e)
	case PlacementCancelled:
		c.cancel(now, e.ID)
	case TokensDelivered:
		c.progress(e)
	case GrantReleased:
		c.release(now, e)
	case EndpointSilent:
		c.silent(now, e.Endpoint)
	case ProbeEnded:
		c.probeEnded(now, e)
	default:
		c.report(now, event)
	}
	for c.recheck {
		// A pass can end a hold and so make room for requests tried earlier.
		c.drain(now)
	}
	if c.failed {
		c.probeDue(now)
	}
	return c.actions
}

// report handles the events about load.
func (c *Core) report(now time.Duration, event Event) {
	switch e := event.(type) {
	case LoadReported:
		c.loadReported(now, e)
	case PollFailed:
		c.silent(now, e.Endpoint)
	case CacheReported:
		c.cacheReported(e)
	case PeerLoadsReceived:
		c.mergeLoads(now, e.Loads)
	case FleetResized:
		c.instances = max(1, e.Instances)
		c.link.setRate(now, e.LinkBytesPerSecond)
	}
}

func (c *Core) tick(now time.Duration) {
	c.sample(now)
	c.arrivals.decay(now)
	c.expireReports(now)
	c.probeDue(now)
	c.pollDue(now)
	c.expire(now)
	c.drain(now)
}

func (c *Core) place(now time.Duration, e PlacementRequested) {
	w := &waiter{id: e.ID, request: e.Request, deadline: e.Deadline, since: now}
	if err := c.hopeless(now, w); err != nil {
		c.refuse(e.ID, err)
		return
	}
	if now-c.drained >= drainInterval {
		// Requests that wait go first.
		c.drain(now)
	}
	c.arrivals.add(w.request.Model)
	c.learn(&w.request)
	if !c.try(now, w) {
		c.enqueue(now, w)
	}
}

// hopeless returns the refusal of a request that waiting cannot help.
func (c *Core) hopeless(now time.Duration, w *waiter) *reason.Error {
	switch {
	case c.config == nil:
		return reason.New(reason.NotReady, "no configuration yet")
	case w.request.Isolation >= api.IsolationRefused:
		return reason.New(reason.CrashSuspect, "the content was running on several engines when they died")
	case w.deadline != 0 && now >= w.deadline:
		return reason.New(reason.DeadlineExceeded, "the deadline passed before an endpoint was chosen")
	case w.request.Priority < api.PriorityLookup || w.request.Priority > api.PriorityDraft:
		return reason.New(reason.BadRequest, "unknown priority %d", w.request.Priority)
	}
	if c.anyEligible(&w.request) {
		return nil
	}
	return c.noEndpoint(&w.request)
}

// noEndpoint tells an unknown model from one whose endpoints are not for the
// request or are leaving.
func (c *Core) noEndpoint(request *api.PlacementRequest) *reason.Error {
	known := request.Kind == api.KindService
	for _, e := range c.config.Endpoints {
		if request.Kind == api.KindService || !e.Serves(request.Model) {
			continue
		}
		known = true
		if e.Half == c.options.Half && !c.config.MayDispatch(e.ID, c.options.Half) {
			return reason.New(reason.EndpointLeaving, "all endpoints for the model take no new work")
		}
	}
	if !known {
		return reason.New(reason.ModelUnknown, "no configured endpoint serves the model")
	}
	return reason.New(reason.NoEndpoint, "no endpoint is available for the model and account")
}

// try grants a place if an endpoint can take the work now.
func (c *Core) try(now time.Duration, w *waiter) bool {
	chosen := c.choose(now, w)
	if chosen == nil {
		return false
	}
	if !c.options.faults.ignorePending && !mayUse(c.config, chosen.id, c.options.Half, &w.request) {
		w.blocked = reason.EndpointLeaving
		return false
	}
	c.grant(now, w, chosen)
	return true
}

func (c *Core) grant(now time.Duration, w *waiter, chosen *endpoint) {
	request := &w.request
	g := grant{
		endpoint: chosen,
		tokens:   request.Tokens,
		marked:   request.Isolation != api.IsolationNone,
		model:    request.Model,
		since:    now,
		asked:    request.Tokens,
		recovery: request.Recovery,
	}
	chosen.running++
	chosen.outstanding += request.Tokens
	if g.marked {
		chosen.marked++
	}
	if request.Isolation == api.IsolationAlone {
		chosen.exclusive = w.id
		c.aloneGrant = w.id
	}
	if chosen.heldFor == w.id {
		chosen.heldFor = 0
	}
	if chosen.remote {
		g.bytes = request.Bytes
		c.charge(now, g.bytes)
	}
	if request.Recovery {
		chosen.countRecovery(now)
	}
	c.hints.record(request.PrefixBlocks, chosen)
	c.grants[w.id] = g
	c.actions = append(c.actions, PlacementGranted{Grant: api.Grant{
		ID:          w.id,
		Endpoint:    chosen.configured,
		CrossRegion: chosen.remote,
	}})
}

func (c *Core) refuse(id uint64, err *reason.Error) {
	c.actions = append(c.actions, PlacementRefused{ID: id, Err: err})
}

func (c *Core) progress(e TokensDelivered) {
	g, ok := c.grants[e.ID]
	if !ok {
		return
	}
	done := max(0, min(e.Tokens, g.tokens))
	g.tokens -= done
	g.endpoint.outstanding -= done
	c.grants[e.ID] = g
}

func (c *Core) cancel(now time.Duration, id uint64) {
	if w, ok := c.waiting[id]; ok {
		c.leave(w)
		c.recheck = true
		return
	}
	g, ok := c.grants[id]
	if !ok {
		return
	}
	c.link.refund(g.bytes)
	c.end(id, g)
	c.wake(now, g.endpoint)
}

func (c *Core) release(now time.Duration, e GrantReleased) {
	g, ok := c.grants[e.ID]
	if !ok {
		return
	}
	c.end(e.ID, g)
	c.observe(now, g, e.Outcome)
	c.observeAnswer(now, g, e.Outcome)
	c.wake(now, g.endpoint)
}

func (c *Core) end(id uint64, g grant) {
	delete(c.grants, id)
	e := g.endpoint
	e.running--
	e.outstanding -= g.tokens
	if g.marked {
		e.marked--
	}
	if e.exclusive == id {
		e.exclusive = 0
	}
	if c.aloneGrant == id {
		c.aloneGrant = 0
		c.recheck = true
	}
	if e.running == 0 && !configured(c.config, e.id) {
		c.hints.drop(e)
		delete(c.endpoints, e.id)
		c.order()
	}
}
