package world

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/internal/wait"
)

// EngineParameters are the capacity and the speed of an engine.
type EngineParameters struct {
	// Slots is the number of generations that run at the same time, QueueLength
	// the number of requests that can wait for a slot.
	Slots       int
	QueueLength int
	// CapacityTokens is the KV cache capacity for running generations, backups
	// and cached prompts.
	CapacityTokens int
	// StepTime is the time for one token of every running generation without
	// prefill.
	StepTime time.Duration
	// PrefillTokensPerMS is the number of prompt tokens that are processed in a
	// millisecond, PrefillChunkTokens the most that one step processes.
	PrefillTokensPerMS int
	PrefillChunkTokens int
}

// FastEngine is fast enough that a short test runs many requests.
var FastEngine = EngineParameters{Slots: 16, QueueLength: 16, CapacityTokens: 88000, StepTime: 2500 * time.Microsecond, PrefillTokensPerMS: 8, PrefillChunkTokens: 200}

const (
	// idlePollInterval is the time between two checks for new requests while no
	// generation runs.
	idlePollInterval = 2 * time.Millisecond
	// uncachedTailTokens is the number of tokens at the end of a cached prompt
	// that are processed again.
	uncachedTailTokens = 16
)

// generation is a request in a batch, waiting or running.
type generation struct {
	attemptID        string
	partID           string // identifier of the last part of the prompt
	lastEvent        int    // last event that the caller received
	promptTokens     int
	prefillRemaining int // prompt tokens that were not processed yet
	outputTokens     int // produced so far, with those of an earlier attempt
	maxOutputTokens  int
	events           chan int // event numbers; closed after the last event or a crash
	backupAddress    string
	lastBackupAt     time.Time
}

func (g *generation) kvTokens() int { return g.promptTokens - g.prefillRemaining + g.outputTokens }

// batch runs the generations of one incarnation of an engine.
type batch struct {
	parameters    EngineParameters
	backups       *Backups
	engineAddress func() string // the address under which backups are stored

	mu            sync.Mutex
	waiting       []*generation
	running       []*generation
	cachedPrompts []cachedPrompt // least recently used first
}

// cachedPrompt is a prompt whose KV cache stays until its memory is needed.
type cachedPrompt struct {
	partID string
	tokens int
}

// add queues a generation. It returns false if the engine is full.
func (b *batch) add(g *generation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) >= b.parameters.QueueLength+b.parameters.Slots-len(b.running) {
		return false
	}
	for _, cached := range b.cachedPrompts {
		if cached.partID == g.partID && cached.tokens >= g.promptTokens {
			g.prefillRemaining = min(g.prefillRemaining, uncachedTailTokens)
		}
	}
	b.waiting = append(b.waiting, g)
	return true
}

// remove removes a generation whose request has ended. If it was running, the
// processed part of its prompt stays cached.
func (b *batch) remove(g *generation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = slices.DeleteFunc(b.waiting, func(other *generation) bool { return other == g })
	before := len(b.running)
	b.running = slices.DeleteFunc(b.running, func(other *generation) bool { return other == g })
	if len(b.running) < before {
		b.cachePrompt(g)
	}
}

func (b *batch) cachePrompt(g *generation) {
	b.cachedPrompts = slices.DeleteFunc(b.cachedPrompts, func(cached cachedPrompt) bool { return cached.partID == g.partID })
	b.cachedPrompts = append(b.cachedPrompts, cachedPrompt{g.partID, g.promptTokens - g.prefillRemaining})
}

// run executes steps until the context ends. It then closes the event channels
// of all generations.
func (b *batch) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, b.step())
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, g := range b.running {
		close(g.events)
	}
	for _, g := range b.waiting {
		close(g.events)
	}
	b.running, b.waiting = nil, nil
}

// step produces one token for every running generation whose prompt is processed,
// and processes one chunk of one other prompt. It returns how long the step takes;
// run waits for that time afterwards.
func (b *batch) step() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startWaiting()
	if len(b.running) == 0 {
		return idlePollInterval
	}
	duration := b.parameters.StepTime
	prefilled := false
	unfinished := b.running[:0]
	for _, g := range b.running {
		switch {
		case g.prefillRemaining > 0 && !prefilled:
			prefilled = true
			chunk := min(b.parameters.PrefillChunkTokens, g.prefillRemaining)
			g.prefillRemaining -= chunk
			duration += time.Duration(chunk) * time.Millisecond / time.Duration(b.parameters.PrefillTokensPerMS)
		case g.prefillRemaining == 0:
			b.produceToken(g)
		}
		if g.outputTokens < g.maxOutputTokens {
			unfinished = append(unfinished, g)
			continue
		}
		close(g.events)
		b.cachePrompt(g)
		b.backups.remove(g.backupAddress, g.attemptID)
	}
	b.running = unfinished
	return duration
}

// produceToken adds a token to a generation. It emits an event after every
// tokensPerEvent tokens and updates the backup every backupInterval.
func (b *batch) produceToken(g *generation) {
	g.outputTokens++
	if g.outputTokens%tokensPerEvent != 0 {
		return
	}
	g.events <- g.outputTokens / tokensPerEvent
	if g.backupAddress != "" && time.Since(g.lastBackupAt) > backupInterval {
		g.lastBackupAt = time.Now()
		b.backups.put(g.backupAddress, g.attemptID, g.kvTokens())
	}
}

// startWaiting starts waiting generations while there are slots and memory. It then
// evicts the cached prompts that no longer fit, unless a generation still waits for
// memory.
func (b *batch) startWaiting() {
	for len(b.waiting) > 0 && len(b.running) < b.parameters.Slots {
		neededTokens := b.waiting[0].promptTokens + b.waiting[0].maxOutputTokens
		if b.reservedTokens()+neededTokens > b.parameters.CapacityTokens {
			return
		}
		b.running = append(b.running, b.waiting[0])
		b.waiting = b.waiting[1:]
	}
	freeTokens := b.parameters.CapacityTokens - b.reservedTokens()
	total := 0
	for i := len(b.cachedPrompts) - 1; i >= 0; i-- {
		if total += b.cachedPrompts[i].tokens; total > freeTokens {
			b.cachedPrompts = slices.Clone(b.cachedPrompts[i+1:])
			return
		}
	}
}

// reservedTokens returns the memory that can't be evicted: that of backups, and that
// of running generations at their maximum output.
func (b *batch) reservedTokens() int {
	total := b.backups.usedTokens(b.engineAddress())
	for _, g := range b.running {
		total += g.promptTokens + g.maxOutputTokens
	}
	return total
}

// engineReport is the body of /api/report.
type engineReport struct {
	Phase         string           `json:"phase"`
	Models        []map[string]any `json:"models"`
	Queued        int              `json:"queued"`
	Running       int              `json:"active"`
	KVUsedTokens  int              `json:"kv-used"`
	KVTotalTokens int              `json:"kv-total"`
	Handles       int              `json:"handles"`
	Runs          [][]any          `json:"runs"`
	StartedAtMS   int64            `json:"born"`
}

func (b *batch) report(startedAtMS int64) engineReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := engineReport{
		Phase: "prefill_decode", Models: []map[string]any{{"name": "m", "version": 1}},
		Queued: len(b.waiting), Running: len(b.running), KVUsedTokens: b.reservedTokens(), KVTotalTokens: b.parameters.CapacityTokens, Runs: [][]any{}, StartedAtMS: startedAtMS,
	}
	for _, g := range b.running {
		if g.outputTokens > 0 {
			// Attempt ID, tokens in the KV cache, last event and a constant.
			report.Runs = append(report.Runs, []any{g.attemptID, g.kvTokens(), g.outputTokens / tokensPerEvent, 5})
		}
	}
	return report
}

// listCachedPrompts returns the cached prompts as /api/kv-list reports them: for
// each an empty string, the identifier of the last part, the tokens and the model.
func (b *batch) listCachedPrompts() [][]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := [][]any{}
	for _, cached := range b.cachedPrompts {
		list = append(list, []any{"", cached.partID, cached.tokens, "m"})
	}
	return list
}
