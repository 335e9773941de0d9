package world

import (
	"context"
	"slices"
	"sync"
	"time"
)

// EngineModel says how an engine works.
type EngineModel struct {
	// Slots is the number of runs that make tokens side by side, Queue that of
	// requests that wait for them.
	Slots int
	Queue int
	// Capacity is the memory in tokens, of runs, copies and kept prompts.
	Capacity int
	// Step is the time of one token of every run, if no prompt is read.
	Step time.Duration
	// ReadPerMS is the number of prompt tokens that are read in a millisecond,
	// Chunk that within one step.
	ReadPerMS int
	Chunk     int
}

// FastEngine is an engine that answers quickly, so that a short test sees many
// requests.
var FastEngine = EngineModel{Slots: 16, Queue: 16, Capacity: 88000, Step: 2500 * time.Microsecond, ReadPerMS: 8, Chunk: 200}

const (
	// idlePause is how often an engine without work looks for some.
	idlePause = 2 * time.Millisecond
	// heldRest is the part of a held prompt that is read again.
	heldRest = 16
)

// generation is a run of a batch.
type generation struct {
	id      string
	part    string // last part of the prompt
	after   int    // last event that the caller has
	prompt  int
	unread  int // prompt tokens
	made    int // output tokens
	output  int
	events  chan int // number of each event, closed at the end
	copyTo  string
	lastPut time.Time
}

func (g *generation) tokens() int { return g.prompt - g.unread + g.made }

// batch makes the tokens of an engine's runs. One lifetime of an engine has one.
type batch struct {
	model  EngineModel
	copies *Copies
	self   func() string // the engine's address, by which copies name it

	mu      sync.Mutex
	waiting []*generation
	running []*generation
	kept    []keptPart // oldest first
}

// keptPart is a prompt that stays in the memory until others need it.
type keptPart struct {
	id     string
	tokens int
}

// add takes a run, or reports that the engine is full.
func (b *batch) add(g *generation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) >= b.model.Queue+b.model.Slots-len(b.running) {
		return false
	}
	for _, part := range b.kept {
		if part.id == g.part && part.tokens >= g.prompt {
			g.unread = min(g.unread, heldRest)
		}
	}
	b.waiting = append(b.waiting, g)
	return true
}

// remove ends a run whose caller has left, and keeps what it has read.
func (b *batch) remove(g *generation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = slices.DeleteFunc(b.waiting, func(other *generation) bool { return other == g })
	before := len(b.running)
	b.running = slices.DeleteFunc(b.running, func(other *generation) bool { return other == g })
	if len(b.running) < before {
		b.keep(g)
	}
}

func (b *batch) keep(g *generation) {
	b.kept = slices.DeleteFunc(b.kept, func(part keptPart) bool { return part.id == g.part })
	b.kept = append(b.kept, keptPart{g.part, g.prompt - g.unread})
}

// run makes tokens until the context ends.
func (b *batch) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, b.step())
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

// step makes one token of every run and reads one chunk of one prompt. It
// returns the time that this takes.
func (b *batch) step() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.admit()
	if len(b.running) == 0 {
		return idlePause
	}
	took := b.model.Step
	reading := false
	left := b.running[:0]
	for _, g := range b.running {
		switch {
		case g.unread > 0 && !reading:
			reading = true
			read := min(b.model.Chunk, g.unread)
			g.unread -= read
			took += time.Duration(read) * time.Millisecond / time.Duration(b.model.ReadPerMS)
		case g.unread == 0:
			b.token(g)
		}
		if g.made < g.output {
			left = append(left, g)
			continue
		}
		close(g.events)
		b.keep(g)
		b.copies.take(g.copyTo, g.id)
	}
	b.running = left
	return took
}

func (b *batch) token(g *generation) {
	g.made++
	if g.made%tokensPerEvent != 0 {
		return
	}
	g.events <- g.made / tokensPerEvent
	if g.copyTo != "" && time.Since(g.lastPut) > copyInterval {
		g.lastPut = time.Now()
		b.copies.put(g.copyTo, g.id, g.tokens())
	}
}

// admit lets waiting runs begin while there are slots and memory. Kept prompts
// yield.
func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.model.Slots {
		need := b.waiting[0].prompt + b.waiting[0].output
		if b.used()+need > b.model.Capacity {
			return
		}
		b.running = append(b.running, b.waiting[0])
		b.waiting = b.waiting[1:]
	}
	room := b.model.Capacity - b.used()
	total := 0
	for i := len(b.kept) - 1; i >= 0; i-- {
		if total += b.kept[i].tokens; total > room {
			b.kept = slices.Clone(b.kept[i+1:])
			return
		}
	}
}

// used is the memory that cannot yield.
func (b *batch) used() int {
	total := b.copies.tokens(b.self())
	for _, g := range b.running {
		total += g.prompt + g.output
	}
	return total
}

// engineReport is what an engine says of itself.
type engineReport struct {
	Phase   string           `json:"phase"`
	Models  []map[string]any `json:"models"`
	Queued  int              `json:"queued"`
	Active  int              `json:"active"`
	KVUsed  int              `json:"kv-used"`
	KVTotal int              `json:"kv-total"`
	Handles int              `json:"handles"`
	Runs    [][]any          `json:"runs"`
	Born    int64            `json:"born"`
}

func (b *batch) report(born int64) engineReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := engineReport{
		Phase: "prefill_decode", Models: []map[string]any{{"name": "m", "version": 1}},
		Queued: len(b.waiting), Active: len(b.running), KVUsed: b.used(), KVTotal: b.model.Capacity, Runs: [][]any{}, Born: born,
	}
	for _, g := range b.running {
		if g.made > 0 {
			report.Runs = append(report.Runs, []any{g.id, g.tokens(), g.made / tokensPerEvent, 5})
		}
	}
	return report
}

// held lists the prompts that the engine keeps.
func (b *batch) held() [][]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := [][]any{}
	for _, part := range b.kept {
		list = append(list, []any{"", part.id, part.tokens, "m"})
	}
	return list
}
