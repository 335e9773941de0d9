package upstream_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/upstream"
)

var _ = Describe("An unused connection", func() {
	// Guards against a request that is sent on a connection that the endpoint has closed.
	It("is not lent once the endpoint has closed it", func() {
		pool := upstream.New(upstream.Options{Clock: bootclock.Now})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				time.AfterFunc(50*time.Millisecond, func() { _ = c.Close() })
			}
		}()
		endpoint := registry.Endpoint{ID: "e", Incarnation: 1, Address: listener.Addr().String()}
		conn, err := pool.Get(context.Background(), endpoint, true)
		Expect(err).NotTo(HaveOccurred())
		pool.PutUnused(conn)
		time.Sleep(300 * time.Millisecond)
		next, err := pool.Get(context.Background(), endpoint, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(next).NotTo(BeIdenticalTo(conn))
	})
})
