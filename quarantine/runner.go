package quarantine

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// tickInterval is the time between Tick events.
const tickInterval = 10 * time.Second

// Options configures a Runner.
type Options struct {
	Self api.InstanceID
	// Members returns the known instances; nil is none.
	Members func() []api.Member
	Clock   bootclock.Func
	Log     *slog.Logger
	Scope   tally.Scope
	// OnUrgent is called when other instances should learn of a change at once. It
	// must not block; nil is none.
	OnUrgent func()
	// Store keeps refusals beyond the end of all instances; nil is none. NothingStored is as
	// in KeeperOptions.
	Store         RefusalStore
	NothingStored func() (nothing, known bool)
}

// Runner makes a core safe for concurrent use. A crash has to take effect before the
// next request is placed, so calls lock the core instead of passing through a queue.
type Runner struct {
	o       Options
	mu      sync.Mutex
	core    *Core
	keeper  *Keeper // nil if refusals are not stored
	records tally.Gauge
	crashes tally.Counter
	trials  tally.Counter
	// assessments counts the results of Assess by state.
	assessments map[State]tally.Counter
}

// New returns a runner without records.
func New(o Options) *Runner {
	r := &Runner{
		o: o, core: NewCore(),
		records: o.Scope.Gauge("crash_records"), crashes: o.Scope.Counter("crashes"), trials: o.Scope.Counter("trials"),
		assessments: make(map[State]tally.Counter),
	}
	for _, state := range states {
		r.assessments[state] = o.Scope.Tagged(map[string]string{"state": string(state)}).Counter("assessments")
		r.assessments[state].Inc(0)
	}
	if o.Store != nil {
		r.keeper = NewKeeper(KeeperOptions{
			Store: o.Store, NothingStored: o.NothingStored, Self: o.Self, Members: r.members, Now: time.Now, Cleared: r.isCleared,
			OnRead: func(crashes []CrashRecord) { r.step(RecordsReceived{Crashes: crashes}) }, Log: o.Log, Scope: o.Scope,
		})
	}
	return r
}

// Keeper returns the keeper of refusals in the store, nil if they are not stored.
func (r *Runner) Keeper() *Keeper { return r.keeper }

// StoreRestored says that the store was restored from a copy.
func (r *Runner) StoreRestored() {
	if r.keeper != nil {
		r.keeper.StoreRestored()
	}
}

// members returns the known instances.
func (r *Runner) members() []api.Member {
	if r.o.Members == nil {
		return nil
	}
	return r.o.Members()
}

func (r *Runner) isCleared(part Part) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.IsCleared(r.o.Clock(), part)
}

// storeRefusals hands new refusals to the keeper. mu has to be locked.
func (r *Runner) storeRefusals(now time.Duration) {
	if r.keeper != nil {
		r.keeper.Store(r.core.TakeRefusals(now))
	}
}

// Assess returns what the crashes say about a request.
func (r *Runner) Assess(request Request) Assessment {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Clock()
	assessment := r.core.Assess(now, request)
	if assessment.Refused() {
		r.storeRefusals(now)
	}
	r.assessments[assessment.State].Inc(1)
	return assessment
}

// StartTrial reports whether a request that is refused may be sent to one engine.
func (r *Runner) StartTrial(a Assessment) bool {
	if !a.Tied {
		return false
	}
	members := r.members()
	r.mu.Lock()
	started := r.core.StartTrial(r.o.Clock(), a, trialRank(r.o.Self, members))
	r.mu.Unlock()
	if !started {
		return false
	}
	r.trials.Inc(1)
	if r.o.OnUrgent != nil {
		r.o.OnUrgent()
	}
	return true
}

// ReportCrash records the crash of an engine and the requests that it ran.
func (r *Runner) ReportCrash(crash EngineCrashed) {
	if len(crash.Running) == 0 {
		return
	}
	r.crashes.Inc(1)
	r.o.Log.Warn("engine crashed while it ran requests", "endpoint", crash.Endpoint, "failure_domain", crash.Domain,
		"incarnation", crash.Incarnation, "unconfirmed", crash.Unconfirmed, "requests", crash.Running)
	r.step(crash)
}

// ReportServed records that an engine generated events with the parts of a prompt.
func (r *Runner) ReportServed(parts []Part) { r.step(PartsServed{Parts: parts}) }

// ReportCompleted records that an engine ran a request to its end.
func (r *Runner) ReportCompleted(request Request) { r.step(RequestCompleted{Request: request}) }

// Collect returns new records for another instance, at most maxBytes.
func (r *Runner) Collect(maxBytes int) *peerpb.Deltas {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Collect(r.o.Clock(), maxBytes)
}

// Snapshot returns the records that matter to an instance that has just started.
func (r *Runner) Snapshot() *peerpb.Deltas {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Snapshot(r.o.Clock())
}

// Merge adds the records of another instance.
func (r *Runner) Merge(deltas *peerpb.Deltas) {
	if len(deltas.GetPromptCrashes()) == 0 && len(deltas.GetServedParts()) == 0 && len(deltas.GetTriedParts()) == 0 {
		return
	}
	r.step(recordsFromProto(deltas))
}

func (r *Runner) step(ev Event) {
	r.mu.Lock()
	now := r.o.Clock()
	urgent := r.core.Step(now, ev)
	switch ev.(type) {
	case EngineCrashed, RecordsReceived, Tick: // the others make no refusals
		r.storeRefusals(now)
	}
	r.records.Update(float64(len(r.core.records)))
	r.mu.Unlock()
	if urgent && r.o.OnUrgent != nil {
		r.o.OnUrgent()
	}
}

// Run removes old records until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.step(Tick{})
		}
	}
}
