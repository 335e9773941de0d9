package servingmodel

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/limits"
	"github.com/hibiscusstair/hibiscusstair/placement"
)

// OverloadOptions describes one run of the overload model.
type OverloadOptions struct {
	// LoadFactor is the offered load relative to the capacity.
	LoadFactor float64
	// Protected turns deadlines, shedding and the retry budget on.
	Protected bool
	Seed      uint64
	Engines   int
	Slots     int
	// MeanServiceTime is the mean time that a generation holds a slot.
	MeanServiceTime time.Duration
	// CallerTimeout is how long a caller waits for the start.
	CallerTimeout time.Duration
	// FailureShare is the part of the attempts that fail halfway and are tried
	// again by the instance.
	FailureShare float64
	// MaxResends is how often a caller sends a failed request again.
	MaxResends int
	Duration   time.Duration
}

// DefaultOverloadOptions returns the setting of the measurements.
func DefaultOverloadOptions(factor float64, protected bool, seed uint64) OverloadOptions {
	return OverloadOptions{
		LoadFactor: factor, Protected: protected, Seed: seed,
		Engines: 6, Slots: 8, MeanServiceTime: 2 * time.Second, CallerTimeout: 4 * time.Second,
		FailureShare: 0.02, MaxResends: 3, Duration: 5 * time.Minute,
	}
}

// OverloadResult is the outcome of one run.
type OverloadResult struct {
	// GoodputShare is the slot time of answers that their callers waited for,
	// relative to all slot time.
	GoodputShare float64
	// WastedShare is the slot time spent on everything else.
	WastedShare float64
	// OfferedRequests and Attempts count the callers' first requests and the attempts
	// on engines.
	OfferedRequests  int
	SentRequests     int
	Attempts         int
	AnsweredRequests int
	// WaitP95 and WaitP99 are percentiles of the waits of those that started.
	WaitP95 time.Duration
	WaitP99 time.Duration
}

// call is one request of a caller, resends included.
type call struct {
	service  time.Duration
	deadline time.Duration
	resends  int
	retries  int
	admitted uint64
}

type overloadRun struct {
	options   OverloadOptions
	time      *timeline
	random    *rand.Rand
	placement *placement.Core
	limits    *limits.Core
	calls     map[uint64]*call
	asked     map[uint64]time.Duration
	nextID    uint64
	result    OverloadResult
	good      time.Duration
	wasted    time.Duration
	waits     []time.Duration
}

// maxRetries bounds the attempts of an unprotected instance.
const maxRetries = 5

// SimulateOverload runs the model once.
func SimulateOverload(o OverloadOptions) OverloadResult {
	r := &overloadRun{
		options:   o,
		time:      newTimeline(),
		random:    rand.New(rand.NewPCG(o.Seed, 1)),
		placement: placement.NewCore(placement.CoreOptions{Instance: "i1", Half: modelHalf, Place: localPlace, Seed: o.Seed}),
		limits: limits.NewCore(limits.CoreOptions{
			Instance: "i1", NoShedding: !o.Protected, NoRetryBudget: !o.Protected,
		}),
		calls: make(map[uint64]*call),
		asked: make(map[uint64]time.Duration),
	}
	r.configure()
	r.arrive()
	r.time.every(20*time.Millisecond, func() { r.place(placement.Tick{}) })
	r.time.every(50*time.Millisecond, r.control)
	r.time.runUntil(modelStart + o.Duration)
	return r.finish()
}

func (r *overloadRun) configure() {
	var engines []api.Endpoint
	for i := range r.options.Engines {
		engines = append(engines, engine(i, r.options.Slots, localPlace))
	}
	config := configuration(engines, api.Account{ID: "a"})
	r.place(placement.ConfigChanged{Config: config})
	r.limits.Step(r.time.now, limits.ConfigChanged{Config: config})
}

func (r *overloadRun) control() {
	r.limits.Step(r.time.now, limits.QueueDelayMeasured{
		Interactive: r.placement.QueueDelay(r.time.now, api.PriorityInteractive),
		Draft:       r.placement.QueueDelay(r.time.now, api.PriorityDraft),
	})
	r.limits.Step(r.time.now, limits.Tick{})
}

// arrive schedules the next caller.
func (r *overloadRun) arrive() {
	capacity := float64(r.options.Engines*r.options.Slots) / r.options.MeanServiceTime.Seconds()
	gap := r.random.ExpFloat64() / (capacity * r.options.LoadFactor)
	r.time.after(time.Duration(gap*float64(time.Second)), func() {
		r.result.OfferedRequests++
		service := time.Duration(r.random.ExpFloat64() * float64(r.options.MeanServiceTime))
		r.send(&call{service: service, resends: r.options.MaxResends})
		r.arrive()
	})
}

// send lets a caller send its request.
func (r *overloadRun) send(c *call) {
	r.nextID++
	id := r.nextID
	r.result.SentRequests++
	c.deadline = r.time.now + r.options.CallerTimeout
	c.retries = 0
	request := api.AdmissionRequest{Account: "a", Priority: api.PriorityInteractive, Tokens: tokens(c.service)}
	if r.options.Protected {
		request.Deadline = c.deadline
	}
	for _, action := range r.limits.Step(r.time.now, limits.AdmissionRequested{ID: id, Request: request}) {
		if _, refused := action.(limits.RequestRefused); refused {
			r.again(c)
			return
		}
	}
	c.admitted = id
	r.start(c)
}

func tokens(service time.Duration) int { return 1 + int(service/(65*time.Millisecond)) }

// again lets the caller send the request once more after a pause.
func (r *overloadRun) again(c *call) {
	if c.resends == 0 {
		return
	}
	c.resends--
	pause := time.Second + time.Duration(r.random.Float64()*float64(time.Second))
	r.time.after(pause, func() { r.send(c) })
}

// start asks for an endpoint.
func (r *overloadRun) start(c *call) {
	r.nextID++
	id := r.nextID
	r.calls[id] = c
	r.asked[id] = r.time.now
	e := placement.PlacementRequested{ID: id, Request: api.PlacementRequest{
		Kind: api.KindEngine, Model: modelRef, Account: modelAccount(id), Priority: api.PriorityInteractive, Tokens: tokens(c.service),
	}}
	if r.options.Protected {
		e.Deadline = c.deadline
	} else {
		r.impatient(id, c)
	}
	r.place(e)
}

// impatient is a caller that leaves without the instance noticing: its request
// stays in the queue and is run for nobody.
func (r *overloadRun) impatient(id uint64, c *call) {
	resend := *c
	r.time.after(c.deadline-r.time.now, func() {
		if _, waits := r.asked[id]; waits {
			r.again(&resend)
		}
	})
}

// modelAccount spreads the requests over ten accounts.
func modelAccount(id uint64) api.AccountID { return api.AccountID(rune('a' + id%10)) }

func (r *overloadRun) place(event placement.Event) {
	actions := slices.Clone(r.placement.Step(r.time.now, event))
	for _, action := range actions {
		switch a := action.(type) {
		case placement.PlacementGranted:
			r.run(a.Grant.ID)
		case placement.PlacementRefused:
			c := r.calls[a.ID]
			r.forget(a.ID)
			r.limits.Step(r.time.now, limits.AdmissionReleased{ID: c.admitted})
			r.again(c)
		}
	}
}

func (r *overloadRun) forget(id uint64) {
	delete(r.calls, id)
	delete(r.asked, id)
}

// run holds the slot for the service time, or half of it if the attempt fails.
func (r *overloadRun) run(id uint64) {
	c := r.calls[id]
	r.waits = append(r.waits, r.time.now-r.asked[id])
	late := r.time.now > c.deadline
	r.forget(id)
	r.result.Attempts++
	fails := r.random.Float64() < r.options.FailureShare
	held := c.service
	if fails {
		held /= 2
	}
	r.time.after(held, func() {
		if fails || late {
			r.wasted += held
		} else {
			r.good += held
			r.result.AnsweredRequests++
		}
		r.place(placement.GrantReleased{ID: id, Outcome: api.OutcomeCompleted})
		if fails && r.mayRetry(c) {
			c.retries++
			r.start(c)
			return
		}
		r.limits.Step(r.time.now, limits.AdmissionReleased{ID: c.admitted})
	})
}

func (r *overloadRun) mayRetry(c *call) bool {
	if c.retries >= maxRetries {
		return false
	}
	actions := r.limits.Step(r.time.now, limits.RetryRequested{Priority: api.PriorityInteractive})
	return actions[0].(limits.RetryDecided).Allowed
}

func (r *overloadRun) finish() OverloadResult {
	all := r.options.Duration.Seconds() * float64(r.options.Engines*r.options.Slots)
	r.result.GoodputShare = r.good.Seconds() / all
	r.result.WastedShare = r.wasted.Seconds() / all
	if len(r.waits) > 0 {
		slices.Sort(r.waits)
		r.result.WaitP95 = r.waits[len(r.waits)*95/100]
		r.result.WaitP99 = r.waits[len(r.waits)*99/100]
	}
	return r.result
}
