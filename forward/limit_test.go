package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/forward"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

// fakePermits grants a number of permits to each limited endpoint, then none for a
// second, and logs what is recorded.
type fakePermits struct {
	mu       sync.Mutex
	left     map[api.EndpointID]int // limited endpoints
	silent   atomic.Bool            // no response before the request ends
	recorded []string
}

func (p *fakePermits) Acquire(ctx context.Context, e registry.Endpoint) time.Duration {
	if p.silent.Load() {
		<-ctx.Done()
		return time.Minute
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	left, limited := p.left[e.ID]
	switch {
	case !limited:
		return 0
	case left == 0:
		return time.Second
	}
	p.left[e.ID]--
	return 0
}

func (p *fakePermits) RecordLimit(e registry.Endpoint, perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recorded = append(p.recorded, fmt.Sprintf("%s: %g", e.ID, perSecond))
}

func (p *fakePermits) RecordNoLimit(e registry.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recorded = append(p.recorded, fmt.Sprintf("%s: none", e.ID))
}

func (p *fakePermits) records() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.recorded...)
}

var _ = Describe("An endpoint that limits its requests", func() {
	var f *fixture
	var permits *fakePermits

	BeforeEach(func() {
		permits = &fakePermits{left: make(map[api.EndpointID]int)}
		synced := make(chan struct{})
		close(synced)
		f = newFixtureWithOptions(synced, func(_ *fixture, o *forward.Options) {
			o.Permits = permits
			o.RetryBudget = forward.NewRetryBudget(forward.RetryBudgetOptions{Ratio: 1, Baseline: 100, Window: 10 * time.Second})
		})
		f.applyTable(nil)
	})

	counts := func() map[string]int {
		byEndpoint := make(map[string]int)
		for _, r := range f.received() {
			byEndpoint[r.endpoint]++
		}
		return byEndpoint
	}

	// Guards against more requests than an endpoint takes, and against refusals while
	// another one has room.
	DescribeTable("gets one request for each permit; others get the rest",
		func(path, body string, serve http.HandlerFunc) {
			f.startEndpoint("limited", serve)
			f.startEndpoint("free", serve)
			permits.left["limited"] = 2
			for range 12 {
				code, got, _ := f.get(path)
				Expect(code).To(Equal(http.StatusOK))
				Expect(got).To(Equal(body))
			}
			Expect(counts()["limited"]).To(BeNumerically("<=", 2))
			Expect(counts()["free"]).To(BeNumerically(">=", 10))
		},
		Entry("orders", "/order/x", "done", respond("done")),
		Entry("lookups", "/lookup/x", "done", respond("done")),
		Entry("streams", "/stream/x", streamText(3), streamEvents(3, endStream)),
	)

	// Guards against a request that waits although no endpoint may get it, and against
	// callers that return before there is a permit.
	DescribeTable("is not waited for: without a permit the request is refused at once",
		func(path string) {
			f.startEndpoint("a", respond("done"))
			f.startEndpoint("b", respond("done"))
			permits.left["a"], permits.left["b"] = 0, 0
			began := time.Now()
			code, _, header := f.get(path)
			Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
			Expect(code).To(Equal(http.StatusServiceUnavailable))
			Expect(header.Get("Test-Reason")).To(Equal("endpoint_rate"))
			wait, err := time.ParseDuration(header.Get("Test-Retry-After"))
			Expect(err).NotTo(HaveOccurred())
			Expect(wait).To(BeNumerically("~", time.Second, 200*time.Millisecond))
			Expect(f.received()).To(BeEmpty())
		},
		Entry("an order", "/order/x"),
		Entry("a lookup", "/lookup/x"),
		Entry("a stream", "/stream/x"),
	)

	// Guards against retries beside the limit.
	It("gets no retry without a permit", func() {
		f.startEndpoint("a", respondStatus(http.StatusInternalServerError))
		f.startEndpoint("b", respondStatus(http.StatusInternalServerError))
		permits.left["a"], permits.left["b"] = 1, 1
		for range 4 {
			_, _, _ = f.get("/lookup/x")
		}
		Expect(counts()).To(Equal(map[string]int{"a": 1, "b": 1}))
	})

	// Guards against hedged attempts that use up the permits of callers that have
	// none yet.
	It("gets no hedged attempt", func() {
		slow := func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(300 * time.Millisecond)
			respond("done")(w, r)
		}
		f.startEndpoint("a", slow)
		f.startEndpoint("b", slow)
		f.balance.SetLimited("a", 1, true)
		f.balance.SetLimited("b", 1, true)
		permits.left["a"], permits.left["b"] = 5, 5
		code, _, _ := f.get("/lookup/x")
		Expect(code).To(Equal(http.StatusOK))
		Expect(f.received()).To(HaveLen(1))
	})

	// Guards against an endpoint that is left out for all since one caller went away
	// while its request waited for a permit.
	It("is asked again after a caller has disconnected", func() {
		f.startEndpoint("a", respond("done"))
		permits.left["a"] = 1
		permits.silent.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := f.call(ctx, http.MethodGet, "/order/x", nil, nil)
		Expect(err).To(HaveOccurred())
		Eventually(f.handler.ActiveRequests).Should(BeZero())
		permits.silent.Store(false)
		code, _, _ := f.get("/order/x")
		Expect(code).To(Equal(http.StatusOK))
	})

	// Guards against a stream that continues at an engine without its permit.
	It("gets no continued stream without a permit", func() {
		f.startEndpoint("a", streamEvents(2, cutConnection("")))
		f.startEndpoint("b", streamEvents(2, cutConnection("")))
		permits.left["a"], permits.left["b"] = 1, 1
		response, err := f.call(context.Background(), http.MethodGet, "/stream/x", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		Expect(err).To(HaveOccurred())
		_ = response.Body.Close()
		Expect(counts()).To(Equal(map[string]int{"a": 1, "b": 1}))
	})

	// Guards against limits that are not read, or that a response which did not run
	// ends.
	It("is known by its responses", func() {
		limit := ""
		f.startEndpoint("a", func(w http.ResponseWriter, r *http.Request) {
			if limit != "" {
				w.Header().Set(headerLimit, limit)
			}
			if r.URL.Path == "/order/refused" {
				respondStatus(http.StatusServiceUnavailable, headerNotExecuted)(w, r)
				return
			}
			respond("done")(w, r)
		})
		limit = "2.5"
		_, _, _ = f.get("/order/x")
		limit = ""
		_, _, _ = f.get("/order/x")
		Expect(permits.records()).To(Equal([]string{"a: 2.5", "a: none"}))
	})
})
