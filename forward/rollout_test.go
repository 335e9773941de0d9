package forward_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/forward"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/rollout"
	"github.com/hibiscusstair/hibiscusstair/routing"
)

// fakeSelector allows the versions that a test sets, and records outcomes.
type fakeSelector struct {
	mu       sync.Mutex
	allowed  []string
	outcomes map[string][]rollout.OutcomeKind // by version
	ended    int
}

func (f *fakeSelector) Allowed(string, string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.allowed
}

func (f *fakeSelector) Continue(_, version string) []string { return []string{version} }

func (f *fakeSelector) Excluded(string) map[api.EndpointID]bool { return nil }

func (f *fakeSelector) Record(_, _, version string, o rollout.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes[version] = append(f.outcomes[version], o.Kind)
	if o.Kind != rollout.OutcomeSent && o.Kind != rollout.OutcomeStarted && o.Kind != rollout.OutcomeLateGap {
		f.ended++
	}
}

func (f *fakeSelector) allow(versions ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.allowed = versions
}

func (f *fakeSelector) recorded(version string) []rollout.OutcomeKind {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.outcomes[version])
}

var _ = Describe("Rollouts", func() {
	var (
		f        *fixture
		selector *fakeSelector
	)
	start := func(name, version string, serve http.HandlerFunc) {
		e := f.startEndpoint(name, serve)
		e.Version = version
		f.balance.Apply(registry.Change{Kind: registry.Updated, Endpoint: e})
	}
	endpoints := func() []string {
		var names []string
		for _, r := range f.received() {
			names = append(names, r.endpoint)
		}
		return names
	}
	stream := func() string {
		response, err := f.call(context.Background(), http.MethodPost, "/stream/x", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return string(body)
	}
	BeforeEach(func() {
		selector = &fakeSelector{outcomes: make(map[string][]rollout.OutcomeKind)}
		synced := make(chan struct{})
		close(synced)
		f = newFixtureWithOptions(synced, func(_ *fixture, o *forward.Options) {
			o.Rollouts = selector
			o.RetryBudget = forward.NewRetryBudget(forward.RetryBudgetOptions{Ratio: 1, Baseline: 100, Window: 10 * time.Second})
		})
		f.applyTable(nil)
	})

	// Guards against requests to a version that no rollout allows.
	It("send requests only to allowed versions, although others are idle", func() {
		start("a", "v1", respondStatus(http.StatusInternalServerError))
		start("b", "v2", respond("new"))
		selector.allow("v1")
		status, _, _ := f.get("/lookup/x")
		Expect(status).To(Equal(http.StatusInternalServerError))
		selector.allow("v3")
		status, _, header := f.get("/lookup/x")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(header.Get("Test-Reason")).To(Equal("no_endpoint"))
		Expect(endpoints()).NotTo(ContainElement("b"))
	})

	// Guards against callers that get the failures of a bad version although the other one serves.
	It("retry a failed request on the other allowed version", func() {
		start("a", "v1", respond("old"))
		start("b", "v2", respondStatus(http.StatusInternalServerError))
		start("c", "v2", respondStatus(http.StatusInternalServerError))
		selector.allow("v2", "v1")
		status, body, _ := f.get("/lookup/x")
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(Equal("old"))
		Expect(f.received()).To(HaveLen(2))
		Eventually(func() []rollout.OutcomeKind { return selector.recorded("v2") }).Should(Equal([]rollout.OutcomeKind{rollout.OutcomeSent, rollout.OutcomeFailed}))
		Eventually(func() []rollout.OutcomeKind { return selector.recorded("v1") }).Should(Equal([]rollout.OutcomeKind{rollout.OutcomeSent, rollout.OutcomeCompleted}))
	})

	// Guards against a stream that continues on a version with other output.
	It("keep a stream on its version when its engine is lost, also if new requests go elsewhere", func() {
		cut := func(w http.ResponseWriter, r *http.Request) {
			selector.allow("v1")
			cutConnection("")(w, r)
		}
		start("a", "v1", streamEvents(9, endStream))
		start("b", "v2", func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(headerLastEvent) == "" {
				streamEvents(4, cut)(w, r)
				return
			}
			streamEvents(9, endStream)(w, r)
		})
		start("c", "v2", func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(headerLastEvent) == "" {
				streamEvents(4, cut)(w, r)
				return
			}
			streamEvents(9, endStream)(w, r)
		})
		selector.allow("v2", "v1")
		Expect(stream()).To(Equal(streamText(9)))
		Expect(endpoints()).To(HaveLen(2))
		Expect(endpoints()).NotTo(ContainElement("a"))
		Expect(f.received()[0].header.Get(headerBackup)).NotTo(BeEmpty())
		Expect(f.received()[0].header.Get(headerBackup)).NotTo(Equal(f.servers["a"].Listener.Addr().String()))
		Eventually(func() []rollout.OutcomeKind { return selector.recorded("v2") }).Should(Equal([]rollout.OutcomeKind{
			rollout.OutcomeSent, rollout.OutcomeStarted, rollout.OutcomeBroken, rollout.OutcomeSent, rollout.OutcomeStarted, rollout.OutcomeCompleted,
		}))
	})

	// Guards against streams that are lost when the old engines stop at the end of a rollout.
	It("continue a stream on another allowed version once its own has no engines", func() {
		start("a", "v1", streamEvents(4, func(w http.ResponseWriter, r *http.Request) {
			selector.allow("v2")
			f.balance.Apply(registry.Change{Kind: registry.Gone, Endpoint: registry.Endpoint{ID: "a", Incarnation: 1, Service: "s"}})
			cutConnection("")(w, r)
		}))
		start("b", "v2", streamEvents(9, endStream))
		selector.allow("v1")
		Expect(stream()).To(Equal(streamText(9)))
		Expect(endpoints()).To(Equal([]string{"a", "b"}))
	})

	// Guards against a good version that is reverted since its engines were full.
	It("do not count requests that an engine did not run as failed", func() {
		start("a", "v1", streamEvents(3, endStream))
		start("b", "v2", respondStatus(http.StatusServiceUnavailable, headerNotExecuted))
		selector.allow("v2", "v1")
		Expect(stream()).To(Equal(streamText(3)))
		Eventually(func() []rollout.OutcomeKind { return selector.recorded("v2") }).Should(ContainElement(rollout.OutcomeRefused))
		Expect(selector.recorded("v2")).NotTo(ContainElement(rollout.OutcomeFailed))
	})

	// Guards against a slow version whose late responses are overtaken and not counted.
	It("count a response that was overtaken as begun after the time it had", func() {
		f.applyTable(func(r *routing.Route) { r.TargetLatency = 100 * time.Millisecond })
		start("a", "v1", respond("old"))
		start("b", "v2", hang)
		selector.allow("v2", "v1")
		status, body, _ := f.get("/lookup/x")
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(Equal("old"))
		Eventually(func() []rollout.OutcomeKind { return selector.recorded("v2") }).Should(Equal([]rollout.OutcomeKind{
			rollout.OutcomeSent, rollout.OutcomeStarted, rollout.OutcomeAbandoned,
		}))
	})

	// Guards against a version with pauses that is judged by its first event alone.
	It("count a stream with a late gap once", func() {
		start("a", "v1", func(w http.ResponseWriter, r *http.Request) {
			streamEvents(2, func(http.ResponseWriter, *http.Request) { time.Sleep(600 * time.Millisecond) })(w, r)
			r.Header.Set(headerLastEvent, "2")
			streamEvents(4, endStream)(w, r)
		})
		selector.allow("v1")
		Expect(stream()).To(Equal(streamText(4)))
		Eventually(func() []rollout.OutcomeKind { return selector.recorded("v1") }).Should(Equal([]rollout.OutcomeKind{
			rollout.OutcomeSent, rollout.OutcomeStarted, rollout.OutcomeLateGap, rollout.OutcomeCompleted,
		}))
	})
})
