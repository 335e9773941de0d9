package ratelimit

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// server grants permits to other instances.
type server struct{ limiter *Limiter }

var _ peerpb.Permits = server{}

// Server returns the service by which other instances ask for permits.
func (l *Limiter) Server() peerpb.Permits { return server{l} }

// Acquire implements peerpb.Permits. The caller is told if its limit is out of
// date.
func (s server) Acquire(_ context.Context, r *peerpb.PermitRequest) (*peerpb.PermitResponse, error) {
	now := s.limiter.o.Clock()
	asked, ok := fromProto(now, r.GetLimit())
	if !ok {
		return nil, twirp.InvalidArgumentError("limit", "is not valid")
	}
	s.limiter.record(asked)
	response := &peerpb.PermitResponse{}
	if known, ok := s.limiter.known(asked.Endpoint); ok && (known.Ended || known.PerSecond != asked.PerSecond) {
		response.Newer = toProto(now, known)
	}
	decision := s.limiter.grant(asked.Endpoint)
	response.Granted = decision.Granted
	response.WaitMs = uint32((decision.Wait + time.Millisecond - 1).Milliseconds())
	return response, nil
}

func (l *Limiter) known(e Endpoint) (Limit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Known(e)
}
