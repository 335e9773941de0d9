package bench

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBench(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench")
}

var _ = Describe("Results", func() {
	results := []Result{{"a_ms", "eager", "ms", 4, 10}, {"a_ms", "sparing", "ms", 2, 10}}

	// Guards against results that change when they are written and read, and against
	// a comparison that leaves out a result that only one side has.
	It("are written, read, plotted and compared", func() {
		directory := GinkgoT().TempDir()
		Expect(Write(directory, results)).To(Succeed())
		read, err := Read(filepath.Join(directory, "bench.json"))
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal(results))
		Expect(Plot(directory, results)).To(Succeed())
		svg, err := os.ReadFile(filepath.Join(directory, "bench-a_ms.svg"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(svg)).To(ContainSubstring("<svg"))
		var table bytes.Buffer
		Expect(Compare(&table, results, []Result{{"a_ms", "eager", "ms", 8, 10}, {"b", "", "1/s", 1, 1}})).To(Succeed())
		Expect(table.String()).To(MatchRegexp(`a_ms +eager +ms +4 +8 +2\.00`))
		Expect(table.String()).To(MatchRegexp(`a_ms +sparing +ms +2 +- +-`))
		Expect(table.String()).To(MatchRegexp(`b +1/s +- +1 +-`))
	})

	// Guards against a tail latency that is lost because it is outside the
	// histogram's range.
	It("include a duration outside the histogram's range", func() {
		h := newHistogram()
		h.add(2 * time.Hour)
		Expect(h.percentile("n", "v", 99).Value).To(BeNumerically("~", time.Minute.Milliseconds(), 100))
	})
})
