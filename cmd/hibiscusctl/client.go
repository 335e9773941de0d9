package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// requestTimeout is the timeout of a call to one instance.
	requestTimeout = 10 * time.Second
	// maxResponseBytes limits how much of a response is read.
	maxResponseBytes = 16 << 20
)

// errUnreachable is returned if no instance responded.
var errUnreachable = errors.New("no instance responded")

// client calls the operator interface of the first instance that responds.
type client struct {
	servers    []string
	token      string
	httpClient *http.Client
}

func newClient(servers []string, token string) *client {
	return &client{servers: servers, token: token, httpClient: &http.Client{Timeout: requestTimeout}}
}

// call sends the request to each server in turn until one responds. All calls of the
// operator interface are idempotent: for example, submitting the same ticket again
// succeeds. So after a lost response the next instance is called.
func (c *client) call(ctx context.Context, method, path string, body []byte) (json.RawMessage, error) {
	var lastErr error = errUnreachable
	for _, server := range c.servers {
		response, err := c.callServer(ctx, server, method, path, body)
		if err == nil {
			return response, nil
		}
		lastErr = fmt.Errorf("%s: %w", server, err)
		if !shouldTryNextServer(err) {
			return nil, lastErr
		}
	}
	return nil, lastErr
}

// callServer sends the request to one server and returns the body of the response.
func (c *client) callServer(ctx context.Context, server, method, path string, body []byte) (json.RawMessage, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errUnreachable, err)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errUnreachable, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, newResponseError(response.StatusCode, responseBody)
	}
	return responseBody, nil
}

// responseError is an error response of an instance.
type responseError struct {
	status int
	detail httpapi.ErrorDetail
	body   json.RawMessage
}

func (e *responseError) Error() string {
	return fmt.Sprintf("refused (%s): %s", e.detail.Reason, e.detail.Message)
}

// newResponseError decodes an error response. A body that is not an ErrorBody becomes
// an internal error with the status.
func newResponseError(status int, responseBody []byte) error {
	var body httpapi.ErrorBody
	if err := json.Unmarshal(responseBody, &body); err != nil || body.Error.Reason == "" {
		body.Error = httpapi.ErrorDetail{Reason: reason.Internal, Message: fmt.Sprintf("status %d", status)}
	}
	return &responseError{status: status, detail: body.Error, body: responseBody}
}

// shouldTryNextServer reports whether another instance may serve the call.
func shouldTryNextServer(err error) bool {
	if errors.Is(err, errUnreachable) {
		return true
	}
	var refused *responseError
	if !errors.As(err, &refused) {
		return false
	}
	switch refused.detail.Reason {
	case reason.NotReady, reason.ShuttingDown, reason.Fenced, reason.StoreUnavailable, reason.Overloaded:
		return true
	default:
		return false
	}
}
