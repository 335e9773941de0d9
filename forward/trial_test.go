package forward_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/forward"
	"github.com/hibiscusstair/hibiscusstair/quarantine"
)

// tiedQuarantine refuses all requests as tied and allows a number of trials.
type tiedQuarantine struct {
	*quarantine.Runner
	trials *atomic.Int32
}

func (tiedQuarantine) Assess(quarantine.Request) quarantine.Assessment {
	return quarantine.Assessment{State: quarantine.StateRefused, Tied: true}
}

func (q tiedQuarantine) StartTrial(quarantine.Assessment) bool { return q.trials.Add(-1) >= 0 }

var _ = Describe("A request whose content was in the same crashes as another", func() {
	var f *fixture
	var trials atomic.Int32

	BeforeEach(func() {
		synced := make(chan struct{})
		close(synced)
		f = newFixtureWithOptions(synced, func(f *fixture, o *forward.Options) {
			o.RetryBudget = forward.NewRetryBudget(forward.RetryBudgetOptions{Ratio: 1, Baseline: 100, Window: 10 * time.Second})
			o.Quarantine = tiedQuarantine{f.quarantine, &trials}
		})
		f.applyTable(nil)
	})

	send := func(method, path string) int {
		response, err := f.call(context.Background(), method, path, nil, nil)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return 0
		}
		return response.StatusCode
	}

	// Guards against a trial that crashes more than one endpoint.
	DescribeTable("is sent to one endpoint as a trial, and refused otherwise", func(method, path string) {
		for _, name := range []string{"a", "b", "c"} {
			f.startEndpoint(name, cutConnection(""))
		}
		trials.Store(1)
		Expect(send(method, path)).NotTo(Equal(http.StatusOK))
		Expect(f.received()).To(HaveLen(1))
		Expect(send(method, path)).To(Equal(http.StatusUnprocessableEntity))
		Expect(f.received()).To(HaveLen(1))
	}, Entry("plain", http.MethodGet, "/lookup/x"), Entry("streamed", http.MethodPost, "/stream/x"))

	// Guards against a trial that never ends well and so releases nothing.
	It("is served as a trial if its content is sound", func() {
		f.startEndpoint("a", streamEvents(5, endStream))
		trials.Store(1)
		Expect(send(http.MethodPost, "/stream/x")).To(Equal(http.StatusOK))
	})

	It("tries the next endpoint as a trial if the first accepts no connection", func() {
		f.startEndpoint("a", respond("done"))
		f.startEndpoint("b", respond("done"))
		f.refuseConnections("a")
		for range 4 {
			trials.Store(1)
			Expect(send(http.MethodGet, "/lookup/x")).To(Equal(http.StatusOK))
		}
	})
})
