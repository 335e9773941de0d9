package relay

import (
	"log/slog"
	"sync"
	"time"
)

// path is the way on which a read reaches the store.
type path string

const (
	pathNone   path = "none"   // nothing responds
	pathStore  path = "store"  // read by this instance
	pathParent path = "parent" // through the parent in the tree of readers
	pathHelper path = "helper" // through any other instance, since the store does not respond
)

// pathRecord is the path of the last read of one kind of object. It is safe for
// concurrent use.
type pathRecord struct {
	kind string
	// untilOwnRead returns the time after which the store is read without other instances.
	untilOwnRead func() time.Duration
	mu           sync.Mutex
	path         path
}

// current returns the path of the last read.
func (r *pathRecord) current() path {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.path
}

// record logs the path of a read if it differs from that of the read before. storeErr is
// the failure of the read of the store itself, nil if it was not tried.
func (r *pathRecord) record(log *slog.Logger, now path, storeErr error) {
	r.mu.Lock()
	before := r.path
	r.path = now
	r.mu.Unlock()
	if now == before {
		return
	}
	log.Info("path to the store changed", "reading", r.kind, "path", string(now), "before", string(before), "store_error", storeErr)
}
