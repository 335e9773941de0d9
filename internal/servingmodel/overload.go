package servingmodel

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/limits"
	"github.com/hibiscusstair/hibiscusstair/placement"
)

// OverloadOptions configures one run of the overload simulation: callers with a timeout
// send requests at a multiple of the engines' capacity, and resend failed ones.
type OverloadOptions struct {
	// LoadFactor is the offered load relative to the capacity.
	LoadFactor float64
	// Protected enables deadlines, shedding and the retry budget.
	Protected bool
	Seed      uint64
	Engines   int
	Slots     int
	// MeanServiceTime is the mean time that a generation holds a slot.
	MeanServiceTime time.Duration
	// CallerTimeout is how long a caller waits. A response is useful if its attempt
	// starts within this time. With Protected it is also the deadline for admission
	// and placement, which refuse requests that cannot be completed before it.
	CallerTimeout time.Duration
	// FailureShare is the share of the attempts that fail halfway and are retried
	// by the instance.
	FailureShare float64
	// MaxResends is how many times a caller resends a failed request.
	MaxResends int
	Duration   time.Duration
}

// DefaultOverloadOptions returns the options of the benchmarks.
func DefaultOverloadOptions(factor float64, protected bool, seed uint64) OverloadOptions {
	return OverloadOptions{
		LoadFactor: factor, Protected: protected, Seed: seed,
		Engines: 6, Slots: 8, MeanServiceTime: 2 * time.Second, CallerTimeout: 4 * time.Second,
		FailureShare: 0.02, MaxResends: 3, Duration: 5 * time.Minute,
	}
}

// OverloadResult is the result of one run.
type OverloadResult struct {
	// GoodputShare is the slot time of completed attempts that started within the
	// caller's timeout, relative to all slot time.
	GoodputShare float64
	// WastedShare is the slot time of all other attempts, relative to all slot
	// time.
	WastedShare float64
	// OfferedRequests is the number of requests without resends, SentRequests the
	// number with resends, Attempts the number of attempts on engines, and
	// CompletedInTime the number of attempts that count for GoodputShare.
	OfferedRequests int
	SentRequests    int
	Attempts        int
	CompletedInTime int
	// WaitP95 and WaitP99 are percentiles of the time that attempts waited for
	// their start.
	WaitP95 time.Duration
	WaitP99 time.Duration
}

// callerRequest is one request of a caller, with the state of its resends and
// retries.
type callerRequest struct {
	serviceTime      time.Duration
	deadline         time.Duration
	remainingResends int
	retries          int
	admissionID      uint64
}

type overloadSimulation struct {
	options        OverloadOptions
	scheduler      *scheduler
	random         *rand.Rand
	placement      *placement.Core
	limits         *limits.Core
	requests       map[uint64]*callerRequest
	waitingSince   map[uint64]time.Duration
	nextID         uint64
	result         OverloadResult
	usefulSlotTime time.Duration
	wastedSlotTime time.Duration
	waitTimes      []time.Duration
}

const (
	// timePerToken is the time in which an engine generates one token.
	timePerToken = 65 * time.Millisecond
	// limitsInterval is the time between two updates of the limits core.
	limitsInterval = 50 * time.Millisecond
	// maxRetries limits the retries of a request. It is the only limit on an
	// unprotected instance.
	maxRetries = 5
)

// SimulateOverload runs the overload simulation once.
func SimulateOverload(o OverloadOptions) OverloadResult {
	r := &overloadSimulation{
		options:   o,
		scheduler: newScheduler(),
		random:    rand.New(rand.NewPCG(o.Seed, overloadStream)),
		placement: placement.NewCore(placement.CoreOptions{Instance: "i1", Half: simulatedHalf, Place: localPlace, Seed: o.Seed}),
		limits: limits.NewCore(limits.CoreOptions{
			Instance: "i1", NoShedding: !o.Protected, NoRetryBudget: !o.Protected,
		}),
		requests:     make(map[uint64]*callerRequest),
		waitingSince: make(map[uint64]time.Duration),
	}
	r.applyConfig()
	r.scheduleArrival()
	r.scheduler.every(tickInterval, func() { r.handlePlacementEvent(placement.Tick{}) })
	r.scheduler.every(limitsInterval, r.updateLimits)
	r.scheduler.runUntil(simulationStart + o.Duration)
	return r.summarize()
}

func (r *overloadSimulation) applyConfig() {
	var engines []api.Endpoint
	for i := range r.options.Engines {
		engines = append(engines, newEngine(i, r.options.Slots, localPlace))
	}
	config := newConfig(engines, api.Account{ID: "a"})
	r.handlePlacementEvent(placement.ConfigChanged{Config: config})
	r.limits.Step(r.scheduler.now, limits.ConfigChanged{Config: config})
}

func (r *overloadSimulation) updateLimits() {
	r.limits.Step(r.scheduler.now, limits.QueueDelayMeasured{
		Interactive: r.placement.QueueDelay(r.scheduler.now, api.PriorityInteractive),
		Draft:       r.placement.QueueDelay(r.scheduler.now, api.PriorityDraft),
	})
	r.limits.Step(r.scheduler.now, limits.Tick{})
}

// scheduleArrival schedules the arrival of the next caller.
func (r *overloadSimulation) scheduleArrival() {
	capacity := float64(r.options.Engines*r.options.Slots) / r.options.MeanServiceTime.Seconds()
	gapSeconds := r.random.ExpFloat64() / (capacity * r.options.LoadFactor)
	r.scheduler.after(time.Duration(gapSeconds*float64(time.Second)), func() {
		r.result.OfferedRequests++
		service := time.Duration(r.random.ExpFloat64() * float64(r.options.MeanServiceTime))
		r.sendRequest(&callerRequest{serviceTime: service, remainingResends: r.options.MaxResends})
		r.scheduleArrival()
	})
}

// sendRequest sends the request of a caller through admission control to
// placement.
func (r *overloadSimulation) sendRequest(c *callerRequest) {
	r.nextID++
	id := r.nextID
	r.result.SentRequests++
	c.deadline = r.scheduler.now + r.options.CallerTimeout
	c.retries = 0
	request := api.AdmissionRequest{Account: "a", Priority: api.PriorityInteractive, Tokens: tokensFor(c.serviceTime)}
	if r.options.Protected {
		request.Deadline = c.deadline
	}
	for _, action := range r.limits.Step(r.scheduler.now, limits.AdmissionRequested{ID: id, Request: request}) {
		if _, refused := action.(limits.RequestRefused); refused {
			r.scheduleResend(c)
			return
		}
	}
	c.admissionID = id
	r.requestPlacement(c)
}

func tokensFor(service time.Duration) int { return 1 + int(service/timePerToken) }

// scheduleResend schedules a resend of the request after a pause of 1 s to 2 s, if
// the caller has resends left.
func (r *overloadSimulation) scheduleResend(c *callerRequest) {
	if c.remainingResends == 0 {
		return
	}
	c.remainingResends--
	pause := time.Second + time.Duration(r.random.Float64()*float64(time.Second))
	r.scheduler.after(pause, func() { r.sendRequest(c) })
}

// requestPlacement requests an endpoint for an admitted request.
func (r *overloadSimulation) requestPlacement(c *callerRequest) {
	r.nextID++
	id := r.nextID
	r.requests[id] = c
	r.waitingSince[id] = r.scheduler.now
	e := placement.PlacementRequested{ID: id, Request: api.PlacementRequest{
		Kind: api.KindEngine, Model: modelRef, Account: accountFor(id), Priority: api.PriorityInteractive, Tokens: tokensFor(c.serviceTime),
	}}
	if r.options.Protected {
		e.Deadline = c.deadline
	} else {
		r.scheduleUnnoticedTimeout(id, c)
	}
	r.handlePlacementEvent(e)
}

// scheduleUnnoticedTimeout schedules the timeout of a caller that the instance
// doesn't notice: the request stays in the queue and is run although nobody waits
// for its response.
func (r *overloadSimulation) scheduleUnnoticedTimeout(id uint64, c *callerRequest) {
	resend := *c
	r.scheduler.after(c.deadline-r.scheduler.now, func() {
		if _, waits := r.waitingSince[id]; waits {
			r.scheduleResend(&resend)
		}
	})
}

// accountFor distributes the requests over ten client accounts.
func accountFor(id uint64) api.AccountID { return api.AccountID(rune('a' + id%10)) }

func (r *overloadSimulation) handlePlacementEvent(event placement.Event) {
	actions := slices.Clone(r.placement.Step(r.scheduler.now, event))
	for _, action := range actions {
		switch a := action.(type) {
		case placement.PlacementGranted:
			r.startAttempt(a.Grant.ID)
		case placement.PlacementRefused:
			c := r.requests[a.ID]
			r.removeWaiting(a.ID)
			r.limits.Step(r.scheduler.now, limits.AdmissionReleased{ID: c.admissionID})
			r.scheduleResend(c)
		}
	}
}

func (r *overloadSimulation) removeWaiting(id uint64) {
	delete(r.requests, id)
	delete(r.waitingSince, id)
}

// startAttempt occupies a slot for the service time, or for half of it if the
// attempt fails.
func (r *overloadSimulation) startAttempt(id uint64) {
	c := r.requests[id]
	r.waitTimes = append(r.waitTimes, r.scheduler.now-r.waitingSince[id])
	late := r.scheduler.now > c.deadline
	r.removeWaiting(id)
	r.result.Attempts++
	fails := r.random.Float64() < r.options.FailureShare
	slotTime := c.serviceTime
	if fails {
		slotTime /= 2
	}
	r.scheduler.after(slotTime, func() {
		if fails || late {
			r.wastedSlotTime += slotTime
		} else {
			r.usefulSlotTime += slotTime
			r.result.CompletedInTime++
		}
		// A failed attempt is released like a completed one, so that it doesn't change
		// the health of the engine.
		r.handlePlacementEvent(placement.GrantReleased{ID: id, Outcome: api.OutcomeCompleted})
		if fails && r.retryAllowed(c) {
			c.retries++
			r.requestPlacement(c)
			return
		}
		r.limits.Step(r.scheduler.now, limits.AdmissionReleased{ID: c.admissionID})
	})
}

func (r *overloadSimulation) retryAllowed(c *callerRequest) bool {
	if c.retries >= maxRetries {
		return false
	}
	actions := r.limits.Step(r.scheduler.now, limits.RetryRequested{Priority: api.PriorityInteractive})
	return actions[0].(limits.RetryDecided).Allowed
}

func (r *overloadSimulation) summarize() OverloadResult {
	totalSlotTime := r.options.Duration.Seconds() * float64(r.options.Engines*r.options.Slots)
	r.result.GoodputShare = r.usefulSlotTime.Seconds() / totalSlotTime
	r.result.WastedShare = r.wastedSlotTime.Seconds() / totalSlotTime
	if len(r.waitTimes) > 0 {
		slices.Sort(r.waitTimes)
		r.result.WaitP95 = r.waitTimes[len(r.waitTimes)*95/100]
		r.result.WaitP99 = r.waitTimes[len(r.waitTimes)*99/100]
	}
	return r.result
}
