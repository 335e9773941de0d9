//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that reached an engine.
type arrival struct {
	at     time.Time
	id     string // the attempt's
	path   string
	engine string // identifier of the engine's lifetime
	run    bool   // false: rejected with status 421 or 503, not executed
}

// engine is a stand-in for an engine or a desk at a fixed address. Each start is a new
// lifetime with a new identifier.
type engine struct {
	l       *lab
	service string
	zone    string
	slots   int
	llm     bool
	// work is how long the engine works on a request of a desk.
	work func(path string) time.Duration
	// crashOn reports whether a request ends the engine, and after how long.
	crashOn func(path string) (bool, time.Duration)
	// events and eventGap are the number of events of a stream and the time between two.
	events   int
	eventGap time.Duration

	mu       sync.Mutex
	id       string
	starts   int
	born     int64
	address  string
	server   *http.Server
	active   int
	runs     map[string]int // events made, by attempt
	draining bool
	drainAck time.Time
	copies   map[string]bool // backups that this engine holds, by attempt
}

// start listens and registers the engine under a new identifier.
func (e *engine) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := e.address
	if address == "" {
		address = ip + ":0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.starts++
	e.address = listener.Addr().String()
	_, port, _ := net.SplitHostPort(e.address)
	e.id = fmt.Sprintf("i-%s-%s-%d", e.service, port, e.starts)
	e.born = time.Now().UnixMilli()
	e.draining = false
	e.runs, e.copies = make(map[string]int), make(map[string]bool)
	id := e.id
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.handle(id, w, r) })}
	go func(s *http.Server) { _ = s.Serve(listener) }(e.server)
	e.register()
	e.l.record.add("engine %s of %s starts at %s in %s", e.id, e.service, e.address, e.zone)
	return nil
}

// register writes the engine's entry. mu has to be locked.
func (e *engine) register() {
	state := "ready"
	if e.draining {
		state = "draining"
	}
	e.l.store.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": state,
		"cold-remaining-ms": 0, "sequence": 1, "born": e.born,
	})
}

// drain reports that the engine leaves; the store has acknowledged it on return.
func (e *engine) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	e.register()
	e.drainAck = time.Now()
	e.l.record.add("the store has acknowledged that engine %s is draining", e.id)
}

// crash closes the listener and all channels at once. The engine's entry is removed
// after three heartbeat intervals.
func (e *engine) crash(why string) {
	e.mu.Lock()
	server, id := e.server, e.id
	e.server = nil
	e.mu.Unlock()
	if server == nil {
		return
	}
	e.l.mu.Lock()
	e.l.crashes[id] = time.Now()
	e.l.mu.Unlock()
	_ = server.Close()
	e.l.record.add("engine %s crashes: %s", id, why)
	time.AfterFunc(3600*time.Millisecond, func() { e.l.store.remove("servers", id) })
}

func (e *engine) close() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

func (e *engine) handle(id string, w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set(name("instance-id"), id)
		return
	case "/api/report":
		e.report(w)
		return
	case "/api/kv-list":
		writeJSON(w, map[string]any{"epoch": 1, "next-page-token": 1, "held": []any{}})
		return
	}
	attempt := r.Header.Get(name("attempt-id"))
	w.Header().Set(name("attempt-id"), attempt)
	if target := r.Header.Get(name("target-instance")); target != "" && target != id {
		w.Header().Set(name("instance-id"), id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		e.l.arrived(arrival{at: time.Now(), id: attempt, path: r.URL.Path, engine: id})
		return
	}
	if e.llm {
		e.stream(id, attempt, w, r)
		return
	}
	e.desk(id, attempt, w, r)
}

func (e *engine) desk(id, attempt string, w http.ResponseWriter, r *http.Request) {
	e.l.arrived(arrival{at: time.Now(), id: attempt, path: r.URL.Path, engine: id, run: true})
	e.l.record.add("engine %s begins to run %s %s", id, attempt, r.URL.Path)
	if e.crashOn != nil {
		if crashes, after := e.crashOn(r.URL.Path); crashes {
			time.AfterFunc(after, func() { e.crashAndReturn(r.URL.Path) })
			<-r.Context().Done()
			return
		}
	}
	if !pause(r.Context(), e.work(r.URL.Path)) {
		e.l.record.add("engine %s: the channel of %s was closed while it ran", id, attempt)
		return
	}
	e.l.record.add("engine %s has run %s and answers 200", id, attempt)
	w.Header().Set(name("signature"), "s."+id)
	_, _ = fmt.Fprintf(w, "%s ran at %s", attempt, id)
}

// returnAfter is how long a crashed engine is down.
const returnAfter = 1500 * time.Millisecond

// crashAndReturn ends the engine, which starts again some time later.
func (e *engine) crashAndReturn(why string) {
	e.crash(why)
	time.AfterFunc(returnAfter, func() {
		if !e.l.closed() {
			_ = e.start()
		}
	})
}

func (e *engine) stream(id, attempt string, w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get(name("last-event-id")))
	from := r.Header.Get(name("kv-from"))
	if from != "" {
		_, handle, _ := strings.Cut(from, "/")
		e.mu.Lock()
		found := e.copies[handle]
		delete(e.copies, handle)
		e.mu.Unlock()
		if !found {
			e.l.arrived(arrival{at: time.Now(), id: attempt, path: r.URL.Path, engine: id})
			w.Header().Set(name("not-executed"), "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	e.l.arrived(arrival{at: time.Now(), id: attempt, path: r.URL.Path, engine: id, run: true})
	e.l.record.add("engine %s begins to run %s after event %d, copy: %q", id, attempt, last, from)
	if backup := e.l.engineAt(r.Header.Get(name("kv-backup"))); backup != nil {
		backup.mu.Lock()
		backup.copies[attempt] = true
		backup.mu.Unlock()
	}
	w.Header().Set(name("signature"), "s."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	if e.crashOn != nil {
		if crashes, after := e.crashOn(r.URL.Path); crashes {
			time.AfterFunc(after, func() { e.crashAndReturn(r.URL.Path) })
			<-r.Context().Done()
			return
		}
	}
	if from == "" && !pause(r.Context(), 300*time.Millisecond) {
		return
	}
	e.setRun(attempt, last)
	defer e.setRun(attempt, -1)
	for event := last + 1; event <= e.events; event++ {
		if !pause(r.Context(), e.eventGap) {
			e.l.record.add("engine %s: the channel of %s was closed after event %d", id, attempt, event-1)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", event, event)
		_ = controller.Flush()
		e.setRun(attempt, event)
	}
	e.l.record.add("engine %s has run %s to its end", id, attempt)
}

func (e *engine) setRun(attempt string, events int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if events < 0 {
		delete(e.runs, attempt)
		return
	}
	e.runs[attempt] = events
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]any, 0)
	for id, events := range e.runs {
		runs = append(runs, []any{id, 1000, events, 5})
	}
	writeJSON(w, map[string]any{
		"phase": "prefill_decode", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 1,
		"queued": 0, "active": len(runs), "kv-used": 1000 * len(runs), "kv-total": 88000, "handles": 0, "runs": runs, "born": e.born, "state": "ready",
	})
}

// pause waits and reports whether the context still holds.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
