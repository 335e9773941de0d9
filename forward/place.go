package forward

import (
	"context"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// maxCandidates is the number of engines whose load is queried before a
	// generation is placed. Two are far better than one, and each further
	// engine improves the choice less.
	maxCandidates = 3
	// maxLoadRounds bounds the rounds of load queries while all queried engines
	// are too busy.
	maxLoadRounds = 3
	// admissionShare is the share of the target latency that the queued prompts
	// of an engine may take. More prompts will arrive there before the first
	// event.
	admissionShare = 0.6
	// overloadRetryShare is the share of the target latency after which a
	// caller that was refused because of overload should retry; a response can
	// still be on time then.
	overloadRetryShare = 0.45
	// maxEngineWait bounds how long a stream waits for an engine while all are
	// down; crashed engines are back after a second or more.
	maxEngineWait = 2500 * time.Millisecond
	// engineRetryInterval is the interval between two placement attempts during
	// that wait.
	engineRetryInterval = 60 * time.Millisecond
)

// placeRun returns the lease of the next run and whether it continues from a
// backup copy.
func (s *stream) placeRun() (*balance.Lease, bool, *reason.Error) {
	if backup := s.backup; backup != nil {
		s.backup = nil
		if s.h.o.Balance.IsAvailable(backup.Endpoint) {
			s.h.o.Balance.PromoteBackup(backup)
			return backup, true, nil
		}
		s.h.o.Balance.Release(backup, balance.Cancelled)
	}
	until := s.h.o.Clock() + maxEngineWait
	for {
		work := s.work()
		for range maxLoadRounds {
			if work.Probed = s.refreshLoads(work); s.h.o.Balance.HasCapacity(work) {
				break
			}
		}
		lease, err := s.h.o.Balance.Choose(work)
		if err == nil {
			return lease, false, nil
		}
		if err.Reason == reason.AttemptsExhausted && len(s.req.tried) > 0 {
			// Engines that failed earlier may have restarted.
			s.req.tried = nil
			continue
		}
		if s.h.o.Clock() >= until || s.ctx.Err() != nil || !s.headerWritten {
			if s.mayHaveRun {
				err = err.WithRun(reason.RunUnknown)
			}
			return nil, false, err.WithRetryAfter(s.retryAfter(err))
		}
		sleep(s.ctx, engineRetryInterval)
	}
}

// work describes the stream to the balancer. A first attempt whose response
// would start late is refused before it takes engine time from others. A
// response that an engine or a caller has already started is not.
func (s *stream) work() balance.Request {
	work := s.req.work()
	if s.req.attempts == 0 && s.req.info.LastEventID == "" {
		work.MaxFirstEventDelay = time.Duration(float64(s.req.route.TargetLatency) * admissionShare)
	}
	return work
}

// retryAfter returns the Retry-After advice for a refused stream.
func (s *stream) retryAfter(err *reason.Error) time.Duration {
	if err.Reason == reason.Overloaded {
		return time.Duration(float64(s.req.route.TargetLatency) * overloadRetryShare)
	}
	return retryAfter(s.req.info.Timeout)
}

// refreshLoads queries the load of the preferred engines for the work and
// returns them. If an engine does not respond, its load is estimated from this
// instance's own requests. Engines that hold the prompt's KV cache are not
// queried, since the query would only delay the next event.
func (s *stream) refreshLoads(work balance.Request) []api.EndpointID {
	if s.h.o.LoadProber == nil || work.Tokens == 0 || len(work.Prefer) > 0 {
		return nil
	}
	engines := s.h.o.Balance.Candidates(work, maxCandidates)
	s.h.o.LoadProber.Refresh(s.ctx, engines)
	var ids []api.EndpointID
	for _, engine := range engines {
		ids = append(ids, engine.ID)
	}
	return ids
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
