package placement

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// Event is an input of the core.
type Event interface{ event() }

// Tick lets the core act on the time that has passed.
type Tick struct{}

// ConfigChanged hands over a new configuration.
type ConfigChanged struct{ Config *api.Config }

// PlacementRequested asks for a grant. The identifier is chosen by the caller and
// becomes the grant's.
type PlacementRequested struct {
	ID      uint64
	Request api.PlacementRequest
	// Deadline is the latest time at which the work may start; 0 is none.
	Deadline time.Duration
}

// PlacementCancelled withdraws a request that is waiting, or releases its grant if
// the grant was made already. Nothing was sent to the endpoint.
type PlacementCancelled struct{ ID uint64 }

// TokensDelivered reports tokens that the work of a grant has delivered.
type TokensDelivered struct {
	ID     uint64
	Tokens int
}

// GrantReleased ends a grant.
type GrantReleased struct {
	ID      uint64
	Outcome api.Outcome
}

// EndpointSilent reports that an endpoint was silent beyond a stream's bound.
type EndpointSilent struct{ Endpoint api.EndpointID }

// ProbeEnded is the result of a Probe.
type ProbeEnded struct {
	Endpoint api.EndpointID
	ProbeID  uint64
	Alive    bool
}

// LoadReported is an engine's own load report.
type LoadReported struct {
	Endpoint api.EndpointID
	// Running counts the generations that run or wait on the engine.
	Running int
	Tokens  int
	// Draining says that the engine takes no new work.
	Draining bool
	// Age is how long before its arrival the report was true.
	Age time.Duration
}

// PollFailed reports that an engine did not answer a poll.
type PollFailed struct{ Endpoint api.EndpointID }

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64
	Block    uint64
	Evicted  bool
}

// CacheReported has the events that followed the last known one, in order.
type CacheReported struct {
	Endpoint            api.EndpointID
	CacheEventsReported []CacheEvent
}

// PeerLoad is the load of one endpoint as an instance last saw it.
type PeerLoad struct {
	Endpoint api.EndpointID
	Instance api.InstanceID
	Running  int
	Tokens   int
	// Version is the wall clock time of the observation in milliseconds.
	Version uint64
	Dead    bool
}

// PeerLoadsReceived hands over loads from a peer.
type PeerLoadsReceived struct{ Loads []PeerLoad }

// FleetResized sets the number of instances that share polling and the link.
type FleetResized struct {
	Instances          int
	LinkBytesPerSecond float64
}

func (Tick) event()               {}
func (ConfigChanged) event()      {}
func (PlacementRequested) event() {}
func (PlacementCancelled) event() {}
func (TokensDelivered) event()    {}
func (GrantReleased) event()      {}
func (EndpointSilent) event()     {}
func (ProbeEnded) event()         {}
func (LoadReported) event()       {}
func (PollFailed) event()         {}
func (CacheReported) event()      {}
func (PeerLoadsReceived) event()  {}
func (FleetResized) event()       {}
