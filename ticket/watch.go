package ticket

import (
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/store"
)

const (
	// watchWait is how long the store may hold a watch. With an answer a second
	// a contact is never older than 2 s and the store's delay.
	watchWait = time.Second
	// watchRetryMin and watchRetryMax bound the pause after a failed watch.
	watchRetryMin = 200 * time.Millisecond
	watchRetryMax = 2 * time.Second
	// reachBound is the age of the last answer beyond which the store counts as
	// out of reach.
	reachBound = 3 * time.Second
	// confirmInterval is the time between reads of the head by an instance
	// that has no peer to confirm with, while a slow store delays the watch.
	confirmInterval = 500 * time.Millisecond
)

// watch follows the head in the store for the failure domain.
type watch struct {
	wanted   bool // this instance watches for its failure domain
	running  bool
	listed   bool // revision is valid
	revision uint64
	retryAt  time.Duration
	retry    time.Duration
	reading  bool
	confirms int
	lastRead time.Duration

	// seen is the highest head version read from the store.
	seen uint64
	// shown is the head version up to which the watch has shown all changes of
	// the registrations that came before it.
	shown uint64
	// registered are the registrations that the watch has shown.
	registered map[api.InstanceID]registration
	// contact is when the last answered read of an applied head was sent.
	contact time.Duration
	// waiting is a contact that counts once its head applies.
	waiting        time.Duration
	waitingVersion uint64
	// reached is when the store last answered.
	reached time.Duration
}

// contacted notes that the store showed the version to a read sent at sentAt.
func (c *Core) contacted(sentAt time.Duration, version uint64) {
	w := &c.watch
	w.reached = max(w.reached, sentAt)
	w.seen = max(w.seen, version)
	if version <= c.applied.version && c.ready {
		w.contact = max(w.contact, sentAt)
		return
	}
	w.waiting = sentAt
	w.waitingVersion = version
}

// contactApplied counts the waiting contact if its head applies now.
func (c *Core) contactApplied() {
	w := &c.watch
	if w.waiting > 0 && w.waitingVersion <= c.applied.version {
		w.contact = max(w.contact, w.waiting)
		w.waiting = 0
	}
}

// storeReached reports whether the store answered recently.
func (c *Core) storeReached(now time.Duration) bool {
	return c.watch.reached >= 0 && now-c.watch.reached <= reachBound
}

func (c *Core) tickWatch(now time.Duration, wanted bool) {
	c.watch.wanted = wanted
	if !wanted {
		return
	}
	c.confirmAlone(now)
	w := &c.watch
	if w.running || now < w.retryAt {
		return
	}
	w.running = true
	if !w.listed {
		c.call(StoreCall{Op: StoreList, Key: controlPrefix}, c.headListed)
		return
	}
	c.call(StoreCall{Op: StoreWatch, Key: controlPrefix, After: w.revision, Wait: watchWait}, c.watched)
}

// confirmAlone reads the head in parallel to a delayed watch, because an
// instance without peers has no other confirmation.
func (c *Core) confirmAlone(now time.Duration) {
	w := &c.watch
	if !c.ready || now-w.contact <= watchWait+confirmInterval || now-w.lastRead < confirmInterval || w.confirms >= 4 {
		return
	}
	if len(c.reachable()) > 0 {
		return
	}
	w.lastRead = now
	w.confirms++
	c.call(StoreCall{Op: StoreGet, Key: headKey}, func(now time.Duration, r StoreDone) {
		w.confirms--
		c.headRead(now, r)
	})
}

func (c *Core) headListed(now time.Duration, r StoreDone) {
	w := &c.watch
	w.running = false
	if r.Err != nil {
		c.watchFailed(now)
		return
	}
	w.retry = 0
	w.listed = true
	w.revision = r.Revision
	w.registered = make(map[api.InstanceID]registration, len(r.Objects))
	found := StoreDone{SentAt: r.SentAt, Err: store.ErrNotFound}
	for _, object := range r.Objects {
		if object.Key == headKey {
			found.Object, found.Err = object, nil
			continue
		}
		c.registrationShown(store.Change{Object: object})
	}
	w.shown = version(found.Object.Version)
	c.headRead(now, found)
	c.tryAccept(now)
}

// registrationShown uses a change of a registration.
func (c *Core) registrationShown(change store.Change) {
	id, found := strings.CutPrefix(change.Key, memberPrefix)
	if !found {
		return
	}
	if change.Deleted {
		delete(c.watch.registered, api.InstanceID(id))
		return
	}
	var r registration
	if err := json.Unmarshal(change.Value, &r); err != nil {
		// Acceptance waits for an instance that cannot be read, by its key.
		c.emit(Note{Kind: NoteBroken, Err: Error.Wrap(err)})
	}
	r.Instance = api.InstanceID(id)
	c.watch.registered[r.Instance] = r
}

func (c *Core) watched(now time.Duration, r StoreDone) {
	w := &c.watch
	w.running = false
	if errors.Is(r.Err, store.ErrCompacted) {
		w.listed = false
		return
	}
	if r.Err != nil {
		c.watchFailed(now)
		return
	}
	w.retry = 0
	w.revision = r.Revision
	changed := false
	for _, change := range r.Changes {
		if change.Key == headKey && !change.Deleted {
			changed = true
			w.shown = version(change.Version)
			c.headRead(now, StoreDone{SentAt: r.SentAt, Object: change.Object})
			continue
		}
		c.registrationShown(change)
	}
	if !changed {
		c.contacted(r.SentAt, w.seen)
	}
	c.tickWatch(now, w.wanted)
	c.tryAccept(now)
}

func (c *Core) watchFailed(now time.Duration) {
	w := &c.watch
	w.retry = min(max(2*w.retry, watchRetryMin), watchRetryMax)
	w.retryAt = now + w.retry
}
