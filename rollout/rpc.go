package rollout

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// maxReportedCounts bounds the counts of one report: 64 routes with four versions each.
const maxReportedCounts = 256

// server serves the reports of other instances.
type server struct{ runner *Runner }

var _ peerpb.Rollouts = server{}

// Server returns the service to which other instances report.
func (r *Runner) Server() peerpb.Rollouts { return server{r} }

// Report implements peerpb.Rollouts. An instance takes the reports of those that see it
// as the coordinator, if they are at least half of the known ones.
func (s server) Report(_ context.Context, m *peerpb.RolloutReport) (*peerpb.RolloutGrant, error) {
	report, err := reportFromProto(m)
	if err != nil {
		return nil, err
	}
	grant, ok := s.runner.coordinate(report)
	if !ok {
		return &peerpb.RolloutGrant{Service: report.Service, NotCoordinator: true}, nil
	}
	return grantToProto(grant), nil
}

func reportToProto(report Report) *peerpb.RolloutReport {
	m := &peerpb.RolloutReport{Instance: string(report.Instance), Incarnation: report.Incarnation, Service: report.Service}
	for _, c := range report.Counts {
		m.Counts = append(m.Counts, &peerpb.VersionCounts{
			Route: c.Route, Version: string(c.Version), Sent: c.Sent, Responses: c.Responses, Failures: c.Failures,
			Crashed: c.Crashed, Latency: c.Latency[:], LateGaps: c.LateGaps, Running: uint64(max(0, c.Running)),
		})
	}
	return m
}

func reportFromProto(m *peerpb.RolloutReport) (Report, error) {
	if m.GetInstance() == "" || m.GetService() == "" {
		return Report{}, twirp.RequiredArgumentError("instance and service")
	}
	if len(m.GetCounts()) > maxReportedCounts {
		return Report{}, twirp.InvalidArgumentError("counts", "are too many")
	}
	report := Report{Instance: api.InstanceID(m.GetInstance()), Incarnation: m.GetIncarnation(), Service: m.GetService()}
	for _, c := range m.GetCounts() {
		counts := RouteCounts{
			Route: c.GetRoute(), Version: Version(c.GetVersion()), Sent: c.GetSent(), Responses: c.GetResponses(), Failures: c.GetFailures(),
			Crashed: c.GetCrashed(), LateGaps: c.GetLateGaps(), Running: int64(c.GetRunning()),
		}
		copy(counts.Latency[:], c.GetLatency())
		report.Counts = append(report.Counts, counts)
	}
	return report, nil
}

func grantToProto(g Grant) *peerpb.RolloutGrant {
	return &peerpb.RolloutGrant{
		Service: g.Service, To: string(g.To), State: string(g.State), Phase: string(g.Phase), Share: g.Share,
		ValidMs: uint32(max(0, g.ValidFor.Milliseconds())), CanaryEndpoints: uint32(max(0, g.CanaryEngines)),
	}
}

// grantFromProto decodes a grant. Its validity and share are bounded, so that an instance
// that is out of order cannot raise them.
func grantFromProto(m *peerpb.RolloutGrant) Grant {
	return Grant{
		Service: m.GetService(), To: Version(m.GetTo()), State: State(m.GetState()), Phase: Phase(m.GetPhase()),
		Share:         min(max(m.GetShare(), 0), 1),
		ValidFor:      min(time.Duration(m.GetValidMs())*time.Millisecond, GrantLifetime),
		CanaryEngines: int(m.GetCanaryEndpoints()),
	}
}
