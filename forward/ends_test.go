package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/routing"
)

var _ = Describe("Content whose engines end later", func() {
	const body = "deadly"

	// send sends the content until the context ends and returns the reason of a refusal.
	send := func(ctx context.Context, f *fixture) string {
		response, err := f.call(ctx, http.MethodPost, "/stream/x", strings.NewReader(body), nil)
		if err != nil {
			return ""
		}
		_ = response.Body.Close()
		return response.Header.Get("Test-Reason")
	}

	// endThree lets three engines serve the content and removes them from the registry.
	endThree := func(f *fixture, serve http.HandlerFunc, draining bool) {
		for i := range 3 {
			name := fmt.Sprint("e", i)
			endpoint := f.startEndpoint(name, serve)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			_ = send(ctx, f)
			cancel()
			endpoint.Draining = draining
			f.balance.Apply(registry.Change{Kind: registry.Gone, Endpoint: endpoint})
			time.Sleep(50 * time.Millisecond) // the attempt is concluded after its caller has left
			f.handler.EndpointGone(endpoint, false)
		}
	}

	// Guards against content that ends engines in a way that no refused connection shows.
	DescribeTable("is refused", func(serve http.HandlerFunc) {
		f := newFixture()
		f.applyTable(func(r *routing.Route) { r.MaxAttempts = 1 })
		endThree(f, serve, false)
		f.startEndpoint("sound", streamEvents(5, endStream))
		Expect(send(context.Background(), f)).To(Equal("crash_suspect"))
	},
		Entry("after its caller has left", hang),
		Entry("after a failure of the engine", respondStatus(http.StatusInternalServerError)),
		Entry("after the engine has closed the connection and accepts others", cutConnection("")),
		Entry("after events", streamEvents(5, cutConnection(""))),
	)

	// Guards against refusing, or taking for served, the requests of another host with the same path.
	It("is served for another host", func() {
		f := newFixture()
		const other = "other.example"
		var routes []routing.Route
		for _, host := range []string{"service.example", other} {
			routes = append(routes, routing.Route{
				Name: host, Host: host, Prefix: "/stream/", Stream: true, MaxAttempts: 1, TargetLatency: time.Second,
				Services: []routing.WeightedService{{Service: "s", Weight: 1}},
			})
		}
		accounts := []routing.Account{{ID: "acme", Keys: []string{"key"}}}
		f.table.Apply(routing.New(1, routes, []routing.Service{{Name: "s"}}, accounts, routing.Limits{}))
		endThree(f, hang, false)
		f.startEndpoint("sound", streamEvents(5, endStream))
		Expect(send(context.Background(), f)).To(Equal("crash_suspect"))
		response, err := f.call(context.Background(), http.MethodPost, "/stream/x", strings.NewReader(body), http.Header{"Host": {other}})
		Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	})

	It("is served if the engines drained before", func() {
		f := newFixture()
		f.applyTable(func(r *routing.Route) { r.MaxAttempts = 1 })
		endThree(f, hang, true)
		f.startEndpoint("sound", streamEvents(5, endStream))
		Expect(send(context.Background(), f)).To(BeEmpty())
	})
})

var _ = Describe("Content sent at the address of an engine that has ended", func() {
	// Guards against blaming content for a crash before it was sent, which only the end of the registration shows.
	It("is served afterwards", func() {
		f := newFixture()
		f.applyTable(func(r *routing.Route) { r.MaxAttempts = 1 })
		send := func() (reason string) {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			response, err := f.call(ctx, http.MethodPost, "/stream/x", strings.NewReader("sound"), nil)
			if err != nil {
				return ""
			}
			_ = response.Body.Close()
			return response.Header.Get("Test-Reason")
		}
		for i := range 3 {
			name := fmt.Sprint("e", i)
			endpoint := f.startEndpoint(name, hang)
			f.refuseConnections(name)
			Expect(send()).To(Equal("connect_failed"))
			f.startAt(endpoint.Address, hang)
			time.Sleep(1100 * time.Millisecond) // the endpoint is suspect for a time
			_ = send()
			f.balance.Apply(registry.Change{Kind: registry.Gone, Endpoint: endpoint})
			time.Sleep(50 * time.Millisecond) // the attempt is concluded after its caller has left
			f.handler.EndpointGone(endpoint, false)
		}
		Expect(f.received()).To(HaveLen(3))
		f.startEndpoint("sound", streamEvents(5, endStream))
		Expect(send()).To(BeEmpty())
	})
})
