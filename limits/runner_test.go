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
			Instance: instance, Config: func() *api.Config { return config }, Instances: func() int { return instances },
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

	// Guards tokens in flight against a second release.
	It("bounds tokens in flight and gives them back once", func() {
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

	It("refuses beyond the rate as not run and says when to come back", func() {
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

	It("refuses an unknown account, and everything without a configuration", func() {
		r := start("i1", 1)
		_, err := r.Admit(ctx, api.AdmissionRequest{Account: "other"})
		Expect(reason.From(err).Reason).To(Equal(reason.Unauthenticated))
		config = nil
		_, err = r.Admit(ctx, request)
		Expect(reason.From(err).Reason).To(Equal(reason.NotReady))
	})

	// Guards tokens against a caller that leaves between question and answer.
	It("gives the tokens of a caller back that left early", func() {
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

	// Guards the way of demand from one instance to another.
	It("moves the share to the instance with the demand", func() {
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
		deltas := first.Collect(10)
		Expect(deltas.Usage).To(HaveLen(1))
		second.Merge(deltas)
		Eventually(func() int { return len(second.Collect(10).Usage) }).Should(Equal(1))
	})

	// Guards lookups against shedding under overload, and a request against
	// waiting for nothing.
	It("sheds what would expire in the queue, but never a lookup", func() {
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

	It("bounds retries without requests", func() {
		r := start("i1", 1)
		allowed := 0
		for range 100 {
			if r.AllowRetry(api.PriorityInteractive) {
				allowed++
			}
		}
		Expect(allowed).To(BeNumerically("<=", maxSavedRetries))
		Expect(allowed).To(BeNumerically(">", 0))
	})
})
