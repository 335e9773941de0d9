package enginectl

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/ring"
	"github.com/hibiscusstair/hibiscusstair/store"
)

const (
	// leaseKeyPrefix is the first part of the store key of a lease; each half has
	// its own lease.
	leaseKeyPrefix = "enginectl-lease"
	// tickInterval is the resolution of the core's timers.
	tickInterval = 100 * time.Millisecond
	// eventQueueCapacity limits the queued results; further calls wait until their
	// results fit.
	eventQueueCapacity = 256
	// leaseCallTimeout limits a read or write of the lease, so that a slow renewal
	// fails while there is time for another one.
	leaseCallTimeout = 2 * time.Second
)

// Options configures a Runner.
type Options struct {
	Instance api.InstanceID
	Half     api.Half
	// Config returns the active configuration of this instance.
	Config func() *api.Config
	// CheckServing returns nil if the instance may start new work, else the reason.
	// A nil function means always.
	CheckServing func() error
	Store        store.API
	// WeightLoadsPerMinute limits the rate of weight loads over all engines of the
	// half.
	WeightLoadsPerMinute int
	Log                  *slog.Logger
	Scope                tally.Scope
	Clock                bootclock.Func
}

// Status is the state of the engine control on this instance.
type Status struct {
	// Holder says that this instance holds the lease and that the lease is valid for
	// long enough to send a command.
	Holder bool   `json:"holder"`
	Fence  uint64 `json:"fence"` // fencing token
	// Engines is the number of engines that the holder controls; Converged is the
	// number of those in their desired state.
	Engines   int `json:"engines"`
	Converged int `json:"converged"`
}

// Runner runs a Core: it calls the store and the engines and passes the results
// to the core.
type Runner struct {
	options      Options
	core         *Core
	engines      *engineClient
	events       *ring.Queue[Event]
	metrics      *metrics
	status       atomic.Pointer[Status]
	loggedHolder bool // Holder of the last logged status
}

// New returns a runner. It performs no I/O before Run.
func New(o Options) (*Runner, error) {
	if o.Config == nil || o.Store == nil || o.Instance == "" {
		return nil, errors.New("enginectl: Instance, Config and Store are required")
	}
	if o.CheckServing == nil {
		o.CheckServing = func() error { return nil }
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Clock == nil {
		o.Clock = bootclock.Now
	}
	r := &Runner{
		options: o,
		core: NewCore(CoreOptions{
			Instance: o.Instance, Half: o.Half, Token: rand.Text(), WeightLoadsPerMinute: o.WeightLoadsPerMinute,
		}),
		engines: newEngineClient(),
		events:  ring.New[Event](eventQueueCapacity),
		metrics: newMetrics(o.Scope),
	}
	r.status.Store(&Status{})
	return r, nil
}

// Status returns the current state.
func (r *Runner) Status() Status { return *r.status.Load() }

// Run processes events until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	defer r.engines.httpClient.CloseIdleConnections()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var event Event
		select {
		case <-ctx.Done():
			return nil
		case event = <-r.events.C():
		case <-ticker.C:
			event = Tick{Config: r.options.Config()}
		}
		for _, action := range r.core.Step(r.options.Clock(), event) {
			r.execute(ctx, action)
		}
		r.publishStatus()
	}
}

// publishStatus updates the result of Status and logs changes of Status.Holder.
func (r *Runner) publishStatus() {
	status := r.core.Status()
	if status.Holder != r.loggedHolder {
		r.loggedHolder = status.Holder
		r.options.Log.Info("engine control lease changed", "held", status.Holder, "fence", status.Fence)
	}
	r.status.Store(&status)
}

func (r *Runner) execute(ctx context.Context, action Action) {
	switch a := action.(type) {
	case ReadLease:
		r.runAsync(ctx, r.readLease)
	case WriteLease:
		r.runAsync(ctx, func(ctx context.Context) Event { return r.writeLease(ctx, a) })
	case FetchReport:
		r.runAsync(ctx, func(ctx context.Context) Event { return r.fetchReport(ctx, a) })
	case Command:
		r.runAsync(ctx, func(ctx context.Context) Event { return r.sendCommand(ctx, a) })
	}
}

// runAsync makes a call in a goroutine and passes its result to the core.
func (r *Runner) runAsync(ctx context.Context, call func(context.Context) Event) {
	go func() {
		// Put fails only after Run has ended.
		_ = r.events.Put(ctx, call(ctx))
	}()
}

func (r *Runner) leaseKey() string {
	if r.options.Half == "" {
		return leaseKeyPrefix
	}
	return leaseKeyPrefix + "/" + string(r.options.Half)
}

func (r *Runner) readLease(ctx context.Context) Event {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	return readLease(ctx, r.options.Store, r.leaseKey())
}

func readLease(ctx context.Context, from store.API, key string) LeaseRead {
	object, err := from.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return LeaseRead{}
	}
	var lease Lease
	if err != nil || json.Unmarshal(object.Value, &lease) != nil {
		return LeaseRead{Failed: true}
	}
	return LeaseRead{Lease: lease, Version: object.Version}
}

func (r *Runner) writeLease(ctx context.Context, a WriteLease) Event {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	return writeLease(ctx, r.options.Store, r.leaseKey(), a)
}

func writeLease(ctx context.Context, to store.API, key string, a WriteLease) LeaseWritten {
	value, err := json.Marshal(a.Lease)
	if err != nil {
		return LeaseWritten{Result: WriteRefused}
	}
	version, err := to.Put(ctx, key, value, a.ExpectedVersion)
	switch {
	case err == nil:
		return LeaseWritten{Result: WriteOK, Version: version}
	case errors.Is(err, store.ErrConflict):
		return LeaseWritten{Result: WriteConflict}
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrRateLimited), errors.Is(err, store.ErrRefused):
		return LeaseWritten{Result: WriteRefused}
	default:
		return LeaseWritten{Result: WriteUnknown}
	}
}

func (r *Runner) fetchReport(ctx context.Context, a FetchReport) Event {
	asOf := r.options.Clock()
	report, err := r.engines.fetchReport(ctx, a.Endpoint)
	if err != nil {
		return ReportFetched{Endpoint: a.Endpoint.ID, Failed: true, AsOf: asOf}
	}
	// The report describes the engine's state AgeMS earlier.
	asOf -= time.Duration(report.AgeMs) * time.Millisecond
	return ReportFetched{Endpoint: a.Endpoint.ID, Models: report.Models, Role: report.Role, AsOf: asOf}
}

func (r *Runner) sendCommand(ctx context.Context, a Command) Event {
	result, err := r.engines.sendCommand(ctx, a, func() bool {
		return r.options.Clock() < a.NotAfter && r.options.CheckServing() == nil &&
			r.options.Config().MayDispatch(a.Endpoint.ID, r.options.Half)
	})
	r.metrics.countCommand(a.Kind, result)
	if err != nil {
		r.options.Log.Warn("command to an engine was not confirmed",
			"endpoint", a.Endpoint.ID, "command", string(a.Kind), "fence", a.Fence, "error", err.Error())
	}
	return CommandFinished{Endpoint: a.Endpoint.ID, Fence: a.Fence, Result: result}
}
