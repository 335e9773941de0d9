// Package prefixcache finds the engines that still hold the KV cache of a
// session's prompt, by querying the engines. It is used when a caller resumes a
// stream that another instance, or this instance before its restart, served: an
// engine that holds the prompt's KV cache continues at once, any other engine
// has to prefill the prompt again.
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
	// maxListAge is how long a list is reused. Listing delays an engine, and
	// after the loss of an instance its callers reconnect nearly at the same
	// time.
	maxListAge = 1500 * time.Millisecond
	// listTimeout bounds one list request. A round trip between regions takes
	// 16 ms.
	listTimeout = 150 * time.Millisecond
	// minPartTokens is the size below which parts are ignored: prefilling such
	// a part again at the least loaded engine costs less than using a busier
	// engine that holds it.
	minPartTokens = 512
	// maxParts bounds the parts that are indexed for one service.
	maxParts = 16384
)

// PromptPart is a part of a prompt whose KV cache an engine holds.
type PromptPart struct {
	ID     string
	Tokens int
}

// PartLister requests the list of the prompt parts whose KV cache an engine
// holds.
type PartLister interface {
	ListHeldParts(ctx context.Context, address string) ([]PromptPart, error)
}

// Options configures an Index.
type Options struct {
	Lister PartLister
	// Engines returns the engines of a service that accept new work.
	Engines func(service string) []registry.Endpoint
	Clock   bootclock.Func
	Log     *slog.Logger
	Scope   tally.Scope
}

// Holder is an engine that holds the KV cache of a prompt part.
type Holder struct {
	Endpoint api.EndpointID
	Tokens   int
}

// Index records which engines hold the KV cache of which prompt parts. It is
// safe for concurrent use.
type Index struct {
	o        Options
	mu       sync.Mutex
	services map[string]*snapshot
}

// snapshot holds the lists that the engines of a service returned in one round.
type snapshot struct {
	startedAt time.Duration

	mu           sync.Mutex
	holders      map[string][]Holder
	pendingLists int // lists not received yet
	// changed is closed and replaced when a list arrives.
	changed chan struct{}
}

// New returns an empty index.
func New(o Options) *Index { return &Index{o: o, services: make(map[string]*snapshot)} }

// FindHolders returns the engines of the service that hold the KV cache of the
// part, ordered by descending number of tokens. It returns as soon as one
// engine reports the part, because waiting for engines in other regions would
// delay the caller's next event, and waits for at most one round of lists.
func (i *Index) FindHolders(ctx context.Context, service, partID string) []Holder {
	s := i.currentSnapshot(service)
	for {
		holders, changed := s.lookup(partID)
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

// lookup returns the known holders of a part, and a channel that is closed when
// another list arrives, or nil if no list is pending.
func (s *snapshot) lookup(partID string) ([]Holder, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingLists == 0 {
		return s.holders[partID], nil
	}
	return s.holders[partID], s.changed
}

// currentSnapshot returns the latest snapshot, or starts a new one if that is
// older than maxListAge.
func (i *Index) currentSnapshot(service string) *snapshot {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.o.Clock()
	if s, ok := i.services[service]; ok && now-s.startedAt < maxListAge {
		return s
	}
	engines := i.o.Engines(service)
	s := &snapshot{startedAt: now, pendingLists: len(engines), changed: make(chan struct{}), holders: make(map[string][]Holder)}
	if len(engines) > 0 {
		i.services[service] = s
		go i.fillSnapshot(s, service, engines)
	}
	return s
}

// fillSnapshot requests the lists of all engines concurrently and adds them to
// the snapshot.
func (i *Index) fillSnapshot(s *snapshot, service string, engines []registry.Endpoint) {
	var group sync.WaitGroup
	for _, engine := range engines {
		group.Go(func() { s.addList(engine, i.listParts(engine)) })
	}
	group.Wait()
	i.o.Log.Info("held prompt parts listed", "service", service, "engines", len(engines), "parts", len(s.holders),
		"took_ms", (i.o.Clock() - s.startedAt).Milliseconds())
}

// addList adds the list of one engine.
func (s *snapshot) addList(engine registry.Endpoint, parts []PromptPart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		known := s.holders[part.ID]
		if part.Tokens < minPartTokens || (known == nil && len(s.holders) >= maxParts) {
			continue
		}
		known = append(slices.Clone(known), Holder{Endpoint: engine.ID, Tokens: part.Tokens})
		slices.SortStableFunc(known, func(a, b Holder) int { return cmp.Compare(b.Tokens, a.Tokens) })
		s.holders[part.ID] = known
	}
	s.pendingLists--
	close(s.changed)
	s.changed = make(chan struct{})
}

func (i *Index) listParts(engine registry.Endpoint) []PromptPart {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	i.o.Scope.Counter("lists").Inc(1)
	parts, err := i.o.Lister.ListHeldParts(ctx, engine.Address)
	if err != nil {
		i.o.Scope.Counter("list_errors").Inc(1)
		i.o.Log.Info("engine did not list its held prompt parts", "endpoint", engine.ID, "error", err)
	}
	return parts
}
