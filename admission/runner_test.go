package admission_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/admission"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

var _ = Describe("Runner", func() {
	var (
		runner *admission.Runner
		scope  tally.TestScope
		places atomic.Int64 // that engines have
	)
	BeforeEach(func() {
		scope = tally.NewTestScope("", nil)
		runner = admission.New(admission.Options{Clock: bootclock.Now, Log: slog.New(slog.DiscardHandler), Scope: scope})
		places.Store(0)
	})
	place := func(context.Context, admission.Trial) admission.Result {
		if places.Add(-1) < 0 {
			places.Add(1)
			return admission.Result{Queries: 1}
		}
		return admission.Result{Placed: true, Queries: 1}
	}
	request := func(id string) admission.Request {
		now := bootclock.Now()
		return admission.Request{ID: id, Rank: 2, Received: now, Target: 10 * time.Second, Deadline: now + 20*time.Second, Tokens: 9000}
	}

	// Guards against a delay for requests that find room.
	It("places a request that finds room at once", func() {
		places.Store(1)
		began := time.Now()
		placed, err := runner.Admit(context.Background(), "s", request("r"), 88000, place)
		Expect(err).To(BeNil())
		Expect(placed).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", 20*time.Millisecond))
	})

	// Load: 50 requests at once, some of which share an ID or leave. Guards against
	// requests that are lost, placed twice, or wait for ever.
	It("ends the wait of every request once", func() {
		var group sync.WaitGroup
		var placed, left atomic.Int64
		for i := range 50 {
			ctx, cancel := context.WithCancel(context.Background())
			if i%5 == 0 {
				time.AfterFunc(100*time.Millisecond, cancel)
			}
			DeferCleanup(cancel)
			group.Go(func() {
				defer GinkgoRecover()
				ok, err := runner.Admit(ctx, "s", request(fmt.Sprint("r", i/2)), 88000, place)
				Expect(err).To(BeNil())
				if ok {
					placed.Add(1)
					return
				}
				Expect(ctx.Err()).To(HaveOccurred())
				left.Add(1)
			})
		}
		time.Sleep(300 * time.Millisecond)
		for range 8 {
			places.Add(5)
			runner.RecordEnd("s", registry.Endpoint{ID: "e"}, time.Second)
			time.Sleep(20 * time.Millisecond)
		}
		group.Wait()
		Expect(left.Load()).To(BeEquivalentTo(10))
		Expect(placed.Load()).To(BeEquivalentTo(40))
		Expect(scope.Snapshot().Histograms()).To(HaveKey("wait+rank=2"))
	})

	// Guards against more than one trial at a time, which would ask the same engines.
	It("attempts to place one waiting request at a time", func() {
		var running, most atomic.Int64
		slow := func(_ context.Context, trial admission.Trial) admission.Result {
			if trial.Waited == 0 {
				return admission.Result{} // the attempt on arrival
			}
			most.Store(max(most.Load(), running.Add(1)))
			defer running.Add(-1)
			time.Sleep(10 * time.Millisecond)
			return admission.Result{Placed: true}
		}
		var group sync.WaitGroup
		for i := range 10 {
			group.Go(func() { _, _ = runner.Admit(context.Background(), "s", request(fmt.Sprint(i)), 88000, slow) })
		}
		group.Wait()
		Expect(most.Load()).To(BeEquivalentTo(1))
	})

	// Guards against callers that wait for an instance that stops, and against an engine
	// that is taken for a request that was refused.
	It("refuses waiting requests on a stop, except one that is being placed", func() {
		trying, finish := make(chan struct{}), make(chan struct{})
		var calls atomic.Int64
		results := make(chan string, 2)
		admit := func(id string, place admission.PlaceFunc) {
			placed, err := runner.Admit(context.Background(), "s", request(id), 88000, place)
			if err != nil {
				Expect(err.Reason).To(Equal(reason.ShuttingDown))
				Expect(err.RetryAfter).To(Equal(50 * time.Millisecond))
			}
			results <- fmt.Sprint(id, " ", placed, " ", err != nil)
		}
		go admit("first", func(context.Context, admission.Trial) admission.Result {
			if calls.Add(1) == 1 {
				return admission.Result{}
			}
			close(trying)
			<-finish
			return admission.Result{Placed: true}
		})
		Eventually(trying, time.Second).Should(BeClosed())
		go admit("second", place)
		Eventually(func() float64 { return scope.Snapshot().Gauges()["queued+"].Value() }, time.Second).Should(BeEquivalentTo(2))
		runner.Stop()
		Eventually(results, 100*time.Millisecond).Should(Receive(Equal("second false true")))
		close(finish)
		Eventually(results, time.Second).Should(Receive(Equal("first true false")))
		admit("third", place)
		Eventually(results, time.Second).Should(Receive(Equal("third false true")))
	})
})
