package upstream_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/upstream"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream")
}

var _ = Describe("Pool", func() {
	var (
		pool     *upstream.Pool
		now      atomic.Int64
		endpoint registry.Endpoint
		header   http.Header
	)

	BeforeEach(func() {
		now.Store(int64(time.Hour))
		header = http.Header{}
		pool = upstream.New(upstream.Options{Clock: func() time.Duration { return time.Duration(now.Load()) }})
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			for name, values := range header {
				w.Header()[name] = values
			}
			if r.URL.Path == "/redirect" {
				http.Redirect(w, r, "/elsewhere", http.StatusFound)
				return
			}
			_, _ = io.WriteString(w, r.Header.Get("Accept-Encoding"))
		}))
		server.Start()
		DeferCleanup(server.Close)
		endpoint = registry.Endpoint{ID: "e", Incarnation: 1, Address: server.Listener.Addr().String()}
	})

	send := func(conn *upstream.Conn, path string) (*http.Response, string) {
		request := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: endpoint.Address, Opaque: path}, Header: http.Header{}}
		response, err := conn.RoundTrip(request)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		return response, string(body)
	}
	get := func(fresh bool) *upstream.Conn {
		conn, err := pool.Get(context.Background(), endpoint, fresh)
		Expect(err).NotTo(HaveOccurred())
		return conn
	}

	// Guards against one new connection per request, and against two requests on
	// one connection.
	It("reuses an idle connection unless a fresh one is requested", func() {
		first := get(false)
		response, _ := send(first, "/")
		pool.Put(first, response)
		Expect(get(true)).NotTo(BeIdenticalTo(first))
		Expect(get(false)).To(BeIdenticalTo(first))
		Expect(get(false)).NotTo(BeIdenticalTo(first))
	})

	// Guards against a request on a connection that the endpoint is about to
	// close.
	DescribeTable("reuses an idle connection only until shortly before the endpoint closes it",
		func(keepAlive string, idle time.Duration, reused bool) {
			header.Set("Keep-Alive", keepAlive)
			first := get(false)
			response, _ := send(first, "/")
			pool.Put(first, response)
			now.Add(int64(idle))
			Expect(get(false) == first).To(Equal(reused))
		},
		Entry("well before the stated timeout", "timeout=5, max=100", 2*time.Second, true),
		Entry("shortly before the stated timeout", "timeout=5", 4*time.Second, false),
		Entry("with a stated timeout of 0", "timeout=0", time.Millisecond, false),
		Entry("without a stated timeout", "", 3*time.Second, false),
	)

	It("does not keep a connection that the endpoint will close", func() {
		header.Set("Connection", "close")
		first := get(false)
		response, _ := send(first, "/")
		pool.Put(first, response)
		Expect(get(false)).NotTo(BeIdenticalTo(first))
	})

	// Guards against a request that reaches another process than the one that was
	// chosen.
	It("does not share connections between incarnations of an endpoint", func() {
		first := get(false)
		response, _ := send(first, "/")
		pool.Put(first, response)
		endpoint.Incarnation = 2
		Expect(get(false)).NotTo(BeIdenticalTo(first))
	})

	// Guards against responses that differ from what the endpoint sends to a caller.
	It("adds no Accept-Encoding header and follows no redirect", func() {
		conn := get(false)
		_, encoding := send(conn, "/")
		Expect(encoding).To(BeEmpty())
		response, _ := send(conn, "/redirect")
		Expect(response.StatusCode).To(Equal(http.StatusFound))
	})

	// Guards against idle connections that accumulate.
	It("closes connections that were idle for too long", func() {
		first := get(false)
		response, _ := send(first, "/")
		pool.Put(first, response)
		now.Add(int64(time.Minute))
		pool.CloseExpired()
		Expect(get(false)).NotTo(BeIdenticalTo(first))
	})
})
