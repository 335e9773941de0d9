// Package storetest is a store in memory for tests and benches. It keeps
// versions, answers watches, and fails on command.
package storetest

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/store"
)

const (
	// maxValueBytes is the platform's limit on a value.
	maxValueBytes = 1 << 20
	// maxHistory is how many changes watches can look back on.
	maxHistory = 10000
)

// Store implements store.API in memory. Versions are revisions of the whole
// store, so that a key that is deleted and created again never has an earlier
// version twice.
type Store struct {
	mu        sync.Mutex
	objects   map[string]store.Object
	history   []entry
	compacted uint64
	revision  uint64
	changed   chan struct{} // closed and replaced at each change
	instances []store.PlatformInstance
	faults    faults
	late      []func()
	calls     map[Method]int
	bytes     int64
}

type entry struct {
	revision uint64
	change   store.Change
}

var _ store.API = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: make(map[string]store.Object),
		changed: make(chan struct{}),
		calls:   make(map[Method]int),
	}
}

// Get reads an object.
func (s *Store) Get(ctx context.Context, key string) (store.Object, error) {
	var object store.Object
	err := s.read(ctx, Call{Method: Get, Key: key}, func() error {
		found, ok := s.objects[key]
		if !ok {
			return store.ErrNotFound
		}
		object = found
		object.Value = append([]byte(nil), found.Value...)
		s.bytes += int64(len(found.Value))
		return nil
	})
	return object, err
}

// List returns the objects whose key starts with the prefix, in key order.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Object, uint64, error) {
	var objects []store.Object
	var revision uint64
	err := s.read(ctx, Call{Method: List, Key: prefix}, func() error {
		for key, object := range s.objects {
			if strings.HasPrefix(key, prefix) {
				objects = append(objects, object)
			}
		}
		revision = s.revision
		return nil
	})
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key < objects[j].Key })
	return objects, revision, err
}

// Instances returns the list that SetInstances set.
func (s *Store) Instances(ctx context.Context) ([]store.PlatformInstance, error) {
	var list []store.PlatformInstance
	err := s.read(ctx, Call{Method: Instances}, func() error {
		list = append(list, s.instances...)
		return nil
	})
	return list, err
}

// SetInstances replaces the platform's list.
func (s *Store) SetInstances(list ...store.PlatformInstance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append([]store.PlatformInstance(nil), list...)
}

// Put writes an object if it has the expected version; 0 creates it.
func (s *Store) Put(ctx context.Context, key string, value []byte, expect store.Version) (store.Version, error) {
	var version store.Version
	copied := append([]byte(nil), value...)
	s.addBytes(len(value))
	err := s.write(ctx, Call{Method: Put, Key: key, ExpectedVersion: expect}, func() error {
		if len(copied) > maxValueBytes {
			return fmt.Errorf("storetest: a value of %d bytes is above the limit", len(copied))
		}
		if s.objects[key].Version != expect {
			return store.ErrConflict
		}
		version = store.Version(s.revision + 1)
		s.record(store.Change{Object: store.Object{Key: key, Version: version, Value: copied}})
		return nil
	})
	return version, err
}

// Delete removes an object if it has the expected version.
func (s *Store) Delete(ctx context.Context, key string, expect store.Version) error {
	return s.write(ctx, Call{Method: Delete, Key: key, ExpectedVersion: expect}, func() error {
		found, ok := s.objects[key]
		if !ok {
			return store.ErrNotFound
		}
		if found.Version != expect {
			return store.ErrConflict
		}
		gone := store.Object{Key: key, Version: store.Version(s.revision + 1)}
		s.record(store.Change{Object: gone, Deleted: true})
		return nil
	})
}

// record applies a change. The caller holds the lock.
func (s *Store) record(change store.Change) {
	s.revision++
	if change.Deleted {
		delete(s.objects, change.Key)
	} else {
		s.objects[change.Key] = change.Object
	}
	s.history = append(s.history, entry{revision: s.revision, change: change})
	if len(s.history) > maxHistory {
		s.compacted = s.history[0].revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history, so that watches from an earlier revision get
// store.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = nil
}

// Watch returns the changes after the revision, or none when wait has passed.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Change, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	fault, err := s.begin(ctx, Call{Method: Watch, Key: prefix})
	if err != nil {
		return nil, 0, err
	}
	if fault.LoseResponse {
		return nil, 0, store.ErrUnknown
	}
	for {
		changes, revision, changed, err := s.changesAfter(prefix, after)
		if err != nil || len(changes) > 0 {
			return changes, revision, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, fmt.Errorf("%w: %v", store.ErrUnknown, ctx.Err())
		}
	}
}

func (s *Store) changesAfter(prefix string, after uint64) ([]store.Change, uint64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.outage {
		return nil, 0, nil, store.ErrUnavailable
	}
	if after < s.compacted {
		return nil, 0, nil, store.ErrCompacted
	}
	var changes []store.Change
	for _, e := range s.history {
		if e.revision > after && strings.HasPrefix(e.change.Key, prefix) {
			changes = append(changes, e.change)
		}
	}
	return changes, s.revision, s.changed, nil
}
