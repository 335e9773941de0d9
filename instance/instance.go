// Package instance builds the slices of one instance from its settings and
// joins them in a run group.
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

// Instance is one process of the system.
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
	suspect    *suspect.Runner
	generation *generation.Runner
	order      *order.Runner
	enginectl  *enginectl.Runner

	callerMux   *http.ServeMux
	operatorMux *http.ServeMux
}

// New builds an instance. Nothing listens before Run.
func New(s *settings.Settings, log *slog.Logger) (*Instance, error) {
	i := &Instance{
		settings: s,
		// The start time grows with every restart, which is what the fleet
		// needs to tell a returning instance from its earlier self.
		incarnation: uint64(time.Now().UnixMilli()),
		log:         log,
		metrics:     telemetry.NewMetrics(),
		callerMux:   http.NewServeMux(),
		operatorMux: http.NewServeMux(),
	}
	steps := []func() error{
		i.buildStore, i.buildTicket, i.buildPlacement, i.buildLimits, i.buildSuspect,
		i.buildFleet, i.buildGeneration, i.buildOrder, i.buildEngineControl,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	i.registerOperator()
	i.registerCaller()
	return i, nil
}

func (i *Instance) scope(slice string) tally.Scope { return i.metrics.Scope.SubScope(slice) }

func (i *Instance) config() *api.Config { return i.ticket.Config() }

// Run serves until the context ends, then drains: new work is refused while
// running work finishes, then the instance leaves the fleet.
func (i *Instance) Run(ctx context.Context) error {
	defer func() { _ = i.metrics.Close() }()
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	var group run.Group
	group.Add(i.drainOn(ctx))
	i.addDuties(&group)
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

// drainOn returns the actor that waits for the end of the context, drains and
// then ends the group.
func (i *Instance) drainOn(ctx context.Context) (func() error, func(error)) {
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
	// Peers hear of it first, so that they stop counting on this instance.
	i.fleet.Leave(ctx)
	if err := i.generation.Drain(ctx); err != nil {
		i.log.Warn("generations were still running at the end of the drain", "error", err)
	}
	if err := i.order.Drain(ctx); err != nil {
		i.log.Warn("orders were still running at the end of the drain", "error", err)
	}
	i.log.Info("drained")
}

// addDuties adds the goroutine of each slice.
func (i *Instance) addDuties(group *run.Group) {
	duties := []struct {
		name string
		run  func(context.Context) error
	}{
		{"ticket", i.ticket.Run}, {"fleet", i.fleet.Run}, {"placement", i.placement.Run},
		{"limits", i.limits.Run}, {"suspect", i.suspect.Run}, {"generation", i.generation.Run},
		{"order", i.order.Run}, {"enginectl", i.enginectl.Run},
	}
	for _, duty := range duties {
		ctx, cancel := context.WithCancel(context.Background())
		group.Add(func() error {
			err := duty.run(ctx)
			if err != nil && !errors.Is(err, context.Canceled) {
				return fmt.Errorf("%s: %w", duty.name, err)
			}
			<-ctx.Done()
			return nil
		}, func(error) { cancel() })
	}
}

var clock bootclock.Func = bootclock.Now
