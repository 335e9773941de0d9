package backoff_test

import (
	"testing"
	"time"

	"github.com/hibiscusstair/hibiscusstair/internal/backoff"
)

// Guards against an address that is asked too early, or never again.
func TestSet(t *testing.T) {
	now := time.Hour
	s := backoff.NewSet(func() time.Duration { return now })
	s.Start("a", time.Second)
	now += 900 * time.Millisecond
	if !s.Contains("a") || s.Contains("b") {
		t.Error("want a in backoff and b not")
	}
	s.Start("a", time.Second)
	now += 900 * time.Millisecond
	if !s.Contains("a") {
		t.Error("the backoff was not prolonged")
	}
	now += 100 * time.Millisecond
	if s.Contains("a") {
		t.Error("the backoff did not end")
	}
}
