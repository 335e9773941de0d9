package fleetsim

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/store"
)

// memStore implements store.API in memory.
type memStore struct {
	mu        sync.Mutex
	objects   map[string]store.Object
	changes   []store.Change
	changed   chan struct{} // closed and replaced with each change
	instances []store.PlatformInstance
	down      bool
}

func newMemStore() *memStore {
	return &memStore{objects: make(map[string]store.Object), changed: make(chan struct{})}
}

// lock locks the store and returns the function that unlocks it, or an error while
// the store is down.
func (s *memStore) lock() (func(), error) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return nil, store.ErrUnavailable
	}
	return s.mu.Unlock, nil
}

func (s *memStore) Get(_ context.Context, key string) (store.Object, error) {
	unlock, err := s.lock()
	if err != nil {
		return store.Object{}, err
	}
	defer unlock()
	if object, ok := s.objects[key]; ok {
		return object, nil
	}
	return store.Object{}, store.ErrNotFound
}

func (s *memStore) Put(_ context.Context, key string, value []byte, expect store.Version) (store.Version, error) {
	unlock, err := s.lock()
	if err != nil {
		return 0, err
	}
	defer unlock()
	if s.objects[key].Version != expect {
		return 0, store.ErrConflict
	}
	return s.record(store.Change{Object: store.Object{Key: key, Value: value}}), nil
}

// record applies a change, assigns its version, and wakes all watches.
func (s *memStore) record(change store.Change) store.Version {
	change.Version = store.Version(len(s.changes) + 1)
	s.changes = append(s.changes, change)
	s.objects[change.Key] = change.Object
	if change.Deleted {
		delete(s.objects, change.Key)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return change.Version
}

func (s *memStore) Delete(_ context.Context, key string, expect store.Version) error {
	unlock, err := s.lock()
	if err != nil {
		return err
	}
	defer unlock()
	if s.objects[key].Version != expect {
		return store.ErrConflict
	}
	s.record(store.Change{Object: store.Object{Key: key}, Deleted: true})
	return nil
}

func (s *memStore) List(_ context.Context, prefix string) ([]store.Object, uint64, error) {
	unlock, err := s.lock()
	if err != nil {
		return nil, 0, err
	}
	defer unlock()
	var objects []store.Object
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			objects = append(objects, object)
		}
	}
	return objects, uint64(len(s.changes)), nil
}

func (s *memStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Change, uint64, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		unlock, err := s.lock()
		if err != nil {
			return nil, 0, err
		}
		var changes []store.Change
		for _, change := range s.changes[after:] {
			if strings.HasPrefix(change.Key, prefix) {
				changes = append(changes, change)
			}
		}
		after = uint64(len(s.changes))
		changed := s.changed
		unlock()
		if len(changes) > 0 {
			return changes, after, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil, after, nil
		case <-ctx.Done():
			return nil, 0, store.ErrUnknown // the outcome of a cancelled call is unknown
		}
	}
}

func (s *memStore) Instances(context.Context) ([]store.PlatformInstance, error) {
	unlock, err := s.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	return append([]store.PlatformInstance(nil), s.instances...), nil
}
