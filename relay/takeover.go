package relay

import (
	"context"
	"time"

	"github.com/hibiscusstair/hibiscusstair/storesync"
)

// takeoverWatchWait is the maximum wait of the first watch of an instance that did not
// read the store before. Others wait for its response, and a store that stays silent is
// found only after the wait.
const takeoverWatchWait = 50 * time.Millisecond

// takeoverStore is the store with short watches.
type takeoverStore struct{ storesync.Store }

// WatchTable implements storesync.Store.
func (s takeoverStore) WatchTable(ctx context.Context, after storesync.Revision, wait time.Duration) (storesync.TableRead, error) {
	return s.Store.WatchTable(ctx, after, min(wait, takeoverWatchWait))
}

// WatchEndpoints implements storesync.Store.
func (s takeoverStore) WatchEndpoints(ctx context.Context, after storesync.Revision, wait time.Duration) (storesync.EndpointChanges, error) {
	return s.Store.WatchEndpoints(ctx, after, min(wait, takeoverWatchWait))
}
