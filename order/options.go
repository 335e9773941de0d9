package order

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/store"
)

// Placer reserves an endpoint for an order or a lookup. Every grant is released
// exactly once.
type Placer interface {
	Place(ctx context.Context, request api.PlacementRequest) (api.Grant, error)
	ReportProgress(grant uint64, tokens int)
	Release(grant uint64, outcome api.Outcome)
}

// Admitter admits requests by priority and client account.
type Admitter interface {
	Admit(ctx context.Context, request api.AdmissionRequest) (api.Admission, error)
	Release(admission api.Admission)
	TryRetry(priority api.Priority) bool
}

// Options configures a Runner.
type Options struct {
	Instance    api.InstanceID
	Incarnation uint64
	Half        api.Half
	Place       api.Place // location of the instance
	// Config returns the active configuration of this instance.
	Config func() *api.Config
	// CheckServing returns nil if the instance may start new work, else the reason.
	CheckServing func() error
	Store        store.API
	Placer       Placer
	Admitter     Admitter
	// RequestTimeout applies to requests without a Request-Timeout-Ms header. The
	// header can ask for at most MaxTimeout.
	RequestTimeout time.Duration
	MaxTimeout     time.Duration
	MaxBodyBytes   int64
	// BatchClaims keeps many claims in one store object per shard instead of one
	// object per claim. All instances on one store have to use the same value; an
	// instance with another value refuses orders. Batched claims are not swept: one
	// without a certain outcome is resolved only after a request for its state.
	BatchClaims bool
	// BatchClaimShards is the number of those objects; 0 means
	// defaultBatchShards. All instances on one store have to use the same value.
	BatchClaimShards int
	Log              *slog.Logger
	// Scope is the metrics scope of this package.
	Scope tally.Scope
	Clock bootclock.Func
}

// Defaults of options that are zero.
const (
	defaultRequestTimeout = 10 * time.Second
	defaultMaxTimeout     = time.Minute
	defaultMaxBodyBytes   = 256 << 10
)

func (o *Options) newClaimStore() ClaimStore {
	if o.BatchClaims {
		return NewBatchClaimStore(o.Store, o.BatchClaimShards, time.Now)
	}
	return NewClaimStore(o.Store)
}

func (o *Options) setDefaults() error {
	if o.Config == nil || o.Store == nil || o.Placer == nil || o.Admitter == nil {
		return errors.New("order: Config, Store, Placer and Admitter are required")
	}
	if o.Instance == "" {
		return errors.New("order: Instance is required")
	}
	if o.CheckServing == nil {
		o.CheckServing = func() error { return nil }
	}
	if o.RequestTimeout <= 0 {
		o.RequestTimeout = defaultRequestTimeout
	}
	if o.MaxTimeout <= 0 {
		o.MaxTimeout = defaultMaxTimeout
	}
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = defaultMaxBodyBytes
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Clock == nil {
		o.Clock = bootclock.Now
	}
	return nil
}
