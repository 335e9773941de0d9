package ticket

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/store"
)

// Event is an input of the core.
type Event interface{ event() }

// Tick advances the timers.
type Tick struct {
	// Incarnation is the current incarnation of this instance.
	Incarnation uint64
	// WatchesStore says that this instance watches the store for its failure
	// domain.
	WatchesStore bool
	// BusyEndpoints are those of View.LeavingEndpoints on which this instance
	// still runs requests.
	BusyEndpoints []api.EndpointID
}

// MembersChanged passes the changed member table, sorted by ID. It includes
// this instance.
type MembersChanged struct{ Members []api.Member }

// TicketSubmitted is a ticket from an operator. The core responds with
// SubmitResult.
type TicketSubmitted struct {
	ID   uint64 // repeated in the SubmitResult
	Raw  []byte // the ticket as the operator sent it
	Body *Ticket
}

// HeadOffered says that a peer has applied a head. Request contains the head; if
// Request is nil, only its version is known.
type HeadOffered struct {
	Address     string // of the peer
	HeadVersion uint64
	Request     *peerpb.OfferRequest
}

// FetchReceived is a peer's request for the tickets above a number; the core
// responds with PeerResponse.
type FetchReceived struct{ Above uint64 }

// AcksReceived is a peer's message with acknowledgements; the core responds with
// PeerResponse.
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
	HeadVersion uint64 // of the offered head
	OK          bool
}

// AckDone is the result of a PeerAck; Response is nil after an error.
type AckDone struct {
	To      api.InstanceID
	Version ackVersion
	// Forwarded is the request of a PeerAck that passed on acknowledgements of
	// other instances; otherwise nil.
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

// StoreOp is an operation of the store.
type StoreOp int

// Operations of the store.
const (
	StoreGet StoreOp = iota
	StorePut
	StoreList
	StoreWatch
	StoreDelete
)

// StoreCall calls the store. The StoreDone with its result has the same ID.
type StoreCall struct {
	ID              uint64
	Op              StoreOp
	Key             string // for a list or watch the key prefix
	Value           []byte
	ExpectedVersion store.Version
	AfterRevision   uint64
	Wait            time.Duration
}

// PeerFetch asks a peer for the tickets above a number.
type PeerFetch struct {
	Address string
	Above   uint64
}

// PeerOffer offers the applied head to a peer.
type PeerOffer struct {
	To      api.InstanceID
	Address string
	Request *peerpb.OfferRequest
}

// PeerAck sends acknowledgements to a collector.
type PeerAck struct {
	To      api.InstanceID
	Address string
	Version ackVersion
	// Forwarded says that the request passes on acknowledgements of other
	// instances.
	Forwarded bool
	Request   *peerpb.AcknowledgeRequest
}

// PeerResponse is the response to FetchReceived or AcksReceived; one of the
// fields is set.
type PeerResponse struct {
	Fetch *peerpb.FetchTicketsResponse
	Ack   *peerpb.AcknowledgeResponse
	Err   error
}

// SubmitResult is the result of a TicketSubmitted.
type SubmitResult struct {
	ID       uint64
	Err      error
	Findings []Finding
	Head     Head
}

// Publish replaces the view that other components read.
type Publish struct{ View *View }

// Note is an occurrence that is counted and, for most kinds, logged.
type Note struct {
	Kind        NoteKind
	Ticket      uint64        // 0 if the occurrence concerns no single ticket
	PendingTime time.Duration // of an accepted ticket
	Err         error
}

// NoteKind is the kind of a Note.
type NoteKind int

// Kinds of notes.
const (
	// NotePending: this instance applies the restrictions of a pending ticket.
	NotePending NoteKind = iota
	// NoteAccepted: an accepted ticket is active on this instance.
	NoteAccepted
	// NoteOlderHeadIgnored: a head that would revert an accepted ticket was
	// ignored.
	NoteOlderHeadIgnored
	// NoteDecodeFailed: a value from the store or a peer cannot be decoded. Ticket
	// is the number of the ticket or snapshot, 0 for other values.
	NoteDecodeFailed
	// NoteHeadConflict: another instance updated the head first.
	NoteHeadConflict
	// NoteWriteResponseLost: it is unknown whether a write of the ticket head took
	// effect.
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
