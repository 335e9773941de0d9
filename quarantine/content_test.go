package quarantine

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
)

var _ = Describe("A quarantine of contents", func() {
	const content, sound = Part(1), Part(2)
	var c *Core
	var now time.Duration
	engines := 0

	BeforeEach(func() { c, now, engines = NewCore(), time.Hour, 0 })

	// crashed returns the crash of another engine that ran the contents.
	crashed := func(domain string, contents ...Part) EngineCrashed {
		engines++
		ev := EngineCrashed{Endpoint: api.EndpointID(fmt.Sprint(engines)), Domain: api.FailureDomain(domain)}
		for _, content := range contents {
			ev.Running = append(ev.Running, Request{Content: content})
		}
		return ev
	}
	refusedBy := func(c *Core, content Part) bool { return c.Assess(now, Request{Content: content}).Refused() }

	// Guards against content whose crashes in one failure domain cancel each other.
	It("counts engines of one failure domain that ran the content one after the other", func() {
		for range minCrashes {
			Expect(refusedBy(c, content)).To(BeFalse())
			c.Step(now, crashed("d", content))
			now += 2 * rerunWindow
		}
		Expect(refusedBy(c, content)).To(BeTrue())
	})

	It("counts engines of one failure domain that crashed at once only once", func() {
		for range 2 * minCrashes {
			c.Step(now, crashed("d", content))
			now += rerunWindow / 10
		}
		Expect(refusedBy(c, content)).To(BeFalse())
	})

	// Guards against a request whose attempts crash one engine after the other in a
	// deployment of one failure domain, and which counts as one crash each time it comes.
	It("counts the engines that one request crashed when it was sent again", func() {
		for i := range minCrashes {
			Expect(refusedBy(c, content)).To(BeFalse())
			ev := crashed("d", content)
			ev.Running[0].Rerun = i > 0
			c.Step(now, ev)
			now += rerunWindow / 10
		}
		Expect(refusedBy(c, content)).To(BeTrue())
		other := NewCore()
		other.Step(now, recordsFromProto(c.Collect(now, 4096)))
		Expect(refusedBy(other, content)).To(BeTrue())
	})

	// Guards against refusing what was sent again to engines of a failure domain that fails.
	It("does not refuse requests that a failing domain interrupts again and again", func() {
		const requests, attempts = 50, 2 * minCrashes
		for attempt := range attempts {
			for i := range requests {
				ev := crashed("d", Part(i+1))
				ev.Running[0].Rerun = attempt > 0
				c.Step(now, ev)
			}
			now += rerunWindow / (2 * attempts)
		}
		for i := range requests {
			Expect(refusedBy(c, Part(i+1))).To(BeFalse())
		}
	})

	// Guards against a refusal that each further crash delays.
	It("refuses content that goes on crashing engines", func() {
		for range 10 * minCrashes {
			c.Step(now, crashed("d", content))
			now += 2 * rerunWindow
		}
		Expect(refusedBy(c, content)).To(BeTrue())
	})

	// Guards against crashes that are lost because several instances see them at the same time.
	It("adds up the crashes that different instances saw at the same time", func() {
		cores := []*Core{NewCore(), NewCore(), NewCore()}
		for i, core := range cores {
			core.Step(now, crashed(fmt.Sprint("d", i), content))
		}
		for _, from := range cores {
			for _, to := range cores {
				to.Step(now, recordsFromProto(from.Collect(now, 4096)))
			}
		}
		for _, core := range cores {
			Expect(refusedBy(core, content)).To(BeTrue())
		}
	})

	// Guards against an instance that tries the content anew because it has just started.
	It("is known to an instance that has just started, without the contents that crashed once", func() {
		for i := range minCrashes {
			c.Step(now, crashed(fmt.Sprint("d", i), content, Part(100+i)))
		}
		started := NewCore()
		started.Step(now, recordsFromProto(c.Snapshot(now)))
		Expect(refusedBy(started, content)).To(BeTrue())
		Expect(started.records).To(HaveLen(minCrashes))
	})

	// Guards against refusing what ran beside content that crashes engines.
	It("does not refuse content whose crashes another content explains", func() {
		for i := range 2 * minCrashes {
			ran := []Part{content, sound}
			if i%2 == 1 {
				ran = ran[:1]
			}
			c.Step(now, crashed(fmt.Sprint("d", i), ran...))
			now += time.Second
		}
		Expect(refusedBy(c, content)).To(BeTrue())
		Expect(refusedBy(c, sound)).To(BeFalse())
	})

	// Guards against two contents that exempt each other because they crash engines at the same time.
	It("refuses two contents that crash engines at the same moments", func() {
		for i := range minCrashes {
			c.Step(now, crashed(fmt.Sprint("d", i), content))
			c.Step(now, crashed(fmt.Sprint("e", i), sound))
			now += time.Second
		}
		Expect(refusedBy(c, content)).To(BeTrue())
		Expect(refusedBy(c, sound)).To(BeTrue())
	})

	// Guards against content that goes on crashing engines since sound content ran at all its crashes too.
	It("refuses content that crashes engines although other content ran at each of the crashes", func() {
		for i := range minCrashes {
			c.Step(now, crashed(fmt.Sprint("d", i), content, sound))
			now += time.Second
		}
		Expect(refusedBy(c, content)).To(BeTrue())
	})

	It("does not refuse content that engines run to its end between the crashes", func() {
		for i := range 4 * minCrashes {
			c.Step(now, crashed(fmt.Sprint("d", i), content))
			c.Step(now+time.Millisecond, RequestCompleted{Request{Content: content}})
			now += time.Second
			Expect(refusedBy(c, content)).To(BeFalse())
		}
	})

	// Guards against memory that grows with each request.
	It("does not remember completed contents that were in no crash", func() {
		c.Step(now, RequestCompleted{Request{Content: content}})
		Expect(c.served).To(BeEmpty())
	})

	Context("when engines only stop responding", func() {
		unconfirmed := func(domain string) EngineCrashed {
			ev := crashed(domain, content)
			ev.Unconfirmed = true
			return ev
		}

		It("refuses the content for a short time", func() {
			for i := range minCrashes {
				c.Step(now, unconfirmed(fmt.Sprint("d", i)))
			}
			Expect(refusedBy(c, content)).To(BeTrue())
			now += unconfirmedLifetime
			Expect(refusedBy(c, content)).To(BeFalse())
			c.Step(now, Tick{})
			Expect(c.records).To(BeEmpty())
		})

		// Guards against evidence that ends although the engines were found to have crashed.
		It("goes on refusing it once the crashes are confirmed", func() {
			for i := range minCrashes {
				ev := unconfirmed(fmt.Sprint("d", i))
				c.Step(now, ev)
				ev.Unconfirmed = false
				c.Step(now+time.Second, ev)
				c.Step(now+2*time.Second, EngineCrashed{Endpoint: ev.Endpoint, Domain: ev.Domain, Running: ev.Running, Unconfirmed: true})
			}
			now += unconfirmedLifetime
			Expect(refusedBy(c, content)).To(BeTrue())
		})
	})

	It("keeps the content that crashes engines when it has too many records", func() {
		for i := range minCrashes {
			c.Step(now, crashed(fmt.Sprint("d", i), content))
		}
		for i := range 2 * maxCrashRecords {
			c.Step(now+time.Second, crashed(fmt.Sprint("d", i), Part(1000+i)))
		}
		Expect(refusedBy(c, content)).To(BeTrue())
		Expect(len(c.records)).To(BeNumerically("<=", maxCrashRecords))
	})
})
