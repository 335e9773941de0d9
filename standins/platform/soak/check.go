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
	// recoveryRequests are sent after the last fault; each has to be served.
	recoveryRequests = 30
	// revokeBound is how long after its removal a key may still be used. The
	// users' bound is 2.5 s, stretched by 5 s while the store is unstable.
	revokeBound = 7500 * time.Millisecond
)

// checkRecovery sends requests after the faults have healed and returns what
// was not served.
func (s *soak) checkRecovery(ctx context.Context) []string {
	time.Sleep(settleTime)
	random := rand.New(rand.NewPCG(s.o.Seed, 3))
	var broken []string
	for range recoveryRequests {
		n := s.pick(random)
		if n == nil {
			return append(broken, "recovery: no instance is ready")
		}
		o := world.Call(ctx, s.request(random, n))
		s.keep(o)
		if !o.Whole {
			broken = append(broken, fmt.Sprintf("recovery: %s %s at %s ended with status %d after event %d: %v",
				o.Request.Kind, o.Request.Attempt, n.Name, o.Status, o.Last, o.Err))
		}
	}
	return broken
}

// report checks the promises against what callers saw and endpoints ran.
func (s *soak) report(broken []string) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{Seed: s.o.Seed, Requests: len(s.outcomes), Faults: s.injected, Violations: broken}
	arrivals := s.Book.Arrivals()
	keys := make(map[string]string)
	for _, o := range s.outcomes {
		keys[o.Request.Attempt] = o.Request.Key
		if o.Whole {
			r.Served++
		}
	}
	r.Violations = append(r.Violations, promise.Broken(s.outcomes, arrivals, deployment.Account)...)
	for _, a := range arrivals {
		// A stream may go on with the key that it began with.
		at, gone := s.removed[keys[a.Attempt]]
		if gone && a.At.Sub(at) > revokeBound && !strings.HasPrefix(a.Target, "/"+string(world.KindStream)+"/") {
			r.Violations = append(r.Violations, fmt.Sprintf("%s: ran %s after its key was taken away", a.Attempt, a.At.Sub(at)))
		}
	}
	return r
}
