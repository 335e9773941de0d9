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
	// StateClaimed means that the holder may send the order within its dispatch window.
	// The holder is the incarnation of the instance that created the claim.
	StateClaimed State = "claimed"
	// StateResolving means that an instance is finding out the outcome. The write
	// of this state raises the revision, so that a service that checks fencing
	// tokens rejects a late send of the holder.
	StateResolving State = "resolving"
	// StateDone means that the service booked the order.
	StateDone State = "done"
	// StateRejected means that the service rejected the content of the order.
	StateRejected State = "rejected"
	// StateNotRun means that the order was not booked and never will be.
	StateNotRun State = "not_run"
	// StateUnknown means that the order may have been booked. Only StateDone may
	// replace it.
	StateUnknown State = "unknown"
)

// HasOutcome reports whether an outcome is recorded. All but StateUnknown are certain
// outcomes.
func (s State) HasOutcome() bool {
	switch s {
	case StateDone, StateRejected, StateNotRun, StateUnknown:
		return true
	}
	return false
}

// TTL of an idempotency key and retention of its claim. The difference tolerates
// wall clocks of two instances that differ by up to a day.
const (
	// KeyTTL is how long an idempotency key is valid after its first use.
	KeyTTL = 24 * time.Hour
	// ClaimRetention is the age from which a claim is deleted.
	ClaimRetention = 48 * time.Hour
)

// Claim is the stored record of one order. It reserves the idempotency key, so that
// only its holder sends the order, and later holds the outcome.
type Claim struct {
	// Digest identifies the body of the order.
	Digest string `json:"digest"`
	// ClaimID identifies the submission that created the claim, so that it
	// recognizes its own claim after a lost response.
	ClaimID     string         `json:"claim_id"`
	Instance    api.InstanceID `json:"instance"`
	Incarnation uint64         `json:"incarnation"`
	// Endpoint is the only service that the order may be sent to.
	Endpoint api.EndpointID `json:"endpoint"`
	State    State          `json:"state"`
	// UnixMilli is the wall clock time at which the claim was created.
	UnixMilli int64 `json:"time"`
	// Writer identifies the operation that wrote the state, so that it recognizes
	// its own write after a lost response.
	Writer string `json:"writer,omitempty"`
	// Reason is the reason code of an outcome other than StateDone.
	Reason string `json:"reason,omitempty"`
	// Receipt is the service's response to the order.
	Receipt json.RawMessage `json:"receipt,omitempty"`
}

// StoredClaim is a claim with its revision. Every change raises the revision,
// which is also the fencing token of the order.
type StoredClaim struct {
	Claim
	Revision uint64
}

// hashBytes is the number of bytes to which the SHA-256 hashes of order IDs and body
// digests are truncated. Their hexadecimal form has twice as many characters.
const hashBytes = 16

// DeriveID returns the order ID for the idempotency key of a client account. It
// identifies the order in the store and at services.
func DeriveID(account api.AccountID, key string) string {
	sum := sha256.Sum256([]byte(string(account) + "\x00" + key))
	return hex.EncodeToString(sum[:hashBytes])
}

func bodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:hashBytes])
}

func olderThan(claim Claim, wall time.Time, age time.Duration) bool {
	return wall.UnixMilli()-claim.UnixMilli > age.Milliseconds()
}
