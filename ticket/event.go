package ticket

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/store"
)

// Event is an input of the core.
type Event interface{ event() }

// Tick drives the timers.
type Tick struct {
	// Incarnation is this instance's current one.
	Incarnation uint64
	// WatchesStore says that this instance watches the store for its failure domain.
	WatchesStore bool
	// BusyEndpoints are those of the published leaving endpoints on which this instance
	// still runs work.
	BusyEndpoints []api.EndpointID
}

// MembersChanged brings the member table, sorted by id, this instance included.
type MembersChanged struct{ Members []api.Member }

// TicketSubmitted is an operator's ticket.
type TicketSubmitted struct {
	ID   uint64 // of the reply
	Raw  []byte
	Body *Ticket
}

// HeadOffered is a newer head from a peer, or only its version when Head is nil.
type HeadOffered struct {
	Address     string
	HeadVersion uint64
	Request     *peerpb.OfferRequest
}

// FetchReceived is a peer's request for tickets; the core answers with Respond.
type FetchReceived struct{ Above uint64 }

// AcksReceived is a peer's report; the core answers with Respond.
type AcksReceived struct{ Request *peerpb.AcknowledgeRequest }

// StoreDone is the result of a StoreCall.
type StoreDone struct {
	ID       uint64
	SentAt   time.Duration
	Object   store.Object
	Objects  []store.Object // of a list
	Changes  []store.Change // of a watch
	Revision uint64
	Err      error
}

// FetchDone is the result of a PeerFetch; Response is nil after an error.
type FetchDone struct {
	Address  string
	Response *peerpb.FetchTicketsResponse
}

// OfferDone is the result of a PeerOffer.
type OfferDone struct {
	To          api.InstanceID
	HeadVersion uint64 // that was offered
	OK          bool
}

// AckDone is the result of a PeerAck; Response is nil after an error.
type AckDone struct {
	To  api.InstanceID
	Key ackKey
	// Forwarded is the request of a PeerAck with other instances' reports.
	Forwarded *peerpb.AcknowledgeRequest
	Response  *peerpb.AcknowledgeResponse
}

func (Tick) event()            {}
func (MembersChanged) event()  {}
func (TicketSubmitted) event() {}
func (HeadOffered) event()     {}
func (FetchReceived) event()   {}
func (AcksReceived) event()    {}
func (StoreDone) event()       {}
func (FetchDone) event()       {}
func (OfferDone) event()       {}
func (AckDone) event()         {}

// Action is an output of the core.
type Action interface{ action() }

// StoreOp names a call to the store.
type StoreOp int

// Calls to the store.
const (
	StoreGet StoreOp = iota
	StorePut
	StoreList
	StoreWatch
	StoreDelete
)

// StoreCall asks for a call to the store. The result carries the same ID.
type StoreCall struct {
	ID            uint64
	Op            StoreOp
	Key           string // or the prefix of a list or watch
	Value         []byte
	Expect        store.Version
	AfterRevision uint64
	Wait          time.Duration
}

// PeerFetch asks a peer for the tickets above a number.
type PeerFetch struct {
	Address string
	Above   uint64
}

// PeerOffer passes the head on.
type PeerOffer struct {
	To      api.InstanceID
	Address string
	Request *peerpb.OfferRequest
}

// PeerAck reports acknowledgements to a collector.
type PeerAck struct {
	To      api.InstanceID
	Address string
	Key     ackKey
	// Forwarded says that the request carries other instances' reports.
	Forwarded bool
	Request   *peerpb.AcknowledgeRequest
}

// PeerResponse answers FetchIn or AckIn; one of the fields is set.
type PeerResponse struct {
	Fetch *peerpb.FetchTicketsResponse
	Ack   *peerpb.AcknowledgeResponse
	Err   error
}

// SubmitResult ends an Apply.
type SubmitResult struct {
	ID       uint64
	Err      error
	Findings []Finding
	Head     Head
}

// Publish replaces the configuration that other slices read.
type Publish struct{ View *View }

// Note is something for the log and the counters.
type Note struct {
	Kind        NoteKind
	Ticket      uint64
	PendingTime time.Duration
	Err         error
}

// NoteKind is the kind of a Note.
type NoteKind int

// Kinds of notes.
const (
	// NotePending: a ticket's restrictions apply here.
	NotePending NoteKind = iota
	// NoteAccepted: a ticket is in force here.
	NoteAccepted
	// NoteOlderHeadRefused: a head that would revert an accepted ticket was refused.
	NoteOlderHeadRefused
	// NoteDecodeFailed: a stored or passed value cannot be read.
	NoteDecodeFailed
	// NoteHeadConflict: another instance updated the head first.
	NoteHeadConflict
	// NoteWriteResponseLost: a write's answer was lost and is read back.
	NoteWriteResponseLost
)

func (StoreCall) action()    {}
func (PeerFetch) action()    {}
func (PeerOffer) action()    {}
func (PeerAck) action()      {}
func (PeerResponse) action() {}
func (SubmitResult) action() {}
func (Publish) action()      {}
func (Note) action()         {}
