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
	// loadReportTimeout limits a request for an engine's load report.
	loadReportTimeout = 2 * time.Second
	// maxLoadReportBytes limits the size of an engine's load report.
	maxLoadReportBytes = 256 << 10
)

// loadReport is the part of an engine's load report that this package uses.
type loadReport struct {
	Models []api.ModelRef `json:"models"`
	Role   string         `json:"role"`
	AgeMS  int64          `json:"age_ms"`
}

// engineClient fetches load reports from engines and sends commands to them.
type engineClient struct {
	httpClient *http.Client
}

func newEngineClient() *engineClient {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}
	return &engineClient{httpClient: &http.Client{Transport: transport, Timeout: loadReportTimeout}}
}

// fetchReport fetches the load report of an engine.
func (c *engineClient) fetchReport(ctx context.Context, endpoint api.Endpoint) (loadReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint.Address+"/v1/load", nil)
	if err != nil {
		return loadReport{}, err
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return loadReport{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return loadReport{}, fmt.Errorf("engine responded to the load request with status %d", response.StatusCode)
	}
	var report loadReport
	err = json.NewDecoder(io.LimitReader(response.Body, maxLoadReportBytes)).Decode(&report)
	return report, err
}

// commandBody is the body of a control command.
type commandBody struct {
	Fence uint64 `json:"fence"`
	api.ModelRef
	Role string `json:"role,omitempty"`
}

var errCommandNotAllowed = errors.New("enginectl: command not sent: the lease is about to expire, the instance must not start new work, or the endpoint leaves its half")

// preSendCheck calls maySend before the first byte of a command is sent and keeps
// the result.
type preSendCheck struct {
	once    sync.Once
	maySend func() bool
	allowed atomic.Bool
}

func (s *preSendCheck) passes() bool {
	s.once.Do(func() { s.allowed.Store(s.maySend()) })
	return s.allowed.Load()
}

// checkedConn is the connection of one command. It sends nothing unless the
// check passes.
type checkedConn struct {
	net.Conn
	check *preSendCheck
}

func (c *checkedConn) Write(p []byte) (int, error) {
	if !c.check.passes() {
		return 0, errCommandNotAllowed
	}
	return c.Conn.Write(p)
}

// sendCommand sends a command once. maySend is called right before the first
// byte is sent.
func (c *engineClient) sendCommand(ctx context.Context, a Command, maySend func() bool) (CommandResult, error) {
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
	request.GetBody = nil // prevents the transport from sending the command again
	check := &preSendCheck{maySend: maySend}
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
		return CommandStaleFence, errors.New("engine rejected the command: it has seen a higher fencing token")
	default:
		return CommandUnknown, fmt.Errorf("engine responded to the command with status %d", response.StatusCode)
	}
}

// commandTransport returns a transport for one command on a new connection.
func commandTransport(check *preSendCheck) *http.Transport {
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
