package limits

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/ring"
)

const (
	// messageQueueCapacity bounds the events and queries that wait for the core.
	messageQueueCapacity = 4096
	// tickInterval is how often the queueing delay is read.
	tickInterval = 50 * time.Millisecond
	// fleetPollInterval is how often the number of instances is read.
	fleetPollInterval = time.Second
	// replyTimeout bounds the wait for a reply of the core.
	replyTimeout = time.Second
)

// Error is the class of the errors of New.
var Error = errs.Class("limits")

// message is an element of the queue to the core: an event, or a query that runs
// on the core.
type message struct {
	event Event
	reply chan decision
	query func(core *Core, now time.Duration)
}

// decision is the core's reply to Admit or TryRetry.
type decision struct {
	admission api.Admission
	allowed   bool
	err       *reason.Error
}

// Runner runs a core and connects it to callers and peers.
type Runner struct {
	options         Options
	log             *slog.Logger
	metrics         *metrics
	core            *Core
	messages        *ring.Queue[message]
	config          *api.Config
	nextFleetPollAt time.Duration
	inContact       bool
	lastID          atomic.Uint64
	stopped         chan struct{}
}

// New returns a runner; Run starts it.
func New(o Options) (*Runner, error) {
	if o.Config == nil {
		return nil, Error.New("Config is required")
	}
	if o.Clock == nil {
		o.Clock = bootclock.Now
	}
	if o.InstanceCount == nil {
		o.InstanceCount = func() int { return 1 }
	}
	if o.QueueDelay == nil {
		o.QueueDelay = func(api.Priority) time.Duration { return 0 }
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	wall := time.Duration(time.Now().UnixNano())
	return &Runner{
		options:   o,
		log:       o.Log,
		metrics:   newMetrics(o.Scope),
		core:      NewCore(CoreOptions{Instance: o.Instance, WallOffset: wall - o.Clock()}),
		messages:  ring.New[message](messageQueueCapacity),
		inContact: true,
		stopped:   make(chan struct{}),
	}, nil
}

// Run handles messages until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	defer close(r.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-r.messages.C():
			r.handle(m)
		case <-ticker.C:
			r.tick()
		}
	}
}

func (r *Runner) tick() {
	now := r.options.Clock()
	if now >= r.nextFleetPollAt {
		r.nextFleetPollAt = now + fleetPollInterval
		r.core.Step(now, FleetResized{Instances: r.options.InstanceCount()})
		r.reportSummary(r.core.Summarize(now))
	}
	r.core.Step(now, QueueDelayMeasured{
		Interactive: r.options.QueueDelay(api.PriorityInteractive),
		Draft:       r.options.QueueDelay(api.PriorityDraft),
	})
	r.core.Step(now, Tick{})
}

func (r *Runner) reportSummary(s Summary) {
	r.metrics.updateGauges(s)
	if s.InContact != r.inContact {
		r.inContact = s.InContact
		r.log.Info("contact with peers changed; account shares are frozen without contact", "in_contact", s.InContact)
	}
}

func (r *Runner) handle(m message) {
	now := r.options.Clock()
	if m.query != nil {
		m.query(r.core, now)
		return
	}
	if config := r.options.Config(); config != r.config {
		r.config = config
		r.core.Step(now, ConfigChanged{Config: config})
	}
	for _, action := range r.core.Step(now, m.event) {
		switch a := action.(type) {
		case RequestAdmitted:
			r.metrics.admitted.Inc(1)
			m.reply <- decision{admission: a.Admission}
		case RequestRefused:
			r.metrics.refusals.Inc(a.Err.Reason)
			m.reply <- decision{err: a.Err}
		case RetryDecided:
			m.reply <- decision{allowed: a.Allowed}
		}
	}
}

// Admit admits a request or returns the reason for its refusal. An admission has
// to be released.
func (r *Runner) Admit(ctx context.Context, request api.AdmissionRequest) (api.Admission, error) {
	id := r.lastID.Add(1)
	m := message{event: AdmissionRequested{ID: id, Request: request}, reply: make(chan decision, 1)}
	if !r.messages.TryPut(m) {
		return api.Admission{}, r.refusal(reason.Overloaded, "the limits ring is full")
	}
	select {
	case d := <-m.reply:
		if d.err != nil {
			return api.Admission{}, d.err
		}
		return d.admission, nil
	case <-ctx.Done():
		// The queue keeps the order, so the release follows the admission.
		r.putEvent(AdmissionReleased{ID: id})
		return api.Admission{}, r.refusal(reason.CallerGone, "the request ended before it was admitted")
	case <-r.stopped:
		return api.Admission{}, r.refusal(reason.ShuttingDown, "limits has stopped")
	}
}

func (r *Runner) refusal(why reason.Reason, message string) error {
	r.metrics.refusals.Inc(why)
	return reason.New(why, "%s", message)
}

// putEvent queues an event that must not be dropped. While the queue is full it
// waits, until Run ends.
func (r *Runner) putEvent(event Event) {
	_ = r.messages.PutUntil(r.stopped, message{event: event})
}

// Release ends an admission. A second release has no effect.
func (r *Runner) Release(admission api.Admission) { r.putEvent(AdmissionReleased{ID: admission.ID}) }

// TryRetry charges a retry to the budget and reports whether the budget allows it.
// A full queue or no reply in time counts as a refusal.
func (r *Runner) TryRetry(priority api.Priority) bool {
	m := message{event: RetryRequested{Priority: priority}, reply: make(chan decision, 1)}
	if !r.messages.TryPut(m) {
		return r.countRetry(false)
	}
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	select {
	case d := <-m.reply:
		return r.countRetry(d.allowed)
	case <-r.stopped:
	case <-timer.C:
	}
	return r.countRetry(false)
}

func (r *Runner) countRetry(allowed bool) bool {
	if allowed {
		r.metrics.retriesAllowed.Inc(1)
	} else {
		r.metrics.retriesRefused.Inc(1)
	}
	return allowed
}

// Collect returns usage entries for a peer, at most maxBytes, and counts them as sent.
func (r *Runner) Collect(maxBytes int) *peerpb.Deltas {
	result := make(chan []PeerUsage, 1)
	deltas := &peerpb.Deltas{}
	if !r.messages.TryPut(message{query: func(core *Core, now time.Duration) { result <- core.Collect(now, usageBudget(maxBytes)) }}) {
		return deltas
	}
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	select {
	case usage := <-result:
		for _, u := range usage {
			deltas.Usage = append(deltas.Usage, encodeUsage(u))
		}
	case <-r.stopped:
	case <-timer.C:
	}
	return deltas
}

// usageBudget returns a function that reports whether an entry fits into the rest of a
// message of at most maxBytes, and takes its bytes if so.
func usageBudget(maxBytes int) func(PeerUsage) bool {
	left := peer.ByteBudget(maxBytes)
	return func(u PeerUsage) bool { return left.Take(encodeUsage(u)) }
}

func encodeUsage(u PeerUsage) *peerpb.Usage {
	return &peerpb.Usage{
		Account:           string(u.Account),
		Instance:          string(u.Instance),
		RequestsPerSecond: u.Rate,
		TokensInFlight:    uint64(u.Tokens),
		Version:           u.Version,
	}
}

// maxReportedTokens bounds the tokens in a delta, so that a faulty peer cannot
// make sums overflow.
const maxReportedTokens = 1 << 40

// Merge merges the usage entries of a peer. It is called for every exchange, since
// an empty one also shows that there is contact. When the queue is full the entries
// are dropped; peers send each of them several times.
func (r *Runner) Merge(deltas *peerpb.Deltas) {
	usage := make([]PeerUsage, 0, len(deltas.GetUsage()))
	for _, u := range deltas.GetUsage() {
		usage = append(usage, PeerUsage{
			Account:  api.AccountID(u.Account),
			Instance: api.InstanceID(u.Instance),
			Rate:     u.RequestsPerSecond,
			Tokens:   int(min(u.TokensInFlight, maxReportedTokens)),
			Version:  u.Version,
		})
	}
	if !r.messages.TryPut(message{event: PeerUsageReceived{Usage: usage}}) {
		r.metrics.deltasDropped.Inc(1)
	}
}
