package world

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// promptTokensPerMS is how fast an engine reads a prompt.
	promptTokensPerMS = 8
	// eventInterval is the time between two events of a stream.
	eventInterval = 15 * time.Millisecond
	// tokensPerEvent is the number of tokens that an event holds.
	tokensPerEvent = 6
	// copyInterval is how often a run's memory goes to the engine of its copy.
	copyInterval = 60 * time.Millisecond
)

// Copies holds the copies of running generations by engine address. It stands
// for the memory of all engines.
type Copies struct {
	mu   sync.Mutex
	held map[string]map[string]int // engine address -> run -> events
}

// NewCopies returns an empty memory.
func NewCopies() *Copies { return &Copies{held: make(map[string]map[string]int)} }

func (c *Copies) put(address, run string, events int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held[address] == nil {
		c.held[address] = make(map[string]int)
	}
	c.held[address][run] = events
}

func (c *Copies) take(address, run string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.held[address][run]
	delete(c.held[address], run)
	return ok
}

func (c *Copies) drop(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, address)
}

// NewEngine returns a model engine that is not started.
func NewEngine(service, domain string, slots int, store *Store, book *Book, copies *Copies) *Endpoint {
	e := &Endpoint{Service: service, Domain: domain, Slots: slots, store: store, book: book}
	e.serve = func(e *Endpoint, id string, w http.ResponseWriter, r *http.Request) { serveEngine(e, copies, id, w, r) }
	e.onCrash = func() { copies.drop(e.visible) }
	return e
}

func serveEngine(e *Endpoint, copies *Copies, id string, w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/report":
		e.mu.Lock()
		active, born := e.active, e.born
		e.mu.Unlock()
		writeJSON(w, map[string]any{
			"phase": "prefill_decode", "models": []map[string]any{{"name": "m", "version": 1}}, "queued": 0, "active": active,
			"kv-used": 0, "kv-total": 90000, "handles": 0, "runs": [][]any{}, "born": born,
		})
		return
	case "/api/kv-list":
		writeJSON(w, map[string]any{"epoch": 1, "next-page-token": "", "held": [][]any{}})
		return
	}
	run := r.Header.Get("Hibiscusstair-Attempt-Id")
	from := r.Header.Get("Kv-From")
	if from != "" && !copies.take(e.visible, strings.TrimPrefix(from, e.visible+"/")) {
		w.Header().Set("Hibiscusstair-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body := e.ran(id, r)
	prompt, output := usage(r.Header.Get("Hibiscusstair-Token-Usage"))
	if from == "" && !sleep(r.Context(), time.Duration(prompt/promptTokensPerMS)*time.Millisecond) {
		return
	}
	stream(w, r, copies, run, id, Hash(body), output)
}

// stream sends the events after the last one that the caller has.
func stream(w http.ResponseWriter, r *http.Request, copies *Copies, run, id string, body uint64, output int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Hibiscusstair-Server-Signature", "s."+id)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	backup, copied := r.Header.Get("Hibiscusstair-Kv-Backup"), time.Now()
	control := http.NewResponseController(w)
	for event := last + 1; event <= output/tokensPerEvent; event++ {
		if !sleep(r.Context(), eventInterval) {
			return
		}
		if _, err := fmt.Fprint(w, EventText(body, event)); err != nil || control.Flush() != nil {
			return
		}
		if backup != "" && (event == last+1 || time.Since(copied) > copyInterval) {
			copied = time.Now()
			copies.put(backup, run, event)
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
