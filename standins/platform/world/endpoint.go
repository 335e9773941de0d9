package world

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Arrival is a request as an endpoint got it.
type Arrival struct {
	Attempt  string
	Endpoint string
	Method   string
	Target   string
	Body     uint64 // hash
	Account  string
	Key      string
	At       time.Time
	Ran      bool
}

// Book records what the endpoints ran. It is the oracle of the checks.
type Book struct {
	mu       sync.Mutex
	arrivals []Arrival
}

func (b *Book) add(a Arrival) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, a)
}

// Arrivals returns all arrivals so far.
func (b *Book) Arrivals() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.arrivals...)
}

// Hash returns the hash of a request body.
func Hash(body []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(body)
	return h.Sum64()
}

// registration is what an endpoint says of itself in the store.
type registration struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// Endpoint is an engine or a desk at a fixed address, which may start several
// times there, each time under a new identifier.
type Endpoint struct {
	Service string
	Domain  string
	Slots   int
	queue   int // requests beyond the slots that wait
	store   *Store
	book    *Book
	serve   func(e *Endpoint, id string, w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	id       string
	starts   int
	address  string // where it listens
	visible  string // where others reach it, for example through a proxy
	server   *http.Server
	listener net.Listener
	draining bool
	born     int64
	active   int
	// onStart begins what the endpoint does by itself. It is called with the lock
	// held.
	onStart func()
	// onCrash drops what only lived in the endpoint's memory.
	onCrash func()
}

// Start listens and registers the endpoint. The first start picks a port.
func (e *Endpoint) Start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		return nil
	}
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.starts++
	e.address = listener.Addr().String()
	if e.visible == "" {
		e.visible = e.address
	}
	e.id = fmt.Sprintf("i-%s-%d", e.address, e.starts)
	e.born = time.Now().UnixMilli()
	e.draining = false
	e.listener = listener
	if e.onStart != nil {
		e.onStart()
	}
	id := e.id
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.handle(id, w, r) })}
	go func(server *http.Server) { _ = server.Serve(listener) }(e.server)
	e.register()
	return nil
}

// Through makes others reach the endpoint at another address.
func (e *Endpoint) Through(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.visible = address
	e.register()
}

// Address returns where the endpoint listens.
func (e *Endpoint) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// Visible returns where others reach the endpoint.
func (e *Endpoint) Visible() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.visible
}

// register is called with the lock held. A store that is down takes nothing.
func (e *Endpoint) register() {
	if e.store.Down() {
		return
	}
	state := "ready"
	if e.draining {
		state = "draining"
	}
	e.store.Put("servers", e.id, registration{
		Service: e.Service, Address: e.visible, Zone: e.Domain, Version: "v1", Slots: e.Slots, State: state, Born: e.born,
	})
}

// Heartbeat registers the endpoint if the store lost or missed it.
func (e *Endpoint) Heartbeat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil || e.store.Down() {
		return
	}
	e.store.mu.Lock()
	_, ok := e.store.objects["servers"][e.id]
	e.store.mu.Unlock()
	if !ok {
		e.register()
	}
}

// Drain registers that the endpoint takes no new work.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		e.draining = true
		e.register()
	}
}

// Crash ends the endpoint and everything in its memory at once. Its
// registration stays until it lapses.
func (e *Endpoint) Crash() (id string) {
	e.mu.Lock()
	server, id := e.server, e.id
	e.server, e.listener = nil, nil
	crash := e.onCrash
	e.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
	if crash != nil {
		crash()
	}
	return id
}

// Lapse removes the registration of an earlier start.
func (e *Endpoint) Lapse(id string) {
	if !e.store.Down() {
		e.store.Delete("servers", id)
	}
}

// Idle reports whether no request is running.
func (e *Endpoint) Idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active == 0
}

func (e *Endpoint) count(change int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active += change
	return e.active
}

// handle checks what every endpoint checks and serves the rest by its kind.
func (e *Endpoint) handle(id string, w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Hibiscusstair-Instance-Id", id)
		return
	case "/api/report", "/api/kv-list":
		e.serve(e, id, w, r)
		return
	}
	attempt := r.Header.Get("Hibiscusstair-Attempt-Id")
	w.Header().Set("Hibiscusstair-Attempt-Id", attempt)
	if target := r.Header.Get("Hibiscusstair-Target-Instance"); target != "" && target != id {
		w.Header().Set("Hibiscusstair-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.count(1) > e.Slots+e.queue {
		e.count(-1)
		w.Header().Set("Hibiscusstair-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.count(-1)
	e.serve(e, id, w, r)
}

// ran books the request and returns its body.
func (e *Endpoint) ran(id string, r *http.Request) []byte {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	e.book.add(Arrival{
		Attempt: r.Header.Get("Hibiscusstair-Attempt-Id"), Endpoint: id, Method: r.Method, Target: r.RequestURI,
		Body: Hash(body), Account: r.Header.Get("Hibiscusstair-Tenant"), Key: r.Header.Get("X-Api-Key"),
		At: time.Now(), Ran: true,
	})
	return body
}

// sleep waits unless the request's connection ends.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
