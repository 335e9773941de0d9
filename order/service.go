package order

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// maxReceiptBytes bounds a service's answer to an order. Receipts are stored
	// with the claim, and many claims can share one object of 1 MB.
	maxReceiptBytes = 2 << 10
	// maxLookupBytes bounds a service's answer to a lookup.
	maxLookupBytes = 1 << 20
	// dialTimeout bounds the connection to a service.
	dialTimeout = time.Second
)

// SendResult says what is known after a send.
type SendResult int

// Results of a send.
const (
	// SendSkipped means that nothing was written to the service.
	SendSkipped SendResult = iota
	// SendRefused means that the service refused before it started.
	SendRefused
	// SendRejected means that the service refused the content.
	SendRejected
	// SendBooked means that the service confirmed the order.
	SendBooked
	// SendUnknown means that the order may have been booked.
	SendUnknown
)

// errNotSent is returned by the check that runs right before the send.
var errNotSent = errors.New("order: the dispatch window has passed")

// errFenceOutdated says that the service has a higher fencing number.
var errFenceOutdated = errors.New("order: another resolver has set a higher fencing number")

// services calls plain services.
type services struct {
	lookups *http.Client // reuses connections
	fresh   *http.Client // opens a connection for each call
}

func newServices() *services {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     30 * time.Second,
	}
	fresh := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return &services{
		lookups: &http.Client{Transport: transport, CheckRedirect: noRedirect},
		fresh:   &http.Client{Transport: fresh, CheckRedirect: noRedirect},
	}
}

// close ends the idle connections.
func (s *services) close() { s.lookups.CloseIdleConnections() }

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// guardedConn runs a check right before the first byte is written. After a
// failed check it writes nothing. The transport writes in its own goroutine.
type guardedConn struct {
	net.Conn
	check func() error

	mu      sync.Mutex
	checked bool
	refused error
}

func (g *guardedConn) Write(p []byte) (int, error) {
	if err := g.mayWrite(); err != nil {
		return 0, err
	}
	return g.Conn.Write(p)
}

func (g *guardedConn) mayWrite() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.checked {
		g.checked = true
		g.refused = g.check()
	}
	return g.refused
}

// close forbids any later write and reports whether one was allowed before.
func (g *guardedConn) close() (wrote bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wrote = g.checked && g.refused == nil
	if !g.checked {
		g.checked, g.refused = true, errNotSent
	}
	_ = g.Conn.Close()
	return wrote
}

// outgoing is one order on its way to a service.
type outgoing struct {
	endpoint api.Endpoint
	id       string
	fence    uint64
	body     []byte
	// mayWrite is the last check before the first byte is written.
	mayWrite func() error
}

// send opens a new connection and writes the order at most once: the transport
// has a single connection to hand out, so it cannot send a second time.
func send(ctx context.Context, o outgoing) (SendResult, json.RawMessage, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", o.endpoint.Address)
	if err != nil {
		return SendSkipped, nil, err
	}
	guarded := &guardedConn{Conn: conn, check: o.mayWrite}
	defer guarded.close()
	request, err := orderRequest(ctx, o)
	if err != nil {
		return SendSkipped, nil, err
	}
	transport := &http.Transport{DialContext: handOut(guarded), DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		if guarded.close() {
			return SendUnknown, nil, err
		}
		return SendSkipped, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxReceiptBytes+1))
	return classifySend(o.endpoint, response, answer, err)
}

// handOut returns a dialer that gives the connection away once.
func handOut(conn net.Conn) func(context.Context, string, string) (net.Conn, error) {
	slot := make(chan net.Conn, 1)
	slot <- conn
	return func(context.Context, string, string) (net.Conn, error) {
		select {
		case conn := <-slot:
			return conn, nil
		default:
			return nil, errors.New("order: an order is sent on one connection only")
		}
	}
}

func orderRequest(ctx context.Context, o outgoing) (*http.Request, error) {
	target := "http://" + o.endpoint.Address + "/orders"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(o.body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // without it the transport cannot send the body again
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Order-Key", o.id)
	request.Header.Set("Order-Fence", strconv.FormatUint(o.fence, 10))
	return request, nil
}

func classifySend(endpoint api.Endpoint, response *http.Response, answer []byte, readErr error) (SendResult, json.RawMessage, error) {
	status := response.StatusCode
	switch {
	case status == http.StatusCreated || status == http.StatusOK:
		// The status alone confirms the booking; a damaged receipt is dropped.
		return SendBooked, receipt(answer, readErr), nil
	case response.Header.Get("X-Not-Started") == "true" || status == http.StatusConflict && endpoint.ChecksFence:
		return SendRefused, nil, fmt.Errorf("the service answered with status %d", status)
	case status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
		return SendRejected, receipt(answer, readErr), fmt.Errorf("the service answered with status %d", status)
	default:
		return SendUnknown, nil, fmt.Errorf("the service answered with status %d", status)
	}
}

// receipt returns the answer as JSON, or nothing if it is too large or damaged.
func receipt(answer []byte, readErr error) json.RawMessage {
	if readErr != nil || len(answer) == 0 || len(answer) > maxReceiptBytes {
		return nil
	}
	if json.Valid(answer) {
		return bytes.TrimSpace(answer)
	}
	quoted, err := json.Marshal(string(answer))
	if err != nil {
		return nil
	}
	return quoted
}

// get performs one idempotent read on a service.
func get(ctx context.Context, client *http.Client, endpoint api.Endpoint, path string) (int, []byte, http.Header, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint.Address+path, nil)
	if err != nil {
		return 0, nil, nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxLookupBytes+1))
	if err != nil {
		return 0, nil, nil, err
	}
	if len(body) > maxLookupBytes {
		return 0, nil, nil, errors.New("order: the service's answer is too large")
	}
	return response.StatusCode, body, response.Header, nil
}

// fence makes the service reject the order with any lower number and returns
// whether the order is booked.
func (s *services) fence(ctx context.Context, endpoint api.Endpoint, id string, number uint64) (booked bool, err error) {
	body := fmt.Sprintf(`{"fence":%d}`, number)
	target := "http://" + endpoint.Address + "/orders/" + id + "/fence"
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, target, strings.NewReader(body))
	if err != nil {
		return false, err
	}
	response, err := s.fresh.Do(request)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusConflict {
		return false, errFenceOutdated
	}
	if response.StatusCode != http.StatusOK {
		return false, fmt.Errorf("the service answered with status %d", response.StatusCode)
	}
	var answer struct {
		Booked *bool `json:"booked"`
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReceiptBytes)).Decode(&answer)
	if err != nil || answer.Booked == nil {
		return false, errors.New("the service did not say whether the order is booked")
	}
	return *answer.Booked, nil
}

func lookupPath(id string) string { return "/lookups/" + url.PathEscape(id) }
