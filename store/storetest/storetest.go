// Package storetest provides an in-memory implementation of store.API for tests and
// benchmarks. It supports versions, watches and fault injection.
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
	// maxValueBytes is the platform's limit on the size of a value.
	maxValueBytes = 1 << 20
	// maxHistoryLength is how many past changes a watch can return.
	maxHistoryLength = 10000
)

// Store implements store.API in memory. Versions are revisions of the whole store, so
// that an object that is deleted and created again never gets an earlier version.
type Store struct {
	mu                sync.Mutex
	objects           map[string]store.Object
	history           []historyEntry
	compactedRevision uint64 // watches from an earlier revision fail
	revision          uint64
	changed           chan struct{} // closed and replaced at each change and by SetUnavailable
	instances         []store.PlatformInstance
	faults            persistentFaults
	deferredWrites    []func()
	calls             map[Method]int
	valueBytes        int64
}

type historyEntry struct {
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
		s.valueBytes += int64(len(found.Value))
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

// SetInstances replaces the platform's list of instances.
func (s *Store) SetInstances(list ...store.PlatformInstance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append([]store.PlatformInstance(nil), list...)
}

// Put writes an object if it has the expected version; 0 creates it.
func (s *Store) Put(ctx context.Context, key string, value []byte, expectedVersion store.Version) (store.Version, error) {
	var version store.Version
	copied := append([]byte(nil), value...)
	s.addBytes(len(value))
	err := s.write(ctx, Call{Method: Put, Key: key, ExpectedVersion: expectedVersion}, func() error {
		if len(copied) > maxValueBytes {
			return fmt.Errorf("storetest: the value has %d bytes, which is above the limit", len(copied))
		}
		if s.objects[key].Version != expectedVersion {
			return store.ErrConflict
		}
		version = store.Version(s.revision + 1)
		s.applyChange(store.Change{Object: store.Object{Key: key, Version: version, Value: copied}})
		return nil
	})
	return version, err
}

// Delete removes an object if it has the expected version.
func (s *Store) Delete(ctx context.Context, key string, expectedVersion store.Version) error {
	return s.write(ctx, Call{Method: Delete, Key: key, ExpectedVersion: expectedVersion}, func() error {
		found, ok := s.objects[key]
		if !ok {
			return store.ErrNotFound
		}
		if found.Version != expectedVersion {
			return store.ErrConflict
		}
		deleted := store.Object{Key: key, Version: store.Version(s.revision + 1)}
		s.applyChange(store.Change{Object: deleted, Deleted: true})
		return nil
	})
}

// applyChange changes the object, extends the history and wakes the watches. The
// caller holds the lock.
func (s *Store) applyChange(change store.Change) {
	s.revision++
	if change.Deleted {
		delete(s.objects, change.Key)
	} else {
		s.objects[change.Key] = change.Object
	}
	s.history = append(s.history, historyEntry{revision: s.revision, change: change})
	if len(s.history) > maxHistoryLength {
		s.compactedRevision = s.history[0].revision
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
	s.compactedRevision = s.revision
	s.history = nil
}

// Watch returns the changes after the revision, or none when wait has passed.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Change, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	fault, err := s.startCall(ctx, Call{Method: Watch, Key: prefix})
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

// changesAfter returns the changes after a revision, the current revision, and a
// channel that is closed at the next change.
func (s *Store) changesAfter(prefix string, after uint64) ([]store.Change, uint64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.unavailable {
		return nil, 0, nil, store.ErrUnavailable
	}
	if after < s.compactedRevision {
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
