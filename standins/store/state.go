package store

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// maxChanges bounds the change log. A watch from before it gets 410, so that
// clients meet compaction.
const maxChanges = 8192

// Item is an object or a change on the wire.
type Item struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	Deleted bool   `json:"deleted,omitempty"`
}

// state holds the objects and the change log. Versions are revisions of the
// whole store, so a key that is deleted and created again never gets an old
// version back.
type state struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]Item
	changes  []Item
	changed  chan struct{}
}

func newState() *state {
	return &state{objects: make(map[string]Item), changed: make(chan struct{})}
}

func (s *state) get(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.objects[key]
	return item, ok
}

// update writes or deletes if the condition holds. It returns the version that
// the object has afterwards.
func (s *state) update(key string, value []byte, remove bool, holds func(current uint64) bool) (version uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[key].Version
	if !holds(current) {
		return current, false
	}
	s.revision++
	item := Item{Key: key, Version: s.revision, Value: value, Deleted: remove}
	if remove {
		delete(s.objects, key)
	} else {
		s.objects[key] = item
	}
	s.changes = append(s.changes, item)
	if len(s.changes) > maxChanges {
		s.changes = append([]Item(nil), s.changes[maxChanges/2:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return item.Version, true
}

func (s *state) list(prefix string) ([]Item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []Item{}
	for key, item := range s.objects {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items, s.revision
}

// since returns the changes after the revision, the revision reached, a
// channel that is closed at the next change, and whether the log reaches back
// far enough.
func (s *state) since(prefix string, after uint64) (changes []Item, revision uint64, next <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.revision + 1
	if len(s.changes) > 0 {
		first = s.changes[0].Version
	}
	if after+1 < first || after > s.revision {
		return nil, s.revision, nil, false
	}
	changes = []Item{}
	for _, change := range s.changes[after+1-first:] {
		if strings.HasPrefix(change.Key, prefix) {
			changes = append(changes, change)
		}
	}
	return changes, s.revision, s.changed, true
}

// Instance is an entry of the platform's list.
type Instance struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Leaving       bool   `json:"leaving"`
}

type snapshot struct {
	at        time.Time
	instances []Instance
}

// directory is the lagging list of instances.
type directory struct {
	mu        sync.Mutex
	lag       time.Duration
	current   map[string]Instance
	snapshots []snapshot
}

func newDirectory(lag time.Duration) *directory {
	return &directory{lag: lag, current: make(map[string]Instance)}
}

func (d *directory) change(now time.Time, put []Instance, remove []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, instance := range put {
		d.current[instance.ID] = instance
	}
	for _, id := range remove {
		delete(d.current, id)
	}
	all := []Instance{}
	for _, instance := range d.current {
		all = append(all, instance)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	d.snapshots = append(d.snapshots, snapshot{at: now, instances: all})
}

// visible returns the newest list that is at least the lag old. Before the
// first is that old, it returns the first, so that a start needs no wait.
func (d *directory) visible(now time.Time) []Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.snapshots) == 0 {
		return []Instance{}
	}
	for len(d.snapshots) > 1 && now.Sub(d.snapshots[1].at) >= d.lag {
		d.snapshots = d.snapshots[1:]
	}
	return d.snapshots[0].instances
}
