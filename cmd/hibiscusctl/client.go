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
	// callTimeout bounds one call to one instance.
	callTimeout = 10 * time.Second
	// maxAnswerBytes bounds what is read of an answer.
	maxAnswerBytes = 16 << 20
)

// errUnreachable says that none of the instances answered.
var errUnreachable = errors.New("no instance answered")

// client calls the operator interface of the first instance that answers.
type client struct {
	servers []string
	token   string
	http    *http.Client
}

func newClient(servers []string, token string) *client {
	return &client{servers: servers, token: token, http: &http.Client{Timeout: callTimeout}}
}

// call sends the request to each server in turn until one answers. All calls
// of the operator interface may be repeated: applying the same ticket again is
// a success, so a lost answer is resolved by asking the next instance.
func (c *client) call(ctx context.Context, method, path string, body []byte) (json.RawMessage, error) {
	var last error = errUnreachable
	for _, server := range c.servers {
		answer, err := c.callOne(ctx, server, method, path, body)
		if err == nil {
			return answer, nil
		}
		last = fmt.Errorf("%s: %w", server, err)
		if !tryNext(err) {
			return nil, last
		}
	}
	return nil, last
}

func (c *client) callOne(ctx context.Context, server, method, path string, body []byte) (json.RawMessage, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errUnreachable, err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errUnreachable, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, refusal(response.StatusCode, answer)
	}
	return answer, nil
}

// refusalError is an error answer of an instance.
type refusalError struct {
	status int
	detail httpapi.ErrorDetail
	body   json.RawMessage
}

func (e *refusalError) Error() string {
	return fmt.Sprintf("refused (%s): %s", e.detail.Reason, e.detail.Message)
}

func refusal(status int, answer []byte) error {
	var body httpapi.ErrorBody
	if err := json.Unmarshal(answer, &body); err != nil || body.Error.Reason == "" {
		body.Error = httpapi.ErrorDetail{Reason: reason.Internal, Message: fmt.Sprintf("status %d", status)}
	}
	return &refusalError{status: status, detail: body.Error, body: answer}
}

// tryNext reports whether another instance may answer differently.
func tryNext(err error) bool {
	if errors.Is(err, errUnreachable) {
		return true
	}
	var refused *refusalError
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
