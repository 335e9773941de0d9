package store

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
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// maxValueBytes is the store's limit on a value.
	maxValueBytes = 1 << 20
	// maxResponseBytes bounds what is read of a list or watch answer.
	maxResponseBytes = 16 << 20
	// watchSlack is how much longer than its wait a watch call may take.
	watchSlack = 3 * time.Second
)

// Options configures a Client.
type Options struct {
	// URL is the base address of the store, for example http://10.0.0.1:7000.
	URL string
	// Timeout bounds every call but a watch.
	Timeout time.Duration
	Scope   tally.Scope
}

// Client calls the store over HTTP.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	calls   map[string]tally.Counter
}

// New returns a client.
func New(o Options) (*Client, error) {
	base, err := url.Parse(o.URL)
	if err != nil || base.Host == "" {
		return nil, fmt.Errorf("store: %q is not an address", o.URL)
	}
	c := &Client{
		base:    strings.TrimSuffix(o.URL, "/"),
		timeout: o.Timeout,
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}},
		calls:   make(map[string]tally.Counter),
	}
	for _, method := range []string{"get", "put", "delete", "list", "watch", "instances"} {
		c.calls[method] = o.Scope.Tagged(map[string]string{"method": method}).Counter("calls")
	}
	return c, nil
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	c.calls["get"].Inc(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, header, err := c.do(ctx, http.MethodGet, objectPath(key), nil, nil, maxValueBytes)
	if err != nil {
		return Object{}, err
	}
	version, err := parseVersion(header)
	return Object{Key: key, Version: version, Value: body}, err
}

// Put writes an object conditionally.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect Version) (Version, error) {
	c.calls["put"].Inc(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, header, err := c.do(ctx, http.MethodPut, objectPath(key), value, condition(expect), maxValueBytes)
	if err != nil {
		return 0, err
	}
	return parseVersion(header)
}

// Delete removes an object conditionally.
func (c *Client) Delete(ctx context.Context, key string, expect Version) error {
	c.calls["delete"].Inc(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, _, err := c.do(ctx, http.MethodDelete, objectPath(key), nil, condition(expect), maxValueBytes)
	return err
}

type listBody struct {
	Revision uint64     `json:"revision"`
	Objects  []itemBody `json:"objects"`
	Changes  []itemBody `json:"changes"`
}

type itemBody struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
	Deleted bool    `json:"deleted"`
}

// List returns the objects whose key starts with the prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	c.calls["list"].Inc(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var list listBody
	if err := c.getJSON(ctx, "/v1/objects?prefix="+url.QueryEscape(prefix), &list); err != nil {
		return nil, 0, err
	}
	objects := make([]Object, 0, len(list.Objects))
	for _, item := range list.Objects {
		objects = append(objects, Object{Key: item.Key, Version: item.Version, Value: item.Value})
	}
	return objects, list.Revision, nil
}

// Watch waits for changes after the revision.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error) {
	c.calls["watch"].Inc(1)
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	query := url.Values{
		"prefix":     {prefix},
		"after":      {strconv.FormatUint(after, 10)},
		"timeout_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var list listBody
	if err := c.getJSON(ctx, "/v1/watch?"+query.Encode(), &list); err != nil {
		return nil, 0, err
	}
	changes := make([]Change, 0, len(list.Changes))
	for _, item := range list.Changes {
		object := Object{Key: item.Key, Version: item.Version, Value: item.Value}
		changes = append(changes, Change{Object: object, Deleted: item.Deleted})
	}
	return changes, list.Revision, nil
}

// Instances returns the platform's list.
func (c *Client) Instances(ctx context.Context) ([]PlatformInstance, error) {
	c.calls["instances"].Inc(1)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var body struct {
		Instances []PlatformInstance `json:"instances"`
	}
	if err := c.getJSON(ctx, "/v1/instances", &body); err != nil {
		return nil, err
	}
	return body.Instances, nil
}

func (c *Client) getJSON(ctx context.Context, path string, into any) error {
	body, _, err := c.do(ctx, http.MethodGet, path, nil, nil, maxResponseBytes)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: malformed answer: %v", ErrUnknown, err)
	}
	return nil
}

func (c *Client) do(ctx context.Context, method, path string, value []byte, header http.Header, limit int64) ([]byte, http.Header, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(value))
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	if method != http.MethodGet {
		// Without GetBody the transport cannot send a write a second time.
		request.GetBody = nil
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, classify(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	if err := statusError(response.StatusCode); err != nil {
		return nil, nil, err
	}
	return body, response.Header, nil
}

// classify tells a call that cannot have reached the store from one whose
// outcome is open.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %v", ErrUnknown, err)
}

func statusError(status int) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	case http.StatusGone:
		return ErrCompacted
	default:
		return fmt.Errorf("%w: status %d", ErrUnknown, status)
	}
}

func objectPath(key string) string {
	return "/v1/objects/" + (&url.URL{Path: key}).EscapedPath()
}

func condition(expect Version) http.Header {
	if expect == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {strconv.FormatUint(uint64(expect), 10)}}
}

func parseVersion(header http.Header) (Version, error) {
	text := strings.Trim(header.Get("ETag"), `"`)
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: ETag %q is not a version", ErrUnknown, text)
	}
	return Version(version), nil
}
