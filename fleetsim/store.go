package fleetsim

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusstair/hibiscusstair/store"
)

// simStore is the platform's store with a delay. Calls take effect half-way.
type simStore struct {
	sim     *Sim
	delay   time.Duration
	down    bool
	objects map[string]store.Object
	changes []store.Change
	watches []*simWatch
	// Calls counts the calls by method.
	calls map[string]int
	// loseWriteResponse decides whether the answer to a write is lost.
	loseWriteResponse func() bool
	// rateLimited decides whether a call is refused for its rate.
	rateLimited func() bool
}

type simWatch struct {
	prefix string
	after  uint64
	answer func([]store.Change, uint64, error)
	done   bool
}

func newSimStore(sim *Sim, delay time.Duration) *simStore {
	return &simStore{sim: sim, delay: delay, objects: make(map[string]store.Object), calls: make(map[string]int)}
}

// call runs an operation at the store and its answer at the caller.
func (s *simStore) call(method string, cut bool, op func() error, answer func(error)) {
	s.calls[method]++
	half := s.delay / 2
	if cut {
		s.sim.clock.after(storeTimeout, func() { answer(store.ErrUnknown) })
		return
	}
	s.sim.clock.after(half, func() {
		err := s.injectedError()
		if err == nil {
			err = op()
		}
		if err == nil && method == "put" && s.loseWriteResponse != nil && s.loseWriteResponse() {
			err = store.ErrUnknown
		}
		s.sim.clock.after(half, func() { answer(err) })
	})
}

func (s *simStore) injectedError() error {
	if s.down {
		return store.ErrUnavailable
	}
	if s.rateLimited != nil && s.rateLimited() {
		return store.ErrRateLimited
	}
	return nil
}

func (s *simStore) put(key string, value []byte, expect store.Version) (store.Version, error) {
	if s.objects[key].Version != expect {
		return 0, store.ErrConflict
	}
	return s.record(store.Change{Object: store.Object{Key: key, Value: value}}), nil
}

func (s *simStore) remove(key string, expect store.Version) error {
	if s.objects[key].Version != expect {
		return store.ErrConflict
	}
	s.record(store.Change{Object: store.Object{Key: key}, Deleted: true})
	return nil
}

func (s *simStore) record(change store.Change) store.Version {
	change.Version = store.Version(len(s.changes) + 1)
	s.changes = append(s.changes, change)
	if change.Deleted {
		delete(s.objects, change.Key)
	} else {
		s.objects[change.Key] = change.Object
	}
	for _, w := range s.watches {
		if !w.done && strings.HasPrefix(change.Key, w.prefix) {
			w.done = true
			w.answer([]store.Change{change}, uint64(change.Version), nil)
		}
	}
	s.watches = slices.DeleteFunc(s.watches, func(w *simWatch) bool { return w.done })
	return change.Version
}

func (s *simStore) get(key string) (store.Object, error) {
	object, found := s.objects[key]
	if !found {
		return store.Object{}, store.ErrNotFound
	}
	return object, nil
}

func (s *simStore) list(prefix string) []store.Object {
	var objects []store.Object
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(key, prefix) {
			objects = append(objects, s.objects[key])
		}
	}
	return objects
}

// watch answers with the changes after the revision, or with none after wait.
func (s *simStore) watch(prefix string, after uint64, wait time.Duration, answer func([]store.Change, uint64, error)) {
	var changes []store.Change
	for _, change := range s.changes[after:] {
		if strings.HasPrefix(change.Key, prefix) {
			changes = append(changes, change)
		}
	}
	if len(changes) > 0 {
		answer(changes, uint64(len(s.changes)), nil)
		return
	}
	w := &simWatch{prefix: prefix, after: after, answer: answer}
	s.watches = append(s.watches, w)
	s.sim.clock.after(wait, func() {
		if w.done {
			return
		}
		w.done = true
		if s.down {
			answer(nil, 0, store.ErrUnavailable)
			return
		}
		answer(nil, uint64(len(s.changes)), nil)
	})
}
