package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/deployment"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/promise"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

const (
	// recoveryRequests is the number of requests that are sent after the last
	// fault. Each of them has to be served.
	recoveryRequests = 30
	// maxRevocationDelay is how long a revoked API key may still be accepted. The
	// users require 2.5 s, and allow 5 s more while the store is unstable.
	maxRevocationDelay = 7500 * time.Millisecond
)

// checkRecovery waits for recoveryTime after the faults have ended, sends requests
// and describes those that were not served.
func (s *soak) checkRecovery(ctx context.Context) []string {
	time.Sleep(recoveryTime)
	random := rand.New(rand.NewPCG(s.options.Seed, 3))
	var violations []string
	for range recoveryRequests {
		instance := s.pickInstance(random)
		if instance == nil {
			return append(violations, "recovery: no instance is ready")
		}
		o := world.Send(ctx, s.newRequest(random, instance))
		s.addOutcome(o)
		if !o.Complete {
			violations = append(violations, fmt.Sprintf("recovery: %s %s at %s ended with status %d after event %d: %v",
				o.Request.Kind, o.Request.AttemptID, instance.Name, o.Status, o.LastEvent, o.Err))
		}
	}
	return violations
}

// newReport checks the guarantees to callers and returns the report of the run.
func (s *soak) newReport(violations []string) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{Seed: s.options.Seed, Requests: len(s.outcomes), Faults: s.faultLog, Violations: violations}
	received := s.RequestLog.Requests()
	keys := make(map[string]string)
	for _, o := range s.outcomes {
		keys[o.Request.AttemptID] = o.Request.APIKey
		if o.Complete {
			r.Served++
		}
	}
	r.Violations = append(r.Violations, promise.Violations(s.outcomes, received, deployment.Account)...)
	for _, request := range received {
		// A stream may continue after the revocation of the key that it started
		// with.
		revokedAt, revoked := s.revokedKeys[keys[request.AttemptID]]
		if revoked && request.ReceivedAt.Sub(revokedAt) > maxRevocationDelay && !strings.HasPrefix(request.Target, "/"+string(world.KindStream)+"/") {
			r.Violations = append(r.Violations, fmt.Sprintf("%s: ran %s after its API key was revoked", request.AttemptID, request.ReceivedAt.Sub(revokedAt)))
		}
	}
	return r
}
