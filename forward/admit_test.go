package forward_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/admission"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/forward"
	"github.com/hibiscusstair/hibiscusstair/loadprobe"
	"github.com/hibiscusstair/hibiscusstair/routing"
)

// silentEngines report no load.
type silentEngines struct{}

func (silentEngines) FetchLoad(context.Context, string) (balance.Load, error) {
	return balance.Load{}, errors.New("no report")
}

func (silentEngines) HasRequest(context.Context, string, string) (bool, error) {
	return false, errors.New("no report")
}

// Load: one engine, which takes two generations of urgent accounts and one of others.
var _ = Describe("A stream that waits for an engine", func() {
	var (
		f      *fixture
		runner *admission.Runner
		route  routing.Route
		finish chan struct{} // each element ends one generation
	)
	applyTable := func(target time.Duration) {
		route.TargetLatency = target
		// Memory for three generations of 110 tokens: the base limit is 2, that of the
		// first rank 3.
		// Without a report the engine counts as having one more.
		services := []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 8, KVCapacity: 385}}}
		accounts := []routing.Account{{ID: "acme", Keys: []string{"key"}}, {ID: "first", Keys: []string{"urgent"}, HasPriority: true}}
		f.table.Apply(routing.New(f.table.Version()+1, []routing.Route{route}, services, accounts, routing.Limits{}))
	}
	BeforeEach(func() {
		runner = admission.New(admission.Options{Clock: bootclock.Now, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
		f = newFixtureWithOptions(nil, func(f *fixture, o *forward.Options) {
			o.RetryBudget = forward.NewRetryBudget(forward.RetryBudgetOptions{Ratio: 1, Baseline: 100, Window: 10 * time.Second})
			o.Admission = runner
			o.LoadProber = loadprobe.New(loadprobe.Options{Client: silentEngines{}, Balance: f.balance, Clock: bootclock.Now, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
		})
		route = routing.Route{
			Name: "stream", Host: "service.example", Prefix: "/stream/", Stream: true, RetryPolicy: routing.RetryFromLastEvent,
			MaxAttempts: 3, Priority: 2, Services: []routing.WeightedService{{Service: "s", Weight: 1}},
		}
		applyTable(10 * time.Second)
		finish = make(chan struct{}, 16)
		f.startEndpoint("a", func(w http.ResponseWriter, r *http.Request) {
			streamEvents(1, func(_ http.ResponseWriter, r *http.Request) {
				select {
				case <-finish:
				case <-r.Context().Done():
				}
			})(w, r)
		})
	})

	call := func(id, key string, done chan<- string) {
		go func() {
			defer GinkgoRecover()
			response, err := f.call(context.Background(), http.MethodPost, "/stream/"+id, nil, http.Header{headerID: {id}, headerKey: {key}, headerTimeout: {"20000"}})
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = response.Body.Close() }()
			_, _ = io.ReadAll(response.Body)
			done <- id + " " + response.Status + " " + response.Header.Get("Test-Retry-After")
		}()
	}
	receivedIDs := func() (ids []string) {
		for _, r := range f.received() {
			ids = append(ids, r.header.Get(headerID))
		}
		return ids
	}

	// Guards against a full engine that gets further streams, and against an urgent
	// stream that waits behind less urgent ones.
	It("is placed when another one ends, the urgent one first", func() {
		done := make(chan string, 8)
		call("r1", "urgent", done)
		Eventually(receivedIDs, time.Second).Should(Equal([]string{"r1"}))
		call("r2", "urgent", done)
		Eventually(receivedIDs, time.Second).Should(Equal([]string{"r1", "r2"}))
		call("r3", "key", done)
		Consistently(receivedIDs, 300*time.Millisecond).Should(HaveLen(2))
		call("r4", "urgent", done)
		Consistently(receivedIDs, 300*time.Millisecond).Should(HaveLen(2))
		finish <- struct{}{}
		Eventually(receivedIDs, time.Second).Should(Equal([]string{"r1", "r2", "r4"}))
		finish <- struct{}{}
		finish <- struct{}{}
		Eventually(receivedIDs, time.Second).Should(Equal([]string{"r1", "r2", "r4", "r3"}))
		finish <- struct{}{}
		for range 4 {
			Eventually(done, time.Second).Should(Receive(ContainSubstring("200 OK")))
		}
	})

	// Guards against streams that wait for ever because no engine reports its load.
	It("is placed after a quarter of its slack if no engine reports its load", func() {
		applyTable(2 * time.Second)
		done := make(chan string, 8)
		for _, id := range []string{"r1", "r2"} {
			call(id, "urgent", done)
			Eventually(receivedIDs, time.Second).Should(ContainElement(id))
		}
		began := time.Now()
		call("r3", "key", done)
		Eventually(receivedIDs, 2*time.Second).Should(ContainElement("r3"))
		Expect(time.Since(began)).To(And(BeNumerically(">=", 400*time.Millisecond), BeNumerically("<=", 900*time.Millisecond)))
		for range 3 {
			finish <- struct{}{}
			Eventually(done, time.Second).Should(Receive(ContainSubstring("200 OK")))
		}
	})

	// Guards against a generation that no engine can hold and that keeps the others waiting.
	It("is refused at once if it is larger than an engine's memory", func() {
		services := []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 8, KVCapacity: 100}}}
		accounts := []routing.Account{{ID: "acme", Keys: []string{"key"}}}
		f.table.Apply(routing.New(f.table.Version()+1, []routing.Route{route}, services, accounts, routing.Limits{}))
		done := make(chan string, 8)
		call("r1", "key", done)
		Eventually(done, time.Second).Should(Receive(HavePrefix("r1 503 ")))
	})

	// Guards against callers that wait for an instance that stops.
	It("is refused at once when the instance stops", func() {
		done := make(chan string, 8)
		call("r1", "urgent", done)
		Eventually(receivedIDs, time.Second).Should(HaveLen(1))
		call("r2", "urgent", done)
		Eventually(receivedIDs, time.Second).Should(HaveLen(2))
		call("r3", "key", done)
		Consistently(receivedIDs, 200*time.Millisecond).Should(HaveLen(2))
		runner.Stop()
		Eventually(done, 300*time.Millisecond).Should(Receive(Equal("r3 503 Service Unavailable 50ms")))
		finish <- struct{}{}
		finish <- struct{}{}
	})

	// Guards against a lease or a place in the queue that is lost with its caller.
	It("leaves the queue with its caller", func() {
		done := make(chan string, 8)
		call("r1", "urgent", done)
		Eventually(receivedIDs, time.Second).Should(HaveLen(1))
		call("r2", "urgent", done)
		Eventually(receivedIDs, time.Second).Should(HaveLen(2))
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			_, _ = f.call(ctx, http.MethodPost, "/stream/r3", nil, http.Header{headerID: {"r3"}})
		}()
		time.Sleep(100 * time.Millisecond)
		cancel()
		Eventually(f.handler.ActiveRequests, time.Second).Should(Equal(2))
		finish <- struct{}{}
		finish <- struct{}{}
		Eventually(f.handler.ActiveRequests, time.Second).Should(BeZero())
		Expect(receivedIDs()).To(HaveLen(2))
	})
})

var _ = Describe("A stream that the admission queue has placed", func() {
	// Guards against a refusal because prompts wait at all other engines after the first
	// engine accepted no connection: the queue holds requests back, and this one was let
	// through.
	It("is not refused as overloaded when its first engine accepts no connection", func() {
		f := newFixtureWithOptions(nil, func(_ *fixture, o *forward.Options) {
			o.RetryBudget = forward.NewRetryBudget(forward.RetryBudgetOptions{Ratio: 1, Baseline: 100, Window: 10 * time.Second})
			o.Admission = admission.New(admission.Options{Clock: bootclock.Now, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
		})
		f.applyTable(nil)
		f.startEndpoint("b", func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/stream/hang":
				hang(w, r)
				return
			case "/stream/slow":
				time.Sleep(700 * time.Millisecond)
			}
			streamEvents(2, endStream)(w, r)
		})
		code, _, _ := f.get("/stream/slow")
		Expect(code).To(Equal(http.StatusOK))
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go func() { _, _ = f.call(ctx, http.MethodGet, "/stream/hang", nil, nil) }()
		Eventually(f.received, time.Second).Should(HaveLen(2))
		f.startEndpoint("a", respond("unused"))
		f.refuseConnections("a")
		code, body, _ := f.get("/stream/x")
		Expect(code).To(Equal(http.StatusOK))
		Expect(body).To(Equal(streamText(2)))
	})
})
