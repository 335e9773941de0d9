package api

import "time"

// Digest identifies the content of a request without its idempotency key, so
// that the same request under another key has the same digest.
type Digest [16]byte

// Isolation says how strictly a request with marked content, which was running
// on engines when they crashed, is kept apart from other requests.
type Isolation int

// Levels of isolation.
const (
	// IsolationNone restricts nothing.
	IsolationNone Isolation = iota
	// IsolationSeparate prefers endpoints that run no other marked content, then
	// those that run the least of it, and never uses one that runs content of
	// IsolationExclusive.
	IsolationSeparate
	// IsolationExclusive allows one such request at a time in the fleet, on an
	// endpoint that runs no other request of the fleet.
	IsolationExclusive
	// IsolationRefused refuses the request.
	IsolationRefused
)

// PlacementRequest asks for an endpoint that runs a generation, an order or a
// lookup.
type PlacementRequest struct {
	Generation string // empty for orders and lookups
	Kind       EndpointKind
	Model      ModelRef
	Account    AccountID
	Priority   Priority
	// PrefixBlocks are the cumulative hashes of the prompt's leading blocks.
	PrefixBlocks []uint64
	// Tokens is the number of tokens that the request may still cost.
	Tokens int
	// LinkBytes is the number of bytes that the request is expected to send over the
	// link to another region, if the endpoint is there.
	LinkBytes int
	// Recovery says that the request continues a generation that lost its endpoint.
	Recovery bool
	// SameRegionOnly forbids endpoints of other regions.
	SameRegionOnly bool
	// Exclude names endpoints that must not be used, for example after they failed
	// this request.
	Exclude []EndpointID
	// Prefer names the endpoint that most likely holds the KV cache of the prompt's
	// prefix.
	Prefer    EndpointID
	Isolation Isolation
}

// Grant is a reserved slot of an endpoint. Every grant is released exactly once.
type Grant struct {
	ID       uint64
	Endpoint Endpoint
	// CrossRegion says that the endpoint is in another region.
	CrossRegion bool
}

// Outcome says how the request of a grant ended.
type Outcome int

// Outcomes of a grant.
const (
	// OutcomeCompleted: the endpoint ran the request to its end.
	OutcomeCompleted Outcome = iota
	// OutcomeCancelled: the instance ended the request.
	OutcomeCancelled
	// OutcomeRefused: the endpoint refused the request before starting it.
	OutcomeRefused
	// OutcomeSuspected: the endpoint sent no data within the idle timeout of the
	// request's stream.
	OutcomeSuspected
	// OutcomeCrashed: a connection was closed or refused, or a probe failed.
	OutcomeCrashed
)

// AdmissionRequest asks whether the limits allow a request to start.
type AdmissionRequest struct {
	Account  AccountID
	Priority Priority
	// Tokens is the number of tokens that the request may cost.
	Tokens   int
	Deadline time.Duration // time of the boot clock; 0 is none
}

// Admission is an admitted request, which counts against the limits until it is
// released. Every admission is released exactly once.
type Admission struct {
	ID      uint64
	Account AccountID
	Tokens  int
}
