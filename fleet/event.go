package fleet

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// Event is an input of the core.
type Event interface{ event() }

// Tick drives the timers.
type Tick struct{}

// ExchangeIn is an exchange that a peer sent; the core answers with Respond.
type ExchangeIn struct{ Request *peerpb.ExchangeRequest }

// ExchangeDone is the end of an exchange that the core sent.
type ExchangeDone struct {
	To       api.InstanceID // empty for a contact whose id was not known
	Address  string
	SentAt   time.Duration
	Response *peerpb.ExchangeResponse // nil after an error
}

// ProbeDone is the end of a probe.
type ProbeDone struct {
	To          api.InstanceID
	Incarnation uint64
	SentAt      time.Duration
	OK          bool
}

// InstanceListDone is the platform's list of instances, or a failed attempt to read it.
type InstanceListDone struct {
	RequestedAt time.Duration // when the call was sent
	Instances   []ListedInstance
	OK          bool
}

// ListedInstance is an entry of the platform's list.
type ListedInstance struct {
	ID      api.InstanceID
	Address string
}

// RegistrationsDone are the registrations in the store.
type RegistrationsDone struct{ Registrations []Registration }

// RegisterDone is the end of an attempt to register in the store.
type RegisterDone struct {
	Incarnation uint64
	OK          bool
	// StoredIncarnation is an incarnation in the store that is at least as high as ours.
	StoredIncarnation uint64
}

// ExpelDone says that the registration of an incarnation was removed.
type ExpelDone struct {
	ID          api.InstanceID
	Incarnation uint64
	OK          bool
}

// TicketProgress tells the core how far the ticket slice is.
type TicketProgress struct {
	// Configured says that a configuration was read from the store or a peer.
	Configured   bool
	HeadVersion  uint64
	Latest       uint64
	Accepted     uint64
	Acknowledged uint64
	StoreContact time.Duration // boot clock; negative: none yet
	// Registered are the registrations that this instance's watch of the store
	// shows; nil if it does not watch. The map is not changed.
	Registered map[api.InstanceID]uint64
	// ExpelledIncarnation is the highest incarnation whose registration was removed.
	ExpelledIncarnation uint64
}

// LeaveStarted announces a graceful end; the instance takes no new work.
type LeaveStarted struct{}

// LeaveCompleted says that nothing runs any more.
type LeaveCompleted struct{}

func (Tick) event()              {}
func (ExchangeIn) event()        {}
func (ExchangeDone) event()      {}
func (ProbeDone) event()         {}
func (InstanceListDone) event()  {}
func (RegisterDone) event()      {}
func (RegistrationsDone) event() {}
func (ExpelDone) event()         {}
func (TicketProgress) event()    {}
func (LeaveStarted) event()      {}
func (LeaveCompleted) event()    {}

// Action is an output of the core.
type Action interface{ action() }

// SendExchange asks for an exchange with a peer.
type SendExchange struct {
	To      api.InstanceID
	Address string
	Request *peerpb.ExchangeRequest
}

// Respond is the answer to ExchangeIn.
type Respond struct{ Response *peerpb.ExchangeResponse }

// SendProbe asks for a probe over a new connection.
type SendProbe struct {
	To          api.InstanceID
	Incarnation uint64
	Address     string
}

// ReadInstanceList asks for the platform's list.
type ReadInstanceList struct{}

// ReadRegistrations asks for the registrations in the store.
type ReadRegistrations struct{}

// Register asks to register the incarnation in the store.
type Register struct{ Incarnation uint64 }

// Expel asks to remove the registration of an incarnation.
type Expel struct {
	ID          api.InstanceID
	Incarnation uint64
}

// NewerTicketHead says that the peer applies a newer ticket head.
type NewerTicketHead struct {
	Address     string
	HeadVersion uint64
}

// MemberChanged is a change of a member's state, for the log and the counters.
type MemberChanged struct {
	Member api.Member
	From   api.MemberState
}

// DuplicateInstance says that another process uses this instance's id.
type DuplicateInstance struct{ Address string }

// IncarnationReset says that the incarnation was expelled: the instance starts over as a
// higher one and fetches tickets before it serves.
type IncarnationReset struct{ Incarnation uint64 }

func (SendExchange) action()      {}
func (Respond) action()           {}
func (SendProbe) action()         {}
func (ReadInstanceList) action()  {}
func (Register) action()          {}
func (ReadRegistrations) action() {}
func (Expel) action()             {}
func (NewerTicketHead) action()   {}
func (MemberChanged) action()     {}
func (DuplicateInstance) action() {}
func (IncarnationReset) action()  {}
