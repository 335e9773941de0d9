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
	// probeTimeout bounds a probe over a new connection. A generation that waits
	// does not depend on it: it moves to another engine.
	probeTimeout = time.Second
	// pollTimeout bounds a poll; polls are not urgent.
	pollTimeout = 2 * time.Second
	// pollWorkers bounds the polls and probes that run at once.
	pollWorkers  = 16
	probeWorkers = 64
	// maxReportBytes bounds the body of a report.
	maxReportBytes = 1 << 20
)

// poller does the I/O towards engines. Its results go into the ring.
type poller struct {
	polls  *http.Client
	probes *http.Client
	post   func(event Event)
	group  sync.WaitGroup
	// pollSlots and probeSlots bound the goroutines. Probes have their own, so
	// that polls of slow engines cannot delay the return of a live one.
	pollSlots  chan struct{}
	probeSlots chan struct{}
}

func newPoller(client *http.Client, post func(Event)) *poller {
	if client == nil {
		client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}}
	}
	return &poller{
		polls:      client,
		probes:     &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		post:       post,
		pollSlots:  make(chan struct{}, pollWorkers),
		probeSlots: make(chan struct{}, probeWorkers),
	}
}

// start runs the work in a goroutine and reports false if too many run.
func (p *poller) start(slots chan struct{}, work func()) bool {
	select {
	case slots <- struct{}{}:
	default:
		return false
	}
	p.group.Add(1)
	go func() {
		defer p.group.Done()
		defer func() { <-slots }()
		work()
	}()
	return true
}

// close waits for the running work, whose context has ended.
func (p *poller) close() {
	p.group.Wait()
	p.probes.CloseIdleConnections()
	p.polls.CloseIdleConnections()
}

func (p *poller) probe(ctx context.Context, action StartProbe) bool {
	return p.start(p.probeSlots, func() {
		alive := p.answers(ctx, action.Endpoint)
		p.post(ProbeEnded{Endpoint: action.Endpoint.ID, ProbeID: action.ProbeID, Alive: alive})
	})
}

// answers checks the endpoint over a new connection.
func (p *poller) answers(ctx context.Context, endpoint api.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if endpoint.Kind == api.KindService {
		return p.connects(ctx, endpoint.Address)
	}
	body, err := get(ctx, p.probes, endpoint.Address, "/healthz", nil)
	return err == nil && body != nil
}

// connects is the check of a service, which need not offer a health check.
func (p *poller) connects(ctx context.Context, address string) bool {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

// loadBody is the part of the engine's load report that placement uses.
type loadBody struct {
	Running           int   `json:"running"`
	Waiting           int   `json:"waiting"`
	OutstandingTokens int   `json:"outstanding_tokens"`
	Draining          bool  `json:"draining"`
	AgeMS             int64 `json:"age_ms"`
}

func (p *poller) load(ctx context.Context, endpoint api.Endpoint) bool {
	return p.start(p.pollSlots, func() {
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		var report loadBody
		body, err := get(ctx, p.polls, endpoint.Address, "/v1/load", nil)
		if errors.Is(err, errAnswered) {
			// An engine without a report is alive.
			return
		}
		if err != nil {
			p.post(PollFailed{Endpoint: endpoint.ID})
			return
		}
		if err := json.Unmarshal(body, &report); err != nil {
			return
		}
		p.post(LoadReported{
			Endpoint: endpoint.ID,
			Running:  max(0, report.Running) + max(0, report.Waiting),
			Tokens:   max(0, report.OutstandingTokens),
			Draining: report.Draining,
			Age:      time.Duration(max(0, report.AgeMS)) * time.Millisecond,
		})
	})
}

// cacheBody is the answer to a poll for cache events.
type cacheBody struct {
	Events []struct {
		Seq   uint64 `json:"seq"`
		Kind  string `json:"kind"`
		Block string `json:"block"`
	} `json:"events"`
}

func (p *poller) cache(ctx context.Context, action PollCacheEvents) bool {
	return p.start(p.pollSlots, func() {
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		query := url.Values{"after": {strconv.FormatUint(action.AfterSequence, 10)}}
		answer, err := get(ctx, p.polls, action.Endpoint.Address, "/v1/cache/events", query)
		if err != nil {
			// Cache events are hints; the load poll judges the engine's health.
			return
		}
		var body cacheBody
		if err := json.Unmarshal(answer, &body); err != nil {
			return
		}
		p.post(CacheReported{Endpoint: action.Endpoint.ID, CacheEventsReported: body.events()})
	})
}

// events converts the events whose block is readable.
func (b cacheBody) events() []CacheEvent {
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

// errAnswered is the error of an answer that is not the one asked for.
var errAnswered = errors.New("unexpected answer")

// get returns the body of a 200.
func get(ctx context.Context, client *http.Client, address, path string, query url.Values) ([]byte, error) {
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", errAnswered, response.StatusCode)
	}
	return body, nil
}
