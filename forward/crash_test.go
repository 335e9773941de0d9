package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startUnreachableEngine starts an engine that runs on while the network resets its
// connections and drops new ones.
func startUnreachableEngine(f *fixture, name string) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	Expect(err).NotTo(HaveOccurred())
	Expect(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	Expect(syscall.Listen(fd, 0)).To(Succeed())
	file := os.NewFile(uintptr(fd), name)
	listener, err := net.FileListener(file)
	Expect(err).NotTo(HaveOccurred())
	_ = file.Close()
	DeferCleanup(listener.Close)
	address := listener.Addr().String()
	f.addEndpoint(name, address)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		for range 4 { // fills the queue of connections, so that further ones time out
			filler, err := net.DialTimeout("tcp", address, 20*time.Millisecond)
			if err == nil {
				DeferCleanup(filler.Close)
			}
		}
		_ = conn.Close()
	}()
}

var _ = Describe("A prompt that waits when the network fails", func() {
	// Guards against blaming a prompt for connections that time out, which a lost packet causes too.
	It("is served afterwards", func() {
		f := newFixture()
		f.applyTable(nil)
		for i := range 3 {
			startUnreachableEngine(f, fmt.Sprint("e", i))
		}
		stream := func(body string) (int, string) {
			response, err := f.call(context.Background(), http.MethodPost, "/stream/x", strings.NewReader(body), http.Header{headerParts: {"house"}})
			Expect(err).NotTo(HaveOccurred())
			_ = response.Body.Close()
			return response.StatusCode, response.Header.Get("Test-Reason")
		}
		_, _ = stream("first")
		time.Sleep(300 * time.Millisecond)
		f.startEndpoint("sound", streamEvents(5, endStream))
		code, why := stream("another")
		Expect(code).To(Equal(http.StatusOK), why)
	})
})
