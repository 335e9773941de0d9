package placement

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// EndpointStatus is the state of one endpoint for the operators.
type EndpointStatus struct {
	ID api.EndpointID `json:"id"`
	// State is alive, suspected, dead or leaving.
	State             string        `json:"state"`
	Reason            reason.Reason `json:"reason,omitempty"`
	Running           int           `json:"running"`
	OutstandingTokens int           `json:"outstanding"`
	// ForeignRunning is the part of the last load report that is not ours.
	ForeignRunning int `json:"foreign_running"`
}

// Summary is the state of the core in numbers.
type Summary struct {
	WaitingRequests    int
	UnusableEndpoints  int
	LinkBytesAvailable float64
	ActiveGrants       int
}

// Status returns the state of all endpoints, ordered by identifier.
func (c *Core) Status() []EndpointStatus {
	list := make([]EndpointStatus, 0, len(c.ordered))
	for _, e := range c.ordered {
		list = append(list, e.status())
	}
	return list
}

func (e *endpoint) status() EndpointStatus {
	s := EndpointStatus{
		ID:                e.id,
		State:             e.health.state.String(),
		Reason:            e.health.reason,
		Running:           e.running,
		OutstandingTokens: e.outstanding,
		ForeignRunning:    e.foreign.running,
	}
	if !e.dispatchable || e.draining {
		s.State = "leaving"
		s.Reason = reason.EndpointLeaving
	}
	return s
}

// Summarize returns the state of the core in numbers.
func (c *Core) Summarize(now time.Duration) Summary {
	c.link.refill(now)
	s := Summary{WaitingRequests: len(c.waiting), LinkBytesAvailable: c.link.level, ActiveGrants: len(c.grants)}
	for _, e := range c.ordered {
		if e.health.state != StateAlive {
			s.UnusableEndpoints++
		}
	}
	return s
}
