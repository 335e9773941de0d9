package order

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// State is the state of a claim.
type State string

// States of a claim.
const (
	// StateClaimed means that the holder may send the order within its window.
	StateClaimed State = "claimed"
	// StateResolving means that an instance is finding out the outcome. It
	// raises the revision, so that a service that checks fencing numbers
	// rejects a late send of the holder.
	StateResolving State = "resolving"
	// StateDone means that the service booked the order.
	StateDone State = "done"
	// StateRejected means that the service refused the content of the order.
	StateRejected State = "rejected"
	// StateNotRun means that the order was not booked and never will be.
	StateNotRun State = "not_run"
	// StateUnknown means that the order may have been booked. It can change to
	// StateDone only.
	StateUnknown State = "unknown"
)

// Final reports whether an outcome is recorded.
func (s State) Final() bool {
	switch s {
	case StateDone, StateRejected, StateNotRun, StateUnknown:
		return true
	}
	return false
}

// Lifetimes of a key and its claim. The difference tolerates wall clocks that
// are wrong by up to a day.
const (
	// KeyTTL is how long a key is live after its first use.
	KeyTTL = 24 * time.Hour
	// ClaimRetention is the age from which a claim is deleted.
	ClaimRetention = 48 * time.Hour
)

// Claim is the stored record of one order.
type Claim struct {
	// Digest identifies the body.
	Digest string `json:"digest"`
	// ClaimID identifies the writer's attempt, so that it recognises its own
	// claim after a lost response.
	ClaimID     string         `json:"claim_id"`
	Instance    api.InstanceID `json:"instance"`
	Incarnation uint64         `json:"incarnation"`
	// Endpoint is the only service that the order may be sent to.
	Endpoint api.EndpointID `json:"endpoint"`
	State    State          `json:"state"`
	// UnixMilli is the wall clock time of the claim.
	UnixMilli int64 `json:"time"`
	// Writer identifies the operation that wrote the state, so that it
	// recognises its own write after a lost response.
	Writer string `json:"writer,omitempty"`
	// Reason explains an outcome other than done.
	Reason string `json:"reason,omitempty"`
	// Receipt is the service's answer.
	Receipt json.RawMessage `json:"receipt,omitempty"`
}

// StoredClaim is a claim with its revision. Every change raises the revision, which
// is also the fencing number of the order.
type StoredClaim struct {
	Claim
	Revision uint64
}

// idBytes is the length of the hash that names an order.
const idBytes = 16

// DeriveID names the order of an account's key in the store and at services.
func DeriveID(account api.AccountID, key string) string {
	sum := sha256.Sum256([]byte(string(account) + "\x00" + key))
	return hex.EncodeToString(sum[:idBytes])
}

func bodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:idBytes])
}

func expired(claim Claim, wall time.Time, kept time.Duration) bool {
	return wall.UnixMilli()-claim.UnixMilli > kept.Milliseconds()
}
