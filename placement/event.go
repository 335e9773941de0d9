package placement

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// Event is an input of the core.
type Event interface{ event() }

// Tick triggers everything that is due: probes, polls, the expiry of
// waiting requests, and attempts to place them.
type Tick struct{}

// ConfigChanged replaces the configuration.
type ConfigChanged struct{ Config *api.Config }

// PlacementRequested requests a grant. The caller chooses the identifier, which
// becomes that of the grant.
type PlacementRequested struct {
	ID      uint64
	Request api.PlacementRequest
	// Deadline is the time on the boot clock by which the response has to be
	// complete; 0 is none. A waiting request is refused once it is expected to miss
	// its deadline.
	Deadline time.Duration
}

// PlacementCancelled cancels a waiting request, or releases its grant if there is
// one already. The caller must not have sent anything to the endpoint.
type PlacementCancelled struct{ ID uint64 }

// TokensDelivered reports further tokens that were delivered for a grant.
type TokensDelivered struct {
	ID     uint64
	Tokens int
}

// GrantReleased ends a grant.
type GrantReleased struct {
	ID      uint64
	Outcome api.Outcome
}

// EndpointSilent reports that an endpoint sent no data within the idle timeout of
// a stream.
type EndpointSilent struct{ Endpoint api.EndpointID }

// ProbeEnded is the result of a StartProbe.
type ProbeEnded struct {
	Endpoint api.EndpointID
	ProbeID  uint64
	Alive    bool
}

// LoadReported is the load report of an engine about itself.
type LoadReported struct {
	Endpoint api.EndpointID
	// Running is the number of generations of all instances that run or wait on
	// the engine, and OutstandingTokens the tokens that they may still generate.
	Running           int
	OutstandingTokens int
	// Draining is set if the engine accepts no new work.
	Draining bool
	// Age is the age of the report when it was received.
	Age time.Duration
}

// PollFailed reports that an engine didn't respond to a poll.
type PollFailed struct{ Endpoint api.EndpointID }

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64
	Block    uint64
	Evicted  bool
}

// CacheEventsReported contains the cache events after the last known one, in order.
type CacheEventsReported struct {
	Endpoint api.EndpointID
	Events   []CacheEvent
}

// PeerLoad is the load of one endpoint as last observed by an instance. Running and
// OutstandingTokens are those of a LoadReported.
type PeerLoad struct {
	Endpoint          api.EndpointID
	Instance          api.InstanceID
	Running           int
	OutstandingTokens int
	// Version is the wall clock time of the observation in milliseconds since the
	// Unix epoch.
	Version uint64
	Dead    bool
}

// PeerLoadsReceived contains endpoint loads from a peer.
type PeerLoadsReceived struct{ Loads []PeerLoad }

// FleetResized sets the number of instances that share the polls of engines, and
// this instance's share of the billed link.
type FleetResized struct {
	Instances          int
	LinkBytesPerSecond float64
}

func (Tick) event()                {}
func (ConfigChanged) event()       {}
func (PlacementRequested) event()  {}
func (PlacementCancelled) event()  {}
func (TokensDelivered) event()     {}
func (GrantReleased) event()       {}
func (EndpointSilent) event()      {}
func (ProbeEnded) event()          {}
func (LoadReported) event()        {}
func (PollFailed) event()          {}
func (CacheEventsReported) event() {}
func (PeerLoadsReceived) event()   {}
func (FleetResized) event()        {}
