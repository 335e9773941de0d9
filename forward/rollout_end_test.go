package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/forward"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/rollout"
)

var _ = Describe("A stream at the end of a rollout", func() {
	// Guards against failovers that are used up at stopped engines that are still registered.
	It("continues on the new version although the stopped engines are still registered", func() {
		selector := &fakeSelector{outcomes: make(map[string][]rollout.OutcomeKind)}
		synced := make(chan struct{})
		close(synced)
		f := newFixtureWithOptions(synced, func(_ *fixture, o *forward.Options) {
			o.Rollouts = selector
			o.RetryBudget = forward.NewRetryBudget(forward.RetryBudgetOptions{Ratio: 1, Baseline: 100, Window: 10 * time.Second})
		})
		f.applyTable(nil)
		e := f.startEndpoint("a", streamEvents(4, func(w http.ResponseWriter, r *http.Request) {
			selector.allow("v2")
			for i := range 90 {
				l, _ := net.Listen("tcp", "127.0.0.1:0")
				address := l.Addr().String()
				_ = l.Close()
				f.addEndpoint(fmt.Sprint("old", i), address)
				x, _ := f.balance.Endpoint(api.EndpointID(fmt.Sprint("old", i)))
				x.Version, x.Domain = "v1", api.FailureDomain(fmt.Sprint("d", i%6))
				f.balance.Apply(registry.Change{Kind: registry.Updated, Endpoint: x})
			}
			cutConnection("")(w, r)
		}))
		e.Version = "v1"
		f.balance.Apply(registry.Change{Kind: registry.Updated, Endpoint: e})
		for i := range 12 {
			b := f.startEndpoint(fmt.Sprint("new", i), streamEvents(9, endStream))
			b.Version, b.Domain = "v2", api.FailureDomain(fmt.Sprint("d", i%6))
			f.balance.Apply(registry.Change{Kind: registry.Updated, Endpoint: b})
		}
		selector.allow("v1")
		response, err := f.call(context.Background(), http.MethodPost, "/stream/x", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal(streamText(9)))
	})
})
