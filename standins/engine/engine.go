// Package engine is a stand-in of a model engine: continuous batching in a
// bounded number of slots, a prefix cache, streams that can be resumed and
// cancelled, and control commands.
package engine

import (
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// idlePoll is how often an engine without running streams looks for work.
	idlePoll = 2 * time.Millisecond
	// loadInterval is how often the load report is taken.
	loadInterval = 100 * time.Millisecond
)

// Model names weights that are loaded.
type Model struct {
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
}

// Options configures an Engine.
type Options struct {
	Slots int
	// MaxWaiting bounds the queue; a request beyond it is refused.
	MaxWaiting int
	// PrefillPerToken is the time for each prompt token that is not cached.
	PrefillPerToken time.Duration
	// TokenInterval is the time of one step of a batch of one.
	TokenInterval time.Duration
	// BatchSlowdown is the part of TokenInterval that each further stream of
	// the batch adds to a step.
	BatchSlowdown      float64
	CacheBlocks        int
	CacheEventDelay    time.Duration
	CacheEventLossRate float64
	LoadReportLag      time.Duration
	// WeightLoadTime is the time that a load command takes.
	WeightLoadTime time.Duration
	// DisconnectTimeout is how long a stream is kept after its connection broke.
	DisconnectTimeout time.Duration
	ChecksFence       bool
	Models            []Model
	Role              string
	// PoisonText is the text of a prompt that ends the process.
	PoisonText string
	Seed       uint64
	// Exit ends the process at a poison prompt.
	Exit func()
}

// Stats counts the engine's work since its start.
type Stats struct {
	TokensComputed  uint64 `json:"tokens_computed"`
	PrefillTokens   uint64 `json:"prefill_tokens"`
	StreamsStarted  uint64 `json:"streams_started"`
	StreamsResumed  uint64 `json:"streams_resumed"`
	Refused         uint64 `json:"refused"`
	LastStartUnixMS int64  `json:"last_start_unix_ms"`
	Running         int    `json:"running"`
	Waiting         int    `json:"waiting"`
}

// LoadReport is the load report.
type LoadReport struct {
	Running           int     `json:"running"`
	Waiting           int     `json:"waiting"`
	Slots             int     `json:"slots"`
	OutstandingTokens int     `json:"outstanding_tokens"`
	CachedBlocks      int     `json:"cached_blocks"`
	Models            []Model `json:"models"`
	Role              string  `json:"role"`
	Draining          bool    `json:"draining"`
	// AgeMS is how old the report is.
	AgeMS int64 `json:"age_ms"`
	at    time.Time
}

// Engine is the stand-in.
type Engine struct {
	options Options

	mu       sync.Mutex
	streams  map[string]*stream
	running  []*stream
	waiting  []*stream
	arrivals uint64
	cache    *prefixCache
	models   map[Model]bool
	role     string
	fence    uint64
	draining bool
	stats    Stats
	reports  []LoadReport
	stop     chan struct{}
}

// New returns an engine. Run drives it.
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

// Run computes until Stop.
func (e *Engine) Run() {
	next := time.Now()
	for {
		batch := e.step(time.Now())
		interval := idlePoll
		if batch > 0 {
			slowdown := 1 + e.options.BatchSlowdown*float64(batch-1)
			interval = time.Duration(float64(e.options.TokenInterval) * slowdown)
		}
		next = next.Add(interval)
		if behind := time.Since(next); behind > interval {
			// After a pause the engine goes on at its pace and doesn't catch up.
			next = time.Now()
		}
		select {
		case <-e.stop:
			return
		case <-time.After(time.Until(next)):
		}
	}
}

// Stop ends Run.
func (e *Engine) Stop() { close(e.stop) }

// step fills free slots, computes one token for each stream whose prefill has
// ended, and returns how many there were.
func (e *Engine) step(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(now)
	e.fill(now)
	batch := 0
	for _, s := range e.running {
		if !s.readyAt.After(now) {
			s.step()
			batch++
			e.stats.TokensComputed++
		}
	}
	e.report(now)
	return batch
}

// expire forgets streams whose connection broke too long ago, and takes ended
// streams out of the batch.
func (e *Engine) expire(now time.Time) {
	for id, s := range e.streams {
		if !s.open && now.Sub(s.lostAt) > e.options.DisconnectTimeout {
			if !s.ended {
				s.end("cancelled")
			}
			delete(e.streams, id)
		}
	}
	e.running = keepUnended(e.running)
	e.waiting = keepUnended(e.waiting)
}

func keepUnended(streams []*stream) []*stream {
	kept := streams[:0]
	for _, s := range streams {
		if !s.ended {
			kept = append(kept, s)
		}
	}
	return kept
}

// fill moves waiting streams into free slots by priority, then by arrival.
func (e *Engine) fill(now time.Time) {
	sort.SliceStable(e.waiting, func(i, j int) bool {
		a, b := e.waiting[i], e.waiting[j]
		if a.request.Priority != b.request.Priority {
			return a.request.Priority < b.request.Priority
		}
		return a.arrived < b.arrived
	})
	for len(e.waiting) > 0 && len(e.running) < e.options.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(now, s)
	}
}

func (e *Engine) start(now time.Time, s *stream) {
	if e.options.PoisonText != "" && strings.Contains(s.request.Prompt, e.options.PoisonText) {
		e.options.Exit()
	}
	prompt := len(s.request.Prompt)
	cached := min(prompt, e.cache.use(now, BlockHashes(s.request))*BlockSizeBytes)
	prefill := promptTokens(prompt-cached) + s.first
	e.stats.PrefillTokens += uint64(prefill)
	e.stats.StreamsStarted++
	e.stats.LastStartUnixMS = now.UnixMilli()
	s.readyAt = now.Add(time.Duration(prefill) * e.options.PrefillPerToken)
	e.running = append(e.running, s)
}

// report takes the load report, which is shown LoadReportLag later.
func (e *Engine) report(now time.Time) {
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].at) < loadInterval {
		return
	}
	report := LoadReport{
		Running: len(e.running), Waiting: len(e.waiting), Slots: e.options.Slots,
		CachedBlocks: len(e.cache.blocks), Models: e.loaded(), Role: e.role, Draining: e.draining, at: now,
	}
	for _, s := range append(append([]*stream(nil), e.running...), e.waiting...) {
		report.OutstandingTokens += s.request.MaxTokens - s.position()
	}
	e.reports = append(e.reports, report)
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.options.LoadReportLag {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) loaded() []Model {
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

// Drain refuses new requests and returns when every stream has ended and its
// connection has taken the rest, or was gone for DisconnectTimeout.
func (e *Engine) Drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	for !e.idle() {
		time.Sleep(idlePoll)
	}
}

// idle reports whether no stream is unfinished or still being sent.
func (e *Engine) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		if s.open || !s.ended {
			return false
		}
	}
	return true
}
