package telemetry_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/telemetry"
)

func TestTelemetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "telemetry")
}

var _ = Describe("ReasonCounters", func() {
	// Guards against a counter that is exported only after its first event, so
	// that no alert rule can refer to it before.
	It("export a counter for every reason from the start", func() {
		metrics := telemetry.NewMetrics()
		counters := telemetry.NewReasonCounters(metrics.Scope.SubScope("order"), "refusals")
		counters.Inc(reason.KeyReused)
		Expect(metrics.Close()).To(Succeed())

		recorder := httptest.NewRecorder()
		metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		for _, r := range reason.All() {
			count := 0
			if r == reason.KeyReused {
				count = 1
			}
			Expect(recorder.Body.String()).To(ContainSubstring(
				fmt.Sprintf("hibiscusstair_order_refusals{reason=%q} %d\n", r, count)))
		}
	})
})
