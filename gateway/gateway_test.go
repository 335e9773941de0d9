package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/forward"
	"github.com/hibiscusstair/hibiscusstair/gateway"
	"github.com/hibiscusstair/hibiscusstair/prefixcache"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/revive"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/storesync"
	"github.com/hibiscusstair/hibiscusstair/telemetry"
)

// at returns a revision of a store that names no era.
func at(number uint64) storesync.Revision { return storesync.Revision{Number: number} }

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

// fakeStore contains one configuration and one endpoint. Its calls fail unless it
// is reachable.
type fakeStore struct {
	mu        sync.Mutex
	reachable bool
}

func (s *fakeStore) setReachable(up bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reachable = up
}

func (s *fakeStore) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reachable {
		return errors.New("store is unreachable")
	}
	return nil
}

func (s *fakeStore) ReadTable(context.Context) (storesync.TableRead, error) {
	route := routing.Route{Name: "r", Host: "h", Prefix: "/", MaxAttempts: 1, Services: []routing.WeightedService{{Service: "s", Weight: 1}}}
	table := routing.New(1, []routing.Route{route}, []routing.Service{{Name: "s"}}, nil, routing.Limits{})
	return storesync.TableRead{Table: table, Revision: at(1)}, s.err()
}

func (s *fakeStore) WatchTable(_ context.Context, after storesync.Revision, _ time.Duration) (storesync.TableRead, error) {
	time.Sleep(20 * time.Millisecond)
	return storesync.TableRead{Revision: after}, s.err()
}

func (s *fakeStore) ListEndpoints(context.Context) (storesync.EndpointList, error) {
	e := registry.Endpoint{ID: "e", Service: "s", Address: "127.0.0.1:1", Domain: "d", Slots: 1}
	return storesync.EndpointList{Endpoints: []registry.Endpoint{e}, Revision: at(1)}, s.err()
}

func (s *fakeStore) WatchEndpoints(_ context.Context, after storesync.Revision, _ time.Duration) (storesync.EndpointChanges, error) {
	time.Sleep(20 * time.Millisecond)
	return storesync.EndpointChanges{Revision: after}, s.err()
}

// noEngines fails every query of an engine.
type noEngines struct{}

var errNoEngine = errors.New("no engine")

func (noEngines) ListHeldParts(context.Context, string) ([]prefixcache.PromptPart, error) {
	return nil, errNoEngine
}
func (noEngines) FetchIdentity(context.Context, string, string) (revive.Identity, error) {
	return revive.Identity{}, errNoEngine
}
func (noEngines) FetchLoad(context.Context, string) (balance.Load, error) {
	return balance.Load{}, errNoEngine
}
func (noEngines) HasRequest(context.Context, string, string) (bool, error) { return false, errNoEngine }

// plainProtocol sends and decodes no headers.
type plainProtocol struct{}

func (plainProtocol) DecodeRequest(*http.Request) (forward.RequestInfo, error) {
	return forward.RequestInfo{}, nil
}
func (plainProtocol) EncodeAttempt(http.Header, forward.Attempt) {}
func (plainProtocol) DecodeResponse(*http.Response) forward.ResponseInfo {
	return forward.ResponseInfo{}
}
func (plainProtocol) WriteRefusal(w http.ResponseWriter, _ forward.RequestInfo, err *reason.Error) {
	w.WriteHeader(err.Reason.HTTPStatus())
}

// lastPort is the port that unusedAddress returned last. It starts at a value that
// depends on the process, so that tests that run at the same time seldom collide.
var lastPort = 21000 + os.Getpid()%4000

// unusedAddress returns a loopback address that no other spec of this process uses.
func unusedAddress() netip.AddrPort {
	lastPort++
	return netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", lastPort))
}

var _ = Describe("Gateway", func() {
	var (
		store         *fakeStore
		settings      gateway.Settings
		reloadSignals chan os.Signal
		stop          context.CancelFunc
		ended         chan error
	)

	start := func() {
		metrics := telemetry.NewMetrics()
		g, err := gateway.New(gateway.Options{
			Settings: settings, LoadSettings: func() (gateway.Settings, error) { return settings, nil }, ReloadSignals: reloadSignals,
			Protocol: plainProtocol{}, Store: store, PartLister: noEngines{}, IdentityClient: noEngines{}, EngineClient: noEngines{},
			DecodeTable: func([]byte) (*routing.Table, error) { return nil, errNoEngine },
			Log:         slog.New(slog.DiscardHandler), Metrics: metrics,
		})
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done, closed := make(chan error, 1), make(chan struct{})
		stop, ended = cancel, done
		go func() {
			defer close(closed)
			done <- g.Run(ctx)
			_ = metrics.Close()
		}()
		DeferCleanup(func() { cancel(); <-closed })
	}
	ready := func() int {
		response, err := http.Get("http://" + settings.ReadyListen.String())
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}

	BeforeEach(func() {
		store, reloadSignals = &fakeStore{reachable: true}, make(chan os.Signal, 1)
		settings = gateway.Settings{
			Instance: "i", Place: api.Place{Region: "r", FailureDomain: "d"},
			CallerListen: unusedAddress(), ReadyListen: unusedAddress(), PeerListen: unusedAddress(), MetricsListen: unusedAddress(),
			StopTimeout: 4 * time.Second, RetryRatio: 0.8, RetryBaseline: 10, RetryWindow: time.Second,
		}
	})

	// Guards against callers that are routed to an instance that cannot serve them.
	It("is ready once it has a configuration and endpoints", func() {
		store.setReachable(false)
		start()
		Eventually(ready).Should(Equal(http.StatusServiceUnavailable))
		store.setReachable(true)
		Eventually(ready, "5s").Should(Equal(http.StatusOK))
	})

	// Guards against new connections to an instance that is about to exit, and
	// against an instance that is killed because it does not exit in time.
	It("is not ready while it stops, accepts requests until it is deregistered, and exits in time", func() {
		start()
		Eventually(ready, "5s").Should(Equal(http.StatusOK))
		stop()
		Eventually(ready).Should(Equal(http.StatusServiceUnavailable))
		response, err := http.Get("http://" + settings.CallerListen.String() + "/")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Close).To(BeTrue())
		_ = response.Body.Close()
		Eventually(ended, "4s").Should(Receive(BeNil()))
	})

	// Guards against a reload signal that ends or interrupts the instance.
	It("keeps serving after a reload signal and serves metrics", func() {
		start()
		Eventually(ready, "5s").Should(Equal(http.StatusOK))
		reloadSignals <- os.Interrupt
		Consistently(ready, "200ms").Should(Equal(http.StatusOK))
		response, err := http.Get("http://" + settings.MetricsListen.String() + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		_ = response.Body.Close()
	})
})
