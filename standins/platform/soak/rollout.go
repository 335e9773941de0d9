package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hibiscusstair/hibiscusstair/internal/wait"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

const (
	// rolloutVersion is the version to which the engines are moved.
	rolloutVersion = "v2"
	// rolloutShare is the duration of a rollout as a share of that of the run, and
	// statusTime the time for the status after it, since faults go on until the end.
	rolloutShare = 0.7
	statusTime   = 3 * time.Second
	// exposeShare and exposeSlack bound the requests that a bad version gets, as in the
	// settings.
	exposeShare = 0.1
	exposeSlack = 50
)

// startedRollout is a rollout of the run.
type startedRollout struct {
	bad     bool
	ordered time.Time
	limit   time.Time
	state   string // last state that was read
}

// rollOut starts engines of another version and orders a rollout to it. In half of the runs
// the version fails many of its requests.
func (s *soak) rollOut(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 5))
	faults := world.VersionFaults{}
	if random.IntN(2) == 0 {
		faults.FailShare = 0.3 + 0.4*random.Float64()
	}
	if !wait.For(ctx, randomDuration(random, 100*time.Millisecond, time.Second)) {
		return
	}
	added, err := s.StartVersion(rolloutVersion, faults)
	if err != nil {
		s.logFault("engines of the other version did not start: %s", err)
		return
	}
	duration := time.Duration(rolloutShare * float64(s.options.Duration))
	started := &startedRollout{bad: faults.FailShare > 0, ordered: time.Now(), limit: time.Now().Add(duration)}
	s.logFault("rollout within %s to a version that fails %.2f of its requests", duration, faults.FailShare)
	status, err := s.RollOut(context.WithoutCancel(ctx), rolloutVersion, added, duration, statusTime)
	started.state = status.State
	s.logFault("the rollout is %q after %s (%v)", status.State, time.Since(started.ordered), err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rollout = started
}

// rolloutViolations checks that a bad version got at most its share until the time limit.
func (s *soak) rolloutViolations() []string {
	s.mu.Lock()
	started := s.rollout
	s.mu.Unlock()
	if started == nil || !started.bad {
		return nil
	}
	all, exposed := 0, 0
	for _, r := range s.RequestLog.Requests() {
		stream := strings.HasPrefix(r.Target, "/"+string(world.KindStream)+"/")
		if stream && r.ReceivedAt.After(started.ordered) && r.ReceivedAt.Before(started.limit) {
			all++
			if r.Version == rolloutVersion {
				exposed++
			}
		}
	}
	s.logFault("%d of %d streams were sent to the bad version", exposed, all)
	if float64(exposed) > exposeShare*float64(all)+exposeSlack {
		return []string{fmt.Sprintf("rollout: %d of %d streams were sent to the bad version", exposed, all)}
	}
	return nil
}
