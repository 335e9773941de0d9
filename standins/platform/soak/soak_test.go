package soak_test

import (
	"context"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/soak"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

// run executes one soak run and checks that no guarantee was violated. The logs
// are kept if it fails.
func run(o soak.Options) soak.Report {
	directory, err := os.MkdirTemp("", "soak-")
	Expect(err).NotTo(HaveOccurred())
	o.LogDirectory = directory
	report, err := soak.Run(context.Background(), o)
	Expect(err).NotTo(HaveOccurred())
	for _, fault := range report.Faults {
		GinkgoWriter.Println(fault)
	}
	Expect(report.Violations).To(BeEmpty(), "seed "+strconv.FormatUint(o.Seed, 10)+", logs in "+directory)
	Expect(os.RemoveAll(directory)).To(Succeed())
	return report
}

var _ = Describe("Instances on the platform stand-in", func() {
	// Guards against refusals and failures without a fault.
	It("serve every request when there are no faults", func() {
		report := run(soak.Options{Seed: 1, Duration: 4 * time.Second, Instances: 3, Engines: 6, Callers: 6, NoFaults: true})
		Expect(report.Served).To(Equal(report.Requests))
	})

	DescribeTable("keep their guarantees to callers under overlapping faults",
		func(seed int, extraFaults bool) {
			report := run(soak.Options{
				Seed: uint64(seed), Duration: 8 * time.Second, Instances: 4, Engines: 9, Callers: 8, ExtraFaults: extraFaults,
			})
			Expect(report.Requests).To(BeNumerically(">", 50))
		},
		Entry("seed 1", 1, false),
		Entry("seed 2", 2, false),
		// The first request after a limit had ended was refused.
		Entry("seed 20285", 20285, false),
		Entry("seed 3, with a store that is restored", 3, true),
	)

	// Guards against requests that are lost, or a bad version that gets too many, when the
	// engines are moved to another version amid faults.
	DescribeTable("keep their guarantees during a rollout under overlapping faults",
		func(seed int) {
			report := run(soak.Options{
				Seed: uint64(seed), Duration: 12 * time.Second, Instances: 4, Engines: 9, Callers: 10, Rollout: true,
			})
			Expect(report.Requests).To(BeNumerically(">", 50))
		},
		Entry("seed 11", 11),
		Entry("seed 12", 12),
		Entry("seed 13", 13),
	)
})
