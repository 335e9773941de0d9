// Package prefixcache finds the engines that still hold the KV cache of a
// session's prompt, by querying engines. It is used when a caller resumes a
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
	// maxPartsPerEngine bounds the parts that are kept of one engine.
	maxPartsPerEngine = 1024
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
	// Engines returns the engines of a service that are asked whether they hold a part.
	Engines func(service, partID string) []registry.Endpoint
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
	o  Options
	mu sync.Mutex
	// lists holds the latest list of each engine, in progress or at most maxListAge
	// old.
	lists map[api.EndpointID]*engineList
}

// engineList is the list of one engine.
type engineList struct {
	engine      registry.Endpoint
	requestedAt time.Duration
	done        chan struct{} // closed when tokens is complete
	tokens      map[string]int
}

// New returns an empty index.
func New(o Options) *Index { return &Index{o: o, lists: make(map[api.EndpointID]*engineList)} }

// FindHolders returns the engines that hold the KV cache of the part, ordered by
// descending number of tokens. It returns as soon as one engine reports the part,
// because waiting for engines in other regions would delay the caller's next event,
// and waits for at most one list of each engine.
func (i *Index) FindHolders(ctx context.Context, service, partID string) []Holder {
	lists := i.currentLists(i.o.Engines(service, partID))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	arrived := make(chan *engineList, len(lists))
	for _, list := range lists {
		go func() {
			select {
			case <-list.done:
			case <-ctx.Done():
			}
			arrived <- list
		}()
	}
	for range lists {
		if list := <-arrived; ctx.Err() != nil || list.holds(partID) {
			break
		}
	}
	return holders(lists, partID)
}

// holders returns the engines whose complete lists have the part.
func holders(lists []*engineList, partID string) []Holder {
	var found []Holder
	for _, list := range lists {
		if list.holds(partID) {
			found = append(found, Holder{Endpoint: list.engine.ID, Tokens: list.tokens[partID]})
		}
	}
	slices.SortStableFunc(found, func(a, b Holder) int { return cmp.Compare(b.Tokens, a.Tokens) })
	return found
}

// holds reports whether the list is complete and has the part.
func (l *engineList) holds(partID string) bool {
	select {
	case <-l.done:
		_, ok := l.tokens[partID]
		return ok
	default:
		return false
	}
}

// currentLists returns the lists of the engines. Those that are missing or older than
// maxListAge are requested.
func (i *Index) currentLists(engines []registry.Endpoint) []*engineList {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.o.Clock()
	for id, list := range i.lists {
		if now-list.requestedAt >= maxListAge {
			delete(i.lists, id)
		}
	}
	lists := make([]*engineList, 0, len(engines))
	for _, engine := range engines {
		list, ok := i.lists[engine.ID]
		if !ok {
			list = &engineList{engine: engine, requestedAt: now, done: make(chan struct{})}
			i.lists[engine.ID] = list
			go i.request(list)
		}
		lists = append(lists, list)
	}
	return lists
}

// request asks the engine for its list.
func (i *Index) request(list *engineList) {
	defer close(list.done)
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	i.o.Scope.Counter("lists").Inc(1)
	parts, err := i.o.Lister.ListHeldParts(ctx, list.engine.Address)
	if err != nil {
		i.o.Scope.Counter("list_errors").Inc(1)
		i.o.Log.Info("engine did not list its held prompt parts", "endpoint", list.engine.ID, "error", err)
		return
	}
	list.tokens = make(map[string]int)
	for _, part := range parts {
		if part.Tokens >= minPartTokens && len(list.tokens) < maxPartsPerEngine {
			list.tokens[part.ID] = max(list.tokens[part.ID], part.Tokens)
		}
	}
}
