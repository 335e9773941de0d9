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

// FleetSized sets the number of live instances of the half.
type FleetSized struct{ Instances int }

// AdmitRequested asks whether a request may enter. The identifier is chosen by
// the caller and becomes the admission's.
type AdmitRequested struct {
	ID      uint64
	Request api.AdmissionRequest
}

// Released ends an admission.
type Released struct{ ID uint64 }

// RetryRequested asks for a retry from the budget.
type RetryRequested struct {
	ID       uint64
	Priority api.Priority
}

// QueueDelayed reports how long the first waiting request of each kind of
// generation has waited for an endpoint.
type QueueDelayed struct {
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

// UsageMerged hands over usage from a peer. An empty list is a sign of contact.
type UsageMerged struct{ Usage []PeerUsage }

func (Tick) event()           {}
func (ConfigChanged) event()  {}
func (FleetSized) event()     {}
func (AdmitRequested) event() {}
func (Released) event()       {}
func (RetryRequested) event() {}
func (QueueDelayed) event()   {}
func (UsageMerged) event()    {}

// Action is an output of the core.
type Action interface{ action() }

// Admitted answers an AdmitRequested.
type Admitted struct{ Admission api.Admission }

// Refused answers an AdmitRequested with a refusal.
type Refused struct {
	ID  uint64
	Err *reason.Error
}

// RetryAnswered answers a RetryRequested.
type RetryAnswered struct {
	ID      uint64
	Allowed bool
}

func (Admitted) action()      {}
func (Refused) action()       {}
func (RetryAnswered) action() {}
