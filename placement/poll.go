package placement

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// probeTimeout limits a probe over a new connection. It delays no generation,
	// since generations of a suspected engine continue on another one.
	probeTimeout = time.Second
	// pollTimeout limits a poll. It is longer because polls are not urgent.
	pollTimeout = 2 * time.Second

	maxConcurrentPolls  = 16
	maxConcurrentProbes = 64

	maxResponseBytes = 1 << 20
)

// poller probes endpoints and polls engines. It posts the results as events.
type poller struct {
	pollClient  *http.Client
	probeClient *http.Client
	postEvent   func(event Event)
	running     sync.WaitGroup
	// The semaphores limit the goroutines. Probes have their own, so that polls of
	// slow engines cannot delay the recovery of an engine that is alive.
	pollSemaphore  chan struct{}
	probeSemaphore chan struct{}
}

func newPoller(client *http.Client, postEvent func(Event)) *poller {
	if client == nil {
		client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}}
	}
	return &poller{
		pollClient:     client,
		probeClient:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		postEvent:      postEvent,
		pollSemaphore:  make(chan struct{}, maxConcurrentPolls),
		probeSemaphore: make(chan struct{}, maxConcurrentProbes),
	}
}

// tryStart runs the work in a goroutine. It returns false if the semaphore is full.
func (p *poller) tryStart(semaphore chan struct{}, work func()) bool {
	select {
	case semaphore <- struct{}{}:
	default:
		return false
	}
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		defer func() { <-semaphore }()
		work()
	}()
	return true
}

// close waits for the running probes and polls, whose context must have ended.
func (p *poller) close() {
	p.running.Wait()
	p.probeClient.CloseIdleConnections()
	p.pollClient.CloseIdleConnections()
}

func (p *poller) startProbe(ctx context.Context, action StartProbe) bool {
	return p.tryStart(p.probeSemaphore, func() {
		alive := p.isHealthy(ctx, action.Endpoint)
		p.postEvent(ProbeEnded{Endpoint: action.Endpoint.ID, ProbeID: action.ProbeID, Alive: alive})
	})
}

// isHealthy probes the endpoint over a new connection: a service by connecting, an
// engine by its health check.
func (p *poller) isHealthy(ctx context.Context, endpoint api.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if endpoint.Kind == api.KindService {
		return p.canConnect(ctx, endpoint.Address)
	}
	body, err := fetch(ctx, p.probeClient, endpoint.Address, "/healthz", nil)
	return err == nil && body != nil
}

// canConnect is the probe of a service, which need not offer a health check.
func (p *poller) canConnect(ctx context.Context, address string) bool {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

// loadReportBody has the fields of an engine's load report that placement uses.
type loadReportBody struct {
	Running           int   `json:"running"`
	Waiting           int   `json:"waiting"`
	OutstandingTokens int   `json:"outstanding_tokens"`
	Draining          bool  `json:"draining"`
	AgeMS             int64 `json:"age_ms"`
}

func (p *poller) startLoadPoll(ctx context.Context, endpoint api.Endpoint) bool {
	return p.tryStart(p.pollSemaphore, func() {
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		var report loadReportBody
		body, err := fetch(ctx, p.pollClient, endpoint.Address, "/v1/load", nil)
		if errors.Is(err, errUnexpectedStatus) {
			// An engine that responds is alive, even without a report.
			return
		}
		if err != nil {
			p.postEvent(PollFailed{Endpoint: endpoint.ID})
			return
		}
		if err := json.Unmarshal(body, &report); err != nil {
			return
		}
		p.postEvent(LoadReported{
			Endpoint:          endpoint.ID,
			Running:           max(0, report.Running) + max(0, report.Waiting),
			OutstandingTokens: max(0, report.OutstandingTokens),
			Draining:          report.Draining,
			Age:               time.Duration(max(0, report.AgeMS)) * time.Millisecond,
		})
	})
}

// cacheEventsBody is the response to a poll for cache events.
type cacheEventsBody struct {
	Events []struct {
		Seq   uint64 `json:"seq"`
		Kind  string `json:"kind"`
		Block string `json:"block"`
	} `json:"events"`
}

func (p *poller) startCachePoll(ctx context.Context, action PollCacheEvents) bool {
	return p.tryStart(p.pollSemaphore, func() {
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		query := url.Values{"after": {strconv.FormatUint(action.AfterSequence, 10)}}
		response, err := fetch(ctx, p.pollClient, action.Endpoint.Address, "/v1/cache/events", query)
		if err != nil {
			// Cache events are only hints. Load polls detect failed engines.
			return
		}
		var body cacheEventsBody
		if err := json.Unmarshal(response, &body); err != nil {
			return
		}
		p.postEvent(CacheEventsReported{Endpoint: action.Endpoint.ID, Events: body.events()})
	})
}

// events converts the events and skips those whose block is not a hexadecimal
// number.
func (b cacheEventsBody) events() []CacheEvent {
	events := make([]CacheEvent, 0, len(b.Events))
	for _, event := range b.Events {
		block, err := strconv.ParseUint(event.Block, 16, 64)
		if err != nil {
			continue
		}
		events = append(events, CacheEvent{Sequence: event.Seq, Block: block, Evicted: event.Kind == "evicted"})
	}
	return events
}

// errUnexpectedStatus is the error of a response with a status other than 200.
var errUnexpectedStatus = errors.New("unexpected HTTP status")

// fetch sends a GET request and returns the body of a response with status 200.
func fetch(ctx context.Context, client *http.Client, address, path string, query url.Values) ([]byte, error) {
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w %d", errUnexpectedStatus, response.StatusCode)
	}
	return body, nil
}
