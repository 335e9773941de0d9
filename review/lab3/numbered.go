//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

const (
	// numberedDay is how long requests are sent.
	numberedDay = 30 * time.Second
	// eventInterval is the time between two events, six steps of 5.09 ms.
	eventInterval = 6 * 5090 * time.Microsecond
	// readingTime is the time for the prompt.
	readingTime = time.Second
)

// numberingEngine is a model engine that numbers the events of a stream by step: 1, or the tokens of
// an event, so that an event has the number of tokens up to its end.
type numberingEngine struct {
	id   string
	step int
	f    *fleet
}

func (e numberingEngine) start(zone string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, e) }()
	e.f.store.Put(e.f.protocol.ServersKind, e.id, map[string]any{
		"service": "panchanga-llm", "address": listener.Addr().String(), "zone": zone, "version": "v1", "slots": 64,
		"state": "ready", "cold-remaining-ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return nil
}

// ServeHTTP implements http.Handler.
func (e numberingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := e.f.protocol
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set(p.InstanceHeader, e.id)
		return
	case "/api/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"phase":"prefill_decode","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"active":0,"kv-used":0,"kv-total":88000,"handles":0,"runs":[]}`)
		return
	}
	id := r.Header.Get(p.AttemptHeader)
	w.Header().Set(p.AttemptHeader, id)
	if target := r.Header.Get(p.TargetHeader); target != "" && target != e.id {
		w.Header().Set(p.InstanceHeader, e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	after, _ := strconv.Atoi(r.Header.Get(p.ResumeHeader))
	e.f.record.add("engine runs", "request", id, "engine", e.id, "after_event", after)
	w.Header().Set(p.SignatureHeader, "s."+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(readingTime)
	for event := after/e.step + 1; event <= draftEvents; event++ {
		time.Sleep(eventInterval)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", event*e.step, id, event); err != nil || r.Context().Err() != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// numberedByTokens sends drafts to engines whose event ids increase by the tokens of an event, with
// the orders and lookups of the sheet beside them. Drafts have to be served.
func numberedByTokens(f *fleet, trouble bool) (bool, error) {
	step := 1
	if trouble {
		step = tokensPerEvent
	}
	for n := range 3 * len(zones) {
		e := numberingEngine{id: fmt.Sprintf("i-%08x", n+1), step: step, f: f}
		if err := e.start(zones[n%len(zones)]); err != nil {
			return false, err
		}
	}
	if err := f.startDesks(&world.RequestLog{}); err != nil {
		return false, err
	}
	if err := f.start(len(zones)); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	f.record.add("event ids", "increase_by", step)
	began, t := time.Now(), newTraffic(f)
	t.desks(began)
	t.every(began, groupInterval, groupSize, draft, func(n int) string {
		return f.protocol.draftText(n, promptTokens, draftEvents, sharedPart)
	})
	time.Sleep(numberedDay)
	t.end()
	return t.starved(draft), nil
}
