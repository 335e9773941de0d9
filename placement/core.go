package placement

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// grant is an active reservation on an endpoint.
type grant struct {
	endpoint        *endpoint
	remainingTokens int
	linkBytes       int
	marked          bool
	model           api.ModelRef
	// grantedAt, requestedTokens and continuation are input of the service time
	// estimate.
	grantedAt       time.Duration
	requestedTokens int
	continuation    bool
}

// Core makes the placement decisions. It is a deterministic state machine
// without I/O, clock, goroutines or global randomness.
type Core struct {
	options         CoreOptions
	config          *api.Config
	endpoints       map[api.EndpointID]*endpoint
	sortedEndpoints []*endpoint
	enginesByModel  map[api.ModelRef]*candidates
	services        candidates
	grants          map[uint64]grant
	actions         []Action
	random          *rand.Rand
	instanceHash    uint64

	waiting map[uint64]*waitingRequest
	queues  [queueCount][]*waitingRequest
	// placeWaitingDue is set when more than one endpoint may have gained capacity.
	// All waiting requests are then tried again at the end of the step.
	placeWaitingDue    bool
	lastPlaceWaitingAt time.Duration
	// probeMayBeDue is set when a probe may be due before the next tick.
	probeMayBeDue bool

	// waitingPerAccount counts the waiting requests of each client account and
	// queue.
	waitingPerAccount map[accountQueue]int
	arrivals          arrivals
	waitClasses       waitClasses

	serviceTimes map[api.ModelRef]*serviceTimeEstimate
	linkBudget   linkBudget
	hints        prefixHints
	// isolatedGrant is the grant of this instance for isolated content, on any
	// endpoint; 0 is none.
	isolatedGrant     uint64
	meanRequestTokens float64
	instanceCount     int

	// usable holds the result of the last collectUsable, and selectionID identifies
	// that call. enforceContinuationShare limits continuations to each endpoint's
	// share.
	usable                   []*endpoint
	selectionID              uint64
	enforceContinuationShare bool
	nextSampleAt             time.Duration
	sampleIndex              int
	lastProbeID              uint64
	pollBudget               pollBudget
}

// NewCore returns a core without a configuration.
func NewCore(o CoreOptions) *Core {
	instanceHash := xxhash.Sum64String(string(o.Instance))
	return &Core{
		options:           o,
		endpoints:         make(map[api.EndpointID]*endpoint),
		enginesByModel:    make(map[api.ModelRef]*candidates),
		grants:            make(map[uint64]grant),
		waiting:           make(map[uint64]*waitingRequest),
		waitingPerAccount: make(map[accountQueue]int),
		arrivals:          newArrivals(),
		waitClasses:       newWaitClasses(),
		serviceTimes:      make(map[api.ModelRef]*serviceTimeEstimate),
		random:            rand.New(rand.NewPCG(o.Seed, instanceHash)),
		instanceHash:      instanceHash,
		linkBudget:        newLinkBudget(o.LinkBytesPerSecond),
		hints:             newPrefixHints(),
		instanceCount:     1,
	}
}

// Step handles one event and returns the resulting actions. The returned slice
// is valid until the next call of Step.
func (c *Core) Step(now time.Duration, event Event) []Action {
	c.actions = c.actions[:0]
	switch e := event.(type) {
	case Tick:
		c.tick(now)
	case ConfigChanged:
		c.applyConfig(e.Config)
		c.reclassify()
		c.placeWaitingDue = true
	case PlacementRequested:
		c.handlePlacementRequest(now, e)
	case PlacementCancelled:
		c.cancelPlacement(now, e.ID)
	case TokensDelivered:
		c.recordProgress(e)
	case GrantReleased:
		c.releaseGrant(now, e)
	case EndpointSilent:
		c.markSuspect(now, e.Endpoint)
	case ProbeEnded:
		c.handleProbeEnded(now, e)
	default:
		c.handleReport(now, event)
	}
	for c.placeWaitingDue {
		// A pass can clear a reservation and so free an endpoint for requests that
		// were tried earlier in the pass.
		c.placeAllWaiting(now)
	}
	if c.probeMayBeDue {
		c.startDueProbes(now)
	}
	return c.actions
}

// handleReport handles the events about load, caches and the fleet.
func (c *Core) handleReport(now time.Duration, event Event) {
	switch e := event.(type) {
	case LoadReported:
		c.handleLoadReport(now, e)
	case PollFailed:
		c.markSuspect(now, e.Endpoint)
	case CacheEventsReported:
		c.handleCacheEvents(e)
	case PeerLoadsReceived:
		c.mergePeerLoads(now, e.Loads)
	case FleetResized:
		c.instanceCount = max(1, e.Instances)
		c.linkBudget.setRate(now, e.LinkBytesPerSecond)
	}
}

func (c *Core) tick(now time.Duration) {
	c.sampleUsage(now)
	c.arrivals.decay(now)
	c.expireLoadReports(now)
	c.startDueProbes(now)
	c.startDuePolls(now)
	c.expireWaiting(now)
	c.placeAllWaiting(now)
}

func (c *Core) handlePlacementRequest(now time.Duration, e PlacementRequested) {
	w := &waitingRequest{id: e.ID, request: e.Request, deadline: e.Deadline, arrivedAt: now}
	if err := c.permanentRefusal(now, w); err != nil {
		c.refuse(e.ID, err)
		return
	}
	if now-c.lastPlaceWaitingAt >= minPlaceWaitingInterval {
		// Waiting requests have precedence over the new one.
		c.placeAllWaiting(now)
	}
	c.arrivals.add(w.request.Model)
	c.recordRequest(&w.request)
	if !c.tryGrant(now, w) {
		c.enqueue(now, w)
	}
}

// permanentRefusal returns an error if the request cannot be granted even if it
// waits, and nil otherwise.
func (c *Core) permanentRefusal(now time.Duration, w *waitingRequest) *reason.Error {
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
	if c.hasEligible(&w.request) {
		return nil
	}
	return c.noEndpointRefusal(&w.request)
}

// noEndpointRefusal distinguishes an unknown model from a model whose endpoints
// are leaving or are not available to the request.
func (c *Core) noEndpointRefusal(request *api.PlacementRequest) *reason.Error {
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

// tryGrant issues a grant and returns true if an endpoint can take the request
// now.
func (c *Core) tryGrant(now time.Duration, w *waitingRequest) bool {
	chosen := c.chooseEndpoint(now, w)
	if chosen == nil {
		return false
	}
	if !c.options.mutations.ignorePendingTickets && !isPermitted(c.config, chosen.id, c.options.Half, &w.request) {
		w.blockReason = reason.EndpointLeaving
		return false
	}
	c.issueGrant(now, w, chosen)
	return true
}

func (c *Core) issueGrant(now time.Duration, w *waitingRequest, chosen *endpoint) {
	request := &w.request
	g := grant{
		endpoint:        chosen,
		remainingTokens: request.Tokens,
		marked:          request.Isolation != api.IsolationNone,
		model:           request.Model,
		grantedAt:       now,
		requestedTokens: request.Tokens,
		continuation:    request.Recovery,
	}
	chosen.activeGrants++
	chosen.outstandingTokens += request.Tokens
	if g.marked {
		chosen.markedGrants++
	}
	if request.Isolation == api.IsolationExclusive {
		chosen.isolatedGrant = w.id
		c.isolatedGrant = w.id
	}
	if chosen.reservedFor == w.id {
		chosen.reservedFor = 0
	}
	if chosen.crossRegion {
		g.linkBytes = request.LinkBytes
		c.chargeLink(now, g.linkBytes)
	}
	if request.Recovery {
		chosen.countContinuation(now)
	}
	c.hints.recordHolder(request.PrefixBlocks, chosen)
	c.grants[w.id] = g
	c.actions = append(c.actions, PlacementGranted{Grant: api.Grant{
		ID:          w.id,
		Endpoint:    chosen.config,
		CrossRegion: chosen.crossRegion,
	}})
}

func (c *Core) refuse(id uint64, err *reason.Error) {
	c.actions = append(c.actions, PlacementRefused{ID: id, Err: err})
}

func (c *Core) recordProgress(e TokensDelivered) {
	g, ok := c.grants[e.ID]
	if !ok {
		return
	}
	done := max(0, min(e.Tokens, g.remainingTokens))
	g.remainingTokens -= done
	g.endpoint.outstandingTokens -= done
	c.grants[e.ID] = g
}

func (c *Core) cancelPlacement(now time.Duration, id uint64) {
	if w, ok := c.waiting[id]; ok {
		c.removeWaiting(w)
		c.placeWaitingDue = true
		return
	}
	g, ok := c.grants[id]
	if !ok {
		return
	}
	c.linkBudget.refund(g.linkBytes)
	c.removeGrant(id, g)
	c.placeForEndpoint(now, g.endpoint)
}

func (c *Core) releaseGrant(now time.Duration, e GrantReleased) {
	g, ok := c.grants[e.ID]
	if !ok {
		return
	}
	c.removeGrant(e.ID, g)
	c.recordOutcome(now, g, e.Outcome)
	c.recordServiceTime(now, g, e.Outcome)
	c.placeForEndpoint(now, g.endpoint)
}

func (c *Core) removeGrant(id uint64, g grant) {
	delete(c.grants, id)
	e := g.endpoint
	e.activeGrants--
	e.outstandingTokens -= g.remainingTokens
	if g.marked {
		e.markedGrants--
	}
	if e.isolatedGrant == id {
		e.isolatedGrant = 0
	}
	if c.isolatedGrant == id {
		c.isolatedGrant = 0
		c.placeWaitingDue = true
	}
	if e.activeGrants == 0 && !isConfigured(c.config, e.id) {
		c.hints.invalidateHolder(e)
		delete(c.endpoints, e.id)
		c.rebuildSortedEndpoints()
	}
}
