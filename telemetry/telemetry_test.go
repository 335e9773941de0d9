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

var _ = Describe("reason counters", func() {
	// Guards against a refusal that does not show in the scrape before it has
	// happened for the first time, so that no alarm can be set on it.
	It("exist for every reason from the start and count", func() {
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
