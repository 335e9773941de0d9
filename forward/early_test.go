package forward_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/routing"
)

const (
	// uploadBytes is more than the kernel takes from a sender whose peer reads nothing, 3.9 MB.
	uploadBytes = 5 << 20
	// keptBytes is an upload that the kernel takes and cannot deliver.
	keptBytes = 1 << 20
	// earlyRounds is how often a case is repeated with each size: whether the end of a connection
	// is seen first by the writer of the upload or by the reader of the response is a race.
	earlyRounds = 10
)

// Ends of a connection whose request has been read up to its body.
var (
	// resetEnd resets the connection while both the writer and the reader wait.
	resetEnd = func(conn *net.TCPConn) {
		time.Sleep(5 * time.Millisecond)
		resetSoonEnd(conn)
	}
	// resetSoonEnd resets it before the reader has read the response. The kernel then
	// reports the reset to the writer only, and to the reader the end of the connection.
	resetSoonEnd = func(conn *net.TCPConn) {
		time.Sleep(100 * time.Microsecond)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	closeEnd = func(conn *net.TCPConn) {
		time.Sleep(5 * time.Millisecond)
		_ = conn.Close()
	}
	// halfEnd ends the response and does not read the upload.
	halfEnd = func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		time.Sleep(50 * time.Millisecond)
		_ = conn.Close()
	}
	// readEnd reads the upload and ends the response afterwards.
	readEnd = func(conn *net.TCPConn) {
		_, _ = io.CopyN(io.Discard, conn, uploadBytes)
		_ = conn.Close()
	}
	// halfReadEnd ends the response, then reads the upload.
	halfReadEnd = func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		_, _ = io.CopyN(io.Discard, conn, uploadBytes)
		_ = conn.Close()
	}
)

// startEarlyEndpoint starts an endpoint that answers as soon as it has the header of a
// request, in the instance's failure domain.
func (f *fixture) startEarlyEndpoint(response string, end func(*net.TCPConn)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go answerEarly(accepted.(*net.TCPConn), response, end)
		}
	}()
	f.addEndpoint("0", listener.Addr().String())
}

func answerEarly(conn *net.TCPConn, response string, end func(*net.TCPConn)) {
	var header []byte
	for one := make([]byte, 1); !bytes.HasSuffix(header, []byte("\r\n\r\n")); header = append(header, one[0]) {
		if _, err := conn.Read(one); err != nil {
			_ = conn.Close()
			return
		}
	}
	_, _ = io.WriteString(conn, response)
	end(conn)
}

// upload sends a long body and returns the status, the body and the reason of a refusal; a response
// that breaks off has status 0.
func (f *fixture) upload(path string, size int) (int, string, string) {
	GinkgoHelper()
	response, err := f.call(context.Background(), http.MethodPost, path, bytes.NewReader(make([]byte, size)), nil)
	if err != nil {
		return 0, "", ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, string(body), ""
	}
	return response.StatusCode, string(body), response.Header.Get("Test-Reason")
}

func chunked(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

var _ = Describe("A response before the end of a long upload", func() {
	const (
		length    = 5
		noLength  = signedHeader + "\r\n"
		oldHTTP   = "HTTP/1.0 200 OK\r\n" + headerID + ": attempt-1\r\n" + headerSigned + ": raw\r\n\r\n"
		withTotal = signedHeader + "Content-Length: 1000\r\n\r\n"
		inChunks  = signedHeader + "Transfer-Encoding: chunked\r\n\r\n"
	)
	start := func() *fixture {
		f := newFixture()
		f.maxBodyBytes = 2 * uploadBytes
		f.applyTable(nil)
		return f
	}
	part := streamText(2)
	sizes := slices.Repeat([]int{uploadBytes, keptBytes}, earlyRounds)
	cuts := []TableEntry{
		Entry("without a length, reset", noLength+part, resetEnd),
		Entry("without a length, reset soon", noLength+part, resetSoonEnd),
		Entry("without a length, closed", noLength+part, closeEnd),
		Entry("without a length, its sending side closed", noLength+part, halfEnd),
		Entry("of HTTP/1.0, reset soon", oldHTTP+part, resetSoonEnd),
		Entry("without a length and body, reset", noLength, resetEnd),
		Entry("with a length, reset", withTotal+part, resetEnd),
		Entry("with a length, reset soon", withTotal+part, resetSoonEnd),
		Entry("with a length, closed", withTotal+part, closeEnd),
		Entry("in chunks, reset", inChunks+chunked(part), resetEnd),
		Entry("in chunks, reset soon", inChunks+chunked(part), resetSoonEnd),
		Entry("in chunks, closed", inChunks+chunked(part), closeEnd),
		Entry("in chunks, reset within one", inChunks+"1000\r\n"+part, resetEnd),
		Entry("within its header, reset", signedHeader, resetEnd),
	}

	// Guards against a part of a response that the caller takes for the whole one.
	DescribeTable("that breaks off fails a request that must not be repeated",
		func(response string, end func(*net.TCPConn)) {
			for _, size := range sizes {
				f := start()
				f.startEarlyEndpoint(response, end)
				status, _, why := f.upload("/order/x", size)
				Expect(status).To(Equal(http.StatusBadGateway))
				Expect(why).To(Equal("engine_closed"))
			}
		}, cuts)

	// Guards against a part of a response that keeps a repeatable request from another endpoint.
	DescribeTable("that breaks off lets a repeatable request go on at another endpoint",
		func(response string, end func(*net.TCPConn)) {
			for _, size := range sizes {
				f := start()
				f.startEarlyEndpoint(response, end)
				f.startEndpoint("a", respond("sound"))
				status, body, _ := f.upload("/lookup/x", size)
				Expect(status).To(Equal(http.StatusOK))
				Expect(body).To(Equal("sound"))
			}
		}, cuts)

	// Guards against a cut stream that looks complete.
	DescribeTable("that breaks off lets a stream go on at another engine",
		func(response string, end func(*net.TCPConn)) {
			for _, size := range sizes {
				f := start()
				f.startEarlyEndpoint(response, end)
				f.startEndpoint("a", streamEvents(length, endStream))
				status, body, _ := f.upload("/stream/x", size)
				Expect(status).To(Equal(http.StatusOK))
				Expect(body).To(Equal(streamText(length)))
			}
		}, cuts)

	// Guards against a cut stream that looks complete where no other engine may continue it.
	DescribeTable("that breaks off never completes a stream on a route without retries",
		func(response string, end func(*net.TCPConn)) {
			for _, size := range sizes {
				f := start()
				f.applyTable(func(r *routing.Route) { r.RetryPolicy = routing.RetryNever })
				f.startEarlyEndpoint(response, end)
				status, _, _ := f.upload("/stream/x", size)
				Expect(status).NotTo(Equal(http.StatusOK))
			}
		}, cuts)

	// Guards against a complete response that is taken for a part of one, and, since the second request
	// of a fixture may get the connection of the first, against the rest of an upload before it.
	DescribeTable("that is complete is forwarded",
		func(response string, end func(*net.TCPConn)) {
			for range earlyRounds {
				f := start()
				f.startEarlyEndpoint(response, end)
				for _, path := range []string{"/order/x", "/lookup/x", "/stream/x", "/lookup/x"} {
					status, body, _ := f.upload(path, uploadBytes)
					Expect(status).To(Equal(http.StatusOK), path)
					Expect(body).To(Equal(part))
				}
			}
		},
		Entry("without a length, closed after the upload", noLength+part, readEnd),
		Entry("without a length, its sending side closed before the upload", noLength+part, halfReadEnd),
		Entry("with a length", strings.Replace(withTotal, "1000", fmt.Sprint(len(part)), 1)+part, readEnd),
		Entry("in chunks", inChunks+chunked(part)+"0\r\n\r\n", readEnd),
	)
})

var _ = Describe("A response with an invalid status line", func() {
	const length = 3
	var f *fixture

	BeforeEach(func() {
		f = newFixture()
		f.applyTable(nil)
	})

	lines := []TableEntry{
		Entry("status 000", "HTTP/1.1 000 None"),
		Entry("status 042", "HTTP/1.1 042 None"),
		Entry("status 099", "HTTP/1.1 099 None"),
		Entry("a status with a sign", "HTTP/1.1 +20 OK"),
		Entry("a negative status", "HTTP/1.1 -20 OK"),
		Entry("a protocol that nobody asked for", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other"),
		Entry("no final status", "HTTP/1.1 103 Early Hints"),
		Entry("status 600", "HTTP/1.1 600 Beyond"),
		Entry("status 999", "HTTP/1.1 999 Beyond"),
		Entry("two digits", "HTTP/1.1 20 OK"),
		Entry("four digits", "HTTP/1.1 2000 OK"),
		Entry("letters", "HTTP/1.1 OK 200"),
		Entry("no status", "HTTP/1.1"),
		Entry("no version", "200 OK"),
		Entry("another protocol", "ICY 200 OK"),
		Entry("an empty line", ""),
	}
	respondLine := func(line string) string {
		return strings.Replace(signedHeader, "HTTP/1.1 200 OK", line, 1) + "Content-Length: 4\r\n\r\nbody"
	}

	// Guards against a status that no caller expects, and against a panic of net/http in WriteHeader.
	DescribeTable("fails a request that must not be repeated",
		func(line string) {
			raw := f.startRawEndpoint(respondLine(line), "")
			code, _, header := f.get("/order/x")
			Expect(code).To(Equal(http.StatusBadGateway))
			Expect(header.Get("Test-Reason")).To(Equal("engine_closed"))
			Expect(raw.asked.Load()).To(BeEquivalentTo(1))
		}, lines)

	// Guards against an invalid status that is forwarded although other attempts are left, or after them.
	DescribeTable("lets a repeatable request go on at another endpoint, and is not forwarded if there is none",
		func(line string) {
			f.startRawEndpoint(respondLine(line), "")
			code, _, header := f.get("/lookup/x")
			Expect(code).To(Equal(http.StatusBadGateway))
			Expect(header.Get("Test-Reason")).To(Equal("engine_closed"))
			f.startEndpoint("a", respond("sound"))
			code, body, _ := f.get("/lookup/x")
			Expect(code).To(Equal(http.StatusOK))
			Expect(body).To(Equal("sound"))
		}, lines)

	DescribeTable("lets a stream go on at another engine, and is not forwarded on a route without retries",
		func(line string) {
			f.startRawEndpoint(respondLine(line), "")
			f.startEndpoint("a", streamEvents(length, endStream))
			code, body, _ := f.get("/stream/x")
			Expect(code).To(Equal(http.StatusOK))
			Expect(body).To(Equal(streamText(length)))

			single := newFixture()
			single.applyTable(func(r *routing.Route) { r.RetryPolicy = routing.RetryNever })
			single.startRawEndpoint(respondLine(line), "")
			code, _, header := single.get("/stream/x")
			Expect(code).To(Equal(http.StatusBadGateway))
			Expect(header.Get("Test-Reason")).To(Equal("engine_closed"))
		}, lines)

	// Guards against an interim response that is taken for the final one.
	It("does not keep interim responses from being followed by the final one", func() {
		f.startRawEndpoint("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 199 Other\r\n\r\n"+respondLine("HTTP/1.1 200 OK"), "")
		code, body, _ := f.get("/order/x")
		Expect(code).To(Equal(http.StatusOK))
		Expect(body).To(Equal("body"))
	})
})
