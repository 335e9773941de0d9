package explain_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/explain"
)

func TestExplain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "explain")
}

// log1 and log2 are read in reverse order, so that the timeline has to be sorted.
const log1 = `{"time":"2026-12-04T07:00:00Z","msg":"starting","instance":"i1"}
{"time":"2026-12-04T07:01:00.1Z","msg":"endpoint suspected","instance":"i1","endpoint":"e1"}
{"time":"2026-12-04T07:01:00.2Z","msg":"endpoint suspected","instance":"i1","endpoint":"e9"}
{"time":"2026-12-04T07:01:01Z","msg":"attempt started","instance":"i1","request":"r1","endpoint":"e1","attempt":1}
{"time":"2026-12-04T07:01:01.5Z","msg":"store contact lost","instance":"i1","age_ms":1900}
{"time":"2026-12-04T07:01:02Z","msg":"attempt interrupted","instance":"i1","request":"r1","endpoint":"e1","reason":"engine_silent"}
{"time":"2026-12-04T07:01:03Z","msg":"attempt started","instance":"i1","request":"r2","endpoint":"e1"}
`

const log2 = `not JSON
front-2 {"time":"2026-12-04T07:01:02.5Z","msg":"attempt started","instance":"i2","request":"r1","endpoint":"e2","attempt":1}
{"time":"2026-12-04T07:01:02.6Z","msg":"store contact lost","instance":"i3"}
`

var _ = Describe("Logs", func() {
	var logs *explain.Logs

	BeforeEach(func() {
		logs = &explain.Logs{}
		Expect(logs.Read(strings.NewReader(log2))).To(Succeed())
		Expect(logs.Read(strings.NewReader(log1))).To(Succeed())
	})

	// Guards against lines of other requests, endpoints or instances in the timeline.
	It("returns the lines about the request, its endpoints and the store in order of time", func() {
		timeline, err := logs.Timeline("r1")
		Expect(err).NotTo(HaveOccurred())
		var messages []string
		for _, line := range timeline {
			messages = append(messages, line.Instance+" "+line.Message+" "+line.Endpoint)
		}
		Expect(messages).To(Equal([]string{
			"i1 endpoint suspected e1", "i1 attempt started e1", "i1 store contact lost ", "i1 attempt interrupted e1", "i2 attempt started e2",
		}))
		Expect(logs.SkippedLines).To(Equal(1))
	})

	It("writes a timeline with the time since the request's first line and all fields", func() {
		timeline, _ := logs.Timeline("r1")
		var out strings.Builder
		Expect(explain.WriteTimeline(&out, timeline)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("-900ms  i1  endpoint suspected endpoint=e1"))
		Expect(out.String()).To(ContainSubstring("*        1s  i1  attempt interrupted endpoint=e1 reason=engine_silent"))
	})

	It("returns ErrNotFound if no line mentions the request", func() {
		_, err := logs.Timeline("r7")
		Expect(err).To(MatchError(explain.ErrNotFound))
	})
})

func FuzzRead(f *testing.F) {
	f.Add(log1)
	f.Add("{\"time\":7}")
	// Guards against a panic on any input.
	f.Fuzz(func(_ *testing.T, text string) {
		logs := &explain.Logs{}
		_ = logs.Read(strings.NewReader(text))
		_, _ = logs.Timeline("r1")
	})
}
