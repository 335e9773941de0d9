package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/routing"
)

const (
	// signedHeader starts a signed response with neither a length nor chunks.
	signedHeader = "HTTP/1.1 200 OK\r\n" + headerID + ": attempt-1\r\n" + headerSigned + ": raw\r\n"
	// maxSocketBytes bounds what the kernel buffers of one connection beyond
	// the bytes that the handler has read.
	maxSocketBytes = 8 << 20
	// fastBytes are sent at full speed, further blocks at blockInterval: the kernel
	// would take up to 33 MB before a handler that has to wait for the processor closes.
	fastBytes     = 1 << 20
	blockInterval = 10 * time.Millisecond
)

// rawEndpoint answers each request with raw bytes.
type rawEndpoint struct {
	asked  atomic.Int64 // requests received
	sent   atomic.Int64 // bytes written over all connections
	closed atomic.Int64 // connections that the handler has closed
}

// startRawEndpoint starts an endpoint that answers with start, then repeats a
// block until the connection is closed; an empty block closes it. The endpoint
// is in the instance's failure domain, so that it is chosen before others.
func (f *fixture) startRawEndpoint(start, block string) *rawEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	e := &rawEndpoint{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn, start, block)
		}
	}()
	f.addEndpoint("0", listener.Addr().String())
	return e
}

func (e *rawEndpoint) serve(conn net.Conn, start, block string) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	e.asked.Add(1)
	_, err := io.WriteString(conn, start)
	for err == nil && block != "" {
		var n int
		n, err = io.WriteString(conn, block)
		if e.sent.Add(int64(n)) > fastBytes {
			time.Sleep(blockInterval)
		}
	}
	e.closed.Add(1)
}

// expectCutOff expects that the endpoint was asked, that its connections are
// closed soon and that little more than limit was read from each.
func (e *rawEndpoint) expectCutOff(limit int64) {
	GinkgoHelper()
	Expect(e.asked.Load()).To(BeNumerically(">", 0))
	Eventually(e.closed.Load, time.Second).Should(Equal(e.asked.Load()))
	Expect(e.sent.Load()).To(BeNumerically("<", e.asked.Load()*(limit+maxSocketBytes)))
}

var _ = Describe("An endpoint that sends bytes without end", func() {
	const (
		// maxHeaderBytes and maxBodyBytes are the limits of a response.
		maxHeaderBytes = 64 << 10
		maxBodyBytes   = 512 << 10
	)
	block := strings.Repeat("x", 32<<10)
	chunk := "8000\r\n" + block + "\r\n"
	var f *fixture

	BeforeEach(func() {
		f = newFixture()
		f.applyTable(nil)
	})

	plainEntries := []TableEntry{
		Entry("that are no HTTP", int64(maxHeaderBytes), "", block),
		Entry("in one header line", int64(maxHeaderBytes), signedHeader+"Long: ", block),
		Entry("in many header lines", int64(maxHeaderBytes), signedHeader, strings.Repeat("Long: x\r\n", 1000)),
		Entry("in informational responses", int64(maxHeaderBytes), "", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1000)),
		Entry("in a body without a length", int64(maxBodyBytes), signedHeader+"\r\n", block),
		Entry("in a body with a huge length", int64(maxBodyBytes), signedHeader+"Content-Length: 9000000000000\r\n\r\n", block),
		Entry("in chunks", int64(maxBodyBytes), signedHeader+"Transfer-Encoding: chunked\r\n\r\n", chunk),
		Entry("in a chunk extension", int64(maxBodyBytes), signedHeader+"Transfer-Encoding: chunked\r\n\r\n5;", block),
		Entry("in chunk extensions", int64(maxBodyBytes), signedHeader+"Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1;"+strings.Repeat("x", 200)+"\r\nx\r\n", 100)),
		Entry("in trailers", int64(maxBodyBytes), signedHeader+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", strings.Repeat("Long: x\r\n", 1000)),
	}

	// Guards against a truncated body that is forwarded as a success.
	DescribeTable("does not keep a repeatable request from another endpoint",
		func(limit int64, start, block string) {
			raw := f.startRawEndpoint(start, block)
			f.startEndpoint("a", respond("sound"))
			code, body, _ := f.get("/lookup/x")
			Expect(code).To(Equal(http.StatusOK))
			Expect(body).To(HaveLen(len("sound")))
			Expect(body).To(Equal("sound"))
			raw.expectCutOff(limit)
		}, plainEntries)

	// Guards against a truncated body, and against a second run of a request
	// that must not run twice.
	DescribeTable("fails a request that must not be repeated",
		func(limit int64, start, block string) {
			raw := f.startRawEndpoint(start, block)
			f.startEndpoint("a", respond("sound"))
			code, _, header := f.get("/order/x")
			Expect(code).To(Equal(http.StatusBadGateway))
			Expect(header.Get("Test-Reason")).To(Equal("engine_closed"))
			Expect(f.received()).To(BeEmpty())
			raw.expectCutOff(limit)
		}, plainEntries)
})

var _ = Describe("A response with neither a length nor chunks", func() {
	var f *fixture

	BeforeEach(func() {
		f = newFixture()
		f.applyTable(nil)
	})

	// Guards against a complete response that is taken as broken off.
	It("is forwarded whole", func() {
		f.startRawEndpoint(signedHeader+"\r\nwhole", "")
		code, body, _ := f.get("/order/x")
		Expect(code).To(Equal(http.StatusOK))
		Expect(body).To(Equal("whole"))
	})
})

var _ = Describe("A failure of the engine of a stream", func() {
	// Guards against two readers that share the body of the failure.
	It("is forwarded with its whole body", func() {
		f := newFixture()
		f.applyTable(nil)
		body := strings.Repeat("a failure. ", 10000)
		f.startEndpoint("a", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerSigned, "yes")
			w.WriteHeader(http.StatusNotFound)
			_, _ = io.WriteString(w, body)
		})
		for range 20 {
			code, received, _ := f.get("/stream/x")
			Expect(code).To(Equal(http.StatusNotFound))
			Expect(received).To(HaveLen(len(body)))
			Expect(received == body).To(BeTrue())
		}
	})

	// Guards against a truncated failure, and against a stalled stream while
	// its body is read.
	It("with a body without end is not forwarded", func() {
		f := newFixture()
		f.applyTable(nil)
		raw := f.startRawEndpoint(strings.Replace(signedHeader, "200 OK", "404 Not Found", 1)+"\r\n", strings.Repeat("x", 32<<10))
		f.startEndpoint("a", streamEvents(3, endStream))
		code, body, _ := f.get("/stream/x")
		Expect(code).To(Equal(http.StatusOK))
		Expect(body).To(Equal(streamText(3)))
		raw.expectCutOff(512 << 10)
	})
})

var _ = Describe("An engine whose stream has no end", func() {
	const (
		maxEventBytes = 64 << 10
		length        = 5
	)
	sseHeader := signedHeader + "Content-Type: text/event-stream\r\n\r\n"
	var f *fixture

	BeforeEach(func() {
		f = newFixture()
		f.applyTable(nil)
	})

	// Guards against an event without end that fills the memory.
	DescribeTable("is left when an event is too large",
		func(start, block string) {
			raw := f.startRawEndpoint(sseHeader+streamText(2)+start, block)
			f.startEndpoint("a", streamEvents(length, endStream))
			code, body, _ := f.get("/stream/x")
			Expect(code).To(Equal(http.StatusOK))
			Expect(body).To(Equal(streamText(length)))
			raw.expectCutOff(maxEventBytes)
		},
		Entry("in one line", "", strings.Repeat("x", 4<<10)),
		Entry("in many lines", "", strings.Repeat("data: x\n", 1000)),
		Entry("and ends", "id: 3\ndata: "+strings.Repeat("x", maxEventBytes)+"\n\n", ": alive\n\n"),
	)

	// Guards against bytes that carry no progress and keep a stream at its engine.
	DescribeTable("is left after the bound of a silent engine",
		func(start, block string) {
			raw := f.startRawEndpoint(sseHeader+start, block)
			f.startEndpoint("a", streamEvents(length, endStream))
			code, body, _ := f.get("/stream/x")
			Expect(code).To(Equal(http.StatusOK))
			Expect(strings.HasPrefix(body, start)).To(BeTrue())
			Expect(strings.HasSuffix(body, strings.TrimPrefix(streamText(length), start))).To(BeTrue())
			Expect(strings.Count(body, "id:")).To(Equal(length))
			Eventually(raw.closed.Load, time.Second).Should(Equal(raw.asked.Load()))
		},
		Entry("with events that were delivered", streamText(2), streamText(2)),
		Entry("with events without ids", streamText(2), "data: x\n\n"),
		Entry("with comments", streamText(2), ": alive\n\n"),
		Entry("with blank lines", streamText(2), "\n"),
		Entry("with comments before its first event", "", ": alive\n\n"),
	)

	// Guards against a replay of delivered events that counts as silence.
	It("is kept while it replays the events before the next one", func() {
		f.startRawEndpoint("HTTP/1.1 503 Busy\r\n"+headerNotExecuted+": 1\r\nContent-Length: 0\r\n\r\n", "")
		f.startEndpoint("a", func(w http.ResponseWriter, r *http.Request) {
			r.Header.Del(headerLastEvent)
			w.Header().Set(headerSigned, "yes")
			for id := 1; id <= 12; id++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", id, id)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(100 * time.Millisecond)
			}
		})
		response, err := f.call(context.Background(), http.MethodPost, "/stream/x", nil, http.Header{headerLastEvent: {"10"}})
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("id: 11\ndata: 11\n\nid: 12\ndata: 12\n\n"))
	})
})

var _ = Describe("A stream with neither a length nor chunks", func() {
	const (
		length    = 5
		sseHeader = signedHeader + "Content-Type: text/event-stream\r\n\r\n"
	)
	var f *fixture

	BeforeEach(func() {
		f = newFixture()
		f.applyTable(nil)
	})

	// Guards against a complete stream that is taken as broken off.
	It("is complete when it ends after an event", func() {
		f.startRawEndpoint(sseHeader+streamText(length), "")
		f.startEndpoint("a", streamEvents(length+1, endStream))
		code, body, _ := f.get("/stream/x")
		Expect(code).To(Equal(http.StatusOK))
		Expect(body).To(Equal(streamText(length)))
		Expect(f.received()).To(BeEmpty())
	})

	// cuts are the streams that break off.
	cuts := []TableEntry{
		Entry("before its first event", sseHeader),
		Entry("within its first event", sseHeader+"id: 1"),
		Entry("within a later event", sseHeader+streamText(2)+"id: 3\nda"),
		Entry("before the blank line of an event", sseHeader+streamText(2)+"id: 3\ndata: 3\n"),
	}

	// Guards against a truncated stream that looks complete.
	DescribeTable("continues at another engine when it ends",
		func(start string) {
			f.startRawEndpoint(start, "")
			f.startEndpoint("a", streamEvents(length, endStream))
			code, body, header := f.get("/stream/x")
			Expect(code).To(Equal(http.StatusOK))
			Expect(header.Get(headerSigned)).NotTo(BeEmpty())
			Expect(body).To(Equal(streamText(length)))
		}, cuts)

	// Guards against a truncated stream that looks complete where no other
	// engine may continue it.
	DescribeTable("is never complete on a route without retries when it ends",
		func(start string) {
			f.applyTable(func(r *routing.Route) { r.RetryPolicy = routing.RetryNever })
			f.startRawEndpoint(start, "")
			f.startEndpoint("a", streamEvents(length, endStream))
			response, err := f.call(context.Background(), http.MethodPost, "/stream/x", nil, nil)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadAll(response.Body)
			Expect(err != nil || response.StatusCode == http.StatusBadGateway).To(BeTrue())
			Expect(f.received()).To(BeEmpty())
		}, cuts)

	// Guards against a resumed stream without further events that fails or
	// loses the engine's signature.
	It("is complete without events when its caller has them all", func() {
		f.startEndpoint("a", streamEvents(length, endStream))
		response, err := f.call(context.Background(), http.MethodPost, "/stream/x", nil, http.Header{headerLastEvent: {"5"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(response.Header.Get(headerSigned)).To(Equal("a"))
	})

	// Guards against a stream that looks complete after its second engine was
	// cut off before its first event.
	It("is not complete when the engine that continues it ends without an event", func() {
		f.startRawEndpoint(sseHeader, "")
		response, err := f.call(context.Background(), http.MethodPost, "/stream/x", nil, http.Header{headerLastEvent: {"2"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
	})

	// Guards against bytes of another server that are forwarded as the stream.
	It("continues at another engine when it is not signed", func() {
		f.startRawEndpoint("HTTP/1.1 200 OK\r\n\r\n"+streamText(2), "")
		f.startEndpoint("a", streamEvents(length, endStream))
		code, body, header := f.get("/stream/x")
		Expect(code).To(Equal(http.StatusOK))
		Expect(header.Get(headerSigned)).To(Equal("a"))
		Expect(body).To(Equal(streamText(length)))
	})
})
