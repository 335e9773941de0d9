// Package store is the client of the platform's object API: objects with
// versions, conditional updates, watches, and the list of instances.
package store

import (
	"context"
	"errors"
	"time"
)

// Version is the store's version of an object. 0 means that the object does
// not exist.
type Version uint64

// Object is a stored value with its version.
type Object struct {
	Key     string
	Version Version
	Value   []byte
}

// Change is one event of a watch.
type Change struct {
	Object
	Deleted bool
}

// PlatformInstance is an entry of the platform's list, which lags.
type PlatformInstance struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Leaving       bool   `json:"leaving"`
}

// Errors that callers tell apart with errors.Is.
var (
	// ErrConflict says that the object has another version than expected.
	ErrConflict = errors.New("store: version conflict")
	// ErrNotFound says that the object does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrUnavailable says that the store refused or could not be reached
	// before the call can have taken effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrRateLimited says that the store refused for its rate.
	ErrRateLimited = errors.New("store: rate limited")
	// ErrUnknown says that the answer was lost: a write may have taken effect.
	// The caller reads back to find out.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrRefused says that the store does not accept the call as it is, for
	// example for a value above its limit. The call had no effect.
	ErrRefused = errors.New("store: call refused")
	// ErrCompacted says that a watch's revision is too old; list again.
	ErrCompacted = errors.New("store: watch revision compacted")
)

// API is the store as the slices use it. Client implements it over HTTP;
// tests use a fake.
type API interface {
	Get(ctx context.Context, key string) (Object, error)
	// Put writes if the object has the expected version; 0 creates.
	Put(ctx context.Context, key string, value []byte, expect Version) (Version, error)
	Delete(ctx context.Context, key string, expect Version) error
	List(ctx context.Context, prefix string) (objects []Object, revision uint64, err error)
	// Watch returns the changes after the revision, or none when wait passed.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (changes []Change, revision uint64, err error)
	Instances(ctx context.Context) ([]PlatformInstance, error)
}
