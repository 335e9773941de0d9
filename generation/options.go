// Package generation serves long text generations on engines that fail. It
// gives each request an identity, checks each chunk against it, and continues
// an interrupted answer from the exact prefix that the caller has.
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
	// RecoveryEager starts a continuation on another engine at the first silence.
	RecoveryEager = "eager"
	// RecoverySparing probes and reattaches before it recomputes anything.
	RecoverySparing = "sparing"
)

// Baselines replace the recovery for measurements.
const (
	// BaselineStartOver recomputes the whole answer after each loss.
	BaselineStartOver = "start_over"
	// BaselineFixedTimeout acts on any loss only after a fixed silence.
	BaselineFixedTimeout = "fixed_timeout"
)

// Error classifies the errors of this package's constructors.
var Error = errs.Class("generation")

// Placer chooses endpoints and counts their use.
type Placer interface {
	Place(ctx context.Context, request api.PlacementRequest) (api.Grant, error)
	ReportProgress(grant uint64, tokens int)
	Release(grant uint64, outcome api.Outcome)
	// MarkSuspect puts the endpoint under suspicion for all requests.
	MarkSuspect(endpoint api.EndpointID)
}

// Admitter limits what enters and what is retried.
type Admitter interface {
	Admit(ctx context.Context, request api.AdmissionRequest) (api.Admission, error)
	Release(admission api.Admission)
	AllowRetry(priority api.Priority) bool
}

// CrashMarks knows the content that may crash engines.
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

// Peers reaches the other instances.
type Peers interface {
	Live() []PeerInfo
	Client(address string) peerpb.Peer
}

// Options configures a Runner.
type Options struct {
	Instance api.InstanceID
	Half     api.Half
	Place    api.Place
	Config   func() *api.Config
	// Gate returns nil if new work may start, otherwise a *reason.Error.
	Gate     func() error
	Placer   Placer
	Admitter Admitter
	Marks    CrashMarks
	Peers    Peers // nil: no checkpoints and no takeover notices
	Recovery string
	Baseline string
	// RequestTimeout is the deadline of a request without Request-Timeout-Ms.
	RequestTimeout time.Duration
	// MaxTimeout is the highest Request-Timeout-Ms.
	MaxTimeout time.Duration
	// SlowCallerBound is how long a caller may leave its stream unread.
	SlowCallerBound time.Duration
	MaxBodyBytes    int64
	MaxTokens       int
	Log             *slog.Logger
	// Scope is the sub-scope of this slice.
	Scope tally.Scope
	Clock bootclock.Func
}

func (o Options) validate() error {
	var found errs.Group
	if o.Config == nil || o.Placer == nil || o.Admitter == nil || o.Marks == nil {
		found.Add(Error.New("Config, Placer, Admitter and Marks are required"))
	}
	if o.Log == nil || o.Scope == nil || o.Clock == nil {
		found.Add(Error.New("Log, Scope and Clock are required"))
	}
	if o.Recovery != RecoveryEager && o.Recovery != RecoverySparing {
		found.Add(Error.New("recovery %q: allowed is %s or %s", o.Recovery, RecoveryEager, RecoverySparing))
	}
	switch o.Baseline {
	case "", BaselineStartOver, BaselineFixedTimeout:
	default:
		found.Add(Error.New("baseline %q: allowed is empty, %s or %s", o.Baseline, BaselineStartOver, BaselineFixedTimeout))
	}
	if o.RequestTimeout <= 0 || o.MaxTimeout < o.RequestTimeout || o.SlowCallerBound <= 0 {
		found.Add(Error.New("timeouts: RequestTimeout and SlowCallerBound are positive, MaxTimeout is at least RequestTimeout"))
	}
	if o.MaxBodyBytes <= 0 || o.MaxTokens <= 0 {
		found.Add(Error.New("MaxBodyBytes and MaxTokens are positive"))
	}
	return found.Err()
}
