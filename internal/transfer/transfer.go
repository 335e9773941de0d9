// Package transfer bounds how long a call waits without receiving anything. A
// bound on the whole call would end the transfer of a large document over a
// slow link, and the next try would start again from its first byte.
package transfer

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// Bounds are the timeouts of one call.
type Bounds struct {
	// FirstByte bounds the time until the response begins.
	FirstByte time.Duration
	// Stall bounds the time between two parts of the response.
	Stall time.Duration
	// Total bounds the whole call.
	Total time.Duration
}

// callKey is the context key of a *call.
type callKey struct{}

// observerKey is the context key of the Observer that Observe sets.
type observerKey struct{}

// Observer is told of the responses of calls. Its functions must not block; nil ignores.
type Observer struct {
	// OnPart is called when a part of a successful response has arrived.
	OnPart func()
	// OnEnd is called when a response has ended. whole says that it has arrived to its end.
	OnEnd func(whole bool)
}

// call is the progress of one call.
type call struct {
	mu       sync.Mutex
	timer    *time.Timer
	stall    time.Duration
	deadline time.Time
}

// WithBounds returns a context for one call that ends when one of the bounds is
// exceeded. Progress reports what the call receives.
func WithBounds(ctx context.Context, b Bounds) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, b.Total)
	c := &call{stall: b.Stall, deadline: time.Now().Add(b.Total)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(b.FirstByte, cancel)
	return context.WithValue(ctx, callKey{}, c), func() {
		c.timer.Stop()
		cancel()
	}
}

// Observe returns a context whose calls are observed.
func Observe(ctx context.Context, o Observer) context.Context {
	return context.WithValue(ctx, observerKey{}, o)
}

// End reports that the response to a call of the context has ended.
func End(ctx context.Context, whole bool) {
	if o, ok := ctx.Value(observerKey{}).(Observer); ok && o.OnEnd != nil {
		o.OnEnd(whole)
	}
}

// Progress reports that the call of the context has received a part of a
// successful response.
func Progress(ctx context.Context) {
	extend(ctx)
	if o, ok := ctx.Value(observerKey{}).(Observer); ok && o.OnPart != nil {
		o.OnPart()
	}
}

func extend(ctx context.Context) {
	if c, ok := ctx.Value(callKey{}).(*call); ok {
		c.extend()
	}
}

// extend restarts the stall timeout. A timer that has already fired has ended
// the context and stays without effect.
func (c *call) extend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer.Stop() {
		c.timer.Reset(min(c.stall, time.Until(c.deadline)))
	}
}

// Transport is an http.RoundTripper that reports the progress of responses.
type Transport struct{ Next http.RoundTripper }

// RoundTrip sends the request and returns the response with a body whose reads
// are reported. A response with another status than 200 only restarts the stall
// timeout.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	ctx, report := request.Context(), extend
	if response.StatusCode == http.StatusOK {
		report = Progress
	}
	report(ctx)
	response.Body = &body{ReadCloser: response.Body, onRead: func() { report(ctx) }}
	return response, nil
}

// body calls onRead for each part that is read.
type body struct {
	io.ReadCloser
	onRead func()
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.onRead()
	}
	return n, err
}
