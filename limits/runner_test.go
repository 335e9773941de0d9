package limits

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

func TestLimits(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limits")
}

var _ = Describe("the runner", func() {
	var (
		ctx    context.Context
		config *api.Config
		delay  time.Duration
	)

	start := func(instance api.InstanceID, instances int) *Runner {
		r, err := New(Options{
			Instance: instance, Config: func() *api.Config { return config }, InstanceCount: func() int { return instances },
			QueueDelay: func(api.Priority) time.Duration { return delay },
		})
		Expect(err).NotTo(HaveOccurred())
		done := make(chan error, 1)
		running, cancel := context.WithCancel(ctx)
		go func() { done <- r.Run(running) }()
		DeferCleanup(func() {
			cancel()
			Eventually(done).Should(Receive(BeNil()))
		})
		return r
	}
	request := api.AdmissionRequest{Account: testAccount, Priority: api.PriorityInteractive, Tokens: 10}

	BeforeEach(func() {
		ctx = context.Background()
		config = configWith(0, 25)
		delay = 0
	})

	// Guards against freeing the tokens of a request twice.
	It("limits tokens in flight and frees them once", func() {
		r := start("i1", 1)
		first, err := r.Admit(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		_, err = r.Admit(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		_, err = r.Admit(ctx, request)
		Expect(reason.From(err).Reason).To(Equal(reason.AccountTokens))
		r.Release(first)
		r.Release(first)
		_, err = r.Admit(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		_, err = r.Admit(ctx, request)
		Expect(reason.From(err).Reason).To(Equal(reason.AccountTokens))
	})

	// Guards against a refusal that leaves open whether the request ran and when to
	// retry it.
	It("refuses requests above the rate as not run, with a Retry-After time", func() {
		config = configWith(1, 0)
		r := start("i1", 1)
		_, err := r.Admit(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		_, err = r.Admit(ctx, request)
		typed := reason.From(err)
		Expect(typed.Reason).To(Equal(reason.AccountRate))
		Expect(typed.Run).To(Equal(reason.RunNo))
		Expect(typed.RetryAfter).To(BeNumerically(">", 0))
	})

	// Guards against admitting requests without a limit that applies to them.
	It("refuses an unknown account, and every request without a configuration", func() {
		r := start("i1", 1)
		_, err := r.Admit(ctx, api.AdmissionRequest{Account: "other"})
		Expect(reason.From(err).Reason).To(Equal(reason.Unauthenticated))
		config = nil
		_, err = r.Admit(ctx, request)
		Expect(reason.From(err).Reason).To(Equal(reason.NotReady))
	})

	// Guards against tokens that are never freed because the caller cancels
	// between the event and the reply.
	It("frees the tokens of a request that was cancelled during its admission", func() {
		r := start("i1", 1)
		gone, cancel := context.WithCancel(ctx)
		cancel()
		for range 50 {
			if admission, err := r.Admit(gone, request); err == nil {
				r.Release(admission)
			}
		}
		Eventually(func() error { _, err := r.Admit(ctx, request); return err }).Should(Succeed())
	})

	// Guards against demand that is not passed on to a third instance.
	It("passes demand on to other instances", func() {
		config = configWith(1000, 0)
		first, second := start("i1", 2), start("i2", 2)
		second.Merge(nil)
		admitted := func() int {
			count := 0
			for range 2000 {
				if admission, err := first.Admit(ctx, request); err == nil {
					first.Release(admission)
					count++
				}
			}
			return count
		}
		admitted()
		first.Merge(nil)
		deltas := first.Collect(200)
		Expect(deltas.Usage).To(HaveLen(1))
		second.Merge(deltas)
		Eventually(func() int { return len(second.Collect(200).Usage) }).Should(Equal(1))
	})

	// Guards against shedding lookups under overload, and against queueing a
	// request that cannot be served before its deadline.
	It("sheds requests that would exceed their deadline in the queue, but never a lookup", func() {
		config = configWith(0, 0)
		delay = time.Hour
		r := start("i1", 1)
		late := request
		late.Deadline = r.options.Clock() + time.Minute
		Eventually(func() reason.Reason {
			admission, err := r.Admit(ctx, late)
			if err == nil {
				r.Release(admission)
				return ""
			}
			return reason.From(err).Reason
		}).Should(Equal(reason.Overloaded))
		late.Priority = api.PriorityLookup
		_, err := r.Admit(ctx, late)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against retries that add load while all requests fail.
	It("limits retries when no requests are admitted", func() {
		r := start("i1", 1)
		allowed := 0
		for range 100 {
			if r.TryRetry(api.PriorityInteractive) {
				allowed++
			}
		}
		Expect(allowed).To(BeNumerically("<=", maxSavedRetries))
		Expect(allowed).To(BeNumerically(">", 0))
	})
})
