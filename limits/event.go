package limits

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// Event is an input of the core.
type Event interface{ event() }

// Tick lets the core remove expired state.
type Tick struct{}

// ConfigChanged carries a new configuration.
type ConfigChanged struct{ Config *api.Config }

// FleetResized carries the number of live instances of this instance's half of
// the organisation.
type FleetResized struct{ Instances int }

// AdmissionRequested asks for the admission of a request. The caller chooses the
// identifier, which becomes that of the admission.
type AdmissionRequested struct {
	ID      uint64
	Request api.AdmissionRequest
}

// AdmissionReleased ends an admission.
type AdmissionReleased struct{ ID uint64 }

// RetryRequested asks whether the retry budget allows a retry.
type RetryRequested struct {
	ID       uint64
	Priority api.Priority
}

// QueueDelayMeasured carries the queueing delay of each priority of generations:
// how long the first waiting request has waited for an endpoint.
type QueueDelayMeasured struct {
	Interactive time.Duration
	Draft       time.Duration
}

// PeerUsage is a usage entry: the demand of one client account at one instance.
type PeerUsage struct {
	Account  api.AccountID
	Instance api.InstanceID
	Rate     float64 // requests per second
	Tokens   int     // tokens in flight plus tokens refused recently
	// Version grows with each entry that the instance publishes.
	Version uint64
}

// PeerUsageReceived carries usage entries from a peer. An empty list also shows
// that there is contact.
type PeerUsageReceived struct{ Usage []PeerUsage }

func (Tick) event()               {}
func (ConfigChanged) event()      {}
func (FleetResized) event()       {}
func (AdmissionRequested) event() {}
func (AdmissionReleased) event()  {}
func (RetryRequested) event()     {}
func (QueueDelayMeasured) event() {}
func (PeerUsageReceived) event()  {}

// Action is an output of the core.
type Action interface{ action() }

// RequestAdmitted is the reply to an AdmissionRequested that admits the request.
type RequestAdmitted struct{ Admission api.Admission }

// RequestRefused is the reply to an AdmissionRequested that refuses the request.
type RequestRefused struct {
	ID  uint64
	Err *reason.Error
}

// RetryDecided is the reply to a RetryRequested.
type RetryDecided struct {
	ID      uint64
	Allowed bool
}

func (RequestAdmitted) action() {}
func (RequestRefused) action()  {}
func (RetryDecided) action()    {}
