package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

const (
	// sendCount is the number of messages that carry a change of a limit. With 330
	// instances a change reaches all in about five rounds.
	sendCount = 12
	// maxAge is the age in milliseconds beyond which a received limit is ignored.
	maxAge = uint64(time.Hour / time.Millisecond)
)

// Collect returns changed limits for another instance, at most maxBytes, the least
// often sent first, and counts them as sent.
func (c *Core) Collect(now time.Duration, maxBytes int) *peerpb.Deltas {
	deltas := &peerpb.Deltas{}
	left := peer.ByteBudget(maxBytes)
	for _, known := range c.unsent() {
		message := toProto(now, known.Limit)
		if !left.Take(message) {
			break
		}
		known.sendsLeft--
		deltas.Limits = append(deltas.Limits, message)
	}
	return deltas
}

func (c *Core) unsent() []*limit {
	var list []*limit
	for _, known := range c.limits {
		if known.sendsLeft > 0 {
			list = append(list, known)
		}
	}
	slices.SortFunc(list, func(a, b *limit) int {
		return cmp.Or(cmp.Compare(b.sendsLeft, a.sendsLeft), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
	})
	return list
}

// Snapshot returns all limits for an instance that has just started.
func (c *Core) Snapshot(now time.Duration) *peerpb.Deltas {
	deltas := &peerpb.Deltas{}
	for _, known := range c.limits {
		deltas.Limits = append(deltas.Limits, toProto(now, known.Limit))
	}
	return deltas
}

func toProto(now time.Duration, l Limit) *peerpb.EndpointLimit {
	return &peerpb.EndpointLimit{
		Endpoint: string(l.Endpoint.ID), Incarnation: l.Endpoint.Incarnation, PerSecond: l.PerSecond, Ended: l.Ended,
		AgeMs: uint64(max(now-l.At, 0).Milliseconds()),
	}
}

// fromProto decodes a limit. It returns false if the message is not valid.
func fromProto(now time.Duration, m *peerpb.EndpointLimit) (Limit, bool) {
	perSecond := m.GetPerSecond()
	if m.GetEndpoint() == "" || m.GetAgeMs() > maxAge || math.IsNaN(perSecond) || perSecond < 0 {
		return Limit{}, false
	}
	return Limit{
		Endpoint:  Endpoint{ID: api.EndpointID(m.GetEndpoint()), Incarnation: m.GetIncarnation()},
		PerSecond: perSecond,
		Ended:     m.GetEnded(),
		At:        now - time.Duration(m.GetAgeMs())*time.Millisecond,
	}, true
}
