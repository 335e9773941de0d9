package deployment

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscusstair/hibiscusstair/internal/wait"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

// ContractRollout lets the instances serve rollouts.
const ContractRollout = "rollout"

const (
	rolloutKind = "rollouts"
	// statusInterval is the time between two checks of the status of a rollout.
	statusInterval = 50 * time.Millisecond
	// drainDelay is how long the engines of a reverted version still serve before they drain.
	drainDelay = 4 * time.Second
)

// RolloutStatus is the status of a rollout as the platform reads it.
type RolloutStatus struct {
	State string `json:"state"`
	To    string `json:"to"`
	Phase string `json:"phase"`
}

// rolloutSpec is the specification of a rollout.
type rolloutSpec struct {
	Service   string  `json:"service"`
	To        string  `json:"to"`
	DurationS float64 `json:"duration-s"`
}

// StartVersion starts as many engines of a version as there are of the first one, and
// returns them.
func (d *Deployment) StartVersion(version string, faults world.VersionFaults) ([]*world.Endpoint, error) {
	engines := make([]*world.Endpoint, 0, len(d.Engines))
	for i := range d.Engines {
		e := world.NewEngine("llm", Domain(i), d.options.EngineParameters, d.Store, d.RequestLog, d.backups)
		e.SetVersion(version, faults)
		if err := e.Start(); err != nil {
			return engines, err
		}
		engines = append(engines, e)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.added = append(d.added, engines...)
	return engines, nil
}

// RollOut orders that the traffic of the engines be moved to a version, and does what the
// platform does when the status is final: it stops the old engines at once, or drains the
// new ones. It returns the last status, and an error if it is not final after the duration
// and the extra time.
func (d *Deployment) RollOut(ctx context.Context, version string, added []*world.Endpoint, duration, extra time.Duration) (RolloutStatus, error) {
	ordered := time.Now()
	d.Store.Put(rolloutKind, "llm", rolloutSpec{Service: "llm", To: version, DurationS: duration.Seconds()})
	for {
		var status RolloutStatus
		d.Store.Status(rolloutKind, "llm", &status)
		switch {
		case status.To != version:
		case status.State == "complete":
			for _, e := range d.Engines {
				e.Retire()
			}
			return status, nil
		case status.State == "reverted":
			go d.retireDrained(ctx, added)
			return status, nil
		}
		if time.Since(ordered) > duration+extra {
			return status, fmt.Errorf("deployment: the rollout is %q after %s", status.State, time.Since(ordered))
		}
		if !wait.For(ctx, statusInterval) {
			return status, ctx.Err()
		}
	}
}

// retireDrained drains engines and stops them once they are idle.
func (d *Deployment) retireDrained(ctx context.Context, engines []*world.Endpoint) {
	if !wait.For(ctx, drainDelay) {
		return
	}
	for _, e := range engines {
		e.StartDraining()
	}
	for _, e := range engines {
		for !e.Idle() && wait.For(ctx, statusInterval) {
		}
		e.Retire()
	}
}
