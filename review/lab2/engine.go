//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/harness"
)

const (
	// prefillTime is the time to the first event without a copy of the run's memory, and
	// eventInterval the time between two events.
	prefillTime   = 400 * time.Millisecond
	eventInterval = 60 * time.Millisecond
	// tokensPerEvent is the number of tokens in an event.
	tokensPerEvent = 6
	// copyLifetime is how long a copy is kept after its last part (handle-s).
	copyLifetime = 4 * time.Second
)

// copies are the copies of runs that engines keep for each other, by the address of the
// engine that keeps them and the attempt.
type copies struct {
	mu   sync.Mutex
	kept map[string]time.Time // time of the last part
}

func (c *copies) put(address, attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept[address+"/"+attempt] = time.Now()
}

// take removes a copy and reports whether there was one.
func (c *copies) take(handle string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.kept[handle]
	delete(c.kept, handle)
	return ok && time.Since(at) < copyLifetime
}

func (c *copies) drop(handle string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.kept, handle)
}

// dropEngine removes all that an engine keeps.
func (c *copies) dropEngine(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for handle := range c.kept {
		if strings.HasPrefix(handle, address+"/") {
			delete(c.kept, handle)
		}
	}
}

// arrival is a request that reached an engine.
type arrival struct {
	at        time.Time
	engine    string
	attempt   string
	backup    string // address of the engine that gets a copy
	continued bool   // from a copy
	ran       bool
}

// engine is a model engine or an engine of the plain service.
type engine struct {
	id, service, zone, address string
	born                       int64
	workTime                   time.Duration // of the plain service
	fleet                      *fleet
	copies                     *copies
	server                     *http.Server

	mu         sync.Mutex
	arrivals   []arrival
	drainingAt time.Time // when the store had accepted that it leaves; zero: it does not
	running    int
	begun      map[string]time.Time // when the engine last began to work for a target
}

// startEngine starts an engine and registers it. If address is "", it chooses a port.
func startEngine(f *fleet, kept *copies, id, service, zone, address string, born int64) (*engine, error) {
	if address == "" {
		free, err := harness.FreeAddress()
		if err != nil {
			return nil, err
		}
		address = free
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, zone: zone, address: listener.Addr().String(), born: born, fleet: f, copies: kept, workTime: 15 * time.Millisecond, begun: make(map[string]time.Time)}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(listener) }()
	e.register("ready")
	return e, nil
}

func (e *engine) register(state string) {
	e.fleet.store.Put("servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": state,
		"cold-remaining-ms": 0, "sequence": 1, "born": e.born,
	})
	e.fleet.rec.line("store: %s of %s at %s is %s, born %d", e.id, e.service, e.address, state, e.born)
}

// drain reports that the engine leaves.
func (e *engine) drain() {
	e.register("draining")
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drainingAt = time.Now()
}

// exit ends the engine: it closes its channels, and its entry is removed if removed is set.
func (e *engine) exit(removed bool) {
	e.mu.Lock()
	running := e.running
	e.mu.Unlock()
	_ = e.server.Close()
	e.copies.dropEngine(e.address)
	if removed {
		e.fleet.store.Delete("servers", e.id)
	}
	e.fleet.rec.line("engine %s exits with %d requests at work", e.id, running)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set(name("instance"), e.id)
		return
	case "/api/report":
		e.report(w)
		return
	case "/api/kv-list":
		writeJSON(w, map[string]any{"epoch": 1, "next-page-token": "", "held": [][]any{}})
		return
	}
	a := arrival{at: time.Now(), engine: e.id, attempt: r.Header.Get(name("attempt")), backup: r.Header.Get(name("backup"))}
	from := r.Header.Get(name("from"))
	a.continued = from != ""
	w.Header().Set(name("attempt"), a.attempt)
	if target := r.Header.Get(name("target")); target != "" && target != e.id {
		e.fleet.rec.line("%s rejects %s, which is for %s", e.id, a.attempt, target)
		w.Header().Set(name("instance"), e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if a.continued && !e.copies.take(from) {
		e.fleet.rec.line("%s has no copy of %s", e.id, a.attempt)
		w.Header().Set(name("not-executed"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	a.ran = true
	e.mu.Lock()
	e.arrivals = append(e.arrivals, a)
	e.running++
	e.begun[r.RequestURI] = a.at
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.fleet.rec.line("%s runs %s (after event %q, from a copy: %v)", e.id, a.attempt, r.Header.Get(name("last-event")), a.continued)
	w.Header().Set(name("signature"), "s."+e.id)
	if e.service == plainService {
		e.work(w, r, a)
		return
	}
	e.generate(w, r, a)
}

// work serves a plain request.
func (e *engine) work(w http.ResponseWriter, r *http.Request, a arrival) {
	select {
	case <-time.After(e.workTime):
	case <-r.Context().Done():
		return
	}
	fmt.Fprintf(w, "done %s", a.attempt)
}

// generate streams the events of a generation.
func (e *engine) generate(w http.ResponseWriter, r *http.Request, a arrival) {
	_, output, _ := strings.Cut(r.Header.Get(name("usage")), ",")
	tokens, _ := strconv.Atoi(output)
	event, _ := strconv.Atoi(r.Header.Get(name("last-event")))
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	if !a.continued {
		time.Sleep(prefillTime)
	}
	for event < tokens/tokensPerEvent {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
		event++
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", event, a.attempt, event); err != nil || controller.Flush() != nil {
			return
		}
		if a.backup != "" {
			e.copies.put(a.backup, a.attempt)
		}
	}
	if a.backup != "" {
		e.copies.drop(a.backup + "/" + a.attempt)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, map[string]any{
		"phase": "prefill_decode", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
		"busy": false, "sequence": 1, "queued": 0, "active": e.running, "kv-used": 400 * e.running, "kv-total": 88000, "handles": 0,
		"runs": [][]any{}, "born": e.born,
	})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// isAmid reports whether the engine is in the first half of its work on a request for the
// target.
func (e *engine) isAmid(target string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.begun[target]) < e.workTime/2
}

// taken returns the requests that the engine ran.
func (e *engine) taken() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}
