package store

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// maxChanges is the capacity of the change log, in changes. The older half is
// dropped when the log is full, as by a store that compacts its history. A watch
// from an older revision gets status 410, so that clients are tested with
// compaction.
const maxChanges = 8192

// Item is an object or a change of one, as it is sent to clients.
type Item struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	Deleted bool   `json:"deleted,omitempty"`
}

// state has the objects and the change log. Versions are revisions of the whole
// store, so a key that is deleted and created again never gets an old version.
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

// update writes or deletes the object if matches accepts its current version, which
// is 0 if there is no object. It returns the new version, or the current one if the
// object was not updated. The new version of a deletion is that of the change.
func (s *state) update(key string, value []byte, remove bool, matches func(current uint64) bool) (version uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[key].Version
	if !matches(current) {
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

// changesSince returns the changes of keys with the prefix after the given
// revision, the current revision, and a channel that is closed at the next change.
// ok is false if the change log doesn't reach back to the given revision.
func (s *state) changesSince(prefix string, after uint64) (changes []Item, revision uint64, next <-chan struct{}, ok bool) {
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

// Instance is an entry of the platform's list of instances.
type Instance struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Leaving       bool   `json:"leaving"`
}

type listSnapshot struct {
	at        time.Time
	instances []Instance
}

// instanceList is the platform's list of instances, which shows changes late.
type instanceList struct {
	mu        sync.Mutex
	lag       time.Duration
	current   map[string]Instance
	snapshots []listSnapshot
}

func newInstanceList(lag time.Duration) *instanceList {
	return &instanceList{lag: lag, current: make(map[string]Instance)}
}

// update adds or replaces and removes instances, and records the new list.
func (l *instanceList) update(now time.Time, put []Instance, remove []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, instance := range put {
		l.current[instance.ID] = instance
	}
	for _, id := range remove {
		delete(l.current, id)
	}
	all := []Instance{}
	for _, instance := range l.current {
		all = append(all, instance)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	l.snapshots = append(l.snapshots, listSnapshot{at: now, instances: all})
}

// visibleInstances returns the newest snapshot that is at least as old as the lag.
// If none is, it returns the oldest, so that a test needn't wait for the lag at its start.
// It drops the snapshots before the returned one.
func (l *instanceList) visibleInstances(now time.Time) []Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.snapshots) == 0 {
		return []Instance{}
	}
	for len(l.snapshots) > 1 && now.Sub(l.snapshots[1].at) >= l.lag {
		l.snapshots = l.snapshots[1:]
	}
	return l.snapshots[0].instances
}
