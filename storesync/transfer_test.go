package storesync_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/internal/transfer"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/storesync"
)

// breakingStore sends its first configuration whole. Later ones begin, and break off when
// nothing more has arrived for a while.
type breakingStore struct {
	storesync.Store
	parts int // that arrive of each document, 100 ms apart
}

func (breakingStore) ReadTable(context.Context) (storesync.TableRead, error) {
	return storesync.TableRead{Table: routing.New(1, nil, nil, nil, routing.Limits{}), Revision: storesync.Revision{Number: 1}}, nil
}

func (s breakingStore) WatchTable(ctx context.Context, _ storesync.Revision, _ time.Duration) (storesync.TableRead, error) {
	for range s.parts {
		transfer.Progress(ctx)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	return storesync.TableRead{}, errDown
}

// Guards against an instance that counts as in contact with the store, and is read through
// by others, although no document of the store arrives whole.
func TestDocumentsThatBreakOffAreNoContact(t *testing.T) {
	for _, parts := range []int{1, 10} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			began := time.Now()
			follower := storesync.New(storesync.Options{
				Store: breakingStore{parts: parts}, Table: &routing.CurrentTable{}, Recorder: discardRecorder{},
				Clock: func() time.Duration { return time.Hour + time.Since(began) },
				Log:   slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
			})
			go func() { _ = follower.FollowTable(ctx) }()
			// The first document that breaks off has ended by then.
			time.Sleep(2500 * time.Millisecond)
			for range 100 {
				time.Sleep(50 * time.Millisecond)
				if !follower.TableContact().Lost() {
					t.Fatalf("%d parts: in contact %v after the last whole document, age %v", parts, time.Since(began), follower.TableContact().Age())
				}
			}
			cancel()
			time.Sleep(time.Minute)
		})
	}
}
