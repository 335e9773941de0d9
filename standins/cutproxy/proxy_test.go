package cutproxy_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/standins/cutproxy"
)

func TestCutProxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cut proxy")
}

// stallTimeout is how long a frozen connection is checked for data.
const stallTimeout = 100 * time.Millisecond

var _ = Describe("Proxy", func() {
	var (
		proxy *cutproxy.Proxy
		dial  func() net.Conn
	)

	BeforeEach(func() {
		echo, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() {
			for connection, err := echo.Accept(); err == nil; connection, err = echo.Accept() {
				go func() { _, _ = io.Copy(connection, connection) }()
			}
		}()
		sources := cutproxy.NewSources()
		sources.SetPID("self", os.Getpid())
		proxy, err = cutproxy.New("127.0.0.1:0", echo.Addr().String(), sources)
		Expect(err).NotTo(HaveOccurred())
		dial = func() net.Conn {
			GinkgoHelper()
			connection, err := net.Dial("tcp", proxy.Address())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(connection.Close)
			return connection
		}
		DeferCleanup(func() { _ = proxy.Close(); _ = echo.Close() })
	})

	// exchangeNew opens a connection and exchanges a byte. A proxy that resets the
	// connection can do so before connect returns.
	exchangeNew := func() error {
		connection, err := net.Dial("tcp", proxy.Address())
		if err != nil {
			return err
		}
		defer func() { _ = connection.Close() }()
		_ = connection.SetDeadline(time.Now().Add(time.Second))
		if _, err := connection.Write([]byte("x")); err != nil {
			return err
		}
		_, err = io.ReadFull(connection, make([]byte, 1))
		return err
	}

	exchange := func(connection net.Conn, bound time.Duration) error {
		if _, err := connection.Write([]byte("x")); err != nil {
			return err
		}
		_ = connection.SetReadDeadline(time.Now().Add(bound))
		_, err := io.ReadFull(connection, make([]byte, 1))
		return err
	}

	// Guards against a freeze that also stalls new connections or closes open ones.
	It("silences open connections while new ones work", func() {
		old := dial()
		Expect(exchange(old, time.Second)).To(Succeed())
		proxy.Freeze("self", false, cutproxy.Up, cutproxy.Down)
		Expect(os.IsTimeout(exchange(old, stallTimeout))).To(BeTrue())
		Expect(exchange(dial(), time.Second)).To(Succeed())
		proxy.Heal("self")
		_ = old.SetReadDeadline(time.Now().Add(time.Second))
		_, err := io.ReadFull(old, make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a proxy that accepts and then closes connections for an exited
	// target: instances treat a refused connection as a crash of the engine.
	It("refuses new connections after Refuse and keeps open ones", func() {
		old := dial()
		Expect(exchange(old, time.Second)).To(Succeed())
		Expect(proxy.Refuse()).To(Succeed())
		_, err := net.Dial("tcp", proxy.Address())
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
		Expect(exchange(old, time.Second)).To(Succeed())
		Expect(proxy.Listen()).To(Succeed())
		Expect(exchange(dial(), time.Second)).To(Succeed())
	})

	// Guards against a cut that affects the connections of other processes.
	It("cuts one source only", func() {
		proxy.Cut("other")
		connection := dial()
		Expect(exchange(connection, time.Second)).To(Succeed())
		proxy.Cut("self")
		Expect(exchange(connection, time.Second)).NotTo(Succeed())
		Expect(exchangeNew()).NotTo(Succeed())
		Expect(proxy.Stats().Bytes["self"]).To(Equal(cutproxy.Bytes{Up: 1, Down: 1}))
	})
})
