package generation

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// TestCrashIsReportedAfterReattachment guards against content that is not reported when
// its engine crashes between a reattachment to the stream and the first token.
func TestCrashIsReportedAfterReattachment(t *testing.T) {
	g := NewWithT(t)
	c := NewCore(CoreOptions{Recovery: RecoverySparing})
	digest := api.Digest{7}
	now := time.Second
	actions := c.Step(now, CallerConnected{Conn: 1, Request: &Request{
		Generation: "g", Digest: digest, Prompt: "p", MaxTokens: 10, Stream: true, Deadline: time.Minute,
	}})
	placement, ok := findAction[RequestPlacement](actions)
	g.Expect(ok).To(BeTrue())
	engine := api.Endpoint{ID: "e", Kind: api.KindEngine}
	c.Step(now, PlacementGranted{Generation: "g", Attempt: placement.Attempt, Grant: api.Grant{ID: 1, Endpoint: engine}})
	now += maxFirstTokenTimeout
	_, ok = findAction[ProbeEndpoint](c.Step(now, Tick{}))
	g.Expect(ok).To(BeTrue())
	_, ok = findAction[ReattachStream](c.Step(now, ProbeFinished{Endpoint: engine.ID, Alive: true}))
	g.Expect(ok).To(BeTrue())
	now += 2 * time.Second
	_, ok = findAction[ProbeEndpoint](c.Step(now, Tick{}))
	g.Expect(ok).To(BeTrue())
	report, _ := findAction[ReportCrash](c.Step(now, ProbeFinished{Endpoint: engine.ID, Crashed: true}))
	g.Expect(report.Running).To(Equal([]api.Digest{digest}))
}

// findAction returns the first action of a type.
func findAction[T Action](actions []Action) (found T, ok bool) {
	for _, action := range actions {
		if found, ok = action.(T); ok {
			return found, true
		}
	}
	return found, false
}
