package placement

import (
	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// Action is an output of the core.
type Action interface{ action() }

// Granted answers a PlaceRequested with a grant.
type Granted struct{ Grant api.Grant }

// Refused answers a PlaceRequested with a refusal.
type Refused struct {
	ID  uint64
	Err *reason.Error
}

// Probe asks for a check over a new connection.
type Probe struct {
	Endpoint api.Endpoint
	Probe    uint64
}

// PollLoad asks for the load report of an engine.
type PollLoad struct{ Endpoint api.Endpoint }

// PollCache asks for the cache events of an engine after a sequence number.
type PollCache struct {
	Endpoint api.Endpoint
	After    uint64
}

// HealthChanged reports the new state of an endpoint.
type HealthChanged struct {
	Endpoint api.EndpointID
	State    State
	Reason   reason.Reason
}

func (Granted) action()       {}
func (Refused) action()       {}
func (Probe) action()         {}
func (PollLoad) action()      {}
func (PollCache) action()     {}
func (HealthChanged) action() {}
