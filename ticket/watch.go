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
	// watchWaitMax bounds the wait while the store is slow, when it follows the
	// store's delay; slowDelay is when that begins.
	watchWaitMax = 3 * time.Second
	slowDelay    = 500 * time.Millisecond
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
	running  int
	sentAt   time.Duration // of the last watch
	wait     time.Duration // of the last watch
	delay    time.Duration // of the store beyond the wait, from the last answer
	listed   bool          // revision is valid
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
	// published is registered in the form that the fleet slice gets; nil after
	// a change.
	published map[api.InstanceID]uint64
	// gone is the incarnation whose registration was removed by an expulsion.
	gone uint64
	// contact is when the last answered read of an applied head was sent.
	contact time.Duration
	// waiting is a contact that counts once its head applies.
	waiting        time.Duration
	waitingVersion uint64
	// reached is when the store last answered, however old the question was.
	reached time.Duration
}

// contacted notes that the store showed the version to a read sent at sentAt.
// It counts only while this instance is registered: without a registration the
// next ticket is accepted without it.
func (c *Core) contacted(sentAt time.Duration, version uint64) {
	w := &c.watch
	w.seen = max(w.seen, version)
	if _, registered := w.registered[c.options.Instance]; !registered {
		return
	}
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
	if now < w.retryAt || !c.watchDue(now) {
		return
	}
	if !w.listed {
		w.running++
		c.call(StoreCall{Op: StoreList, Key: controlPrefix}, c.headListed)
		return
	}
	w.running++
	w.sentAt = now
	w.wait = min(max(w.delay, watchWait), watchWaitMax)
	wait := w.wait
	c.call(StoreCall{Op: StoreWatch, Key: controlPrefix, AfterRevision: w.revision, Wait: wait}, func(now time.Duration, r StoreDone) {
		if r.Err == nil && len(r.Changes) == 0 {
			w.delay = max(now-r.SentAt-wait, 0)
		}
		c.watched(now, r)
	})
}

// watchDue reports whether another watch is to be sent. While the store is
// slow two of them overlap: a single one waits at the store for only a part of
// the time, and a change in between would be seen a whole delay later.
func (c *Core) watchDue(now time.Duration) bool {
	w := &c.watch
	if w.running == 0 {
		return true
	}
	return w.listed && w.running == 1 && w.delay >= slowDelay && now-w.sentAt >= (w.wait+w.delay)/2
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
	c.call(StoreCall{Op: StoreList, Key: controlPrefix}, func(now time.Duration, r StoreDone) {
		w.confirms--
		if r.Err != nil {
			return
		}
		head, registered := c.listedControl(r)
		c.headRead(now, head)
		if registered[c.options.Instance].Incarnation > 0 {
			c.contacted(r.SentAt, version(head.Object.Version))
		}
	})
}

func (c *Core) headListed(now time.Duration, r StoreDone) {
	w := &c.watch
	w.running--
	if r.Err != nil {
		c.watchFailed(now)
		return
	}
	w.retry = 0
	w.listed = true
	w.revision = r.Revision
	before, wasRegistered := w.registered[c.options.Instance]
	var found StoreDone
	found, w.registered = c.listedControl(r)
	w.published = nil
	if _, registered := w.registered[c.options.Instance]; wasRegistered && !registered {
		w.gone = before.Incarnation
	}
	w.shown = version(found.Object.Version)
	c.headRead(now, found)
	c.contacted(r.SentAt, w.shown)
	c.tryAccept(now)
}

// listedControl divides a list into the head and the registrations.
func (c *Core) listedControl(r StoreDone) (StoreDone, map[api.InstanceID]registration) {
	head := StoreDone{SentAt: r.SentAt, Err: store.ErrNotFound}
	registered := make(map[api.InstanceID]registration, len(r.Objects))
	for _, object := range r.Objects {
		if object.Key == headKey {
			head.Object, head.Err = object, nil
		} else if id, found := strings.CutPrefix(object.Key, memberPrefix); found {
			registered[api.InstanceID(id)] = c.decodeRegistration(id, object.Value)
		}
	}
	return head, registered
}

func (c *Core) decodeRegistration(id string, value []byte) registration {
	var r registration
	if err := json.Unmarshal(value, &r); err != nil {
		// Acceptance waits for an instance that cannot be read, by its key.
		c.emit(Note{Kind: NoteDecodeFailed, Err: Error.Wrap(err)})
	}
	r.Instance = api.InstanceID(id)
	return r
}

// registrationShown uses a change of a registration.
func (c *Core) registrationShown(change store.Change) {
	id, found := strings.CutPrefix(change.Key, memberPrefix)
	if !found {
		return
	}
	instance := api.InstanceID(id)
	c.watch.published = nil
	if !change.Deleted {
		c.watch.registered[instance] = c.decodeRegistration(id, change.Value)
		return
	}
	if before, known := c.watch.registered[instance]; known && instance == c.options.Instance {
		c.watch.gone = before.Incarnation
	}
	delete(c.watch.registered, instance)
}

func (c *Core) watched(now time.Duration, r StoreDone) {
	w := &c.watch
	w.running--
	if errors.Is(r.Err, store.ErrCompacted) {
		w.listed = false
		return
	}
	if r.Err != nil {
		c.watchFailed(now)
		return
	}
	w.retry = 0
	if r.Revision < w.revision && len(r.Changes) > 0 {
		return // the other watch has shown these changes
	}
	w.revision = max(w.revision, r.Revision)
	// Only the last head is the current one. After a pause an answer holds
	// older ones too, which confirm nothing.
	var last *store.Object
	for i := range r.Changes {
		if r.Changes[i].Key == headKey && !r.Changes[i].Deleted {
			last = &r.Changes[i].Object
			continue
		}
		c.registrationShown(r.Changes[i])
	}
	switch {
	case last == nil:
		c.contacted(r.SentAt, w.seen)
	default:
		w.shown = version(last.Version)
		c.headRead(now, StoreDone{SentAt: r.SentAt, Object: *last})
		c.contacted(r.SentAt, w.shown)
	}
	c.tickWatch(now, w.wanted)
	c.tryAccept(now)
}

// Registrations returns the instances that the watch shows as registered, with
// their incarnations; nil if this instance does not watch. The map is not
// changed afterwards.
func (c *Core) Registrations() map[api.InstanceID]uint64 {
	w := &c.watch
	if !w.wanted || !w.listed {
		return nil
	}
	if w.published == nil {
		w.published = make(map[api.InstanceID]uint64, len(w.registered))
		for id, r := range w.registered {
			w.published[id] = r.Incarnation
		}
	}
	return w.published
}

func (c *Core) watchFailed(now time.Duration) {
	w := &c.watch
	w.retry = min(max(2*w.retry, watchRetryMin), watchRetryMax)
	w.retryAt = now + w.retry
}
