package placement

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

// fakeEngine responds to polls and probes.
type fakeEngine struct {
	server  *httptest.Server
	load    atomic.Value // JSON; empty for no report
	polls   atomic.Int64
	healthy atomic.Bool
	events  atomic.Value // JSON
}

func newFakeEngine() *fakeEngine {
	e := &fakeEngine{}
	e.load.Store(`{}`)
	e.events.Store(`{"events":[]}`)
	e.healthy.Store(true)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		e.polls.Add(1)
		if e.load.Load() == "" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = w.Write([]byte(e.load.Load().(string)))
	})
	mux.HandleFunc("GET /v1/cache/events", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(e.events.Load().(string))) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) {
		if !e.healthy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	e.server = httptest.NewServer(mux)
	return e
}

func (e *fakeEngine) address() string { return strings.TrimPrefix(e.server.URL, "http://") }

func interactive() api.PlacementRequest {
	return api.PlacementRequest{Kind: api.KindEngine, Model: testModel, Account: "a", Priority: api.PriorityInteractive, Tokens: 10}
}

func reasonOf(err error) reason.Reason { return reason.From(err).Reason }

var _ = Describe("the placement runner", func() {
	var (
		ctx     context.Context
		cancel  context.CancelFunc
		engines []*fakeEngine
		config  atomic.Pointer[api.Config]
		done    chan struct{}
		before  goleak.Option
	)

	start := func(instance api.InstanceID) *Runner {
		r, err := New(Options{Instance: instance, Half: testHalf, Place: testPlace, Config: config.Load, LinkBitsPerSecond: 1e6, Seed: 1})
		Expect(err).NotTo(HaveOccurred())
		go func() {
			defer GinkgoRecover()
			Expect(r.Run(ctx)).To(Succeed())
			done <- struct{}{}
		}()
		DeferCleanup(func() {
			cancel()
			Eventually(done).Should(Receive())
		})
		return r
	}
	stateOf := func(r *Runner, id api.EndpointID) func() string {
		return func() string {
			for _, s := range r.Endpoints() {
				if s.ID == id {
					return s.State
				}
			}
			return ""
		}
	}

	BeforeEach(func() {
		before = goleak.IgnoreCurrent()
		ctx, cancel = context.WithCancel(context.Background())
		done = make(chan struct{}, 4)
		engines = []*fakeEngine{newFakeEngine(), newFakeEngine()}
		var list []api.Endpoint
		for i, e := range engines {
			endpoint := testEngine([]string{"e1", "e2"}[i], "east", 2)
			endpoint.Address = e.address()
			list = append(list, endpoint)
		}
		config.Store(testConfig(list...))
		DeferCleanup(func() {
			for _, e := range engines {
				e.server.Close()
			}
			http.DefaultTransport.(*http.Transport).CloseIdleConnections()
			Eventually(func() error { return goleak.Find(before) }).Should(Succeed())
		})
	})

	// Guards the count that the other half relies on when an endpoint moves to it.
	It("counts the active grants of an endpoint until their release", func() {
		r := start("i1")
		grant, err := r.Place(ctx, interactive())
		Expect(err).NotTo(HaveOccurred())
		Expect(r.ActiveGrants(grant.Endpoint.ID)).To(Equal(1))
		r.Release(grant.ID, api.OutcomeCompleted)
		r.Release(grant.ID, api.OutcomeCompleted)
		Eventually(func() int { return r.ActiveGrants(grant.Endpoint.ID) }).Should(BeZero())
		Consistently(func() int { return r.ActiveGrants(grant.Endpoint.ID) }, "50ms").Should(BeZero())
	})

	// Guards against a request that waits beyond its deadline, or that is reported as
	// possibly run although it was never sent.
	It("refuses a request as not run if it cannot start before its deadline", func() {
		r := start("i1")
		for range 4 {
			_, err := r.Place(ctx, interactive())
			Expect(err).NotTo(HaveOccurred())
		}
		short, stop := context.WithTimeout(ctx, 50*time.Millisecond)
		defer stop()
		_, err := r.Place(short, interactive())
		Expect(reasonOf(err)).To(Equal(reason.DeadlineExceeded))
		Expect(reason.From(err).Run).To(Equal(reason.RunNo))
	})

	// Guards against a grant on an endpoint that a new configuration removes while
	// the request waits.
	It("grants a waiting request only an endpoint that the newest configuration permits", func() {
		r := start("i1")
		var grants []api.Grant
		for range 4 {
			grant, err := r.Place(ctx, interactive())
			Expect(err).NotTo(HaveOccurred())
			grants = append(grants, grant)
		}
		got := make(chan api.Grant, 1)
		go func() {
			grant, _ := r.Place(ctx, interactive())
			got <- grant
		}()
		Eventually(func() time.Duration { return r.QueueDelay(api.PriorityInteractive) }).Should(BeNumerically(">", 0))
		next := *config.Load()
		next.Pending = []api.PendingTicket{{Ticket: 2, Endpoints: map[api.EndpointID]*api.Endpoint{"e1": nil}}}
		config.Store(&next)
		for _, grant := range grants {
			if grant.Endpoint.ID == "e1" {
				r.Release(grant.ID, api.OutcomeCompleted)
			}
		}
		Consistently(got, "100ms").ShouldNot(Receive())
		for _, grant := range grants {
			r.Release(grant.ID, api.OutcomeCompleted)
		}
		var grant api.Grant
		Eventually(got).Should(Receive(&grant))
		Expect(grant.Endpoint.ID).To(Equal(api.EndpointID("e2")))
	})

	// Guards the check of the configuration after the choice: here it changes as
	// soon as the grant is counted, before Place returns.
	It("does not return a grant that a newer configuration forbids", func() {
		var r *Runner
		allowed, forbidden := testConfig(testEngine("e1", "east", 2)), testConfig(testEngine("e1", "east", 2))
		forbidden.Held = map[api.EndpointID]bool{"e1": true}
		var ready atomic.Bool
		r, err := New(Options{Instance: "i4", Half: testHalf, Place: testPlace, Config: func() *api.Config {
			if ready.Load() && r.ActiveGrants("e1") > 0 {
				return forbidden
			}
			return allowed
		}})
		Expect(err).NotTo(HaveOccurred())
		ready.Store(true)
		go func() {
			defer GinkgoRecover()
			Expect(r.Run(ctx)).To(Succeed())
			done <- struct{}{}
		}()
		_, err = r.Place(ctx, interactive())
		Expect(reasonOf(err)).To(Equal(reason.EndpointLeaving))
		Eventually(func() int { return r.ActiveGrants("e1") }).Should(BeZero())
		cancel()
		Eventually(done).Should(Receive())
	})

	// Guards against new work on a crashed engine, and against an engine that isn't
	// used again after it has recovered.
	It("uses a failed engine again only after a successful probe", func() {
		r := start("i1")
		engines[0].healthy.Store(false)
		engines[1].healthy.Store(false)
		r.MarkSuspect("e1")
		Eventually(stateOf(r, "e1")).Should(Equal("dead"))
		for range 2 {
			grant, err := r.Place(ctx, interactive())
			Expect(err).NotTo(HaveOccurred())
			Expect(grant.Endpoint.ID).To(Equal(api.EndpointID("e2")))
		}
		engines[0].healthy.Store(true)
		Eventually(stateOf(r, "e1"), "5s").Should(Equal("alive"))
	})

	// Guards against new work on an engine that other instances already fill or that
	// drains.
	It("avoids an engine that reports work of other instances, and one that drains", func() {
		engines[0].load.Store(`{"running":1,"waiting":1,"outstanding_tokens":900,"age_ms":1}`)
		r := start("i1")
		Eventually(func() int { return r.Endpoints()[0].ForeignRunning }, "5s").Should(Equal(2))
		grant, err := r.Place(ctx, interactive())
		Expect(err).NotTo(HaveOccurred())
		Expect(grant.Endpoint.ID).To(Equal(api.EndpointID("e2")))
		engines[1].load.Store(`{"draining":true}`)
		Eventually(stateOf(r, "e2"), "5s").Should(Equal("leaving"))
	})

	// Guards against suspicion of an engine that is alive: it responds with 503
	// until it has a load report.
	It("does not suspect an engine without a load report", func() {
		engines[0].load.Store("")
		engines[0].healthy.Store(false)
		r := start("i1")
		Eventually(engines[0].polls.Load, "5s").Should(BeNumerically(">=", 2))
		Consistently(stateOf(r, "e1"), "50ms").Should(Equal("alive"))
	})

	// Guards the propagation of a failure from one instance to another, which checks
	// the endpoint itself.
	It("reports a dead endpoint to a peer, which probes it before it marks it dead", func() {
		first, second := start("i1"), start("i2")
		engines[0].healthy.Store(false)
		first.MarkSuspect("e1")
		Eventually(stateOf(first, "e1")).Should(Equal("dead"))
		deltas := first.Collect(200)
		Expect(deltas.Loads).NotTo(BeEmpty())
		Expect(deltas.Loads[0].Dead).To(BeTrue())
		second.Merge(deltas)
		Eventually(stateOf(second, "e1")).Should(Equal("dead"))
		Expect(stateOf(second, "e2")()).To(Equal("alive"))
	})

	// Guards against wrong counts of grants under concurrent calls, which would exceed
	// the slots or never free them.
	It("never exceeds the slots under concurrent calls", func() {
		r := start("i1")
		var group sync.WaitGroup
		for range 40 {
			group.Go(func() {
				defer GinkgoRecover()
				short, stop := context.WithTimeout(ctx, 10*time.Second)
				defer stop()
				grant, err := r.Place(short, interactive())
				Expect(err).NotTo(HaveOccurred())
				Expect(r.ActiveGrants(grant.Endpoint.ID)).To(BeNumerically("<=", 2))
				r.ReportProgress(grant.ID, 3)
				r.Release(grant.ID, api.OutcomeCompleted)
			})
		}
		group.Wait()
		Eventually(func() int { return r.ActiveGrants("e1") + r.ActiveGrants("e2") }).Should(BeZero())
	})

	// Guards against an unbounded queue in front of the core.
	It("refuses a request when its message queue is full", func() {
		r, err := New(Options{Instance: "i3", Half: testHalf, Place: testPlace, Config: config.Load})
		Expect(err).NotTo(HaveOccurred())
		for range messageQueueCapacity {
			r.ReportProgress(1, 1)
		}
		_, err = r.Place(ctx, interactive())
		Expect(reasonOf(err)).To(Equal(reason.Overloaded))
	})
})
