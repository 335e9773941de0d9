package forward_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/forward"
	"github.com/hibiscusstair/hibiscusstair/quarantine"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/upstream"
)

// Header fields of testProtocol.
const (
	headerID          = "Test-Id"
	headerKey         = "Test-Key"
	headerTimeout     = "Test-Timeout-Ms"
	headerRemaining   = "Test-Remaining-Ms"
	headerEndpoint    = "Test-Endpoint"
	headerAccount     = "Test-Account"
	headerLastEvent   = "Last-Event-Id"
	headerBackup      = "Test-Backup"
	headerCopy        = "Test-Copy"
	headerNotExecuted = "Test-Not-Executed"
	headerSigned      = "Test-Signed"
	headerRank        = "Test-Rank"
	headerParts       = "Test-Shared-Parts" // separated by spaces
	headerLimit       = "Test-Limit"
)

// testProtocol is a minimal implementation of forward.Protocol.
type testProtocol struct{}

func (testProtocol) DecodeRequest(r *http.Request) (forward.RequestInfo, error) {
	ms, _ := strconv.Atoi(r.Header.Get(headerTimeout))
	return forward.RequestInfo{
		ID: r.Header.Get(headerID), APIKey: r.Header.Get(headerKey),
		Timeout: time.Duration(ms) * time.Millisecond, LastEventID: r.Header.Get(headerLastEvent),
		PromptTokens: 100, OutputTokens: 10, SharedPartIDs: strings.Fields(r.Header.Get(headerParts)),
	}, nil
}

func (testProtocol) EncodeAttempt(h http.Header, a forward.Attempt) {
	h.Del(headerKey)
	h.Set(headerEndpoint, string(a.Endpoint))
	h.Set(headerAccount, string(a.Account))
	h.Set(headerRemaining, strconv.FormatInt(a.RemainingTime.Milliseconds(), 10))
	if a.LastEventID != "" {
		h.Set(headerLastEvent, a.LastEventID)
	}
	if a.BackupTargetAddress != "" {
		h.Set(headerBackup, a.BackupTargetAddress)
	}
	h.Set(headerRank, strconv.Itoa(a.QueueRank))
	if a.BackupSourceAddress != "" {
		h.Set(headerCopy, a.BackupSourceAddress+"/"+a.BackupSourceRequestID)
	}
}

func (testProtocol) DecodeResponse(r *http.Response) forward.ResponseInfo {
	perSecond, err := strconv.ParseFloat(r.Header.Get(headerLimit), 64)
	return forward.ResponseInfo{
		RateLimit: forward.RateLimit{Named: err == nil, PerSecond: perSecond},
		ID:        r.Header.Get(headerID), NotExecuted: r.Header.Get(headerNotExecuted) != "",
		Signed: r.Header.Get(headerSigned) != "",
	}
}

func (testProtocol) WriteRefusal(w http.ResponseWriter, _ forward.RequestInfo, err *reason.Error) {
	status := err.Reason.HTTPStatus()
	if err.Run == reason.RunNo && status >= http.StatusInternalServerError {
		status = http.StatusServiceUnavailable
	}
	if err.Run != reason.RunNo && status == http.StatusServiceUnavailable {
		status = http.StatusBadGateway
	}
	w.Header().Set("Test-Reason", string(err.Reason))
	w.Header().Set("Test-Retry-After", err.RetryAfter.String())
	w.WriteHeader(status)
}

// receivedRequest is a request as an endpoint received it.
type receivedRequest struct {
	endpoint string
	method   string
	uri      string
	header   http.Header
	body     string
}

// fixture is a handler in front of fake endpoints.
type fixture struct {
	domain   api.FailureDomain // of all endpoints; "" is one for each
	table    *routing.CurrentTable
	balance  *balance.Balancer
	handler  *forward.Handler
	server   *httptest.Server
	stopping bool
	// quarantine never sends anything to other instances.
	quarantine *quarantine.Runner
	synced     chan struct{} // see forward.Options
	// maxBodyBytes is the maximum size of a request body for applyTable; 0 is the default.
	maxBodyBytes int64
	// clockReads counts the handler's reads of the clock.
	clockReads atomic.Int64

	mu        sync.Mutex
	requests  []receivedRequest
	cancelled []string // endpoints whose request was cancelled
	servers   map[string]*httptest.Server
}

func newFixture() *fixture {
	synced := make(chan struct{})
	close(synced)
	return newFixtureWithSynced(synced)
}

// newFixtureWithSynced returns a fixture whose handler waits for a
// configuration and endpoints until the channel is closed.
func newFixtureWithSynced(synced chan struct{}) *fixture {
	return newFixtureWithBudget(synced, forward.RetryBudgetOptions{Ratio: 1, Baseline: 100, Window: 10 * time.Second})
}

func newFixtureWithBudget(synced chan struct{}, budget forward.RetryBudgetOptions) *fixture {
	return newFixtureWithOptions(synced, func(_ *fixture, o *forward.Options) { o.RetryBudget = forward.NewRetryBudget(budget) })
}

func newFixtureWithOptions(synced chan struct{}, change func(*fixture, *forward.Options)) *fixture {
	f := &fixture{table: &routing.CurrentTable{}, synced: synced, servers: make(map[string]*httptest.Server)}
	f.quarantine = quarantine.New(quarantine.Options{Clock: bootclock.Now, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
	f.balance = balance.New(balance.Options{
		CoreOptions: balance.CoreOptions{Instance: "i", Place: api.Place{Region: "r", FailureDomain: "d0"}},
		Clock:       bootclock.Now, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
	})
	options := forward.Options{
		Protocol: testProtocol{}, Table: f.table, Balance: f.balance,
		Pool:  upstream.New(upstream.Options{Clock: bootclock.Now}),
		Clock: f.readClock, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		Quarantine: f.quarantine,
		Synced:     f.synced,
		Stopping:   func() (bool, time.Duration) { return f.stopping, time.Second },
	}
	change(f, &options)
	f.handler = forward.New(options)
	f.server = httptest.NewServer(f.handler)
	DeferCleanup(f.server.Close)
	return f
}

func (f *fixture) readClock() time.Duration {
	f.clockReads.Add(1)
	return bootclock.Now()
}

// applyTable activates a configuration with one route of each kind.
func (f *fixture) applyTable(change func(*routing.Route)) {
	routes := []routing.Route{
		{Name: "order", Prefix: "/order/"},
		{Name: "lookup", Prefix: "/lookup/", RetryPolicy: routing.RetryAlways, TargetLatency: 400 * time.Millisecond},
		{Name: "stream", Prefix: "/stream/", Stream: true, RetryPolicy: routing.RetryFromLastEvent, TargetEventGap: 400 * time.Millisecond, TargetLatency: time.Second},
	}
	for i := range routes {
		routes[i].Host = "service.example"
		routes[i].MaxAttempts = 3
		routes[i].Priority = 2
		routes[i].Services = []routing.WeightedService{{Service: "s", Weight: 1}}
		if change != nil {
			change(&routes[i])
		}
	}
	services := []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 8, KVCapacity: 100000, SupportsBackups: true}}}
	accounts := []routing.Account{
		{ID: "acme", Keys: []string{"key"}},
		{ID: "first", Keys: []string{"urgent"}, HasPriority: true},
		{ID: "last", Keys: []string{"patient"}, Priority: 40, HasPriority: true},
	}
	f.table.Apply(routing.New(f.table.Version()+1, routes, services, accounts, routing.Limits{MaxBodyBytes: f.maxBodyBytes}))
}

// startEndpoint starts an endpoint in a failure domain of its own and adds it.
func (f *fixture) startEndpoint(name string, serve http.HandlerFunc) registry.Endpoint {
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		f.mu.Lock()
		f.requests = append(f.requests, receivedRequest{name, r.Method, r.RequestURI, r.Header.Clone(), string(body)})
		f.mu.Unlock()
		defer func() {
			if r.Context().Err() != nil {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.cancelled = append(f.cancelled, name)
			}
		}()
		rw.Header().Set(headerID, r.Header.Get(headerID))
		serve(rw, r)
	}))
	DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
	f.mu.Lock()
	f.servers[name] = server
	f.mu.Unlock()
	return f.addEndpoint(name, server.Listener.Addr().String())
}

func (f *fixture) addEndpoint(name, address string) registry.Endpoint {
	domain := f.domain
	if domain == "" {
		domain = api.FailureDomain("d" + name)
	}
	e := registry.Endpoint{ID: api.EndpointID(name), Incarnation: 1, Service: "s", Address: address, Domain: domain, Slots: 8}
	f.balance.Apply(registry.Change{Kind: registry.Added, Endpoint: e})
	return e
}

// startAt serves another endpoint at the address of one that has ended.
func (f *fixture) startAt(address string, serve http.HandlerFunc) {
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		f.mu.Lock()
		f.requests = append(f.requests, receivedRequest{"at " + address, r.Method, r.RequestURI, r.Header.Clone(), string(body)})
		f.mu.Unlock()
		serve(w, r)
	}))
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
}

// reportCrash records a crash while a prompt with the shared part waited.
func (f *fixture) reportCrash(endpoint, part string) {
	f.quarantine.ReportCrash(quarantine.EngineCrashed{
		Endpoint: api.EndpointID(endpoint), Domain: api.FailureDomain("d" + endpoint),
		Running: []quarantine.Request{{Shared: []quarantine.Part{quarantine.PartOf(part)}}},
	})
}

// refuseConnections closes an endpoint's listener; open connections continue.
func (f *fixture) refuseConnections(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.servers[name].Listener.Close()
}

func (f *fixture) received() []receivedRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]receivedRequest(nil), f.requests...)
}

func (f *fixture) cancelledEndpoints() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.cancelled...)
}

// call sends a request as a caller does.
func (f *fixture) call(ctx context.Context, method, path string, body io.Reader, header http.Header) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, f.server.URL+path, body)
	Expect(err).NotTo(HaveOccurred())
	request.Host = "service.example"
	request.Header = http.Header{headerID: {"attempt-1"}, headerKey: {"key"}, headerTimeout: {"3000"}}
	if host := header.Get("Host"); host != "" {
		request.Host = host
	}
	for name, values := range header {
		request.Header[name] = values
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return transport.RoundTrip(request)
}

func (f *fixture) get(path string) (int, string, http.Header) {
	response, err := f.call(context.Background(), http.MethodGet, path, nil, nil)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(body), response.Header
}

// respond returns a handler that sends a complete, signed response.
func respond(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerSigned, "yes")
		_, _ = io.WriteString(w, body)
	}
}

// respondStatus returns a handler that sends a signed response with the status
// and header fields.
func respondStatus(code int, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerSigned, "yes")
		for _, name := range header {
			w.Header().Set(name, "1")
		}
		w.WriteHeader(code)
	}
}

// cutConnection returns a handler that resets the connection after some raw
// bytes.
func cutConnection(raw string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = buffer.WriteString(raw)
		_ = buffer.Flush()
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// hang sends nothing until its request is cancelled.
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// streamEvents returns a handler that sends the events after Last-Event-Id up
// to last, then calls end.
func streamEvents(last int, end http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerSigned, r.Header.Get(headerEndpoint))
		w.Header().Set("Content-Type", "text/event-stream")
		from, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
		for id := from + 1; id <= last; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", id, id)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(2 * time.Millisecond)
		}
		end(w, r)
	}
}

func endStream(http.ResponseWriter, *http.Request) {}

func streamText(last int) string {
	text := ""
	for id := 1; id <= last; id++ {
		text += fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
	}
	return text
}
