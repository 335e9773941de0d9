package world

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// PoisonContent is content that ends the endpoints which run it.
type PoisonContent struct {
	Body []byte
	// Target is the target of the requests; "" is any.
	Target string
	// AfterEvents is the number of events that an engine sends before it ends. Desks
	// send nothing.
	AfterEvents int
	// End ends the endpoint. It is called in a goroutine of its own.
	End func(e *Endpoint)
}

// SetPoisonContent sets the content that ends the endpoint; nil is none.
func (e *Endpoint) SetPoisonContent(content *PoisonContent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.poison = content
}

// poisonContent returns the poison content if the request has it, otherwise nil.
func (e *Endpoint) poisonContent(target string, body []byte) *PoisonContent {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.poison == nil || !e.poison.matches(target, body) {
		return nil
	}
	return e.poison
}

func (p *PoisonContent) matches(target string, body []byte) bool {
	return bytes.Equal(p.Body, body) && (p.Target == "" || p.Target == target)
}

// SetLeaving makes all responses say that the endpoint leaves. Its registration does
// not change.
func (e *Endpoint) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// SetBusy makes the endpoint reject all requests and ask to be left alone for a time;
// 0 ends it.
func (e *Endpoint) SetBusy(retryAfter time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busyFor = retryAfter
}

// Rejections returns when the endpoint rejected requests because of SetBusy.
func (e *Endpoint) Rejections() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.rejections)
}

// rejectBusy rejects a request if the endpoint is busy, and reports whether it did.
func (e *Endpoint) rejectBusy(w http.ResponseWriter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busyFor == 0 {
		return false
	}
	e.rejections = append(e.rejections, time.Now())
	w.Header().Set("Hibiscusstair-Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(e.busyFor.Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// writeLeaving adds that the endpoint leaves to the header of a response.
func (e *Endpoint) writeLeaving(header http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		header.Set("Server-Leaving", "1")
	}
}
