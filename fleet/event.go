package fleet

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// Event is an input of the Core.
type Event interface{ event() }

// Tick makes the core check its timers.
type Tick struct{}

// ExchangeReceived is an exchange request from a peer; the core returns PeerResponse.
type ExchangeReceived struct{ Request *peerpb.ExchangeRequest }

// ExchangeDone is the result of a SendExchange.
type ExchangeDone struct {
	To       api.InstanceID // empty if only the address was known
	Address  string
	SentAt   time.Duration
	Response *peerpb.ExchangeResponse // nil after an error
}

// ProbeDone is the result of a SendProbe.
type ProbeDone struct {
	To          api.InstanceID
	Incarnation uint64
	SentAt      time.Duration
	OK          bool
}

// InstanceListDone is the result of a ReadInstanceList.
type InstanceListDone struct {
	RequestedAt time.Duration // when the read was sent
	Instances   []ListedInstance
	OK          bool
}

// ListedInstance is an entry of the platform's instance list.
type ListedInstance struct {
	ID      api.InstanceID
	Address string
}

// RegistrationsDone carries the registrations in the store after a successful
// ReadRegistrations.
type RegistrationsDone struct{ Registrations []Registration }

// RegisterDone is the result of a Register.
type RegisterDone struct {
	Incarnation uint64
	OK          bool
	// StoredIncarnation is set if the store already holds a registration of this
	// instance with at least the incarnation that was to be registered.
	StoredIncarnation uint64
}

// ExpelDone is the result of an Expel; OK means that no registration of the
// incarnation is left.
type ExpelDone struct {
	ID          api.InstanceID
	Incarnation uint64
	OK          bool
}

// SettingsChanged carries settings that change while the instance runs.
type SettingsChanged struct {
	SeedAddresses []string
	LinkMbps      uint32
}

// TicketStatus contains the values that the methods of TicketState return; see there.
type TicketStatus struct {
	Configured          bool // value of TicketState.Ready
	HeadVersion         uint64
	Latest              uint64
	Accepted            uint64
	Acknowledged        uint64
	StoreContact        time.Duration // boot clock time; negative: none yet
	Registrations       map[api.InstanceID]uint64
	ExpelledIncarnation uint64
}

// DeltasUrgent reports that a delta source has a change that other instances should
// receive at once.
type DeltasUrgent struct{}

// LeaveStarted begins a graceful shutdown: the instance accepts no new work.
type LeaveStarted struct{}

// LeaveCompleted reports that the instance no longer runs any work.
type LeaveCompleted struct{}

func (Tick) event()              {}
func (ExchangeReceived) event()  {}
func (ExchangeDone) event()      {}
func (ProbeDone) event()         {}
func (InstanceListDone) event()  {}
func (RegisterDone) event()      {}
func (RegistrationsDone) event() {}
func (ExpelDone) event()         {}
func (TicketStatus) event()      {}
func (DeltasUrgent) event()      {}
func (LeaveStarted) event()      {}
func (SettingsChanged) event()   {}
func (LeaveCompleted) event()    {}

// Action is an output of the Core.
type Action interface{ action() }

// SendExchange requests an exchange with a peer.
type SendExchange struct {
	To      api.InstanceID
	Address string
	Request *peerpb.ExchangeRequest
}

// PeerResponse is the response to ExchangeReceived.
type PeerResponse struct{ Response *peerpb.ExchangeResponse }

// SendProbe requests a probe over a new connection.
type SendProbe struct {
	To          api.InstanceID
	Incarnation uint64
	Address     string
}

// ReadInstanceList requests a read of the platform's instance list.
type ReadInstanceList struct{}

// ReadRegistrations requests a read of all registrations in the store.
type ReadRegistrations struct{}

// Register requests the registration of this instance's incarnation in the store.
type Register struct{ Incarnation uint64 }

// Expel requests the removal of a member's registration from the store.
type Expel struct {
	ID          api.InstanceID
	Incarnation uint64
}

// NewerTicketHead reports that a peer applies a newer ticket head.
type NewerTicketHead struct {
	Address     string
	HeadVersion uint64
}

// MemberChanged reports a change of a member's state, for logs and metrics.
type MemberChanged struct {
	Member        api.Member
	PreviousState api.MemberState
}

// DuplicateInstance reports that another process uses this instance's ID.
type DuplicateInstance struct{ Address string } // address of the other process

// IncarnationRestarted reports that this instance's incarnation is no longer valid,
// for example because it was expelled. The instance continues with a higher incarnation
// and fetches tickets before it serves.
type IncarnationRestarted struct{ Incarnation uint64 }

func (SendExchange) action()         {}
func (PeerResponse) action()         {}
func (SendProbe) action()            {}
func (ReadInstanceList) action()     {}
func (Register) action()             {}
func (ReadRegistrations) action()    {}
func (Expel) action()                {}
func (NewerTicketHead) action()      {}
func (MemberChanged) action()        {}
func (DuplicateInstance) action()    {}
func (IncarnationRestarted) action() {}
