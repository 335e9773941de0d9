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
	// reportTimeout limits a request for an engine's report.
	reportTimeout = 2 * time.Second
	// maxReportBytes limits the size of an engine's report.
	maxReportBytes = 256 << 10
)

// engineReport is the part of an engine's load report that this package uses: the
// models that it has loaded and its role.
type engineReport struct {
	Models []api.ModelRef `json:"models"`
	Role   string         `json:"role"`
	AgeMs  int64          `json:"age_ms"`
}

// engineClient fetches reports from engines and sends commands to them.
type engineClient struct {
	httpClient *http.Client
}

func newEngineClient() *engineClient {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}
	return &engineClient{httpClient: &http.Client{Transport: transport, Timeout: reportTimeout}}
}

// fetchReport fetches the report of an engine.
func (c *engineClient) fetchReport(ctx context.Context, endpoint api.Endpoint) (engineReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint.Address+"/v1/load", nil)
	if err != nil {
		return engineReport{}, err
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return engineReport{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return engineReport{}, fmt.Errorf("enginectl: the engine responded to GET /v1/load with status %d", response.StatusCode)
	}
	var report engineReport
	err = json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report)
	return report, err
}

// commandBody is the body of a control command.
type commandBody struct {
	Fence uint64 `json:"fence"`
	api.ModelRef
	Role string `json:"role,omitempty"`
}

var errCommandNotSent = errors.New("enginectl: command not sent: the lease is about to expire, the instance must not start new work, or the endpoint leaves its half")

// preSendCheck calls maySend before the first byte of a command is sent and keeps
// the result.
type preSendCheck struct {
	once    sync.Once
	maySend func() bool
	allowed atomic.Bool
}

// passes calls maySend at the first call and returns its result at each call.
func (c *preSendCheck) passes() bool {
	c.once.Do(func() { c.allowed.Store(c.maySend()) })
	return c.allowed.Load()
}

// checkedConn is the connection of one command. It sends nothing unless the
// check passes.
type checkedConn struct {
	net.Conn
	check *preSendCheck
}

func (c *checkedConn) Write(p []byte) (int, error) {
	if !c.check.passes() {
		return 0, errCommandNotSent
	}
	return c.Conn.Write(p)
}

// sendCommand sends a command once. maySend is called right before the first byte
// is sent. The result says whether the command may have been applied, the error
// why the engine did not confirm it.
func (c *engineClient) sendCommand(ctx context.Context, a Command, maySend func() bool) (CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, CommandTimeout)
	defer cancel()
	body, err := json.Marshal(commandBody{Fence: a.Fence, ModelRef: a.Model, Role: a.Role})
	if err != nil {
		return CommandNotSent, err
	}
	target := "http://" + a.Endpoint.Address + "/v1/control/" + string(a.Kind)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return CommandNotSent, err
	}
	request.GetBody = nil // prevents the transport from sending the command again
	check := &preSendCheck{maySend: maySend}
	response, err := commandTransport(check).RoundTrip(request)
	switch {
	case err != nil && !check.allowed.Load():
		return CommandNotSent, err
	case err != nil:
		return CommandUnknown, err
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode < http.StatusMultipleChoices:
		return CommandDone, nil
	case response.StatusCode == http.StatusConflict:
		return CommandStaleFence, errors.New("enginectl: the engine rejected the command: it has seen a higher fencing token")
	default:
		return CommandUnknown, fmt.Errorf("enginectl: the engine responded to the command with status %d", response.StatusCode)
	}
}

// commandTransport returns a transport for one command on a new connection, which
// runs the check before it sends anything.
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
