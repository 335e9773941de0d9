package forward_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/routing"
)

// connect opens a connection of a caller to the instance.
func (f *fixture) connect() net.Conn {
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	return conn
}

var _ = Describe("A caller", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	// Guards against a response that broke off and looks complete: the end of a response
	// to an HTTP/1.0 caller is the end of its connection.
	It("that speaks HTTP/1.0 sees that a stream broke off", func() {
		f.applyTable(func(r *routing.Route) { r.RetryPolicy = routing.RetryNever })
		f.startEndpoint("a", streamEvents(10, cutConnection("")))
		conn := f.connect()
		_, err := io.WriteString(conn, "POST /stream/x HTTP/1.0\r\nHost: service.example\r\nTest-Id: r\r\nTest-Key: key\r\nContent-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		received, err := io.ReadAll(conn)
		Expect(string(received)).To(ContainSubstring("id: 1\n"))
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "the connection ended with %v", err)
	})

	// Guards against a connection that is reset although its response is complete.
	It("that speaks HTTP/1.0 receives a whole stream", func() {
		f.applyTable(nil)
		f.startEndpoint("a", streamEvents(3, endStream))
		conn := f.connect()
		_, err := io.WriteString(conn, "POST /stream/x HTTP/1.0\r\nHost: service.example\r\nTest-Id: r\r\nTest-Key: key\r\nContent-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		received, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(received)).To(ContainSubstring("id: 3\n"))
	})

	// Guards against a success without a signature for a request that may not have run.
	DescribeTable("that closes its sending side gets no response of the instance's own", func(path string) {
		f.applyTable(nil)
		released := make(chan struct{})
		DeferCleanup(func() { close(released) })
		f.startEndpoint("a", func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-released:
			case <-r.Context().Done():
			}
		})
		conn := f.connect()
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: service.example\r\nTest-Id: r\r\nTest-Key: key\r\nContent-Length: 0\r\n\r\n", path)
		Expect(err).NotTo(HaveOccurred())
		Eventually(f.received, "5s").ShouldNot(BeEmpty())
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		received, _ := io.ReadAll(conn)
		Expect(string(received)).To(BeEmpty())
	},
		Entry("an order", "/order/x"),
		Entry("a lookup", "/lookup/x"),
		Entry("a stream", "/stream/x"),
	)

	// Guards against requests that never end and hold memory, since a byte of their body
	// arrives now and then.
	It("whose body arrives too slowly is refused at its deadline", func() {
		f.applyTable(nil)
		f.startEndpoint("a", respond("done"))
		conn := f.connect()
		_, err := fmt.Fprintf(conn, "POST /lookup/x HTTP/1.1\r\nHost: service.example\r\nTest-Id: r\r\nTest-Key: key\r\n%s: 400\r\nContent-Length: 1000\r\n\r\n", headerTimeout)
		Expect(err).NotTo(HaveOccurred())
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
					_, _ = io.WriteString(conn, "x")
				}
			}
		}()
		began := time.Now()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Header.Get("Test-Reason")).To(Equal(string(reason.DeadlineExceeded)))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		Expect(f.received()).To(BeEmpty())
	})

	// Guards against a refusal that waits for a body that nobody will read.
	It("whose body arrives slowly is refused at once if its request cannot be served", func() {
		f.applyTable(nil)
		conn := f.connect()
		_, err := io.WriteString(conn, "POST /unknown/x HTTP/1.1\r\nHost: service.example\r\nTest-Id: r\r\nContent-Length: 1000\r\n\r\nx")
		Expect(err).NotTo(HaveOccurred())
		began := time.Now()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusNotFound))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})

	// Guards against sound requests that are cut because their body takes a while, and
	// against a limit that stays on the connection.
	It("whose body arrives slowly is served, and so is the next request on its connection", func() {
		f.applyTable(nil)
		f.startEndpoint("a", func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(600 * time.Millisecond)
			respond("done")(w, r)
		})
		conn := f.connect()
		reader := bufio.NewReader(conn)
		for range 2 {
			_, err := fmt.Fprintf(conn, "POST /order/x HTTP/1.1\r\nHost: service.example\r\nTest-Id: r\r\nTest-Key: key\r\n%s: 1500\r\nContent-Length: 8\r\n\r\n", headerTimeout)
			Expect(err).NotTo(HaveOccurred())
			for range 8 {
				time.Sleep(50 * time.Millisecond)
				_, err := io.WriteString(conn, "x")
				Expect(err).NotTo(HaveOccurred())
			}
			response, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK), string(body))
			Expect(string(body)).To(Equal("done"))
			time.Sleep(300 * time.Millisecond)
		}
	})
})
