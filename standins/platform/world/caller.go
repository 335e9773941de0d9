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

// RequestKind determines the method, the headers and the checks of a request.
type RequestKind string

// Kinds of requests.
const (
	KindStream RequestKind = "stream"
	KindOrder  RequestKind = "order"
	KindLookup RequestKind = "lookup"
)

// Request is one attempt of a caller's request.
type Request struct {
	AttemptID       string
	Kind            RequestKind
	InstanceAddress string // the instance's address for callers
	Host            string
	Target          string
	APIKey          string
	Body            []byte // not sent by lookups
	PromptTokens    int
	OutputTokens    int
	Timeout         time.Duration
	LastEvent       int // last event that the caller received; 0 is none
	// BodyPause is a pause in the middle of the body; 0 is none.
	BodyPause time.Duration
	// CloseWriteAfter is the time after which the caller closes its sending side and reads
	// on; 0 is never.
	CloseWriteAfter time.Duration
}

// Outcome is the result of an attempt as the caller saw it.
type Outcome struct {
	Request      Request
	SentAt       time.Time
	EndedAt      time.Time
	Status       int           // 0: no response
	FirstEventAt time.Time     // of a stream; zero: no event
	MaxEventGap  time.Duration // longest time between two events
	RetryAfter   time.Duration // Retry-After of a refusal; 0: none
	LastEvent    int           // of a stream
	Complete     bool          // the whole response was received
	Violation    string        // violated guarantee that this response shows; "": none
	Err          error
}

// Refused reports whether the status guarantees that the request has not run.
func (o Outcome) Refused() bool {
	switch o.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Send sends a request on a connection of its own and checks the response.
func Send(ctx context.Context, r Request) Outcome {
	o := Outcome{Request: r, SentAt: time.Now(), LastEvent: r.LastEvent}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: r.dial}
	response, err := transport.RoundTrip(r.httpRequest(ctx))
	if err != nil {
		o.Err, o.EndedAt = err, time.Now()
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.Status = response.StatusCode
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		o.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	if r.Kind == KindStream && response.StatusCode == http.StatusOK {
		o.readStream(response)
	} else {
		o.readBody(response)
	}
	o.EndedAt = time.Now()
	return o
}

// dial connects to the instance.
func (r Request) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
	if tcp, ok := conn.(*net.TCPConn); ok && r.CloseWriteAfter > 0 {
		time.AfterFunc(r.CloseWriteAfter, func() { _ = tcp.CloseWrite() })
	}
	return conn, err
}

// pausingReader pauses before it returns data.
type pausingReader struct {
	io.Reader
	pause time.Duration
}

// Read implements io.Reader.
func (r *pausingReader) Read(p []byte) (int, error) {
	time.Sleep(r.pause)
	r.pause = 0
	return r.Reader.Read(p)
}

// bodyReader returns the body as it is sent.
func (r Request) bodyReader() io.Reader {
	half := len(r.Body) / 2
	return io.MultiReader(bytes.NewReader(r.Body[:half]), &pausingReader{bytes.NewReader(r.Body[half:]), r.BodyPause})
}

func (r Request) httpRequest(ctx context.Context) *http.Request {
	method := http.MethodPost
	if r.Kind == KindLookup {
		method = http.MethodGet
	}
	out, err := http.NewRequestWithContext(ctx, method, "http://"+r.InstanceAddress+r.Target, r.bodyReader())
	if err != nil {
		panic("world: build request: " + err.Error()) // targets are chosen by the callers of this package
	}
	out.ContentLength = int64(len(r.Body))
	if r.Kind == KindLookup {
		out.Body, out.ContentLength = http.NoBody, 0
	}
	out.Host = r.Host
	out.Header = http.Header{
		"Hibiscusstair-Attempt-Id": {r.AttemptID}, "X-Api-Key": {r.APIKey},
		"Hibiscusstair-Deadline-Ms": {strconv.FormatInt(r.Timeout.Milliseconds(), 10)},
	}
	if r.Kind == KindStream {
		out.Header.Set("Hibiscusstair-Token-Usage", fmt.Sprintf("%d,%d", r.PromptTokens, r.OutputTokens))
		out.Header.Set("Hibiscusstair-Prompt-Prefix", fmt.Sprintf("%x:%d", Hash(r.Body), r.PromptTokens))
	}
	if r.LastEvent > 0 {
		out.Header.Set("Last-Event-Id", strconv.Itoa(r.LastEvent))
	}
	return out
}

func (o *Outcome) readBody(response *http.Response) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		o.Err = err
		return
	}
	o.Complete = response.StatusCode == http.StatusOK
	if !o.Complete {
		return
	}
	sent := o.Request.Body
	if o.Request.Kind == KindLookup {
		sent = nil
	}
	switch want := DeskResponse(o.Request.AttemptID, Hash(sent)); {
	case response.Header.Get("Hibiscusstair-Server-Signature") == "":
		o.Violation = "status 200 without an endpoint's signature"
	case string(body) != want:
		o.Violation = fmt.Sprintf("the response is %q instead of %q", body, want)
	}
}

// readStream reads a stream and compares its events with those of an engine that
// runs without a failure.
func (o *Outcome) readStream(response *http.Response) {
	if response.Header.Get("Hibiscusstair-Server-Signature") == "" {
		o.Violation = "status 200 without an endpoint's signature"
	}
	bodyHash := Hash(o.Request.Body)
	var pending []byte
	var lastReceived time.Time
	buffer := make([]byte, 4096)
	for {
		n, err := response.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		before := o.LastEvent
		pending = o.checkEvents(pending, bodyHash)
		if o.LastEvent > before {
			lastReceived = o.recordEventTime(lastReceived)
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			o.Err = err
			return
		}
		o.Complete = true
		if len(pending) > 0 || o.LastEvent != EventCount(o.Request.OutputTokens) {
			o.Violation = fmt.Sprintf("the stream ended without an error after event %d of %d", o.LastEvent, EventCount(o.Request.OutputTokens))
		}
		return
	}
}

// recordEventTime updates FirstEventAt and MaxEventGap for the events of one read,
// and returns the current time.
func (o *Outcome) recordEventTime(previous time.Time) (now time.Time) {
	now = time.Now()
	if previous.IsZero() {
		o.FirstEventAt = now
		return now
	}
	o.MaxEventGap = max(o.MaxEventGap, now.Sub(previous))
	return now
}

// checkEvents compares the complete events in pending with the expected ones and
// returns the incomplete rest.
func (o *Outcome) checkEvents(pending []byte, bodyHash uint64) []byte {
	for {
		end := bytes.Index(pending, []byte("\n\n"))
		if end < 0 {
			return pending
		}
		got := string(pending[:end+2])
		pending = pending[end+2:]
		if want := EventText(bodyHash, o.LastEvent+1); got != want && o.Violation == "" {
			o.Violation = fmt.Sprintf("event %q instead of %q", strings.TrimSpace(got), strings.TrimSpace(want))
		}
		o.LastEvent++
	}
}
