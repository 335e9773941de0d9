package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// maxValueBytes is the store's limit on a value.
	maxValueBytes = 1 << 20
	// maxResponseBytes bounds the body of the response to a list, a watch or a request
	// for the instances.
	maxResponseBytes = 16 << 20
	// watchGracePeriod is how much longer than its wait a watch call may take.
	watchGracePeriod = 3 * time.Second
)

// Options configures a Client.
type Options struct {
	// URL is the base address of the store, for example http://10.0.0.1:7000.
	URL string
	// Timeout bounds every call but a watch. It has to be set: with 0 every call fails.
	Timeout time.Duration
	Scope   tally.Scope
	// FleetWritesPerSecond and FleetReadsPerSecond limit the calls of all instances
	// together; 0 means the defaults.
	FleetWritesPerSecond float64
	FleetReadsPerSecond  float64
	// FleetSize is the number of instances that is assumed until the platform's list
	// of instances is read; 0 means defaultFleetSize.
	FleetSize int
}

// Client calls the store over HTTP. It counts calls by method and result, and limits
// the call rate of the instance to its share of the fleet's rates. The share follows
// the length of the platform's list of instances.
type Client struct {
	base         string
	timeout      time.Duration
	http         *http.Client
	limits       *rateLimits
	callCounters *callCounters
}

// New returns a client.
func New(o Options) (*Client, error) {
	base, err := url.Parse(o.URL)
	if err != nil || base.Host == "" {
		return nil, fmt.Errorf("store: %q is not a URL with a host", o.URL)
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &Client{
		base:    strings.TrimSuffix(o.URL, "/"),
		timeout: o.Timeout,
		http: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second},
			// A followed redirect would send a write a second time.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		limits:       newRateLimits(o.FleetWritesPerSecond, o.FleetReadsPerSecond, o.FleetSize),
		callCounters: newCallCounters(o.Scope),
	}, nil
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	response, err := c.call(ctx, callSpec{operation: "get", httpMethod: http.MethodGet, path: objectPath(key), maxBodyBytes: maxValueBytes})
	if err != nil {
		return Object{}, err
	}
	version, err := parseVersion(response.header)
	return Object{Key: key, Version: version, Value: response.body}, err
}

// Put writes the object if it has the expected version; with 0, if it does not exist.
func (c *Client) Put(ctx context.Context, key string, value []byte, expectedVersion Version) (Version, error) {
	if len(value) > maxValueBytes {
		return 0, fmt.Errorf("%w: the value has %d bytes, the limit is %d", ErrRefused, len(value), maxValueBytes)
	}
	response, err := c.call(ctx, callSpec{
		operation: "put", httpMethod: http.MethodPut, path: objectPath(key),
		value: value, header: versionCondition(expectedVersion), maxBodyBytes: maxValueBytes,
	})
	if err != nil {
		return 0, err
	}
	return parseVersion(response.header)
}

// Delete removes the object if it has the expected version, which cannot be 0.
func (c *Client) Delete(ctx context.Context, key string, expectedVersion Version) error {
	if expectedVersion == 0 {
		return fmt.Errorf("%w: a delete needs the expected version", ErrRefused)
	}
	_, err := c.call(ctx, callSpec{
		operation: "delete", httpMethod: http.MethodDelete, path: objectPath(key),
		header: versionCondition(expectedVersion), maxBodyBytes: maxValueBytes,
	})
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
	var list listBody
	if err := c.getJSON(ctx, "list", "/v1/objects?prefix="+url.QueryEscape(prefix), 0, &list); err != nil {
		return nil, 0, err
	}
	objects := make([]Object, 0, len(list.Objects))
	for _, item := range list.Objects {
		objects = append(objects, Object{Key: item.Key, Version: item.Version, Value: item.Value})
	}
	return objects, list.Revision, nil
}

// Watch waits for changes after the revision. It returns no changes if none occur
// within wait.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error) {
	query := url.Values{
		"prefix":     {prefix},
		"after":      {strconv.FormatUint(after, 10)},
		"timeout_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var list listBody
	if err := c.getJSON(ctx, "watch", "/v1/watch?"+query.Encode(), wait+watchGracePeriod, &list); err != nil {
		return nil, 0, err
	}
	changes := make([]Change, 0, len(list.Changes))
	for _, item := range list.Changes {
		object := Object{Key: item.Key, Version: item.Version, Value: item.Value}
		changes = append(changes, Change{Object: object, Deleted: item.Deleted})
	}
	return changes, list.Revision, nil
}

// Instances returns the platform's list of instances. Its length sets the instance's
// share of the call rates.
func (c *Client) Instances(ctx context.Context) ([]PlatformInstance, error) {
	var body struct {
		Instances []PlatformInstance `json:"instances"`
	}
	if err := c.getJSON(ctx, "instances", "/v1/instances", 0, &body); err != nil {
		return nil, err
	}
	c.limits.setFleetSize(len(body.Instances))
	return body.Instances, nil
}

func (c *Client) getJSON(ctx context.Context, name, path string, timeout time.Duration, into any) error {
	response, err := c.call(ctx, callSpec{
		operation: name, httpMethod: http.MethodGet, path: path, timeout: timeout, maxBodyBytes: maxResponseBytes,
	})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(response.body, into); err != nil {
		return fmt.Errorf("%w: decode response: %v", ErrUnknown, err)
	}
	return nil
}

// callSpec describes one call.
type callSpec struct {
	operation    string // method label of the call counter
	httpMethod   string
	path         string
	value        []byte
	header       http.Header
	timeout      time.Duration // 0 means that of the client
	maxBodyBytes int64         // limit on the body of the response
}

type callResponse struct {
	header http.Header
	body   []byte
}

// call sends a request within the rate limits and counts its result.
func (c *Client) call(ctx context.Context, spec callSpec) (callResponse, error) {
	result, err := c.limitAndSend(ctx, spec)
	c.callCounters.count(spec.operation, err)
	return result, err
}

// limitAndSend waits for the rate limit and sends a request with its timeout.
func (c *Client) limitAndSend(ctx context.Context, spec callSpec) (callResponse, error) {
	if err := c.limits.wait(ctx, spec.httpMethod != http.MethodGet); err != nil {
		return callResponse{}, err
	}
	if spec.timeout == 0 {
		spec.timeout = c.timeout
	}
	ctx, cancel := context.WithTimeout(ctx, spec.timeout)
	defer cancel()
	return c.send(ctx, spec)
}

// send sends a request without retries.
func (c *Client) send(ctx context.Context, spec callSpec) (callResponse, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := newRequest(ctx, c.base, spec)
	if err != nil {
		return callResponse{}, fmt.Errorf("%w: %v", ErrRefused, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return callResponse{}, transportError(err, connected.Load())
	}
	defer response.Body.Close()
	if err := statusError(response.StatusCode); err != nil {
		return callResponse{}, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, spec.maxBodyBytes+1))
	if err != nil {
		return callResponse{}, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	if int64(len(body)) > spec.maxBodyBytes {
		return callResponse{}, fmt.Errorf("%w: the response is larger than %d bytes", ErrUnknown, spec.maxBodyBytes)
	}
	return callResponse{header: response.Header, body: body}, nil
}

func newRequest(ctx context.Context, base string, spec callSpec) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, spec.httpMethod, base+spec.path, bytes.NewReader(spec.value))
	if err != nil {
		return nil, err
	}
	if spec.httpMethod != http.MethodGet {
		// Without GetBody the transport cannot send a write a second time, as it
		// otherwise does if a reused connection breaks.
		request.GetBody = nil
	}
	for name, values := range spec.header {
		request.Header[name] = values
	}
	return request, nil
}

// transportError returns ErrUnavailable for a request that never had a connection and
// so cannot have reached the store, and ErrUnknown for any other.
func transportError(err error, connected bool) error {
	if !connected {
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
	}
	if status >= 400 && status < 500 && status != http.StatusRequestTimeout {
		return fmt.Errorf("%w: status %d", ErrRefused, status)
	}
	return fmt.Errorf("%w: status %d", ErrUnknown, status)
}

func objectPath(key string) string {
	return "/v1/objects/" + (&url.URL{Path: key}).EscapedPath()
}

func versionCondition(expectedVersion Version) http.Header {
	if expectedVersion == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {strconv.FormatUint(uint64(expectedVersion), 10)}}
}

func parseVersion(header http.Header) (Version, error) {
	text := strings.Trim(header.Get("ETag"), `"`)
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: ETag %q is not a version", ErrUnknown, text)
	}
	return Version(version), nil
}
