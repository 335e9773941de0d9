package wait_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hibiscusstair/hibiscusstair/internal/wait"
)

// TestFor guards against a wait that outlives its context or ends early.
func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		if !wait.For(t.Context(), time.Minute) || time.Since(began) != time.Minute {
			t.Errorf("waited %s", time.Since(began))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if wait.For(ctx, time.Minute) {
			t.Error("the end of the context was not reported")
		}
		if waited := time.Since(began); waited != time.Minute+time.Second {
			t.Errorf("waited %s", waited)
		}
	})
}
