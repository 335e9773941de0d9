package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/fleet"
	"github.com/hibiscusstair/hibiscusstair/forward"
	"github.com/hibiscusstair/hibiscusstair/loadprobe"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/prefixcache"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/relay"
	"github.com/hibiscusstair/hibiscusstair/revive"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/storesync"
	"github.com/hibiscusstair/hibiscusstair/suspect"
	"github.com/hibiscusstair/hibiscusstair/telemetry"
	"github.com/hibiscusstair/hibiscusstair/upstream"
)

const (
	// memoryShare is the part of the memory bound that the runtime aims at.
	memoryShare = 0.7
	// leaveTime is how long connections are still accepted after the stop
	// signal. The balancer takes an instance out after two probes, one a second.
	leaveTime = 2500 * time.Millisecond
	// stopMargin is the part of the stop timeout that is kept for the end.
	stopMargin = 400 * time.Millisecond
	// defaultStopTimeout applies if the settings have none.
	defaultStopTimeout = 8 * time.Second
	// stopPoll is how often running requests are counted while stopping.
	stopPoll = 50 * time.Millisecond
	// housekeeping is the interval of the work that nothing else triggers.
	housekeeping = 500 * time.Millisecond
	// headerTimeout and headerBytes bound what a caller may send before its
	// request is known. They are at least what configurations allow.
	headerTimeout = 3 * time.Second
	headerBytes   = 64 << 10
	// idleTimeout is above the idle time that configurations promise to callers,
	// so that no request crosses the close of its connection.
	idleTimeout = 2 * time.Minute
	// retryShare is the part of the fleet's retry budget that is used. Counts of
	// instances are late, and callers' requests shift between instances.
	retryShare = 0.8
)

// Options configures a Gateway.
type Options struct {
	Settings Settings
	// LoadSettings reads the settings again; it is called on SIGHUP.
	LoadSettings   func() (Settings, error)
	ReloadSignals  <-chan os.Signal
	Protocol       forward.Protocol
	Store          storesync.Store
	PartLister     prefixcache.PartLister
	IdentityClient revive.IdentityClient
	EngineClient   loadprobe.EngineClient
	// DecodeTable decodes a configuration that another instance hands over.
	DecodeTable func(document []byte) (*routing.Table, error)
	Log         *slog.Logger
	Metrics     *telemetry.Metrics
}

// Gateway is one instance that serves routed requests.
type Gateway struct {
	o        Options
	table    *routing.CurrentTable
	registry *registry.Registry
	balance  *balance.Balancer
	pool     *upstream.Pool
	follower *storesync.Follower
	finder   *revive.RestartDetector
	marks    *suspect.Runner
	loads    *loadprobe.Prober
	cache    *relay.Cache
	clients  *peer.Clients
	fleet    *fleet.Runner // nil if other instances cannot call this one
	forward  *forward.Handler
	// stopAt is when the process ends, by the boot clock; 0 is not stopping.
	stopAt atomic.Int64
}

// New builds an instance. Nothing listens before Run.
func New(o Options) (*Gateway, error) {
	g := &Gateway{o: o, table: &routing.CurrentTable{}}
	clock := bootclock.Now
	s := o.Settings
	scope := o.Metrics.Scope
	g.pool = upstream.New(upstream.Options{Clock: clock})
	g.balance = balance.New(balance.Options{
		CoreOptions: balance.CoreOptions{Instance: s.Instance, Place: s.Place, Regions: s.Regions, OnSuspect: g.endpointSuspected},
		Clock:       clock, Log: o.Log, Scope: scope.SubScope("balance"),
	})
	g.registry = registry.New(registry.Options{
		Clock: clock, Log: o.Log, Scope: scope.SubScope("registry"), OnChange: g.endpointChanged,
	})
	g.cache = relay.NewCache()
	g.clients = peer.NewClients(s.PeerSecret, scope.SubScope("peer"))
	g.follower = storesync.New(storesync.Options{
		Store: g.source(), Table: g.table, Registry: g.registry, Recorder: g.cache,
		Clock: clock, Log: o.Log, Scope: scope.SubScope("storesync"),
	})
	g.cache.SetContacts(g.follower.TableContact(), g.follower.EndpointContact())
	var err error
	if g.marks, err = suspect.New(suspect.Options{Log: o.Log, Scope: scope.SubScope("suspect"), Clock: clock}); err != nil {
		return nil, err
	}
	if err := g.buildFleet(); err != nil {
		return nil, err
	}
	g.finder = revive.New(revive.Options{
		Client: o.IdentityClient, Table: g.table, Registry: g.registry, StoreUnreachable: g.follower.EndpointContact().Lost,
		Clock: clock, Log: o.Log, Scope: scope.SubScope("revive"),
	})
	g.loads = loadprobe.New(loadprobe.Options{
		Client: o.EngineClient, Balance: g.balance, Clock: clock, Log: o.Log, Scope: scope.SubScope("loadprobe"),
	})
	prompts := prefixcache.New(prefixcache.Options{
		Lister: o.PartLister, Engines: g.balance.AvailableEndpoints, Clock: clock, Log: o.Log, Scope: scope.SubScope("prefixcache"),
	})
	g.forward = forward.New(forward.Options{
		Protocol: o.Protocol, Table: g.table, Balance: g.balance, Pool: g.pool, PromptIndex: prompts, LoadProber: g.loads, CrashMarks: g.marks,
		RetryBudget: forward.NewRetryBudget(forward.RetryBudgetOptions{
			Ratio: s.RetryRatio * retryShare, Baseline: s.RetryBaseline * retryShare, Window: s.RetryWindow,
			InstanceCount: g.instances,
		}),
		Clock: clock, Log: o.Log, Scope: scope.SubScope("forward"), Stopping: g.stopping,
		Synced: g.follower.Synced(),
	})
	return g, nil
}

// source returns where the store is read: through another instance of the
// failure domain if there is one.
func (g *Gateway) source() storesync.Store {
	s := g.o.Settings
	if !s.PeerListen.IsValid() {
		return g.o.Store
	}
	return relay.NewSource(relay.SourceOptions{
		Self:          api.Member{ID: s.Instance, Address: s.PeerListen.String(), Place: s.Place},
		DirectStore:   g.o.Store,
		Members:       g.members,
		SeedAddresses: g.seeds(),
		RelayClient:   g.clients.Relay,
		DecodeTable:   g.o.DecodeTable,
		AcceptStale:   func() bool { return g.table.Load() == nil || !g.follower.HasCurrentList() },
		Clock:         bootclock.Now, Log: g.o.Log, Scope: g.o.Metrics.Scope.SubScope("relay"),
	})
}

func (g *Gateway) buildFleet() (err error) {
	s := g.o.Settings
	if !s.PeerListen.IsValid() {
		return nil
	}
	incarnation := uint64(time.Now().UnixMilli())
	g.fleet, err = fleet.New(fleet.Options{
		Instance: s.Instance, Incarnation: incarnation, Place: s.Place, Address: s.PeerListen.String(),
		SeedAddresses: g.seeds(), Store: noRegistrations{}, Clients: g.clients, Tickets: fleetState{g}, ExpelMode: "manual",
		DeltaSources: []fleet.DeltaSource{g.marks},
		Log:          g.o.Log, Scope: g.o.Metrics.Scope.SubScope("fleet"), Clock: bootclock.Now, Seed: incarnation,
	})
	return err
}

// members returns the instances that are known. The source may ask before the
// fleet slice is built.
func (g *Gateway) members() []api.Member {
	if g.fleet == nil {
		return nil
	}
	return g.fleet.Members()
}

// instances returns the number of live instances, this one included.
func (g *Gateway) instances() int {
	if g.fleet == nil {
		return 1
	}
	return g.fleet.LiveCount("")
}

func (g *Gateway) seeds() []string {
	seeds := make([]string, 0, len(g.o.Settings.Peers))
	for _, address := range g.o.Settings.Peers {
		if address != g.o.Settings.PeerListen {
			seeds = append(seeds, address.String())
		}
	}
	return seeds
}

// endpointChanged passes a change of the registry on.
func (g *Gateway) endpointChanged(change registry.Change) {
	g.balance.Apply(change)
	if change.Kind == registry.Gone {
		g.pool.CloseIdle(change.Endpoint)
		g.loads.Forget(change.Endpoint.ID)
	}
}

func (g *Gateway) endpointSuspected(endpoint registry.Endpoint) { g.finder.ReportFailure(endpoint) }

// Run serves until the context ends, then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	if bound := g.o.Settings.MemoryBytes; bound > 0 {
		debug.SetMemoryLimit(int64(float64(bound) * memoryShare))
	}
	var group run.Group
	g.addDuty(&group, "configuration", g.follower.FollowTable)
	g.addDuty(&group, "registrations", g.follower.FollowEndpoints)
	g.addDuty(&group, "restarted engines", g.finder.Run)
	g.addDuty(&group, "crash marks", g.marks.Run)
	g.addDuty(&group, "housekeeping", g.keepHouse)
	if g.fleet != nil {
		g.addDuty(&group, "fleet", g.fleet.Run)
	}
	servers := []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{"caller", g.o.Settings.CallerListen, g.forward},
		{"ready", g.o.Settings.ReadyListen, http.HandlerFunc(g.serveReady)},
		{"peer", g.o.Settings.PeerListen, g.peerHandler()},
		{"metrics", g.o.Settings.MetricsListen, g.o.Metrics.Handler()},
	}
	for _, s := range servers {
		if !s.address.IsValid() {
			continue
		}
		if err := g.addServer(&group, s.name, s.address, s.handler); err != nil {
			return err
		}
	}
	group.Add(g.stopOn(ctx))
	err := group.Run()
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// errStopped ends the run group after a graceful stop.
var errStopped = errors.New("stopped")

func (g *Gateway) addDuty(group *run.Group, name string, duty func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		if err := duty(ctx); err != nil && !errors.Is(err, context.Canceled) {
			return fmt.Errorf("%s: %w", name, err)
		}
		return nil
	}, func(error) { cancel() })
}

func (g *Gateway) addServer(group *run.Group, name string, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return fmt.Errorf("%s listener: %w", name, err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    headerBytes,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(g.o.Log.Handler(), slog.LevelDebug),
	}
	group.Add(func() error {
		g.o.Log.Info("listening", "interface", name, "address", address.String())
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) { _ = server.Close() })
	return nil
}

func (g *Gateway) peerHandler() http.Handler {
	if g.fleet == nil {
		return http.NotFoundHandler()
	}
	return peer.NewHandler(peerServer{g}, g.cache, g.o.Settings.PeerSecret, g.o.Metrics.Scope.SubScope("peer"))
}

// serveReady answers the balancer's probe.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Ready reports whether the instance takes connections.
func (g *Gateway) Ready() bool {
	stopping, _ := g.stopping()
	return !stopping && g.table.Load() != nil && g.registry.Len() > 0
}

// stopOn returns the actor that stops the instance when the context ends:
// running requests get their answers, new ones are taken until the balancer has
// noticed, and the process ends before it is killed.
func (g *Gateway) stopOn(ctx context.Context) (func() error, func(error)) {
	done := make(chan struct{})
	execute := func() error {
		select {
		case <-ctx.Done():
		case <-done:
			return nil
		}
		g.stop()
		return errStopped
	}
	return execute, func(error) { close(done) }
}

// stop waits until the running requests have their answers, at most until the
// process would be killed.
func (g *Gateway) stop() {
	bound := g.o.Settings.StopTimeout
	if bound <= 0 {
		bound = defaultStopTimeout
	}
	began := bootclock.Now()
	end := began + bound - stopMargin
	g.stopAt.Store(int64(end))
	g.o.Log.Info("stopping", "running", g.forward.ActiveRequests())
	if g.fleet != nil {
		ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
		defer cancel()
		g.fleet.Leave(ctx)
	}
	for bootclock.Now() < end {
		if bootclock.Now()-began >= leaveTime && g.forward.ActiveRequests() == 0 {
			break
		}
		time.Sleep(stopPoll)
	}
	g.o.Log.Info("stopped", "running", g.forward.ActiveRequests(), "age_ms", (bootclock.Now() - began).Milliseconds())
}

// stopping reports whether the instance is about to stop and how long it still
// runs.
func (g *Gateway) stopping() (bool, time.Duration) {
	at := time.Duration(g.stopAt.Load())
	return at != 0, at - bootclock.Now()
}

// keepHouse closes idle connections, lets lapsed registrations expire and
// reads the settings again when told to.
func (g *Gateway) keepHouse(ctx context.Context) error {
	ticker := time.NewTicker(housekeeping)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.o.ReloadSignals:
			g.reload()
		case <-ticker.C:
			g.pool.CloseExpired()
			g.registry.Apply(registry.Tick{})
		}
	}
}

func (g *Gateway) reload() {
	next, err := g.o.LoadSettings()
	if err != nil {
		g.o.Log.Error("settings not reloaded", "error", err)
		return
	}
	changed := next.CallerListen != g.o.Settings.CallerListen || next.Store != g.o.Settings.Store
	g.o.Log.Info("settings reloaded", "restart_needed", changed)
}
