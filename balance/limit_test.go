package balance_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

var _ = Describe("Endpoints that limit their requests", func() {
	request := balance.Request{Service: "llm", Tokens: promptTokens}

	// Guards against a permit that is asked for again at once, and against an
	// endpoint that is not chosen any more after its limit.
	It("are not chosen until a permit may be granted", func() {
		core := newCore("i", 2)
		first, _ := core.Choose(0, request)
		core.Withdraw(0, first, time.Second)
		second, _ := core.Choose(0, request)
		Expect(second.Endpoint.ID).NotTo(Equal(first.Endpoint.ID))
		core.Withdraw(0, second, 2*time.Second)
		_, refusal := core.Choose(400*time.Millisecond, request)
		Expect(refusal.Reason).To(Equal(reason.EndpointRate))
		Expect(refusal.RetryAfter).To(Equal(600 * time.Millisecond))
		Expect(core.Candidates(400*time.Millisecond, request, 5)).To(BeEmpty())
		third, refusal := core.Choose(time.Second, request)
		Expect(refusal).To(BeNil())
		Expect(third.Endpoint.ID).To(Equal(first.Endpoint.ID))
	})

	// Guards against an attempt without permit that counts as load, or as a slow or
	// failed one.
	It("keep their load and their averages when a lease is withdrawn", func() {
		core, untouched := newCore("i", 1), newCore("i", 1)
		lease, _ := core.Choose(0, request)
		core.Withdraw(10*time.Second, lease, time.Millisecond)
		core.Withdraw(10*time.Second, lease, time.Hour)
		after, _ := core.Choose(11*time.Second, request)
		want, _ := untouched.Choose(11*time.Second, request)
		Expect(after.Load).To(Equal(want.Load))
		Expect(after.Suspected).To(BeFalse())
	})

	// Guards against requests to an endpoint that has said for how long it wants none, also
	// after its limit has changed, and for continuations.
	It("are not chosen while they have asked for a pause", func() {
		core := newCore("i", 2)
		first, _ := core.Choose(0, request)
		core.Defer(0, first.Endpoint.ID, first.Endpoint.Incarnation, 3*time.Second)
		core.Defer(0, first.Endpoint.ID, first.Endpoint.Incarnation, time.Second)
		core.SetLimited(first.Endpoint.ID, first.Endpoint.Incarnation, false)
		second, _ := core.Choose(2*time.Second, request)
		Expect(second.Endpoint.ID).NotTo(Equal(first.Endpoint.ID))
		Expect(core.IsAvailable(2*time.Second, first.Endpoint)).To(BeFalse())
		core.Defer(2*time.Second, second.Endpoint.ID, second.Endpoint.Incarnation, 5*time.Second)
		_, refusal := core.Choose(2500*time.Millisecond, request)
		Expect(refusal.Reason).To(Equal(reason.EndpointBusy))
		Expect(refusal.RetryAfter).To(Equal(500 * time.Millisecond))
		third, refusal := core.Choose(3*time.Second, request)
		Expect(refusal).To(BeNil())
		Expect(third.Endpoint.ID).To(Equal(first.Endpoint.ID))
	})

	It("are left out for requests that take no permit", func() {
		core := newCore("i", 2)
		first, _ := core.Choose(0, request)
		core.SetLimited(first.Endpoint.ID, first.Endpoint.Incarnation, true)
		unlimited := request
		unlimited.OnlyUnlimited = true
		for range 3 {
			lease, _ := core.Choose(time.Second, unlimited)
			Expect(lease.Endpoint.ID).NotTo(Equal(first.Endpoint.ID))
		}
	})
})
