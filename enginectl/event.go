package enginectl

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/store"
)

// Lease is the lease in the store. Only the instance that holds it sends
// commands to engines.
type Lease struct {
	Holder api.InstanceID `json:"holder"`
	// Token identifies the holder's process, so that a restarted instance does
	// not mistake the lease of its previous process for its own.
	Token string `json:"token"`
	// Fence is the fencing token. It increases with each new holder.
	Fence uint64 `json:"fence"`
	// Renewal counts the writes of the holder's process, so that no two writes
	// are equal.
	Renewal uint64 `json:"renewal"`
}

// Event is an input of the core.
type Event interface{ isEvent() }

// Tick advances the timers and passes the active configuration.
type Tick struct{ Config *api.Config }

// LeaseRead is the result of ReadLease. Version is 0 if there is no lease.
type LeaseRead struct {
	Lease   Lease
	Version store.Version
	Failed  bool
}

// WriteResult is the result of a write of the lease.
type WriteResult int

// Results of a write.
const (
	// WriteOK means that the write succeeded.
	WriteOK WriteResult = iota
	// WriteConflict means that the stored lease has another version than expected.
	WriteConflict
	// WriteUnknown means that the write may have taken effect or may do so later.
	WriteUnknown
	// WriteRefused means that the write had no effect.
	WriteRefused
)

// LeaseWritten is the result of WriteLease.
type LeaseWritten struct {
	Result  WriteResult
	Version store.Version
}

// ReportFetched is the result of FetchReport.
type ReportFetched struct {
	Endpoint api.EndpointID
	Failed   bool
	Models   []api.ModelRef
	Role     string
	// AsOf is the time that the report describes: when the request was sent, less
	// the age of the report. A report from before the last command is ignored.
	AsOf time.Duration
}

// CommandResult is the result of a command.
type CommandResult int

// Results of a command.
const (
	// CommandDone means that the engine confirmed the command.
	CommandDone CommandResult = iota
	// CommandStaleFence means that the engine rejected the command because it has
	// seen a higher fencing token.
	CommandStaleFence
	// CommandNotSent means that the command was not sent.
	CommandNotSent
	// CommandUnknown means that the command may have been applied or may be
	// applied later.
	CommandUnknown
)

// CommandFinished is the result of a Command.
type CommandFinished struct {
	Endpoint api.EndpointID
	Fence    uint64
	Result   CommandResult
}

func (Tick) isEvent()            {}
func (LeaseRead) isEvent()       {}
func (LeaseWritten) isEvent()    {}
func (ReportFetched) isEvent()   {}
func (CommandFinished) isEvent() {}

// Action is an output of the core.
type Action interface{ isAction() }

// ReadLease reads the lease.
type ReadLease struct{}

// WriteLease writes the lease if the stored one has the expected version.
type WriteLease struct {
	Lease           Lease
	ExpectedVersion store.Version
}

// FetchReport fetches the report of an engine: its models and its role.
type FetchReport struct{ Endpoint api.Endpoint }

// CommandKind is a kind of command. It is the last part of the command's path.
type CommandKind string

// Kinds of command.
const (
	KindLoad   CommandKind = "load"
	KindUnload CommandKind = "unload"
	KindRole   CommandKind = "role"
)

// Command sends a command to an engine. The call takes CommandTimeout at most.
type Command struct {
	Endpoint api.Endpoint
	Kind     CommandKind
	Model    api.ModelRef
	Role     string
	Fence    uint64
	// NotAfter is the boot clock time before which the first byte has to be sent.
	NotAfter time.Duration
}

func (ReadLease) isAction()   {}
func (WriteLease) isAction()  {}
func (FetchReport) isAction() {}
func (Command) isAction()     {}
