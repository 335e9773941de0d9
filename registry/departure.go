package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// copyGrace is how long a registration that had ended before is ignored when the
	// store was restored from a copy that still has it. It ends within this time if
	// its endpoint does not renew it.
	copyGrace = 6 * time.Second
	// departureMemory is how long an ended registration is remembered. Copies of the
	// store are some seconds old.
	departureMemory = 5 * time.Minute
)

// departure is the end of an endpoint's registration.
type departure struct {
	incarnation int64
	// drained is the highest incarnation that left after draining; 0 is none.
	drained int64
	at      time.Duration
}

func (c *Core) recordDeparture(now time.Duration, endpoint Endpoint) {
	left := departure{incarnation: endpoint.Incarnation, drained: c.departed[endpoint.ID].drained, at: now}
	if endpoint.Draining {
		left.drained = max(left.drained, endpoint.Incarnation)
	}
	c.departed[endpoint.ID] = left
}

// isFromCopy reports whether a registration had ended before the store was restored.
func (c *Core) isFromCopy(now time.Duration, endpoint Endpoint) bool {
	if c.restoredAt == 0 || now-c.restoredAt >= copyGrace || c.entries[endpoint.ID] != nil {
		return false
	}
	left, ok := c.departed[endpoint.ID]
	return ok && left.incarnation == endpoint.Incarnation
}

// hasDrained reports whether the endpoint has drained and left. It does not return in
// the same incarnation or an earlier one.
func (c *Core) hasDrained(endpoint Endpoint) bool {
	return endpoint.Incarnation != 0 && endpoint.Incarnation <= c.departed[endpoint.ID].drained
}

// expireDepartures applies the registrations of a copy that are still there after
// copyGrace, and forgets old departures.
func (c *Core) expireDepartures(now time.Duration) {
	if len(c.fromCopy) > 0 && now-c.restoredAt >= copyGrace {
		for _, id := range slices.Sorted(maps.Keys(c.fromCopy)) {
			c.applyRegistration(now, c.fromCopy[id])
		}
		clear(c.fromCopy)
	}
	if now-c.departuresCheckedAt < copyGrace {
		return
	}
	c.departuresCheckedAt = now
	maps.DeleteFunc(c.departed, func(_ api.EndpointID, left departure) bool { return now-left.at >= departureMemory })
}
