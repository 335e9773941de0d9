package limits

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// Event is an input of the core.
type Event interface{ event() }

// Tick lets the core act on the time that has passed.
type Tick struct{}

// ConfigChanged hands over a new configuration.
type ConfigChanged struct{ Config *api.Config }

// FleetResized sets the number of live instances of the half.
type FleetResized struct{ Instances int }

// AdmissionRequested asks whether a request may enter. The identifier is chosen by
// the caller and becomes the admission's.
type AdmissionRequested struct {
	ID      uint64
	Request api.AdmissionRequest
}

// AdmissionReleased ends an admission.
type AdmissionReleased struct{ ID uint64 }

// RetryRequested asks for a retry from the budget.
type RetryRequested struct {
	ID       uint64
	Priority api.Priority
}

// QueueDelayMeasured reports how long the first waiting request of each kind of
// generation has waited for an endpoint.
type QueueDelayMeasured struct {
	Interactive time.Duration
	Draft       time.Duration
}

// PeerUsage is the demand that one instance sees of one client account.
type PeerUsage struct {
	Account  api.AccountID
	Instance api.InstanceID
	Rate     float64
	Tokens   int
	// Version grows with each observation of the instance.
	Version uint64
}

// PeerUsageReceived hands over usage from a peer. An empty list is a sign of contact.
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

// RequestAdmitted answers an AdmissionRequested.
type RequestAdmitted struct{ Admission api.Admission }

// RequestRefused answers an AdmissionRequested with a refusal.
type RequestRefused struct {
	ID  uint64
	Err *reason.Error
}

// RetryDecided answers a RetryRequested.
type RetryDecided struct {
	ID      uint64
	Allowed bool
}

func (RequestAdmitted) action() {}
func (RequestRefused) action()  {}
func (RetryDecided) action()    {}
