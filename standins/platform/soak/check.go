package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/deployment"
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
	r := Report{Seed: s.o.Seed, Requests: len(s.outcomes), Faults: s.injected, Broken: broken}
	arrivals := s.Book.Arrivals()
	runs := make(map[string]int)
	for _, a := range arrivals {
		runs[a.Attempt]++
	}
	sent := make(map[string]world.Request)
	for _, o := range s.outcomes {
		sent[o.Request.Attempt] = o.Request
		if o.Whole {
			r.Served++
		}
		r.Broken = append(r.Broken, checkOutcome(o, runs[o.Request.Attempt])...)
	}
	for _, a := range arrivals {
		r.Broken = append(r.Broken, s.checkArrival(a, sent)...)
	}
	return r
}

func checkOutcome(o world.Outcome, runs int) []string {
	var broken []string
	id := fmt.Sprintf("%s %s", o.Request.Kind, o.Request.Attempt)
	if o.Fault != "" {
		broken = append(broken, id+": "+o.Fault)
	}
	if o.Refused() && runs > 0 && o.Request.Kind != world.KindLookup {
		broken = append(broken, fmt.Sprintf("%s: refused with %d although it ran", id, o.Status))
	}
	if o.Request.Kind == world.KindOrder && runs > 1 {
		broken = append(broken, fmt.Sprintf("%s: ran %d times", id, runs))
	}
	if o.Status == 404 || (o.Status >= 400 && o.Status < 500 && o.Status != 401 && !o.Refused()) {
		broken = append(broken, fmt.Sprintf("%s: status %d although the route exists", id, o.Status))
	}
	return broken
}

func (s *soak) checkArrival(a world.Arrival, sent map[string]world.Request) []string {
	request, ok := sent[a.Attempt]
	if !ok {
		return []string{fmt.Sprintf("%s ran at %s but no caller has sent it", a.Attempt, a.Endpoint)}
	}
	var broken []string
	body := request.Body
	if request.Kind == world.KindLookup {
		body = nil
	}
	if a.Target != request.Target || a.Body != world.Hash(body) {
		broken = append(broken, fmt.Sprintf("%s: target or body changed: %s", a.Attempt, a.Target))
	}
	if a.Account != deployment.Account || a.Key != "" {
		broken = append(broken, fmt.Sprintf("%s: account %q, key passed on: %t", a.Attempt, a.Account, a.Key != ""))
	}
	if at, gone := s.removed[request.Key]; gone && a.At.Sub(at) > revokeBound && request.Kind != world.KindStream {
		broken = append(broken, fmt.Sprintf("%s: ran %s after its key was taken away", a.Attempt, a.At.Sub(at)))
	}
	return broken
}
