package placement

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// EndpointStatus is the state of one endpoint as shown to operators.
type EndpointStatus struct {
	ID api.EndpointID `json:"id"`
	// State is "alive", "suspected", "dead" or "leaving".
	State             string        `json:"state"`
	Reason            reason.Reason `json:"reason,omitempty"`
	Running           int           `json:"running"`
	OutstandingTokens int           `json:"outstanding"`
	// ForeignRunning is the number of generations of other instances according to
	// the last load report.
	ForeignRunning int `json:"foreign_running"`
}

// Summary is a snapshot of the core's state for metrics.
type Summary struct {
	WaitingRequests    int
	UnusableEndpoints  int
	LinkBytesAvailable float64
	ActiveGrants       int
}

// Status returns the state of all endpoints, ordered by identifier.
func (c *Core) Status() []EndpointStatus {
	list := make([]EndpointStatus, 0, len(c.sortedEndpoints))
	for _, e := range c.sortedEndpoints {
		list = append(list, e.status())
	}
	return list
}

func (e *endpoint) status() EndpointStatus {
	s := EndpointStatus{
		ID:                e.id,
		State:             e.health.state.String(),
		Reason:            e.health.reason,
		Running:           e.activeGrants,
		OutstandingTokens: e.outstandingTokens,
		ForeignRunning:    e.foreignUsage.running,
	}
	if !e.dispatchable || e.draining {
		s.State = "leaving"
		s.Reason = reason.EndpointLeaving
	}
	return s
}

// Summarize returns a snapshot of the core's state for metrics.
func (c *Core) Summarize(now time.Duration) Summary {
	c.linkBudget.refill(now)
	s := Summary{WaitingRequests: len(c.waiting), LinkBytesAvailable: c.linkBudget.availableBytes, ActiveGrants: len(c.grants)}
	for _, e := range c.sortedEndpoints {
		if e.health.state != StateAlive {
			s.UnusableEndpoints++
		}
	}
	return s
}
