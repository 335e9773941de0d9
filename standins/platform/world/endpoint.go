package world

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// ReceivedRequest is a request as an endpoint received it.
type ReceivedRequest struct {
	AttemptID     string
	IncarnationID string
	Version       string // of the endpoint's software
	Method        string
	Target        string
	BodyHash      uint64 // see Hash
	Account       string
	APIKey        string
	ReceivedAt    time.Time
	Ran           bool
}

// RequestLog records the requests that the endpoints started to run, not those that
// they rejected. The checks compare it with what callers received.
type RequestLog struct {
	mu       sync.Mutex
	requests []ReceivedRequest
}

func (l *RequestLog) add(request ReceivedRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, request)
}

// Requests returns all requests recorded so far.
func (l *RequestLog) Requests() []ReceivedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ReceivedRequest(nil), l.requests...)
}

// Hash returns the hash of a request body.
func Hash(body []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(body)
	return h.Sum64()
}

// registration is an endpoint's entry in the store.
type registration struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Version     string `json:"version"`
	Slots       int    `json:"slots"`
	State       string `json:"state"`
	Sequence    int    `json:"sequence"`
	StartedAtMS int64  `json:"born"`
}

// Endpoint is an engine or a desk at a fixed address. It can be started several
// times, each time under a new identifier.
type Endpoint struct {
	Service     string
	Domain      string
	Slots       int
	queueLength int // maximum number of requests that wait for a slot
	store       *Store
	requestLog  *RequestLog
	serve       func(e *Endpoint, id string, w http.ResponseWriter, r *http.Request)

	mu                sync.Mutex
	version           string
	versionFaults     VersionFaults
	retired           bool // the endpoint does not start again
	incarnationID     string
	startCount        int
	listenAddress     string
	registeredAddress string // address that is registered, for example that of a proxy
	server            *http.Server
	listener          net.Listener
	draining          bool
	startedAtMS       int64
	activeRequests    int
	rateLimit         float64 // requests per second that responses name; 0 is none
	poison            *PoisonContent
	leaving           bool          // all responses say that the endpoint leaves
	busyFor           time.Duration // the Retry-After of the rejections of all requests; 0 is none
	rejections        []time.Time   // of requests because of busyFor
	// onStart starts background work of the endpoint. It is called with mu
	// locked.
	onStart func()
	// onCrash discards the state that is in the endpoint's memory only. It is
	// called with mu unlocked.
	onCrash func()
}

// Start listens and registers the endpoint. The first start chooses a free port,
// which later starts use again.
func (e *Endpoint) Start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil || e.retired {
		return nil
	}
	address := e.listenAddress
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.startCount++
	e.listenAddress = listener.Addr().String()
	if e.registeredAddress == "" {
		e.registeredAddress = e.listenAddress
	}
	e.incarnationID = fmt.Sprintf("i-%s-%d", e.listenAddress, e.startCount)
	e.startedAtMS = time.Now().UnixMilli()
	e.draining, e.leaving = false, false
	e.listener = listener
	if e.onStart != nil {
		e.onStart()
	}
	incarnationID := e.incarnationID
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.handle(incarnationID, w, r) })}
	go func(server *http.Server) { _ = server.Serve(listener) }(e.server)
	e.register()
	return nil
}

// SetRegisteredAddress registers the endpoint under another address than the one
// that it listens on.
func (e *Endpoint) SetRegisteredAddress(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.registeredAddress = address
	e.register()
}

// Address returns the address that the endpoint listens on.
func (e *Endpoint) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listenAddress
}

// RegisteredAddress returns the address that is registered.
func (e *Endpoint) RegisteredAddress() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registeredAddress
}

// register writes the registration unless the store is down. mu has to be
// locked.
func (e *Endpoint) register() {
	if e.store.Down() {
		return
	}
	state := "ready"
	if e.draining {
		state = "draining"
	}
	e.store.Put("servers", e.incarnationID, registration{
		Service: e.Service, Address: e.registeredAddress, Zone: e.Domain, Version: e.version, Slots: e.Slots, State: state, StartedAtMS: e.startedAtMS,
	})
}

// RegisterIfMissing registers a running endpoint that the store doesn't have.
func (e *Endpoint) RegisterIfMissing() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil || e.store.Down() {
		return
	}
	e.store.mu.Lock()
	_, ok := e.store.objects["servers"][e.incarnationID]
	e.store.mu.Unlock()
	if !ok {
		e.register()
	}
}

// StartDraining registers that the endpoint accepts no new work.
func (e *Endpoint) StartDraining() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		e.draining = true
		e.register()
	}
}

// Crash closes the listener and all connections and discards the endpoint's
// state. It returns the identifier of the crashed incarnation, whose registration
// stays until Deregister.
func (e *Endpoint) Crash() (incarnationID string) {
	e.mu.Lock()
	server, incarnationID := e.server, e.incarnationID
	e.server, e.listener = nil, nil
	crash := e.onCrash
	e.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
	if crash != nil {
		crash()
	}
	return incarnationID
}

// Deregister deletes the registration of an earlier incarnation.
func (e *Endpoint) Deregister(incarnationID string) {
	if !e.store.Down() {
		e.store.Delete("servers", incarnationID)
	}
}

// Idle reports whether no request is running.
func (e *Endpoint) Idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.activeRequests == 0
}

// SetRateLimit makes the endpoint name a limit of the requests per second from all
// instances together; 0 ends it.
func (e *Endpoint) SetRateLimit(perSecond float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rateLimit = perSecond
}

// IncarnationID returns the identifier of the current or last start.
func (e *Endpoint) IncarnationID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnationID
}

// writeRateLimit adds the limit to the header of a response.
func (e *Endpoint) writeRateLimit(header http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rateLimit > 0 {
		header.Set("Server-Limit", strconv.FormatFloat(e.rateLimit, 'f', -1, 64))
	}
}

func (e *Endpoint) addActive(change int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeRequests += change
	return e.activeRequests
}

// handle serves the health check, rejects requests for another incarnation or
// beyond the capacity, and passes the others to the engine or desk.
func (e *Endpoint) handle(incarnationID string, w http.ResponseWriter, r *http.Request) {
	e.writeLeaving(w.Header())
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Hibiscusstair-Instance-Id", incarnationID)
		return
	case "/api/report", "/api/kv-list":
		e.serve(e, incarnationID, w, r)
		return
	}
	attempt := r.Header.Get("Hibiscusstair-Attempt-Id")
	w.Header().Set("Hibiscusstair-Attempt-Id", attempt)
	e.writeRateLimit(w.Header())
	if target := r.Header.Get("Hibiscusstair-Target-Instance"); target != "" && target != incarnationID {
		w.Header().Set("Hibiscusstair-Instance-Id", incarnationID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.rejectBusy(w) {
		return
	}
	if e.addActive(1) > e.Slots+e.queueLength {
		e.addActive(-1)
		w.Header().Set("Hibiscusstair-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.addActive(-1)
	e.serve(e, incarnationID, w, r)
}

// recordRequest adds the request to the log and returns its body.
func (e *Endpoint) recordRequest(incarnationID string, r *http.Request) []byte {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	e.requestLog.add(ReceivedRequest{
		AttemptID: r.Header.Get("Hibiscusstair-Attempt-Id"), IncarnationID: incarnationID, Version: e.Version(), Method: r.Method, Target: r.RequestURI,
		BodyHash: Hash(body), Account: r.Header.Get("Hibiscusstair-Tenant"), APIKey: r.Header.Get("X-Api-Key"),
		ReceivedAt: time.Now(), Ran: true,
	})
	return body
}
