package admission_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/admission"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
)

// Load: one caller declares a generation of 2^45 tokens. Guards against a round robin that counts up to
// it under the lock of all services.
func TestHugeRequestDelaysNoOtherService(t *testing.T) {
	runner := admission.New(admission.Options{Clock: bootclock.Now, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
	full := func(context.Context, admission.Trial) admission.Result { return admission.Result{} }
	free := func(context.Context, admission.Trial) admission.Result { return admission.Result{Placed: true} }
	request := func(id string, tokens int) admission.Request {
		now := bootclock.Now()
		return admission.Request{ID: id, Rank: 2, Received: now, Target: time.Second, Deadline: now + 20*time.Second, Tokens: tokens}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		_, _ = runner.Admit(ctx, "s", request("huge", 1<<45), 88000, full)
		close(ended)
	}()
	time.Sleep(100 * time.Millisecond)
	done := make(chan struct{})
	go func() {
		_, _ = runner.Admit(context.Background(), "other", request("r", 9000), 88000, free)
		close(done)
	}()
	for _, wait := range []chan struct{}{done, ended} {
		select {
		case <-wait:
		case <-time.After(3 * time.Second):
			t.Fatal("a request waits for ever")
		}
	}
}
