package api

import "time"

// MemberState is the state of an instance as its peers see it.
type MemberState uint8

// Member states. Of two entries with the same incarnation and version, the one
// with the higher state takes precedence.
const (
	MemberUnknown MemberState = iota
	// MemberAlive says that the instance responds.
	MemberAlive
	// MemberLeaving says that the instance is shutting down gracefully.
	MemberLeaving
	// MemberSuspect says that the instance did not respond to probes.
	MemberSuspect
	// MemberDead says that the instance was suspect for too long. It may still run
	// requests until it is expelled.
	MemberDead
	// MemberLeft says that the instance shut down gracefully.
	MemberLeft
	// MemberExpelled says that the incarnation can no longer dispatch requests.
	MemberExpelled
)

var memberStateNames = [...]string{"unknown", "alive", "leaving", "suspect", "dead", "left", "expelled"}

func (s MemberState) String() string {
	if int(s) < len(memberStateNames) {
		return memberStateNames[s]
	}
	return memberStateNames[MemberUnknown]
}

// Gone reports whether the incarnation can never dispatch requests again.
func (s MemberState) Gone() bool { return s >= MemberLeft }

// Reachable reports whether the instance may respond. A suspect instance is still
// called.
func (s MemberState) Reachable() bool {
	return s == MemberAlive || s == MemberLeaving || s == MemberSuspect
}

// Member is the entry of one instance in the member table.
type Member struct {
	ID InstanceID
	// Incarnation identifies one start of the instance's process; it grows with
	// every start.
	Incarnation uint64
	// Version orders the entries of one incarnation.
	Version uint64
	State   MemberState
	Address string // of the peer listener
	Place
	Half Half
	// Acknowledged is the highest ticket whose restrictions the instance is
	// known to apply.
	Acknowledged uint64
	// StoreContactAge is the age of the instance's last contact with the store
	// at the time of its last message.
	StoreContactAge time.Duration
	// LinkMbps is the bandwidth of the instance's link in Mbit/s; 0 is unknown.
	LinkMbps uint32
}
