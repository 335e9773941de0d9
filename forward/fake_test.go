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
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/forward"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/upstream"
)

// Headers of the protocol of these tests.
const (
	headerID          = "Test-Id"
	headerKey         = "Test-Key"
	headerPatience    = "Test-Patience-Ms"
	headerRemaining   = "Test-Remaining-Ms"
	headerEndpoint    = "Test-Endpoint"
	headerAccount     = "Test-Account"
	headerLastEvent   = "Last-Event-Id"
	headerBackup      = "Test-Backup"
	headerCopy        = "Test-Copy"
	headerNotExecuted = "Test-Not-Executed"
	headerSigned      = "Test-Signed"
	headerRank        = "Test-Rank"
)

// testProtocol is a minimal protocol.
type testProtocol struct{}

func (testProtocol) DecodeRequest(r *http.Request) (forward.RequestInfo, error) {
	ms, _ := strconv.Atoi(r.Header.Get(headerPatience))
	return forward.RequestInfo{
		ID: r.Header.Get(headerID), APIKey: r.Header.Get(headerKey),
		Timeout: time.Duration(ms) * time.Millisecond, LastEventID: r.Header.Get(headerLastEvent),
		PromptTokens: 100, OutputTokens: 10,
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
	if a.BackupAddress != "" {
		h.Set(headerBackup, a.BackupAddress)
	}
	h.Set(headerRank, strconv.Itoa(a.QueueRank))
	if a.CopyAddress != "" {
		h.Set(headerCopy, a.CopyAddress+"/"+a.CopyRequestID)
	}
}

func (testProtocol) DecodeResponse(r *http.Response) forward.ResponseInfo {
	return forward.ResponseInfo{
		ID: r.Header.Get(headerID), NotExecuted: r.Header.Get(headerNotExecuted) != "",
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
	w.WriteHeader(status)
}

// arrival is a request as an endpoint got it.
type arrival struct {
	endpoint string
	method   string
	uri      string
	header   http.Header
	body     string
}

// deaths counts the endpoints that died with each content, and refuses content
// after three.
type deaths struct {
	mu     sync.Mutex
	counts map[api.Digest]int
}

func (d *deaths) IsolationLevel(digest api.Digest) api.Isolation {
	d.mu.Lock()
	defer d.mu.Unlock()
	return api.Isolation(min(d.counts[digest], int(api.IsolationRefused)))
}

func (d *deaths) ReportCrash(_ api.EndpointID, _ api.FailureDomain, running []api.Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.counts == nil {
		d.counts = make(map[api.Digest]int)
	}
	for _, digest := range running {
		d.counts[digest]++
	}
}

func (d *deaths) ReportCompleted(digest api.Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.counts, digest)
}

// world is a handler in front of fake endpoints.
type world struct {
	table    *routing.CurrentTable
	balance  *balance.Balancer
	handler  *forward.Handler
	server   *httptest.Server
	stopping bool
	marks    deaths
	known    chan struct{} // see forward.Options

	mu       sync.Mutex
	arrivals []arrival
	ended    []string // endpoints whose request ended with its connection
}

func newWorld() *world {
	known := make(chan struct{})
	close(known)
	return newStartingWorld(known)
}

// newStartingWorld returns a world whose handler knows a configuration and
// endpoints once the channel is closed.
func newStartingWorld(known chan struct{}) *world {
	return newWorldWith(known, forward.RetryBudgetOptions{Ratio: 1, Baseline: 100, Window: 10 * time.Second})
}

func newWorldWith(known chan struct{}, budget forward.RetryBudgetOptions) *world {
	w := &world{table: &routing.CurrentTable{}, known: known}
	w.balance = balance.New(balance.Options{
		CoreOptions: balance.CoreOptions{Instance: "i", Place: api.Place{Region: "r", FailureDomain: "d0"}},
		Clock:       bootclock.Now, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
	})
	w.handler = forward.New(forward.Options{
		Protocol: testProtocol{}, Table: w.table, Balance: w.balance,
		Pool:        upstream.New(upstream.Options{Clock: bootclock.Now}),
		RetryBudget: forward.NewRetryBudget(budget),
		Clock:       bootclock.Now, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		CrashMarks: &w.marks,
		Synced:     w.known,
		Stopping:   func() (bool, time.Duration) { return w.stopping, time.Second },
	})
	w.server = httptest.NewServer(w.handler)
	DeferCleanup(w.server.Close)
	return w
}

// serve puts a configuration with one route of each kind into force.
func (w *world) serve(change func(*routing.Route)) {
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
	w.table.Apply(routing.New(w.table.Version()+1, routes, services, accounts, routing.Limits{}))
}

// endpoint adds an endpoint, each in a failure domain of its own.
func (w *world) endpoint(name string, serve http.HandlerFunc) registry.Endpoint {
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.mu.Lock()
		w.arrivals = append(w.arrivals, arrival{name, r.Method, r.RequestURI, r.Header.Clone(), string(body)})
		w.mu.Unlock()
		defer func() {
			if r.Context().Err() != nil {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.ended = append(w.ended, name)
			}
		}()
		rw.Header().Set(headerID, r.Header.Get(headerID))
		serve(rw, r)
	}))
	DeferCleanup(func() { server.CloseClientConnections(); server.Close() })
	return w.add(name, server.Listener.Addr().String())
}

func (w *world) add(name, address string) registry.Endpoint {
	e := registry.Endpoint{ID: api.EndpointID(name), Incarnation: 1, Service: "s", Address: address, Domain: api.FailureDomain("d" + name), Slots: 8}
	w.balance.Apply(registry.Change{Kind: registry.Added, Endpoint: e})
	return e
}

func (w *world) seen() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

func (w *world) endedAt() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.ended...)
}

// call sends a request as a caller does.
func (w *world) call(ctx context.Context, method, path string, body io.Reader, header http.Header) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, w.server.URL+path, body)
	Expect(err).NotTo(HaveOccurred())
	request.Host = "service.example"
	request.Header = http.Header{headerID: {"attempt-1"}, headerKey: {"key"}, headerPatience: {"3000"}}
	for name, values := range header {
		request.Header[name] = values
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return transport.RoundTrip(request)
}

func (w *world) get(path string) (int, string, http.Header) {
	response, err := w.call(context.Background(), http.MethodGet, path, nil, nil)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(body), response.Header
}

// answer serves a complete, signed answer.
func answer(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerSigned, "yes")
		_, _ = io.WriteString(w, body)
	}
}

// status serves a failure of the endpoint.
func status(code int, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerSigned, "yes")
		for _, name := range header {
			w.Header().Set(name, "1")
		}
		w.WriteHeader(code)
	}
}

// cut closes the connection after some raw bytes.
func cut(raw string) http.HandlerFunc {
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

// hang answers nothing until its request ends.
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// events sends events from the one after Last-Event-Id to last, then calls end.
func events(last int, end http.HandlerFunc) http.HandlerFunc {
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

func complete(http.ResponseWriter, *http.Request) {}

func wholeStream(last int) string {
	text := ""
	for id := 1; id <= last; id++ {
		text += fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
	}
	return text
}
