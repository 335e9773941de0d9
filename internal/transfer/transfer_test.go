package transfer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hibiscusstair/hibiscusstair/internal/transfer"
)

// Guards against a document that is requested again from its first byte because
// its link is slow, and against a call that never ends.
func TestBounds(t *testing.T) {
	bounds := transfer.Bounds{FirstByte: time.Second, Stall: 300 * time.Millisecond, Total: 3 * time.Second}
	tests := []struct {
		name     string
		parts    int // received every 200 ms, the first after 750 ms
		ended    time.Duration
		observed int32
	}{
		{"nothing received", 0, time.Second, 0},
		{"stalled after two parts", 2, 1250 * time.Millisecond, 2},
		{"never complete", 100, 3 * time.Second, 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				var observed atomic.Int32
				ctx, cancel := transfer.WithBounds(transfer.Observe(t.Context(), transfer.Observer{OnPart: func() { observed.Add(1) }}), bounds)
				defer cancel()
				go func() {
					time.Sleep(750 * time.Millisecond)
					for range test.parts {
						if ctx.Err() == nil {
							transfer.Progress(ctx)
						}
						time.Sleep(200 * time.Millisecond)
					}
				}()
				<-ctx.Done()
				if ended := time.Since(began); ended != test.ended || observed.Load() != test.observed {
					t.Errorf("ended after %v with %d parts, want %v with %d", ended, observed.Load(), test.ended, test.observed)
				}
				synctest.Wait()
				time.Sleep(time.Minute)
			})
		})
	}
	transfer.Progress(context.Background())
}
