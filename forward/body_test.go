package forward_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/forward"
)

var _ = Describe("Bodies that take the memory together", func() {
	const (
		memoryBytes = 40 << 20 // of which a quarter is for bodies
		bodyBytes   = 4 << 20
	)
	var f *fixture
	BeforeEach(func() {
		f = newFixtureWithOptions(nil, func(_ *fixture, o *forward.Options) {
			o.RetryBudget = forward.NewRetryBudget(forward.RetryBudgetOptions{Ratio: 1, Baseline: 100, Window: 10 * time.Second})
			o.MemoryBytes = func() int64 { return memoryBytes }
		})
		f.applyTable(nil)
		f.startEndpoint("a", respond("done"))
	})

	// begin sends the header and all of a body but its last byte, and returns the rest.
	begin := func(framing string) (io.ReadWriter, string) {
		conn := f.connect()
		_, err := fmt.Fprintf(conn, "POST /order/x HTTP/1.1\r\nHost: service.example\r\nTest-Id: r\r\nTest-Key: key\r\nTest-Timeout-Ms: 3000\r\n%s\r\n\r\n", framing)
		Expect(err).NotTo(HaveOccurred())
		body, end := bytes.Repeat([]byte("x"), bodyBytes-1), "x"
		if framing == "Transfer-Encoding: chunked" {
			_, err = fmt.Fprintf(conn, "%x\r\n", bodyBytes)
			Expect(err).NotTo(HaveOccurred())
			end = "x\r\n0\r\n\r\n"
		}
		_, _ = conn.Write(body)
		return conn, end
	}

	status := func(conn io.Reader) int {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		return response.StatusCode
	}

	// Guards against a process that is killed for its memory while it reads large bodies.
	DescribeTable("are refused beyond it, and the memory is free again after them", func(framing string) {
		first, rest := begin(framing)
		second, _ := begin(framing)
		time.Sleep(200 * time.Millisecond)
		third, _ := begin(framing)
		Expect(status(third)).To(Equal(http.StatusServiceUnavailable))
		for _, conn := range []io.ReadWriter{first, second} {
			_, err := io.WriteString(conn, rest)
			Expect(err).NotTo(HaveOccurred())
			Expect(status(conn)).To(Equal(http.StatusOK))
		}
		Eventually(f.handler.ActiveRequests).Should(BeZero())
		again, rest := begin(framing)
		_, err := io.WriteString(again, rest)
		Expect(err).NotTo(HaveOccurred())
		Expect(status(again)).To(Equal(http.StatusOK))
	},
		Entry("with a length", fmt.Sprintf("Content-Length: %d", bodyBytes)),
		Entry("in chunks", "Transfer-Encoding: chunked"),
	)
})
