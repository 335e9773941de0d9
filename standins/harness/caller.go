package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/standins/engine"
)

const (
	// callerIdle is how long a caller waits for the next token before it
	// reconnects to another instance.
	callerIdle = 4 * time.Second
	// callerRetry is the pause after a refusal that may be retried.
	callerRetry = 50 * time.Millisecond
	// idHeader names the event id in a stream.
	idHeader = "Last-Event-ID"
)

// Generation is a caller's request for a generation.
type Generation struct {
	Key          string  `json:"-"`
	Model        string  `json:"model"`
	Version      string  `json:"version,omitempty"`
	Adapter      string  `json:"adapter,omitempty"`
	Prompt       string  `json:"prompt"`
	MaxTokens    int     `json:"max_tokens"`
	Temperature  float64 `json:"temperature"`
	Seed         int64   `json:"seed"`
	Stream       bool    `json:"stream"`
	PrefixTokens []int   `json:"prefix_tokens,omitempty"`
}

// ExpectedTokens returns the answer of an engine that doesn't fail.
func (g Generation) ExpectedTokens() []int {
	return engine.ExpectedTokens(engine.Request{
		Model: g.Model, Version: g.Version, Adapter: g.Adapter, Prompt: g.Prompt,
		MaxTokens: g.MaxTokens, Temperature: g.Temperature, Seed: g.Seed,
	})
}

// CallerAddress is a client of the system.
type Caller struct {
	Token string
	// Instances are the addresses that the caller tries in turn.
	Instances []string
	// SendReceivedTokens sends the received tokens with a reconnect.
	SendReceivedTokens bool
	// StartOver sends no event id with a reconnect and drops what it has.
	StartOver bool
	// NoReconnect ends a stream at its first break.
	NoReconnect bool
	// RequestTimeout is the deadline that the caller names; 0 is one minute.
	RequestTimeout time.Duration
	// IdleTimeout is how long the caller waits for the next token; 0 is the default.
	IdleTimeout time.Duration
}

// Event is one token as the caller received it.
type Event struct {
	ID       string
	Position int
	Token    int
	At       time.Time
}

// Stream is a generation as its caller sees it.
type Stream struct {
	Request Generation

	mu         sync.Mutex
	events     []Event
	whole      bool // the end mark was received
	failure    *httpapi.ErrorDetail
	reconnects int
	discarded  int
	grown      chan struct{}
	done       chan struct{}
}

// Open starts a streamed generation at the caller's first instance. It returns
// at once.
func (c *Caller) Open(ctx context.Context, g Generation) *Stream {
	return c.Resume(ctx, g, nil)
}

// Resume continues a generation of which the caller has the events.
func (c *Caller) Resume(ctx context.Context, g Generation, have []Event) *Stream {
	g.Stream = true
	s := &Stream{Request: g, events: have, grown: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		c.follow(ctx, s)
	}()
	return s
}

// errBroken says that a connection ended before the answer did.
var errBroken = errors.New("harness: the connection broke")

// follow reads the stream, reconnecting as often as needed.
func (c *Caller) follow(ctx context.Context, s *Stream) {
	for try := 0; ctx.Err() == nil; try++ {
		err := c.connect(ctx, s, c.Instances[try%len(c.Instances)])
		if err == nil || c.NoReconnect {
			return
		}
		s.mu.Lock()
		s.reconnects++
		if c.StartOver {
			s.discarded += len(s.events)
			s.events = nil
		}
		s.mu.Unlock()
		if errors.Is(err, errBroken) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(callerRetry):
		}
	}
}

// connect sends the request to one instance and reads events until the answer
// ends (nil) or the connection fails.
func (c *Caller) connect(ctx context.Context, s *Stream, instance string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := c.request(ctx, s, instance)
	if err != nil {
		return err
	}
	// A new connection for each try: a pooled one may lead to a dead instance.
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	idle := time.AfterFunc(c.idle(), cancel)
	defer idle.Stop()
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return s.refused(response)
	}
	return s.read(response.Body, func() { idle.Reset(c.idle()) })
}

func (c *Caller) idle() time.Duration {
	if c.IdleTimeout > 0 {
		return c.IdleTimeout
	}
	return callerIdle
}

func (c *Caller) deadline() time.Duration {
	if c.RequestTimeout > 0 {
		return c.RequestTimeout
	}
	return time.Minute
}

func (c *Caller) request(ctx context.Context, s *Stream, instance string) (*http.Request, error) {
	body := s.Request
	events := s.Events()
	if c.SendReceivedTokens {
		body.PrefixTokens = tokens(events)
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+instance+"/v1/completions", bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // the transport sends nothing twice
	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set("Request-Timeout-Ms", strconv.FormatInt(c.deadline().Milliseconds(), 10))
	if body.Key != "" {
		request.Header.Set("Idempotency-Key", body.Key)
	}
	if len(events) > 0 {
		request.Header.Set(idHeader, events[len(events)-1].ID)
	}
	return request, nil
}

// refused keeps a refusal as the end of the stream, unless the caller may try
// again because nothing was run.
func (s *Stream) refused(response *http.Response) error {
	var body httpapi.ErrorBody
	text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<16))
	_ = json.Unmarshal(text, &body)
	retry := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = &body.Error
	if retry && body.Error.Run == reason.RunNo {
		return fmt.Errorf("harness: refused: %s", body.Error.Reason)
	}
	return nil
}

// read parses server-sent events.
func (s *Stream) read(body io.Reader, alive func()) error {
	var kind, id string
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		// Comments come during a recovery and show that the instance is alive.
		alive()
		field, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case lines.Text() == "":
			kind = ""
		case field == "event":
			kind = value
		case field == "id":
			id = value
		case field == "data" && s.data(kind, id, value):
			return nil
		}
	}
	return errBroken
}

// data handles one event and reports whether the stream ended.
func (s *Stream) data(kind, id, text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if text == "[DONE]" {
		s.failure, s.whole = nil, true
		return true
	}
	if kind == "error" {
		var body httpapi.ErrorBody
		_ = json.Unmarshal([]byte(text), &body)
		s.failure = &body.Error
		return true
	}
	var body struct {
		Choices []struct {
			Token    *int `json:"token"`
			Position int  `json:"position"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(text), &body) != nil || len(body.Choices) != 1 {
		s.failure = &httpapi.ErrorDetail{Reason: reason.ChunkMalformed, Message: text}
		return true
	}
	choice := body.Choices[0]
	if choice.Token == nil {
		return false
	}
	s.events = append(s.events, Event{ID: id, Position: choice.Position, Token: *choice.Token, At: time.Now()})
	close(s.grown)
	s.grown = make(chan struct{})
	return false
}

// Events returns what was received so far.
func (s *Stream) Events() []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Event(nil), s.events...)
}

// Done is closed when the stream has ended.
func (s *Stream) Done() <-chan struct{} { return s.done }

// Reconnects returns how often the caller connected again.
func (s *Stream) Reconnects() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reconnects
}

// Failure returns the refusal or typed end, nil after a whole answer.
func (s *Stream) Failure() *httpapi.ErrorDetail {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure
}

// WaitForTokens waits until the stream has n tokens and returns its last event.
func (s *Stream) WaitForTokens(ctx context.Context, n int) (Event, error) {
	for {
		s.mu.Lock()
		have, grown := len(s.events), s.grown
		var last Event
		if have > 0 {
			last = s.events[have-1]
		}
		s.mu.Unlock()
		if have >= n {
			return last, nil
		}
		select {
		case <-grown:
		case <-s.done:
			return last, fmt.Errorf("harness: the stream ended at %d of %d tokens: %+v", have, n, s.Failure())
		case <-ctx.Done():
			return last, fmt.Errorf("harness: %d of %d tokens: %w", have, n, ctx.Err())
		}
	}
}

// WaitAndCheck waits for the end and returns an error unless the answer equals that of
// an unbroken engine, token for token.
func (s *Stream) WaitAndCheck(ctx context.Context) error {
	select {
	case <-s.done:
	case <-ctx.Done():
		return fmt.Errorf("harness: no end of the stream after %d tokens: %w", len(s.Events()), ctx.Err())
	}
	if failure := s.Failure(); failure != nil {
		return fmt.Errorf("harness: the stream ended with %s (run: %s) after %d tokens: %s", failure.Reason, failure.Run, len(s.Events()), failure.Message)
	}
	if !s.Complete() {
		return fmt.Errorf("harness: the stream broke after %d tokens", len(s.Events()))
	}
	return s.CheckAllTokens()
}

// Complete reports whether the end mark was received.
func (s *Stream) Complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.whole
}

// CheckReceivedTokens reports the first token that differs from the unbroken answer.
func (s *Stream) CheckReceivedTokens() error {
	events, want := s.Events(), s.Request.ExpectedTokens()
	for i, event := range events {
		if event.Position != i {
			return fmt.Errorf("harness: event %d has position %d", i, event.Position)
		}
		if i >= len(want) || event.Token != want[i] {
			return fmt.Errorf("harness: another token than the unbroken answer at %d", i)
		}
	}
	return nil
}

// CheckAllTokens reports the first difference from the unbroken answer.
func (s *Stream) CheckAllTokens() error {
	if err := s.CheckReceivedTokens(); err != nil {
		return err
	}
	if have, want := len(s.Events()), s.Request.MaxTokens; have != want {
		return fmt.Errorf("harness: %d of %d tokens", have, want)
	}
	return nil
}

// ResumeLatency returns the time from a fault until the first token of another
// attempt. Tokens that were on their way at the fault don't count. If the same
// attempt went on, it is the longest gap after the fault.
func (s *Stream) ResumeLatency(fault time.Time) time.Duration {
	var longest time.Duration
	var before Event
	for _, event := range s.Events() {
		if event.At.Before(fault) {
			before = event
			continue
		}
		if attemptOf(event.ID) != attemptOf(before.ID) {
			return event.At.Sub(fault)
		}
		longest = max(longest, event.At.Sub(before.At))
		before = event
	}
	return longest
}

// attemptOf returns the generation and attempt of an event id.
func attemptOf(id string) string {
	parts := strings.SplitN(id, ".", 4)
	return strings.Join(parts[:min(3, len(parts))], ".")
}

// ParseEventID returns the endpoint and the instance that an event id names.
func ParseEventID(id string) (endpoint, instance string) {
	parts := strings.Split(id, ".")
	if len(parts) < 6 {
		return "", ""
	}
	return parts[4], parts[5]
}

func tokens(events []Event) []int {
	all := make([]int, 0, len(events))
	for _, event := range events {
		all = append(all, event.Token)
	}
	return all
}
