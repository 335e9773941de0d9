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
	// streamPatience and deskPatience are how long callers wait.
	streamPatience = 10 * time.Second
	deskPatience   = 1500 * time.Millisecond
	// callerPause is the longest pause between two requests of a caller.
	callerPause = 60 * time.Millisecond
)

// callUntil sends one request after the other until the context ends. The last
// one is finished.
func (s *soak) callUntil(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		n := s.pick(random)
		if n == nil {
			time.Sleep(callerPause)
			continue
		}
		s.keep(world.Call(context.Background(), s.request(random, n)))
		time.Sleep(time.Duration(random.Int64N(int64(callerPause))))
	}
}

func (s *soak) pick(random *rand.Rand) *deployment.Node {
	ready := s.Ready()
	if len(ready) == 0 {
		return nil
	}
	return ready[random.IntN(len(ready))]
}

func (s *soak) request(random *rand.Rand, n *deployment.Node) world.Request {
	s.mu.Lock()
	s.sequence++
	number := s.sequence
	s.mu.Unlock()
	keys := s.Keys()
	key := keys[random.IntN(len(keys))]
	r := world.Request{
		Attempt: fmt.Sprintf("a%d", number), Instance: n.Caller, Host: deployment.Host, Key: key,
		Body: fmt.Appendf(nil, "body-%d", number), Patience: deskPatience,
	}
	switch draw := random.IntN(10); {
	case draw < 4:
		r.Kind, r.Patience = world.KindStream, streamPatience
		r.Prompt, r.Output = 800+random.IntN(1600), 240+random.IntN(240)
	case draw < 7:
		r.Kind = world.KindOrder
	default:
		r.Kind = world.KindLookup
	}
	r.Target = fmt.Sprintf("/%s/%d?n=%d", r.Kind, number, number)
	return r
}

func (s *soak) keep(o world.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, o)
}
