package upstream_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/upstream"
)

var _ = Describe("A connection whose exchange has not ended", func() {
	// rounds repeats a case: net/http closes such a connection too, but some time later.
	const rounds = 20
	var (
		pool     *upstream.Pool
		endpoint registry.Endpoint
	)

	// serve starts an endpoint that answers each connection's first header at once and reads
	// nothing else until the test ends. If it read on, a delayed test could see an exchange that
	// has ended in the meantime.
	serve := func(response string) {
		ended := make(chan struct{})
		DeferCleanup(func() { close(ended) })
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = conn.Close() }()
					for header, one := []byte(nil), make([]byte, 1); !bytes.HasSuffix(header, []byte("\r\n\r\n")); header = append(header, one[0]) {
						if _, err := conn.Read(one); err != nil {
							return
						}
					}
					_, _ = io.WriteString(conn, response)
					<-ended
				}()
			}
		}()
		endpoint = registry.Endpoint{ID: "e", Incarnation: 1, Address: listener.Addr().String()}
	}

	// exchange sends a request with a body and returns its connection and the response.
	exchange := func(size int) (*upstream.Conn, *http.Response) {
		conn, err := pool.Get(context.Background(), endpoint, true)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		request := &http.Request{
			Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: endpoint.Address, Opaque: "/"}, Header: http.Header{},
			Body: io.NopCloser(bytes.NewReader(make([]byte, size))), ContentLength: int64(size),
		}
		response, err := conn.RoundTrip(request)
		Expect(err).NotTo(HaveOccurred())
		return conn, response
	}
	expectClosed := func(conn *upstream.Conn) {
		next, err := pool.Get(context.Background(), endpoint, false)
		Expect(err).NotTo(HaveOccurred())
		defer next.Close()
		Expect(next).NotTo(BeIdenticalTo(conn))
	}

	BeforeEach(func() { pool = upstream.New(upstream.Options{Clock: bootclock.Now}) })

	// Guards against a request behind the rest of another one's upload.
	DescribeTable("is not reused before the end of its upload",
		func(response string) {
			serve(response)
			for range rounds {
				conn, response := exchange(8 << 20)
				_, err := io.ReadAll(response.Body)
				Expect(err).NotTo(HaveOccurred())
				pool.Put(conn, response)
				expectClosed(conn)
			}
		},
		Entry("after a response with a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
		Entry("after a response in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
		Entry("after a response without a body", "HTTP/1.1 204 No Content\r\n\r\n"),
	)

	// Guards against a request whose response begins with the rest of another one.
	DescribeTable("is not reused before the end of its response",
		func(response string, read int64) {
			serve(response)
			for range rounds {
				conn, response := exchange(10)
				_, err := io.CopyN(io.Discard, response.Body, read)
				Expect(err).NotTo(HaveOccurred())
				pool.Put(conn, response)
				expectClosed(conn)
			}
		},
		Entry("of which nothing was read", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", int64(0)),
		Entry("of which a part was read", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", int64(1)),
		Entry("whose last chunk was not read", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", int64(2)),
	)
})
