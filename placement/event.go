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

// PlaceRequested asks for a grant. The identifier is chosen by the caller and
// becomes the grant's.
type PlaceRequested struct {
	ID      uint64
	Request api.PlacementRequest
	// Deadline is the latest time at which the work may start; 0 is none.
	Deadline time.Duration
}

// PlaceCancelled withdraws a request that is waiting, or releases its grant if
// the grant was made already.
type PlaceCancelled struct{ ID uint64 }

// Progressed reports tokens that the work of a grant has delivered.
type Progressed struct {
	ID     uint64
	Tokens int
}

// Released ends a grant.
type Released struct {
	ID      uint64
	Outcome api.Outcome
}

// WentSilent reports that an endpoint was silent beyond a stream's bound.
type WentSilent struct{ Endpoint api.EndpointID }

func (Tick) event()           {}
func (ConfigChanged) event()  {}
func (PlaceRequested) event() {}
func (PlaceCancelled) event() {}
func (Progressed) event()     {}
func (Released) event()       {}
func (WentSilent) event()     {}
