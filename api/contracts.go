package api

import "time"

// Digest identifies the content of a request without its key, so that a
// request that is sent again under another key has the same digest.
type Digest [16]byte

// Isolation says how far a content has to be kept from others.
type Isolation int

// Levels of isolation.
const (
	// IsolationNone puts no condition on the endpoint.
	IsolationNone Isolation = iota
	// IsolationSeparate prefers endpoints that run no other marked content, then
	// those with the fewest, and never one that runs content of IsolationExclusive.
	IsolationSeparate
	// IsolationExclusive allows one marked content at a time in the fleet, on an
	// endpoint that runs nothing else of ours.
	IsolationExclusive
	// IsolationRefused refuses the content.
	IsolationRefused
)

// PlacementRequest asks for an endpoint to run a generation or a call on.
type PlacementRequest struct {
	Generation string
	Kind       EndpointKind
	Model      ModelRef
	Account    AccountID
	Priority   Priority
	// PrefixBlocks are the running hashes of the prompt's leading blocks.
	PrefixBlocks []uint64
	// Tokens is the number of tokens that the work may still cost.
	Tokens int
	// Bytes is what the work is expected to send over a link.
	Bytes int
	// Recovery says that the work continues a generation that lost its endpoint.
	Recovery bool
	// SameRegionOnly forbids endpoints of other regions.
	SameRegionOnly bool
	Exclude        []EndpointID
	// Prefer names the endpoint that most likely holds the prefix.
	Prefer    EndpointID
	Isolation Isolation
}

// Grant is a reserved place on an endpoint. Every grant is released once.
type Grant struct {
	ID       uint64
	Endpoint Endpoint
	// CrossRegion says that the endpoint is in another region.
	CrossRegion bool
}

// Outcome says how the work of a grant ended.
type Outcome int

// Outcomes of a grant.
const (
	// OutcomeCompleted is a normal end.
	OutcomeCompleted Outcome = iota
	// OutcomeCancelled is an end by our own choice.
	OutcomeCancelled
	// OutcomeRefused is a refusal by the endpoint before it started.
	OutcomeRefused
	// OutcomeSuspected is silence beyond the bound.
	OutcomeSuspected
	// OutcomeCrashed is a closed or refused connection, or a failed probe.
	OutcomeCrashed
)

// AdmissionRequest asks whether a request may enter.
type AdmissionRequest struct {
	Account  AccountID
	Priority Priority
	// Tokens is the number of tokens that the request may cost.
	Tokens   int
	Deadline time.Duration // boot clock; 0 is none
}

// Admission is a counted request. Every admission is released once.
type Admission struct {
	ID      uint64
	Account AccountID
	Tokens  int
}
