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
	// FleetWritesPerSecond and FleetReads are the calls a second of all instances
	// together; 0 is DefaultFleetWrites and DefaultFleetReads.
	FleetWritesPerSecond float64
	FleetReadsPerSecond  float64
	// FleetSize is the number of instances until the platform's list is read.
	FleetSize int
}

// Client calls the store over HTTP. It counts calls by method and result and
// keeps the instance within its share of the store's rates, which follows the
// length of the platform's list.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	budget  *budget
	counts  *callCounts
}

// New returns a client.
func New(o Options) (*Client, error) {
	base, err := url.Parse(o.URL)
	if err != nil || base.Host == "" {
		return nil, fmt.Errorf("store: %q is not an address", o.URL)
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
		budget: newBudget(o.FleetWritesPerSecond, o.FleetReadsPerSecond, o.FleetSize),
		counts: newCallCounts(o.Scope),
	}, nil
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	answer, err := c.call(ctx, callSpec{name: "get", method: http.MethodGet, path: objectPath(key), limit: maxValueBytes})
	if err != nil {
		return Object{}, err
	}
	version, err := parseVersion(answer.header)
	return Object{Key: key, Version: version, Value: answer.body}, err
}

// Put writes an object conditionally.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect Version) (Version, error) {
	if len(value) > maxValueBytes {
		return 0, fmt.Errorf("%w: the value has %d bytes, the limit is %d", ErrRefused, len(value), maxValueBytes)
	}
	answer, err := c.call(ctx, callSpec{
		name: "put", method: http.MethodPut, path: objectPath(key),
		value: value, header: condition(expect), limit: maxValueBytes,
	})
	if err != nil {
		return 0, err
	}
	return parseVersion(answer.header)
}

// Delete removes an object conditionally.
func (c *Client) Delete(ctx context.Context, key string, expect Version) error {
	if expect == 0 {
		return fmt.Errorf("%w: a delete needs the expected version", ErrRefused)
	}
	_, err := c.call(ctx, callSpec{
		name: "delete", method: http.MethodDelete, path: objectPath(key),
		header: condition(expect), limit: maxValueBytes,
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

// Watch waits for changes after the revision.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error) {
	query := url.Values{
		"prefix":     {prefix},
		"after":      {strconv.FormatUint(after, 10)},
		"timeout_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var list listBody
	if err := c.getJSON(ctx, "watch", "/v1/watch?"+query.Encode(), wait+watchSlack, &list); err != nil {
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
	var body struct {
		Instances []PlatformInstance `json:"instances"`
	}
	if err := c.getJSON(ctx, "instances", "/v1/instances", 0, &body); err != nil {
		return nil, err
	}
	c.budget.resize(len(body.Instances))
	return body.Instances, nil
}

func (c *Client) getJSON(ctx context.Context, name, path string, timeout time.Duration, into any) error {
	answer, err := c.call(ctx, callSpec{
		name: name, method: http.MethodGet, path: path, timeout: timeout, limit: maxResponseBytes,
	})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(answer.body, into); err != nil {
		return fmt.Errorf("%w: malformed answer: %v", ErrUnknown, err)
	}
	return nil
}

// callSpec describes one call.
type callSpec struct {
	name    string // for the counter
	method  string
	path    string
	value   []byte
	header  http.Header
	timeout time.Duration // 0: the client's
	limit   int64         // of the answer's body
}

type answer struct {
	header http.Header
	body   []byte
}

func (c *Client) call(ctx context.Context, spec callSpec) (answer, error) {
	result, err := c.attempt(ctx, spec)
	c.counts.count(spec.name, err)
	return result, err
}

func (c *Client) attempt(ctx context.Context, spec callSpec) (answer, error) {
	if err := c.budget.take(ctx, spec.method != http.MethodGet); err != nil {
		return answer{}, err
	}
	if spec.timeout == 0 {
		spec.timeout = c.timeout
	}
	ctx, cancel := context.WithTimeout(ctx, spec.timeout)
	defer cancel()
	return c.do(ctx, spec)
}

func (c *Client) do(ctx context.Context, spec callSpec) (answer, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := newRequest(ctx, c.base, spec)
	if err != nil {
		return answer{}, fmt.Errorf("%w: %v", ErrRefused, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, classify(err, connected.Load())
	}
	defer response.Body.Close()
	if err := statusError(response.StatusCode); err != nil {
		return answer{}, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, spec.limit+1))
	if err != nil {
		return answer{}, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	if int64(len(body)) > spec.limit {
		return answer{}, fmt.Errorf("%w: the answer is larger than %d bytes", ErrUnknown, spec.limit)
	}
	return answer{header: response.Header, body: body}, nil
}

func newRequest(ctx context.Context, base string, spec callSpec) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, spec.method, base+spec.path, bytes.NewReader(spec.value))
	if err != nil {
		return nil, err
	}
	if spec.method != http.MethodGet {
		// Without GetBody the transport cannot send a write a second time.
		request.GetBody = nil
	}
	for name, values := range spec.header {
		request.Header[name] = values
	}
	return request, nil
}

// classify tells a call that never had a connection, and so cannot have
// reached the store, from one whose outcome is open.
func classify(err error, connected bool) error {
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
