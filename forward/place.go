package forward

import (
	"context"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// candidates is the number of engines that are asked for their load before a
	// generation is placed. Two are far better than one, and each one more adds
	// less.
	candidates = 3
	// askRounds bounds the rounds of questions while all engines that were asked
	// are too busy.
	askRounds = 3
	// admitShare is the part of the target latency that the prompts at an engine
	// may take. More arrive there before the first event.
	admitShare = 0.6
	// overloadShare is the part of the target latency after which a caller that
	// was refused because of an overload returns; it can still be on time.
	overloadShare = 0.45
	// noEngineWait bounds how long a stream looks for an engine while all are
	// down; engines that crash are back after a second or more.
	noEngineWait = 2500 * time.Millisecond
	// noEnginePause is the pause between two looks.
	noEnginePause = 60 * time.Millisecond
)

// place returns the lease of the next run and whether it uses a copy.
func (s *stream) place() (*balance.Lease, bool, *reason.Error) {
	if backup := s.backup; backup != nil {
		s.backup = nil
		if s.h.o.Balance.IsAvailable(backup.Endpoint) {
			s.h.o.Balance.PromoteBackup(backup)
			return backup, true, nil
		}
		s.h.o.Balance.Release(backup, balance.Cancelled)
	}
	until := s.h.o.Clock() + noEngineWait
	for {
		work := s.work()
		for range askRounds {
			if work.Probed = s.askLoads(work); s.h.o.Balance.HasCapacity(work) {
				break
			}
		}
		lease, err := s.h.o.Balance.Choose(work)
		if err == nil {
			return lease, false, nil
		}
		if err.Reason == reason.AttemptsExhausted && len(s.req.tried) > 0 {
			// Engines that were lost may be back.
			s.req.tried = nil
			continue
		}
		if s.h.o.Clock() >= until || s.ctx.Err() != nil || !s.begun {
			if s.ran {
				err = err.WithRun(reason.RunUnknown)
			}
			return nil, false, err.WithRetryAfter(s.returnPause(err))
		}
		sleep(s.ctx, noEnginePause)
	}
}

// work describes the stream to the balancer. An answer that would begin late is
// refused before it takes an engine's time from others, but not one that an
// engine or a caller has begun.
func (s *stream) work() balance.Request {
	work := s.req.work()
	if s.req.attempts == 0 && s.req.call.LastEventID == "" {
		work.MaxFirstEventDelay = time.Duration(float64(s.req.route.TargetLatency) * admitShare)
	}
	return work
}

// returnPause is the advice when to come back.
func (s *stream) returnPause(err *reason.Error) time.Duration {
	if err.Reason == reason.Overloaded {
		return time.Duration(float64(s.req.route.TargetLatency) * overloadShare)
	}
	return returnPause(s.req.call.Timeout)
}

// askLoads asks the engines that come first for the work how busy they are, and
// returns them. Without an answer an engine's work here decides. Where the
// prompt is held the question would only delay the next event.
func (s *stream) askLoads(work balance.Request) []api.EndpointID {
	if s.h.o.LoadProber == nil || work.Tokens == 0 || len(work.Prefer) > 0 {
		return nil
	}
	engines := s.h.o.Balance.Candidates(work, candidates)
	s.h.o.LoadProber.Refresh(s.ctx, engines)
	var among []api.EndpointID
	for _, engine := range engines {
		among = append(among, engine.ID)
	}
	return among
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
