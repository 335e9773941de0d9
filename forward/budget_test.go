package forward_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/forward"
)

// An instance of a large fleet receives few requests, so its share of the retry
// budget is small. Here it allows no retry at all.
var _ = Describe("An exhausted retry budget", func() {
	// Guards against refusing a request of which nothing has reached an
	// endpoint.
	DescribeTable("does not prevent the use of another endpoint after a failed connection",
		func(path string, serve http.HandlerFunc) {
			synced := make(chan struct{})
			close(synced)
			f := newFixtureWithBudget(synced, forward.RetryBudgetOptions{Window: 10 * time.Second})
			f.applyTable(nil)
			for _, name := range []string{"down-1", "down-2", "down-3", "down-4", "down-5"} {
				f.addEndpoint(name, "127.0.0.1:1")
			}
			f.startEndpoint("up", serve)
			for range 4 {
				code, _, _ := f.get(path)
				Expect(code).To(Equal(http.StatusOK))
			}
		},
		Entry("for a stream", "/stream/x", streamEvents(3, endStream)),
		Entry("for a plain request", "/lookup/x", respond("done")),
	)

	// Guards against failures that multiply the load on a service.
	It("prevents retries of requests that have run", func() {
		synced := make(chan struct{})
		close(synced)
		f := newFixtureWithBudget(synced, forward.RetryBudgetOptions{Window: 10 * time.Second})
		f.applyTable(nil)
		f.startEndpoint("a", respondStatus(http.StatusInternalServerError))
		f.startEndpoint("b", respondStatus(http.StatusInternalServerError))
		code, _, _ := f.get("/lookup/x")
		Expect(code).To(Equal(http.StatusInternalServerError))
		Expect(f.received()).To(HaveLen(1))
	})
})

var _ = Describe("A retry budget", func() {
	// Guards against a division by zero in each request of an instance whose settings
	// name no window, from the start or after a reload.
	It("has a window if none is set", func() {
		budget := forward.NewRetryBudget(forward.RetryBudgetOptions{Baseline: 1})
		budget.AddRequest(time.Second, "s")
		Expect(budget.TryRetry(time.Second, "s")).To(BeTrue())
		Expect(budget.TryRetry(time.Second, "s")).To(BeFalse())
		budget.SetLimits(0, 2, 0)
		Expect(budget.TryRetry(time.Second, "s")).To(BeTrue())
	})

	// Guards against limits that take effect only after a restart.
	It("follows changed limits and keeps its usage", func() {
		budget := forward.NewRetryBudget(forward.RetryBudgetOptions{Baseline: 1, Window: 10 * time.Second})
		Expect(budget.TryRetry(time.Second, "s")).To(BeTrue())
		Expect(budget.CanRetry(time.Second, "s")).To(BeFalse())
		budget.SetLimits(0, 2, 10*time.Second)
		Expect(budget.TryRetry(time.Second, "s")).To(BeTrue())
		Expect(budget.CanRetry(time.Second, "s")).To(BeFalse())
	})

	// Guards against a check that uses up a retry which is then not made.
	It("is not used by asking whether a retry is allowed", func() {
		budget := forward.NewRetryBudget(forward.RetryBudgetOptions{Baseline: 1, Window: 10 * time.Second})
		for range 3 {
			Expect(budget.CanRetry(time.Second, "s")).To(BeTrue())
		}
		Expect(budget.TryRetry(time.Second, "s")).To(BeTrue())
		Expect(budget.CanRetry(time.Second, "s")).To(BeFalse())
	})
})
