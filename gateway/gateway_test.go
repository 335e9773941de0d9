package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"os"
	"strings"
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
	address   netip.AddrPort // last address that was set
}

func (s *fakeStore) SetAddress(address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = address
}

func (s *fakeStore) lastAddress() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
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

// fakeSettingsFile is a settings file whose content is "invalid" or stands for settings.
type fakeSettingsFile struct {
	mu       sync.Mutex
	content  string
	settings gateway.Settings
}

// write replaces the file; settings are what the content stands for.
func (f *fakeSettingsFile) write(content string, settings gateway.Settings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.content, f.settings = content, settings
}

func (f *fakeSettingsFile) settingsFile() gateway.SettingsFile {
	return gateway.SettingsFile{
		Read: func() ([]byte, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return []byte(f.content), nil
		},
		Parse: func(content []byte) (gateway.Settings, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if string(content) == "invalid" {
				return gateway.Settings{}, errors.New("the file is invalid")
			}
			return f.settings, nil
		},
	}
}

var _ = Describe("Gateway", func() {
	var (
		store         *fakeStore
		file          *fakeSettingsFile
		logged        *lockedBuffer
		settings      gateway.Settings
		reloadSignals chan os.Signal
		stop          context.CancelFunc
		ended         chan error
	)

	start := func() {
		metrics := telemetry.NewMetrics()
		g, err := gateway.New(gateway.Options{
			Settings: settings, SettingsFile: file.settingsFile(), ReloadSignals: reloadSignals,
			Protocol: plainProtocol{}, Store: store, PartLister: noEngines{}, IdentityClient: noEngines{}, EngineClient: noEngines{},
			DecodeTable: func([]byte) (*routing.Table, error) { return nil, errNoEngine },
			Log:         slog.New(slog.NewJSONHandler(logged, nil)), Metrics: metrics,
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
		logged = &lockedBuffer{}
		settings = gateway.Settings{
			Instance: "i", Place: api.Place{Region: "r", FailureDomain: "d"},
			CallerListen: unusedAddress(), ReadyListen: unusedAddress(), PeerListen: unusedAddress(), MetricsListen: unusedAddress(),
			StopTimeout: 4 * time.Second, RetryRatio: 0.8, RetryBaseline: 10, RetryWindow: time.Second,
		}
		file = &fakeSettingsFile{content: "first", settings: settings}
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

	// Guards against a queue that is not built although load control is on, or the reverse.
	DescribeTable("has an admission queue under load control only", func(loadControl bool) {
		settings.LoadControl = loadControl
		start()
		Eventually(ready, "5s").Should(Equal(http.StatusOK))
		response, err := http.Get("http://" + settings.MetricsListen.String() + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Contains(string(body), "hibiscusstair_admission_limits_hit")).To(Equal(loadControl))
		stop()
		Eventually(ended, "5s").Should(Receive(BeNil()))
	}, Entry("on", true), Entry("off", false))

	// Guards against changed settings that take effect only after a restart, which
	// would interrupt the running requests.
	It("applies changed settings after a signal", func() {
		start()
		Eventually(ready, "5s").Should(Equal(http.StatusOK))
		changed := settings
		changed.Store = netip.MustParseAddrPort("127.0.0.1:7001")
		changed.StopTimeout = 2600 * time.Millisecond
		file.write("second", changed)
		reloadSignals <- os.Interrupt
		Eventually(store.lastAddress).Should(Equal(changed.Store))
		Expect(logged.String()).To(ContainSubstring(`"applied":["store","stop_timeout"]`))
		stop()
		Eventually(ended, "2800ms").Should(Receive(BeNil()))
	})

	// Guards against an instance that keeps old settings because nobody sent it a
	// signal.
	It("applies a changed file without a signal", func() {
		start()
		changed := settings
		changed.Store = netip.MustParseAddrPort("127.0.0.1:7001")
		file.write("second", changed)
		Eventually(store.lastAddress, "5s").Should(Equal(changed.Store))
		// The line is written after the settings are passed on.
		Eventually(logged.String, "5s").Should(ContainSubstring(`"signal":false`))
	})

	// Guards against an instance that stops serving because of a mistake in a file.
	It("keeps the active settings while the file is invalid, and applies it once it is valid", func() {
		start()
		Eventually(ready, "5s").Should(Equal(http.StatusOK))
		file.write("invalid", gateway.Settings{})
		reloadSignals <- os.Interrupt
		Eventually(logged.String).Should(ContainSubstring("the active ones stay in effect"))
		Consistently(ready, "200ms").Should(Equal(http.StatusOK))
		changed := settings
		changed.Store = netip.MustParseAddrPort("127.0.0.1:7001")
		file.write("third", changed)
		Eventually(store.lastAddress, "5s").Should(Equal(changed.Store))
	})

	// Guards against requests that are cut and connections that are closed by a series
	// of reloads.
	It("keeps connections and requests during a series of reloads", func() {
		start()
		Eventually(ready, "5s").Should(Equal(http.StatusOK))
		client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 3 * time.Second}
		for i := range 20 {
			changed := settings
			changed.RetryBaseline = float64(i)
			file.write(fmt.Sprint(i), changed)
			reloadSignals <- os.Interrupt
			reused := false
			trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
			request, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace),
				http.MethodGet, "http://"+settings.CallerListen.String()+"/", nil)
			Expect(err).NotTo(HaveOccurred())
			response, err := client.Do(request)
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			Expect(response.Close).To(BeFalse())
			Expect(reused).To(Equal(i > 0))
			Expect(ready()).To(Equal(http.StatusOK))
		}
	})
})

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
