package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}

// Parts of prompts. Requests with deadly crash their engines.
var (
	deadly = PartOf("deadly")
	house  = PartOf("house rules")
	season = PartOf("season")
)

// waitingFor returns requests that wait for their first event, without a content.
func waitingFor(prompts ...[]Part) []Request {
	var requests []Request
	for _, parts := range prompts {
		requests = append(requests, Request{Shared: parts})
	}
	return requests
}

var _ = Describe("A quarantine", func() {
	var c *Core
	var now time.Duration
	crashes := 0

	BeforeEach(func() { c, now, crashes = NewCore(), time.Hour, 0 })

	crash := func(domain string, waiting ...[]Part) {
		crashes++
		now += 2 * time.Second
		c.Step(now, EngineCrashed{Endpoint: api.EndpointID(fmt.Sprint("e", crashes)), Domain: api.FailureDomain(domain), Running: waitingFor(waiting...)})
	}
	refused := func(parts ...Part) bool { return c.Assess(now, Request{Shared: parts}).Refused() }

	// Guards against requests with one part that crash engine after engine because no two are alike.
	It("refuses a part after three crashes, whatever else the requests contain", func() {
		for i := range minCrashes {
			Expect(refused(deadly)).To(BeFalse())
			crash("d", []Part{PartOf(fmt.Sprint("first", i)), deadly})
		}
		Expect(refused(PartOf("another first part"), deadly)).To(BeTrue())
		Expect(refused(PartOf("first0"))).To(BeFalse())
	})

	// Guards against refusing sound requests that share a part with those that crash engines.
	It("refuses only requests with all parts that may be the cause", func() {
		for range minCrashes {
			crash("d", []Part{house, deadly})
		}
		Expect(refused(house, deadly)).To(BeTrue())
		Expect(refused(house)).To(BeFalse())
		Expect(refused(deadly)).To(BeFalse())
	})

	It("refuses a part alone once the parts beside it were served", func() {
		for range minCrashes {
			crash("d", []Part{house, deadly})
		}
		c.Step(now, PartsServed{Parts: []Part{house}})
		Expect(refused(season, deadly)).To(BeTrue())
		Expect(refused(house, season)).To(BeFalse())
	})

	// Guards against a part that stays refused with its companion although it crashes engines without it.
	It("refuses a part alone once it crashed an engine without its companion", func() {
		for range minCrashes {
			crash("d", []Part{house, deadly})
		}
		crash("d", []Part{season, deadly})
		Expect(refused(deadly)).To(BeTrue())
		Expect(refused(house)).To(BeFalse())
	})

	// Guards against refusing what waited on engines that others crashed.
	It("does not refuse a part that is served between crashes", func() {
		for range 10 * minCrashes {
			crash("d", []Part{season})
			c.Step(now+time.Millisecond, PartsServed{Parts: []Part{season}})
			Expect(refused(season)).To(BeFalse())
		}
	})

	// Guards against refusing what waited in a failure domain that failed as a whole.
	It("counts the crashes of a failure domain within a second once", func() {
		for i := range 10 {
			c.Step(now, EngineCrashed{Endpoint: api.EndpointID(fmt.Sprint("e", i)), Domain: "d", Running: waitingFor([]Part{season})})
			now += 50 * time.Millisecond
		}
		Expect(refused(season)).To(BeFalse())
	})

	It("counts a crash once that several requests and instances report", func() {
		for range minCrashes {
			c.Step(now, EngineCrashed{Endpoint: "e", Incarnation: 1, Domain: "d", Running: waitingFor([]Part{season, deadly}, []Part{house, deadly})})
			now += 2 * time.Second
		}
		Expect(refused(deadly)).To(BeFalse())
	})

	// Guards against a part that is harmless forever because it once was.
	It("refuses a part that was served before, after a while without success", func() {
		c.Step(now, PartsServed{Parts: []Part{season}})
		for i := range minCrashes {
			now += servedConfirmation / 10
			name := fmt.Sprint("e", i)
			c.Step(now, EngineCrashed{Endpoint: api.EndpointID(name), Domain: api.FailureDomain(name), Running: waitingFor([]Part{season})})
		}
		Expect(refused(season)).To(BeFalse())
		now += servedConfirmation
		Expect(refused(season)).To(BeTrue())
	})

	It("tries a part again after the lifetime of the records", func() {
		for range minCrashes {
			crash("d", []Part{deadly})
		}
		now += recordLifetime
		c.Step(now, Tick{})
		Expect(refused(deadly)).To(BeFalse())
		Expect(c.records).To(BeEmpty())
		Expect(c.byPart).To(BeEmpty())
	})

	It("keeps a bounded number of records", func() {
		for i := range 2 * maxCrashRecords {
			crash(fmt.Sprint("d", i), []Part{PartOf(fmt.Sprint("p", i))})
		}
		Expect(len(c.records)).To(And(BeNumerically("<=", maxCrashRecords), BeNumerically(">=", (1-evictionShare)*maxCrashRecords)))
	})
})
