// Package wait delays a goroutine until a time has passed or a context has ended.
package wait

import (
	"context"
	"time"
)

// For waits for the duration and reports whether it passed before the context ended.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
