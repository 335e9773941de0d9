package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/process"
)

// notStartedHeader marks a refusal of a request that was not started.
const notStartedHeader = "X-Not-Started"

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/streams/{request}/resume", e.resume)
	mux.HandleFunc("POST /v1/streams/{request}/cancel", e.cancel)
	mux.HandleFunc("GET /v1/load", e.showLoad)
	mux.HandleFunc("GET /v1/cache/events", e.showCacheEvents)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /v1/control/load", e.controlHandler(e.loadWeights))
	mux.HandleFunc("POST /v1/control/unload", e.controlHandler(e.unloadWeights))
	mux.HandleFunc("POST /v1/control/role", e.controlHandler(e.setRole))
	mux.HandleFunc("POST /v1/control/drain", e.controlHandler(e.startDraining))
	mux.HandleFunc("GET /admin/stats", e.showStats)
	return mux
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var request Request
	if !process.ReadJSON(w, r, &request) {
		return
	}
	if request.RequestID == "" || request.MaxTokens < 1 || len(request.PrefixTokens) >= request.MaxTokens {
		e.refuseNotStarted(w, http.StatusBadRequest, "request_id, max_tokens and room after prefix_tokens are needed")
		return
	}
	s, connectionID, status, message := e.enqueue(request)
	if s == nil {
		e.refuseNotStarted(w, status, message)
		return
	}
	e.sendEvents(w, r, s, connectionID, s.firstPosition, request.Attempt)
}

// enqueue adds a request to the queue and replaces an older stream with the same
// request ID. A request is refused while a stream of a higher attempt is running or
// waiting; if it is refused, s is nil and status and message say why.
func (e *Engine) enqueue(request Request) (s *stream, connectionID uint64, status int, message string) {
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
	e.arrivalCount++
	s = newStream(request, e.arrivalCount)
	connectionID = s.attach(request.Attempt)
	e.streams[request.RequestID] = s
	e.waiting = append(e.waiting, s)
	return s, connectionID, 0, ""
}

// refuseNotStarted refuses a request, with the header that says that it was not
// started.
func (e *Engine) refuseNotStarted(w http.ResponseWriter, status int, message string) {
	e.mu.Lock()
	e.stats.Refused++
	e.mu.Unlock()
	w.Header().Set(notStartedHeader, "true")
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
	s, connectionID, status, message := e.attach(r.PathValue("request"), body.Attempt, body.From)
	if s == nil {
		process.WriteError(w, status, message)
		return
	}
	e.sendEvents(w, r, s, connectionID, body.From, body.Attempt)
}

// attach attaches a new connection to a stream. The connection is to receive the
// events from the given position on. If that isn't possible, s is nil and status and
// message say why.
func (e *Engine) attach(id string, attempt uint64, from int) (s *stream, connectionID uint64, status int, message string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s = e.streams[id]
	switch {
	case s == nil || (s.ended && s.finishReason != "length"):
		return nil, 0, http.StatusNotFound, "no such stream"
	case attempt < s.attempt:
		return nil, 0, http.StatusConflict, "a higher attempt has the stream"
	case from < s.firstPosition || from > s.nextPosition():
		return nil, 0, http.StatusRequestedRangeNotSatisfiable, "the position is outside the stream"
	}
	e.stats.StreamsResumed++
	return s, s.attach(attempt), 0, ""
}

// sendEvents writes the events of the stream from the given position on, until
// the stream ends, a newer connection replaces this one, or the connection is
// lost.
func (e *Engine) sendEvents(w http.ResponseWriter, r *http.Request, s *stream, connectionID uint64, position int, attempt uint64) {
	defer e.detach(s, connectionID)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	if flusher.Flush() != nil {
		return
	}
	for {
		chunks, closing, done, changed := e.pendingEvents(s, connectionID, position, attempt)
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

// pendingEvents returns the events that were not sent on the connection yet.
// closing is the event that closes the connection, if any; done says that nothing
// follows; changed is closed when there may be further events.
func (e *Engine) pendingEvents(s *stream, connectionID uint64, position int, attempt uint64) (chunks []Chunk, closing *ClosingEvent, done bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.newestConnectionID != connectionID {
		return nil, s.closingEvent(position, attempt, "superseded"), true, nil
	}
	for ; position < s.nextPosition(); position++ {
		chunks = append(chunks, s.chunk(position, attempt))
	}
	if s.ended && s.finishReason != "length" {
		closing = s.closingEvent(position, attempt, s.finishReason)
	}
	return chunks, closing, s.ended, s.changed
}

func (e *Engine) detach(s *stream, connectionID uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.detach(time.Now(), connectionID)
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
	if len(e.loadReports) == 0 {
		process.WriteError(w, http.StatusServiceUnavailable, "no report yet")
		return
	}
	report := e.loadReports[0]
	report.AgeMS = time.Since(report.recordedAt).Milliseconds()
	process.WriteJSON(w, http.StatusOK, report)
}

func (e *Engine) showCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	process.WriteJSON(w, http.StatusOK, map[string]any{"events": e.cache.eventsAfter(time.Now(), after)})
}

func (e *Engine) showStats(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Running, stats.Waiting = len(e.running), len(e.waiting)
	process.WriteJSON(w, http.StatusOK, stats)
}
