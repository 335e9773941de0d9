package fleetsim

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hibiscusstair/hibiscusstair/store"
)

// simStore simulates the platform's store. An operation takes effect after half of
// the delay of its call.
type simStore struct {
	sim     *Sim
	delay   time.Duration
	down    bool
	objects map[string]store.Object
	changes []store.Change
	watches []*simWatch // watches that wait for a change
	// calls counts the calls by method.
	calls map[string]int
	// loseWriteResponse decides whether the response to a write is lost; it may be
	// nil.
	loseWriteResponse func() bool
	// rateLimited decides whether a call is refused by the rate limit; it may be
	// nil.
	rateLimited func() bool
}

// simWatch is a watch call that waits for a change below its prefix.
type simWatch struct {
	prefix  string
	after   uint64
	respond func([]store.Change, uint64, error)
	done    bool
}

func newSimStore(sim *Sim, delay time.Duration) *simStore {
	return &simStore{sim: sim, delay: delay, objects: make(map[string]store.Object), calls: make(map[string]int)}
}

// call runs op at the store and then done at the caller, each after half of the
// store's delay. If the store is unreachable, done gets an error after
// storeTimeout.
func (s *simStore) call(method string, unreachable bool, op func() error, done func(error)) {
	s.calls[method]++
	halfDelay := s.delay / 2
	if unreachable {
		s.sim.clock.after(storeTimeout, func() { done(store.ErrUnknown) })
		return
	}
	s.sim.clock.after(halfDelay, func() {
		err := s.injectedError()
		if err == nil {
			err = op()
		}
		if err == nil && method == "put" && s.loseWriteResponse != nil && s.loseWriteResponse() {
			err = store.ErrUnknown
		}
		s.sim.clock.after(halfDelay, func() { done(err) })
	})
}

// injectedError returns the error of a simulated outage or rate limit, or nil.
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

// record applies a change, assigns its version, and completes the watches of its
// key.
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
			w.respond([]store.Change{change}, uint64(change.Version), nil)
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

// watch passes the changes after the revision to respond as soon as there are any,
// or none after the wait.
func (s *simStore) watch(prefix string, after uint64, wait time.Duration, respond func([]store.Change, uint64, error)) {
	var changes []store.Change
	for _, change := range s.changes[after:] {
		if strings.HasPrefix(change.Key, prefix) {
			changes = append(changes, change)
		}
	}
	if len(changes) > 0 {
		respond(changes, uint64(len(s.changes)), nil)
		return
	}
	w := &simWatch{prefix: prefix, after: after, respond: respond}
	s.watches = append(s.watches, w)
	s.sim.clock.after(wait, func() {
		if w.done {
			return
		}
		w.done = true
		if s.down {
			respond(nil, 0, store.ErrUnavailable)
			return
		}
		respond(nil, uint64(len(s.changes)), nil)
	})
}
