package generation

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	connectTimeout = 500 * time.Millisecond
	// recoveryConnectTimeout is shorter than connectTimeout, since the caller has
	// been waiting since the interruption. It covers several round trips between
	// regions.
	recoveryConnectTimeout  = 250 * time.Millisecond
	probeTimeout            = 250 * time.Millisecond
	cancelTimeout           = 2 * time.Second
	idleConnTimeout         = 30 * time.Second
	maxIdleConnsPerEndpoint = 16
	// maxStreamLineBytes bounds one line of an engine's stream.
	maxStreamLineBytes = 64 << 10
	// maxDiscardBytes bounds what is read of an error response so that its
	// connection can be reused.
	maxDiscardBytes = 4 << 10
	// notStartedHeader marks a response of an engine that did not start to run the
	// request.
	notStartedHeader = "X-Not-Started"
	initialLineBytes = 4 << 10 // initial buffer for a line
)

// engineClient is the HTTP client for engines. It has a connection pool for each
// address, which is dropped when the endpoint becomes suspect; streams that are
// open on its connections go on. Recovery, probes and cancellations use a new
// connection for each request.
type engineClient struct {
	mu       sync.Mutex
	pooled   map[string]*http.Transport // by address
	unpooled *http.Transport
}

func newEngineClient() *engineClient {
	return &engineClient{
		pooled:   make(map[string]*http.Transport),
		unpooled: newTransport(recoveryConnectTimeout, true),
	}
}

func newTransport(connect time.Duration, disableKeepAlives bool) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connect}).DialContext,
		DisableKeepAlives:   disableKeepAlives,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnsPerEndpoint,
		IdleConnTimeout:     idleConnTimeout,
	}
}

func (c *engineClient) transport(address string, newConnection bool) *http.Transport {
	if newConnection {
		return c.unpooled
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.pooled[address]
	if t == nil {
		t = newTransport(connectTimeout, false)
		c.pooled[address] = t
	}
	return t
}

// dropPooled drops the pooled connections to the address.
func (c *engineClient) dropPooled(address string) {
	c.mu.Lock()
	t := c.pooled[address]
	delete(c.pooled, address)
	c.mu.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

func (c *engineClient) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.pooled {
		t.CloseIdleConnections()
	}
	clear(c.pooled)
}

type engineRequest struct {
	RequestID    string   `json:"request_id"`
	Attempt      uint64   `json:"attempt"`
	Model        string   `json:"model"`
	Version      string   `json:"version"`
	Adapter      string   `json:"adapter"`
	Prompt       string   `json:"prompt"`
	PrefixTokens []uint32 `json:"prefix_tokens"`
	MaxTokens    int      `json:"max_tokens"`
	Temperature  float64  `json:"temperature"`
	Seed         int64    `json:"seed"`
	Priority     int      `json:"priority"`
}

func newEngineRequest(action OpenStream) engineRequest {
	r := action.Request
	return engineRequest{
		RequestID: action.RequestID, Attempt: action.Attempt,
		Model: r.Model.Model, Version: r.Model.Version, Adapter: r.Model.Adapter,
		Prompt: r.Prompt, PrefixTokens: action.Prefix, MaxTokens: r.MaxTokens,
		Temperature: r.Temperature, Seed: r.Seed, Priority: int(r.Priority),
	}
}

type resumeRequest struct {
	Attempt uint64 `json:"attempt"`
	From    int    `json:"from"`
}

type cancelRequest struct {
	Attempt uint64 `json:"attempt"`
}

// newPost builds a request that net/http cannot resend on its own: it has no
// GetBody and no Idempotency-Key.
func newPost(ctx context.Context, address, path string, body any) (*http.Request, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// streamChunks sends a request and calls handle for each chunk of the response
// until the connection ends. It returns how the connection ended.
func (c *engineClient) streamChunks(ctx context.Context, address, path string, body any, newConnection bool, handle func(Chunk) error) CloseKind {
	request, err := newPost(ctx, address, path, body)
	if err != nil {
		return ClosedConnectFailed
	}
	response, err := c.transport(address, newConnection).RoundTrip(request)
	if err != nil {
		if isDialError(err) {
			return ClosedConnectFailed
		}
		return ClosedAfterSend
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return closeKindOf(response)
	}
	readChunks(response.Body, handle)
	return ClosedAfterSend
}

func closeKindOf(response *http.Response) CloseKind {
	_, _ = io.CopyN(io.Discard, response.Body, maxDiscardBytes)
	switch {
	case response.Header.Get(notStartedHeader) == "true":
		return ClosedNotStarted
	case response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusGone:
		return ClosedStreamNotFound
	default:
		return ClosedErrorResponse
	}
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// readChunks parses an engine's stream until it ends or handle returns an error.
func readChunks(body io.Reader, handle func(Chunk) error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, initialLineBytes), maxStreamLineBytes)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			continue
		}
		if handle(parseChunk([]byte(data))) != nil {
			return
		}
	}
}

type engineChunk struct {
	RequestID    string  `json:"request_id"`
	Attempt      uint64  `json:"attempt"`
	Position     *int    `json:"position"`
	Token        *uint32 `json:"token"`
	Text         string  `json:"text"`
	FinishReason string  `json:"finish_reason"`
}

// parseChunk decodes a chunk. A chunk that is not valid is marked as malformed.
func parseChunk(data []byte) Chunk {
	var parsed engineChunk
	if err := json.Unmarshal(data, &parsed); err != nil {
		return Chunk{Malformed: true}
	}
	// A chunk that reports supersession carries no new token.
	hasToken := parsed.Token != nil && parsed.FinishReason != finishSuperseded
	if hasToken && (parsed.Position == nil || *parsed.Position < 0) {
		return Chunk{Malformed: true}
	}
	chunk := Chunk{
		RequestID: parsed.RequestID, Attempt: parsed.Attempt,
		HasToken: hasToken, Text: parsed.Text, FinishReason: parsed.FinishReason,
	}
	if parsed.Token != nil {
		chunk.Token = *parsed.Token
	}
	if parsed.Position != nil {
		chunk.Position = *parsed.Position
	}
	return chunk
}

// probeHealth checks on a new connection whether the engine is alive. Every error
// that is not a timeout counts as a crash, above all a connection that is refused
// or closed at once: then no engine runs at the address.
func (c *engineClient) probeHealth(ctx context.Context, address string) (alive, crashed bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return false, false
	}
	response, err := c.unpooled.RoundTrip(request)
	if err != nil {
		var timeout net.Error
		return false, ctx.Err() == nil && !(errors.As(err, &timeout) && timeout.Timeout())
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK, false
}

// cancelStream tells the engine to drop a stream. If the request is lost, the
// engine only computes tokens that nobody reads.
func (c *engineClient) cancelStream(ctx context.Context, endpoint api.Endpoint, requestID string, attempt uint64) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	request, err := newPost(ctx, endpoint.Address, "/v1/streams/"+requestID+"/cancel", cancelRequest{Attempt: attempt})
	if err != nil {
		return
	}
	response, err := c.unpooled.RoundTrip(request)
	if err == nil {
		response.Body.Close()
	}
}
