package generation

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// tokenAt returns the token that every fake engine without a tokenSalt generates
// at a position.
func tokenAt(prompt string, seed int64, position int) uint32 {
	return uint32(xxhash.Sum64String(fmt.Sprint(prompt, seed, position)))
}

// fakeEngine implements the engine protocol and fails as its fields say.
type fakeEngine struct {
	*httptest.Server
	mu            sync.Mutex
	openRequests  []engineRequest
	resumeCount   int
	requests      map[string]engineRequest // by request ID, for resume
	closeBefore   int                      // position before which the connection is closed; 0: never
	freezeBefore  int                      // position before which the stream goes silent; 0: never
	tokenInterval time.Duration
	refuseNew     bool   // new requests are refused as not started
	tokenSalt     string // makes the engine generate other tokens
	stopping      chan struct{}
}

func newFakeEngine() *fakeEngine {
	e := &fakeEngine{requests: make(map[string]engineRequest), stopping: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.openStream)
	mux.HandleFunc("POST /v1/streams/{id}/resume", e.resumeStream)
	mux.HandleFunc("POST /v1/streams/{id}/cancel", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	e.Server = httptest.NewServer(mux)
	return e
}

func (e *fakeEngine) address() string { return strings.TrimPrefix(e.URL, "http://") }

func (e *fakeEngine) stop() {
	close(e.stopping)
	e.CloseClientConnections()
	e.Close()
}

// dropStreamsAndRefuse drops all streams, as a restart does, and refuses new requests.
func (e *fakeEngine) dropStreamsAndRefuse() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.requests)
	e.refuseNew = true
}

func (e *fakeEngine) openStream(w http.ResponseWriter, r *http.Request) {
	var request engineRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	e.mu.Lock()
	e.openRequests = append(e.openRequests, request)
	e.requests[request.RequestID] = request
	refuse := e.refuseNew
	e.mu.Unlock()
	if refuse {
		w.Header().Set(notStartedHeader, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.generate(w, r, request, request.Attempt, len(request.PrefixTokens), e.closeBefore, e.freezeBefore)
}

func (e *fakeEngine) resumeStream(w http.ResponseWriter, r *http.Request) {
	var body resumeRequest
	_ = json.NewDecoder(r.Body).Decode(&body)
	e.mu.Lock()
	request, ok := e.requests[r.PathValue("id")]
	e.resumeCount++
	e.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.generate(w, r, request, body.Attempt, body.From, 0, 0)
}

func (e *fakeEngine) generate(w http.ResponseWriter, r *http.Request, request engineRequest, attempt uint64, from, closeBefore, freezeBefore int) {
	flusher := w.(http.Flusher)
	flusher.Flush()
	for position := from; position < request.MaxTokens; position++ {
		if closeBefore > 0 && position >= closeBefore {
			panic(http.ErrAbortHandler)
		}
		if freezeBefore > 0 && position >= freezeBefore {
			select {
			case <-e.stopping:
			case <-r.Context().Done():
			}
			return
		}
		time.Sleep(e.tokenInterval)
		finish := ""
		if position == request.MaxTokens-1 {
			finish = "length"
		}
		token := tokenAt(e.tokenSalt+request.Prompt, request.Seed, position)
		fmt.Fprintf(w, "data: {\"request_id\":%q,\"attempt\":%d,\"position\":%d,\"token\":%d,\"text\":\"t%d \",\"finish_reason\":%q}\n\n",
			request.RequestID, attempt, position, token, position, finish)
		flusher.Flush()
	}
}

// fakePlacer grants the first endpoint that is not excluded.
type fakePlacer struct {
	mu           sync.Mutex
	endpoints    []api.Endpoint
	lastGrant    uint64
	activeGrants map[uint64]bool
}

func (p *fakePlacer) Place(_ context.Context, request api.PlacementRequest) (api.Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, endpoint := range p.endpoints {
		excluded := false
		for _, id := range request.Exclude {
			excluded = excluded || id == endpoint.ID
		}
		if !excluded {
			p.lastGrant++
			p.activeGrants[p.lastGrant] = true
			return api.Grant{ID: p.lastGrant, Endpoint: endpoint}, nil
		}
	}
	return api.Grant{}, reason.New(reason.NoEndpoint, "none")
}

func (p *fakePlacer) setEndpoints(endpoints []api.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoints = endpoints
}

func (p *fakePlacer) ReportProgress(uint64, int)   {}
func (p *fakePlacer) MarkSuspect(_ api.EndpointID) {}

func (p *fakePlacer) Release(grant uint64, _ api.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.activeGrants[grant] {
		panic(fmt.Sprintf("grant %d was released twice or never granted", grant))
	}
	delete(p.activeGrants, grant)
}

type fakeAdmitter struct{ noRetries bool }

func (fakeAdmitter) Admit(context.Context, api.AdmissionRequest) (api.Admission, error) {
	return api.Admission{}, nil
}
func (fakeAdmitter) Release(api.Admission)        {}
func (a fakeAdmitter) TryRetry(api.Priority) bool { return !a.noRetries }

type fakeCrashMarks struct{ level atomic.Int32 }

func (m *fakeCrashMarks) IsolationLevel(api.Digest) api.Isolation {
	return api.Isolation(m.level.Load())
}
func (*fakeCrashMarks) ReportCrash(api.EndpointID, api.FailureDomain, []api.Digest) {}
func (*fakeCrashMarks) ReportCompleted(api.Digest)                                  {}

const testToken = "secret"

// testInstance is a runner with an HTTP server for callers and fakes of its
// dependencies.
type testInstance struct {
	runner *Runner
	placer *fakePlacer
	marks  *fakeCrashMarks
	server *httptest.Server
	stop   func()
}

func testOptions(instance *testInstance, config *api.Config, clock bootclock.Func) Options {
	return Options{
		Instance: "i1", Half: "h1", Config: func() *api.Config { return config },
		Placer: instance.placer, Admitter: fakeAdmitter{}, Marks: instance.marks, Recovery: RecoveryEager,
		RequestTimeout: 20 * time.Second, MaxTimeout: time.Minute, SlowCallerTimeout: 5 * time.Second,
		MaxBodyBytes: 1 << 16, MaxTokens: 1000,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Scope: tally.NoopScope, Clock: clock,
	}
}

func newTestInstance(change func(*Options), engines ...*fakeEngine) *testInstance {
	instance := &testInstance{placer: &fakePlacer{activeGrants: make(map[uint64]bool)}, marks: &fakeCrashMarks{}}
	config := &api.Config{Ticket: 1, Endpoints: make(map[api.EndpointID]api.Endpoint), Accounts: map[api.AccountID]api.Account{
		"a1": {ID: "a1", Half: "h1", Priority: api.PriorityInteractive, CredentialSHA256: httpapi.CredentialSHA256(testToken)},
	}}
	for i, engine := range engines {
		endpoint := api.Endpoint{
			ID: api.EndpointID(fmt.Sprintf("e%d", i+1)), Kind: api.KindEngine, Address: engine.address(),
			Half: "h1", Models: []api.ModelRef{{Model: "m"}},
		}
		config.Endpoints[endpoint.ID] = endpoint
		instance.placer.endpoints = append(instance.placer.endpoints, endpoint)
	}
	o := testOptions(instance, config, bootclock.Now)
	if change != nil {
		change(&o)
	}
	runner, err := New(o)
	if err != nil {
		panic(err)
	}
	instance.runner = runner
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		_ = runner.Run(ctx)
		close(ended)
	}()
	<-runner.started
	instance.server = httptest.NewServer(runner.Handler())
	instance.stop = func() {
		cancel()
		<-ended
		instance.server.CloseClientConnections()
		instance.server.Close()
	}
	return instance
}

// callerResponse is what a caller received.
type callerResponse struct {
	status       int
	body         string
	header       http.Header
	ids          []string
	tokens       []uint32
	finishReason string
	err          httpapi.ErrorDetail
	receivedDone bool // the stream ended with [DONE]
}

func (instance *testInstance) send(body string, header map[string]string) *callerResponse {
	return instance.sendAndRead(body, header, -1)
}

// sendAndRead closes the connection after limit tokens; -1 reads to the end.
func (instance *testInstance) sendAndRead(body string, header map[string]string, limit int) *callerResponse {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, instance.server.URL+"/v1/completions", strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+testToken)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	httpResponse, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return &callerResponse{status: -1, body: err.Error()}
	}
	defer httpResponse.Body.Close()
	response := &callerResponse{status: httpResponse.StatusCode, header: httpResponse.Header}
	if !strings.HasPrefix(httpResponse.Header.Get("Content-Type"), "text/event-stream") {
		data, _ := io.ReadAll(httpResponse.Body)
		response.body = string(data)
		var refusal httpapi.ErrorBody
		_ = json.Unmarshal(data, &refusal)
		response.err = refusal.Error
		return response
	}
	response.read(httpResponse.Body, limit)
	return response
}

func (response *callerResponse) read(body io.Reader, limit int) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			response.ids = append(response.ids, id)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			response.receivedDone = true
			continue
		}
		var event struct {
			completionResponse
			Error httpapi.ErrorDetail `json:"error"`
		}
		_ = json.Unmarshal([]byte(data), &event)
		response.err = event.Error
		for _, c := range event.Choices {
			if c.Token != nil {
				response.tokens = append(response.tokens, *c.Token)
			}
			if c.FinishReason != nil {
				response.finishReason = *c.FinishReason
			}
		}
		if limit >= 0 && len(response.tokens) >= limit {
			return
		}
	}
}

func expectedTokens(prompt string, seed int64, from, to int) []uint32 {
	var tokens []uint32
	for position := from; position < to; position++ {
		tokens = append(tokens, tokenAt(prompt, seed, position))
	}
	return tokens
}

func jsonText(tokens []uint32) string {
	data, _ := json.Marshal(tokens)
	return string(data)
}

func (instance *testInstance) generationOf(eventID string) string {
	id, err := ParseEventID(eventID)
	if err != nil {
		panic(err)
	}
	return id.Generation
}

// lastEventID returns the event ID of the latest token of the only generation.
func (instance *testInstance) lastEventID() (id EventID) {
	done := make(chan struct{})
	instance.runner.post(loopCall(func(c *Core) {
		for _, g := range c.generations {
			id = c.eventID(g, g.nextPosition-1, g.prefixHash)
		}
		close(done)
	}))
	<-done
	return id
}

// lastPosition returns the position of the latest token.
func (instance *testInstance) lastPosition() int { return instance.lastEventID().Position }

func (r *Runner) activeRequestCount() int { return int(r.activeRequests.Load()) }
