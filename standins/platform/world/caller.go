package world

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Kind is a kind of request.
type Kind string

// Kinds of request.
const (
	KindStream Kind = "stream"
	KindOrder  Kind = "order"
	KindLookup Kind = "lookup"
)

// Request is one attempt of a caller.
type Request struct {
	Attempt  string
	Kind     Kind
	Instance string // caller address of the instance
	Host     string
	Target   string
	Key      string
	Body     []byte
	Prompt   int
	Output   int
	Patience time.Duration
	After    int // last event that the caller has
}

// Outcome is what a caller saw of an attempt.
type Outcome struct {
	Request Request
	Sent    time.Time
	Ended   time.Time
	Status  int           // 0: no answer
	First   time.Time     // first event of a stream; zero is none
	Pause   time.Duration // longest pause between two events
	Return  time.Duration // advice when to come back after a refusal
	Last    int           // last event of a stream
	Whole   bool          // a complete answer
	Fault   string        // a broken promise that the caller can see by itself
	Err     error
}

// Refused reports whether the answer promises that the request has not run.
func (o Outcome) Refused() bool {
	switch o.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Call sends a request on a connection of its own and checks the answer.
func Call(ctx context.Context, r Request) Outcome {
	o := Outcome{Request: r, Sent: time.Now(), Last: r.After}
	ctx, cancel := context.WithTimeout(ctx, r.Patience)
	defer cancel()
	transport := &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	response, err := transport.RoundTrip(r.http(ctx))
	if err != nil {
		o.Err, o.Ended = err, time.Now()
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.Status = response.StatusCode
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		o.Return = time.Duration(seconds * float64(time.Second))
	}
	if r.Kind == KindStream && response.StatusCode == http.StatusOK {
		o.readStream(response)
	} else {
		o.readPlain(response)
	}
	o.Ended = time.Now()
	return o
}

func (r Request) http(ctx context.Context) *http.Request {
	method := http.MethodPost
	if r.Kind == KindLookup {
		method = http.MethodGet
	}
	out, err := http.NewRequestWithContext(ctx, method, "http://"+r.Instance+r.Target, bytes.NewReader(r.Body))
	if err != nil {
		panic("world: " + err.Error()) // targets come from this package's users
	}
	if r.Kind == KindLookup {
		out.Body, out.ContentLength = http.NoBody, 0
	}
	out.Host = r.Host
	out.Header = http.Header{
		"Hibiscusstair-Attempt-Id": {r.Attempt}, "X-Api-Key": {r.Key},
		"Hibiscusstair-Deadline-Ms": {strconv.FormatInt(r.Patience.Milliseconds(), 10)},
	}
	if r.Kind == KindStream {
		out.Header.Set("Hibiscusstair-Token-Usage", fmt.Sprintf("%d,%d", r.Prompt, r.Output))
		out.Header.Set("Hibiscusstair-Prompt-Prefix", fmt.Sprintf("%x:%d", Hash(r.Body), r.Prompt))
	}
	if r.After > 0 {
		out.Header.Set("Last-Event-Id", strconv.Itoa(r.After))
	}
	return out
}

func (o *Outcome) readPlain(response *http.Response) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		o.Err = err
		return
	}
	o.Whole = response.StatusCode == http.StatusOK
	if !o.Whole {
		return
	}
	sent := o.Request.Body
	if o.Request.Kind == KindLookup {
		sent = nil
	}
	switch want := DeskAnswer(o.Request.Attempt, Hash(sent)); {
	case response.Header.Get("Hibiscusstair-Server-Signature") == "":
		o.Fault = "a success without an endpoint's signature"
	case string(body) != want:
		o.Fault = fmt.Sprintf("the answer is %q, not %q", body, want)
	}
}

// readStream compares the events with those of an unbroken run.
func (o *Outcome) readStream(response *http.Response) {
	if response.Header.Get("Hibiscusstair-Server-Signature") == "" {
		o.Fault = "a success without an endpoint's signature"
	}
	body := Hash(o.Request.Body)
	var pending []byte
	var heard time.Time
	buffer := make([]byte, 4096)
	for {
		n, err := response.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		before := o.Last
		pending = o.takeEvents(pending, body)
		if o.Last > before {
			heard = o.noteEvents(heard)
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			o.Err = err
			return
		}
		o.Whole = true
		if len(pending) > 0 || o.Last != Events(o.Request.Output) {
			o.Fault = fmt.Sprintf("the stream ended as complete after event %d of %d", o.Last, Events(o.Request.Output))
		}
		return
	}
}

// noteEvents measures the pause before events that have just come.
func (o *Outcome) noteEvents(before time.Time) (now time.Time) {
	now = time.Now()
	if before.IsZero() {
		o.First = now
		return now
	}
	o.Pause = max(o.Pause, now.Sub(before))
	return now
}

func (o *Outcome) takeEvents(pending []byte, body uint64) []byte {
	for {
		end := bytes.Index(pending, []byte("\n\n"))
		if end < 0 {
			return pending
		}
		got := string(pending[:end+2])
		pending = pending[end+2:]
		if want := EventText(body, o.Last+1); got != want && o.Fault == "" {
			o.Fault = fmt.Sprintf("event %q instead of %q", strings.TrimSpace(got), strings.TrimSpace(want))
		}
		o.Last++
	}
}
