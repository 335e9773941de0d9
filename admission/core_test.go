package admission_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/admission"
	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

// waiting returns a request of the less urgent route that arrives at a time.
func waiting(id, account string, at time.Duration) admission.Request {
	return admission.Request{
		ID: id, Account: api.AccountID(account), Rank: 2, Received: at, Arrived: at,
		Target: 10 * time.Second, Deadline: at + 25*time.Second, Tokens: 9000,
	}
}

// placeAll places all requests of a queue and returns their IDs in this order.
func placeAll(core *admission.Core, now time.Duration) (ids []string) {
	for {
		next, ok := core.Next(now)
		if !ok {
			return ids
		}
		core.Placed(now, next.ID)
		ids = append(ids, next.ID)
	}
}

func enqueue(core *admission.Core, now time.Duration, requests ...admission.Request) {
	GinkgoHelper()
	for _, r := range requests {
		core.RecordArrival(r)
		Expect(core.Enqueue(now, r)).To(BeNil())
	}
}

var _ = Describe("The order of the queue", func() {
	const now = time.Minute

	// Guards against urgent requests that wait behind less urgent ones.
	It("goes by rank first", func() {
		core := admission.NewCore()
		urgent := waiting("urgent", "a", now)
		urgent.Rank = 0
		enqueue(core, now, waiting("first", "a", now-5*time.Second), urgent, waiting("last", "b", now))
		Expect(core.HasAhead(0)).To(BeTrue())
		Expect(placeAll(core, now)).To(Equal([]string{"urgent", "first", "last"}))
		Expect(core.HasAhead(2)).To(BeFalse())
	})

	// Guards against requests that are late because others with more time went first.
	It("goes by the time left relative to the work left within an account", func() {
		core := admission.NewCore()
		large := waiting("large", "a", now-time.Second)
		large.Tokens = 15000
		enqueue(core, now, waiting("new", "a", now), waiting("old", "a", now-3*time.Second), large)
		Expect(placeAll(core, now)).To(Equal([]string{"large", "old", "new"}))
	})

	// Load: 40 requests of one account, then one of each of five others. Guards against
	// accounts that wait for the whole burst of another.
	It("gives the accounts turns", func() {
		core := admission.NewCore()
		for i := range 40 {
			enqueue(core, now, waiting(fmt.Sprint("large-", i), "large", now-time.Second))
		}
		for i := range 5 {
			enqueue(core, now, waiting(fmt.Sprint("small-", i), fmt.Sprint("small-", i), now))
		}
		Expect(placeAll(core, now)[:13]).To(ContainElements("small-0", "small-1", "small-2", "small-3", "small-4"))
	})

	// Guards against an account with large requests that gets more than its share.
	It("counts an account's turns by the size of its requests", func() {
		core := admission.NewCore()
		for i := range 20 {
			large, small := waiting(fmt.Sprint("large-", i), "large", now), waiting(fmt.Sprint("small-", i), "small", now)
			large.Tokens, small.Tokens = 14000, 3500
			enqueue(core, now, large, small)
		}
		tokens := map[string]int{}
		for _, id := range placeAll(core, now)[:24] {
			if id[:5] == "large" {
				tokens["large"] += 14000
			} else {
				tokens["small"] += 3500
			}
		}
		Expect(tokens["large"]).To(BeNumerically("~", tokens["small"], 20000))
	})

	// Guards against a late request that takes the room of one that can be on time.
	It("puts requests that cannot be on time last", func() {
		core := admission.NewCore()
		enqueue(core, now, waiting("late", "a", now-11*time.Second), waiting("new", "b", now), waiting("also new", "a", now))
		ids := placeAll(core, now)
		Expect(ids[2]).To(Equal("late"))
	})
})

var _ = Describe("The limits of a request", func() {
	const now = time.Minute
	limits := func(r admission.Request) admission.Limits {
		core := admission.NewCore()
		core.RecordArrival(r)
		return core.Limits(now, r, engineCapacity)
	}

	// Guards against less urgent requests that fill the engines as far as urgent ones may,
	// and against limits that keep a request waiting although it is late.
	It("rise with its urgency", func() {
		Expect(limits(waiting("new", "a", now))).To(Equal(admission.Limits{Generations: 5, Prefills: 1}))
		before := admission.Limits{}
		for waited := time.Duration(0); waited < 12*time.Second; waited += 100 * time.Millisecond {
			current := limits(waiting("r", "a", now-waited))
			Expect(current.Generations).To(BeNumerically(">=", before.Generations))
			Expect(current.Prefills).To(BeNumerically(">=", before.Prefills))
			before = current
		}
		Expect(before).To(Equal(admission.Limits{Generations: 8, Prefills: 2}))
		urgent := waiting("urgent", "a", now)
		urgent.Rank = 0
		Expect(limits(urgent)).To(Equal(admission.Limits{Generations: 9, Prefills: 2}))
	})

	// Guards against a request that waits behind one with lower limits, although an engine
	// has room for it.
	It("are those of the most urgent one that waits", func() {
		core := admission.NewCore()
		enqueue(core, now, waiting("new", "a", now), waiting("old", "b", now-5*time.Second))
		Expect(core.QueueLimits(now, waiting("new", "a", now), engineCapacity)).To(Equal(core.Limits(now, waiting("old", "b", now-5*time.Second), engineCapacity)))
	})

	// Guards against small requests that an engine takes without bound.
	It("go by the average size of the requests", func() {
		core := admission.NewCore()
		for range 200 {
			core.RecordArrival(waiting("r", "a", now))
		}
		small := waiting("small", "a", now)
		small.Tokens = 500
		core.RecordArrival(small)
		Expect(core.Limits(now, small, engineCapacity).Generations).To(Equal(5))
	})
})

var _ = Describe("A request that cannot be served in time", func() {
	const now = time.Minute

	// slowQueue has a waiting request and places one in two seconds.
	slowQueue := func() *admission.Core {
		core := admission.NewCore()
		core.RecordFirstEvent(2 * time.Second)
		core.RecordDuration(8 * time.Second)
		for i := range 8 {
			enqueue(core, now-20*time.Second+time.Duration(2*i)*time.Second, waiting(fmt.Sprint(i), "a", now))
			if i > 0 {
				core.Placed(now-20*time.Second+time.Duration(2*i)*time.Second, fmt.Sprint(i))
			}
		}
		for i := range 6 {
			enqueue(core, now, waiting(fmt.Sprint("ahead-", i), "a", now))
		}
		return core
	}

	// Guards against callers that wait in vain, and against returns all at once.
	It("is refused when it arrives, with a Retry-After that is spread", func() {
		core := slowQueue()
		advised := map[time.Duration]bool{}
		for i := range 20 {
			refusal := core.Enqueue(now, waiting(fmt.Sprint("r", i), "b", now))
			Expect(refusal).NotTo(BeNil())
			Expect(refusal.Reason).To(Equal(reason.Overloaded))
			Expect(refusal.Run).To(Equal(reason.RunNo))
			Expect(refusal.RetryAfter).To(And(BeNumerically(">=", 200*time.Millisecond), BeNumerically("<=", 25*time.Second/3)))
			advised[refusal.RetryAfter] = true
		}
		Expect(len(advised)).To(BeNumerically(">", 3))
	})

	// Guards against an urgent request that is refused because of less urgent ones.
	It("is not refused if it goes before the others", func() {
		urgent := waiting("urgent", "b", now)
		urgent.Rank = 0
		Expect(slowQueue().Enqueue(now, urgent)).To(BeNil())
	})

	// Guards against requests that stay in the queue until their deadline.
	It("is refused while it waits", func() {
		core := admission.NewCore()
		core.RecordDuration(8 * time.Second)
		enqueue(core, now, waiting("r", "a", now))
		Expect(core.Expire(now + 11*time.Second)).To(BeEmpty())
		Expect(core.Expire(now + 13*time.Second)).To(HaveKey("r"))
		Expect(core.Len()).To(BeZero())
	})

	// Guards against a queue without bound.
	It("is refused if the queue is full", func() {
		core := admission.NewCore()
		for i := range 256 {
			enqueue(core, now, waiting(fmt.Sprint(i), "a", now))
		}
		Expect(core.Enqueue(now, waiting("one more", "a", now)).Reason).To(Equal(reason.Overloaded))
	})
})

var _ = Describe("A caller that returns after a refusal", func() {
	const now = time.Minute
	refused := func(core *admission.Core, r admission.Request) {
		GinkgoHelper()
		core.RecordDuration(time.Minute)
		Expect(core.Enqueue(now, r)).NotTo(BeNil())
	}

	// Guards against callers that lose their place each time they return.
	It("is ordered by its first arrival, for a bounded time and only until it is served", func() {
		core := admission.NewCore()
		r := waiting("r", "a", now)
		r.Content = 7
		refused(core, r)
		again := waiting("r2", "a", now+3*time.Second)
		again.Content = 7
		Expect(core.FirstArrival(now+3*time.Second, again)).To(Equal(now))
		other := again
		other.Account = "b"
		Expect(core.FirstArrival(now+3*time.Second, other)).To(Equal(other.Received))
		late := again
		late.Received = now + time.Minute
		Expect(core.FirstArrival(now+time.Minute, late)).To(Equal(late.Received))
		unknown := waiting("r3", "a", now+3*time.Second)
		Expect(core.FirstArrival(now+3*time.Second, unknown)).To(Equal(unknown.Received))
		core.Forget(again)
		Expect(core.FirstArrival(now+3*time.Second, again)).To(Equal(again.Received))
	})

	// Guards against memory that grows with the refusals.
	It("is forgotten if many others are refused after it", func() {
		core := admission.NewCore()
		for i := range 1100 {
			r := waiting(fmt.Sprint("r", i), "a", now)
			r.Content = uint64(i + 1)
			refused(core, r)
		}
		first := waiting("again", "a", now+time.Second)
		first.Content = 1
		Expect(core.FirstArrival(now+time.Second, first)).To(Equal(first.Received))
		last := waiting("again", "a", now+time.Second)
		last.Content = 1100
		Expect(core.FirstArrival(now+time.Second, last)).To(Equal(now))
	})
})

var _ = Describe("The load queries of an instance", func() {
	// Guards against a price that grows with the time that requests wait.
	It("are bounded by a rate", func() {
		budget := admission.QueryBudget{}
		made := 0
		for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
			n := budget.Available(now)
			budget.Spend(n)
			made += n
		}
		Expect(made).To(BeNumerically("<=", 10*20))
		Expect(made).To(BeNumerically(">=", 4*20))
	})

	// Guards against engines that are tried long after another instance has used them.
	It("go first to engines that were freed just now", func() {
		core := admission.NewCore()
		freed := registry.Endpoint{ID: "e1"}
		core.RecordFreed(time.Second, freed)
		Expect(core.TakeFreed(time.Second)).To(BeEmpty(), "nothing waits")
		enqueue(core, time.Second, waiting("r", "a", time.Second))
		core.RecordFreed(time.Second, freed)
		Expect(core.TakeFreed(time.Second + 100*time.Millisecond)).To(Equal([]registry.Endpoint{freed}))
		Expect(core.TakeFreed(time.Second + 100*time.Millisecond)).To(BeEmpty())
		core.RecordFreed(2*time.Second, freed)
		Expect(core.TakeFreed(3 * time.Second)).To(BeEmpty())
	})
})
