package world

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// tokensPerEvent is the number of tokens that an event holds.
	tokensPerEvent = 6
	// copyInterval is how often a run's memory goes to the engine of its copy.
	copyInterval = 60 * time.Millisecond
)

// engine is a model engine with the batch of its current lifetime.
type engine struct {
	copies *Copies
	batch  *batch
	stop   context.CancelFunc
}

// NewEngine returns a model engine that is not started.
func NewEngine(service, domain string, model EngineModel, store *Store, book *Book, copies *Copies) *Endpoint {
	m := &engine{copies: copies, stop: func() {}}
	e := &Endpoint{Service: service, Domain: domain, Slots: model.Slots, queue: model.Queue, store: store, book: book}
	e.onStart = func() {
		ctx, cancel := context.WithCancel(context.Background())
		b := &batch{model: model, copies: copies, self: e.Visible}
		m.batch, m.stop = b, cancel
		go b.run(ctx)
	}
	e.onCrash = func() {
		e.mu.Lock()
		stop := m.stop
		e.mu.Unlock()
		stop()
		copies.drop(e.Visible())
	}
	e.serve = m.serve
	return e
}

func (m *engine) serve(e *Endpoint, id string, w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	b, born := m.batch, e.born
	e.mu.Unlock()
	switch r.URL.Path {
	case "/api/report":
		writeJSON(w, b.report(born))
		return
	case "/api/kv-list":
		writeJSON(w, map[string]any{"epoch": 1, "next-page-token": "", "held": b.held()})
		return
	}
	g, ok := m.decode(e.Visible(), r)
	if !ok || !b.add(g) {
		w.Header().Set("Hibiscusstair-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.remove(g)
	body := e.ran(id, r)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Hibiscusstair-Server-Signature", "s."+id)
	stream(w, r, g, Hash(body))
}

// decode returns the run that a request asks for, or false if it goes on from a
// copy that is not here.
func (m *engine) decode(self string, r *http.Request) (*generation, bool) {
	prompt, output := usage(r.Header.Get("Hibiscusstair-Token-Usage"))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	prefix := r.Header.Get("Hibiscusstair-Prompt-Prefix")
	part, _, _ := strings.Cut(prefix[strings.LastIndexByte(prefix, ',')+1:], ":")
	g := &generation{
		id: r.Header.Get("Hibiscusstair-Attempt-Id"), part: part, prompt: prompt, unread: prompt,
		after: last, made: last * tokensPerEvent, output: output, events: make(chan int, Events(output)+1),
		copyTo: r.Header.Get("Hibiscusstair-Kv-Backup"),
	}
	if from := r.Header.Get("Kv-From"); from != "" {
		if !m.copies.take(self, strings.TrimPrefix(from, self+"/")) {
			return nil, false
		}
		g.unread = 0
	}
	return g, true
}

// stream sends the events as they are made. A run that ends early, since its
// engine has crashed, breaks the answer.
func stream(w http.ResponseWriter, r *http.Request, g *generation, body uint64) {
	control := http.NewResponseController(w)
	sent := g.after
	for {
		select {
		case <-r.Context().Done():
			return
		case event, open := <-g.events:
			if !open && sent < Events(g.output) {
				panic(http.ErrAbortHandler)
			}
			if !open {
				return
			}
			sent = event
			if _, err := fmt.Fprint(w, EventText(body, event)); err != nil || control.Flush() != nil {
				return
			}
		}
	}
}

// EventText is the event with a number in the answer to a body.
func EventText(body uint64, event int) string {
	return fmt.Sprintf("id: %d\ndata: %x-%d\n\n", event, body, event)
}

func usage(header string) (prompt, output int) {
	first, second, _ := strings.Cut(header, ",")
	prompt, _ = strconv.Atoi(first)
	output, _ = strconv.Atoi(second)
	return prompt, output
}

// Events is the number of events of an answer with so many tokens.
func Events(output int) int { return output / tokensPerEvent }
