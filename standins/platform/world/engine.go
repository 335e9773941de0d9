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
	// tokensPerEvent is the number of tokens in each event of a stream.
	tokensPerEvent = 6
	// backupInterval is the time between two updates of a generation's backup.
	backupInterval = 60 * time.Millisecond
)

// engine is an engine with the batch of its current incarnation.
type engine struct {
	backups *Backups
	batch   *batch
	stop    context.CancelFunc
}

// NewEngine returns an engine that is not started.
func NewEngine(service, domain string, parameters EngineParameters, store *Store, requestLog *RequestLog, backups *Backups) *Endpoint {
	eng := &engine{backups: backups, stop: func() {}}
	e := &Endpoint{Service: service, Domain: domain, version: firstVersion, Slots: parameters.Slots, queueLength: parameters.QueueLength, store: store, requestLog: requestLog}
	e.onStart = func() {
		ctx, cancel := context.WithCancel(context.Background())
		b := &batch{parameters: parameters.slowed(e.versionFaults.Slowness), backups: backups, engineAddress: e.RegisteredAddress}
		eng.batch, eng.stop = b, cancel
		go b.run(ctx)
	}
	e.onCrash = func() {
		e.mu.Lock()
		stop := eng.stop
		e.mu.Unlock()
		stop()
		backups.removeEngine(e.RegisteredAddress())
	}
	e.serve = eng.serve
	return e
}

func (eng *engine) serve(e *Endpoint, incarnationID string, w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	b, startedAt := eng.batch, e.startedAtMS
	e.mu.Unlock()
	switch r.URL.Path {
	case "/api/report":
		writeJSON(w, b.report(startedAt))
		return
	case "/api/kv-list":
		writeJSON(w, map[string]any{"epoch": 1, "next-page-token": "", "held": b.listCachedPrompts()})
		return
	}
	g, ok := eng.newGeneration(e.RegisteredAddress(), r)
	if !ok || !b.add(g) {
		w.Header().Set("Hibiscusstair-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.remove(g)
	body := e.recordRequest(incarnationID, r)
	switch e.drawFailure() {
	case respondsFailure:
		w.Header().Set("Hibiscusstair-Server-Signature", "s."+incarnationID)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case resets:
		w.Header().Set("Hibiscusstair-Server-Signature", "s."+incarnationID)
		w.Header().Set("Content-Type", "text/event-stream")
		writeFailure(w, r, g, Hash(body))
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Hibiscusstair-Server-Signature", "s."+incarnationID)
	poison := e.poisonContent(r.RequestURI, body)
	if poison == nil {
		writeEvents(w, r, g, Hash(body), EventCount(g.maxOutputTokens))
		return
	}
	writeEvents(w, r, g, Hash(body), g.lastEvent+poison.AfterEvents)
	go poison.End(e)
	<-r.Context().Done()
}

// newGeneration returns the generation that a request asks for. It takes the backup
// that the generation continues from, and returns false if this engine doesn't have
// it.
func (eng *engine) newGeneration(address string, r *http.Request) (*generation, bool) {
	prompt, output := parseTokenUsage(r.Header.Get("Hibiscusstair-Token-Usage"))
	lastEvent, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	prefix := r.Header.Get("Hibiscusstair-Prompt-Prefix")
	partID, _, _ := strings.Cut(prefix[strings.LastIndexByte(prefix, ',')+1:], ":")
	g := &generation{
		attemptID: r.Header.Get("Hibiscusstair-Attempt-Id"), partID: partID, promptTokens: prompt, prefillRemaining: prompt,
		lastEvent: lastEvent, outputTokens: lastEvent * tokensPerEvent, maxOutputTokens: output, events: make(chan int, EventCount(output)+1),
		backupAddress: r.Header.Get("Hibiscusstair-Kv-Backup"),
	}
	if from := r.Header.Get("Kv-From"); from != "" {
		if !eng.backups.remove(address, strings.TrimPrefix(from, address+"/")) {
			return nil, false
		}
		g.prefillRemaining = 0
	}
	return g, true
}

// writeEvents sends the events of a generation as they are produced, up to the last
// one. If the engine crashes before that, the response is aborted.
func writeEvents(w http.ResponseWriter, r *http.Request, g *generation, bodyHash uint64, last int) {
	controller := http.NewResponseController(w)
	sent := g.lastEvent
	for sent < last {
		select {
		case <-r.Context().Done():
			return
		case event, open := <-g.events:
			if !open {
				panic(http.ErrAbortHandler)
			}
			sent = event
			if _, err := fmt.Fprint(w, EventText(bodyHash, event)); err != nil || controller.Flush() != nil {
				return
			}
		}
	}
}

// EventText returns the text of a numbered event in the response to a request
// body.
func EventText(bodyHash uint64, event int) string {
	return fmt.Sprintf("id: %d\ndata: %x-%d\n\n", event, bodyHash, event)
}

func parseTokenUsage(header string) (promptTokens, outputTokens int) {
	first, second, _ := strings.Cut(header, ",")
	promptTokens, _ = strconv.Atoi(first)
	outputTokens, _ = strconv.Atoi(second)
	return promptTokens, outputTokens
}

// EventCount returns the number of events of a response with outputTokens tokens. A
// rest below tokensPerEvent gives no event.
func EventCount(outputTokens int) int { return outputTokens / tokensPerEvent }
