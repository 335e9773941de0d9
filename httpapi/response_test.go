package httpapi_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/httpapi"
)

// answerTo returns all bytes that a caller receives which closes its sending side.
func answerTo(h http.HandlerFunc) string {
	server := httptest.NewServer(httpapi.RequireResponse(h))
	DeferCleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

var _ = Describe("RequireResponse", func() {
	// Guards against a success for a request that nothing has answered.
	It("closes the connection of a handler that returns without a response", func() {
		Expect(answerTo(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })).To(BeEmpty())
		Expect(answerTo(func(http.ResponseWriter, *http.Request) {})).To(BeEmpty())
	})

	It("passes responses on, with or without a body", func() {
		Expect(answerTo(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })).To(ContainSubstring("204"))
		Expect(answerTo(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })).To(HaveSuffix("done"))
	})

	It("lets the response be flushed", func() {
		Expect(answerTo(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
			Expect(http.NewResponseController(w).Flush()).To(Succeed())
		})).To(ContainSubstring("200"))
	})
})
