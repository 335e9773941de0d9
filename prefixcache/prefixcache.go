// Package prefixcache finds the engines that still hold the prompt of a
// session, by asking the engines themselves. It is used when a caller returns
// with a stream that another instance or an earlier lifetime of this one served:
// an engine that holds the prompt continues at once, any other reads it again.
package prefixcache

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

const (
	// freshness is how long a list is used again. Listing delays an engine, and
	// callers return in a wave after the loss of an instance.
	freshness = 1500 * time.Millisecond
	// listTimeout bounds one list. A round trip between regions takes 16 ms.
	listTimeout = 150 * time.Millisecond
	// leastTokens is the size below which reading a part again costs less than
	// leaving the least loaded engine.
	leastTokens = 512
	// maxSessions bounds the parts that are remembered for one service.
	maxSessions = 16384
)

// Part is a part of a prompt that an engine holds.
type Part struct {
	ID     string
	Tokens int
}

// Lister asks an engine for the parts that it holds.
type Lister interface {
	HeldParts(ctx context.Context, address string) ([]Part, error)
}

// Options configures an Index.
type Options struct {
	Lister Lister
	// Engines returns the engines of a service that take new work.
	Engines func(service string) []registry.Endpoint
	Clock   bootclock.Func
	Log     *slog.Logger
	Scope   tally.Scope
}

// Holder is an engine that holds a part.
type Holder struct {
	Endpoint api.EndpointID
	Tokens   int
}

// Index remembers which engines hold which parts. It is safe for concurrent
// use.
type Index struct {
	o        Options
	mu       sync.Mutex
	services map[string]*snapshot
}

// snapshot is the result of asking all engines of a service.
type snapshot struct {
	done    chan struct{}
	at      time.Duration
	holders map[string][]Holder
}

// New returns an empty index.
func New(o Options) *Index { return &Index{o: o, services: make(map[string]*snapshot)} }

// Find returns the engines of the service that hold the part, those with the
// most tokens first. It waits for at most one round of lists.
func (i *Index) Find(ctx context.Context, service, part string) []Holder {
	s := i.current(service)
	select {
	case <-s.done:
		return s.holders[part]
	case <-ctx.Done():
		return nil
	}
}

// current returns the latest snapshot and starts a new one if it is old.
func (i *Index) current(service string) *snapshot {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.o.Clock()
	if s, ok := i.services[service]; ok && now-s.at < freshness {
		return s
	}
	s := &snapshot{done: make(chan struct{}), at: now}
	i.services[service] = s
	go i.refresh(s, service)
	return s
}

func (i *Index) refresh(s *snapshot, service string) {
	defer close(s.done)
	engines := i.o.Engines(service)
	lists := make([][]Part, len(engines))
	var group sync.WaitGroup
	for n, engine := range engines {
		group.Go(func() { lists[n] = i.list(engine) })
	}
	group.Wait()
	s.holders = index(engines, lists)
	i.o.Log.Info("held prompts listed", "service", service, "engines", len(engines), "parts", len(s.holders),
		"took_ms", (i.o.Clock() - s.at).Milliseconds())
}

func (i *Index) list(engine registry.Endpoint) []Part {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	i.o.Scope.Counter("lists").Inc(1)
	parts, err := i.o.Lister.HeldParts(ctx, engine.Address)
	if err != nil {
		i.o.Scope.Counter("list_errors").Inc(1)
		i.o.Log.Info("held prompts not listed", "endpoint", engine.ID, "error", err)
	}
	return parts
}

// index inverts the lists of the engines.
func index(engines []registry.Endpoint, lists [][]Part) map[string][]Holder {
	holders := make(map[string][]Holder)
	for n, parts := range lists {
		for _, part := range parts {
			if part.Tokens < leastTokens || (len(holders) >= maxSessions && holders[part.ID] == nil) {
				continue
			}
			holders[part.ID] = append(holders[part.ID], Holder{Endpoint: engines[n].ID, Tokens: part.Tokens})
		}
	}
	for _, list := range holders {
		slices.SortStableFunc(list, func(a, b Holder) int { return cmp.Compare(b.Tokens, a.Tokens) })
	}
	return holders
}
