package rollout

import "github.com/hibiscusstair/hibiscusstair/api"

// Event is an input of Core.
type Event interface{ event() }

// OrderRead carries an order as it is in the store.
type OrderRead struct {
	Order Order
	// UnixMS is the current time in Unix milliseconds. It relates the times in the
	// status to the boot clock.
	UnixMS int64
	// Restored says that the store was restored from a copy since the last read, so that
	// the order may be older than one read before.
	Restored bool
}

// OrderRemoved reports that the order of a service no longer exists.
type OrderRemoved struct{ Service string }

// ReportReceived carries the report of an instance. Core responds with a GrantShare.
type ReportReceived struct{ Report Report }

// EndpointsCounted carries the number of registered endpoints of a service that accept
// requests, by version. A rollout starts after it is known, and a version without
// endpoints is not completed.
type EndpointsCounted struct {
	Service string
	Engines map[Version]int
}

// StatusWritten reports that the store accepted a status. Order is the order as it is
// now.
type StatusWritten struct {
	Order  Order
	UnixMS int64
}

// StatusConflict reports that the order had another revision than Based, on which the
// write was based. Order is the order as it was then.
type StatusConflict struct {
	Order  Order
	Based  uint64
	UnixMS int64
}

// StatusFailed reports that the store did not respond to the write of a status.
type StatusFailed struct{ Service string }

// Tick lets time-dependent decisions be made. It is expected every ReportInterval or
// more often.
type Tick struct{}

func (OrderRead) event()        {}
func (OrderRemoved) event()     {}
func (ReportReceived) event()   {}
func (EndpointsCounted) event() {}
func (StatusWritten) event()    {}
func (StatusConflict) event()   {}
func (StatusFailed) event()     {}
func (Tick) event()             {}

// Action is an output of Core.
type Action interface{ action() }

// GrantShare is the response to the report of an instance.
type GrantShare struct {
	Instance api.InstanceID
	Grant    Grant
}

// WriteStatus asks for a conditional write. Its result is a StatusWritten, a
// StatusConflict or a StatusFailed; there is at most one pending write for a service.
type WriteStatus struct {
	Service  string
	Revision uint64
	Status   Status
}

// Decided reports a decision for logs and counters.
type Decided struct {
	Service string
	To      Version
	State   State
	Phase   Phase
	Share   float64
	Reason  Reason
	// Route is the route that the reason is about; empty is all routes.
	Route string
	// Old and New are the counts that were compared, of responses and bad ones.
	Old, New Evidence
}

func (GrantShare) action()  {}
func (WriteStatus) action() {}
func (Decided) action()     {}

// Evidence is a number of responses and how many of them were bad.
type Evidence struct{ Responses, Bad uint64 }

// Reason says why a decision was made. It is a label of counters and log lines.
type Reason string

// Reasons.
const (
	ReasonOrdered      Reason = "ordered"
	ReasonAdopted      Reason = "adopted"       // the status was written by another coordinator
	ReasonFailures     Reason = "failures"      // the new version fails more often
	ReasonSlow         Reason = "slow"          // the new version begins its responses later
	ReasonLateGaps     Reason = "late_gaps"     // the new version has more late gaps
	ReasonGood         Reason = "good"          // no evidence against enough responses
	ReasonFewResponses Reason = "few_responses" // no evidence, but fewer responses than wanted
	ReasonDrained      Reason = "drained"       // no request runs on the old version
	ReasonTimeLimit    Reason = "time_limit"    // the duration has nearly passed
)
