package gateway

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hibiscusstair/hibiscusstair/admission"
	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/fleet"
	"github.com/hibiscusstair/hibiscusstair/forward"
	"github.com/hibiscusstair/hibiscusstair/loadprobe"
	"github.com/hibiscusstair/hibiscusstair/overflow"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/prefixcache"
	"github.com/hibiscusstair/hibiscusstair/quarantine"
	"github.com/hibiscusstair/hibiscusstair/ratelimit"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/relay"
	"github.com/hibiscusstair/hibiscusstair/revive"
	"github.com/hibiscusstair/hibiscusstair/rollout"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/storesync"
	"github.com/hibiscusstair/hibiscusstair/telemetry"
	"github.com/hibiscusstair/hibiscusstair/upstream"
)

const (
	// memoryLimitFraction is the part of Settings.MemoryBytes that becomes the memory
	// limit of the Go runtime.
	memoryLimitFraction = 0.7
	// deregistrationDelay is how long connections are still accepted after the stop
	// signal. The external load balancer removes an instance after two failed
	// probes, one per second.
	deregistrationDelay = 2500 * time.Millisecond
	// exitReserve is the part of the stop timeout that is reserved for closing the
	// listeners and exiting.
	exitReserve = 400 * time.Millisecond
	// defaultStopTimeout applies if the settings have none.
	defaultStopTimeout = 8 * time.Second
	// stopPollInterval is how often running requests are counted during a graceful
	// stop.
	stopPollInterval = 50 * time.Millisecond
	// housekeepingInterval is how often idle connections are closed and lapsed
	// registrations are removed.
	housekeepingInterval = 500 * time.Millisecond
	// readHeaderTimeout and maxHeaderBytes limit the header of a request, before
	// its route is known. They are not lower than the limits of any configuration.
	readHeaderTimeout = 3 * time.Second
	maxHeaderBytes    = 64 << 10
	// idleTimeout is longer than the idle timeout that configurations state to
	// callers, so that no request is sent on a connection that is being closed.
	idleTimeout = 2 * time.Minute
	// minActivationForRegionReaders is the time to activate a configuration from which on
	// the configuration may take one more hop between instances.
	minActivationForRegionReaders = 3500 * time.Millisecond
	// retryBudgetFraction is the part of the fleet's retry budget that is used. The
	// rest is a reserve: counts of live instances may be out of date, and callers'
	// requests move between instances.
	retryBudgetFraction = 0.8
	// defaultRetryRatio and defaultRetryBaseline apply if the settings limit no retries.
	// They keep failures from multiplying the load.
	defaultRetryRatio    = 0.5
	defaultRetryBaseline = 100
)

// Options configures a Gateway.
type Options struct {
	Settings Settings
	// SettingsFile is read again on a signal of ReloadSignals and when it changes.
	SettingsFile   SettingsFile
	ReloadSignals  <-chan os.Signal
	Protocol       forward.Protocol
	Store          Store
	RolloutStore   rollout.Store           // needed if the settings enable rollouts
	RefusalStore   quarantine.RefusalStore // nil: refusals end with the instances
	PartLister     prefixcache.PartLister
	IdentityClient revive.IdentityClient
	EngineClient   loadprobe.EngineClient
	// DecodeTable decodes a configuration that was received from another instance.
	DecodeTable func(document []byte) (*routing.Table, error)
	Log         *slog.Logger
	Metrics     *telemetry.Metrics
}

// Store is a client of the platform's store.
type Store interface {
	storesync.Store
	// SetAddress changes the address to which further calls are sent.
	SetAddress(address netip.AddrPort)
}

// Gateway is an instance that forwards callers' requests to endpoints by the
// operator's routing table.
type Gateway struct {
	o               Options
	settings        atomic.Pointer[Settings] // active settings, which can change while the instance runs
	table           *routing.CurrentTable
	registry        *registry.Registry
	balancer        *balance.Balancer
	pool            *upstream.Pool
	follower        *storesync.Follower
	restartDetector *revive.RestartDetector
	quarantine      *quarantine.Runner
	limiter         *ratelimit.Limiter
	overflow        *overflow.Runner // nil if requests don't leave the zone by need
	loadProber      *loadprobe.Prober
	rollouts        *rollout.Runner // nil if the settings do not enable them
	relayCache      *relay.Cache
	peerClients     *peer.Clients
	fleet           *fleet.Runner // nil if other instances cannot call this one
	retryBudget     *forward.RetryBudget
	admission       *admission.Runner // nil if requests don't wait for engines
	forwarder       *forward.Handler
	startedAt       time.Time
	memberHistory   memberHistory
	newerTables     chan newerTable
	membersKnown    chan struct{} // closed when another instance has sent its member table
	// stopDeadline is the time by the boot clock at which the process exits, in
	// nanoseconds; 0 if the instance is not stopping.
	stopDeadline atomic.Int64
}

// New builds an instance. It opens no listener; Run does.
func New(o Options) (*Gateway, error) {
	g := &Gateway{o: o, startedAt: time.Now(), table: &routing.CurrentTable{}, newerTables: make(chan newerTable, 1), membersKnown: make(chan struct{})}
	clock := bootclock.Now
	s := o.Settings
	g.settings.Store(&s)
	g.memberHistory.recent = fleet.NewRecentMembers(s.Instance, 0)
	scope := o.Metrics.Scope
	g.pool = upstream.New(upstream.Options{Clock: clock, SocketBufferBytes: s.socketBufferBytes()})
	g.balancer = balance.New(balance.Options{
		CoreOptions: balance.CoreOptions{Instance: s.Instance, Place: s.Place, Regions: s.Regions, Versioned: s.Rollouts.Enabled, OnSuspect: g.reportSuspectedEndpoint, LoadControl: s.LoadControl, ZoneOverflow: s.overflows()},
		Clock:       clock, Log: o.Log, Scope: scope.SubScope("balance"),
	})
	g.registry = registry.New(registry.Options{
		Clock: clock, Log: o.Log, Scope: scope.SubScope("registry"), OnChange: g.applyEndpointChange,
	})
	g.relayCache = relay.NewCache(scope.SubScope("relay"))
	g.peerClients = peer.NewClients(s.PeerSecret, scope.SubScope("peer"))
	g.follower = storesync.New(storesync.Options{
		Store: g.newStoreReader(), Table: g.table, Registry: g.registry, Recorder: g.relayCache,
		TableActivation: s.TableActivation, Clock: clock, Log: o.Log, Scope: scope.SubScope("storesync"),
		OnTable: g.listServices, OnRestore: func() { g.quarantine.StoreRestored() },
	})
	g.relayCache.SetContacts(g.follower.TableContact(), g.follower.EndpointContact())
	g.quarantine = quarantine.New(quarantine.Options{
		Self: o.Settings.Instance, Members: g.knownMembers,
		Clock: clock, Log: o.Log, Scope: scope.SubScope("quarantine"), OnUrgent: g.sendDeltas,
		Store: o.RefusalStore, NothingStored: g.isFirstStart,
	})
	g.limiter = g.newLimiter()
	if s.Rollouts.Enabled {
		g.rollouts = g.newRollouts()
	}
	if s.overflows() {
		g.overflow = g.newOverflow()
	}
	if err := g.buildFleet(); err != nil {
		return nil, err
	}
	g.restartDetector = revive.New(revive.Options{
		Client: o.IdentityClient, Table: g.table, Registry: g.registry, StoreUnreachable: g.follower.EndpointContact().Lost,
		TableConfirmed: g.tableConfirmed, Versioned: s.Rollouts.Enabled, Clock: clock, Log: o.Log, Scope: scope.SubScope("revive"),
	})
	g.loadProber = loadprobe.New(loadprobe.Options{
		Client: o.EngineClient, Balance: g.balancer, Clock: clock, Log: o.Log, Scope: scope.SubScope("loadprobe"),
	})
	promptIndex := prefixcache.New(prefixcache.Options{
		Lister: o.PartLister, Engines: g.balancer.PreferredEndpoints, Clock: clock, Log: o.Log, Scope: scope.SubScope("prefixcache"),
	})
	ratio, baseline := s.retryLimits()
	g.retryBudget = forward.NewRetryBudget(forward.RetryBudgetOptions{
		Ratio: ratio, Baseline: baseline, Window: s.RetryWindow, InstanceCount: g.liveInstanceCount,
	})
	if s.LoadControl {
		g.admission = admission.New(admission.Options{Clock: clock, Log: o.Log, Scope: scope.SubScope("admission")})
	}
	g.forwarder = forward.New(forward.Options{
		Protocol: o.Protocol, Table: g.table, Balance: g.balancer, Pool: g.pool, PromptIndex: promptIndex, LoadProber: g.loadProber, Quarantine: g.quarantine,
		RetryBudget: g.retryBudget, Admission: g.admission,
		Permits: g.limiter, OnLeaving: g.recordLeaving, OnMisdirected: g.recordAnswer,
		Rollouts: g.rolloutSelector(), OnCrash: g.recordCrash,
		Clock: clock, Log: o.Log, Scope: scope.SubScope("forward"), Stopping: g.stopping,
		Synced:      g.follower.Synced(),
		TableStale:  g.tableStale,
		MemoryBytes: func() int64 { return g.settings.Load().MemoryBytes }, BoundSlowReaders: s.LoadControl,
	})
	return g, nil
}

func (g *Gateway) newLimiter() *ratelimit.Limiter {
	return ratelimit.New(ratelimit.Options{
		Self: g.o.Settings.Instance, Members: g.knownMembers, PermitClient: g.peerClients.Permits,
		OnChange: func(e ratelimit.Endpoint, limited bool) { g.balancer.SetLimited(e.ID, e.Incarnation, limited) },
		OnUrgent: g.sendDeltas, Clock: bootclock.Now, Log: g.o.Log, Scope: g.o.Metrics.Scope.SubScope("ratelimit"),
	})
}

// newStoreReader returns the reader of the store. If other instances can call this
// one, the store is read through another instance of the failure domain if there
// is one.
func (g *Gateway) newStoreReader() storesync.Store {
	s := g.o.Settings
	if !s.PeerListen.IsValid() {
		return g.o.Store
	}
	return relay.NewSource(relay.SourceOptions{
		Self:          api.Member{ID: s.Instance, Address: s.PeerListen.String(), Place: s.Place, LinkMbps: s.LinkMbps},
		DirectStore:   g.o.Store,
		Members:       g.knownMembers,
		MembersKnown:  g.fleetJoined(),
		SeedAddresses: g.seedAddresses,
		FirstStart:    s.FirstStart,
		RegionReaders: s.TableActivation >= minActivationForRegionReaders, TableActivation: s.TableActivation,
		RelayClient:        g.peerClients.Relay,
		DecodeTable:        g.o.DecodeTable,
		UntilTableRead:     func() time.Duration { return g.follower.TableContact().UntilOwnRead() },
		UntilEndpointsRead: func() time.Duration { return g.follower.EndpointContact().UntilOwnRead() },
		AcceptStale:        func() bool { return g.table.Load() == nil || !g.follower.HasCurrentList() },
		Clock:              bootclock.Now, Log: g.o.Log, Scope: g.o.Metrics.Scope.SubScope("relay"),
	})
}

func (g *Gateway) buildFleet() (err error) {
	s := g.o.Settings
	if !s.PeerListen.IsValid() {
		return nil
	}
	incarnation := uint64(time.Now().UnixMilli())
	sources := []fleet.DeltaSource{g.limiter, g.quarantine}
	if g.overflow != nil {
		sources = append(sources, g.overflow)
	}
	g.fleet, err = fleet.New(fleet.Options{
		Instance: s.Instance, Incarnation: incarnation, Place: s.Place, Address: s.PeerListen.String(), LinkMbps: s.LinkMbps,
		SeedAddresses: g.seedAddresses(), Store: noRegistrations{}, Clients: g.peerClients, Tickets: configVersions{g}, ExpelMode: "manual",
		DeltaSources: sources, OnFullTable: func() { close(g.membersKnown) },
		Log: g.o.Log, Scope: g.o.Metrics.Scope.SubScope("fleet"), Clock: bootclock.Now, Seed: incarnation,
	})
	return err
}

// sendDeltas sends changes of the delta sources to other instances at once.
func (g *Gateway) sendDeltas() {
	if g.fleet != nil {
		g.fleet.SendDeltas()
	}
}

// knownMembers returns the known instances. The store reader may call it before the
// fleet component is built.
func (g *Gateway) knownMembers() []api.Member {
	if g.fleet == nil {
		return nil
	}
	return g.fleet.Members()
}

// fleetJoined returns a channel that is closed when another instance has sent its member
// table, or nil if no other instance is configured.
func (g *Gateway) fleetJoined() <-chan struct{} {
	if len(g.seedAddresses()) == 0 {
		return nil
	}
	return g.membersKnown
}

// liveInstanceCount returns the number of live instances, including this one.
func (g *Gateway) liveInstanceCount() int {
	if g.fleet == nil {
		return 1
	}
	return g.fleet.LiveCount("")
}

// tableStale reports whether a configuration that this instance does not have may be in
// force.
func (g *Gateway) tableStale() bool {
	activation := g.settings.Load().TableActivation
	return activation > 0 && g.follower.TableContact().Age() > activation
}

// seedAddresses returns the configured peer addresses except this instance's own.
func (g *Gateway) seedAddresses() []string {
	s := g.settings.Load()
	seeds := make([]string, 0, len(s.Peers))
	for _, address := range s.Peers {
		if address != s.PeerListen {
			seeds = append(seeds, address.String())
		}
	}
	return seeds
}

// applyEndpointChange passes a change of the registry to the components that keep
// state of endpoints.
func (g *Gateway) applyEndpointChange(change registry.Change) {
	g.balancer.Apply(change)
	if change.Kind == registry.Added && g.limiter.Limited(change.Endpoint) {
		g.balancer.SetLimited(change.Endpoint.ID, change.Endpoint.Incarnation, true)
	}
	if change.Kind == registry.Gone && !change.Reassigned {
		g.pool.CloseIdle(change.Endpoint)
		g.loadProber.Forget(change.Endpoint.ID)
		g.limiter.Forget(change.Endpoint)
		g.forwarder.EndpointGone(change.Endpoint, change.Refuted)
	}
	if g.rollouts != nil {
		g.rollouts.ApplyChange(change)
	}
}

// listServices tells the registry the services of a configuration that becomes active.
func (g *Gateway) listServices(table *routing.Table) {
	g.registry.Apply(registry.ServicesListed{Version: table.Version, Services: slices.Collect(maps.Keys(table.Services))})
}

// recordLeaving records that an endpoint has said that it leaves.
func (g *Gateway) recordLeaving(endpoint registry.Endpoint) {
	g.registry.Apply(registry.LeavingObserved{ID: endpoint.ID, Incarnation: endpoint.Incarnation})
}

// recordAnswer records that another endpoint has answered at the address of an endpoint. It
// reports whether the endpoint never had the address.
func (g *Gateway) recordAnswer(asked registry.Endpoint, by api.EndpointID) (refuted bool) {
	return g.registry.ApplyAnswer(registry.AddressAnswered{Asked: asked, By: by})
}

func (g *Gateway) reportSuspectedEndpoint(endpoint registry.Endpoint) {
	g.restartDetector.ReportFailure(endpoint)
}

// serveReady responds to the readiness probe of the external load balancer.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Ready reports whether the instance should receive new connections.
func (g *Gateway) Ready() bool {
	stopping, _ := g.stopping()
	return !stopping && g.table.Load() != nil && g.registry.Len() > 0
}

// runHousekeeping closes idle connections, removes registrations whose grace period after
// a store outage is over, and records which other instances are alive.
func (g *Gateway) runHousekeeping(ctx context.Context) error {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			g.pool.CloseExpired()
			g.registry.Apply(registry.Tick{})
			g.updateMemberHistory()
		}
	}
}
