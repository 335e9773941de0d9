// Package generation serves completion requests on engines that may fail while
// they generate. It gives each request an identity, checks each chunk against
// it, and continues an interrupted response from exactly the tokens that the
// caller has.
package generation

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// Recovery modes.
const (
	// RecoveryEager starts a continuation on another engine as soon as an engine
	// exceeds its idle timeout.
	RecoveryEager = "eager"
	// RecoverySparing probes the engine and reattaches to its stream before it
	// recomputes anything.
	RecoverySparing = "sparing"
)

// Baselines are simpler recovery strategies that benchmarks compare with the
// recovery modes.
const (
	// BaselineStartOver recomputes the whole response after each interruption.
	BaselineStartOver = "start_over"
	// BaselineFixedTimeout acts on an interruption only after a fixed timeout.
	BaselineFixedTimeout = "fixed_timeout"
)

// Error is the class of this package's errors.
var Error = errs.Class("generation")

// Placer grants endpoints to requests and tracks the load of each endpoint.
type Placer interface {
	Place(ctx context.Context, request api.PlacementRequest) (api.Grant, error)
	// ReportProgress adds to the delivered tokens of a grant.
	ReportProgress(grant uint64, tokens int)
	Release(grant uint64, outcome api.Outcome)
	// MarkSuspect puts the endpoint under suspicion for all requests.
	MarkSuspect(endpoint api.EndpointID)
}

// Admitter limits new requests and retries.
type Admitter interface {
	Admit(ctx context.Context, request api.AdmissionRequest) (api.Admission, error)
	Release(admission api.Admission)
	TryRetry(priority api.Priority) bool
}

// CrashMarks tracks the content that may crash engines.
type CrashMarks interface {
	IsolationLevel(digest api.Digest) api.Isolation
	ReportCrash(endpoint api.EndpointID, domain api.FailureDomain, running []api.Digest)
	ReportCompleted(digest api.Digest)
}

// PeerInfo is a live instance.
type PeerInfo struct {
	ID      api.InstanceID
	Address string
	Place   api.Place
}

// Peers gives access to the other instances.
type Peers interface {
	// Live returns the live instances. It may include this one.
	Live() []PeerInfo
	Client(address string) peerpb.Peer
}

// Options configures a Runner.
type Options struct {
	Instance api.InstanceID
	// Half is the half of the organisation that this instance serves.
	Half  api.Half
	Place api.Place
	// Config returns the active configuration.
	Config func() *api.Config
	// CheckServing returns nil if new work may start, otherwise a *reason.Error.
	CheckServing func() error
	Placer       Placer
	Admitter     Admitter
	Marks        CrashMarks
	Peers        Peers  // nil: no checkpoints and no takeover notices
	Recovery     string // RecoveryEager or RecoverySparing
	Baseline     string // "" or one of the baselines
	// RequestTimeout is the deadline of a request without Request-Timeout-Ms.
	RequestTimeout time.Duration
	// MaxTimeout is the highest Request-Timeout-Ms.
	MaxTimeout time.Duration
	// SlowCallerTimeout is how long one write to a caller may take.
	SlowCallerTimeout time.Duration
	MaxBodyBytes      int64
	MaxTokens         int
	Log               *slog.Logger
	// Scope is the metrics scope of this package.
	Scope tally.Scope
	Clock bootclock.Func
}

func (o Options) validate() error {
	var problems errs.Group
	if o.Config == nil || o.Placer == nil || o.Admitter == nil || o.Marks == nil {
		problems.Add(Error.New("Config, Placer, Admitter and Marks are required"))
	}
	if o.Log == nil || o.Scope == nil || o.Clock == nil {
		problems.Add(Error.New("Log, Scope and Clock are required"))
	}
	if o.Recovery != RecoveryEager && o.Recovery != RecoverySparing {
		problems.Add(Error.New("Recovery is %q, must be %s or %s", o.Recovery, RecoveryEager, RecoverySparing))
	}
	switch o.Baseline {
	case "", BaselineStartOver, BaselineFixedTimeout:
	default:
		problems.Add(Error.New("Baseline is %q, must be empty, %s or %s", o.Baseline, BaselineStartOver, BaselineFixedTimeout))
	}
	if o.RequestTimeout <= 0 || o.MaxTimeout < o.RequestTimeout || o.SlowCallerTimeout <= 0 {
		problems.Add(Error.New("RequestTimeout %s and SlowCallerTimeout %s must be positive; MaxTimeout %s must be at least RequestTimeout",
			o.RequestTimeout, o.SlowCallerTimeout, o.MaxTimeout))
	}
	if o.MaxBodyBytes <= 0 || o.MaxTokens <= 0 {
		problems.Add(Error.New("MaxBodyBytes %d and MaxTokens %d must be positive", o.MaxBodyBytes, o.MaxTokens))
	}
	return problems.Err()
}
