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

// PromptPart is a part of a prompt that an engine holds.
type PromptPart struct {
	ID     string
	Tokens int
}

// PartLister asks an engine for the parts that it holds.
type PartLister interface {
	ListHeldParts(ctx context.Context, address string) ([]PromptPart, error)
}

// Options configures an Index.
type Options struct {
	Lister PartLister
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

// snapshot is one round of lists of the engines of a service.
type snapshot struct {
	at time.Duration

	mu      sync.Mutex
	holders map[string][]Holder
	open    int // lists that have not come yet
	// changed is closed and replaced when a list comes.
	changed chan struct{}
}

// New returns an empty index.
func New(o Options) *Index { return &Index{o: o, services: make(map[string]*snapshot)} }

// FindHolders returns engines of the service that hold the part, those with the most
// tokens first. It returns as soon as one engine says that it holds the part,
// since engines in another region answer later than the caller's next event is
// due, and waits for at most one round of lists.
func (i *Index) FindHolders(ctx context.Context, service, part string) []Holder {
	s := i.current(service)
	for {
		holders, changed := s.lookup(part)
		if len(holders) > 0 || changed == nil {
			return holders
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// lookup returns the known holders of a part, and what is closed when another
// list comes, or nil if there is none to come.
func (s *snapshot) lookup(part string) ([]Holder, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == 0 {
		return s.holders[part], nil
	}
	return s.holders[part], s.changed
}

// current returns the latest snapshot and starts a new one if it is old.
func (i *Index) current(service string) *snapshot {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.o.Clock()
	if s, ok := i.services[service]; ok && now-s.at < freshness {
		return s
	}
	engines := i.o.Engines(service)
	s := &snapshot{at: now, open: len(engines), changed: make(chan struct{}), holders: make(map[string][]Holder)}
	if len(engines) > 0 {
		i.services[service] = s
		go i.refresh(s, service, engines)
	}
	return s
}

func (i *Index) refresh(s *snapshot, service string, engines []registry.Endpoint) {
	var group sync.WaitGroup
	for _, engine := range engines {
		group.Go(func() { s.add(engine, i.list(engine)) })
	}
	group.Wait()
	i.o.Log.Info("held prompts listed", "service", service, "engines", len(engines), "parts", len(s.holders),
		"took_ms", (i.o.Clock() - s.at).Milliseconds())
}

// add takes over the list of one engine.
func (s *snapshot) add(engine registry.Endpoint, parts []PromptPart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		known := s.holders[part.ID]
		if part.Tokens < leastTokens || (known == nil && len(s.holders) >= maxSessions) {
			continue
		}
		known = append(slices.Clone(known), Holder{Endpoint: engine.ID, Tokens: part.Tokens})
		slices.SortStableFunc(known, func(a, b Holder) int { return cmp.Compare(b.Tokens, a.Tokens) })
		s.holders[part.ID] = known
	}
	s.open--
	close(s.changed)
	s.changed = make(chan struct{})
}

func (i *Index) list(engine registry.Endpoint) []PromptPart {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	i.o.Scope.Counter("lists").Inc(1)
	parts, err := i.o.Lister.ListHeldParts(ctx, engine.Address)
	if err != nil {
		i.o.Scope.Counter("list_errors").Inc(1)
		i.o.Log.Info("held prompts not listed", "endpoint", engine.ID, "error", err)
	}
	return parts
}
