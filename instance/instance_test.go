package instance_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/instance"
	"github.com/hibiscusstair/hibiscusstair/settings"
)

func TestInstance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "instance")
}

func freeAddress() netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func testSettings() *settings.Settings {
	return &settings.Settings{
		Instance: "i1", Half: "a", Place: api.Place{Region: "r", FailureDomain: "d"},
		CallerListen: freeAddress(), OperatorListen: freeAddress(), PeerListen: freeAddress(),
		StoreURL: "http://" + freeAddress().String(), StoreTimeout: time.Second,
		OperatorTokenSHA256: "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b",
		PeerSecret:          "0123456789abcdef", Recovery: settings.RecoveryEager, Expel: settings.ExpelAuto,
		LinkBitsPerSecond: 30_000_000, RequestTimeout: time.Minute, MaxTimeout: time.Minute,
		DrainTimeout: 10 * time.Second, MaxBodyBytes: 1 << 20, MaxHeaderBytes: 1 << 14, MaxTokens: 1000,
		SlowCallerTimeout: time.Second, WeightLoadsPerMinute: 6,
	}
}

var _ = Describe("Instance", func() {
	status := func(address netip.AddrPort, path string) func() int {
		return func() int {
			response, err := http.Get("http://" + address.String() + path)
			if err != nil {
				return 0
			}
			defer response.Body.Close()
			return response.StatusCode
		}
	}

	// Guards against requests that start without a configuration, against a
	// component that uses another one before that one is built, and against a drain
	// that does not end.
	It("starts without a store or peers, is live but not ready, and drains on shutdown", func() {
		s := testSettings()
		i, err := instance.New(s, slog.New(slog.NewJSONHandler(io.Discard, nil)))
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- i.Run(ctx) }()
		Eventually(status(s.OperatorListen, "/livez")).WithTimeout(time.Minute).Should(Equal(http.StatusOK))
		Expect(status(s.OperatorListen, "/readyz")()).To(Equal(http.StatusServiceUnavailable))
		Expect(status(s.OperatorListen, "/v1/endpoints")()).To(Equal(http.StatusUnauthorized))
		Expect(status(s.OperatorListen, "/metrics")()).To(Equal(http.StatusOK))
		cancel()
		Eventually(ended).WithTimeout(time.Minute).Should(Receive(BeNil()))
	})
})
