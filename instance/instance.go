// Package instance builds the components of one instance from its settings and runs
// their background tasks and listeners.
package instance

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/enginectl"
	"github.com/hibiscusstair/hibiscusstair/fleet"
	"github.com/hibiscusstair/hibiscusstair/generation"
	"github.com/hibiscusstair/hibiscusstair/limits"
	"github.com/hibiscusstair/hibiscusstair/order"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/placement"
	"github.com/hibiscusstair/hibiscusstair/settings"
	"github.com/hibiscusstair/hibiscusstair/store"
	"github.com/hibiscusstair/hibiscusstair/suspect"
	"github.com/hibiscusstair/hibiscusstair/telemetry"
	"github.com/hibiscusstair/hibiscusstair/ticket"
)

// Instance is one process that serves generations, orders and lookups.
type Instance struct {
	settings    *settings.Settings
	incarnation uint64
	log         *slog.Logger
	metrics     *telemetry.Metrics
	draining    atomic.Bool

	store      *store.Client
	clients    *peer.Clients
	ticket     *ticket.Runner
	fleet      *fleet.Runner
	placement  *placement.Runner
	limits     *limits.Runner
	crashMarks *suspect.Runner
	generation *generation.Runner
	order      *order.Runner
	enginectl  *enginectl.Runner

	callerMux   *http.ServeMux
	operatorMux *http.ServeMux
}

// New builds an instance. It opens no listener; Run does.
func New(s *settings.Settings, log *slog.Logger) (*Instance, error) {
	i := &Instance{
		settings: s,
		// The start time grows with every start, so the fleet can distinguish a
		// restarted instance from its earlier incarnations.
		incarnation: uint64(time.Now().UnixMilli()),
		log:         log,
		metrics:     telemetry.NewMetrics(),
		callerMux:   http.NewServeMux(),
		operatorMux: http.NewServeMux(),
	}
	// In order of dependency. Functions that are called later, such as config and
	// liveInstanceCount, cover the dependencies in the other direction.
	steps := []func() error{
		i.buildStore, i.buildTicket, i.buildPlacement, i.buildLimits, i.buildCrashMarks,
		i.buildFleet, i.buildGeneration, i.buildOrder, i.buildEngineControl,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	i.registerOperatorRoutes()
	i.registerCallerRoutes()
	return i, nil
}

func (i *Instance) scope(component string) tally.Scope { return i.metrics.Scope.SubScope(component) }

func (i *Instance) config() *api.Config { return i.ticket.Config() }

// Run serves until the context ends, then drains: the instance leaves the fleet and
// refuses new requests while running ones complete.
func (i *Instance) Run(ctx context.Context) error {
	defer func() { _ = i.metrics.Close() }()
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	var group run.Group
	group.Add(i.drainWhenDone(ctx))
	i.addTasks(&group)
	for _, l := range listeners {
		i.addServer(&group, l)
	}
	err = group.Run()
	if errors.Is(err, errDrained) {
		return nil
	}
	return err
}

// errDrained ends the run group after a graceful shutdown.
var errDrained = errors.New("drained")

// drainWhenDone returns the actor that waits for the end of the context, drains and
// then ends the group.
func (i *Instance) drainWhenDone(ctx context.Context) (func() error, func(error)) {
	stop := make(chan struct{})
	execute := func() error {
		select {
		case <-ctx.Done():
		case <-stop:
			return nil
		}
		i.drain()
		return errDrained
	}
	return execute, func(error) { close(stop) }
}

func (i *Instance) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), i.settings.DrainTimeout)
	defer cancel()
	i.log.Info("draining")
	i.draining.Store(true)
	// Leaving comes first, so that other instances stop relying on this one.
	i.fleet.Leave(ctx)
	if err := i.generation.Drain(ctx); err != nil {
		i.log.Warn("generations did not complete within the drain timeout", "error", err)
	}
	if err := i.order.Drain(ctx); err != nil {
		i.log.Warn("orders did not complete within the drain timeout", "error", err)
	}
	i.log.Info("drained")
}

// addTasks adds the background task of each component.
func (i *Instance) addTasks(group *run.Group) {
	tasks := []struct {
		name string
		run  func(context.Context) error
	}{
		{"ticket", i.ticket.Run}, {"fleet", i.fleet.Run}, {"placement", i.placement.Run},
		{"limits", i.limits.Run}, {"suspect", i.crashMarks.Run}, {"generation", i.generation.Run},
		{"order", i.order.Run}, {"enginectl", i.enginectl.Run},
	}
	for _, task := range tasks {
		ctx, cancel := context.WithCancel(context.Background())
		group.Add(func() error {
			err := task.run(ctx)
			if err != nil && !errors.Is(err, context.Canceled) {
				return fmt.Errorf("%s: %w", task.name, err)
			}
			// The group would stop the instance if a task returned before the end.
			<-ctx.Done()
			return nil
		}, func(error) { cancel() })
	}
}

// clock is the boot clock, which is not changed when the wall clock is set.
var clock bootclock.Func = bootclock.Now
