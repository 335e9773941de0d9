package quarantine

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
)

var _ = Describe("A quarantine with coincident prompts", func() {
	var c *Core
	var now time.Duration

	BeforeEach(func() { c, now = NewCore(), time.Hour })

	crash := func(engine int, waiting ...[]Part) {
		now += 2 * time.Second
		name := fmt.Sprint(engine)
		c.Step(now, EngineCrashed{Endpoint: api.EndpointID(name), Domain: api.FailureDomain(name), Running: waitingFor(waiting...)})
	}

	// Guards against refusing a sound part for the lifetime of the records because it waited beside a deadly one.
	It("does not refuse a part whose crashes another prompt explains", func() {
		for engine := range minCrashes {
			crash(engine, []Part{house, deadly}, []Part{season})
		}
		for engine := range 2 * minCrashes {
			crash(10+engine, []Part{house, deadly})
		}
		Expect(c.Assess(now, Request{Shared: []Part{season}}).Causes).To(BeEmpty())
		Expect(c.Assess(now, Request{Shared: []Part{house, deadly}}).Causes).NotTo(BeEmpty())
	})

	// Guards against refusing a sound part because one crash was reported late by several instances.
	It("counts one crash once although reports of different prompts are seconds apart", func() {
		for i := range minCrashes {
			crash(1, []Part{house, PartOf(fmt.Sprint("session", i))})
		}
		Expect(c.Assess(now, Request{Shared: []Part{house}}).Causes).To(BeEmpty())
	})

	// Guards against a record beyond the size of a message that keeps all others from being sent.
	It("sends the other records when one exceeds a message", func() {
		var long []Part
		for i := range 30 {
			long = append(long, PartOf(fmt.Sprint("long", i)))
		}
		crash(0, long)
		for engine := 1; engine <= 4; engine++ {
			crash(engine, []Part{house, deadly})
		}
		sent := make(map[uint64]bool)
		for range 100 {
			for _, record := range c.Collect(now, 200).GetPromptCrashes() {
				sent[record.GetCrash()] = true
			}
		}
		Expect(len(sent)).To(BeNumerically(">=", 4))
	})
})
