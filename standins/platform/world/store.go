// Package world is a stand-in for the users' platform, written from its
// published documentation: the object store, engines, a plain HTTP service
// (the desk) and callers. It runs in the process of a test or a soak run and
// serves on loopback, so that real instances connect to it over sockets.
package world

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageSize is the number of objects per list page. It is small, so that lists
	// have several pages.
	pageSize = 10
	// maxWatchWait is the longest time that a watch waits for an event.
	maxWatchWait = 30 * time.Second
)

// Object is one object of the store.
type Object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

type storeEvent struct {
	Removed  bool   `json:"removed"`
	Object   Object `json:"object"`
	kind     string
	revision uint64
}

// Store is the platform's object store. Reads and watches are served over HTTP;
// the deployment and the endpoints, which run in the same process, write by
// method calls.
type Store struct {
	mu                sync.Mutex
	revision          uint64
	objects           map[string]map[string]Object // by kind and name
	history           []storeEvent
	compactedRevision uint64 // history up to this revision was dropped
	changed           chan struct{}
	down              bool
	watchesStalled    bool
	delay             time.Duration
	callCount         int
	statusFault       StatusFault
	era               uint64
}

// Copy is the content of a store at a revision.
type Copy struct {
	revision uint64
	objects  map[string]map[string]Object
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, era: 1, objects: make(map[string]map[string]Object), changed: make(chan struct{})}
}

// Put creates or replaces an object and returns the revision.
func (s *Store) Put(kind, name string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic("world: encode object: " + err.Error()) // all stored types can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	object := Object{Spec: raw}
	object.Metadata.Name, object.Metadata.Revision = name, s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.objects[kind][name] = object
	s.record(storeEvent{Object: object, kind: kind})
	return s.revision
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.record(storeEvent{Removed: true, Object: object, kind: kind})
}

func (s *Store) record(e storeEvent) {
	e.revision = s.revision
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{revision: s.revision, objects: copyObjects(s.objects)}
}

// Restore replaces the content and the revision by those of a copy and starts a new
// era. The history is lost.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.revision = copyObjects(c.objects), c.revision
	s.history, s.compactedRevision = nil, c.revision
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func copyObjects(objects map[string]map[string]Object) map[string]map[string]Object {
	copied := make(map[string]map[string]Object, len(objects))
	for kind, named := range objects {
		copied[kind] = maps.Clone(named)
	}
	return copied
}

// Names returns the names of the objects of a kind.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects[kind]))
}

// SetDown sets whether every call fails with status 503.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetDelay sets the delay of every response.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// SetWatchesStalled sets whether watches return no events. At the end of the stall
// the history is dropped, so that watches from an earlier revision get status 410.
func (s *Store) SetWatchesStalled(stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watchesStalled && !stalled {
		s.history, s.compactedRevision = nil, s.revision
	}
	s.watchesStalled = stalled
}

// Down reports whether every call fails.
func (s *Store) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// CallCount returns the number of HTTP calls so far.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

// ServeHTTP serves lists, single objects, watches and changes of objects.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, single := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	s.mu.Lock()
	s.callCount++
	down, delay, era := s.down, s.delay, s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	time.Sleep(delay)
	query := r.URL.Query()
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodPut && strings.HasSuffix(name, "/status"):
		s.putStatus(w, r, kind, strings.TrimSuffix(name, "/status"))
	case r.Method == http.MethodPost && !single, r.Method == http.MethodPut, r.Method == http.MethodDelete && single:
		s.changeObject(w, r, kind, name)
	case r.Method != http.MethodGet:
		w.WriteHeader(http.StatusMethodNotAllowed)
	case query.Has("watch"):
		s.watch(w, r, kind)
	case single:
		s.get(w, kind, name)
	default:
		s.list(w, kind, query.Get("after-rev"))
	}
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	object, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, object)
}

func (s *Store) list(w http.ResponseWriter, kind, afterName string) {
	s.mu.Lock()
	var items []Object
	for name, object := range s.objects[kind] {
		if name > afterName {
			items = append(items, object)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(items) > pageSize
	writeJSON(w, map[string]any{"items": items[:min(pageSize, len(items))], "more-pages": more, "store-revision": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	afterRevision, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(min(maxWatchWait, time.Duration(ms)*time.Millisecond))
	defer timer.Stop()
	for {
		s.mu.Lock()
		compacted := (afterRevision < s.compactedRevision || afterRevision > s.revision) && !s.watchesStalled
		events := s.eventsSince(kind, afterRevision)
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, map[string]any{"events": []storeEvent{}, "store-revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) eventsSince(kind string, afterRevision uint64) []storeEvent {
	if s.watchesStalled {
		return nil
	}
	var events []storeEvent
	for _, e := range s.history {
		if e.kind == kind && e.revision > afterRevision {
			events = append(events, e)
		}
	}
	return events
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
