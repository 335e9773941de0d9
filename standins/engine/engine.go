// Package engine is a stand-in for an inference engine. It simulates continuous
// batching in a bounded number of slots, a prefix cache, streams that can be
// resumed and cancelled, and control commands.
package engine

import (
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// idlePollInterval is the time between two steps while no stream generates
	// tokens, and between two checks of Drain.
	idlePollInterval = 2 * time.Millisecond
	// loadReportInterval is the time between two load reports.
	loadReportInterval = 100 * time.Millisecond
)

// Model identifies the weights of a model.
type Model struct {
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
}

// Options configures an Engine.
type Options struct {
	// Slots is the maximum number of running streams, which form the batch.
	Slots int
	// MaxWaiting is the capacity of the queue. A request is refused when the
	// queue and all slots are full.
	MaxWaiting int
	// PrefillPerToken is the prefill time of each prompt token that isn't cached.
	PrefillPerToken time.Duration
	// TokenInterval is the duration of a step of a batch with one stream.
	TokenInterval time.Duration
	// BatchSlowdown is the fraction of TokenInterval by which each additional
	// stream of the batch lengthens a step.
	BatchSlowdown float64
	// CacheBlocks is the capacity of the prefix cache in blocks of BlockSizeBytes.
	CacheBlocks int
	// CacheEventDelay is the age at which a cache event becomes visible.
	CacheEventDelay time.Duration
	// CacheEventLossRate is the probability that a cache event is lost.
	CacheEventLossRate float64
	// LoadReportLag is the age at which a load report becomes visible.
	LoadReportLag time.Duration
	// WeightLoadTime is the duration of a load command.
	WeightLoadTime time.Duration
	// DisconnectTimeout is how long a stream is kept after its connection is lost.
	DisconnectTimeout time.Duration
	// ChecksFence makes the engine refuse control commands with a fencing token
	// lower than the highest received.
	ChecksFence bool
	// Models are loaded at the start.
	Models []Model
	// Role is the role at the start.
	Role string
	// PoisonText crashes the engine when a prompt contains it.
	PoisonText string
	// Seed seeds the choice of lost cache events.
	Seed uint64
	// Exit ends the process when a prompt contains PoisonText.
	Exit func()
}

// Stats has the counters since the engine's start and the current numbers of
// streams.
type Stats struct {
	TokensComputed  uint64 `json:"tokens_computed"`
	PrefillTokens   uint64 `json:"prefill_tokens"` // prompt and prefix tokens that were not cached
	StreamsStarted  uint64 `json:"streams_started"`
	StreamsResumed  uint64 `json:"streams_resumed"`
	Refused         uint64 `json:"refused"`
	LastStartUnixMS int64  `json:"last_start_unix_ms"` // when a stream last got a slot
	Running         int    `json:"running"`
	Waiting         int    `json:"waiting"`
}

// LoadReport is the body of GET /v1/load.
type LoadReport struct {
	Running           int     `json:"running"`
	Waiting           int     `json:"waiting"`
	Slots             int     `json:"slots"`
	OutstandingTokens int     `json:"outstanding_tokens"` // at most still to be generated for running and waiting streams
	CachedBlocks      int     `json:"cached_blocks"`
	Models            []Model `json:"models"`
	Role              string  `json:"role"`
	Draining          bool    `json:"draining"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS      int64 `json:"age_ms"`
	recordedAt time.Time
}

// Engine simulates an inference engine.
type Engine struct {
	options Options

	mu           sync.Mutex
	streams      map[string]*stream // by request ID; running, waiting and ended ones
	running      []*stream
	waiting      []*stream
	arrivalCount uint64
	cache        *prefixCache
	models       map[Model]bool
	role         string
	fencingToken uint64
	draining     bool
	stats        Stats
	loadReports  []LoadReport
	stop         chan struct{}
}

// New returns an engine. It processes requests while Run is running.
func New(o Options) *Engine {
	e := &Engine{
		options: o,
		streams: make(map[string]*stream),
		cache:   newPrefixCache(o),
		models:  make(map[Model]bool),
		role:    o.Role,
		stop:    make(chan struct{}),
	}
	for _, model := range o.Models {
		e.models[model] = true
	}
	return e
}

// Run processes the streams step by step until Stop is called.
func (e *Engine) Run() {
	next := time.Now()
	for {
		batch := e.step(time.Now())
		interval := idlePollInterval
		if batch > 0 {
			slowdown := 1 + e.options.BatchSlowdown*float64(batch-1)
			interval = time.Duration(float64(e.options.TokenInterval) * slowdown)
		}
		next = next.Add(interval)
		if lag := time.Since(next); lag > interval {
			// A process that was paused continues at its normal pace; it doesn't
			// catch up on the missed steps.
			next = time.Now()
		}
		select {
		case <-e.stop:
			return
		case <-time.After(time.Until(next)):
		}
	}
}

// Stop makes Run return.
func (e *Engine) Stop() { close(e.stop) }

// step assigns free slots, computes one token for each stream that has completed
// its prefill, and returns the number of these streams.
func (e *Engine) step(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireStreams(now)
	e.startWaitingStreams(now)
	batch := 0
	for _, s := range e.running {
		if !s.prefillEnd.After(now) {
			s.computeToken()
			batch++
			e.stats.TokensComputed++
		}
	}
	e.recordLoad(now)
	return batch
}

// expireStreams deletes the streams that have been without a connection for longer
// than DisconnectTimeout and cancels those that have not ended. It also removes
// ended streams from the batch and the queue.
func (e *Engine) expireStreams(now time.Time) {
	for id, s := range e.streams {
		if !s.connected && now.Sub(s.disconnectedAt) > e.options.DisconnectTimeout {
			if !s.ended {
				s.end("cancelled")
			}
			delete(e.streams, id)
		}
	}
	e.running = withoutEnded(e.running)
	e.waiting = withoutEnded(e.waiting)
}

func withoutEnded(streams []*stream) []*stream {
	kept := streams[:0]
	for _, s := range streams {
		if !s.ended {
			kept = append(kept, s)
		}
	}
	return kept
}

// startWaitingStreams moves waiting streams into free slots, in the order of
// priority and then of arrival.
func (e *Engine) startWaitingStreams(now time.Time) {
	sort.SliceStable(e.waiting, func(i, j int) bool {
		a, b := e.waiting[i], e.waiting[j]
		if a.request.Priority != b.request.Priority {
			return a.request.Priority < b.request.Priority
		}
		return a.arrivalNumber < b.arrivalNumber
	})
	for len(e.waiting) > 0 && len(e.running) < e.options.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.startStream(now, s)
	}
}

// startStream gives a stream a slot and starts its prefill. A prompt with the
// poison text crashes the engine.
func (e *Engine) startStream(now time.Time, s *stream) {
	if e.options.PoisonText != "" && strings.Contains(s.request.Prompt, e.options.PoisonText) {
		e.options.Exit()
	}
	promptBytes := len(s.request.Prompt)
	cachedBytes := min(promptBytes, e.cache.lookUpAndStore(now, BlockHashes(s.request))*BlockSizeBytes)
	prefillTokens := promptTokenCount(promptBytes-cachedBytes) + s.firstPosition
	e.stats.PrefillTokens += uint64(prefillTokens)
	e.stats.StreamsStarted++
	e.stats.LastStartUnixMS = now.UnixMilli()
	s.prefillEnd = now.Add(time.Duration(prefillTokens) * e.options.PrefillPerToken)
	e.running = append(e.running, s)
}

// recordLoad appends a load report, which becomes visible after LoadReportLag.
func (e *Engine) recordLoad(now time.Time) {
	if n := len(e.loadReports); n > 0 && now.Sub(e.loadReports[n-1].recordedAt) < loadReportInterval {
		return
	}
	report := LoadReport{
		Running: len(e.running), Waiting: len(e.waiting), Slots: e.options.Slots,
		CachedBlocks: len(e.cache.blocks), Models: e.loadedModels(), Role: e.role, Draining: e.draining, recordedAt: now,
	}
	for _, s := range append(append([]*stream(nil), e.running...), e.waiting...) {
		report.OutstandingTokens += s.request.MaxTokens - s.nextPosition()
	}
	e.loadReports = append(e.loadReports, report)
	for len(e.loadReports) > 1 && now.Sub(e.loadReports[1].recordedAt) >= e.options.LoadReportLag {
		e.loadReports = e.loadReports[1:]
	}
}

func (e *Engine) loadedModels() []Model {
	models := make([]Model, 0, len(e.models))
	for model := range e.models {
		models = append(models, model)
	}
	sort.Slice(models, func(i, j int) bool {
		a, b := models[i], models[j]
		return a.Model+"\x00"+a.Version+"\x00"+a.Adapter < b.Model+"\x00"+b.Version+"\x00"+b.Adapter
	})
	return models
}

// Drain refuses new requests and returns when every stream has ended and no
// connection is open. A stream that has lost its connection ends after
// DisconnectTimeout at the latest.
func (e *Engine) Drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	for !e.idle() {
		time.Sleep(idlePollInterval)
	}
}

// idle reports whether every stream has ended and has no open connection.
func (e *Engine) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		if s.connected || !s.ended {
			return false
		}
	}
	return true
}
