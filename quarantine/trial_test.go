package quarantine

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
)

var _ = Describe("A trial of tied contents", func() {
	const poison, sound, other = Part(1), Part(2), Part(3)
	var c *Core
	var now time.Duration
	engines := 0

	crash := func(contents ...Part) {
		engines++
		ev := EngineCrashed{Endpoint: api.EndpointID(fmt.Sprint(engines)), Domain: api.FailureDomain(fmt.Sprint(engines))}
		for _, content := range contents {
			ev.Running = append(ev.Running, Request{Content: content})
		}
		c.Step(now, ev)
	}
	assess := func(c *Core, content Part) Assessment { return c.Assess(now, Request{Content: content}) }
	try := func(c *Core, content Part) bool { return c.StartTrial(now, assess(c, content), 0) }

	BeforeEach(func() {
		c, now = NewCore(), time.Hour
		for range minCrashes {
			crash(poison, sound, other)
			now += 100 * time.Millisecond
		}
	})

	// Guards against sound content that is refused for the lifetime of the records.
	It("releases content that an engine runs to its end", func() {
		now += trialDelay
		Expect(try(c, sound)).To(BeTrue())
		c.Step(now, RequestCompleted{Request{Content: sound}})
		Expect(assess(c, sound).Refused()).To(BeFalse())
		Expect(assess(c, poison).Refused()).To(BeTrue())
		Expect(assess(c, other).Refused()).To(BeTrue())
	})

	// Guards against a trial of each content after the one that crashes engines is known.
	It("releases all others when one crashes an engine again, which is never tried again", func() {
		now += trialDelay
		Expect(try(c, poison)).To(BeTrue())
		crash(poison)
		Expect(assess(c, sound).Refused()).To(BeTrue())
		now += explanationDelay
		Expect(assess(c, sound).State).To(Equal(StateExplained))
		Expect(assess(c, other).State).To(Equal(StateExplained))
		for range 100 {
			now += trialInterval
			Expect(try(c, poison)).To(BeFalse())
		}
	})

	// Guards against tied contents that meet at an engine again.
	It("is the only one for a time, and not repeated for a longer one", func() {
		Expect(try(c, poison)).To(BeFalse())
		now += trialDelay
		Expect(try(c, sound)).To(BeTrue())
		now += trialInterval - 1
		Expect(try(c, other)).To(BeFalse())
		now++
		Expect(try(c, other)).To(BeTrue())
		now += trialInterval
		Expect(try(c, sound)).To(BeFalse())
		now += repeatedTrialInterval
		Expect(try(c, sound)).To(BeTrue())
	})

	// Guards against instances that each send content that crashes engines.
	It("is known to other instances before they may begin one", func() {
		second, started := NewCore(), NewCore()
		second.Step(now, recordsFromProto(c.Collect(now, 4096)))
		now += trialDelay
		Expect(second.StartTrial(now, assess(second, poison), 1)).To(BeFalse())
		Expect(try(c, poison)).To(BeTrue())
		second.Step(now, recordsFromProto(c.Collect(now, 4096)))
		started.Step(now, recordsFromProto(c.Snapshot(now)))
		now += trialStagger
		Expect(second.StartTrial(now, assess(second, poison), 1)).To(BeFalse())
		Expect(try(started, sound)).To(BeFalse())
	})

	// Guards against instances that each send content that crashes engines once the trial before it is over.
	It("is begun by one instance after the other after each trial", func() {
		now += trialDelay
		Expect(try(c, sound)).To(BeTrue())
		now += trialInterval
		Expect(c.StartTrial(now, assess(c, poison), 1)).To(BeFalse())
		now += trialStagger
		Expect(c.StartTrial(now, assess(c, poison), 2)).To(BeFalse())
		Expect(c.StartTrial(now, assess(c, poison), 1)).To(BeTrue())
	})

	// Guards against releasing content since the record of its newest crash has not arrived yet.
	It("leaves content refused until the other instances have reported what they ran", func() {
		second := NewCore()
		second.Step(now, recordsFromProto(c.Collect(now, 4096)))
		engine := api.EndpointID("seen by both")
		second.Step(now, EngineCrashed{Endpoint: engine, Domain: "d", Running: []Request{{Content: sound}}})
		Expect(assess(second, poison).Refused()).To(BeTrue())
		c.Step(now, EngineCrashed{Endpoint: engine, Domain: "d", Running: []Request{{Content: poison}}})
		second.Step(now, recordsFromProto(c.Collect(now, 4096)))
		now += explanationDelay
		Expect(assess(second, poison).Refused()).To(BeTrue())
	})

	// Guards against trials of content that is known to crash engines.
	It("is not begun for content that was in more crashes than any other", func() {
		crash(poison)
		now += trialDelay
		Expect(assess(c, poison).Refused()).To(BeTrue())
		Expect(try(c, poison)).To(BeFalse())
	})

	// Guards against a trial of a prompt with tied content and a part that is known to crash engines.
	It("is not begun for a request with a part that nothing else explains", func() {
		const deadly = Part(9)
		for i := range 2 * minCrashes {
			now += time.Second
			c.Step(now, EngineCrashed{Endpoint: api.EndpointID(fmt.Sprint("p", i)), Domain: api.FailureDomain(fmt.Sprint("p", i)), Running: []Request{{Shared: []Part{deadly}}}})
		}
		now += trialDelay
		Expect(assess(c, sound).Tied).To(BeTrue())
		a := c.Assess(now, Request{Content: sound, Shared: []Part{deadly}})
		Expect(a.Refused()).To(BeTrue())
		Expect(c.StartTrial(now, a, 0)).To(BeFalse())
	})

	It("is forgotten once the content may be tried again", func() {
		now += trialDelay
		Expect(try(c, sound)).To(BeTrue())
		now += repeatedTrialInterval
		c.Step(now, Tick{})
		Expect(c.tried).To(BeEmpty())
		Expect(c.unsentTried).To(BeEmpty())
	})

	It("begins at one instance after the other", func() {
		members := []api.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "gone", State: api.MemberLeft}}
		for i := range members {
			if members[i].ID != "gone" {
				members[i].State = api.MemberAlive
			}
		}
		var ranks []int
		for _, m := range members[:3] {
			ranks = append(ranks, trialRank(m.ID, members))
		}
		Expect(ranks).To(ConsistOf(0, 1, 2))
	})
})
