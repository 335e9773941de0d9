package enginectl

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/store"
)

// Lease is the stored lease. Of all instances only its holder sends commands.
type Lease struct {
	Holder api.InstanceID `json:"holder"`
	// Token identifies the holder's process, so that a restarted instance does
	// not take the lease of its predecessor for its own.
	Token string `json:"token"`
	// Fence is the fencing number. It grows with each new holder.
	Fence uint64 `json:"fence"`
	// Renewal counts the writes of the holder's process and makes each differ.
	Renewal uint64 `json:"renewal"`
}

// Event is an input of the core.
type Event interface{ isEvent() }

// Tick passes the time and the configuration.
type Tick struct{ Config *api.Config }

// LeaseRead is the result of ReadLease. Without Err and with Version 0 there is
// no lease.
type LeaseRead struct {
	Lease   Lease
	Version store.Version
	Failed  bool
}

// WriteResult says what is known after a write of the lease.
type WriteResult int

// Results of a write.
const (
	// WriteOK means that the write took effect.
	WriteOK WriteResult = iota
	// WriteConflict means that another instance wrote the lease.
	WriteConflict
	// WriteUnknown means that the write may have taken effect or may still do.
	WriteUnknown
	// WriteRefused means that the write had no effect.
	WriteRefused
)

// LeaseWritten is the result of WriteLease.
type LeaseWritten struct {
	Result  WriteResult
	Version store.Version
}

// Observed is the result of Observe.
type Observed struct {
	Endpoint api.EndpointID
	Failed   bool
	Models   []api.ModelRef
	Role     string
	// AsOf is when the question was sent. A report counts only if it was asked
	// for after the last command.
	AsOf time.Duration
}

// CommandResult says how a command ended.
type CommandResult int

// Results of a command.
const (
	// CommandDone means that the engine confirmed the command.
	CommandDone CommandResult = iota
	// CommandStaleFence means that the engine has seen a higher fencing number.
	CommandStaleFence
	// CommandSkipped means that the command was not sent.
	CommandSkipped
	// CommandUnknown means that the command may have been applied or may still
	// be.
	CommandUnknown
)

// CommandFinished is the result of Command.
type CommandFinished struct {
	Endpoint api.EndpointID
	Fence    uint64
	Result   CommandResult
}

func (Tick) isEvent()            {}
func (LeaseRead) isEvent()       {}
func (LeaseWritten) isEvent()    {}
func (Observed) isEvent()        {}
func (CommandFinished) isEvent() {}

// Action is an output of the core.
type Action interface{ isAction() }

// ReadLease reads the lease.
type ReadLease struct{}

// WriteLease writes the lease if it has the expected version.
type WriteLease struct {
	Lease  Lease
	Expect store.Version
}

// Observe asks an engine for its models and role.
type Observe struct{ Endpoint api.Endpoint }

// CommandKind is a kind of command and the last part of its path.
type CommandKind string

// Kinds of command.
const (
	KindLoad   CommandKind = "load"
	KindUnload CommandKind = "unload"
	KindRole   CommandKind = "role"
)

// Command sends a command to an engine. The runner checks NotAfter by the boot
// clock right before the send and waits LongestSend at most.
type Command struct {
	Endpoint api.Endpoint
	Kind     CommandKind
	Model    api.ModelRef
	Role     string
	Fence    uint64
	NotAfter time.Duration
}

func (ReadLease) isAction()  {}
func (WriteLease) isAction() {}
func (Observe) isAction()    {}
func (Command) isAction()    {}
