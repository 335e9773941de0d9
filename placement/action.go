package placement

import (
	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// Action is an output of the core.
type Action interface{ action() }

// PlacementGranted reports the grant for a PlacementRequested.
type PlacementGranted struct{ Grant api.Grant }

// PlacementRefused reports the refusal of a PlacementRequested.
type PlacementRefused struct {
	ID  uint64
	Err *reason.Error
}

// StartProbe requests a health check of the endpoint over a new connection.
type StartProbe struct {
	Endpoint api.Endpoint
	ProbeID  uint64
}

// PollLoad requests the load report of an engine.
type PollLoad struct{ Endpoint api.Endpoint }

// PollCacheEvents requests the cache events of an engine after a sequence number.
type PollCacheEvents struct {
	Endpoint      api.Endpoint
	AfterSequence uint64
}

// HealthChanged reports the new state of an endpoint.
type HealthChanged struct {
	Endpoint api.EndpointID
	State    State
	Reason   reason.Reason
}

func (PlacementGranted) action() {}
func (PlacementRefused) action() {}
func (StartProbe) action()       {}
func (PollLoad) action()         {}
func (PollCacheEvents) action()  {}
func (HealthChanged) action()    {}
