package enginectl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// observeTimeout bounds a question for an engine's load.
	observeTimeout = 2 * time.Second
	// maxReportBytes bounds an engine's report.
	maxReportBytes = 256 << 10
)

// loadReport is the part of an engine's load report that matters here.
type loadReport struct {
	Models []api.ModelRef `json:"models"`
	Role   string         `json:"role"`
	AgeMS  int64          `json:"age_ms"`
}

// engineClient calls engines.
type engineClient struct {
	observer *http.Client
}

func newEngineClient() *engineClient {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}
	return &engineClient{observer: &http.Client{Transport: transport, Timeout: observeTimeout}}
}

func (c *engineClient) load(ctx context.Context, endpoint api.Endpoint) (loadReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint.Address+"/v1/load", nil)
	if err != nil {
		return loadReport{}, err
	}
	response, err := c.observer.Do(request)
	if err != nil {
		return loadReport{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return loadReport{}, fmt.Errorf("the engine answered with status %d", response.StatusCode)
	}
	var report loadReport
	err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report)
	return report, err
}

// commandBody is the body of a control command.
type commandBody struct {
	Fence uint64 `json:"fence"`
	api.ModelRef
	Role string `json:"role,omitempty"`
}

var errNotSent = errors.New("enginectl: the command must not be sent now")

// sendCheck asks before the first byte of a command and keeps the answer.
type sendCheck struct {
	once    sync.Once
	mayGo   func() bool
	allowed atomic.Bool
}

func (s *sendCheck) ok() bool {
	s.once.Do(func() { s.allowed.Store(s.mayGo()) })
	return s.allowed.Load()
}

// checkedConn is the connection of one command.
type checkedConn struct {
	net.Conn
	check *sendCheck
}

func (c *checkedConn) Write(p []byte) (int, error) {
	if !c.check.ok() {
		return 0, errNotSent
	}
	return c.Conn.Write(p)
}

// command sends a command once. mayGo is checked right before the first byte.
func (c *engineClient) command(ctx context.Context, a Command, mayGo func() bool) (CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, CommandTimeout)
	defer cancel()
	body, err := json.Marshal(commandBody{Fence: a.Fence, ModelRef: a.Model, Role: a.Role})
	if err != nil {
		return CommandSkipped, err
	}
	target := "http://" + a.Endpoint.Address + "/v1/control/" + string(a.Kind)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return CommandSkipped, err
	}
	request.GetBody = nil // a command is not sent again by the transport
	check := &sendCheck{mayGo: mayGo}
	response, err := commandTransport(check).RoundTrip(request)
	switch {
	case err != nil && !check.allowed.Load():
		return CommandSkipped, err
	case err != nil:
		return CommandUnknown, err
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode < http.StatusMultipleChoices:
		return CommandDone, nil
	case response.StatusCode == http.StatusConflict:
		return CommandStaleFence, errors.New("the engine has seen a higher fencing number")
	default:
		return CommandUnknown, fmt.Errorf("the engine answered with status %d", response.StatusCode)
	}
}

func commandTransport(check *sendCheck) *http.Transport {
	dialer := &net.Dialer{Timeout: CommandTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn, check: check}, nil
	}
	return &http.Transport{DialContext: dial, DisableKeepAlives: true}
}
