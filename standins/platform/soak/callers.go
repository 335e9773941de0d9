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
	// streamTimeout and deskTimeout are the timeouts of a caller's request.
	streamTimeout = 10 * time.Second
	deskTimeout   = 1500 * time.Millisecond
	// maxCallerPause is the longest pause between two requests of a caller.
	maxCallerPause = 60 * time.Millisecond
	// slowBodyShare and halfCloseShare are the shares of the requests whose body pauses,
	// and whose caller closes its sending side early.
	slowBodyShare  = 0.1
	halfCloseShare = 0.05
	// maxBodyPause and maxHalfCloseDelay are the longest times of both.
	maxBodyPause      = 1200 * time.Millisecond
	maxHalfCloseDelay = 300 * time.Millisecond
)

// runCaller sends one request after another until the context ends. The last one is
// not aborted.
func (s *soak) runCaller(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		instance := s.pickInstance(random)
		if instance == nil {
			time.Sleep(maxCallerPause)
			continue
		}
		s.addOutcome(world.Send(context.Background(), s.slowDown(s.newRequest(random, instance))))
		time.Sleep(time.Duration(random.Int64N(int64(maxCallerPause))))
	}
}

// pickInstance returns a random ready instance, nil if none is ready.
func (s *soak) pickInstance(random *rand.Rand) *deployment.Instance {
	ready := s.ReadyInstances()
	if len(ready) == 0 {
		return nil
	}
	return ready[random.IntN(len(ready))]
}

func (s *soak) newRequest(random *rand.Rand, instance *deployment.Instance) world.Request {
	s.mu.Lock()
	s.lastRequest++
	number := s.lastRequest
	s.mu.Unlock()
	keys := s.APIKeys()
	key := keys[random.IntN(len(keys))]
	r := world.Request{
		AttemptID: fmt.Sprintf("a%d", number), InstanceAddress: instance.CallerAddress, Host: deployment.Host, APIKey: key,
		Body: fmt.Appendf(nil, "body-%d", number), Timeout: deskTimeout,
	}
	switch draw := random.IntN(10); {
	case draw < 4:
		r.Kind, r.Timeout = world.KindStream, streamTimeout
		r.PromptTokens, r.OutputTokens = 800+random.IntN(1600), 240+random.IntN(240)
	case draw < 7:
		r.Kind = world.KindOrder
	default:
		r.Kind = world.KindLookup
	}
	r.Target = fmt.Sprintf("/%s/%d?n=%d", r.Kind, number, number)
	return r
}

// slowDown makes the caller of some requests slow, or close its sending side. It draws from
// a source of its own, so that the faults of a seed stay the same.
func (s *soak) slowDown(r world.Request) world.Request {
	random := rand.New(rand.NewPCG(s.options.Seed, world.Hash([]byte(r.AttemptID))))
	switch draw := random.Float64(); {
	case draw < slowBodyShare:
		r.BodyPause = time.Duration(random.Int64N(int64(maxBodyPause)))
	case draw < slowBodyShare+halfCloseShare:
		r.CloseWriteAfter = time.Duration(1 + random.Int64N(int64(maxHalfCloseDelay)))
	}
	return r
}

func (s *soak) addOutcome(o world.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, o)
}
