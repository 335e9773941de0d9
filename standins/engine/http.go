package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/process"
)

// notStarted marks a refusal before anything of the request ran.
const notStarted = "X-Not-Started"

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/streams/{request}/resume", e.resume)
	mux.HandleFunc("POST /v1/streams/{request}/cancel", e.cancel)
	mux.HandleFunc("GET /v1/load", e.showLoad)
	mux.HandleFunc("GET /v1/cache/events", e.showCacheEvents)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /v1/control/load", e.control(e.load))
	mux.HandleFunc("POST /v1/control/unload", e.control(e.unload))
	mux.HandleFunc("POST /v1/control/role", e.control(e.setRole))
	mux.HandleFunc("POST /v1/control/drain", e.control(e.drainOnly))
	mux.HandleFunc("GET /admin/stats", e.showStats)
	return mux
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var request Request
	if !process.ReadJSON(w, r, &request) {
		return
	}
	if request.RequestID == "" || request.MaxTokens < 1 || len(request.PrefixTokens) >= request.MaxTokens {
		e.refuse(w, http.StatusBadRequest, "request_id, max_tokens and room after prefix_tokens are needed")
		return
	}
	s, number, status, message := e.admit(request)
	if s == nil {
		e.refuse(w, status, message)
		return
	}
	e.send(w, r, s, number, s.first, request.Attempt)
}

// admit queues a request. An ended stream with the same request id, or one whose
// attempt isn't higher, is replaced.
func (e *Engine) admit(request Request) (s *stream, number uint64, status int, message string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	model := Model{Model: request.Model, Version: request.Version, Adapter: request.Adapter}
	older := e.streams[request.RequestID]
	switch {
	case e.draining:
		return nil, 0, http.StatusServiceUnavailable, "draining"
	case !e.models[model]:
		return nil, 0, http.StatusServiceUnavailable, "the model is not loaded"
	case older != nil && !older.ended && older.attempt > request.Attempt:
		return nil, 0, http.StatusConflict, "a stream with a higher attempt runs"
	case len(e.waiting) >= e.options.MaxWaiting && len(e.running) >= e.options.Slots:
		return nil, 0, http.StatusTooManyRequests, "the queue is full"
	}
	if older != nil && !older.ended {
		older.end("superseded")
	}
	e.arrivals++
	s = newStream(request, e.arrivals)
	number = s.attach(request.Attempt)
	e.streams[request.RequestID] = s
	e.waiting = append(e.waiting, s)
	return s, number, 0, ""
}

func (e *Engine) refuse(w http.ResponseWriter, status int, message string) {
	e.mu.Lock()
	e.stats.Refused++
	e.mu.Unlock()
	w.Header().Set(notStarted, "true")
	process.WriteError(w, status, message)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Attempt uint64 `json:"attempt"`
		From    int    `json:"from"`
	}
	if !process.ReadJSON(w, r, &body) {
		return
	}
	s, number, status, message := e.reattach(r.PathValue("request"), body.Attempt, body.From)
	if s == nil {
		process.WriteError(w, status, message)
		return
	}
	e.send(w, r, s, number, body.From, body.Attempt)
}

func (e *Engine) reattach(id string, attempt uint64, from int) (s *stream, number uint64, status int, message string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s = e.streams[id]
	switch {
	case s == nil || (s.ended && s.finish != "length"):
		return nil, 0, http.StatusNotFound, "no such stream"
	case attempt < s.attempt:
		return nil, 0, http.StatusConflict, "a higher attempt has the stream"
	case from < s.first || from > s.position():
		return nil, 0, http.StatusRequestedRangeNotSatisfiable, "the position is outside the stream"
	}
	e.stats.StreamsResumed++
	return s, s.attach(attempt), 0, ""
}

// send writes the stream from a position on until it ends, a newer connection
// takes over, or the connection breaks.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, s *stream, number uint64, position int, attempt uint64) {
	defer e.detach(s, number)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	if flusher.Flush() != nil {
		return
	}
	for {
		chunks, closing, done, changed := e.pending(s, number, position, attempt)
		for _, chunk := range chunks {
			if writeEvent(w, chunk) != nil {
				return
			}
		}
		if closing != nil {
			_ = writeEvent(w, closing)
		}
		if len(chunks) > 0 && flusher.Flush() != nil {
			return
		}
		if done {
			return
		}
		position += len(chunks)
		if len(chunks) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// pending returns the events that are due on a connection.
func (e *Engine) pending(s *stream, number uint64, position int, attempt uint64) (chunks []Chunk, closing *ClosingEvent, done bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.attached != number {
		return nil, s.closing(position, attempt, "superseded"), true, nil
	}
	for ; position < s.position(); position++ {
		chunks = append(chunks, s.chunk(position, attempt))
	}
	if s.ended && s.finish != "length" {
		closing = s.closing(position, attempt, s.finish)
	}
	return chunks, closing, s.ended, s.changed
}

func (e *Engine) detach(s *stream, number uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.detach(time.Now(), number)
}

func writeEvent(w http.ResponseWriter, event any) error {
	text, err := json.Marshal(event)
	if err != nil {
		return err
	}
	_, err = w.Write([]byte("data: " + string(text) + "\n\n"))
	return err
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Attempt uint64 `json:"attempt"`
	}
	if !process.ReadJSON(w, r, &body) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[r.PathValue("request")]
	if s == nil {
		process.WriteError(w, http.StatusNotFound, "no such stream")
		return
	}
	if body.Attempt < s.attempt {
		process.WriteError(w, http.StatusConflict, "a higher attempt has the stream")
		return
	}
	if !s.ended {
		s.end("cancelled")
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) showLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.reports) == 0 {
		process.WriteError(w, http.StatusServiceUnavailable, "no report yet")
		return
	}
	report := e.reports[0]
	report.AgeMS = time.Since(report.at).Milliseconds()
	process.WriteJSON(w, http.StatusOK, report)
}

func (e *Engine) showCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	process.WriteJSON(w, http.StatusOK, map[string]any{"events": e.cache.after(time.Now(), after)})
}

func (e *Engine) showStats(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Running, stats.Waiting = len(e.running), len(e.waiting)
	process.WriteJSON(w, http.StatusOK, stats)
}
