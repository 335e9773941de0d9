package instance

import (
	"context"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/enginectl"
	"github.com/hibiscusstair/hibiscusstair/fleet"
	"github.com/hibiscusstair/hibiscusstair/generation"
	"github.com/hibiscusstair/hibiscusstair/limits"
	"github.com/hibiscusstair/hibiscusstair/order"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/placement"
	"github.com/hibiscusstair/hibiscusstair/settings"
	"github.com/hibiscusstair/hibiscusstair/store"
	"github.com/hibiscusstair/hibiscusstair/suspect"
	"github.com/hibiscusstair/hibiscusstair/ticket"
)

func (i *Instance) buildStore() (err error) {
	i.clients = peer.NewClients(i.settings.PeerSecret, i.scope("peer"))
	i.store, err = store.New(store.Options{
		URL:     i.settings.StoreURL,
		Timeout: i.settings.StoreTimeout,
		Scope:   i.scope("store"),
	})
	return err
}

func (i *Instance) buildTicket() (err error) {
	i.ticket, err = ticket.New(ticket.Options{
		Instance:            i.settings.Instance,
		Half:                i.settings.Half,
		Place:               i.settings.Place,
		Address:             i.settings.PeerListen.String(),
		Store:               i.store,
		Members:             func() []api.Member { return i.fleet.Members() },
		Incarnation:         func() uint64 { return i.fleet.Incarnation() },
		WatchesStore:        func() bool { return i.fleet.WatchesStore() },
		Clients:             i.clients,
		RunningRequests:     i.runningRequests,
		Expel:               func(ctx context.Context, id api.InstanceID) error { return i.fleet.Expel(ctx, id) },
		OperatorTokenSHA256: i.settings.OperatorTokenSHA256,
		MaxBodyBytes:        i.settings.MaxBodyBytes,
		Log:                 i.log,
		Scope:               i.scope("ticket"),
		Clock:               clock,
		Seed:                i.incarnation,
	})
	return err
}

// runningRequests returns the number of requests that run on an endpoint. A stream
// that was reattached after another instance crashed has no grant in placement, so
// the higher of both counts is used.
func (i *Instance) runningRequests(id api.EndpointID) int {
	return max(i.placement.ActiveGrants(id), i.generation.OpenStreams(id))
}

func (i *Instance) buildFleet() (err error) {
	i.fleet, err = fleet.New(fleet.Options{
		Instance:      i.settings.Instance,
		Incarnation:   i.incarnation,
		Half:          i.settings.Half,
		Place:         i.settings.Place,
		Address:       i.settings.PeerListen.String(),
		SeedAddresses: i.seedAddresses(),
		Store:         i.store,
		Clients:       i.clients,
		DeltaSources:  []fleet.DeltaSource{i.placement, i.limits, i.crashMarks},
		Tickets:       i.ticket,
		ExpelMode:     string(i.settings.Expel),
		Log:           i.log,
		Scope:         i.scope("fleet"),
		Clock:         clock,
		Seed:          i.incarnation,
	})
	return err
}

func (i *Instance) buildPlacement() (err error) {
	i.placement, err = placement.New(placement.Options{
		Instance:          i.settings.Instance,
		Half:              i.settings.Half,
		Place:             i.settings.Place,
		Config:            i.config,
		LinkBitsPerSecond: i.settings.LinkBitsPerSecond,
		InstanceCount:     i.liveInstanceCount,
		Log:               i.log,
		Scope:             i.scope("placement"),
		Clock:             clock,
		Seed:              i.incarnation,
	})
	return err
}

// liveInstanceCount returns the number of live instances of the half. It is
// first called by placement.New, before the fleet component exists.
func (i *Instance) liveInstanceCount() int {
	if i.fleet == nil {
		return 1
	}
	return i.fleet.LiveCount(i.settings.Half)
}

func (i *Instance) buildLimits() (err error) {
	i.limits, err = limits.New(limits.Options{
		Instance:      i.settings.Instance,
		Config:        i.config,
		InstanceCount: i.liveInstanceCount,
		// Load is shed when this delay grows; without it, none is shed.
		QueueDelay: i.placement.QueueDelay,
		Log:        i.log,
		Scope:      i.scope("limits"),
		Clock:      clock,
	})
	return err
}

func (i *Instance) buildGeneration() (err error) {
	mode, baseline := generationRecovery(i.settings.Recovery)
	i.generation, err = generation.New(generation.Options{
		Instance:          i.settings.Instance,
		Half:              i.settings.Half,
		Place:             i.settings.Place,
		Config:            i.config,
		CheckServing:      i.checkServing,
		Placer:            i.placement,
		Admitter:          i.limits,
		Marks:             i.crashMarks,
		Peers:             peerDirectory{i},
		Recovery:          mode,
		Baseline:          baseline,
		RequestTimeout:    i.settings.RequestTimeout,
		MaxTimeout:        i.settings.MaxTimeout,
		SlowCallerTimeout: i.settings.SlowCallerTimeout,
		MaxBodyBytes:      i.settings.MaxBodyBytes,
		MaxTokens:         i.settings.MaxTokens,
		Log:               i.log,
		Scope:             i.scope("generation"),
		Clock:             clock,
	})
	return err
}

// generationRecovery returns the mode and the baseline of the generation component
// for a setting. Baselines are variants of the sparing mode.
func generationRecovery(mode settings.RecoveryMode) (string, string) {
	switch mode {
	case settings.RecoveryStartOver:
		return generation.RecoverySparing, generation.BaselineStartOver
	case settings.RecoveryFixedTimeout:
		return generation.RecoverySparing, generation.BaselineFixedTimeout
	default:
		return string(mode), ""
	}
}

func (i *Instance) buildOrder() (err error) {
	i.order, err = order.New(order.Options{
		Instance:       i.settings.Instance,
		Incarnation:    i.incarnation,
		Half:           i.settings.Half,
		Place:          i.settings.Place,
		Config:         i.config,
		CheckServing:   i.checkServing,
		Store:          i.store,
		Placer:         i.placement,
		Admitter:       i.limits,
		RequestTimeout: i.settings.RequestTimeout,
		MaxTimeout:     i.settings.MaxTimeout,
		MaxBodyBytes:   i.settings.MaxBodyBytes,
		Log:            i.log,
		Scope:          i.scope("order"),
		Clock:          clock,
	})
	return err
}

func (i *Instance) buildEngineControl() (err error) {
	i.enginectl, err = enginectl.New(enginectl.Options{
		Instance:             i.settings.Instance,
		Half:                 i.settings.Half,
		Config:               i.config,
		CheckServing:         i.checkServing,
		Store:                i.store,
		WeightLoadsPerMinute: i.settings.WeightLoadsPerMinute,
		Log:                  i.log,
		Scope:                i.scope("enginectl"),
		Clock:                clock,
	})
	return err
}

func (i *Instance) registerCallerRoutes() {
	i.callerMux.Handle("POST /v1/completions", i.generation.Handler())
	i.order.Register(i.callerMux)
}

// peerDirectory provides the other live instances to the generation component.
type peerDirectory struct{ *Instance }

func (p peerDirectory) Live() []generation.PeerInfo {
	var live []generation.PeerInfo
	for _, member := range p.fleet.Members() {
		if member.State != api.MemberAlive || member.ID == p.settings.Instance {
			continue
		}
		live = append(live, generation.PeerInfo{ID: member.ID, Address: member.Address, Place: member.Place})
	}
	return live
}

func (p peerDirectory) Client(address string) peerpb.Peer { return p.clients.Client(address) }

// seedAddresses returns the configured peer addresses as text.
func (i *Instance) seedAddresses() []string {
	var seeds []string
	for _, address := range i.settings.Peers {
		seeds = append(seeds, address.String())
	}
	return seeds
}

func (i *Instance) buildCrashMarks() (err error) {
	i.crashMarks, err = suspect.New(suspect.Options{
		Store: i.store,
		Log:   i.log,
		Scope: i.scope("suspect"),
		Clock: clock,
	})
	return err
}
