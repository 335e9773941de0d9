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
	// maxReceiptBytes bounds a service's response to an order or to a fencing request.
	// Receipts are stored with the claim, and many claims can share one object of
	// 1 MB.
	maxReceiptBytes = 2 << 10
	// maxGetResponseBytes bounds a service's response to a lookup or to the
	// check of a booking.
	maxGetResponseBytes = 1 << 20
	// dialTimeout bounds the establishment of a connection to a service.
	dialTimeout = time.Second
)

// SendResult says what is known after a send.
type SendResult int

// Results of a send.
const (
	// SendSkipped means that nothing was written to the service.
	SendSkipped SendResult = iota
	// SendRefused means that the service refused the order without processing it.
	SendRefused
	// SendRejected means that the service rejected the content of the order.
	SendRejected
	// SendBooked means that the service confirmed the order.
	SendBooked
	// SendUnknown means that the order may have been booked.
	SendUnknown
)

// errSendForbidden means that the check before the first byte failed, or that the
// connection was closed before the check.
var errSendForbidden = errors.New("order: the order may no longer be sent")

// errFenceStale means that the service knows a higher fencing token.
var errFenceStale = errors.New("order: the service has a higher fencing token from another resolution")

// serviceClient calls plain services.
type serviceClient struct {
	pooled   *http.Client // reuses connections
	unpooled *http.Client // opens a connection for each request
}

func newServiceClient() *serviceClient {
	dialer := &net.Dialer{Timeout: dialTimeout}
	pooled := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     30 * time.Second,
	}
	unpooled := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return &serviceClient{
		pooled:   &http.Client{Transport: pooled, CheckRedirect: noRedirect},
		unpooled: &http.Client{Transport: unpooled, CheckRedirect: noRedirect},
	}
}

func (s *serviceClient) closeIdleConnections() { s.pooled.CloseIdleConnections() }

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// guardedConn runs a check right before the first byte is written, and writes
// nothing after a failed check. The mutex is needed because the transport writes
// in a goroutine of its own.
type guardedConn struct {
	net.Conn
	check func() error

	mu       sync.Mutex
	checked  bool
	checkErr error
}

func (g *guardedConn) Write(p []byte) (int, error) {
	if err := g.runCheck(); err != nil {
		return 0, err
	}
	return g.Conn.Write(p)
}

func (g *guardedConn) runCheck() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.checked {
		g.checked = true
		g.checkErr = g.check()
	}
	return g.checkErr
}

// close closes the connection. It prevents later writes and reports whether a
// write was allowed before.
func (g *guardedConn) close() (wrote bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wrote = g.checked && g.checkErr == nil
	if !g.checked {
		g.checked, g.checkErr = true, errSendForbidden
	}
	_ = g.Conn.Close()
	return wrote
}

// outgoingOrder is an order to be sent to a service.
type outgoingOrder struct {
	endpoint api.Endpoint
	id       string
	fence    uint64
	body     []byte
	// check runs right before the first byte is written; an error prevents the send.
	check func() error
}

// sendOnce opens a new connection and writes the order at most once. The
// transport cannot retry on its own, since its dialer returns one connection only.
func sendOnce(ctx context.Context, o outgoingOrder) (SendResult, json.RawMessage, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", o.endpoint.Address)
	if err != nil {
		return SendSkipped, nil, err
	}
	guarded := &guardedConn{Conn: conn, check: o.check}
	defer guarded.close()
	request, err := newOrderRequest(ctx, o)
	if err != nil {
		return SendSkipped, nil, err
	}
	transport := &http.Transport{DialContext: dialOnce(guarded), DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		if guarded.close() {
			return SendUnknown, nil, err
		}
		return SendSkipped, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReceiptBytes+1))
	return classifySend(o.endpoint, response, body, err)
}

// dialOnce returns a dial function that returns the connection on its first call
// and an error afterwards.
func dialOnce(conn net.Conn) func(context.Context, string, string) (net.Conn, error) {
	available := make(chan net.Conn, 1)
	available <- conn
	return func(context.Context, string, string) (net.Conn, error) {
		select {
		case conn := <-available:
			return conn, nil
		default:
			return nil, errors.New("order: the transport dialed a second connection for an order")
		}
	}
}

func newOrderRequest(ctx context.Context, o outgoingOrder) (*http.Request, error) {
	target := "http://" + o.endpoint.Address + "/orders"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(o.body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // without GetBody the transport cannot send the body again
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Order-Key", o.id)
	request.Header.Set("Order-Fence", strconv.FormatUint(o.fence, 10))
	return request, nil
}

// classifySend derives the result of a send from the response. A service that checks
// fencing tokens refuses a low one with 409, before it processes the order. The
// statuses 408 and 429 do not say whether the order was processed.
func classifySend(endpoint api.Endpoint, response *http.Response, body []byte, readErr error) (SendResult, json.RawMessage, error) {
	status := response.StatusCode
	switch {
	case status == http.StatusCreated || status == http.StatusOK:
		// The status alone confirms the booking; an incomplete receipt is dropped.
		return SendBooked, normalizeReceipt(body, readErr), nil
	case response.Header.Get("X-Not-Started") == "true" || status == http.StatusConflict && endpoint.ChecksFence:
		return SendRefused, nil, fmt.Errorf("order: the service responded with status %d to an order", status)
	case status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
		return SendRejected, normalizeReceipt(body, readErr), fmt.Errorf("order: the service responded with status %d to an order", status)
	default:
		return SendUnknown, nil, fmt.Errorf("order: the service responded with status %d to an order", status)
	}
}

// normalizeReceipt returns the response body as JSON. Text that is not JSON is
// quoted; an empty, incomplete or too large body gives nil.
func normalizeReceipt(body []byte, readErr error) json.RawMessage {
	if readErr != nil || len(body) == 0 || len(body) > maxReceiptBytes {
		return nil
	}
	if json.Valid(body) {
		return bytes.TrimSpace(body)
	}
	quoted, err := json.Marshal(string(body))
	if err != nil {
		return nil
	}
	return quoted
}

// get sends one GET request to a service. It returns status, body and header.
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxGetResponseBytes+1))
	if err != nil {
		return 0, nil, nil, err
	}
	if len(body) > maxGetResponseBytes {
		return 0, nil, nil, errors.New("order: the service's response is too large")
	}
	return response.StatusCode, body, response.Header, nil
}

// fence makes the service reject the order with any lower fencing token and
// returns whether the order is booked.
func (s *serviceClient) fence(ctx context.Context, endpoint api.Endpoint, id string, token uint64) (booked bool, err error) {
	body := fmt.Sprintf(`{"fence":%d}`, token)
	target := "http://" + endpoint.Address + "/orders/" + id + "/fence"
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, target, strings.NewReader(body))
	if err != nil {
		return false, err
	}
	response, err := s.unpooled.Do(request)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusConflict {
		return false, errFenceStale
	}
	if response.StatusCode != http.StatusOK {
		return false, fmt.Errorf("order: the service responded with status %d to a fencing request", response.StatusCode)
	}
	var result struct {
		Booked *bool `json:"booked"`
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxReceiptBytes)).Decode(&result)
	if err != nil || result.Booked == nil {
		return false, errors.New("order: the service's response does not say whether the order is booked")
	}
	return *result.Booked, nil
}

func lookupPath(id string) string { return "/lookups/" + url.PathEscape(id) }
