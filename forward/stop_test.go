package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/forward"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/routing"
)

var _ = Describe("An instance that stops", func() {
	var (
		f        *fixture
		stopping atomic.Bool
		timeLeft atomic.Int64 // nanoseconds
		first    registry.Endpoint
	)
	BeforeEach(func() {
		stopping.Store(false)
		f = newFixtureWithOptions(nil, func(_ *fixture, o *forward.Options) {
			o.RetryBudget = forward.NewRetryBudget(forward.RetryBudgetOptions{Ratio: 1, Baseline: 100, Window: 10 * time.Second})
			o.Stopping = func() (bool, time.Duration) { return stopping.Load(), time.Duration(timeLeft.Load()) }
		})
		f.applyTable(func(r *routing.Route) { r.TargetLatency = 100 * time.Millisecond })
		first = f.startEndpoint("a", respond("done"))
	})

	stop := func(left time.Duration) {
		timeLeft.Store(int64(left))
		stopping.Store(true)
	}

	// Guards against requests that are passed on, run, and lost with the instance, because
	// the stop was looked at before their body arrived.
	DescribeTable("refuses a request whose body arrives shortly before the end", func(path string) {
		for _, left := range []time.Duration{-10 * time.Millisecond, 500 * time.Millisecond} {
			stopping.Store(false)
			conn := f.connect()
			_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: service.example\r\nTest-Id: r\r\nTest-Key: key\r\nTest-Timeout-Ms: 3000\r\nContent-Length: 8\r\n\r\nhalf", path)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(100 * time.Millisecond)
			stop(left)
			_, err = io.WriteString(conn, "half")
			Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(f.received()).To(BeEmpty())
		}
	},
		Entry("an order", "/order/x"),
		Entry("a lookup", "/lookup/x"),
		Entry("a stream", "/stream/x"),
	)

	// Guards against a request that is sent to a second endpoint shortly before the end.
	It("does not try again shortly before the end", func() {
		f.balance.Apply(registry.Change{Kind: registry.Gone, Endpoint: first})
		f.startEndpoint("b", func(w http.ResponseWriter, r *http.Request) {
			stop(50 * time.Millisecond)
			respondStatus(http.StatusInternalServerError)(w, r)
		})
		f.startEndpoint("c", func(w http.ResponseWriter, r *http.Request) {
			stop(50 * time.Millisecond)
			respondStatus(http.StatusInternalServerError)(w, r)
		})
		code, _, _ := f.get("/lookup/x")
		Expect(code).To(Equal(http.StatusInternalServerError))
		Expect(f.received()).To(HaveLen(1))
	})

	It("still serves what it can complete", func() {
		stop(1500 * time.Millisecond)
		code, body, _ := f.get("/order/x")
		Expect(code).To(Equal(http.StatusOK))
		Expect(body).To(Equal("done"))
	})
})
